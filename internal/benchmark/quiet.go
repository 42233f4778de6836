package benchmark

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/controller"
	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// QuietFigures are of a group in which nothing happens.
type QuietFigures struct {
	Members  int
	Parts    int
	Span     time.Duration
	Messages float64 // writes to sockets and datagrams a second, of all members together
	Entries  float64 // of the agreed log, a second
	LogBytes int64   // of one member's store at the end
}

// counting counts what one member sends.
type counting struct {
	name string
	sent atomic.Int64
}

func (c *counting) Open(from, _ string) bool {
	if from == c.name {
		c.sent.Add(1)
	}
	return true
}

type nobody struct{}

func (nobody) LeaseGained(int, uint64) {}
func (nobody) LeaseLost(int)           {}

// Quiet runs a group in this process and counts for a while.
func Quiet(ctx context.Context, members, partsEach int, span, while time.Duration) (*QuietFigures, error) {
	dir, err := os.MkdirTemp("", "peppervale-quiet-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	terms := cluster.Settings{Lease: lease.Config{Duration: model.Microseconds(span / time.Microsecond), MaxClockDrift: model.Microseconds(span / time.Microsecond / 20)},
		Placement: placement.Config{StabilizationPeriod: model.Second, MoveInterval: model.Second}, ShardsPerZone: partsEach}
	var peers []cluster.Peer
	var taken []net.Listener // held until all are drawn, so that no two are the same
	for k := range members {
		var at [2]string
		for i := range at {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			at[i], taken = l.Addr().String(), append(taken, l)
		}
		peers = append(peers, cluster.Peer{Name: fmt.Sprint("g", k), Address: at[0], Gossip: at[1]})
		terms.Zones = append(terms.Zones, fmt.Sprint("zone-", k))
	}
	for _, l := range taken {
		l.Close()
	}
	return quiet(ctx, dir, peers, terms, while)
}

func quiet(ctx context.Context, dir string, peers []cluster.Peer, terms cluster.Settings, while time.Duration) (*QuietFigures, error) {
	var counts []*counting
	var groups []*cluster.Cluster
	now := controller.Clock()
	for k, p := range peers {
		c := &counting{name: p.Name}
		l := cluster.Config{Name: p.Name, Zone: terms.Zones[k], Channel: "127.0.0.1:1", Listen: p.Address, Gossip: p.Gossip, Directory: filepath.Join(dir, p.Name), Incarnation: 1,
			Peers: peers, Settings: terms, Now: now, Links: c, Log: zerolog.Nop()}
		g, err := cluster.Open(l, nobody{})
		if err != nil {
			return nil, err
		}
		defer g.Close()
		counts, groups = append(counts, c), append(groups, g)
	}
	all := len(terms.Zones) * terms.ShardsPerZone
	held := func() bool {
		n := 0
		for _, g := range groups {
			for part := range all {
				if _, ok := g.IsLeaseHolder(part); ok {
					n++
				}
			}
		}
		return n == all
	}
	if err := await(ctx, "all parts held", held); err != nil {
		return nil, err
	}
	sent := func() (n int64) {
		for _, c := range counts {
			n += c.sent.Load()
		}
		return n
	}
	before, log := sent(), groups[0].Status().AppliedIndex
	time.Sleep(while)
	f := &QuietFigures{Members: len(peers), Parts: all, Span: terms.Lease.Duration.Duration(), Messages: float64(sent()-before) / while.Seconds(),
		Entries: float64(groups[0].Status().AppliedIndex-log) / while.Seconds()}
	if info, err := os.Stat(filepath.Join(dir, peers[0].Name, "agreed.db")); err == nil {
		f.LogBytes = info.Size()
	}
	return f, nil
}

// PrintQuiet writes a line.
func PrintQuiet(w io.Writer, f *QuietFigures) {
	fmt.Fprintf(w, "%d members, %d parts, lease %s: %.0f messages a second of all members together, %.1f entries a second agreed on, store of one %d KiB\n",
		f.Members, f.Parts, f.Span, f.Messages, f.Entries, f.LogBytes>>10)
}

package benchmark

import (
	"context"
	"fmt"
	"io"
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

const (
	clockDriftDivisor  = 20 // the maximum clock drift is the lease duration divided by this
	raftLogFile        = "agreed.db"
	addressesPerMember = 2 // raft and gossip
	unusedAddress      = "127.0.0.1:1"
)

// IdleClusterResult is the result of IdleCluster.
type IdleClusterResult struct {
	Members           int
	Shards            int
	LeaseDuration     time.Duration
	MessagesPerSecond float64 // stream writes and datagrams of all members together
	EntriesPerSecond  float64 // applied from the raft log
	LogBytes          int64   // size of one member's raft log at the end
}

// IdleCluster runs the members of a cluster in this process and counts their messages and raft log entries within a
// duration while no proxies are connected.
func IdleCluster(
	ctx context.Context, members, shardsPerZone int, leaseDuration, duration time.Duration,
) (*IdleClusterResult, error) {
	directory, removeDirectory, err := makeDirectory("quiet")
	if err != nil {
		return nil, err
	}
	defer removeDirectory()
	peers, err := newPeers(members)
	if err != nil {
		return nil, err
	}
	experiment := &idleCluster{
		directory: directory,
		peers:     peers,
		settings:  idleSettings(members, shardsPerZone, leaseDuration),
	}
	defer experiment.close()
	if err := experiment.open(); err != nil {
		return nil, err
	}
	if err := await(ctx, "all shards have a lease holder", experiment.allShardsHeld); err != nil {
		return nil, err
	}
	return experiment.measure(duration), nil
}

func newPeers(members int) ([]cluster.Peer, error) {
	addresses, err := reserveAddresses(members * addressesPerMember)
	if err != nil {
		return nil, err
	}
	var peers []cluster.Peer
	for k := range members {
		peers = append(peers, cluster.Peer{
			Name:          memberName(k),
			Address:       addresses[k*addressesPerMember],
			GossipAddress: addresses[k*addressesPerMember+1],
		})
	}
	return peers, nil
}

func idleSettings(members, shardsPerZone int, leaseDuration time.Duration) cluster.Settings {
	settings := cluster.Settings{
		Lease: lease.Config{
			Duration:      model.MicrosecondsOf(leaseDuration),
			MaxClockDrift: model.Microseconds(leaseDuration / time.Microsecond / clockDriftDivisor),
		},
		Placement:     placement.Config{StabilizationPeriod: model.Second, MoveInterval: model.Second},
		ShardsPerZone: shardsPerZone,
	}
	for k := range members {
		settings.Zones = append(settings.Zones, zoneName(k))
	}
	return settings
}

func memberName(index int) string { return fmt.Sprint("g", index) }

func zoneName(index int) string { return fmt.Sprint("zone-", index) }

// idleCluster is a cluster whose members all run in this process.
type idleCluster struct {
	directory string
	peers     []cluster.Peer
	settings  cluster.Settings
	members   []*cluster.Cluster
	counters  []*sendCounter
}

func (c *idleCluster) open() error {
	now := controller.NewClock()
	for k, peer := range c.peers {
		counter := &sendCounter{name: peer.Name}
		member, err := cluster.Open(cluster.Config{
			Name:           peer.Name,
			Zone:           c.settings.Zones[k],
			ChannelAddress: unusedAddress,
			ListenAddress:  peer.Address,
			GossipAddress:  peer.GossipAddress,
			Directory:      filepath.Join(c.directory, peer.Name),
			Incarnation:    1,
			Peers:          c.peers,
			Settings:       c.settings,
			Now:            now,
			Links:          counter,
			Log:            zerolog.Nop(),
		}, ignoreLeases{})
		if err != nil {
			return err
		}
		c.members = append(c.members, member)
		c.counters = append(c.counters, counter)
	}
	return nil
}

// close closes the members in reverse order.
func (c *idleCluster) close() {
	for k := len(c.members) - 1; k >= 0; k-- {
		c.members[k].Close()
	}
}

func (c *idleCluster) shards() int { return len(c.settings.Zones) * c.settings.ShardsPerZone }

func (c *idleCluster) allShardsHeld() bool {
	heldCount := 0
	for _, member := range c.members {
		for shard := range c.shards() {
			if _, isHolder := member.IsLeaseHolder(shard); isHolder {
				heldCount++
			}
		}
	}
	return heldCount == c.shards()
}

// measure counts the messages that are sent and the raft log entries that are applied within a duration.
func (c *idleCluster) measure(duration time.Duration) *IdleClusterResult {
	sentBefore := c.messagesSent()
	indexBefore := c.members[0].Status().AppliedIndex
	time.Sleep(duration)
	result := &IdleClusterResult{
		Members:           len(c.peers),
		Shards:            c.shards(),
		LeaseDuration:     c.settings.Lease.Duration.Duration(),
		MessagesPerSecond: float64(c.messagesSent()-sentBefore) / duration.Seconds(),
		EntriesPerSecond:  float64(c.members[0].Status().AppliedIndex-indexBefore) / duration.Seconds(),
	}
	logPath := filepath.Join(c.directory, c.peers[0].Name, raftLogFile)
	if info, err := os.Stat(logPath); err == nil {
		result.LogBytes = info.Size()
	}
	return result
}

func (c *idleCluster) messagesSent() int64 {
	var total int64
	for _, counter := range c.counters {
		total += counter.messages.Load()
	}
	return total
}

// sendCounter counts the messages that one member sends. It keeps all links open.
type sendCounter struct {
	name     string
	messages atomic.Int64
}

// Open is called before each dial, stream write and datagram, and after each read. It counts the calls with this
// member as the sender.
func (c *sendCounter) Open(from, _ string) bool {
	if from == c.name {
		c.messages.Add(1)
	}
	return true
}

// ignoreLeases ignores changes of leases; the cluster has no controller.
type ignoreLeases struct{}

func (ignoreLeases) LeaseGained(int, uint64) {}
func (ignoreLeases) LeaseLost(int)           {}

// PrintIdleCluster writes a line with the result of IdleCluster.
func PrintIdleCluster(out io.Writer, result *IdleClusterResult) {
	printf(out, "%d members, %d parts, lease %s: %.0f messages a second of all members together, "+
		"%.1f entries a second agreed on, store of one %d KiB\n",
		result.Members, result.Shards, result.LeaseDuration, result.MessagesPerSecond, result.EntriesPerSecond,
		result.LogBytes>>10)
}

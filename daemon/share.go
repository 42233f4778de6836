package daemon

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peppervale/assign"
	"peppervale/channel"
	"peppervale/fleet"
	"peppervale/governor"
	"peppervale/group"
	"peppervale/lease"
	"peppervale/site"
)

// sharing is a governor's place in a group. The module starts with the first part that the governor holds, not with the process: what
// the design says of a start (bind nobody, hold weights until each listed replica is named) is then true of an unplanned takeover by
// a governor that stood by. A nil sharing is a governor alone.
type sharing struct {
	group  *group.Group
	ready  chan struct{} // closed once group is set
	server *channel.Server
	begin  func() // starts the host
	mu     sync.Mutex
	begun  bool
}

func newSharing() *sharing { return &sharing{ready: make(chan struct{})} }

func (s *sharing) open(g *site.Governor, life uint64, server *channel.Server, now func() fleet.Micros, links group.Links, log zerolog.Logger) (err error) {
	s.server = server
	of := g.Group
	line := group.Line{Name: g.Name, Zone: of.Zone, Channel: server.Addr(), Listen: of.Listen, Gossip: of.Gossip, Folder: filepath.Join(g.State, "group"),
		Life: life, Join: of.Join, Limit: of.Limit, Loads: server.Loads, Now: now, Links: links, Log: log,
		Terms: group.Terms{Lease: lease.Terms{Span: of.Span, Drift: of.Drift}, Assign: assign.Terms{Settle: of.Settle, Pace: of.Pace},
			Zones: g.Zones, PartsEach: of.Parts}}
	for _, m := range of.Members {
		line.Peers = append(line.Peers, group.Peer{Name: m.Name, Address: m.Address, Gossip: m.Gossip})
	}
	s.group, err = group.Open(line, s)
	if err == nil {
		close(s.ready)
	}
	return err
}

// Gained starts the module with the first part.
func (s *sharing) Gained(int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.begun = true
		s.begin()
	}
}

// Lost ends the streams of a part.
func (s *sharing) Lost(part int) { s.server.Lost(part) }

// Part, Holds and Holder are what the channel asks. Before the group is open nothing is held.
func (s *sharing) Part(zone int, name string) int {
	<-s.ready
	return s.group.Part(zone, name)
}

func (s *sharing) Holds(part int) (uint64, bool) {
	<-s.ready
	return s.group.Holds(part)
}

func (s *sharing) Holder(part int) string {
	<-s.ready
	return s.group.Holder(part)
}

func (s *sharing) giveAway(within time.Duration) {
	if s != nil {
		s.group.GiveAway(within)
	}
}

func (s *sharing) close() {
	if s != nil {
		s.group.Close()
	}
}

// stop ends the host if it was begun.
func (s *sharing) stop(host *governor.Host) {
	if s == nil {
		host.Stop()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		host.Stop()
	}
	s.begun = true // from now on it is not
}

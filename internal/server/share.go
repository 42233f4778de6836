package server

import (
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
	"peppervale/internal/pubsub"
)

// sharing is a governor's place in a group. The module starts with the first part that the governor holds, not with the process: what
// the design says of a start (bind nobody, hold weights until each listed replica is named) is then true of an unplanned takeover by
// a governor that stood by. A nil sharing is a governor alone.
type sharing struct {
	terms  cluster.Settings
	group  atomic.Pointer[cluster.Cluster] // nil until it is open: nothing is held before
	done   chan struct{}
	wait   sync.WaitGroup
	server *pubsub.Server
	host   *controller.Controller
	begin  func() // starts the host
	mu     sync.Mutex
	begun  bool
	handed []model.LoadReport // to a governor that has not begun; its module hears them once it has a list
}

func newSharing(g *config.Server) *sharing {
	of := g.Cluster
	return &sharing{done: make(chan struct{}), terms: cluster.Settings{Lease: lease.Config{Duration: of.LeaseDuration, MaxClockDrift: of.MaxClockDrift},
		Placement: placement.Config{StabilizationPeriod: of.StabilizationPeriod, MoveInterval: of.MoveInterval}, Zones: g.Zones, ShardsPerZone: of.ShardsPerZone}}
}

// holderLife is the life that a group knows a process by: the folder's, which grows with each start, and chance, as two processes that
// were given one name and a folder each begin with the same number there.
func holderLife(life uint64) uint64 { return life<<20 | rand.Uint64N(1<<20) }

func (s *sharing) open(g *config.Server, life uint64, server *pubsub.Server, now func() model.Microseconds, links cluster.Links, log zerolog.Logger) (err error) {
	s.server = server
	of := g.Cluster
	line := cluster.Config{Name: g.Name, Zone: of.Zone, Channel: server.Addr(), Listen: of.Listen, Gossip: of.Gossip, Directory: filepath.Join(g.State, "group"),
		Incarnation: holderLife(life), Join: of.Join, Capacity: of.Capacity, Loads: server.Loads, MisroutedProxies: func() map[int]int { return server.MisroutedProxies(of.LeaseDuration / 2) }, Handover: cluster.HandoverHooks{Export: s.give, Import: s.take}, Now: now, Links: links, Log: log, Settings: s.terms}
	for _, m := range of.Members {
		line.Peers = append(line.Peers, cluster.Peer{Name: m.Name, Address: m.Address, Gossip: m.Gossip})
	}
	opened, err := cluster.Open(line, s)
	if err == nil {
		s.group.Store(opened)
	}
	return err
}

// LeaseGained starts the module with the first part.
func (s *sharing) LeaseGained(int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.begun = true
		s.begin()
		if len(s.handed) > 0 {
			handed := s.handed
			s.handed = nil
			s.wait.Go(func() { s.tell(handed) })
		}
	}
}

// give is what this governor tells the next holder of parts that it gives away.
func (s *sharing) give() cluster.Handover {
	picture, h := s.server.Snapshot(), cluster.Handover{LoadReports: s.host.LatestReports()}
	h.Withdrawn = picture.Withdrawn
	if v := s.host.View(); v != nil && v.Detail != nil {
		h.UnackedEntries = v.Detail.Balancer.UnackedEntries
	}
	return h
}

// take keeps what a holder told of its parts, if the module here has not begun: it opens its gate on what is named there, while an
// unplanned takeover waits as after any start. A module that runs has heard of the replicas by itself.
func (s *sharing) take(h cluster.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		s.handed = h.LoadReports
	}
}

// tellFor is how long handed sums wait for the list; later they are old.
const tellFor = 3 * time.Second

// tell has the module hear sums as soon as it has a list to know the replicas by.
func (s *sharing) tell(sums []model.LoadReport) {
	late := time.After(tellFor)
	for {
		if v := s.host.View(); v != nil && v.EndpointsAt > 0 {
			s.host.AddHandedOverReports(sums)
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-late:
			return
		case <-s.done:
			return
		}
	}
}

// LeaseLost ends the streams of a part.
func (s *sharing) LeaseLost(part int) { s.server.LeaseLost(part) }

// Part, Holds and Holder are what the channel asks, under its lock: forwarders join from the moment that its socket is open, so nothing
// here may wait for the group.
func (s *sharing) Shard(zone int, name string) int { return s.terms.ShardOf(zone, name) }

func (s *sharing) IsLeaseHolder(part int) (uint64, bool) {
	if g := s.group.Load(); g != nil {
		return g.IsLeaseHolder(part)
	}
	return 0, false
}

func (s *sharing) Holder(part int) string {
	if g := s.group.Load(); g != nil {
		return g.Holder(part)
	}
	return ""
}

func (s *sharing) giveAway(within time.Duration) {
	if s != nil {
		s.group.Load().TransferLeases(within)
	}
}

func (s *sharing) close() {
	if s != nil {
		s.group.Load().Close()
		close(s.done)
		s.wait.Wait()
	}
}

// stop ends the host if it was begun.
func (s *sharing) stop(host *controller.Controller) {
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

package config

import (
	"slices"

	"peppervale/internal/model"
)

// Cluster is the block group { }: governors that share the fleet out and take over from each other. Span to Pace and Parts must be
// alike at all members.
type Cluster struct {
	Listen, Gossip      string
	Zone                string
	Join                bool
	ShardsPerZone       int                // of each zone
	LeaseDuration       model.Microseconds // of a lease
	MaxClockDrift       model.Microseconds // that a clock may lose against another's within a span
	StabilizationPeriod model.Microseconds // that a member was back before parts go home to it
	MoveInterval        model.Microseconds // between two moves that nothing forces
	Capacity            float64            // invocations a second that it governs at most; 0: any
	Members             []ClusterMember
}

// ClusterMember is a member as this one reaches it.
type ClusterMember struct{ Name, Address, Gossip string }

// A lease of 2 s is four raft heartbeats that may be missed and three renewals; under 300 ms a busy machine loses leases without cause.
// 5% of a span is a thousand times what quartz clocks drift, and leaves room for a machine that was paused for a moment.
func readGroup(b *Block, of *Server) *Cluster {
	g := &Cluster{Listen: b.Address("listen", false), Gossip: b.Address("gossip", false), Zone: b.Text("zone", "", of.Zones...), Join: b.Yes("join", false),
		ShardsPerZone: b.Whole("parts", 4, 1, 256), LeaseDuration: b.Span("span", 2*model.Second, 300*model.Millisecond, 600*model.Second)}
	g.MaxClockDrift = b.Span("drift", g.LeaseDuration/20, model.Millisecond, 600*model.Second)
	g.StabilizationPeriod = b.Span("settle", 10*model.Second, 0, longest)
	g.MoveInterval = b.Span("pace", 2*model.Second, 0, longest)
	g.Capacity = b.Number("limit", 0, 0, 1e9)
	if g.MaxClockDrift >= g.LeaseDuration {
		b.Fault("drift", "drift: must be shorter than span")
	}
	if len(of.Zones)*g.ShardsPerZone > 4096 {
		b.Fault("parts", "parts: %d zones of %d parts; 4096 parts are handled in all", len(of.Zones), g.ShardsPerZone)
	}
	for _, m := range b.Blocks("member", 1) {
		one := ClusterMember{Name: m.Labels[0], Address: m.Address("address", false), Gossip: m.Address("gossip", false)}
		if slices.ContainsFunc(g.Members, func(o ClusterMember) bool { return o.Name == one.Name || o.Address == one.Address }) {
			m.Fault("", "member %q: its name or address is that of another", one.Name)
		}
		m.Done()
		g.Members = append(g.Members, one)
	}
	if len(g.Members) > 9 {
		b.Fault("", "group: %d members; 9 are handled, 3 or 5 are usual", len(g.Members))
	}
	if !slices.ContainsFunc(g.Members, func(m ClusterMember) bool { return m.Name == of.Name }) {
		b.Fault("", "group: no block member %q: each member names itself too", of.Name)
	}
	b.Done()
	return g
}

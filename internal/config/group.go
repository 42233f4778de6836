package config

import (
	"slices"

	"peppervale/internal/model"
)

// Group is the block group { }: governors that share the fleet out and take over from each other. Span to Pace and Parts must be
// alike at all members.
type Group struct {
	Listen, Gossip string
	Zone           string
	Join           bool
	Parts          int                // of each zone
	Span           model.Microseconds // of a lease
	Drift          model.Microseconds // that a clock may lose against another's within a span
	Settle         model.Microseconds // that a member was back before parts go home to it
	Pace           model.Microseconds // between two moves that nothing forces
	Limit          float64            // invocations a second that it governs at most; 0: any
	Members        []GroupMember
}

// GroupMember is a member as this one reaches it.
type GroupMember struct{ Name, Address, Gossip string }

// A lease of 2 s is four raft heartbeats that may be missed and three renewals; under 300 ms a busy machine loses leases without cause.
// 5% of a span is a thousand times what quartz clocks drift, and leaves room for a machine that was paused for a moment.
func readGroup(b *Block, of *Governor) *Group {
	g := &Group{Listen: b.Address("listen", false), Gossip: b.Address("gossip", false), Zone: b.Text("zone", "", of.Zones...), Join: b.Yes("join", false),
		Parts: b.Whole("parts", 4, 1, 256), Span: b.Span("span", 2*model.Second, 300*model.Millisecond, 600*model.Second)}
	g.Drift = b.Span("drift", g.Span/20, model.Millisecond, 600*model.Second)
	g.Settle = b.Span("settle", 10*model.Second, 0, longest)
	g.Pace = b.Span("pace", 2*model.Second, 0, longest)
	g.Limit = b.Number("limit", 0, 0, 1e9)
	if g.Drift >= g.Span {
		b.Fault("drift", "drift: must be shorter than span")
	}
	if len(of.Zones)*g.Parts > 4096 {
		b.Fault("parts", "parts: %d zones of %d parts; 4096 parts are handled in all", len(of.Zones), g.Parts)
	}
	for _, m := range b.Blocks("member", 1) {
		one := GroupMember{Name: m.Labels[0], Address: m.Address("address", false), Gossip: m.Address("gossip", false)}
		if slices.ContainsFunc(g.Members, func(o GroupMember) bool { return o.Name == one.Name || o.Address == one.Address }) {
			m.Fault("", "member %q: its name or address is that of another", one.Name)
		}
		m.Done()
		g.Members = append(g.Members, one)
	}
	if len(g.Members) > 9 {
		b.Fault("", "group: %d members; 9 are handled, 3 or 5 are usual", len(g.Members))
	}
	if !slices.ContainsFunc(g.Members, func(m GroupMember) bool { return m.Name == of.Name }) {
		b.Fault("", "group: no block member %q: each member names itself too", of.Name)
	}
	b.Done()
	return g
}

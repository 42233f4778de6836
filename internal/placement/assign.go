// Package assign decides which member of a group should hold which part of the fleet. It is free of I/O and of time of its own: the
// group's leader calls Decide with what is agreed on and who seems alive, and has the moves agreed on in turn. Whether a holder may
// order is not its business (package lease): a move that is late or wrong costs service, never a rule.
//
// Guarantees: a part is given to no member that is gone, leaving or without room for it; a member's loss moves its own parts and no
// other; a member that is back gets nothing until it was there for Terms.Settle, and then one part each Terms.Pace; the same input
// gives the same moves.
//
// Caveats: room is counted by the traffic that forwarders told as they joined, not by what they send. With no room left anywhere
// a part stays with nobody, and its forwarders go on with what they hold.
//
// The rows, for each part; the first that fits counts:
//
//	state of the part                          input                            next       effect
//	with nobody                                a member with room               given      at once
//	its member gone                            another with room                given      at once: there is nothing to lose
//	its forwarders do not reach its member     the member that they ask instead         given      at once, and not back for AwayFor
//	its member ending                          another with room                given      at once: its process waits for it
//	its member leaving                         another with room                given      one each Pace from it
//	moved by hand, its member there            any                              stays
//	its member beyond its limit                another with room                given      one each Pace from it
//	away from its zone                         a steady member there with room  given      one each Pace to it
//	its member has more than another as near   a steady one, evener after       given      one each Pace to it
package placement

import (
	"cmp"
	"slices"

	"peppervale/internal/model"
)

// Config are the group's settings.
type Config struct {
	StabilizationPeriod model.Microseconds // that a member must have been there before parts are moved to it without need
	MoveInterval        model.Microseconds // between two moves from or to one member that nothing forces
}

// Member is one of the group, as the leader sees it.
type Member struct {
	Name, Zone string
	Alive      bool               // it renews, or seems alive
	AliveSince model.Microseconds // Here
	Draining   bool               // told to give everything away
	Stopping   bool               // its process is about to end
	Capacity   float64            // invocations a second that it may govern; 0: any
}

// Shard is one part of the fleet. Wanted is the member that should hold it; "" for none.
type Shard struct {
	Number int
	Zone   string
	Load   float64 // invocations a second that its forwarders told
	Target string
	Pinned bool   // an operator put it where it is
	Asked  string // the member that its forwarders ask instead, as none of them reaches its own; "" otherwise
}

// Migration says who should hold a part from now on, and why.
type Migration struct {
	Shard  int    `cbor:"Part"`
	From   string `cbor:"From"`
	To     string `cbor:"To"`
	Reason string `cbor:"Why"`
}

// Planner remembers when it last moved a part from or to a member, and from whom it was moved as nobody reached that one. The zero Mover has
// moved nothing; a new leader's is one.
type Planner struct {
	touched map[string]model.Microseconds
	away    map[away]model.Microseconds
}

type away struct {
	part   int
	member string
}

// AwayFor is how long a part is not moved back without need to a member that its forwarders did not reach: a cut link that stays cut would
// cost them a lease's time without orders at each return, and a minute makes that some hundredths.
const AwayFor = 60 * model.Second

// seat is a member with what it has by the moves so far.
type seat struct {
	*Member
	load  float64
	parts int
}

func (s *seat) room(load float64) bool { return s.Capacity <= 0 || s.load+load <= s.Capacity }

// row is a line of the table above.
type row struct {
	why    string
	fits   func(d *deal, p *Shard, at *seat) bool
	steady bool // to a member that was there for Settle
	paced  bool
	near   bool // only to the part's own zone
	asked  bool // only to the member that its forwarders ask
	stays  bool // to nobody
	evener bool // only if the two are evener after
}

var rows = []row{
	{why: "with nobody", fits: func(_ *deal, _ *Shard, at *seat) bool { return at == nil }},
	{why: "its member is gone", fits: func(_ *deal, _ *Shard, at *seat) bool { return !at.Alive }},
	{why: "its forwarders do not reach its member", asked: true, fits: func(_ *deal, p *Shard, at *seat) bool { return p.Asked != "" && p.Asked != at.Name }},
	{why: "its member is ending", fits: func(_ *deal, _ *Shard, at *seat) bool { return at.Stopping }},
	{why: "its member is leaving", paced: true, fits: func(_ *deal, _ *Shard, at *seat) bool { return at.Draining }},
	{why: "moved by hand", stays: true, fits: func(_ *deal, p *Shard, _ *seat) bool { return p.Pinned }},
	{why: "its member is beyond its limit", paced: true, fits: func(_ *deal, _ *Shard, at *seat) bool { return at.Capacity > 0 && at.load > at.Capacity }},
	{why: "back to its zone", paced: true, steady: true, near: true, fits: func(_ *deal, p *Shard, at *seat) bool { return at.Zone != p.Zone }},
	{why: "evener", paced: true, steady: true, evener: true, fits: func(*deal, *Shard, *seat) bool { return true }},
}

// deal is one call of Decide.
type deal struct {
	Config
	now   model.Microseconds
	mover *Planner
	seats []*seat
	by    map[string]*seat
}

// Plan gives the moves of now.
func (m *Planner) Plan(t Config, now model.Microseconds, members []Member, parts []Shard) (moves []Migration) {
	if m.touched == nil {
		m.touched, m.away = map[string]model.Microseconds{}, map[away]model.Microseconds{}
	}
	d := &deal{Config: t, now: now, mover: m, by: map[string]*seat{}}
	for i := range members {
		s := &seat{Member: &members[i]}
		d.seats = append(d.seats, s)
		d.by[s.Name] = s
	}
	slices.SortFunc(d.seats, func(a, b *seat) int { return cmp.Compare(a.Name, b.Name) })
	for i := range parts {
		if s := d.by[parts[i].Target]; s != nil {
			s.load += parts[i].Load
			s.parts++
		}
	}
	order := make([]*Shard, len(parts)) // the heaviest first, so that what is left is small enough to even things out
	for i := range parts {
		order[i] = &parts[i]
	}
	slices.SortStableFunc(order, func(a, b *Shard) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Number, b.Number))
	})
	for i := range rows { // what is forced goes first, over all parts, and takes the room that there is
		for _, p := range order {
			if d.first(p) != &rows[i] {
				continue
			}
			if to := d.target(&rows[i], p); to != nil {
				moves = append(moves, d.move(&rows[i], p, to))
			}
		}
	}
	return moves
}

func (d *deal) first(p *Shard) *row {
	at := d.by[p.Target]
	for i := range rows {
		if rows[i].fits(d, p, at) {
			return &rows[i]
		}
	}
	return nil
}

// target is the best member for a part by a row: of its zone, then the one with the least load; nil for none.
func (d *deal) target(r *row, p *Shard) (best *seat) {
	at := d.by[p.Target]
	if r.stays || r.paced && !d.due(at) {
		return nil
	}
	for _, s := range d.seats {
		switch {
		case s == at || !s.Alive || s.Draining || s.Stopping || !s.room(p.Load):
		case r.steady && d.now-s.AliveSince < d.StabilizationPeriod:
		case r.paced && r.steady && !d.due(s):
		case r.near && s.Zone != p.Zone:
		case r.asked && s.Name != p.Asked:
		case r.steady && d.wasAway(p, s):
		case r.evener && (d.distance(s, p) > d.distance(at, p) || !evener(at, s, p)):
		case best == nil || d.closer(s, best, p):
			best = s
		}
	}
	return best
}

// evener tells whether a move leaves the two members closer together. Parts without traffic count by their number.
func evener(from, to *seat, p *Shard) bool {
	if p.Load > 0 {
		return to.load+p.Load < from.load
	}
	return from.load == 0 && to.load == 0 && to.parts+1 < from.parts
}

func (d *deal) distance(s *seat, p *Shard) int {
	if s.Zone == p.Zone {
		return 0
	}
	return 1
}

func (d *deal) closer(a, b *seat, p *Shard) bool {
	return cmp.Or(cmp.Compare(d.distance(a, p), d.distance(b, p)), cmp.Compare(a.load, b.load), cmp.Compare(a.parts, b.parts)) < 0
}

// wasAway tells whether a part was moved from a member lately as nobody reached that one.
func (d *deal) wasAway(p *Shard, s *seat) bool {
	at, was := d.mover.away[away{p.Number, s.Name}]
	return was && d.now-at < AwayFor
}

func (d *deal) due(s *seat) bool {
	at, moved := d.mover.touched[s.Name]
	return !moved || d.now-at >= d.MoveInterval
}

func (d *deal) move(r *row, p *Shard, to *seat) Migration {
	m := Migration{Shard: p.Number, From: p.Target, To: to.Name, Reason: r.why}
	if at := d.by[p.Target]; at != nil {
		at.load -= p.Load
		at.parts--
		if r.paced {
			d.mover.touched[at.Name] = d.now
		}
		if r.asked {
			d.mover.away[away{p.Number, at.Name}] = d.now
		}
	}
	if r.paced && r.steady {
		d.mover.touched[to.Name] = d.now
	}
	to.load += p.Load
	to.parts++
	p.Target, p.Pinned, p.Asked = to.Name, false, ""
	return m
}

// Package forwarder is a stand-in for a plain proxy: it obeys its tables to the letter and judges nothing itself. It
// joins a governor over the channel, keeps what it holds when the stream breaks and dials again, another governor if need
// be; it sends invocations to replicas over HTTP/1.1 and its sums to the governor each period.
//
// stream.go is its side of the channel, call.go what it does with an invocation, pool.go its connections.
package proxy

import (
	"slices"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Pick says how a line is picked.
type Pick string

// The three ways of picking.
const (
	Lottery Pick = "lottery" // by chance, by weight
	Wheel   Pick = "wheel"   // evenly by weight
	Pair    Pick = "pair"    // of two drawn by weight the one with less of its own work out
)

// Operation is what a forwarder knows of one.
type Operation struct {
	Objective, Timeout model.Microseconds
}

// Facts is what a forwarder is.
type Facts struct {
	Name, Zone  string
	ZoneIndex   int
	Governors   []Governor // its own zone's first
	Rate        float64    // that it tells when it joins
	Pick        Pick
	Operations  []Operation
	UsualWay    model.RetryPolicy
	FirstWait   float64 // of the objective
	Ejects      int     // own failures in a row after which it avoids a replica; 0: never
	EjectFor    model.Microseconds
	Redial      model.Microseconds // at least, and up to three times that
	ConnectFor  model.Microseconds
	IdleFor     model.Microseconds
	StallFor    model.Microseconds                                        // it stands still for so long for each line that it is sent
	Obeyed      func(f *Forwarder, governor string, m *pubsubmsg.Message) // told each message that it carries out; nil: nobody is
	StreamsOnly bool                                                      // it carries no invocations: a listener for measuring the channel
}

// Governor is one that it may join.
type Governor struct{ Name, Address string }

// Disobey is what a script makes it do wrong.
type Disobey struct {
	NeverAcks       bool
	IgnoresShuts    bool // goes on sending to what is withdrawn or taken off its table
	RepeatsAnything bool // tries again after any failure, whatever is ordered
}

// line is a replica that it holds, with its own state there.
type line struct {
	id     model.ReplicaID
	weight float64
	credit float64 // of the wheel
}

// there is what it knows of a replica: its own work out, failures and connections.
type there struct {
	id       model.ReplicaID
	out      int
	failures int
	avoid    model.Microseconds // until
	idle     []*link
	// since the last report
	tries, errored int
	latency        float64
	report         []float64
}

// Forwarder runs on a loop; all methods are to be called there.
type Forwarder struct {
	Facts
	Disobey Disobey
	// SumsLate holds its sums back for so long.
	SumsLate model.Microseconds
	// Cut keeps it from reaching a governor, by its name: a link that is down.
	Cut     map[string]bool
	loop    *standin.Loop
	engine  *netpoll.Engine
	chance  *standin.Chance
	seen    func(invariants.Seen)
	alive   bool
	life    int
	stalled model.Microseconds // until
	waiting []func()           // what came while it stood still

	lines   []*line
	shut    map[model.ReplicaID]bool
	levels  []pubsubmsg.Quota // by the order in which they came, a mask each
	bound   bool
	at      map[model.ReplicaID]*there
	govLife map[string]held // what it holds of each governor
	fence   lease.Fence
	caution bool // the holder of its part changed, and the new one has not ordered yet
	stream  *stream
	next    int // governor to dial

	// Figures.
	Messages, Bytes, Lines, Resyncs, Joins, Deferred, Moved, Fenced int
}

type held struct{ life, version uint64 }

// New makes a forwarder on an engine whose data and close events go to Data and Closed.
func New(loop *standin.Loop, engine *netpoll.Engine, f Facts, seed uint64, seen func(invariants.Seen)) *Forwarder {
	return &Forwarder{Facts: f, loop: loop, engine: engine, chance: standin.NewChance(seed, f.Name), seen: seen, Cut: map[string]bool{}}
}

// NewEngine makes the sockets' engine that any number of forwarders share.
func NewEngine() (*netpoll.Engine, error) {
	return netpoll.Start(2, netpoll.Handlers{Data: func(c *nbio.Conn, data []byte) {
		if s, ok := c.Session().(session); ok {
			s.came(append([]byte(nil), data...))
		}
	}, Close: func(c *nbio.Conn, _ error) {
		if s, ok := c.Session().(session); ok {
			s.closed()
		}
	}})
}

// session takes a connection's events on the engine's goroutines and posts them to the loop.
type session interface {
	came(data []byte)
	closed()
}

// Start begins with a standing table; what an earlier life held is gone.
func (f *Forwarder) Start(standing []invariants.Line) {
	if f.alive {
		return
	}
	f.life++
	f.alive, f.bound, f.stalled, f.waiting = true, false, 0, nil
	f.lines, f.shut, f.levels, f.at, f.govLife = nil, map[model.ReplicaID]bool{}, nil, map[model.ReplicaID]*there{}, map[string]held{}
	for _, l := range standing {
		f.lines = append(f.lines, &line{id: l.Replica, weight: l.Weight})
	}
	f.next, f.fence, f.caution = 0, lease.Fence{}, false
	f.seen(invariants.Began{At: f.loop.Now(), Forwarder: f.Name, Zone: f.ZoneIndex, Standing: standing})
	f.dialIn(0)
}

// Kill ends the process: its stream, its connections, its work.
func (f *Forwarder) Kill() {
	if !f.alive {
		return
	}
	f.alive = false
	f.life++
	f.seen(invariants.Died{At: f.loop.Now(), Forwarder: f.Name})
	if f.stream != nil {
		f.stream.end()
	}
	for _, t := range f.at {
		for _, l := range t.idle {
			l.drop()
		}
	}
}

// Break ends its stream as a network does; it notices at once and dials again.
func (f *Forwarder) Break() {
	if f.stream != nil {
		_ = f.stream.conn.Close()
	}
}

// Stall makes it stand still: what comes waits, what it should do waits.
func (f *Forwarder) Stall(span model.Microseconds) {
	until := max(f.stalled, f.loop.Now()) + span
	f.stalled = until
	f.loop.At(until, func() {
		if f.stalled > f.loop.Now() {
			return
		}
		waiting := f.waiting
		f.waiting = nil
		for _, do := range waiting {
			do()
		}
	})
}

// run does something now, or once it no longer stands still.
func (f *Forwarder) run(do func()) {
	life := f.life
	if f.stalled > f.loop.Now() {
		f.waiting = append(f.waiting, func() {
			if f.life == life {
				do()
			}
		})
		return
	}
	do()
}

// Joined tells the governor that it is joined to; "" for none.
func (f *Forwarder) Joined() string {
	if f.stream != nil && f.stream.joined {
		return f.stream.governor.Name
	}
	return ""
}

// Bound tells whether it is on a governor's table.
func (f *Forwarder) Bound() bool { return f.bound }

// Held is a line that it holds.
type Held struct {
	Replica model.ReplicaID
	Weight  float64
	Shut    bool
}

// Holds gives its lines.
func (f *Forwarder) Holds() (all []Held) {
	for _, l := range f.lines {
		all = append(all, Held{l.id, l.weight, f.shut[l.id]})
	}
	return all
}

func (f *Forwarder) of(id model.ReplicaID) *there {
	t := f.at[id]
	if t == nil {
		t = &there{id: id}
		f.at[id] = t
	}
	return t
}

// level gives what is let in of an operation and how it is tried again; the newest order for it counts.
func (f *Forwarder) level(op int) (share float64, way model.RetryPolicy) {
	share, way = 1, f.UsualWay
	for _, l := range f.levels {
		if l.Operations == 0 || l.Operations&(1<<op) != 0 {
			share, way = l.Share, l.RetryPolicy
		}
	}
	if f.caution {
		way = min(way, model.RetryIfNotExecuted)
	}
	if f.Disobey.RepeatsAnything {
		way = model.RetryTwiceOnAnyFailure
	}
	return share, way
}

// pickable are the lines that it may pick but for one replica.
func (f *Forwarder) pickable(but model.ReplicaID) (lines []*line, sum float64) {
	now := f.loop.Now()
	for pass := range 2 {
		for _, l := range f.lines {
			if l.weight <= 0 || l.id == but || f.shut[l.id] && !f.Disobey.IgnoresShuts {
				continue
			}
			// With every line avoided, avoidance is off: it would refuse all for a few failures.
			if t := f.at[l.id]; pass == 0 && t != nil && t.avoid > now {
				continue
			}
			lines, sum = append(lines, l), sum+l.weight
		}
		if len(lines) > 0 {
			break
		}
	}
	return lines, sum
}

func (f *Forwarder) draw(lines []*line, sum float64) *line {
	x := f.chance.Float() * sum
	for _, l := range lines {
		if x -= l.weight; x < 0 {
			return l
		}
	}
	return lines[len(lines)-1]
}

// pick takes a line as the way of picking has it; nil if there is none.
func (f *Forwarder) pick(but model.ReplicaID) *there {
	lines, sum := f.pickable(but)
	if len(lines) == 0 {
		return nil
	}
	var best *line
	switch f.Pick {
	case Wheel:
		for _, l := range lines {
			l.credit += l.weight
			if best == nil || l.credit > best.credit {
				best = l
			}
		}
		best.credit -= sum
	case Pair:
		best = f.draw(lines, sum)
		if other := f.draw(lines, sum); f.of(other.id).out < f.of(best.id).out {
			best = other
		}
	default:
		best = f.draw(lines, sum)
	}
	return f.of(best.id)
}

// epoch takes the epoch of a holder's word, and tells whether it may be obeyed. After a change of holder what may have run is not tried
// again until the new one has ordered: the ways that stand were another's, and were meant for what that one knew.
func (f *Forwarder) epoch(epoch uint64) bool {
	before := f.fence.Epoch
	obey, changed := f.fence.Accept(epoch)
	if changed && before > 0 {
		f.caution = true
	}
	return obey
}

// apply takes a message that is due in order.
func (f *Forwarder) apply(m *pubsubmsg.Message) {
	if m.Bound || len(m.Quotas) > 0 {
		f.caution = false
	}
	if m.Full && m.Bound {
		f.lines, f.bound = nil, true
		clear(f.shut)
	}
	if m.Full && len(m.Quotas) > 0 {
		f.levels = nil
	}
	for _, n := range m.Entries {
		i := slices.IndexFunc(f.lines, func(l *line) bool { return l.id == n.Replica })
		switch {
		case i >= 0 && n.Weight > 0:
			f.lines[i].weight = n.Weight
		case i >= 0 && !f.Disobey.IgnoresShuts:
			f.lines = slices.Delete(f.lines, i, i+1)
		case n.Weight > 0:
			f.lines = append(f.lines, &line{id: n.Replica, weight: n.Weight})
		}
	}
	for _, s := range m.Withdrawals {
		if delete(f.shut, s.Replica); s.Withdrawn {
			f.shut[s.Replica] = true
		}
	}
	for _, n := range m.Quotas {
		i := slices.IndexFunc(f.levels, func(l pubsubmsg.Quota) bool { return l.Operations == n.Operations })
		if i >= 0 {
			f.levels[i] = n
		} else {
			f.levels = append(f.levels, n)
		}
	}
	f.closeUnused()
}

// closeUnused ends idle connections to replicas that left its table or are withdrawn.
func (f *Forwarder) closeUnused() {
	for id, t := range f.at {
		if len(t.idle) == 0 {
			continue
		}
		held := slices.ContainsFunc(f.lines, func(l *line) bool { return l.id == id })
		if !held || f.shut[id] {
			for _, l := range t.idle {
				l.drop()
			}
			t.idle = nil
		}
	}
}

package invariants

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Effect says what a repeat of an operation does.
type Effect uint8

// The effects of operations.
const (
	Idempotent Effect = iota
	Fingerprinted
	SideEffecting
)

// Operation is what the rules need of one.
type Operation struct {
	Name   string
	Effect Effect
	Window model.Microseconds
}

// Figures are the limits, the same that governors are given.
type Figures struct {
	Zones       []string
	Operations  []Operation
	Bare, Grace model.Microseconds
	Cold        model.Microseconds
	TipFactor   float64
	TipSpan     model.Microseconds
	QueueMost   int
	WriteMost   int
	WriteSpan   model.Microseconds
}

// Verdict is a rule's: how near it came to its limit as a share, where, and each break.
type Verdict struct {
	Rule    string   `json:"rule"`
	Nearest float64  `json:"nearest"`
	Where   string   `json:"where,omitempty"`
	Breaks  []string `json:"breaks,omitempty"`
}

// breaksMost bounds the breaks told of one rule; the rest are counted in the last line.
const breaksMost = 20

// The rules' names, in their order.
const (
	Lost     = "no forwarder left bare"
	Double   = "no effect twice"
	Drain    = "drains within the grace"
	Failback = "no cold replica pushed over"
	Backlog  = "short queue"
	Holder   = "one holder an epoch" // not of the five: where governors share the fleet out
)

// Judge reads what was seen, in its order, up to the end of the day.
func Judge(seen []Seen, fig Figures, end model.Microseconds) []Verdict {
	j := &judge{fig: fig, began: end, forwarders: map[string]*forwarder{}, governors: map[string]*governor{},
		replicas: map[model.ReplicaID]*replica{}, calls: map[call][]*try{}, ran: map[call]int{},
		verdicts: map[string]*Verdict{}}
	for _, name := range []string{Lost, Double, Drain, Failback, Backlog, Holder} {
		j.verdicts[name] = &Verdict{Rule: name}
	}
	for i, s := range seen {
		if i == 0 {
			j.began = at(s)
		}
		j.read(s)
	}
	for _, name := range j.order {
		j.endBare(j.forwarders[name], end)
	}
	j.cold()
	j.queues()
	var all []Verdict
	for _, name := range []string{Lost, Double, Drain, Failback, Backlog, Holder} {
		all = append(all, *j.verdicts[name])
	}
	return all
}

type judge struct {
	fig        Figures
	began      model.Microseconds
	forwarders map[string]*forwarder
	order      []string
	governors  map[string]*governor
	replicas   map[model.ReplicaID]*replica
	calls      map[call][]*try
	ran        map[call]int
	arrivals   []Arrived
	knows      []bool // of each arrival: its forwarder's orders knew of the start
	verdicts   map[string]*Verdict
}

type forwarder struct {
	name      string
	epoch     uint64            // the newest that it was ordered in
	holders   map[uint64]string // who ordered in each
	alive     bool
	governor  *governor // nil: not joined
	joinedAt  model.Microseconds
	reader    *resp.Reader
	lines     map[model.ReplicaID]float64
	out       map[model.ReplicaID]bool
	bareFrom  model.Microseconds // -1: it has a line, or is not joined
	orderedAt model.Microseconds // of its last message
	wrote     []model.Microseconds
}

type governor struct {
	name     string
	gone     map[model.ReplicaID]model.Microseconds // told that it drains or is gone, at
	started  map[model.ReplicaID]model.Microseconds // told of its newest start, at
	since    map[model.ReplicaID]model.Microseconds
	listed   map[model.ReplicaID]bool
	warmFrom model.Microseconds // from when a ready warm replica is listed; never: see never
	messages []written
}

type written struct {
	ordered, came model.Microseconds
	cost          int
}

type replica struct {
	bay string
	ups []Up
}

type call struct {
	invocation uint64
	caller     int
}

type try struct {
	Tried
	outcome Outcome
}

const never = model.Microseconds(math.MaxInt64)

func at(s Seen) model.Microseconds {
	switch e := s.(type) {
	case Began:
		return e.At
	case Up:
		return e.At
	case Told:
		return e.At
	}
	return 0
}

func (j *judge) near(rule string, share float64, format string, args ...any) {
	v := j.verdicts[rule]
	if share > v.Nearest {
		v.Nearest, v.Where = share, fmt.Sprintf(format, args...)
	}
	if share <= 1 {
		return
	}
	if len(v.Breaks) < breaksMost {
		v.Breaks = append(v.Breaks, fmt.Sprintf(format, args...))
	} else if len(v.Breaks) == breaksMost {
		v.Breaks = append(v.Breaks, "and more")
	}
}

// clock is a time as the day counts it.
func (j *judge) clock(t model.Microseconds) string {
	return fmt.Sprintf("%.3f s", float64(t-j.began)/float64(model.Second))
}

func seconds(t model.Microseconds) string {
	return fmt.Sprintf("%.3f s", float64(t)/float64(model.Second))
}

func share(t, limit model.Microseconds) float64 { return float64(t) / float64(max(limit, 1)) }

func (j *judge) governorOf(name string) *governor {
	g := j.governors[name]
	if g == nil {
		g = &governor{name: name, gone: map[model.ReplicaID]model.Microseconds{}, started: map[model.ReplicaID]model.Microseconds{},
			since: map[model.ReplicaID]model.Microseconds{}, listed: map[model.ReplicaID]bool{}, warmFrom: never}
		j.governors[name] = g
	}
	return g
}

func (j *judge) replicaOf(id model.ReplicaID) *replica {
	r := j.replicas[id]
	if r == nil {
		r = &replica{}
		j.replicas[id] = r
	}
	return r
}

func (j *judge) read(s Seen) {
	switch e := s.(type) {
	case Began:
		f := &forwarder{name: e.Forwarder, alive: true, lines: map[model.ReplicaID]float64{}, out: map[model.ReplicaID]bool{}, holders: map[uint64]string{}, bareFrom: -1}
		for _, l := range e.Standing {
			f.lines[l.Replica] = l.Weight
		}
		if old := j.forwarders[e.Forwarder]; old != nil {
			j.endBare(old, e.At)
		} else {
			j.order = append(j.order, e.Forwarder)
		}
		j.forwarders[e.Forwarder] = f
	case Died:
		if f := j.forwarders[e.Forwarder]; f != nil {
			j.endBare(f, e.At)
			f.alive, f.governor = false, nil
		}
	case Stream:
		f := j.forwarders[e.Forwarder]
		if f == nil || !f.alive {
			return
		}
		j.endBare(f, e.At)
		if f.governor = nil; e.Up {
			f.governor, f.joinedAt, f.reader, f.wrote = j.governorOf(e.Governor), e.At, resp.NewReader(resp.Limits{}), nil
		}
		j.lookBare(f, e.At)
	case Received:
		if f := j.forwarders[e.Forwarder]; f != nil && f.governor != nil {
			_ = f.reader.Feed(e.Data, func(v resp.Value) error { j.pushed(f, v, e.At); return nil })
		}
	case Told:
		j.told(e)
	case Tried:
		j.tried(e)
	case Ended:
		tries := j.calls[call{e.Invocation, e.Caller}]
		if e.N >= 1 && e.N <= len(tries) {
			tries[e.N-1].outcome = e.Outcome
		}
	case Ran:
		c := call{e.Invocation, e.Caller}
		if j.ran[c]++; j.ran[c] > 1 && j.effect(e.Operation) != Idempotent {
			j.near(Double, 2, "%s: invocation %d took effect %d times, last at %s", j.clock(e.At), e.Invocation, j.ran[c], pubsubmsg.Address(e.Replica))
		}
	case Arrived:
		j.arrivals = append(j.arrivals, e)
		j.knows = append(j.knows, j.knew(e))
	case Up:
		r := j.replicaOf(e.Replica)
		r.bay, r.ups = e.Bay, append(r.ups, e)
	}
}

func (j *judge) effect(op int) Effect {
	if op < 0 || op >= len(j.fig.Operations) {
		return SideEffecting
	}
	return j.fig.Operations[op].Effect
}

// pushed carries a message out on what the forwarder holds, as docs/channel.md has it.
func (j *judge) pushed(f *forwarder, v resp.Value, now model.Microseconds) {
	if !pubsubmsg.IsMessage(v) {
		return
	}
	m, err := pubsubmsg.Parse(v)
	if err != nil {
		return
	}
	if m.Epoch < f.epoch {
		return // fenced: nothing of it is obeyed
	}
	if m.Epoch > 0 {
		if was := f.holders[m.Epoch]; was != "" && was != f.governor.name {
			j.near(Holder, 2, "%s: %s was ordered in epoch %d by %s and by %s", j.clock(now), f.name, m.Epoch, was, f.governor.name)
		}
		f.epoch, f.holders[m.Epoch] = m.Epoch, f.governor.name
	}
	g := f.governor
	g.messages = append(g.messages, written{m.UpdatedAt, now, m.Cost})
	f.wrote = append(f.wrote, m.UpdatedAt)
	f.orderedAt = max(f.orderedAt, m.UpdatedAt)
	if w := j.fig.WriteMost; w > 0 {
		n := 0
		for _, at := range f.wrote {
			if m.UpdatedAt-at < j.fig.WriteSpan {
				n++
			}
		}
		j.near(Backlog, float64(n)/float64(w), "%s: %s wrote %d messages to %s within %s, %d are allowed", j.clock(now), g.name, n, f.name, seconds(j.fig.WriteSpan), w)
	}
	if m.Full && m.Bound {
		clear(f.lines)
		clear(f.out)
	}
	for _, l := range m.Entries {
		if f.lines[l.Replica] = l.Weight; l.Weight == 0 {
			delete(f.lines, l.Replica)
		}
	}
	for _, s := range m.Withdrawals {
		if delete(f.out, s.Replica); s.Withdrawn {
			f.out[s.Replica] = true
		}
	}
	j.lookBare(f, now)
}

func (j *judge) told(e Told) {
	entries, _, err := consulcatalog.Parse(e.Body, j.fig.Zones)
	if err != nil {
		return
	}
	g := j.governorOf(e.Governor)
	for _, name := range j.order { // before what counts as warm changes
		if f := j.forwarders[name]; f.governor == g {
			j.countBare(f, e.At)
		}
	}
	ready := map[model.ReplicaID]bool{}
	warm := never
	for _, l := range entries {
		g.listed[l.ID] = true
		if l.Status == model.EndpointReady {
			ready[l.ID] = true
			warm = min(warm, max(e.At, l.StartedAt+j.fig.Cold))
			delete(g.gone, l.ID)
			if l.StartedAt > 0 && g.since[l.ID] != l.StartedAt {
				g.since[l.ID], g.started[l.ID] = l.StartedAt, e.At
			}
		}
	}
	for id := range g.listed {
		if _, known := g.gone[id]; !known && !ready[id] {
			g.gone[id] = e.At
		}
	}
	if warm > e.At || g.warmFrom > e.At {
		g.warmFrom = warm
	}
}

// lookBare starts or ends a spell without a line to pick.
func (j *judge) lookBare(f *forwarder, now model.Microseconds) {
	bare := f.governor != nil
	for r, w := range f.lines {
		if w > 0 && !f.out[r] {
			bare = false
		}
	}
	if !bare {
		j.endBare(f, now)
	} else if f.bareFrom < 0 {
		f.bareFrom = now
	}
}

// countBare counts a spell up to now, as far as its governor listed a warm replica.
func (j *judge) countBare(f *forwarder, now model.Microseconds) {
	if f.bareFrom >= 0 && f.governor != nil && f.governor.warmFrom < now {
		from := max(f.bareFrom, f.governor.warmFrom)
		j.near(Lost, share(now-from, j.fig.Bare), "%s: %s, joined to %s, had no line to pick for %s, %s are allowed",
			j.clock(now), f.name, f.governor.name, seconds(now-from), seconds(j.fig.Bare))
	}
}

func (j *judge) endBare(f *forwarder, now model.Microseconds) {
	j.countBare(f, now)
	f.bareFrom = -1
}

func (j *judge) tried(e Tried) {
	c := call{e.Invocation, e.Caller}
	tries := append(j.calls[c], &try{Tried: e})
	j.calls[c] = tries
	if f := j.forwarders[e.Forwarder]; f != nil && f.governor != nil {
		if told, gone := f.governor.gone[e.Replica]; gone {
			late := e.At - max(told, f.joinedAt)
			j.near(Drain, share(late, j.fig.Grace), "%s: %s sent to %s %s after %s was told that it drains or is gone, %s are allowed",
				j.clock(e.At), f.name, pubsubmsg.Address(e.Replica), seconds(late), f.governor.name, seconds(j.fig.Grace))
		}
	}
	if len(tries) < 2 {
		return
	}
	op := Operation{Effect: SideEffecting}
	if e.Operation >= 0 && e.Operation < len(j.fig.Operations) {
		op = j.fig.Operations[e.Operation]
	}
	for _, t := range tries[:len(tries)-1] {
		if op.Effect == Idempotent || t.outcome.Unrun() {
			continue
		}
		where := fmt.Sprintf("%s: %s sent invocation %d (%s) to %s after a try at %s that may have run", j.clock(e.At), e.Forwarder,
			e.Invocation, op.Name, pubsubmsg.Address(e.Replica), pubsubmsg.Address(t.Replica))
		switch bay := j.replicaOf(t.Replica).bay; {
		case op.Effect == SideEffecting:
			j.near(Double, 2, "%s", where)
		case bay != j.replicaOf(e.Replica).bay:
			j.near(Double, 2, "%s, in another bay", where)
		default:
			j.near(Double, share(e.At-t.At, op.Window), "%s, %s before", where, seconds(e.At-t.At))
		}
	}
}

// knew tells whether work counts as sent knowing that the replica had just started.
func (j *judge) knew(e Arrived) bool {
	f := j.forwarders[e.Forwarder]
	if f == nil || f.governor == nil {
		return false
	}
	told, known := f.governor.started[e.Replica]
	return known && (f.orderedAt > told || e.At-told > j.fig.Grace)
}

// cold judges each start: the work of any window against what the replica could do in it.
func (j *judge) cold() {
	byReplica := map[model.ReplicaID][]int{}
	for i, a := range j.arrivals {
		byReplica[a.Replica] = append(byReplica[a.Replica], i)
	}
	ids := make([]model.ReplicaID, 0, len(j.replicas))
	for id := range j.replicas {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b model.ReplicaID) int { return strings.Compare(pubsubmsg.Address(a), pubsubmsg.Address(b)) })
	for _, id := range ids {
		for _, up := range j.replicas[id].ups {
			if up.Share < 1 && up.Span > 0 {
				j.coldStart(id, up, byReplica[id])
			}
		}
	}
}

func (j *judge) coldStart(id model.ReplicaID, up Up, arrivals []int) {
	first := 0
	sum, known, largest := 0.0, 0.0, 0.0
	for k, i := range arrivals {
		a := j.arrivals[i]
		if a.At < up.At || a.At > up.At+up.Span {
			first = k + 1
			sum, known, largest = 0, 0, 0
			continue
		}
		sum += a.Work
		if j.knows[i] {
			known += a.Work
		}
		largest = max(largest, a.Work)
		for ; j.arrivals[arrivals[first]].At <= a.At-j.fig.TipSpan; first++ {
			b := j.arrivals[arrivals[first]]
			if sum -= b.Work; j.knows[arrivals[first]] {
				known -= b.Work
			}
		}
		// What it can do in the window that ends here: capacity rises evenly, so the mean is that of the middle. One piece
		// of work is slack, as a window may cut it.
		from := max(up.At, a.At-j.fig.TipSpan)
		middle := float64((from+a.At)/2-up.At) / float64(up.Span)
		can := up.Full * (up.Share + (1-up.Share)*middle) * float64(j.fig.TipSpan)
		if s := (sum - largest) / (j.fig.TipFactor * can); s <= 1 || known >= sum*2/3 {
			j.near(Failback, s, "%s: %s, up for %s, was sent %.1f times what it can do within %s, %.1f are allowed",
				j.clock(a.At), pubsubmsg.Address(id), seconds(a.At-up.At), sum/can, seconds(j.fig.TipSpan), j.fig.TipFactor)
		}
	}
}

// queues judges each governor's queue: what was ordered and had not come yet, in lines.
func (j *judge) queues() {
	names := make([]string, 0, len(j.governors))
	for name := range j.governors {
		names = append(names, name)
	}
	slices.Sort(names)
	type edge struct {
		at    model.Microseconds
		lines int
	}
	for _, name := range names {
		var edges []edge
		for _, m := range j.governors[name].messages {
			edges = append(edges, edge{m.ordered, m.cost}, edge{m.came, -m.cost})
		}
		slices.SortStableFunc(edges, func(a, b edge) int {
			if a.at != b.at {
				return int(min(max(a.at-b.at, -1), 1))
			}
			return a.lines - b.lines
		})
		lines := 0
		for _, e := range edges {
			lines += e.lines
			j.near(Backlog, float64(lines)/float64(max(j.fig.QueueMost, 1)), "%s: %d lines of %s were under way, %d are allowed", j.clock(e.at), lines, name, j.fig.QueueMost)
		}
	}
}

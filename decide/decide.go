// Package decide holds every decision of a governor: what its proxies' tables contain, who is bound to them,
// which replicas are shut out, what is let in and when all of that is sent.
//
// A caller makes a Governor with New, hands it each thing it is told (Listed, Joined, Left, Applied, Heard,
// Offered, Rang) and calls Settle once all that came at one moment is in. Orders go out through fleet.Host;
// package fleet is the whole interface. Nothing is read but fleet.Terms, the seed and those calls.
//
// Reading order: the state tables say what happens to the gate, a replica and a proxy; solve says why a line has
// its weight; judge why a replica was shut out or cut; bindTurn why a proxy was or was not bound; Settle in
// which order things leave.
//
// Mechanisms beside the design, six at most:
//  1. near first: the average that stands in for what is little heard favours the proxy's own zone
//  2. rest: a replica that errs or falls quiet while the others do not is withdrawn and tried again later
//  4. levels: the cheapest operation is let in less while the whole fleet is late
//  5. early bind: a proxy whose standing table may be empty is bound before the gate opens
//  6. ledger: the queue is bounded by lines not yet acknowledged, messages by the limit for a proxy
package decide

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"

	"peppervale/fleet"
)

type gateState int
type replicaState int
type proxyState int
type input int

const (
	shut gateState = iota
	open
)

const (
	away     replicaState = iota // not listed, or listed as gone
	draining                     // listed as draining
	easing                       // in at a part of its weight, rising
	serving                      // in at its full weight
	resting                      // listed as ready, withdrawn by us
)

const (
	loose proxyState = iota // on tables that we did not lay
	bound
	parted
)

const (
	allHeard input = iota
	windowOver
	listed  // ready, running for long
	started // ready, started lately
	drains
	gone
	failing
	eased
	rested
	turn
	atRisk
	left
	askAgain
)

type step[S comparable] struct {
	from S
	on   input
}

type move[S comparable, X any] struct {
	to S
	do func(*Governor, X)
}

var gateMoves = map[step[gateState]]move[gateState, *Governor]{
	{shut, allHeard}:   {open, (*Governor).begin},
	{shut, windowOver}: {open, (*Governor).begin},
}

var replicaMoves = map[step[replicaState]]move[replicaState, *replica]{
	{away, listed}:      {serving, (*Governor).enter},
	{away, started}:     {easing, (*Governor).ease},
	{draining, listed}:  {serving, (*Governor).enter},
	{draining, started}: {easing, (*Governor).ease},
	{draining, gone}:    {away, (*Governor).leave},
	{easing, started}:   {easing, (*Governor).ease},
	{easing, drains}:    {draining, (*Governor).leave},
	{easing, gone}:      {away, (*Governor).leave},
	{easing, failing}:   {resting, (*Governor).rest},
	{easing, eased}:     {serving, (*Governor).enter},
	{serving, started}:  {easing, (*Governor).ease},
	{serving, drains}:   {draining, (*Governor).leave},
	{serving, gone}:     {away, (*Governor).leave},
	{serving, failing}:  {resting, (*Governor).rest},
	{resting, started}:  {easing, (*Governor).ease},
	{resting, drains}:   {draining, (*Governor).leave},
	{resting, gone}:     {away, (*Governor).leave},
	{resting, rested}:   {easing, (*Governor).ease},
	{away, drains}:      {draining, (*Governor).leave},
}

var proxyMoves = map[step[proxyState]]move[proxyState, *proxy]{
	{loose, turn}:   {bound, (*Governor).bind},
	{loose, atRisk}: {bound, (*Governor).bind},
	{loose, left}:   {parted, (*Governor).forget},
	{bound, left}:   {parted, (*Governor).forget},
}

// apply looks one input up; what the table does not name changes nothing.
func apply[S comparable, X any](g *Governor, table map[step[S]]move[S, X], state *S, on input, x X) bool {
	m, known := table[step[S]{*state, on}]
	if known {
		*state = m.to
		m.do(g, x)
	}
	return known
}

// decayed is a sum over about the last `memory` reports.
type decayed struct{ tries, good, errored, latency, span float64 }

func (d *decayed) fold(n decayed, memory float64) {
	k := 1 - 1/memory
	d.tries, d.good, d.errored = d.tries*k+n.tries, d.good*k+n.good, d.errored*k+n.errored
	d.latency, d.span = d.latency*k+n.latency, d.span*k+n.span
}

// line is a replica's place in one table, and what that table's proxies met there.
type line struct {
	weight float64 // as ordered; 0: no line
	next   float64 // to be ordered
	seen   decayed
	fresh  decayed
}

type replica struct {
	id      fleet.ReplicaID
	zone    int
	state   replicaState
	since   fleet.Micros
	lines   []line // by table
	all     decayed
	brief   decayed
	busy    float64 // share of its cores in use, as it last reported
	busyAt  fleet.Micros
	quiet   int  // reports in a row without a line although some were due
	cutDue  bool // its quarter is still to be sent
	heard   bool // named in a report since our start
	easedAt fleet.Micros
	rests   int
	stamp   int // due times of an earlier state are void
	told    bool
}

type message struct {
	number uint32
	lines  int
}

type proxy struct {
	id      fleet.ProxyID
	zone    int
	state   proxyState
	unacked []message
	sent    []fleet.Micros
	lines   int // in the reply being written
}

// table serves the proxies of a zone; own holds only that zone's replicas.
type table struct {
	id         fleet.TableID
	zone       int
	own        bool
	operations uint16
	laid       bool
}

// dueTime is an input that comes at a set time; for a replica only while it keeps the state it was set in.
type dueTime struct {
	at    fleet.Micros
	on    input
	r     *replica
	stamp int
}

// Governor is one instance.
type Governor struct {
	terms       fleet.Terms
	host        fleet.Host
	now         fleet.Micros
	seed, drawn uint64
	gate        gateState
	replicas    []*replica
	byID        map[fleet.ReplicaID]*replica
	proxies     []*proxy
	byProxy     map[fleet.ProxyID]*proxy
	tables      []*table
	due         []dueTime
	unacked     int
	receipt     uint32
	askFails    int
	renew       bool // a proxy joined: it may not know the withdrawals
	beaten      bool
	sums        int
	foldedAt    fleet.Micros
	solvedAt    fleet.Micros
	levels      []level
	stress      float64 // pace of the median replica
	admitAt     fleet.Micros
}

type level struct {
	share, told float64
	way         fleet.Way
}

// New makes a governor and starts its gate's window.
func New(t fleet.Terms, seed uint64, host fleet.Host, now fleet.Micros) *Governor {
	// The start window is the design's.
	const window = 10 * fleet.Second
	g := &Governor{terms: t, host: host, now: now, seed: seed,
		byID: map[fleet.ReplicaID]*replica{}, byProxy: map[fleet.ProxyID]*proxy{}}
	var wide, narrow uint16
	for i, op := range t.Operations {
		if op.OwnZone {
			narrow |= 1 << i
		} else {
			wide |= 1 << i
		}
		g.levels = append(g.levels, level{share: 1, way: wayFor(op)})
	}
	for z := range t.Zones {
		if wide != 0 {
			g.tables = append(g.tables, &table{id: fleet.TableID(2 * z), zone: z, operations: wide})
		}
		if narrow != 0 {
			g.tables = append(g.tables, &table{id: fleet.TableID(2*z + 1), zone: z, own: true, operations: narrow})
		}
	}
	g.foldedAt, g.solvedAt = now, now
	g.after(window, dueTime{on: windowOver})
	if t.Subscribe {
		host.Follow()
	}
	host.Wake(g.beat()+fleet.Micros(g.chance()*float64(g.beat())), 0)
	g.sendLevels()
	return g
}

// beat is the span of the one timer: five to a report, so that a turn of binds takes about one report.
func (g *Governor) beat() fleet.Micros { return max(g.terms.Period/5, 50*fleet.Millisecond) }

// chance draws from [0, 1).
func (g *Governor) chance() float64 {
	g.drawn++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], g.seed)
	binary.LittleEndian.PutUint64(b[8:], g.drawn)
	h.Write(b[:])
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (g *Governor) after(span fleet.Micros, d dueTime) {
	d.at = g.now + span
	i := sort.Search(len(g.due), func(i int) bool { return g.due[i].at > d.at })
	g.due = slices.Insert(g.due, i, d)
}

// later gives a replica an input after a span, unless it has changed its state by then.
func (g *Governor) later(r *replica, span fleet.Micros, on input) {
	r.stamp++
	g.after(span, dueTime{on: on, r: r, stamp: r.stamp})
}

// wayFor says when an operation may be tried again without an effect happening twice. A repeat of a
// side-effecting one needs proof that the first never ran, and so does a fingerprinted one whose repeats are
// dropped only inside a zone or cell: our tables, and standing ones, reach beyond those.
func wayFor(op fleet.Operation) fleet.Way {
	return fleet.WhenUnrun
}

// Listed takes news of the list.
func (g *Governor) Listed(now fleet.Micros, scope fleet.Scope, entries []fleet.Listing) {
	g.now = now
	if scope == fleet.Failed {
		// Asking again at once would add to what made the list fail; a few seconds at most keeps drains known.
		g.askFails = min(g.askFails+1, 4)
		g.after(fleet.Micros(g.askFails)*fleet.Second/2, dueTime{on: askAgain})
		return
	}
	if scope != fleet.Cached {
		g.askFails = 0
	}
	named := map[*replica]bool{}
	for _, e := range entries {
		r := g.byID[e.ID]
		if r == nil {
			r = &replica{id: e.ID, lines: make([]line, len(g.tables))}
			g.byID[e.ID] = r
			g.replicas = append(g.replicas, r)
		}
		r.zone = e.Zone
		named[r] = true
		switch e.Life {
		case fleet.Draining:
			g.tell(r, drains)
		case fleet.Ready:
			on := listed
			if e.Since > 0 && e.Since != r.since && now-e.Since < easeSpan {
				on = started
			}
			r.since = e.Since
			g.tell(r, on)
		default:
			g.tell(r, gone)
		}
	}
	if scope != fleet.Change {
		for _, r := range g.replicas {
			if !named[r] {
				g.tell(r, gone)
			}
		}
	}
}

func (g *Governor) tell(r *replica, on input) {
	from := r.state
	if apply(g, replicaMoves, &r.state, on, r) {
		g.host.Log(fmt.Sprintf("replica %v:%d zone %d: state %d, input %d, now %d",
			r.id.Addr, r.id.Port, r.zone, from, on, r.state))
	}
}

// easeSpan is the design's: a newly started replica reaches its full part after it.
const easeSpan = 30 * fleet.Second

func (g *Governor) enter(r *replica) {
	r.stamp++
	r.rests = 0
}

// ease starts a replica at a quarter, knowing nothing of it.
func (g *Governor) ease(r *replica) {
	r.easedAt, r.cutDue = g.now, true
	r.all, r.brief, r.quiet = decayed{}, decayed{}, 0
	for i := range r.lines {
		r.lines[i].seen = decayed{}
	}
	g.later(r, easeSpan, eased)
}

func (g *Governor) leave(r *replica) { r.stamp++ }

// rest withdraws a replica. Eight seconds outlast most silences short of a restart; each further rest doubles.
func (g *Governor) rest(r *replica) {
	g.later(r, 8*fleet.Second<<min(r.rests, 2), rested)
	r.rests++
}

// part is the share of its full weight that a replica may have now.
func (g *Governor) part(r *replica) float64 {
	if r.state != easing {
		return 1
	}
	return min(1, 0.25+0.75*float64(g.now-r.easedAt)/float64(easeSpan))
}

// member tells whether a replica has lines in our tables.
func (r *replica) member() bool { return r.state >= easing }

// jammed is the stress from which proxies run from full replicas to whatever still answers: twice the level that
// sheds.
const jammed = 1.0

// out tells whether a replica is to be shut out everywhere. While the gate is shut a replica that started lately
// may stand in standing tables at full weight, which could push it over.
func (g *Governor) out(r *replica) bool {
	return !r.member() || r.state == resting ||
		(g.gate == shut || g.stress > jammed) && r.state == easing && g.now-r.since < g.terms.Cold
}

// Joined takes a proxy whose stream is established.
func (g *Governor) Joined(now fleet.Micros, id fleet.ProxyID, zone int, standing bool) {
	g.Left(now, id)
	p := &proxy{id: id, zone: zone}
	g.byProxy[id] = p
	g.proxies = append(g.proxies, p)
	g.renew = true
}

// Left takes the end of a proxy's stream; what it had not acknowledged is lost.
func (g *Governor) Left(now fleet.Micros, id fleet.ProxyID) {
	g.now = now
	if p := g.byProxy[id]; p != nil {
		apply(g, proxyMoves, &p.state, left, p)
	}
}

func (g *Governor) forget(p *proxy) {
	for _, m := range p.unacked {
		g.unacked -= m.lines
	}
	delete(g.byProxy, p.id)
	g.proxies = slices.DeleteFunc(g.proxies, func(q *proxy) bool { return q == p })
}

// Applied takes a receipt; it covers every earlier message too.
func (g *Governor) Applied(now fleet.Micros, id fleet.ProxyID, number uint32) {
	g.now = now
	p := g.byProxy[id]
	if p == nil {
		return
	}
	for i, m := range p.unacked {
		if m.number == number {
			for _, done := range p.unacked[:i+1] {
				g.unacked -= done.lines
			}
			p.unacked = p.unacked[i+1:]
			return
		}
	}
}

// Heard takes what a zone's proxies met at a replica.
func (g *Governor) Heard(now fleet.Micros, s fleet.Sum) {
	g.now = now
	r := g.byID[s.Replica]
	if r == nil || s.Tries <= 0 || s.Span <= 0 || s.Errored < 0 || s.Latency < 0 {
		return
	}
	g.sums++
	r.heard = true
	if k := g.terms.BusyField; k >= 0 && k < len(s.Report) && s.Report[k] >= 0 {
		r.busy, r.busyAt = min(s.Report[k], 1), now
	}
	good := float64(max(s.Tries-s.Errored, 0))
	n := decayed{tries: float64(s.Tries), good: good, errored: float64(s.Errored),
		latency: good * float64(s.Latency), span: float64(s.Span)}
	for i, t := range g.tables {
		if t.zone == s.Zone {
			r.lines[i].fresh.fold(n, math.Inf(1))
		}
	}
}

// Offered takes what came to a proxy.
func (g *Governor) Offered(now fleet.Micros, d fleet.Demand) {
	g.now = now
}

// Rang takes the timer.
func (g *Governor) Rang(now fleet.Micros, token uint64) {
	g.now = now
	g.beaten = true
	g.host.Wake(g.beat(), 0)
	for len(g.due) > 0 && g.due[0].at <= now {
		d := g.due[0]
		g.due = g.due[1:]
		switch {
		case d.on == askAgain:
			g.host.Follow()
		case d.on == windowOver:
			apply(g, gateMoves, &g.gate, windowOver, g)
		case d.r.stamp == d.stamp:
			g.tell(d.r, d.on)
		}
	}
	if g.sums > 0 && now-g.foldedAt >= g.terms.Period {
		g.learn()
		g.foldedAt, g.sums = now, 0
	}
}

// memory is the design's: figures are smoothed over about ten reports.
const memory = 10

// learn folds one report in and judges the replicas by it.
func (g *Governor) learn() {
	zones := make([]bool, len(g.tables))
	for _, r := range g.replicas {
		for i := range r.lines {
			zones[i] = zones[i] || r.lines[i].fresh.tries > 0
		}
	}
	waiting := false
	for _, r := range g.replicas {
		var sum decayed
		for i := range r.lines {
			l := &r.lines[i]
			if !zones[i] {
				continue
			}
			if l.fresh.span == 0 {
				l.fresh.span = float64(g.terms.Period)
			}
			if !g.tables[i].own || g.tables[i].operations&1 != 0 {
				sum.fold(l.fresh, math.Inf(1))
			}
			l.seen.fold(l.fresh, memory)
			l.fresh = decayed{}
		}
		due := r.all.tries / memory
		r.all.fold(sum, memory)
		r.brief.fold(sum, 2)
		if sum.tries > 0 || due < 1.5 {
			r.quiet = 0
		} else {
			r.quiet++
		}
		waiting = waiting || r.member() && !r.heard
	}
	if !waiting {
		apply(g, gateMoves, &g.gate, allHeard, g)
	}
	g.gauge()
	if g.gate == open {
		g.judge()
	}
	g.admit()
}

// pace is the mean time of tries over the objective; an error counts for half again the objective.
func (g *Governor) pace(d decayed) float64 {
	var objective float64
	for _, op := range g.terms.Operations {
		objective += float64(op.Objective) / float64(len(g.levels))
	}
	return (d.latency/objective + 1.5*d.errored) / max(d.tries, 1)
}

// gauge takes the fleet's stress from its median replica, so that a few jammed ones do not count as all.
func (g *Governor) gauge() {
	var paces []float64
	for _, r := range g.replicas {
		if b := r.brief; r.member() && b.tries >= 1 {
			paces = append(paces, g.pace(b))
		}
	}
	if len(paces) > 0 {
		sort.Float64s(paces)
		g.stress = paces[len(paces)/2]
	}
	// Work that is seen on replicas of late, over what the ones that stay in can do: a drain or a cold start shows
	// here before it shows in latency. At 85% it counts as the level that sheds.
	var work, room float64
	for _, r := range g.replicas {
		if g.now-r.busyAt < 3*fleet.Second {
			work += r.busy * g.part(r)
		}
		if !g.out(r) {
			room += g.part(r)
		}
	}
	if room > 0 {
		g.stress = max(g.stress, 0.5*work/room/0.85)
	}
}

// admit lets the operation that brings least for its time in less while the fleet is late, and more again once it is
// calm. It covers any shortage of capacity, whatever took it; it hurts if replicas are slow by nature yet not full.
func (g *Governor) admit() {
	if !g.terms.Admits || g.now < g.admitAt {
		return
	}
	order := make([]int, len(g.levels))
	worth := func(i int) float64 { return g.terms.Operations[i].Value / float64(g.terms.Operations[i].Objective) }
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return worth(order[i]) < worth(order[j]) })
	// Beyond half of the objective in the mean, the slower part of the answers is late. What a step does shows in
	// sums a second or two later: the next cut waits for that, the next rise half as long.
	const high, low, floor, pause = 0.5, 0.4, 0.1, 2 * fleet.Second
	if g.stress > high {
		for _, i := range order {
			if l := &g.levels[i]; l.share > floor {
				l.share = max(floor, l.share*max(0.6, high/g.stress))
				g.admitAt = g.now + pause
				break
			}
		}
	} else if g.stress < low {
		for k := range order {
			if l := &g.levels[order[len(order)-1-k]]; l.share < 1 {
				l.share = min(1, l.share*1.1+0.02)
				g.admitAt = g.now + pause/2
				break
			}
		}
	}
	for _, l := range g.levels {
		if math.Abs(l.share-l.told) >= 0.03 && g.fits(g.proxies, len(g.levels), 0.5, 3) {
			g.sendLevels()
			g.charge(g.proxies, len(g.levels))
			return
		}
	}
}

// judge tells replicas that fail, fall quiet or are far slower than the rest. A replica gone silent shows first as
// errors, then as no lines at all; sums that come late leave all quiet alike, and an overloaded fleet errs alike,
// so a replica is judged only against the others. It covers silent machines, crashes not yet listed, cut links and
// bad releases; it hurts where a third of the fleet is bad at once, since no more than that is taken out.
func (g *Governor) judge() {
	var fleetSum decayed
	ready, out, heard := 0, 0, 0
	for _, r := range g.replicas {
		if r.member() {
			ready++
			fleetSum.fold(r.brief, math.Inf(1))
			if r.state == resting {
				out++
			} else if r.quiet == 0 {
				heard++
			}
		}
	}
	for _, r := range g.replicas {
		if !r.member() || r.state == resting {
			continue
		}
		b := r.brief
		others := (fleetSum.errored - b.errored) / max(fleetSum.tries-b.tries, 1)
		errs := b.errored / max(b.tries, 1)
		// Nine tries in ten, and three times the others' share, on three errors: mere overload rarely gets there.
		bad := b.errored >= 3 && errs >= 0.9 && errs >= 3*others
		silent := r.quiet >= 2 && heard*2 > ready-out
		if (bad || silent) && (out+1)*3 <= ready {
			out++
			g.tell(r, failing)
			continue
		}
	}
}

// begin opens the gate: the first tables hold what was learnt so far.
func (g *Governor) begin(*Governor) {
	g.host.Log("gate open")
	g.solvedAt = g.now
}

// lay writes a table that no proxy uses yet.
func (g *Governor) lay(i int) {
	if g.tables[i].laid {
		return
	}
	g.tables[i].laid = true
	g.target(i)
	for _, r := range g.replicas {
		if l := &r.lines[i]; l.next > 0 {
			l.weight = l.next
			g.host.Assign(g.tables[i].id, r.id, l.weight)
		}
	}
}

// far is what a replica of another zone counts for beside a near one. A crossing costs its price for sure, so far ones
// start low; the preference gives way as the fleet nears half of its objective, and where the near ones are slower.
func (g *Governor) far(t *table) float64 {
	base := 1 / (1 + 60*g.terms.CrossPrice)
	var near, other decayed
	full, members := 0.0, 0.0
	for _, r := range g.replicas {
		if r.member() {
			members++
		}
		if r.state == serving {
			full++
		}
		if r.member() && r.zone == t.zone {
			near.fold(r.all, math.Inf(1))
		} else if r.member() {
			other.fold(r.all, math.Inf(1))
		}
	}
	if near.good < 1 || other.good < 1 {
		return base
	}
	ratio := near.latency / near.good / max(other.latency/other.good, 1)
	calm := min(max(2-4*g.stress, 0), 1) * max(0, 1-3*(1-full/max(members, 1)))
	return min(max(math.Pow(base, calm)*math.Pow(ratio, 4), base), 1)
}

// target works out a table's weights by the design: capacity is the served rate times the fleet's mean latency over
// the replica's own. What is little heard counts as average, near replicas above far ones, so that a weight
// does not feed on the traffic that it drew itself.
func (g *Governor) target(i int) {
	t := g.tables[i]
	far := g.far(t)
	// Twenty tries weigh as much as the average does: below that a mean latency says little.
	const doubt = 10.0
	var total, caps, priors decayed
	for _, r := range g.replicas {
		if r.member() {
			total.fold(r.all, math.Inf(1))
		}
	}
	mean := total.latency / max(total.good, 1)
	prior := func(r *replica) float64 {
		if r.zone == t.zone {
			return 1
		} else if t.own {
			return 0
		}
		return far
	}
	capacity := func(r *replica) float64 {
		l := r.lines[i].seen
		if l.span == 0 || r.all.good < 1 || r.all.latency <= 0 || r.state == easing {
			return -1
		}
		return l.good / l.span * mean / (r.all.latency / r.all.good)
	}
	for _, r := range g.replicas {
		if r.member() && r.state != resting {
			priors.good += prior(r)
			if c := capacity(r); c >= 0 {
				caps.good += c
				caps.tries += prior(r)
			}
		}
	}
	unit := caps.good / max(caps.tries, 1e-9) // capacity of an average near replica
	for _, r := range g.replicas {
		l := &r.lines[i]
		l.next = 0
		if !r.member() || prior(r) == 0 {
			continue
		}
		l.next = prior(r)
		if c := capacity(r); c >= 0 && unit > 0 {
			c = prior(r) * math.Pow(c/unit/prior(r)*(r.all.latency/r.all.good)/mean, 0.5) * mean / (r.all.latency / r.all.good)
			l.next = (c*l.seen.tries + prior(r)*doubt) / (l.seen.tries + doubt)
		}
		if r.state == easing {
			// What it serves now follows from its part, so only its latency tells of its speed.
			l.next *= g.part(r)
			if r.all.good >= 3 {
				l.next *= min(1, mean/(r.all.latency/r.all.good))
			}
		}
	}
}

// Settle sends what this moment calls for; withdrawals go first.
func (g *Governor) Settle(now fleet.Micros) {
	g.now = now
	g.withdraw()
	g.bindTurn()
	if g.gate == open {
		g.cut()
		if g.beaten {
			g.solve()
		}
	}
	g.beaten = false
	g.close()
}

// price is what a message with some lines adds to the queue at a proxy.
func (g *Governor) price(p *proxy, lines int) int {
	if p.lines > 0 {
		return lines
	}
	return lines + g.terms.Overhead + 1 + len(g.levels)
}

// fits tells whether lines for some proxies may be ordered now: the queue holds what is not acknowledged, since the
// channel may be slower than told, and spare messages at each proxy are kept for withdrawals.
func (g *Governor) fits(proxies []*proxy, lines int, most float64, spare int) bool {
	total := g.unacked
	for _, p := range g.proxies {
		total += p.lines
	}
	for _, p := range proxies {
		total += g.price(p, lines)
		for len(p.sent) > 0 && g.now-p.sent[0] > g.terms.MessagesSpan {
			p.sent = p.sent[1:]
		}
		if g.terms.MessagesMost > 0 && p.lines == 0 && len(p.sent)+spare >= g.terms.MessagesMost {
			return false
		}
	}
	return float64(total) <= most*float64(g.terms.QueueMost)
}

func (g *Governor) charge(proxies []*proxy, lines int) {
	for _, p := range proxies {
		p.lines += g.price(p, lines)
	}
}

// users gives the proxies bound to our tables.
func (g *Governor) users() []*proxy {
	var users []*proxy
	for _, p := range g.proxies {
		if p.state == bound {
			users = append(users, p)
		}
	}
	return users
}

// withdraw shuts out what drains, is gone or rests, for all joined proxies at once. A proxy that joined since may not
// know, so all are said again. Letting back in waits for the binds.
func (g *Governor) withdraw() {
	for _, r := range g.replicas {
		if g.out(r) && (!r.told || g.renew) && g.fits(g.proxies, 1, 0.9, 1) {
			g.host.Withdraw(r.id, true)
			g.charge(g.proxies, 1)
			r.told = true
		}
	}
	g.renew = false
}

// bindTurn binds a fifth of the proxies a beat once the gate is open. Before that only a proxy whose standing table
// may have lost its every line is bound: it holds few lines of its zone, untold which.
func (g *Governor) bindTurn() {
	var waiting []*proxy
	for _, p := range g.proxies {
		if p.state == loose && g.gate == shut && g.bare(p) {
			apply(g, proxyMoves, &p.state, atRisk, p)
		} else if p.state == loose {
			waiting = append(waiting, p)
		}
	}
	if g.gate == shut || !g.beaten {
		return
	}
	for _, p := range waiting[:min(len(waiting), 1+len(g.proxies)/5)] {
		if g.fits([]*proxy{p}, g.bindLines(), 0.5, 2) {
			apply(g, proxyMoves, &p.state, turn, p)
		}
	}
}

func (g *Governor) bindLines() int { return len(g.tables) / g.terms.Zones * (1 + 2*len(g.replicas)) }

func (g *Governor) bare(p *proxy) bool {
	zone, zoneOut, all, allOut := 0, 0, 0, 0
	for _, r := range g.replicas {
		all++
		if r.zone == p.zone {
			zone++
		}
		if g.out(r) {
			allOut++
			if r.zone == p.zone {
				zoneOut++
			}
		}
	}
	if zone < 3 {
		zone, zoneOut = all, allOut
	}
	return zoneOut > 0 && allOut < all && zoneOut >= min(g.terms.StandingSize, zone)
}

func (g *Governor) bind(p *proxy) {
	for i, t := range g.tables {
		if t.zone == p.zone {
			g.lay(i)
			g.host.Bind(p.id, t.id, t.operations)
			g.charge([]*proxy{p}, g.bindLines())
		}
	}
}

// cut sends a new quarter at once: a replica that restarted may stand in tables at full weight.
func (g *Governor) cut() {
	users := g.users()
	for _, r := range g.replicas {
		if !r.cutDue || !g.fits(users, 1, 0.9, 1) {
			continue
		}
		r.cutDue = false
		for i := range g.tables {
			g.target(i)
			if l := &r.lines[i]; l.next > 0 && l.next != l.weight && g.tables[i].laid {
				l.weight = l.next
				g.host.Assign(g.tables[i].id, r.id, l.weight)
			}
		}
		g.charge(users, 1)
	}
}

// solve moves the weights. It keeps to half of the messages that a proxy may get, and to two reports.
func (g *Governor) solve() {
	span := g.terms.Period
	if g.terms.MessagesMost > 0 {
		span = max(span, 2*g.terms.MessagesSpan/fleet.Micros(g.terms.MessagesMost))
	}
	users := g.users()
	if g.now-g.solvedAt < span || !g.fits(users, 2*len(g.replicas), 0.5, 3) {
		return
	}
	g.solvedAt = g.now
	lines := 0
	for _, r := range g.replicas {
		if r.told && !g.out(r) {
			g.host.Withdraw(r.id, false)
			r.told = false
			lines++
		}
	}
	for i, t := range g.tables {
		if !t.laid {
			continue
		}
		g.target(i)
		for _, r := range g.replicas {
			l := &r.lines[i]
			if l.weight > 0 && l.next > 0 {
				// The design's step of a tenth and dead band of 5%.
				l.next = min(max(l.next, l.weight*0.9), l.weight*1.1)
				if math.Abs(l.next-l.weight) < 0.05*l.weight {
					continue
				}
			}
			if l.next != l.weight {
				l.weight = l.next
				g.host.Assign(t.id, r.id, l.weight)
				lines++
			}
		}
	}
	if lines > 0 {
		g.charge(users, min(lines, 2*len(g.replicas)))
	}
}

func (g *Governor) sendLevels() {
	for i := range g.levels {
		l := &g.levels[i]
		l.told = l.share
		g.host.Level(fleet.Everywhere, 1<<i, l.share, l.way)
	}
}

// close ends the reply: each proxy that gets a message answers it.
func (g *Governor) close() {
	any := false
	for _, p := range g.proxies {
		if p.lines > 0 {
			if !any {
				any = true
				g.receipt = (g.receipt + 1) % 65536
				g.host.Receipt(g.receipt)
			}
			p.unacked = append(p.unacked, message{g.receipt, p.lines})
			if g.terms.MessagesMost > 0 {
				p.sent = append(p.sent, g.now)
			}
			g.unacked += p.lines
			p.lines = 0
		}
	}
}

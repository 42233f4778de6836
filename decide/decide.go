// Package decide holds every decision of a governor: what its proxies' tables contain, who is bound to them,
// which replicas are shut out, how much is let in, and when all of that is sent.
//
// A caller makes a Governor with New, hands it what it is told (Listed, Joined, Left, Applied, Heard, Rang)
// and calls Settle once all that came at one moment is in. Orders go out through fleet.Host; package fleet
// is the whole interface. Nothing else is read: no clock, no names, no other governor.
//
// Why a replica got its weight: target, then solve. Why a proxy was or was not bound: bindTurn. Why a
// replica was withdrawn: the rows of replicaMoves, judge for the input "failing", and out. In which order
// things leave: Settle.
//
// Mechanisms beside the design, six at most:
//  1. near first (far): a replica of another zone counts for less while the fleet is calm
//  2. damped feedback (target): a weight follows the rate that it drew itself by the root only
//  3. rest (judge): a replica that answers nothing while the others do is withdrawn and tried again later
//  4. levels (gauge, admit): the cheapest operation is let in less, none repeated, while the fleet is short
//  5. early bind, early hold (bare, out): what the rules need of proxies still on untold standing tables
//  6. ledger (fits): the queue is bounded by lines not acknowledged, messages by the limit for a proxy
package decide

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"peppervale/fleet"
)

// States and inputs are bits, so that a row of a table can name several.
type state uint16
type input uint16

const shut, open state = 1, 2                   // of the gate
const loose, bound, parted state = 1, 2, 4      // of a proxy; loose: on tables that we did not lay
const away, draining, easing state = 1, 2, 4    // of a replica; easing: in at a part of its weight, rising
const serving, resting state = 8, 16            // resting: listed as ready, withdrawn by us
const member state = easing | serving | resting // has lines in our tables

const allHeard, windowOver, turn, atRisk, left input = 1, 2, 4, 8, 16
const listed, started, drains, gone, failing, eased, rested, askAgain input = 1, 2, 4, 8, 16, 32, 64, 128

// move is a row: in one of these states, on one of these inputs, go there and do that.
type move[X any] struct {
	from state
	on   input
	to   state
	do   func(*Governor, X)
}

var gateMoves = []move[*Governor]{
	{shut, allHeard | windowOver, open, (*Governor).begin},
}

var replicaMoves = []move[*replica]{
	{away | draining, listed, serving, (*Governor).settle},
	{away | draining | member, started, easing, (*Governor).ease},
	{away | member, drains, draining, (*Governor).settle},
	{draining | member, gone, away, (*Governor).settle},
	{easing | serving, failing, resting, (*Governor).rest},
	{easing, eased, serving, (*Governor).settle},
	{resting, rested, easing, (*Governor).ease},
}

var proxyMoves = []move[*proxy]{
	{loose, turn | atRisk, bound, (*Governor).bind},
	{loose | bound, left, parted, (*Governor).forget},
}

// apply reads one input; what no row names changes nothing.
func apply[X any](g *Governor, rows []move[X], s *state, on input, x X) {
	for _, m := range rows {
		if m.from&*s != 0 && m.on&on != 0 {
			*s = m.to
			m.do(g, x)
			return
		}
	}
}

// sums are counts of tries with the time of the good ones, over a span; folding decays what was there.
type sums struct{ tries, good, errored, latency, span float64 }

func (d *sums) fold(n sums, keep float64) {
	d.tries, d.good, d.errored = d.tries*keep+n.tries, d.good*keep+n.good, d.errored*keep+n.errored
	d.latency, d.span = d.latency*keep+n.latency, d.span*keep+n.span
}

// line is a replica's place in a zone's table, and what that zone's proxies met there.
type line struct {
	weight, next float64 // as ordered, 0 for no line; to be ordered
	seen, fresh  sums    // over about ten reports; since the last
}

type replica struct {
	id                  fleet.ReplicaID
	zone                int
	state               state
	since, easedAt      fleet.Micros
	lines               []line // by table
	all, brief          sums   // of all zones, over about ten reports and two
	busy                float64
	busyAt              fleet.Micros
	quiet, rests, stamp int  // reports in a row without a line though some were due; rests in a row; for dueTime
	heard, cutDue, told bool // named in a report; its quarter is to be sent; its withdrawal was sent
}

type proxy struct {
	id          fleet.ProxyID
	zone, lines int // lines in the reply being written
	state       state
	unacked     []message
	sent        []fleet.Micros
}

type message struct{ number, lines int }

// dueTime is an input that comes at a set time; a replica's only while its stamp stands.
type dueTime struct {
	at    fleet.Micros
	on    input
	r     *replica // nil: for the governor itself
	stamp int
}

// Governor is one instance.
type Governor struct {
	terms                            fleet.Terms
	host                             fleet.Host
	now, foldedAt, solvedAt, admitAt fleet.Micros
	gate                             state
	replicas                         []*replica
	byID                             map[fleet.ReplicaID]*replica
	proxies                          []*proxy
	byProxy                          map[fleet.ProxyID]*proxy
	laid                             []int // zones whose table stands, in order
	due                              []dueTime
	unacked, askFails, receipt       int
	way                              fleet.Way // when proxies try again, as ordered
	renew, beaten                    bool      // a proxy joined; the timer rang
	shares, told                     []float64 // let in, by operation; as ordered
	order                            []int     // operations, the one that brings least for its time first
	came, objective, stress          float64   // tries since the last report; mean objective; see gauge
}

// New makes a governor, subscribes it to the list and starts its gate's window.
func New(t fleet.Terms, host fleet.Host, now fleet.Micros) *Governor {
	const window = 10 * fleet.Second // the start window is the design's default
	g := &Governor{terms: t, host: host, now: now, foldedAt: now, gate: shut, way: fleet.WhenUnrun,
		byID: map[fleet.ReplicaID]*replica{}, byProxy: map[fleet.ProxyID]*proxy{},
		told: make([]float64, len(t.Operations))}
	for i, op := range t.Operations {
		g.shares, g.order = append(g.shares, t.AdmitAll), append(g.order, i)
		g.objective += float64(op.Objective) / float64(len(t.Operations))
	}
	worth := func(i int) float64 { return t.Operations[i].Value / float64(t.Operations[i].Objective) }
	sort.SliceStable(g.order, func(i, j int) bool { return worth(g.order[i]) < worth(g.order[j]) })
	g.after(window, dueTime{on: windowOver})
	if t.Subscribe {
		host.Follow()
	}
	host.Wake(g.beat())
	g.sendLevels()
	return g
}

// beat is the one timer: five to a report, so that a round of binds takes about one report.
func (g *Governor) beat() fleet.Micros { return max(g.terms.Period/5, 50*fleet.Millisecond) }

func (g *Governor) after(span fleet.Micros, d dueTime) {
	d.at = g.now + span
	i := sort.Search(len(g.due), func(i int) bool { return g.due[i].at > d.at })
	g.due = slices.Insert(g.due, i, d)
}

// Listed takes news of the list. After a failure it asks again, but not at once: that would add to the cause.
func (g *Governor) Listed(now fleet.Micros, scope fleet.Scope, entries []fleet.Listing) {
	g.now = now
	if scope == fleet.Failed {
		g.askFails = min(g.askFails+1, 4)
		g.after(fleet.Micros(g.askFails)*fleet.Second/2, dueTime{on: askAgain})
		return
	}
	g.askFails = 0
	named := map[*replica]bool{}
	for _, e := range entries {
		r := g.byID[e.ID]
		if r == nil {
			r = &replica{id: e.ID, state: away, lines: make([]line, g.terms.Zones)}
			g.byID[e.ID] = r
			g.replicas = append(g.replicas, r)
		}
		r.zone, named[r] = e.Zone, true
		switch {
		case e.Life == fleet.Draining:
			g.tell(r, drains)
		case e.Life != fleet.Ready:
			g.tell(r, gone)
		case e.Since > 0 && e.Since != r.since && now-e.Since < easeSpan:
			r.since = e.Since
			g.tell(r, started)
		default:
			r.since = e.Since
			g.tell(r, listed)
		}
	}
	for _, r := range g.replicas {
		if scope != fleet.Change && !named[r] {
			g.tell(r, gone)
		}
	}
}

var inputNames = map[input]string{listed: "listed", started: "started", drains: "drains", gone: "gone",
	failing: "failing", eased: "eased", rested: "rested"}

func (g *Governor) tell(r *replica, on input) {
	from := r.state
	if apply(g, replicaMoves, &r.state, on, r); from != r.state {
		g.host.Log(fmt.Sprintf("replica %v:%d zone %d %s", r.id.Addr, r.id.Port, r.zone, inputNames[on]))
	}
}

// easeSpan is the design's default: a newly started replica reaches its full part after it.
const easeSpan = 30 * fleet.Second

func (g *Governor) settle(r *replica) { r.stamp, r.rests = r.stamp+1, 0 }

// ease starts a replica at a quarter, knowing nothing of it.
func (g *Governor) ease(r *replica) {
	r.stamp++
	r.easedAt, r.cutDue, r.quiet, r.all, r.brief = g.now, true, 0, sums{}, sums{}
	for i := range r.lines {
		r.lines[i].seen = sums{}
	}
	g.after(easeSpan, dueTime{on: eased, r: r, stamp: r.stamp})
}

// rest withdraws a replica. Eight seconds outlast most silences short of a restart; further rests double.
func (g *Governor) rest(r *replica) {
	r.stamp++
	g.after(8*fleet.Second<<min(r.rests, 2), dueTime{on: rested, r: r, stamp: r.stamp})
	r.rests++
}

// part is the share of its full weight that a replica may have now.
func (g *Governor) part(r *replica) float64 {
	if r.state != easing {
		return 1
	}
	return min(1, 0.25+0.75*float64(g.now-r.easedAt)/float64(easeSpan))
}

// sheds is the stress from which less is let in: with half of the objective in the mean, the slower part is
// late. Twice that is jammed: proxies run from full replicas to whatever still answers.
const sheds, jammed = 0.5, 1.0

// out tells whether a replica is shut out everywhere. A cold one is while the gate is shut, as it may stand
// in untold tables at full weight, and in a jam, as proxies that avoid what fails would all run to it.
func (g *Governor) out(r *replica) bool {
	cold := r.state == easing && g.now-r.since < g.terms.Cold
	return r.state&(easing|serving) == 0 || cold && (g.gate == shut || g.terms.Avoids && g.stress > jammed)
}

// Joined takes a proxy whose stream is established. It may hold old withdrawals, and not know ours.
func (g *Governor) Joined(now fleet.Micros, id fleet.ProxyID, zone int) {
	g.Left(now, id)
	if zone >= g.terms.Zones {
		zone = 0
	}
	p := &proxy{id: id, zone: zone, state: loose}
	g.byProxy[id], g.proxies, g.renew = p, append(g.proxies, p), true
}

// Left takes the end of a proxy's stream; what it had not acknowledged is lost.
func (g *Governor) Left(now fleet.Micros, id fleet.ProxyID) {
	g.now = now
	if p := g.byProxy[id]; p != nil {
		apply(g, proxyMoves, &p.state, left, p)
	}
}

func (g *Governor) forget(p *proxy) {
	g.acknowledge(p, len(p.unacked))
	delete(g.byProxy, p.id)
	g.proxies = slices.DeleteFunc(g.proxies, func(q *proxy) bool { return q == p })
}

func (g *Governor) acknowledge(p *proxy, n int) {
	for _, m := range p.unacked[:n] {
		g.unacked -= m.lines
	}
	p.unacked = p.unacked[n:]
}

// Applied takes a receipt; it covers every earlier message too.
func (g *Governor) Applied(now fleet.Micros, id fleet.ProxyID, number uint32) {
	g.now = now
	if p := g.byProxy[id]; p != nil {
		g.acknowledge(p, 1+slices.IndexFunc(p.unacked, func(m message) bool { return m.number == int(number) }))
	}
}

// Heard takes what a zone's proxies met at a replica. Figures that contradict themselves are dropped.
func (g *Governor) Heard(now fleet.Micros, s fleet.Sum) {
	g.now = now
	r := g.byID[s.Replica]
	if r == nil || s.Tries <= 0 || s.Span <= 0 || s.Errored < 0 || s.Errored > s.Tries || s.Latency < 0 ||
		s.Zone >= len(r.lines) {
		return
	}
	g.came, r.heard = g.came+float64(s.Tries), true
	if k := g.terms.BusyField; k >= 0 && k < len(s.Report) && s.Report[k] >= 0 {
		r.busy, r.busyAt = min(s.Report[k], 1), now
	}
	good := float64(s.Tries - s.Errored)
	n := sums{float64(s.Tries), good, float64(s.Errored), good * float64(s.Latency), float64(s.Span)}
	r.lines[s.Zone].fresh.fold(n, 1)
}

// Rang takes the one timer.
func (g *Governor) Rang(now fleet.Micros) {
	g.now, g.beaten = now, true
	g.host.Wake(g.beat())
	for len(g.due) > 0 && g.due[0].at <= now {
		d := g.due[0]
		g.due = g.due[1:]
		switch {
		case d.on == askAgain:
			g.host.Follow()
		case d.r == nil:
			apply(g, gateMoves, &g.gate, d.on, g)
		case d.r.stamp == d.stamp:
			g.tell(d.r, d.on)
		}
	}
	if g.came > 0 && now-g.foldedAt >= g.terms.Period {
		g.learn()
		g.foldedAt, g.came = now, 0
	}
}

// begin opens the gate. Tables are laid when their first proxy is bound, with what was learnt by then.
func (g *Governor) begin(*Governor) { g.host.Log("gate open") }

// learn folds one report in, with the design's memory of about ten, then judges by it.
func (g *Governor) learn() {
	const memory = 10
	waiting := false
	present := g.came * memory / max(g.came*memory, g.total(func(r *replica) sums { return r.all }).tries)
	for _, r := range g.replicas {
		var sum sums
		for i := range r.lines {
			l := &r.lines[i]
			l.fresh.span = max(l.fresh.span, float64(g.terms.Period))
			sum.fold(l.fresh, 1)
			l.seen.fold(l.fresh, 1-1.0/memory)
			l.fresh = sums{}
		}
		// One and a half tries due at the present traffic: two reports without any are then no chance.
		if sum.tries > 0 || r.all.tries/memory*present < 1.5 {
			r.quiet = 0
		} else {
			r.quiet++
		}
		r.all.fold(sum, 1-1.0/memory)
		r.brief.fold(sum, 0.5)
		waiting = waiting || r.state&member != 0 && !r.heard
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

// gauge takes the fleet's stress: time of tries over the objective, an error as half again the objective, at
// the median replica, so that a few jammed ones do not count as all. Where replicas report busy cores, the
// work seen of late over the room of those that stay in counts too, 85% as the level that sheds: a drain or
// a cold start shows there before it shows in latency.
func (g *Governor) gauge() {
	var work, room float64
	var paces []float64
	for _, r := range g.replicas {
		if b := r.brief; r.state&member != 0 && b.tries >= 1 {
			paces = append(paces, (b.latency/g.objective+1.5*b.errored)/b.tries)
		}
		// Three seconds: reports of a few periods, so that what has just left is still counted.
		if g.now-r.busyAt < 3*fleet.Second {
			work += r.busy * g.part(r)
		}
		if !g.out(r) {
			room += g.part(r)
		}
	}
	if sort.Float64s(paces); len(paces) > 0 {
		g.stress = paces[len(paces)/2]
	}
	if room > 0 {
		g.stress = max(g.stress, sheds*work/room/0.85)
	}
}

// admit lets the cheapest operation in less while the fleet is short, and more again once it is calm. It
// covers any shortage, whatever made it; it hurts if replicas are slow by nature yet not full.
func (g *Governor) admit() {
	// Some of each operation stays, to see its speed. A step shows in sums a second or two later: the next
	// cut waits for that, the next rise half as long.
	const calm, floor, pause = 0.4, 0.1, 2 * fleet.Second
	for k := 0; k < len(g.order) && g.terms.Admits && g.now >= g.admitAt; k++ {
		if s := &g.shares[g.order[k]]; g.stress > sheds && *s > floor {
			*s, g.admitAt = max(floor, *s*max(0.6, sheds/g.stress)), g.now+pause
			break
		}
		if s := &g.shares[g.order[len(g.order)-1-k]]; g.stress < calm && *s < 1 {
			*s, g.admitAt = min(1, *s*min(1.6, 0.9*calm/g.stress)+0.02), g.now+pause/2
			break
		}
	}
	way := fleet.WhenUnrun
	if g.stress > sheds || g.stress > calm && g.way == fleet.Never {
		way = fleet.Never
	}
	for i, s := range g.shares {
		if (way != g.way || math.Abs(s-g.told[i]) >= 0.03) && g.fits(g.proxies, len(g.shares), 0.5, 3) {
			g.way = way
			g.sendLevels()
			g.charge(g.proxies, len(g.shares))
			return
		}
	}
}

// sendLevels orders the shares, and one way for all: a further try on proof that the first never ran, safe
// for every effect and any table; none while the fleet is short, as tries turned away would treble.
func (g *Governor) sendLevels() {
	copy(g.told, g.shares)
	for i, s := range g.shares {
		g.host.Level(1<<i, s, g.way)
	}
}

func (g *Governor) count(of func(*replica) bool) (n int) {
	for _, r := range g.replicas {
		if of(r) {
			n++
		}
	}
	return n
}

// total adds sums of the replicas that have lines.
func (g *Governor) total(of func(*replica) sums) (t sums) {
	for _, r := range g.replicas {
		if r.state&member != 0 {
			t.fold(of(r), 1)
		}
	}
	return t
}

// judge tells replicas that answer nothing. A silent one shows first as errors, then as no lines at all;
// sums that come late leave all quiet alike, and an overloaded fleet errs alike, so a replica is judged
// against the others. It covers silent machines, crashes not yet listed and cut links; where a third of the
// fleet is out, the rest are left in, since those still answering must not tip over.
func (g *Governor) judge() {
	in := func(r *replica) bool { return r.state&(easing|serving) != 0 }
	out := g.count(func(r *replica) bool { return r.state == resting })
	ready := out + g.count(in)
	heard := g.count(func(r *replica) bool { return in(r) && r.quiet == 0 })
	fleetSum := g.total(func(r *replica) sums { return r.brief })
	for _, r := range g.replicas {
		b := r.brief
		others := (fleetSum.errored - b.errored) / max(fleetSum.tries-b.tries, 1)
		// Nine tries in ten, three times the others' share, on three errors: overload rarely gets there.
		bad := b.errored >= 3 && b.errored >= 0.9*b.tries && b.errored >= 3*others*b.tries
		silent := r.quiet >= 2 && heard*2 > ready-out
		if in(r) && (bad || silent) && g.stress < jammed && (out+1)*3 <= ready {
			out++
			g.tell(r, failing)
		}
	}
}

// far is what a replica of another zone counts for beside a near one. A crossing costs its price for sure, so
// it starts low; sixty times the price lies between what quiet and what jammed days want. It gives way as the
// fleet nears the level that sheds, where near ones are slower, and while a third of it is not in full.
func (g *Governor) far(zone int, all sums) float64 {
	base := 1 / (1 + 60*g.terms.CrossPrice)
	near := g.total(func(r *replica) sums {
		if r.zone != zone {
			return sums{}
		}
		return r.all
	})
	if near.good < 1 || all.good-near.good < 1 {
		return base
	}
	members := g.count(func(r *replica) bool { return r.state&member != 0 })
	short := 1 - float64(g.count(func(r *replica) bool { return r.state == serving }))/float64(members)
	ratio := near.latency / near.good / max((all.latency-near.latency)/(all.good-near.good), 1)
	calm := min(max(2-2*g.stress/sheds, 0), 1) * max(0, 1-3*short)
	return min(max(math.Pow(base, calm)*ratio, base), 1)
}

// target works out a table's weights by the design: served rate times the fleet's mean latency over the
// replica's own, the unheard as average, a started one at its part. The rate counts by the root of its ratio
// to the average, or a weight would feed on the traffic that it drew; the little heard leans to the average.
func (g *Governor) target(zone int) {
	fleetSum := g.total(func(r *replica) sums { return r.all })
	far := g.far(zone, fleetSum)
	prior := func(r *replica) float64 {
		if r.zone == zone {
			return 1
		}
		return far
	}
	rates, priors := 0.0, 0.0
	for _, r := range g.replicas {
		if l := r.lines[zone].seen; r.state == serving && l.span > 0 {
			rates += l.good / l.span
			priors += prior(r)
		}
	}
	mean := fleetSum.latency / max(fleetSum.good, 1)
	for _, r := range g.replicas {
		l := &r.lines[zone]
		l.next = 0
		if r.state&member == 0 {
			continue
		}
		l.next = prior(r) * g.part(r)
		speed := 1.0
		if r.all.good >= 1 && r.all.latency > 0 {
			speed = mean / (r.all.latency / r.all.good)
		}
		if r.state == easing && r.all.good >= 3 {
			// What it serves follows from its part, so only latency tells its speed, up to twice.
			l.next *= min(2, speed)
		} else if r.state != easing && l.seen.span > 0 && rates > 0 {
			// Ten tries weigh as much as the average does: below that a mean latency says little.
			const doubt = 10.0
			rate := l.seen.good / l.seen.span / rates * priors
			l.next = (math.Sqrt(rate*l.next)*speed*l.seen.tries + l.next*doubt) / (l.seen.tries + doubt)
		}
	}
}

// Settle sends what this moment calls for; withdrawals go first, and each proxy reached answers.
func (g *Governor) Settle(now fleet.Micros) {
	g.now = now
	g.withdraw()
	g.bindTurn()
	g.cut()
	g.solve()
	g.beaten = false
	asked := false
	for _, p := range g.proxies {
		if p.lines == 0 {
			continue
		}
		if !asked {
			asked, g.receipt = true, (g.receipt+1)%65536
			g.host.Receipt(uint32(g.receipt))
		}
		p.unacked = append(p.unacked, message{g.receipt, p.lines})
		p.sent = append(p.sent, g.now)
		g.unacked += p.lines
		p.lines = 0
	}
}

// price is what lines for a proxy add to the queue: a new message brings its head, receipt and levels.
func (g *Governor) price(p *proxy, lines int) int {
	if p.lines > 0 {
		return lines
	}
	return lines + g.terms.Overhead + 1 + len(g.shares)
}

// fits tells whether lines for some proxies may be ordered now. The channel may be slower than told, so all
// that is not acknowledged counts as queued; spare messages at a proxy are kept for what is more urgent.
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

// withdraw shuts replicas out for all joined proxies, and again when one has joined. Letting back in waits
// for a solve. If none is left in, those that rest come back: a bare proxy is worse than one that errs.
func (g *Governor) withdraw() {
	if g.count(g.out) == len(g.replicas) {
		for _, r := range g.replicas {
			g.tell(r, rested)
		}
	}
	for _, r := range g.replicas {
		if g.out(r) && (!r.told || g.renew) && g.fits(g.proxies, 1, 0.9, 1) {
			g.host.Withdraw(r.id, true)
			g.charge(g.proxies, 1)
			r.told = true
		}
	}
	g.renew = g.renew && !g.fits(g.proxies, 1, 0.9, 1) // what found no room is said later
}

// bindTurn binds a fifth of the proxies a beat once the gate is open; before that only one that may be bare.
func (g *Governor) bindTurn() {
	quota := 1 + len(g.proxies)/5
	for _, p := range g.proxies {
		if p.state != loose {
			continue
		}
		if g.gate == shut && g.bare(p) {
			apply(g, proxyMoves, &p.state, atRisk, p)
		} else if g.gate == open && g.beaten && quota > 0 && g.fits([]*proxy{p}, 1+2*len(g.replicas), 0.5, 2) {
			quota--
			apply(g, proxyMoves, &p.state, turn, p)
		}
	}
}

// bare tells whether withdrawals may have emptied a proxy's standing table: it holds few lines, untold
// which, of its zone if three replicas are there, else of all.
func (g *Governor) bare(p *proxy) bool {
	near := func(r *replica) bool { return r.zone == p.zone }
	if g.count(near) < 3 {
		near = func(*replica) bool { return true }
	}
	out := g.count(func(r *replica) bool { return near(r) && g.out(r) })
	return out > 0 && g.count(g.out) < len(g.replicas) && out >= min(g.terms.StandingSize, g.count(near))
}

// bind puts a proxy on its zone's table, laying that first if it has no user yet.
func (g *Governor) bind(p *proxy) {
	if !slices.Contains(g.laid, p.zone) {
		g.laid = append(g.laid, p.zone)
		slices.Sort(g.laid)
		g.target(p.zone)
		for _, r := range g.replicas {
			g.assign(r, p.zone)
		}
	}
	g.host.Bind(p.id, fleet.TableID(p.zone))
	g.charge([]*proxy{p}, 1+2*len(g.replicas))
}

// assign orders a line if that changes it.
func (g *Governor) assign(r *replica, zone int) int {
	l := &r.lines[zone]
	if l.next == l.weight {
		return 0
	}
	l.weight = l.next
	g.host.Assign(fleet.TableID(zone), r.id, l.weight)
	return 1
}

// users gives the proxies bound to our tables.
func (g *Governor) users() (users []*proxy) {
	for _, p := range g.proxies {
		if p.state == bound {
			users = append(users, p)
		}
	}
	return users
}

// cut sends a new quarter at once: a replica that restarted may stand in our tables at full weight.
func (g *Governor) cut() {
	for _, r := range g.replicas {
		if !r.cutDue || !g.fits(g.users(), 1, 0.9, 1) {
			continue
		}
		r.cutDue = false
		for _, zone := range g.laid {
			g.target(zone)
			g.assign(r, zone)
		}
		g.charge(g.users(), 1)
	}
}

// solve moves the weights once a report, within half of the messages that a proxy may get.
func (g *Governor) solve() {
	span := g.terms.Period
	if g.terms.MessagesMost > 0 {
		span = max(span, 2*g.terms.MessagesSpan/fleet.Micros(g.terms.MessagesMost))
	}
	if g.gate == shut || !g.beaten || g.now-g.solvedAt < span || !g.fits(g.users(), 2*len(g.replicas), 0.5, 3) {
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
	for _, zone := range g.laid {
		g.target(zone)
		for _, r := range g.replicas {
			if l := &r.lines[zone]; l.weight > 0 && l.next > 0 {
				// The design's step of a tenth and dead band of 5%.
				l.next = min(max(l.next, l.weight*0.9), l.weight*1.1)
				if math.Abs(l.next-l.weight) < 0.05*l.weight {
					l.next = l.weight
				}
			}
			lines += g.assign(r, zone)
		}
	}
	if lines > 0 {
		g.charge(g.users(), min(lines, 2*len(g.replicas)))
	}
}

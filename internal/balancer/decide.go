// Package decide holds every decision of a governor: tables, binds, withdrawals, levels, and their time.
//
// A caller makes a Governor with New, hands it what it is told (Listed, Joined, Left, Applied, Heard, Rang)
// and calls Settle once all that came at one moment is in. Orders go out through fleet.Host; package fleet is
// the whole interface. Which lines a table has: fill. Their weights: weigh, order. Who is bound: bindTurn.
// Why a replica is withdrawn: replicaMoves, judge for "failing", and out. What leaves first: Settle.
//
// Mechanisms beside the design, six at most:
//  1. near first (weigh): a replica of another zone counts for less while the fleet is calm
//  2. damped feedback (weigh): a weight follows the rate that it drew itself by the root only
//  3. rest (judge): a replica that answers nothing while the others do is withdrawn and tried again later
//  4. levels (learn, admit): the cheapest operation is let in less, none repeated, while the fleet is short
//  5. early bind, early hold (bare, out): what the rules need of proxies still on untold standing tables
//  6. ledger (pay): the queue is bounded by lines not acknowledged, messages by the limit for a proxy
package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"peppervale/internal/model"
)

// States and inputs are bits, so that a row of a table can name several.
type state uint16
type input uint16

const shut, open state = 1, 2                // of the gate
const loose, bound, parted state = 1, 2, 4   // of a proxy; loose: on tables that we did not lay
const away, draining, easing state = 1, 2, 4 // of a replica; easing: in at a part of its weight, rising
const serving, resting state = 8, 16         // resting: listed as ready, withdrawn by us

const allHeard, windowOver, turn, atRisk, left input = 1, 2, 4, 8, 16
const listed, started, drains, gone, failing, eased, rested, askAgain input = 1, 2, 4, 8, 16, 32, 64, 128

var gateMoves = []move[*Balancer]{
	{shut, allHeard | windowOver, open, func(g, _ *Balancer) { g.host.Log("gate open") }},
}

var replicaMoves = []move[*replica]{
	{away | draining, listed, serving, (*Balancer).settle},
	{away | draining | easing | serving | resting, started, easing, (*Balancer).ease},
	{away | easing | serving | resting, drains, draining, (*Balancer).settle},
	{draining | easing | serving | resting, gone, away, (*Balancer).settle},
	{easing | serving, failing, resting, (*Balancer).rest},
	{easing, eased, serving, (*Balancer).settle},
	{resting, rested, easing, (*Balancer).ease},
}

var proxyMoves = []move[*proxy]{
	{loose, turn | atRisk, bound, (*Balancer).bind},
	{loose | bound, left, parted, (*Balancer).forget},
}

// Balancer is one instance.
type Balancer struct {
	terms                           model.Config
	host                            model.Publisher
	now, joinedAt                   model.Microseconds
	foldedAt, solvedAt, admitAt     model.Microseconds
	gate                            state
	replicas                        []*replica
	byID                            map[model.ReplicaID]*replica
	proxies, written                []*proxy // joined; reached by the reply being written
	byProxy                         map[model.ProxyID]*proxy
	tables                          []*table
	zones                           [][]*table // the same by zone, then those for operations that stay in it
	costs                           []int      // of binds by zone, then in a rush; 0: not known
	width, longest, turn            int        // lines wanted and most lines of a table; the next first one
	due                             []dueTime
	unacked, aged, receipt, chances int               // aged: see weighQueue
	loose                           int               // proxies not bound
	way                             model.RetryPolicy // when proxies try again, as ordered
	beaten, changed, askAll         bool              // the timer rang; a proxy or a state changed; all are to answer
	blocked, rush                   bool              // withdrawals wait for room; binds come before them
	why                             string            // of what is told next: the figure that passed its bound
	shares, told                    []float64         // let in, by operation; as ordered
	cheap                           []int             // operations, the one that brings least for its time first
	came, rate                      float64           // tries since the last report; tries remembered, by time
	objective, pace, stress, colds  float64           // mean objective; see learn; the share that is new and cold
}

// New makes a governor, subscribes it to the list and starts its gate's window.
func New(t model.Config, host model.Publisher, now model.Microseconds) *Balancer {
	// The start window: a report is gathered in one period and comes in a second; a third serves replicas whose
	// first line waits its turn. Who is unheard then stands in no table. The design's 10 s is the most.
	window := min(3*t.ReportPeriod, 10*model.Second)
	g := &Balancer{terms: t, host: host, now: now, foldedAt: now, gate: shut, way: model.RetryIfNotExecuted,
		byID: map[model.ReplicaID]*replica{}, byProxy: map[model.ProxyID]*proxy{},
		told: make([]float64, len(t.Operations)), zones: make([][]*table, t.Zones),
		costs: make([]int, 2*t.Zones)}
	if t.ZoneLocalOperations != 0 && t.ZoneLocalOperations != 1<<len(t.Operations)-1 {
		g.zones = make([][]*table, 2*t.Zones)
	}
	for i, op := range t.Operations {
		g.shares, g.cheap = append(g.shares, t.FullQuota), append(g.cheap, i)
		g.objective += float64(op.LatencyObjective) / float64(len(t.Operations))
	}
	worth := func(i int) float64 { return t.Operations[i].PriorityWeight / float64(t.Operations[i].LatencyObjective) }
	slices.SortStableFunc(g.cheap, func(i, j int) int { return cmp.Compare(worth(i), worth(j)) })
	g.after(window, dueTime{on: windowOver})
	if host.SetTimer(g.beat()); t.SubscriptionRequired {
		host.Subscribe()
	}
	g.sendLevels()
	return g
}

// beat is the one timer: five to a report, so that a round of binds takes about one report.
func (g *Balancer) beat() model.Microseconds {
	return max(g.terms.ReportPeriod/5, 50*model.Millisecond)
}

// EndpointsChanged takes news of the list. After a failure it asks again in a second: at once would add to the cause.
func (g *Balancer) EndpointsChanged(now model.Microseconds, scope model.EndpointUpdate, entries []model.Endpoint) {
	g.now = now
	if scope == model.PollFailed {
		g.after(model.Second, dueTime{on: askAgain})
		return
	}
	named := map[*replica]bool{}
	for _, e := range entries {
		r := g.byID[e.ID]
		if r == nil {
			r = &replica{id: e.ID, state: away}
			g.byID[e.ID] = r
			// In an order by chance, so that governors fill their tables differently.
			g.replicas = slices.Insert(g.replicas, g.chance(len(g.replicas)+1), r)
		}
		r.zone, named[r] = e.Zone%g.terms.Zones, true
		switch {
		case e.Status == model.EndpointDraining:
			g.tell(r, drains)
		case e.Status != model.EndpointReady:
			g.tell(r, gone)
		case e.StartedAt > 0 && e.StartedAt != r.since && now-e.StartedAt < easeSpan:
			r.since = e.StartedAt
			g.tell(r, started)
		default:
			r.since = e.StartedAt
			g.tell(r, listed)
		}
	}
	for _, r := range g.replicas {
		if scope != model.ChangedEntries && !named[r] {
			g.tell(r, gone)
		}
	}
}

var inputNames = map[input]string{listed: "listed", started: "started", drains: "drains", gone: "gone",
	failing: "failing", eased: "eased", rested: "rested"}

func (g *Balancer) tell(r *replica, on input) {
	from := r.state
	apply(g, replicaMoves, &r.state, on, r)
	// Whoever was out here, or started lately, may have been shut out by other governors too.
	g.changed, r.doubt = true, r.doubt || r.since > 0 || on != listed && from != r.state
	if from != r.state && on != listed { // hundreds of these would flood the log at start
		g.host.Log(fmt.Sprintf("replica %v:%d zone %d %s%s", r.id.Addr, r.id.Port, r.zone, inputNames[on], g.why))
	}
	g.why = ""
}

// easeSpan is the design's default: a newly started replica reaches its full part after it.
const easeSpan = 30 * model.Second

func (g *Balancer) settle(r *replica) { r.stamp, r.rests = r.stamp+1, 0 }

// ease starts a replica at a quarter, knowing nothing of it. It may stand in our tables at full weight. The 30 s
// run from its start, if that is why: a governor that starts amid a release would hold all for equally young.
func (g *Balancer) ease(r *replica) {
	r.stamp, r.back = r.stamp+1, r.all.span > 0
	if r.easedAt = g.now; r.rests == 0 && g.now-r.since < easeSpan {
		r.easedAt = r.since
	}
	r.heardAt, r.fresh, r.all, r.brief = g.now, sums{}, sums{}, sums{}
	for _, l := range r.lines {
		l.cut = l.weight > 0
	}
	g.after(r.easedAt+easeSpan-g.now, dueTime{on: eased, r: r, stamp: r.stamp})
}

// rest withdraws a replica. Eight seconds outlast most silences short of a restart; further rests double.
func (g *Balancer) rest(r *replica) {
	r.stamp++
	g.after(8*model.Second<<min(r.rests, 2), dueTime{on: rested, r: r, stamp: r.stamp})
	r.rests++
}

// part is the share of its full weight that a replica may have now.
func (g *Balancer) part(r *replica) float64 {
	if r.state != easing {
		return 1
	}
	return min(1, 0.25+0.75*float64(g.now-r.easedAt)/float64(easeSpan))
}

// sheds is the stress that sheds: with half of the objective in the mean, the slower part is late.
const calm, sheds, jammed = 0.4, 0.5, 1.0

// out tells whether a replica is shut out everywhere: a cold one while the gate is shut, as untold tables
// hold it in full, and in a table near a jam, or of one proxy, whose run no sum tells, unless half is new.
func (g *Balancer) out(r *replica) bool {
	// The younger it is the less a run may bring: the level falls to 0.64 at its start. From 0.58 and 0.45 no
	// more of the broken days are kept, and releases beside errors lose far more.
	young := 1 - min(1, float64(g.now-r.since)/float64(max(g.terms.WarmUpPeriod, 1)))
	near := func(l *line) bool { return l.t.risk > 0.7-0.06*young || len(l.t.users) == 1 }
	jam := g.stress > jammed || slices.ContainsFunc(r.lines, near)
	return !r.in() || g.cold(r) && (g.gate == shut || g.terms.ProxiesAvoidFailing && jam && g.colds < 0.5)
}

func (g *Balancer) cold(r *replica) bool {
	return r.state == easing && g.now-r.since < g.terms.WarmUpPeriod
}

// ProxyConnected takes a proxy whose stream is established. It may hold old withdrawals, and not know ours.
func (g *Balancer) ProxyConnected(now model.Microseconds, id model.ProxyID, zone int, usual float64) {
	g.ProxyDisconnected(now, id)
	p := &proxy{id: id, zone: zone % g.terms.Zones, usual: usual, state: loose}
	g.byProxy[id], g.proxies, g.changed, g.joinedAt = p, append(g.proxies, p), true, now
}

// ProxyDisconnected takes the end of a proxy's stream; what it had not acknowledged is lost.
func (g *Balancer) ProxyDisconnected(now model.Microseconds, id model.ProxyID) {
	g.now = now
	if p := g.byProxy[id]; p != nil {
		apply(g, proxyMoves, &p.state, left, p)
	}
}

// Acknowledged takes a receipt; it covers every earlier message too.
func (g *Balancer) Acknowledged(now model.Microseconds, id model.ProxyID, number uint32) {
	g.now = now
	if p := g.byProxy[id]; p != nil {
		g.acknowledge(p, 1+slices.IndexFunc(p.unacked, func(m message) bool { return m.number == int(number) }))
	}
}

// LoadReported takes what a zone's proxies met at a replica. Figures that contradict themselves are dropped.
func (g *Balancer) LoadReported(now model.Microseconds, s model.LoadReport) {
	g.now = now
	r := g.byID[s.Replica]
	if r == nil || s.Attempts <= 0 || s.Window <= 0 || s.Errors < 0 || s.Errors > s.Attempts || s.MeanLatency < 0 {
		return
	}
	if r.heard = true; r.all.span == 0 && r.fresh.tries == 0 {
		r.heardAt = now - s.Window
	}
	if k := g.terms.UtilizationField; k >= 0 && k < len(s.Readings) && s.Readings[k] >= 0 {
		r.busy, r.busyAt = min(s.Readings[k], 1), now
	}
	good := float64(s.Attempts - s.Errors)
	r.fresh.fold(sums{float64(s.Attempts), good, float64(s.Errors), good * float64(s.MeanLatency), 0}, 1)
	g.came += float64(s.Attempts)
}

// TimerFired takes the one timer.
func (g *Balancer) TimerFired(now model.Microseconds) {
	g.now, g.beaten = now, true
	g.host.SetTimer(g.beat())
	for len(g.due) > 0 && g.due[0].at <= now {
		d := g.due[0]
		g.due = g.due[1:]
		switch {
		case d.on == askAgain:
			g.host.Subscribe()
		case d.r == nil:
			apply(g, gateMoves, &g.gate, d.on, g)
		case d.r.stamp == d.stamp:
			g.tell(d.r, d.on)
		}
	}
	if g.came > 0 && now-g.foldedAt >= g.terms.ReportPeriod {
		g.learn()
		g.foldedAt, g.came = now, 0
	}
}

// learn folds in what reports brought, over about ten. A line may cover several periods: rates go by the time
// since the last. Stress is the time of good tries over the objective, more with errors, at the median
// replica; or, where reported, the busy cores at the median, or of all over the room of those that stay in.
func (g *Balancer) learn() {
	waiting, work, room := false, 0.0, 0.0
	var paces, busy []float64
	for _, r := range g.replicas {
		waiting = waiting || r.member() && !r.heard
		if r.fresh.tries > 0 {
			r.fresh.span = float64(g.now - r.heardAt)
			periods := max(r.fresh.span/float64(g.terms.ReportPeriod), 1)
			r.all.fold(r.fresh, math.Pow(0.9, periods)) // about ten
			r.brief.fold(r.fresh, math.Pow(0.5, periods))
			r.fresh, r.heardAt = sums{}, g.now
		}
		// Errors count as far as the good tries are slow: quick ones tell of replicas that fail, and letting in
		// less helps none of them. Too few tries tell nothing, or a fleet shed to little stays shed.
		if b := r.brief; b.good >= 1 {
			r.pace = min(1.5, b.latency/b.good/g.objective*(1+b.errored/b.tries))
		} else if r.pace = 0; b.errored >= 2 {
			r.pace = 1.5
		}
		// Errors drive proxies that avoid what fails away as lateness does.
		r.risk = max(r.pace, r.brief.errored/max(r.brief.tries, 1))
		if r.member() && r.pace > 0 {
			paces = append(paces, r.pace)
		}
		// Three seconds: reports of a few periods, so that what has just left is still counted.
		if g.now-r.busyAt < 3*model.Second {
			work, busy = work+r.busy*g.part(r), append(busy, r.busy)
		}
		if !g.out(r) {
			room += g.part(r)
		}
	}
	mid := median(busy)
	g.pace = median(paces)
	if g.stress = g.pace; len(busy) > 0 {
		// Tries may be slow for other reasons than full replicas: below 70% in use few of them wait.
		g.stress *= min(1, mid/0.7)
	}
	if room > 0 {
		// So full is short. Beyond nine tenths it no longer tells how short: all in use counts as nearly jammed.
		full := max(work/room, mid)
		g.stress = max(g.stress, sheds*full/0.9, min(0.95, sheds+sheds*(full-0.9)/0.1))
	}
	news := g.count(func(r *replica) bool { return g.cold(r) && !r.back })
	g.colds = float64(news) / float64(max(g.count((*replica).in), 1))
	if !waiting {
		apply(g, gateMoves, &g.gate, allHeard, g)
	}
	if g.gate == open {
		g.judge()
	}
	g.admit()
}

// admit lets the cheapest operation in less while the fleet is short, and more again once it is calm. It
// covers any shortage, whatever made it; it hurts if replicas are slow by nature yet not full.
func (g *Balancer) admit() {
	// Some of each operation stays, to see its speed. A step shows in sums a second or two later: the next cut
	// waits for that, the next rise half as long.
	const floor, pause = 0.1, 2 * model.Second
	for k := 0; k < len(g.cheap) && g.terms.AdmissionControl && g.now >= g.admitAt; k++ {
		if s := &g.shares[g.cheap[k]]; g.stress > sheds && *s > floor {
			*s, g.admitAt = max(floor, *s*max(0.6, sheds/g.stress)), g.now+pause
			break
		}
		if s := &g.shares[g.cheap[len(g.cheap)-1-k]]; g.stress < calm && *s < 1 {
			*s, g.admitAt = min(1, *s*min(1.6, calm/g.stress)+0.03), g.now+pause/2
			break
		}
	}
	way := model.RetryIfNotExecuted
	if g.stress > sheds || g.stress > calm && g.way == model.RetryNever || g.colds > 0.25 {
		way = model.RetryNever
	}
	for i, s := range g.shares {
		moved := math.Abs(s-g.told[i]) >= 0.03 || s == 1 && g.told[i] < 1
		if (way != g.way || moved) && g.pay(g.proxies, len(g.shares), 0.7, 3) {
			g.way = way
			g.sendLevels()
			return
		}
	}
}

// sendLevels orders the shares, and one way for all: a further try on proof that the first never ran, safe
// for every effect and table; none while the fleet is short or a quarter new, as tries turned away treble.
func (g *Balancer) sendLevels() {
	copy(g.told, g.shares)
	for i, s := range g.shares {
		g.host.SetQuota(1<<i, s, g.way)
	}
}

// judge tells replicas that answer nothing: first errors, then no lines. Late sums leave all quiet and
// overload errs alike, so each is judged beside the others; with a third out the rest stay in.
func (g *Balancer) judge() {
	all, ages := sums{}, []float64{}
	for _, r := range g.replicas {
		if r.in() && r.due > 0 {
			all.fold(r.brief, 1)
			ages = append(ages, float64(g.now-r.heardAt))
		}
	}
	usual := 2 * (upto(0.75, ages) + float64(g.terms.ReportPeriod))
	present := min(1, g.came/max(float64(g.now-g.foldedAt)*g.rate, 1e-9))
	out := g.count(func(r *replica) bool { return !r.in() && g.now-r.heardAt < easeSpan })
	ready := out + g.count((*replica).in)
	for _, r := range g.replicas {
		if !r.in() || g.stress >= jammed || (out+1)*3 > ready {
			continue
		}
		b, age := r.brief, float64(g.now-r.heardAt)
		others := (all.errored - b.errored) / max(all.tries-b.tries, 1)
		// Nine tries in ten, three times the others' share, on three errors. While the fleet is not calm, one whose
		// good tries are late is full, not broken: with it out, the rest would be full next.
		bad := b.errored >= max(3, 0.9*b.tries, 3*others*b.tries) &&
			(b.latency <= b.good*g.objective || g.pace < calm)
		// Three in four had a line within half of that; five tries due by then are no chance.
		due := r.all.tries / max(r.all.span, 1) * present * age
		if bad || r.due > 0 && due >= 5 && age > usual {
			out++
			g.why = fmt.Sprintf(": not heard of for %.1f s, over %.1f, %.0f tries due", age/1e6, usual/1e6, due)
			if bad {
				g.why = fmt.Sprintf(": %.1f of %.1f tries errored, %.0f%% elsewhere", b.errored, b.tries, 100*others)
			}
			g.tell(r, failing)
		}
	}
}

// prior is a line's weight before anything is learnt of the replica's speed.
func (g *Balancer) prior(l *line) float64 {
	if !l.r.member() {
		return 0
	} else if l.r.zone == l.t.zone {
		return g.part(l.r)
	}
	return g.part(l.r) * l.t.far
}

// weigh works out what replicas can take by the design: served rate times the fleet's mean latency over the
// replica's own, the unheard as average. The rate counts beside what the priors of its lines are due, and by
// the root, or a weight would feed on the traffic that it drew; the little heard leans to the average.
func (g *Balancer) weigh() {
	all, usual := sums{}, 0.0
	g.rate = 0
	for _, r := range g.replicas {
		if r.due = 0; r.member() {
			all.fold(r.all, 1)
			g.rate += r.all.tries / max(r.all.span, 1)
		}
	}
	// A crossing costs its price for sure: sixty times that lies between what quiet and what jammed days want.
	// It gives way near shedding, to quicker far ones, and as a third of the near or of all is not in full.
	base := 1 / (1 + 60*g.terms.CrossZoneCost)
	ease := min(max(2-2*g.stress/sheds, 0), 1)
	full := g.count(func(r *replica) bool { return r.state == serving })
	whole := float64(full) / float64(max(g.count((*replica).member), 1))
	for _, t := range g.tables {
		var near, far sums
		var paces, risks []float64
		parts, nears := 0.0, 1e-9
		for _, l := range t.lines {
			if l.r.member() && l.r.zone == t.zone {
				near.fold(l.r.all, 1)
				parts, nears = parts+g.part(l.r), nears+1
			} else if l.r.member() {
				far.fold(l.r.all, 1)
			}
			if l.r.in() {
				paces, risks = append(paces, l.r.pace), append(risks, l.r.risk)
			}
		}
		t.pace, t.risk = median(paces), median(risks)
		t.far = math.Pow(base, ease*max(0, 3*min(whole, parts/nears)-2))
		if near.good >= 1 && far.good >= 1 {
			t.far *= near.latency / near.good / max(far.latency/far.good, 1)
		}
		t.far = min(max(t.far, base), 1)
		priors := 1e-9
		for _, l := range t.lines {
			priors += g.prior(l)
		}
		for _, l := range t.lines {
			l.r.due += t.usual * g.prior(l) / priors
		}
		usual += t.usual
	}
	for _, r := range g.replicas {
		r.draws = 1
		if r.member() && r.all.good >= 1 && r.all.latency > 0 {
			r.draws = all.latency / all.good / (r.all.latency / r.all.good)
		}
		if r.state == easing {
			// What it serves follows from its part, so only latency tells its speed, up to twice.
			r.draws = min(2, r.draws)
		} else if r.due > 0 && g.rate > 0 && r.all.span > 0 {
			r.draws *= math.Sqrt(r.all.good / r.all.span / g.rate * usual / r.due)
		}
		// Ten tries weigh as much as the average does: below that a mean latency says little.
		r.draws = (r.draws*r.all.tries + 10) / (r.all.tries + 10)
	}
}

// lay makes a zone's tables. A line costs connections, handshakes and orders: it is wanted for a try each 2.5
// s, or more where orders are dear, up to a quarter of the connections of the smallest replica. Eight at
// least, to lose a few, and so many that eighteen proxies feed each replica, to even them out; 2/3 near.
func (g *Balancer) lay(list int) {
	usual, n, proxies := 0.0, float64(len(g.replicas)), float64(max(g.terms.ProxyCount, 1))
	for _, p := range g.proxies {
		usual += p.usual / float64(len(g.proxies))
	}
	tries := usual * min(2.5, 0.05/max(g.terms.PublishCost, 1e-9))
	conns := n / 4 * float64(g.terms.MinReplicaConnections) / proxies
	if g.width = max(len(g.replicas), 1); tries > 0 && conns > 0 {
		g.width = int(min(max(8, 18*n/proxies, min(tries, conns)), float64(g.width)))
	}
	zone := list % g.terms.Zones
	near := g.count(func(r *replica) bool { return r.zone == zone && r.member() })
	for range max(1, (3*near+g.width-1)/(2*g.width)) {
		t := &table{id: model.TableID(len(g.tables)), zone: zone, list: list, width: g.width}
		t.own = g.terms.ZoneLocalOperations != 0 && list >= len(g.zones)-g.terms.Zones
		g.tables, g.zones[list] = append(g.tables, t), append(g.zones[list], t)
	}
	clear(g.costs)
	g.fill(list)
	g.weigh()
	for _, t := range g.zones[list] {
		g.order(t, 1, 0, func(*line) bool { return true })
	}
}

// fill gives a zone's shortest table one more line, until all have enough and each near replica is in one.
// Tables for operations that stay in the zone have near ones only.
// Those with the fewest lines in the zone come first, near ones before others, then the fewest in all.
func (g *Balancer) fill(list int) {
	zone := list % g.terms.Zones
	here := func(l *line) bool { return l.t.list == list }
	unplaced := func(r *replica) bool { return r.zone == zone && r.in() && !slices.ContainsFunc(r.lines, here) }
	short := func(t *table) bool { return t.open() < t.width }
	all := g.zones[list]
	if len(all) == 0 ||
		!slices.ContainsFunc(all, short) && !slices.ContainsFunc(g.replicas, unplaced) {
		return
	}
	const ofZone = 2000
	ranks := g.rank(func(r *replica) int {
		score := len(r.lines)
		for _, l := range r.lines {
			if here(l) {
				score += ofZone
			}
		}
		if r.zone != zone {
			score += 1000
		}
		return score
	})
	for {
		t := slices.MinFunc(all, func(a, b *table) int { return a.open() - a.width - b.open() + b.width })
		open := t.open()
		// Beyond the width a far cold one is not wanted: it would take the run of a zone that is short.
		best := ranks.take(func(r *replica) bool {
			there := slices.ContainsFunc(r.lines, func(l *line) bool { return l.t == t })
			return r.in() && !there && (r.zone == zone || !t.own && (open < g.width || !g.cold(r)))
		})
		if best == nil || open >= t.width && best.score >= 1000 {
			return
		}
		l := &line{r: best.r, t: t}
		t.lines, best.r.lines = append(t.lines, l), append(best.r.lines, l)
		ranks.put(best, best.score+ofZone+1)
		g.longest = max(g.longest, len(t.lines))
	}
}

// urgent is the share of the backlog that may be filled by what can't be put off.
const urgent = 0.9

// Flush sends what this moment calls for.
func (g *Balancer) Flush(now model.Microseconds) {
	g.now = now
	if g.beaten || g.changed {
		g.weighQueue()
		clear(g.costs)
		g.bindTurn()
		g.withdraw()
		g.takeOut()
		g.solve()
		g.beaten, g.changed = false, false
	}
	if len(g.written) > 0 {
		g.receipt = (g.receipt + 1) % 65536
		g.host.RequestAck(uint32(g.receipt), g.askAll)
		g.askAll = false
	}
	for _, p := range g.written {
		p.unacked = append(p.unacked, message{g.receipt, p.lines, g.now})
		p.sent, p.lines = append(p.sent, g.now), 0
	}
	g.written = nil
}

// weighQueue counts lines again for each second beyond the first that they wait for their answer: a channel
// that turned slow keeps what was written then, and what drains must not wait behind weights.
func (g *Balancer) weighQueue() {
	g.aged = 0
	for _, p := range g.proxies {
		for _, m := range p.unacked {
			g.aged += int(max(0, g.now-m.at-model.Second)) * m.lines / int(model.Second)
		}
	}
}

// pay books lines for some proxies if they may be ordered now. The channel may be slower than told: all that
// is not acknowledged is queued, by its age too. Spare messages are kept for what is more urgent.
func (g *Balancer) pay(proxies []*proxy, lines int, most float64, spare int) bool {
	head, total, waits := g.terms.MessageOverhead+1+len(g.shares), g.unacked, 0
	if most < urgent {
		waits = g.aged
	}
	for _, p := range proxies {
		if total += lines; p.lines > 0 {
			continue
		}
		total += head
		p.sent = slices.DeleteFunc(p.sent, func(at model.Microseconds) bool { return g.now-at > g.terms.MessageWindow })
		if g.terms.MessageLimit > 0 && len(p.sent)+spare >= g.terms.MessageLimit {
			return false
		}
	}
	if len(proxies) > 0 && float64(total+waits) > most*float64(g.terms.QueueLimit) {
		return false
	}
	for _, p := range proxies {
		if p.lines == 0 {
			p.lines, g.written = head, append(g.written, p)
		}
		p.lines += lines
	}
	g.unacked = total
	return true
}

// shutOut orders replicas out, or back in, if that fits all proxies that hold a line to one. What is charged
// must be answered, or the ledger fills up: while a proxy is on untold tables, all answer.
func (g *Balancer) shutOut(out bool, most float64, spare int, replicas ...*replica) bool {
	holders := g.proxies
	if g.loose == 0 {
		holders = nil
		for _, l := range replicas[0].lines {
			if l.weight > 0 {
				holders = append(holders, l.t.users...)
			}
		}
		if len(g.zones) > g.terms.Zones { // a proxy has two tables, and is told once
			slices.SortFunc(holders, func(a, b *proxy) int { return cmp.Compare(a.id, b.id) })
			holders = slices.Compact(holders)
		}
	}
	if !g.pay(holders, len(replicas), most, spare) {
		return false
	}
	for _, r := range replicas {
		g.host.SetWithdrawn(r.id, out)
		r.told, r.toldAt, g.askAll = out, g.now, g.askAll || g.loose > 0
	}
	return true
}

// withdraw shuts replicas out, again for later joiners. If none is left in, those that rest come back. While
// a proxy is on untold tables each message goes to all, and its head is most of it: one a replica would keep
// the queue full of heads (many proxies come over from a lost governor while replicas are lost too). So what
// waits leaves together, what nobody was told of first, and binds and weights hold back until it has left.
func (g *Balancer) withdraw() {
	none := make([]bool, g.terms.Zones) // nothing is left in, of all or for operations that stay in a zone
	for zone := range none {
		none[zone] = !slices.ContainsFunc(g.replicas, func(r *replica) bool {
			return !g.out(r) && (g.terms.ZoneLocalOperations == 0 || r.zone == zone)
		})
	}
	head := g.terms.MessageOverhead + 1 + len(g.shares)
	var waits [3][]*replica // what drains comes before what may come back
	for _, r := range g.replicas {
		if none[r.zone] {
			g.tell(r, rested)
		}
		switch again := r.told && g.loose > 0 && r.toldAt <= g.joinedAt; {
		case !g.out(r) || r.told && !again:
		case r.member() && (g.beaten || !again): // those who come at one time are told again together
			waits[2] = append(waits[2], r)
		case again && !r.member():
			waits[1] = append(waits[1], r)
		case !r.member():
			waits[0] = append(waits[0], r)
		}
	}
	// A bind tells all that is out too, for less where few are loose or much is to be told: then withdrawals
	// wait for the binds, and dead lines leave the tables (takeOut). Not where a loose proxy can take no message.
	again, parts := len(waits[1]), (len(waits[0])+head-1)/head
	binds, full := 0, false
	for _, p := range g.proxies {
		if p.state == loose {
			binds += head + g.bindCost(p.zone, true)
			full = full || g.terms.MessageLimit > 0 && len(p.sent)+2 >= g.terms.MessageLimit
		}
	}
	g.rush = g.gate == open && parts+again > 0 && g.loose > 0 && !full &&
		binds < len(g.proxies)*(head*max(parts, 1)+len(waits[0])+again)
	if g.blocked = false; g.rush {
		waits = [3][]*replica{}
	} else if !g.beaten {
		waits[1] = nil
	}
	for i, most := range []float64{urgent, urgent, 0.7} {
		size := 1
		if g.loose > 0 {
			size = head // so that heads are half of it
		}
		for part := range slices.Chunk(waits[i], size) {
			sent := g.shutOut(true, most, 1, part...)
			if g.blocked = g.blocked || !sent && i < 2 && g.loose > 0; g.blocked {
				break // a smaller part would take the room that this one waits for, over and over
			}
		}
	}
}

// takeOut takes lines that proxies must not pick out of the tables while binds carry the withdrawals: who is bound
// already is told so, and a bind has less to tell. Binds come first: who is loose has waited longer.
func (g *Balancer) takeOut() {
	for _, t := range g.tables {
		if g.rush {
			g.order(t, urgent, 1, func(l *line) bool { return l.weight > 0 && !l.r.member() })
		}
	}
}

// bindTurn binds a fifth of the proxies a beat once the gate is open; before that only one that may be bare.
func (g *Balancer) bindTurn() {
	quota, risk := 1+len(g.proxies)/5, make([]bool, g.terms.Zones)
	for zone := range risk {
		risk[zone] = g.gate == shut && g.bare(zone)
	}
	g.loose = 0
	for _, p := range g.proxies {
		switch one, lines := []*proxy{p}, g.bindCost(p.zone, g.rush); {
		case p.state != loose:
		case risk[p.zone] && g.pay(one, lines, urgent, 1):
			apply(g, proxyMoves, &p.state, atRisk, p)
		case g.gate == open && g.beaten && !g.blocked && quota > 0 && g.pay(one, lines, 0.5, 2),
			g.rush && g.pay(one, lines, urgent, 2):
			quota--
			apply(g, proxyMoves, &p.state, turn, p)
		default:
			g.loose++
		}
	}
}

// bindCost is what a bind in a zone costs beyond its head at most: each line of a table, and as much for each whose
// replica is out or told back: in a rush only of those that others may have shut out, as far as known here.
func (g *Balancer) bindCost(zone int, rush bool) (cost int) {
	known := &g.costs[zone]
	if rush {
		known = &g.costs[zone+g.terms.Zones]
	}
	if *known > 0 {
		return *known
	}
	defer func() { *known = cost }()
	for list := zone; list < len(g.zones); list += g.terms.Zones {
		most := 0
		for _, t := range g.zones[list] {
			n := 0
			for _, l := range t.lines {
				if l.weight > 0 && (l.r.doubt || l.r.told || !rush) {
					n += 2
				} else if l.weight > 0 {
					n++
				}
			}
			most = max(most, n)
		}
		if most == 0 {
			most = 2 * g.longest
		}
		cost += 2 + most
	}
	return cost
}

// bare tells whether withdrawals may have emptied a standing table: few lines, of its zone if it has three.
func (g *Balancer) bare(zone int) bool {
	near := func(r *replica) bool { return r.zone == zone }
	if g.count(near) < 3 {
		near = func(*replica) bool { return true }
	}
	out := g.count(func(r *replica) bool { return near(r) && g.out(r) })
	return out > 0 && g.count(g.out) < len(g.replicas) && out >= min(g.terms.StandingTableSize, g.count(near))
}

// bind puts a proxy on a table of its zone, and for operations that stay there on one more, if not all do.
func (g *Balancer) bind(p *proxy) {
	if len(g.zones) == g.terms.Zones {
		g.put(p, p.zone, 0)
		return
	}
	g.put(p, p.zone, (1<<len(g.terms.Operations)-1)&^g.terms.ZoneLocalOperations)
	g.put(p, p.zone+g.terms.Zones, g.terms.ZoneLocalOperations)
}

// put binds a proxy to that of a list's tables that has the least traffic for its open lines.
func (g *Balancer) put(p *proxy, list int, operations uint16) {
	if g.zones[list] == nil {
		g.lay(list)
	}
	load := func(t *table) float64 { return (t.usual + p.usual) / (float64(t.open()) + 0.1) }
	t := slices.MinFunc(g.zones[list], func(a, b *table) int { return cmp.Compare(load(a), load(b)) })
	p.tables, t.users, t.usual = append(p.tables, t), append(t.users, p), t.usual+p.usual
	var back []model.ReplicaID
	for _, l := range t.lines {
		if l.weight > 0 && !l.r.told && (l.r.doubt || !g.rush) {
			back = append(back, l.r.id)
		}
	}
	g.host.BindProxy(p.id, t.id, operations, back)
}

// order sends the asked lines that change, if they fit; none new to what is out: its withdrawal missed it.
func (g *Balancer) order(t *table, most float64, spare int, asked func(*line) bool) bool {
	var lines []*line
	for _, l := range t.lines {
		l.next = g.prior(l) * l.r.draws
		if asked(l) && l.next != l.weight && (l.weight > 0 || !g.out(l.r)) {
			lines = append(lines, l)
		}
	}
	cost := len(lines)
	for _, l := range lines {
		if l.weight == 0 {
			cost++ // a new line may bring along that its replica is out, or back
		}
	}
	if len(lines) > 0 && !g.pay(t.users, cost, most, spare) {
		return false
	}
	for _, l := range lines {
		l.weight, l.cut = l.next, false
		g.host.SetWeight(t.id, l.r.id, l.weight)
	}
	return true
}

// step is the design's: a tenth at most, and none under 5%.
func step(l *line) bool {
	if l.weight == 0 || l.next == 0 {
		return true
	}
	l.next = min(max(l.next, l.weight*0.9), l.weight*1.1)
	return math.Abs(l.next-l.weight) >= 0.05*l.weight
}

// solve moves the weights once a report, within half of the messages that a proxy may get. Tables take turns:
// the one that finds no room is the first next time. New quarters leave at once, as do lines where few are.
func (g *Balancer) solve() {
	span := g.terms.ReportPeriod
	if g.terms.MessageLimit > 0 {
		span = max(span, 2*g.terms.MessageWindow/model.Microseconds(g.terms.MessageLimit))
	}
	due := g.gate == open && g.beaten && !g.blocked && g.now-g.solvedAt >= span
	for _, r := range g.replicas {
		if due && r.told && !g.out(r) {
			g.shutOut(false, 0.5, 3, r)
		}
	}
	for list := range g.zones {
		g.fill(list)
	}
	g.weigh()
	first := g.turn
	for k := range g.tables {
		t, most := g.tables[(first+k)%len(g.tables)], 0.7
		if t.open() < 3 {
			most = urgent
		}
		g.order(t, most, 1, func(l *line) bool { return l.cut || most == urgent && l.weight == 0 })
		if !due {
			continue
		}
		// Most lines slower than the fleet, and in a quarter of the objective or more, have more traffic than they
		// can take: proxies grew, or the part shrank. Where all are short, more lines help nobody.
		if g.solvedAt = g.now; t.pace > max(0.25, 1.25*g.pace) && g.stress < sheds {
			t.width = t.open() + 2
		}
		if due = g.order(t, 0.5, 3, step); !due {
			g.turn = first + k
		}
	}
}

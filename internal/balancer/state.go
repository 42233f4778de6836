package balancer

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"

	"peppervale/internal/model"
)

// What a governor keeps of the fleet. Nothing is decided here.

// move is a row: in one of these states, on one of these inputs, go there and do that.
type move[X any] struct {
	from state
	on   input
	to   state
	do   func(*Balancer, X)
}

// apply reads one input; what no row names changes nothing.
func apply[X any](g *Balancer, rows []move[X], s *state, on input, x X) {
	i := slices.IndexFunc(rows, func(m move[X]) bool { return m.from&*s != 0 && m.on&on != 0 })
	if i >= 0 {
		*s = rows[i].to
		rows[i].do(g, x)
	}
}

// sums are counts of tries with the time of the good ones, over a span; folding decays what was there.
type sums struct{ tries, good, errored, latency, span float64 }

func (d *sums) fold(n sums, keep float64) {
	*d = sums{d.tries*keep + n.tries, d.good*keep + n.good, d.errored*keep + n.errored,
		d.latency*keep + n.latency, d.span*keep + n.span}
}

// table is a shared table for a part of a zone's proxies.
type table struct {
	id    model.TableID
	zone  int
	list  int     // its place in zones
	own   bool    // for operations that stay in the zone: it has no far lines
	width int     // lines that it needs
	pace  float64 // of the median line, see learn
	risk  float64 // the same with errors alone
	lines []*line
	users []*proxy
	usual float64 // invocations a second that usually come to its users
	far   float64 // what a replica of another zone counts for
}

// line is a replica's place in a table. Its weight is as ordered, 0 for not yet; next is to be ordered.
type line struct {
	r            *replica
	t            *table
	weight, next float64
	cut          bool // a new quarter is to be sent at once
}

type replica struct {
	id                           model.ReplicaID
	zone                         int
	state                        state
	since, easedAt, heardAt      model.Microseconds
	lines                        []*line
	fresh, all, brief            sums    // what proxies met there: since the last report, over ten, over two
	busy, pace, risk, due, draws float64 // cores in use; see learn; see weigh
	busyAt                       model.Microseconds
	rests, stamp                 int  // rests in a row; for dueTime
	heard, told, back            bool // named in a report; its withdrawal was sent, last at toldAt; it restarted
	doubt                        bool // others may have shut it out
	toldAt                       model.Microseconds
}

type proxy struct {
	id          model.ProxyID
	zone, lines int // lines in the reply being written
	usual       float64
	state       state
	tables      []*table // one, or one more for operations that stay in its zone
	unacked     []message
	sent        []model.Microseconds
}

type message struct {
	number, lines int
	at            model.Microseconds
}

// dueTime is an input that comes at a set time; a replica's only while its stamp stands.
type dueTime struct {
	at    model.Microseconds
	on    input
	r     *replica // nil: for the governor itself
	stamp int
}

// ranked is a replica with its score; the lowest comes first, among equals the one that the governor's order has first.
type ranked struct {
	r            *replica
	score, place int
}

// ranking is a heap, so that the next best of thousands is not looked for among all.
type ranking []*ranked

// rank scores the replicas that proxies may pick.
func (g *Balancer) rank(score func(*replica) int) *ranking {
	all := make([]ranked, len(g.replicas))
	rs := make(ranking, 0, len(all))
	for i, r := range g.replicas {
		if r.in() {
			all[i] = ranked{r, score(r), i}
			rs = append(rs, &all[i])
		}
	}
	heap.Init(&rs)
	return &rs
}

// take gives the best that fits and takes it out; nil if none does. The others stay.
func (rs *ranking) take(fits func(*replica) bool) (best *ranked) {
	var aside []*ranked
	for best == nil && len(*rs) > 0 {
		if x := heap.Pop(rs).(*ranked); fits(x.r) {
			best = x
		} else {
			aside = append(aside, x)
		}
	}
	for _, x := range aside {
		heap.Push(rs, x)
	}
	return best
}

func (rs *ranking) put(x *ranked, score int) {
	x.score = score
	heap.Push(rs, x)
}

func (rs ranking) Len() int { return len(rs) }
func (rs ranking) Less(i, j int) bool {
	return rs[i].score < rs[j].score || rs[i].score == rs[j].score && rs[i].place < rs[j].place
}
func (rs ranking) Swap(i, j int) { rs[i], rs[j] = rs[j], rs[i] }
func (rs *ranking) Push(x any)   { *rs = append(*rs, x.(*ranked)) }
func (rs *ranking) Pop() any {
	old := *rs
	x := old[len(old)-1]
	*rs = old[:len(old)-1]
	return x
}

// open counts the lines that proxies may pick.
func (t *table) open() (n int) {
	for _, l := range t.lines {
		if l.r.in() {
			n++
		}
	}
	return n
}

// member tells whether a replica has lines in our tables, in whether proxies may pick them.
func (r *replica) member() bool { return r.state&(easing|serving|resting) != 0 }
func (r *replica) in() bool     { return r.state&(easing|serving) != 0 }

func (g *Balancer) after(span model.Microseconds, d dueTime) {
	d.at = g.now + span
	i := sort.Search(len(g.due), func(i int) bool { return g.due[i].at > d.at })
	g.due = slices.Insert(g.due, i, d)
}

func (g *Balancer) count(of func(*replica) bool) (n int) {
	for _, r := range g.replicas {
		if of(r) {
			n++
		}
	}
	return n
}

// chance draws a number below n from the seed.
func (g *Balancer) chance(n int) int {
	h := fnv.New64a()
	g.chances++
	fmt.Fprint(h, g.terms.Seed, " ", g.chances)
	return int(h.Sum64() % uint64(n))
}

// upto sorts and gives the figure that this share of them lies below; of nothing it is 0.
func upto(share float64, of []float64) float64 {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[int(share*float64(len(of)))]
}

func median(of []float64) float64 { return upto(0.5, of) }

func (g *Balancer) forget(p *proxy) {
	g.acknowledge(p, len(p.unacked))
	delete(g.byProxy, p.id)
	other := func(q *proxy) bool { return q == p }
	g.proxies = slices.DeleteFunc(g.proxies, other)
	for _, t := range p.tables {
		t.users = slices.DeleteFunc(t.users, other)
		t.usual -= p.usual
	}
}

func (g *Balancer) acknowledge(p *proxy, n int) {
	for _, m := range p.unacked[:n] {
		g.unacked -= m.lines
	}
	p.unacked = p.unacked[n:]
}

// View is what a governor believes, copied: nothing in it is written again.
type View struct {
	SafeModeEnded                                  bool              // the gate
	UnreportedReplicas                             []model.ReplicaID // listed, and not named in a report yet
	Saturation, NormalizedLatency, WarmingFraction float64           // see learn
	UnackedEntries                                 int               // lines
	Quotas                                         []float64         // let in, by operation
	RetryPolicy                                    model.RetryPolicy
	Replicas                                       []ReplicaView
	Tables                                         []TableView
	Proxies                                        []ProxyView // in the order joined
}

// ReplicaView is what is believed of a replica.
type ReplicaView struct {
	ID                                     model.ReplicaID
	Zone                                   int
	State                                  string // away, draining, easing, serving or resting
	Withdrawn                              bool   // its withdrawal was sent
	WarmingUp                              bool
	WithdrawnAt, ReportedAt, UtilizationAt model.Microseconds // 0: never
	StartedAt, SlowStartAt                 model.Microseconds
	Utilization, NormalizedLatency         float64 // share of its cores; time of good tries over the objective
	SlowStartFactor                        float64 // of its full weight
	RequestRate, ErrorRate                 float64 // tries a second and share of errors, over about ten reports
	Entries, Ejections                     int
}

// TableView is a shared table.
type TableView struct {
	ID           model.TableID
	Zone         int
	ExpectedRate float64
	Proxies      int
	Entries      []EntryView
}

// EntryView is a line as it was ordered.
type EntryView struct {
	Replica model.ReplicaID
	Weight  float64
}

// ProxyView is a joined proxy; Table is -1 while it is on tables of its own.
type ProxyView struct {
	ID              model.ProxyID
	Zone            int
	ExpectedRate    float64
	Table           int
	UnackedMessages int // messages
	OldestUnackedAt model.Microseconds
}

var stateNames = map[state]string{away: "away", draining: "draining", easing: "easing", serving: "serving", resting: "resting"}

// View copies what is believed now; it is linear in the fleet.
func (g *Balancer) View() *View {
	v := &View{SafeModeEnded: g.gate == open, Saturation: g.stress, NormalizedLatency: g.pace, WarmingFraction: g.colds, UnackedEntries: g.unacked,
		Quotas: slices.Clone(g.shares), RetryPolicy: g.way, Replicas: make([]ReplicaView, 0, len(g.replicas)),
		Tables: make([]TableView, 0, len(g.tables)), Proxies: make([]ProxyView, 0, len(g.proxies))}
	for _, r := range g.replicas {
		if r.member() && !r.heard {
			v.UnreportedReplicas = append(v.UnreportedReplicas, r.id)
		}
		v.Replicas = append(v.Replicas, ReplicaView{ID: r.id, Zone: r.zone, State: stateNames[r.state], Withdrawn: r.told, WarmingUp: g.cold(r),
			WithdrawnAt: r.toldAt, ReportedAt: r.heardAt, UtilizationAt: r.busyAt, StartedAt: r.since, SlowStartAt: r.easedAt, Utilization: r.busy, NormalizedLatency: r.pace,
			SlowStartFactor: g.part(r), RequestRate: r.all.tries / max(r.all.span, 1) * float64(model.Second), ErrorRate: r.all.errored / max(r.all.tries, 1),
			Entries: len(r.lines), Ejections: r.rests})
	}
	for _, t := range g.tables {
		tv := TableView{ID: t.id, Zone: t.zone, ExpectedRate: t.usual, Proxies: len(t.users)}
		for _, l := range t.lines {
			tv.Entries = append(tv.Entries, EntryView{l.r.id, l.weight})
		}
		v.Tables = append(v.Tables, tv)
	}
	for _, p := range g.proxies {
		pv := ProxyView{ID: p.id, Zone: p.zone, ExpectedRate: p.usual, Table: -1, UnackedMessages: len(p.unacked)}
		if len(p.tables) > 0 {
			pv.Table = int(p.tables[0].id)
		}
		if len(p.unacked) > 0 {
			pv.OldestUnackedAt = p.unacked[0].at
		}
		v.Proxies = append(v.Proxies, pv)
	}
	return v
}

package balancer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// world is a fleet by chance with a channel of a pace: it carries a governor's orders to proxies late, acknowledges
// them, and judges by what proxies hold. It knows nothing of the governor but its orders.
type world struct {
	t        interface{ Fatalf(string, ...any) }
	terms    model.Config
	g        *Balancer
	now      model.Microseconds
	grace    model.Microseconds
	bare     model.Microseconds
	pace     float64 // lines a second, as it is now
	late     model.Microseconds
	free     model.Microseconds
	queue    []*parcel
	flying   []*parcel
	replicas map[model.ReplicaID]*worldReplica
	proxies  map[model.ProxyID]*worldProxy
	tables   map[model.TableID]map[model.ReplicaID]float64
	users    map[model.TableID]map[model.ProxyID]bool
	out      map[model.ReplicaID]bool
	levels   int
	draft    map[model.ProxyID]*parcel
	stretch  float64 // the channel's slowest against its pace: limits of time grow alike
}

type worldReplica struct {
	zone  int
	life  model.EndpointStatus
	told  model.Microseconds // of its drain or end; -1: it is ready
	since model.Microseconds
}

type worldProxy struct {
	zone     int
	joined   bool
	joinedAt model.Microseconds
	stream   int
	lines    map[model.ReplicaID]float64
	out      map[model.ReplicaID]bool
	bareFrom model.Microseconds
	table    model.TableID
	bound    bool // by the governor's orders
}

// parcel is a message: what it does to its proxy once it arrives.
type parcel struct {
	to      model.ProxyID
	stream  int
	cost    int
	do      []func(*worldProxy)
	receipt int
	leaves  model.Microseconds
	lands   model.Microseconds
}

func newWorld(t interface{ Fatalf(string, ...any) }) *world {
	return &world{
		t: t, now: 100 * model.Second, stretch: 1, replicas: map[model.ReplicaID]*worldReplica{}, proxies: map[model.ProxyID]*worldProxy{},
		tables: map[model.TableID]map[model.ReplicaID]float64{}, users: map[model.TableID]map[model.ProxyID]bool{}, out: map[model.ReplicaID]bool{}, draft: map[model.ProxyID]*parcel{},
	}
}

func (w *world) to(p model.ProxyID) *parcel {
	if w.draft[p] == nil {
		w.draft[p] = &parcel{to: p, stream: w.proxies[p].stream, cost: w.terms.MessageOverhead, receipt: -1}
	}
	return w.draft[p]
}

func (w *world) SetWeight(t model.TableID, r model.ReplicaID, weight float64) {
	if w.tables[t] == nil {
		w.tables[t] = map[model.ReplicaID]float64{}
	}
	_, had := w.tables[t][r]
	if w.tables[t][r] = weight; weight == 0 {
		delete(w.tables[t], r)
	}
	out := w.out[r]
	for p := range w.users[t] {
		m := w.to(p)
		m.cost++
		m.do = append(m.do, func(x *worldProxy) {
			if x.lines[r] = weight; !had { // a line laid anew is as withdrawn as its replica is by then
				x.out[r] = out
			}
		})
	}
}

func (w *world) BindProxy(p model.ProxyID, t model.TableID, _ uint16, back []model.ReplicaID) {
	x := w.proxies[p]
	if x == nil || !x.joined {
		w.t.Fatalf("a bind for proxy %d, which is not joined", p)
	}
	if x.bound {
		w.t.Fatalf("proxy %d is bound twice in one stream", p)
	}
	x.bound, x.table = true, t
	if w.users[t] == nil {
		w.users[t] = map[model.ProxyID]bool{}
	}
	w.users[t][p] = true
	m := w.to(p)
	// Lines that follow in the same reply come with it.
	m.cost += 1 + len(w.tables[t]) + w.levels + len(w.out) + len(back)
	m.do = append(m.do, func(x *worldProxy) {
		clear(x.lines)
		clear(x.out)
		for r, weight := range w.tables[t] {
			x.lines[r] = weight
		}
		for r := range w.out {
			x.out[r] = true
		}
	})
}

func (w *world) SetWithdrawn(r model.ReplicaID, out bool) {
	if w.out[r] = out; !out {
		delete(w.out, r)
	}
	for p, x := range w.proxies {
		if _, holds := w.tables[x.table][r]; x.joined && (!x.bound || holds) {
			m := w.to(p)
			m.cost++
			m.do = append(m.do, func(x *worldProxy) { x.out[r] = out })
		}
	}
}

func (w *world) SetQuota(_ uint16, _ float64, way model.RetryPolicy) {
	if way > model.RetryIfNotExecuted {
		w.t.Fatalf("way %d repeats what may have run", way)
	}
	w.levels = len(w.terms.Operations)
	for p, x := range w.proxies {
		if x.joined {
			w.to(p).cost++
		}
	}
}

func (w *world) RequestAck(number uint32, all bool) {
	for p, x := range w.proxies {
		if all && x.joined {
			w.to(p)
		}
	}
	for _, m := range w.draft {
		m.receipt = int(number)
		m.cost++
	}
}

func (w *world) SetTimer(model.Microseconds) {}
func (w *world) Subscribe()                  {}
func (w *world) Log(string)                  {}

// settle has the governor settle and queues what it ordered, in the proxies' order.
func (w *world) settle() {
	w.g.Flush(w.now)
	ids := make([]model.ProxyID, 0, len(w.draft))
	for p := range w.draft {
		ids = append(ids, p)
	}
	slices.Sort(ids)
	waiting := 0
	for _, m := range w.queue {
		waiting += m.cost
	}
	for _, p := range ids {
		m := w.draft[p]
		w.free = max(w.free, w.now) + model.Microseconds(float64(m.cost)/w.pace*float64(model.Second))
		m.leaves = w.free
		w.queue = append(w.queue, m)
		waiting += m.cost
	}
	clear(w.draft)
	if waiting > w.terms.QueueLimit {
		w.t.Fatalf("short queue: %d lines wait, %d are allowed", waiting, w.terms.QueueLimit)
	}
}

// pass lets time pass up to a moment: messages leave, land, are applied and acknowledged.
func (w *world) pass(to model.Microseconds) {
	for {
		var next *parcel
		at, flies := to, false
		if len(w.queue) > 0 && w.queue[0].leaves <= at {
			next, at = w.queue[0], w.queue[0].leaves
		}
		if len(w.flying) > 0 && w.flying[0].lands <= at {
			next, at, flies = w.flying[0], w.flying[0].lands, true
		}
		if next == nil {
			w.now = to
			return
		}
		w.now = at
		if !flies {
			w.queue = w.queue[1:]
			next.lands = at + w.late
			w.flying = append(w.flying, next)
			continue
		}
		w.flying = w.flying[1:]
		x := w.proxies[next.to]
		if x == nil || !x.joined || x.stream != next.stream {
			continue
		}
		for _, do := range next.do {
			do(x)
		}
		w.judge()
		if next.receipt >= 0 {
			w.g.Acknowledged(w.now, next.to, uint32(next.receipt))
		}
	}
}

// judge looks at what each joined proxy holds now.
func (w *world) judge() {
	warm := false
	for _, r := range w.replicas {
		warm = warm || r.life == model.EndpointReady && w.now-r.since >= w.terms.WarmUpPeriod
	}
	slack := func(limit model.Microseconds) model.Microseconds {
		return model.Microseconds(float64(limit) * w.stretch)
	}
	for id, x := range w.proxies {
		if !x.joined {
			continue
		}
		bare := true
		for r, weight := range x.lines {
			if weight == 0 || x.out[r] {
				continue
			}
			bare = false
			if told := w.replicas[r].told; told >= 0 && w.now-max(told, x.joinedAt) > slack(w.grace) {
				w.t.Fatalf("drain: proxy %d holds %v %d us after the governor was told", id, r, w.now-max(told, x.joinedAt))
			}
		}
		switch {
		case !bare || !warm:
			x.bareFrom = -1
		case x.bareFrom < 0:
			x.bareFrom = w.now
		case w.now-x.bareFrom > slack(w.bare):
			w.t.Fatalf("lost: proxy %d has no line for %d us", id, w.now-x.bareFrom)
		}
	}
}

// join gives a proxy a stream; a fresh one holds a standing table of its zone's replicas.
func (w *world) join(id model.ProxyID, zone int, fresh bool) {
	x := w.proxies[id]
	if x == nil || fresh {
		x = &worldProxy{zone: zone, lines: map[model.ReplicaID]float64{}, out: map[model.ReplicaID]bool{}, bareFrom: -1}
		for pass := range 2 {
			for n := 1; n <= len(w.replicas) && len(x.lines) < w.terms.StandingTableSize; n++ {
				if r := w.replicas[id2(n)]; r.life == model.EndpointReady && (pass == 1 || r.zone == zone) && len(x.lines) < 3+pass*3 {
					x.lines[id2(n)] = 1
				}
			}
		}
		w.proxies[id] = x
	}
	w.part(id)
	x.joined, x.joinedAt, x.bound, x.bareFrom = true, w.now, false, -1
	x.stream++
	w.g.ProxyConnected(w.now, id, x.zone, 5)
}

// restart loses all that a governor's process has.
func (w *world) restart(all []int) {
	for id := range w.proxies {
		w.proxies[id].joined = false
	}
	w.queue, w.flying, w.free = nil, nil, 0
	clear(w.tables)
	clear(w.users)
	clear(w.out)
	w.g = New(w.terms, w, w.now)
	for _, r := range w.replicas {
		r.told = -1
	}
	w.list(model.CachedList, all...)
}

// part ends a proxy's stream: what waits or flies for it is lost.
func (w *world) part(id model.ProxyID) {
	x := w.proxies[id]
	if x == nil || !x.joined {
		return
	}
	x.joined = false
	for _, users := range w.users {
		delete(users, id)
	}
	lost := func(m *parcel) bool { return m.to == id }
	w.queue = slices.DeleteFunc(w.queue, lost)
	w.flying = slices.DeleteFunc(w.flying, lost)
	w.g.ProxyDisconnected(w.now, id)
}

func id2(n int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 250), byte(n % 250)}, Port: 5000}
}

func (w *world) list(scope model.EndpointUpdate, numbers ...int) {
	var entries []model.Endpoint
	for _, n := range numbers {
		r := w.replicas[id2(n)]
		entries = append(entries, model.Endpoint{ID: id2(n), Zone: r.zone, Status: r.life, StartedAt: r.since})
		if r.life == model.EndpointReady {
			r.told = -1
		} else if r.told < 0 {
			r.told = w.now
		}
	}
	w.g.EndpointsChanged(w.now, scope, entries)
}

// Any fleet, any course of drains, losses, starts, streams that break and come back, late and missing receipts and sums:
// what proxies hold keeps the rules, within bounds that follow from the start settings.
func TestRulesOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		n := rapid.IntRange(4, 24).Draw(t, "replicas")
		p := rapid.IntRange(2, 60).Draw(t, "proxies")
		w := newWorld(t)
		w.late = model.Microseconds(rapid.IntRange(1, 300).Draw(t, "late")) * model.Millisecond
		// What can't be put off fits twice, with all proxies on this governor: the limits are set so for each day.
		w.pace = float64(p*(9+n)) * rapid.Float64Range(1, 4).Draw(t, "pace")
		w.terms = model.Config{
			Seed: rapid.Uint64().Draw(t, "seed"), Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}, {LatencyObjective: 750_000, PriorityWeight: 3}},
			Zones: zones, SubscriptionRequired: true, AdmissionControl: rapid.Bool().Draw(t, "admits"), FullQuota: 1, ProxiesAvoidFailing: rapid.Bool().Draw(t, "avoids"), StandingTableSize: 6,
			ReportPeriod: model.Microseconds(rapid.IntRange(1, 3).Draw(t, "period")) * model.Second, MessageOverhead: rapid.IntRange(0, 8).Draw(t, "overhead"), QueueLimit: int(2 * w.pace), CrossZoneCost: 0.05, UtilizationField: -1,
			WarmUpPeriod: 10 * model.Second, ProxyCount: p, MinReplicaConnections: 200,
		}
		// A message waits for the whole queue, flies, and the governor looks up five times a second; binds take a queue too.
		beat := w.terms.ReportPeriod / 5
		// A proxy may come back with withdrawals of an earlier life, of which this one knows nothing before it binds.
		w.grace, w.bare = 3*model.Second+w.late+2*beat, max(4*model.Second, 3*w.terms.ReportPeriod+model.Second)+w.late+2*beat
		var all []int
		for k := range n {
			w.replicas[id2(k+1)] = &worldReplica{zone: k % zones, life: model.EndpointReady, told: -1}
			all = append(all, k+1)
		}
		w.g = New(w.terms, w, w.now)
		w.list(model.CachedList, all...)
		for k := range p {
			w.join(model.ProxyID(k), k%zones, true)
		}
		w.settle()
		some := func(most int, name string) (ones []int) {
			for range rapid.IntRange(1, most).Draw(t, name) {
				ones = append(ones, rapid.IntRange(1, n).Draw(t, "replica"))
			}
			slices.Sort(ones)
			return slices.Compact(ones)
		}
		for k := range 75 {
			if k == 1 && rapid.IntRange(0, 3).Draw(t, "early loss") == 0 { // while the gate is shut
				var ones []int
				for _, n := range all {
					if r := w.replicas[id2(n)]; r.zone == 0 {
						r.life, ones = model.EndpointDraining, append(ones, n)
					}
				}
				w.list(model.ChangedEntries, ones...)
			}
			w.pass(100*model.Second + model.Microseconds(k+1)*beat)
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				ones := some(1+n/3, "drains")
				for _, k := range ones {
					w.replicas[id2(k)].life = model.EndpointDraining
				}
				w.list(model.ChangedEntries, ones...)
			case 1:
				ones := some(1+n/4, "gone")
				for _, k := range ones {
					w.replicas[id2(k)].life = model.EndpointGone
				}
				w.list(model.ChangedEntries, ones...)
			case 2:
				ones := some(1+n/4, "start")
				for _, k := range ones {
					if r := w.replicas[id2(k)]; r.life != model.EndpointReady {
						r.life, r.since = model.EndpointReady, w.now
					}
				}
				w.list(model.ChangedEntries, ones...)
			case 3:
				for range rapid.IntRange(1, 1+p/2).Draw(t, "breaks") {
					w.part(model.ProxyID(rapid.IntRange(0, p-1).Draw(t, "proxy")))
				}
			case 4, 5:
				for id, k := model.ProxyID(0), rapid.IntRange(0, p-1).Draw(t, "come back"); int(id) < p && k >= 0; id++ {
					if x := w.proxies[id]; !x.joined {
						w.join(id, x.zone, rapid.Bool().Draw(t, "fresh"))
						k--
					}
				}
			case 6:
				w.g.EndpointsChanged(w.now, model.PollFailed, nil)
			case 7: // a zone is lost, seen from here
				zone, ones := rapid.IntRange(0, zones-1).Draw(t, "zone"), []int(nil)
				for _, k := range all {
					if r := w.replicas[id2(k)]; r.zone == zone {
						r.life, ones = model.EndpointGone, append(ones, k)
					}
				}
				w.list(model.ChangedEntries, ones...)
			case 8: // the governor starts again with its last list; proxies come back with what they hold
				w.restart(all)
				for id := range model.ProxyID(p) {
					if rapid.Bool().Draw(t, "back at once") {
						w.join(id, w.proxies[id].zone, false)
					}
				}
			}
			if k%5 == 0 && rapid.IntRange(0, 4).Draw(t, "sums") > 0 {
				for _, k := range all {
					if w.replicas[id2(k)].life == model.EndpointReady {
						w.g.LoadReported(w.now, model.LoadReport{
							Replica: id2(k), Attempts: 10, Errors: rapid.IntRange(0, 1).Draw(t, "errors"),
							MeanLatency: model.Microseconds(rapid.IntRange(50, 300).Draw(t, "latency")) * model.Millisecond, Window: model.Second,
						})
					}
				}
			}
			w.g.TimerFired(w.now)
			w.settle()
			w.judge()
		}
	})
}

// Four of five governors die amid a release, so 185 proxies come over to the fifth, with the tables that those laid; then sixty replicas
// are drained or gone at once. Told one by one, on untold tables, that costs each of them eight messages: at the channel's pace
// 8.9 s, where 3 s are allowed (figures of herd+mass, 30 nodes, seed 2). Bound first, they need be told of none.
func TestManyDrainsMeetManyJoiners(t *testing.T) {
	const n, own, over = 200, 19, 185
	w := newWorld(t)
	w.pace, w.late, w.grace, w.bare = 2900, 122*model.Millisecond, 3*model.Second, 4100*model.Millisecond
	w.terms = model.Config{
		Seed: 7, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}, {LatencyObjective: 750_000, PriorityWeight: 3}}, Zones: 4, SubscriptionRequired: true,
		AdmissionControl: true, FullQuota: 1, StandingTableSize: 6, ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 6300, CrossZoneCost: 0.08, PublishCost: 0.02, UtilizationField: -1,
		WarmUpPeriod: 17 * model.Second, ProxyCount: 240, MinReplicaConnections: 200,
	}
	var all, drained []int
	for k := range n {
		w.replicas[id2(k+1)] = &worldReplica{zone: k % 4, life: model.EndpointReady, told: -1}
		if all = append(all, k+1); k%10 < 3 {
			drained = append(drained, k+1)
		}
	}
	w.g = New(w.terms, w, w.now)
	w.list(model.CachedList, all...)
	began, joined := w.now, 0
	for beat := 1; beat <= 90; beat++ { // 0.2 s each
		w.pass(began + model.Microseconds(beat)*200*model.Millisecond)
		for joined < min(own+max(0, (beat-50)*over/6), own+over) {
			p := model.ProxyID(joined)
			w.join(p, joined%4, true)
			for k := range 12 { // what others laid
				w.proxies[p].lines[id2((joined*37+k*17)%n+1)] = 1
			}
			joined++
		}
		if beat == 58 {
			for _, k := range drained {
				w.replicas[id2(k)].life = model.EndpointDraining
			}
			w.list(model.ChangedEntries, drained...)
		}
		if beat%5 == 0 {
			for _, k := range all {
				if r := w.replicas[id2(k)]; r.life == model.EndpointReady {
					w.g.LoadReported(w.now, model.LoadReport{Replica: id2(k), Zone: r.zone, Attempts: 10, MeanLatency: 120 * model.Millisecond, Window: model.Second})
				}
			}
		}
		w.g.TimerFired(w.now)
		w.settle()
		w.judge()
	}
	for id, x := range w.proxies {
		if !x.bound {
			t.Fatalf("proxy %d is not bound", id)
		}
	}
}

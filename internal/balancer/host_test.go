package balancer

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

// fakeHost plays a fleet by hand: it keeps what was ordered and, where acks is set, acknowledges it at once.
type fakeHost struct {
	said    []string // the module's log
	t       *testing.T
	g       *Balancer
	now     model.Microseconds
	acks    bool
	weights map[model.ReplicaID]float64 // of table 0
	tables  map[model.TableID]int       // lines ordered
	bound   map[model.ProxyID]int       // binds
	back    map[model.ProxyID][]model.ReplicaID
	binds   map[bindKey]model.TableID
	lines   map[model.TableID]map[model.ReplicaID]float64
	out     map[model.ReplicaID]bool
	shares  map[uint16]float64
	ways    map[model.RetryPolicy]bool
	orders  []string
	follows int
	batches []model.Microseconds
	joined  []model.ProxyID
	due     []receipt // to be acknowledged after Settle
}

type bindKey struct {
	proxy      model.ProxyID
	operations uint16
}

type receipt struct {
	proxy  model.ProxyID
	number uint32
}

func (h *fakeHost) SetWeight(t model.TableID, r model.ReplicaID, w float64) {
	h.orders = append(h.orders, fmt.Sprint(t, r, w))
	if !(w >= 0) || w > 1e6 {
		h.t.Errorf("weight %v", w)
	}
	h.tables[t]++
	if h.lines[t] == nil {
		h.lines[t] = map[model.ReplicaID]float64{}
	}
	h.lines[t][r] = w
	if t == 0 {
		h.weights[r] = w
	}
}

func (h *fakeHost) BindProxy(p model.ProxyID, t model.TableID, operations uint16, back []model.ReplicaID) {
	h.back[p], h.binds[bindKey{p, operations}] = back, t
	h.orders = append(h.orders, fmt.Sprint(p, t))
	h.bound[p]++
}

func (h *fakeHost) SetWithdrawn(r model.ReplicaID, out bool) {
	h.orders = append(h.orders, fmt.Sprint(r, out))
	h.out[r] = out
}

func (h *fakeHost) SetQuota(operations uint16, share float64, w model.RetryPolicy) {
	h.orders = append(h.orders, fmt.Sprint(operations, share, w))
	h.shares[operations], h.ways[w] = share, true
}

func (h *fakeHost) RequestAck(number uint32, all bool) {
	if h.batches = append(h.batches, h.now); h.acks {
		for _, p := range h.joined {
			h.due = append(h.due, receipt{p, number})
		}
	}
}
func (h *fakeHost) SetTimer(after model.Microseconds) {}
func (h *fakeHost) Subscribe()                        { h.follows++ }
func (h *fakeHost) Log(text string)                   { h.said = append(h.said, text) }

func failIf(t *testing.T, wrong bool, format string, args ...any) {
	t.Helper()
	if wrong {
		t.Fatalf(format, args...)
	}
}

func id(n int) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{10, 0, 0, byte(n)}, Port: 5000} }

func ready(n, zone int) model.Endpoint {
	return model.Endpoint{ID: id(n), Zone: zone, Status: model.EndpointReady}
}

// begin starts a governor with replicas 1 to n ready in zone 0 and two proxies joined there.
func begin(t *testing.T, n int, change func(*model.Config)) *fakeHost {
	terms := model.Config{
		Operations: []model.Operation{{LatencyObjective: 500000, PriorityWeight: 1}, {LatencyObjective: 500000, PriorityWeight: 3}}, Zones: 2,
		SubscriptionRequired: true, ProxiesAvoidFailing: true, AdmissionControl: true, FullQuota: 1, StandingTableSize: 4, ReportPeriod: model.Second,
		MessageOverhead: 6, QueueLimit: 5000, CrossZoneCost: 0.05, UtilizationField: -1, WarmUpPeriod: 17 * model.Second,
	}
	if change != nil {
		change(&terms)
	}
	h := &fakeHost{
		t: t, now: model.Second, acks: true, weights: map[model.ReplicaID]float64{},
		tables: map[model.TableID]int{}, bound: map[model.ProxyID]int{}, back: map[model.ProxyID][]model.ReplicaID{}, binds: map[bindKey]model.TableID{},
		lines: map[model.TableID]map[model.ReplicaID]float64{}, out: map[model.ReplicaID]bool{},
		shares: map[uint16]float64{}, ways: map[model.RetryPolicy]bool{},
	}
	h.g = New(terms, h, h.now)
	var entries []model.Endpoint
	for k := range n {
		entries = append(entries, ready(k+1, 0))
	}
	h.g.EndpointsChanged(h.now, model.CachedList, entries)
	h.join(1)
	h.join(2)
	h.settle()
	return h
}

// warm lets twelve good seconds pass after that: the gate is open and all is learnt.
func warm(t *testing.T, n int, change func(*model.Config)) *fakeHost {
	h := begin(t, n, change)
	h.run(12, h.all(n))
	return h
}

func (h *fakeHost) join(p model.ProxyID) {
	h.joined = append(h.joined, p)
	h.g.ProxyConnected(h.now, p, 0, 10)
}

func (h *fakeHost) settle() {
	h.g.Flush(h.now)
	for _, a := range h.due {
		h.g.Acknowledged(h.now, a.proxy, a.number)
	}
	h.due = nil
}

// heard reports tries at a replica over a second.
func (h *fakeHost) heard(n, tries, errored int, latency model.Microseconds) {
	h.g.LoadReported(h.now, model.LoadReport{
		Replica: id(n), Attempts: tries, Errors: errored, MeanLatency: latency, Window: model.Second,
		Readings: []float64{0.5},
	})
}

// run lets seconds pass in beats of 200 ms; report is called once a second.
func (h *fakeHost) run(seconds int, report func()) {
	for k := range seconds * 5 {
		h.now += 200 * model.Millisecond
		if report != nil && k%5 == 0 {
			report()
		}
		h.g.TimerFired(h.now)
		h.settle()
	}
}

// each gives a report of the same second at replicas from to to.
func (h *fakeHost) each(from, to, tries, errored int, latency model.Microseconds) func() {
	return func() {
		for k := from; k <= to; k++ {
			h.heard(k, tries, errored, latency)
		}
	}
}

func (h *fakeHost) all(n int) func() { return h.each(1, n, 10, 0, 100*model.Millisecond) }

func (h *fakeHost) change(life model.EndpointStatus, since model.Microseconds, numbers ...int) {
	var entries []model.Endpoint
	for _, n := range numbers {
		entries = append(entries, model.Endpoint{ID: id(n), Status: life, StartedAt: since})
	}
	h.g.EndpointsChanged(h.now, model.ChangedEntries, entries)
}

func (h *fakeHost) gone(numbers ...int)  { h.change(model.EndpointGone, 0, numbers...); h.settle() }
func (h *fakeHost) drain(numbers ...int) { h.change(model.EndpointDraining, 0, numbers...); h.settle() }

// busy reports ten good tries of so many milliseconds with that share of the cores in use.
func (h *fakeHost) busy(from, to, ms int, share float64) {
	for k := from; k <= to; k++ {
		h.g.LoadReported(h.now, model.LoadReport{
			Replica: id(k), Attempts: 10, MeanLatency: model.Microseconds(ms) * model.Millisecond,
			Window: model.Second, Readings: []float64{share},
		})
	}
}

// ack has every proxy acknowledge up to a number.
func (h *fakeHost) ack(number int) {
	for _, p := range h.joined {
		h.g.Acknowledged(h.now, p, uint32(number))
	}
}

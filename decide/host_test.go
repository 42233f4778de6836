package decide

import (
	"fmt"
	"testing"

	"peppervale/fleet"
)

// fakeHost plays a fleet by hand: it keeps what was ordered and, where acks is set, acknowledges it at once.
type fakeHost struct {
	said    []string // the module's log
	t       *testing.T
	g       *Governor
	now     fleet.Micros
	acks    bool
	weights map[fleet.ReplicaID]float64 // of table 0
	tables  map[fleet.TableID]int       // lines ordered
	bound   map[fleet.ProxyID]int       // binds
	back    map[fleet.ProxyID][]fleet.ReplicaID
	binds   map[bindKey]fleet.TableID
	lines   map[fleet.TableID]map[fleet.ReplicaID]float64
	out     map[fleet.ReplicaID]bool
	shares  map[uint16]float64
	ways    map[fleet.Way]bool
	orders  []string
	follows int
	batches []fleet.Micros
	joined  []fleet.ProxyID
	due     []receipt // to be acknowledged after Settle
}

type bindKey struct {
	proxy      fleet.ProxyID
	operations uint16
}

type receipt struct {
	proxy  fleet.ProxyID
	number uint32
}

func (h *fakeHost) Assign(t fleet.TableID, r fleet.ReplicaID, w float64) {
	h.orders = append(h.orders, fmt.Sprint(t, r, w))
	if !(w >= 0) || w > 1e6 {
		h.t.Errorf("weight %v", w)
	}
	h.tables[t]++
	if h.lines[t] == nil {
		h.lines[t] = map[fleet.ReplicaID]float64{}
	}
	h.lines[t][r] = w
	if t == 0 {
		h.weights[r] = w
	}
}
func (h *fakeHost) Bind(p fleet.ProxyID, t fleet.TableID, operations uint16, back []fleet.ReplicaID) {
	h.back[p], h.binds[bindKey{p, operations}] = back, t
	h.orders = append(h.orders, fmt.Sprint(p, t))
	h.bound[p]++
}
func (h *fakeHost) Withdraw(r fleet.ReplicaID, out bool) {
	h.orders = append(h.orders, fmt.Sprint(r, out))
	h.out[r] = out
}
func (h *fakeHost) Level(operations uint16, share float64, w fleet.Way) {
	h.orders = append(h.orders, fmt.Sprint(operations, share, w))
	h.shares[operations], h.ways[w] = share, true
}
func (h *fakeHost) Receipt(number uint32, all bool) {
	if h.batches = append(h.batches, h.now); h.acks {
		for _, p := range h.joined {
			h.due = append(h.due, receipt{p, number})
		}
	}
}
func (h *fakeHost) Wake(after fleet.Micros) {}
func (h *fakeHost) Follow()                 { h.follows++ }
func (h *fakeHost) Log(text string)         { h.said = append(h.said, text) }

func failIf(t *testing.T, wrong bool, format string, args ...any) {
	t.Helper()
	if wrong {
		t.Fatalf(format, args...)
	}
}

func id(n int) fleet.ReplicaID { return fleet.ReplicaID{Addr: [4]byte{10, 0, 0, byte(n)}, Port: 5000} }

func ready(n, zone int) fleet.Listing { return fleet.Listing{ID: id(n), Zone: zone, Life: fleet.Ready} }

// begin starts a governor with replicas 1 to n ready in zone 0 and two proxies joined there.
func begin(t *testing.T, n int, change func(*fleet.Terms)) *fakeHost {
	terms := fleet.Terms{
		Operations: []fleet.Operation{{Objective: 500000, Value: 1}, {Objective: 500000, Value: 3}}, Zones: 2,
		Subscribe: true, Avoids: true, Admits: true, AdmitAll: 1, StandingSize: 4, Period: fleet.Second,
		Overhead: 6, QueueMost: 5000, CrossPrice: 0.05, BusyField: -1, Cold: 17 * fleet.Second,
	}
	if change != nil {
		change(&terms)
	}
	h := &fakeHost{t: t, now: fleet.Second, acks: true, weights: map[fleet.ReplicaID]float64{},
		tables: map[fleet.TableID]int{}, bound: map[fleet.ProxyID]int{}, back: map[fleet.ProxyID][]fleet.ReplicaID{}, binds: map[bindKey]fleet.TableID{},
		lines: map[fleet.TableID]map[fleet.ReplicaID]float64{}, out: map[fleet.ReplicaID]bool{},
		shares: map[uint16]float64{}, ways: map[fleet.Way]bool{}}
	h.g = New(terms, h, h.now)
	var entries []fleet.Listing
	for k := range n {
		entries = append(entries, ready(k+1, 0))
	}
	h.g.Listed(h.now, fleet.Cached, entries)
	h.join(1)
	h.join(2)
	h.settle()
	return h
}

// warm lets twelve good seconds pass after that: the gate is open and all is learnt.
func warm(t *testing.T, n int, change func(*fleet.Terms)) *fakeHost {
	h := begin(t, n, change)
	h.run(12, h.all(n))
	return h
}

func (h *fakeHost) join(p fleet.ProxyID) {
	h.joined = append(h.joined, p)
	h.g.Joined(h.now, p, 0, 10)
}

func (h *fakeHost) settle() {
	h.g.Settle(h.now)
	for _, a := range h.due {
		h.g.Applied(h.now, a.proxy, a.number)
	}
	h.due = nil
}

// heard reports tries at a replica over a second.
func (h *fakeHost) heard(n, tries, errored int, latency fleet.Micros) {
	h.g.Heard(h.now, fleet.Sum{Replica: id(n), Tries: tries, Errored: errored, Latency: latency, Span: fleet.Second,
		Report: []float64{0.5}})
}

// run lets seconds pass in beats of 200 ms; report is called once a second.
func (h *fakeHost) run(seconds int, report func()) {
	for k := range seconds * 5 {
		h.now += 200 * fleet.Millisecond
		if report != nil && k%5 == 0 {
			report()
		}
		h.g.Rang(h.now)
		h.settle()
	}
}

// each gives a report of the same second at replicas from to to.
func (h *fakeHost) each(from, to, tries, errored int, latency fleet.Micros) func() {
	return func() {
		for k := from; k <= to; k++ {
			h.heard(k, tries, errored, latency)
		}
	}
}

func (h *fakeHost) all(n int) func() { return h.each(1, n, 10, 0, 100*fleet.Millisecond) }

func (h *fakeHost) change(life fleet.Life, since fleet.Micros, numbers ...int) {
	var entries []fleet.Listing
	for _, n := range numbers {
		entries = append(entries, fleet.Listing{ID: id(n), Life: life, Since: since})
	}
	h.g.Listed(h.now, fleet.Change, entries)
}

func (h *fakeHost) gone(numbers ...int)  { h.change(fleet.Gone, 0, numbers...); h.settle() }
func (h *fakeHost) drain(numbers ...int) { h.change(fleet.Draining, 0, numbers...); h.settle() }

// busy reports ten good tries of so many milliseconds with that share of the cores in use.
func (h *fakeHost) busy(from, to, ms int, share float64) {
	for k := from; k <= to; k++ {
		h.g.Heard(h.now, fleet.Sum{Replica: id(k), Tries: 10, Latency: fleet.Micros(ms) * fleet.Millisecond,
			Span: fleet.Second, Report: []float64{share}})
	}
}

// ack has every proxy acknowledge up to a number.
func (h *fakeHost) ack(number int) {
	for _, p := range h.joined {
		h.g.Applied(h.now, p, uint32(number))
	}
}

package controller

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

// What a forwarder's newest state is, whatever came in which order, is one slot; the module hears of each end once.
func TestTheMailboxKeepsTheNewest(t *testing.T) {
	m := newMailbox()
	m.ProxyConnected(1, 10, pubsubmsg.Join{Name: "a", ExpectedRate: 1}, 0)
	m.Acknowledged(1, 10, 3) // before its join was taken: nothing was ordered yet
	m.ProxyDisconnected(1, 10)
	m.ProxyConnected(1, 11, pubsubmsg.Join{Name: "a", ExpectedRate: 2}, 1)
	m.ProxyDisconnected(1, 10) // the old stream's end comes late
	got := m.take(10)
	if len(got.slots) != 1 || !got.slots[0].joined || got.slots[0].stream != 11 || got.slots[0].join.ExpectedRate != 2 || got.slots[0].receipt != -1 {
		t.Fatalf("%+v", got.slots)
	}
	m.Acknowledged(1, 11, 4)
	m.Acknowledged(1, 11, 5)
	m.Acknowledged(1, 10, 9) // of the old stream
	if got = m.take(10); len(got.slots) != 1 || got.slots[0].receipt != 5 || got.slots[0].joined {
		t.Fatalf("%+v", got.slots)
	}
	m.ProxyDisconnected(1, 11)
	if got = m.take(10); len(got.slots) != 1 || !got.slots[0].left {
		t.Fatalf("%+v", got.slots)
	}
	if len(m.streams) != 0 || len(m.take(10).slots) != 0 {
		t.Fatal("a forwarder that left is kept")
	}
}

// A hundred thousand joins, leaves and sums of one fleet wait in no more room than the fleet takes.
func TestTheMailboxIsBoundedByTheFleet(t *testing.T) {
	m := newMailbox()
	for n := range 100_000 {
		p := model.ProxyID(n % 50)
		m.ProxyConnected(p, uint64(n+1), pubsubmsg.Join{}, 0)
		m.LoadReported(n%2, []model.LoadReport{{Replica: id(byte(n % 30)), Attempts: 2, Errors: 1, MeanLatency: 100, Window: model.Second}})
		m.EndpointsChanged(model.FullList, nil)
	}
	if len(m.dirty) != 50 || len(m.sums) != 30 || len(m.turn) != 30 {
		t.Fatalf("%d slots, %d sums", len(m.dirty), len(m.sums))
	}
	got := m.take(4)
	if len(got.slots) != 50 || len(got.sums) != 4 || got.list == nil {
		t.Fatalf("%d slots, %d sums", len(got.slots), len(got.sums))
	}
	tries, errored := 0, 0
	for _, s := range append(got.sums, m.take(100).sums...) {
		tries, errored = tries+s.Attempts, errored+s.Errors
		if s.MeanLatency != 100 {
			t.Fatalf("folded to %+v", s)
		}
	}
	if tries != 200_000 || errored != 100_000 {
		t.Fatalf("%d tries, %d errored: folding loses some", tries, errored)
	}
}

// Sums that wait for their turn longer than a step fold, and the folds are counted; means weigh by good tries.
func TestFoldsAreCounted(t *testing.T) {
	m := newMailbox()
	one := func(tries int, latency model.Microseconds) {
		m.LoadReported(0, []model.LoadReport{{Replica: id(1), Attempts: tries, MeanLatency: latency, Window: model.Second, Readings: []float64{float64(tries)}}})
	}
	one(1, 100)
	m.take(0)
	one(3, 200)
	got := m.take(1).sums
	want := []model.LoadReport{{Replica: id(1), Attempts: 4, MeanLatency: 175, Window: model.Second, Readings: []float64{3}}}
	if m.folds != 1 || !reflect.DeepEqual(got, want) {
		t.Fatalf("%d folds, %+v", m.folds, got)
	}
}

// A failed call never hides a list that waits, and neither is lost.
func TestNewsOfTheList(t *testing.T) {
	m := newMailbox()
	m.EndpointsChanged(model.FullList, []model.Endpoint{{ID: id(1)}})
	m.EndpointsChanged(model.PollFailed, nil)
	if got := m.take(0).list; got == nil || got.scope != model.FullList || len(got.entries) != 1 {
		t.Fatalf("%+v", got)
	}
	m.EndpointsChanged(model.PollFailed, nil)
	if got := m.take(0).list; got == nil || got.scope != model.PollFailed {
		t.Fatalf("%+v", got)
	}
}

// outside is the channel and the list by hand.
type outside struct {
	batches chan *snapshot.Batch
	events  chan string
}

func (o *outside) AdmitProxy(p model.ProxyID, stream uint64) {
	o.events <- fmt.Sprint("admit ", p, " ", stream)
}
func (o *outside) Publish(b *snapshot.Batch) { o.batches <- b }
func (o *outside) Subscribe()                { o.events <- "follow" }

func (o *outside) event(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-o.events:
		if got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s", want)
	}
}

// until takes batches until one holds such an order.
func (o *outside) until(t *testing.T, what What, about string) *snapshot.Batch {
	t.Helper()
	late := time.After(20 * time.Second)
	for {
		select {
		case b := <-o.batches:
			for _, one := range b.Updates {
				if what(one) {
					return b
				}
			}
		case <-late:
			t.Fatalf("no order: %s", about)
		}
	}
}

// What tells an order.
type What func(o snapshot.Update) bool

func start(t *testing.T, cached []model.Endpoint, change func(*model.Config)) (*Controller, *outside) {
	terms := model.Config{Seed: 1, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}}, Zones: 1, SubscriptionRequired: true, AdmissionControl: true,
		FullQuota: 1, StandingTableSize: 4, ReportPeriod: 200 * model.Millisecond, MessageOverhead: 6, QueueLimit: 100_000, UtilizationField: -1, WarmUpPeriod: 17 * model.Second}
	if change != nil {
		change(&terms)
	}
	h := New(terms, 1000, Clock(), zerolog.Nop())
	o := &outside{batches: make(chan *snapshot.Batch, 10_000), events: make(chan string, 10_000)}
	go h.Run(o, o, cached)
	t.Cleanup(h.Stop)
	o.event(t, "follow")
	return h, o
}

func ready(numbers ...byte) (all []model.Endpoint) {
	for _, n := range numbers {
		all = append(all, model.Endpoint{ID: id(n), Status: model.EndpointReady})
	}
	return all
}

func bind(o snapshot.Update) bool { return o.Kind == snapshot.BindProxy }

// After a start nobody is bound before each listed replica is named in a report, and drains go out meanwhile.
func TestTheGateHoldsAndDrainsGoOut(t *testing.T) {
	// A period of 10 s: the start window does not end within this test.
	h, o := start(t, ready(1, 2, 3), func(x *model.Config) { x.ReportPeriod = 5 * model.Second })
	h.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	o.event(t, "admit 7 70")
	h.EndpointsChanged(model.FullList, append(ready(1, 2), model.Endpoint{ID: id(3), Status: model.EndpointDraining}))
	b := o.until(t, func(o snapshot.Update) bool {
		return o.Kind == snapshot.SetWithdrawn && o.Withdrawn && o.Replica == id(3)
	}, "the drain")
	for _, one := range b.Updates {
		if bind(one) {
			t.Fatal("bound while the gate is shut")
		}
	}
	if v := h.View(); v.SafeModeEnded || v.ReadyReplicas != 2 || v.ListedReplicas != 3 {
		t.Fatalf("%+v", v)
	}
}

// Once each replica was heard of, forwarders are bound, and a receipt is asked for with the same batch.
func TestTheGateOpensOnReports(t *testing.T) {
	h, o := start(t, ready(1, 2), nil)
	h.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	o.event(t, "admit 7 70")
	h.LoadReported(0, []model.LoadReport{{Replica: id(1), Attempts: 5, MeanLatency: 1000, Window: model.Second}, {Replica: id(2), Attempts: 5, MeanLatency: 1000, Window: model.Second}})
	b := o.until(t, bind, "a bind")
	if b.AckSequence < 0 || b.At == 0 {
		t.Fatalf("%+v", b)
	}
	h.Acknowledged(7, 70, uint32(b.AckSequence))
	h.ProxyDisconnected(7, 70)
	h.ProxyConnected(7, 71, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	o.event(t, "admit 7 71")
	o.until(t, bind, "a bind for the new stream")
}

// A list out of reach is asked for again, and what is known stays.
func TestAFailedListIsAskedForAgain(t *testing.T) {
	h, o := start(t, ready(1, 2), nil)
	h.EndpointsChanged(model.PollFailed, nil)
	o.event(t, "follow")
	if v := h.View(); v.ReadyReplicas != 2 {
		t.Fatalf("%+v", v)
	}
}

// The journal of causes keeps the newest steps that told, said or ordered something, and finds them by what they name.
func TestCauses(t *testing.T) {
	c := newCauses()
	c.timer = true
	c.step(1, &snapshot.Batch{})
	if got := c.find(10, nil); len(got) != 0 {
		t.Fatalf("an idle step is kept: %+v", got)
	}
	for n := range causesMost + 5 {
		c.input("joined till-%d", n)
		c.step(model.Microseconds(n), &snapshot.Batch{Updates: []snapshot.Update{{Kind: snapshot.SetWithdrawn, Replica: id(byte(n % 7)), Withdrawn: true}}})
	}
	if got := c.find(2, nil); len(got) != 2 || got[0].Number != causesMost+5 || got[1].Number != causesMost+4 {
		t.Fatalf("the newest are %+v", got)
	}
	if got := c.find(10, func(c *Decision) bool { return c.Mentions("till-0") }); len(got) != 0 {
		t.Fatalf("the ring keeps more than its bound: %+v", got[0])
	}
	if got := c.find(3, func(c *Decision) bool { return c.Mentions("withdraw 127.0.0.3:80") }); len(got) != 3 {
		t.Fatalf("%d found", len(got))
	}
	var many []snapshot.Update
	for range 1000 {
		many = append(many, snapshot.Update{Kind: snapshot.BindProxy})
		c.input("joined")
	}
	c.step(9, &snapshot.Batch{Updates: many})
	if got := c.find(1, nil)[0]; len(got.Updates) != ordersMost || got.OmittedUpdates != 1000-ordersMost || len(got.Inputs) != inputsMost+1 {
		t.Fatalf("%d orders, %d cut, %d inputs", len(got.Updates), got.OmittedUpdates, len(got.Inputs))
	}
}

// A look is taken only while somebody asks for it.
func TestLooks(t *testing.T) {
	h, o := start(t, ready(1, 2), nil)
	h.ProxyConnected(7, 70, pubsubmsg.Join{Name: "till", ExpectedRate: 5}, 0)
	o.event(t, "admit 7 70")
	o.until(t, bind, "a bind")
	if v := h.View(); v.Detail != nil {
		t.Fatal("a look is taken though nobody asked")
	}
	for until := time.Now().Add(10 * time.Second); h.DetailedView().Detail == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no look comes")
		}
	}
	v := h.View()
	if m := v.Detail.Balancer; len(m.Replicas) != 2 || len(m.Proxies) != 1 || v.Detail.Proxies[7].Name != "till" || len(v.Detail.Endpoints) != 2 {
		t.Fatalf("%+v", v.Detail)
	}
}

// BenchmarkLook times what a look and the journal cost beside a step's own work, at three sizes, in one run.
func BenchmarkLook(b *testing.B) {
	for _, size := range [][2]int{{100, 30}, {482, 305}, {5000, 1000}} {
		terms := model.Config{Seed: 1, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}}, Zones: 4, AdmissionControl: true, FullQuota: 1, StandingTableSize: 6,
			ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 1000 * size[0], UtilizationField: -1, WarmUpPeriod: 17 * model.Second, ProxyCount: size[0], MinReplicaConnections: 200}
		h := New(terms, 100_000, Clock(), zerolog.Nop())
		h.channel, h.roster = &outside{batches: make(chan *snapshot.Batch, 1), events: make(chan string, 1)}, nil
		h.batch = &snapshot.Batch{AckSequence: -1}
		now := model.Microseconds(100 * model.Second)
		h.module = balancer.New(terms, h, now)
		var list []model.Endpoint
		for n := range size[1] {
			list = append(list, model.Endpoint{ID: model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 250), byte(n % 250)}, Port: 80}, Zone: n % 4, Status: model.EndpointReady})
		}
		h.module.EndpointsChanged(now, model.CachedList, list)
		for p := range size[0] {
			h.module.ProxyConnected(now, model.ProxyID(p), p%4, 5)
			h.known[model.ProxyID(p)] = Proxy{Name: fmt.Sprint("till-", p)}
		}
		step := func(look, journal bool) func(b *testing.B) {
			return func(b *testing.B) {
				for b.Loop() {
					now += 200 * model.Millisecond
					for _, l := range list {
						h.module.LoadReported(now, model.LoadReport{Replica: l.ID, Attempts: 10, MeanLatency: 100_000, Window: model.Second})
					}
					h.module.TimerFired(now)
					h.module.Flush(now)
					if journal {
						h.causes.timer = true
						h.causes.step(now, h.batch)
					}
					if n := h.batch.AckSequence; n >= 0 {
						for p := range size[0] {
							h.module.Acknowledged(now, model.ProxyID(p), uint32(n))
						}
					}
					h.batch = &snapshot.Batch{AckSequence: -1}
					if look {
						h.look = &Detail{At: now, Balancer: h.module.View(), Proxies: maps.Clone(h.known), Endpoints: maps.Clone(h.list)}
					}
				}
			}
		}
		name := fmt.Sprint(size[0], "x", size[1])
		b.Run(name+"/bare", step(false, false))
		b.Run(name+"/causes", step(false, true))
		b.Run(name+"/look", step(true, false))
	}
}

// Where memory is short no journal of causes is kept: neither its entries nor what would go into the next one.
func TestNoCausesAreKept(t *testing.T) {
	c := newCauses()
	c.off = true
	for n := range 100 {
		c.input("joined %d", n)
		c.said = append(c.said, "gate open")
		c.step(model.Microseconds(n), &snapshot.Batch{Updates: []snapshot.Update{{Kind: snapshot.BindProxy}}})
	}
	if len(c.ring)+len(c.came)+len(c.said) > 0 || len(c.find(10, nil)) > 0 {
		t.Fatalf("%d entries", len(c.ring))
	}
}

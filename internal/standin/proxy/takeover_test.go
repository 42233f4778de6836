package proxy

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
	"peppervale/internal/standin/replica"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// holder is a governor's channel that holds the one part there is, or not, as the test says; it orders what the test says.
type holder struct {
	*pubsub.Server
	mu     sync.Mutex
	epoch  uint64 // 0: it holds nothing
	other  *holder
	joined chan model.ProxyID
}

func (h *holder) Shard(int, string) int { return 0 }

func (h *holder) IsLeaseHolder(int) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.epoch > 0
}

func (h *holder) Holder(int) string { return h.other.Addr() }

func (h *holder) set(epoch uint64) {
	h.mu.Lock()
	h.epoch = epoch
	h.mu.Unlock()
}

func (h *holder) ProxyConnected(p model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	h.AdmitProxy(p, stream)
	h.joined <- p
}
func (h *holder) ProxyDisconnected(model.ProxyID, uint64)    {}
func (h *holder) Acknowledged(model.ProxyID, uint64, uint32) {}
func (h *holder) LoadReported(int, []model.LoadReport)       {}

// order publishes a table of both replicas, and how batch-log is tried again.
func (h *holder) order(p model.ProxyID, way model.RetryPolicy, replicas ...model.ReplicaID) {
	b := &snapshot.Batch{AckSequence: -1, At: 1}
	for _, r := range replicas {
		b.Updates = append(b.Updates, snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: r, Weight: 1})
	}
	b.Updates = append(b.Updates, snapshot.Update{Kind: snapshot.BindProxy, Proxy: p, Table: 1},
		snapshot.Update{Kind: snapshot.SetQuota, Quota: pubsubmsg.Quota{Operations: 1, Share: 1, RetryPolicy: way}})
	h.Publish(b)
}

// pair is two holders, a forwarder and two replicas that answer nothing until they are told to.
type pair struct {
	t        *testing.T
	loop     *standin.Loop
	a, b     *holder
	f        *Forwarder
	replicas []*replica.Replica
	ids      []model.ReplicaID
	tried    map[uint64]int // by invocation; of the loop's goroutine
	done     chan Result
	numbers  uint64
}

func newPair(t *testing.T) *pair {
	began := time.Now()
	now := func() model.Microseconds {
		return model.Second + model.Microseconds(time.Since(began)/time.Microsecond)
	}
	p := &pair{t: t, loop: standin.NewLoop(now), tried: map[uint64]int{}, done: make(chan Result, 1)}
	t.Cleanup(p.loop.Stop)
	engine, err := NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	open := func() *holder {
		h := &holder{joined: make(chan model.ProxyID, 10)}
		var err error
		if h.Server, err = pubsub.Listen(pubsub.Config{Listen: "127.0.0.1:0", Incarnation: 1, Zones: []string{"govan"}, ReportPeriod: model.Second, Pace: 1e6, Leases: h,
			Now: now, Log: zerolog.Nop()}, h); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		return h
	}
	p.a, p.b = open(), open()
	p.a.other, p.b.other = p.b, p.a
	p.a.set(1)
	seen := func(s invariants.Seen) {
		if one, is := s.(invariants.Tried); is {
			p.tried[one.Invocation]++
		}
	}
	p.loop.Do(func() {
		for n := range byte(2) {
			free, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Error(err)
				return
			}
			free.Close()
			id := model.ReplicaID{Addr: [4]byte{127, 0, 0, 1}, Port: uint16(free.Addr().(*net.TCPAddr).Port)}
			r := replica.New(p.loop, replica.Facts{ID: id, Zone: "govan", Bay: fmt.Sprint(n), Cores: 1, Speed: 1, Waiting: 10, Connections: 100, ColdShare: 1, TipFactor: 1000,
				TipSpan: model.Second}, replica.NewBay(), []model.Microseconds{model.Second}, seen)
			if err := r.Start(false); err != nil {
				t.Error(err)
				return
			}
			p.replicas, p.ids = append(p.replicas, r), append(p.ids, r.ID)
		}
		p.f = New(p.loop, engine, Facts{Name: "till", Zone: "govan", Rate: 1, Pick: Wheel, Operations: []Operation{{100 * model.Millisecond, 1600 * model.Millisecond}},
			UsualWay: model.RetryTwiceOnAnyFailure, FirstWait: 5, Redial: 10 * model.Millisecond, ConnectFor: model.Second, IdleFor: model.Second,
			Governors: []Governor{{"a", p.a.Addr()}, {"b", p.b.Addr()}}}, 1, seen)
		p.f.Start(nil)
	})
	t.Cleanup(func() {
		p.loop.Do(func() {
			p.f.Kill()
			for _, r := range p.replicas {
				r.Stop()
			}
		})
	})
	return p
}

// until waits for something of the loop's.
func (p *pair) until(what string, is func() bool) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		so := false
		p.loop.Do(func() { so = is() })
		if so {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("never: %s", what)
		}
	}
}

// invoke starts a batch-log at replicas that answer nothing, and gives its number.
func (p *pair) invoke() (number uint64) {
	p.loop.Do(func() {
		p.numbers++
		number = p.numbers
		for _, r := range p.replicas {
			r.Silent = true
		}
		p.f.Invoke(&Invocation{Number: number, Work: 1000, Done: func(r Result, _ model.Microseconds) { p.done <- r }})
	})
	return number
}

// tries waits for the end of an invocation and tells how often it was sent.
func (p *pair) tries(number uint64) (n int) {
	<-p.done
	p.loop.Do(func() { n = p.tried[number] })
	return n
}

// The holder changes in the middle of the repeats of a batch-log: what may have run is not sent again, though the one before ordered it
// so; nor is any other until the new holder has ordered it.
func TestATakeoverInTheMiddleOfRepeats(t *testing.T) {
	p := newPair(t)
	p.a.order(<-p.a.joined, model.RetryTwiceOnAnyFailure, p.ids...)
	p.until("bound", func() bool { return p.f.Bound() && len(p.f.levels) == 1 })
	if n := p.tries(p.invoke()); n != 3 {
		t.Fatalf("under one holder it is sent %d times, 3 were ordered", n)
	}
	number := p.invoke()
	p.until("sent once", func() bool { return p.tried[number] == 1 })
	p.b.set(2)
	p.a.set(0)
	p.a.LeaseLost(0)
	moved := <-p.b.joined
	if n := p.tries(number); n != 1 {
		t.Errorf("over the change of holder it is sent %d times", n)
	}
	if n := p.tries(p.invoke()); n != 1 {
		t.Errorf("before the new holder has ordered it is sent %d times", n)
	}
	p.b.order(moved, model.RetryOnAnyFailure, p.ids...)
	p.until("ordered", func() bool { return !p.f.caution && p.f.Joined() == "b" })
	if n := p.tries(p.invoke()); n != 2 {
		t.Errorf("once the new holder has ordered one repeat it is sent %d times", n)
	}
}

// A holder that stood still goes on ordering after its lease, on a stream that it has not given up: the forwarder has seen a newer
// epoch, obeys nothing, and says so.
func TestAnOldHolderIsNotObeyed(t *testing.T) {
	p := newPair(t)
	proxy := <-p.a.joined
	p.a.order(proxy, model.RetryNever, p.ids[0])
	p.until("bound", func() bool { return p.f.Bound() })
	p.loop.Do(func() { p.f.epoch(7) }) // as another holder's word would
	p.a.order(proxy, model.RetryNever, p.ids[1])
	p.until("not obeyed", func() bool { return p.f.Fenced == 1 })
	p.loop.Do(func() {
		if held := p.f.Holds(); len(held) != 1 || held[0].Replica != p.ids[0] {
			t.Errorf("it holds %v", held)
		}
	})
	for end := time.Now().Add(10 * time.Second); p.a.Stats().Fenced != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the old holder is not told")
		}
	}
	// Joining anew it is not taken by one whose epoch is older than what it has seen, and goes where it is sent.
	p.b.set(8)
	p.loop.Do(p.f.Break)
	p.until("with the new holder", func() bool { return p.f.Joined() == "b" })
}

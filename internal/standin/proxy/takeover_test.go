package proxy

import (
	"fmt"
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
	"peppervale/internal/testaddr"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// waitTimeout is the time after which a test fails because a condition does not hold.
const waitTimeout = 10 * time.Second

// instance is a channel server with a single shard. The test sets whether it holds the shard's lease and what it
// publishes.
type instance struct {
	*pubsub.Server
	other  *instance
	joined chan model.ProxyID

	mu    sync.Mutex
	epoch uint64 // of the lease; 0: the instance does not hold it
}

// Shard implements pubsub.Leases. There is only one shard.
func (i *instance) Shard(int, string) int { return 0 }

// IsLeaseHolder implements pubsub.Leases.
func (i *instance) IsLeaseHolder(int) (uint64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.epoch, i.epoch > 0
}

// Holder implements pubsub.Leases.
func (i *instance) Holder(int) string { return i.other.Addr() }

func (i *instance) setEpoch(epoch uint64) {
	i.mu.Lock()
	i.epoch = epoch
	i.mu.Unlock()
}

// ProxyConnected implements pubsub.Events.
func (i *instance) ProxyConnected(p model.ProxyID, stream uint64, _ pubsubmsg.Join, _ int) {
	i.AdmitProxy(p, stream)
	i.joined <- p
}

// ProxyDisconnected implements pubsub.Events.
func (i *instance) ProxyDisconnected(model.ProxyID, uint64) {}

// Acknowledged implements pubsub.Events.
func (i *instance) Acknowledged(model.ProxyID, uint64, uint32) {}

// LoadReported implements pubsub.Events.
func (i *instance) LoadReported(int, []model.LoadReport) {}

// publish binds a proxy to a table of the replicas and sets the retry policy of the only operation.
func (i *instance) publish(p model.ProxyID, policy model.RetryPolicy, replicas ...model.ReplicaID) {
	batch := &snapshot.Batch{AckSequence: -1, At: 1}
	for _, id := range replicas {
		batch.Updates = append(batch.Updates, snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: id, Weight: 1})
	}
	quota := pubsubmsg.Quota{Operations: 1, Share: 1, RetryPolicy: policy}
	batch.Updates = append(batch.Updates,
		snapshot.Update{Kind: snapshot.BindProxy, Proxy: p, Table: 1},
		snapshot.Update{Kind: snapshot.SetQuota, Quota: quota})
	i.Publish(batch)
}

// fixture holds two instances, a proxy and two replicas. The replicas send no responses after the first call of
// startSilentRequest.
type fixture struct {
	t             *testing.T
	now           func() model.Microseconds
	loop          *standin.Loop
	first, second *instance
	proxy         *Proxy
	replicas      []*replica.Replica
	ids           []model.ReplicaID
	done          chan Result

	attempts map[uint64]int // by request; used on the loop's goroutine only
	requests uint64         // used on the loop's goroutine only
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	started := time.Now()
	now := func() model.Microseconds {
		return model.Second + model.Microseconds(time.Since(started)/time.Microsecond)
	}
	fixture := &fixture{
		t:        t,
		now:      now,
		loop:     standin.NewLoop(now),
		done:     make(chan Result, 1),
		attempts: map[uint64]int{},
	}
	t.Cleanup(fixture.loop.Stop)
	fixture.first, fixture.second = fixture.newInstance(), fixture.newInstance()
	fixture.first.other, fixture.second.other = fixture.second, fixture.first
	fixture.first.setEpoch(1)
	for range 2 {
		id := newReplicaID(t)
		fixture.loop.Do(func() { fixture.startReplica(id) })
	}
	fixture.startProxy()
	t.Cleanup(func() {
		fixture.loop.Do(func() {
			fixture.proxy.Kill()
			for _, r := range fixture.replicas {
				r.Stop()
			}
		})
	})
	return fixture
}

func (fx *fixture) newInstance() *instance {
	fx.t.Helper()
	i := &instance{joined: make(chan model.ProxyID, 10)}
	server, err := pubsub.Listen(pubsub.Config{
		Listen: "127.0.0.1:0", Incarnation: 1, Zones: []string{"govan"}, ReportPeriod: model.Second, EntriesPerSecond: 1e6,
		Leases: i, Now: fx.now, Log: zerolog.Nop(),
	}, i)
	if err != nil {
		fx.t.Fatal(err)
	}
	i.Server = server
	fx.t.Cleanup(i.Close)
	return i
}

// observe counts the attempts at each request. It is called on the loop.
func (fx *fixture) observe(event invariants.Event) {
	if started, ok := event.(invariants.AttemptStarted); ok {
		fx.attempts[started.Request]++
	}
}

// newReplicaID returns a replica's ID with an address on which no socket listens.
func newReplicaID(t *testing.T) model.ReplicaID {
	t.Helper()
	id, err := pubsubmsg.ParseAddress(testaddr.Address(t))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// startReplica starts another replica. It must be called on the loop.
func (fx *fixture) startReplica(id model.ReplicaID) {
	r := replica.New(fx.loop, replica.Config{
		ID: id, Zone: "govan", DeduplicationGroup: fmt.Sprint(len(fx.replicas)),
		Cores: 1, Speed: 1, QueueLimit: 10, MaxConnections: 100,
		InitialShare: 1, OverloadFactor: 1000, OverloadWindow: model.Second,
	}, replica.NewDeduplicationGroup(), []model.Microseconds{model.Second}, fx.observe)
	if err := r.Start(false); err != nil {
		fx.t.Error(err)
		return
	}
	fx.replicas = append(fx.replicas, r)
	fx.ids = append(fx.ids, r.ID)
}

func (fx *fixture) startProxy() {
	fx.t.Helper()
	engine, err := NewEngine()
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(engine.Stop)
	fx.loop.Do(func() {
		fx.proxy = New(fx.loop, engine, Config{
			Name: "till", Zone: "govan", ExpectedRate: 1, Pick: PickRoundRobin,
			Operations:         []Operation{{100 * model.Millisecond, 1600 * model.Millisecond}},
			DefaultRetryPolicy: model.RetryTwiceOnAnyFailure, RetryableAttemptShare: 5,
			RedialInterval: 10 * model.Millisecond, DialTimeout: model.Second, IdleTimeout: model.Second,
			Instances: []Instance{{"a", fx.first.Addr()}, {"b", fx.second.Addr()}},
		}, 1, fx.observe)
		fx.proxy.Start(nil)
	})
}

// waitUntil waits until a condition, which is evaluated on the loop, holds.
func (fx *fixture) waitUntil(conditionText string, condition func() bool) {
	fx.t.Helper()
	eventually(fx.t, conditionText, func() bool {
		holds := false
		fx.loop.Do(func() { holds = condition() })
		return holds
	})
}

func eventually(t *testing.T, conditionText string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", conditionText)
		}
	}
}

// startSilentRequest makes the replicas silent, starts a request and returns its number.
func (fx *fixture) startSilentRequest() (number uint64) {
	fx.loop.Do(func() {
		fx.requests++
		number = fx.requests
		for _, r := range fx.replicas {
			r.Silent = true
		}
		done := func(r Result, _ model.Microseconds) { fx.done <- r }
		fx.proxy.HandleRequest(&Request{Number: number, Work: 1000, Done: done})
	})
	return number
}

// awaitAttempts waits for the end of a request and returns its number of attempts.
func (fx *fixture) awaitAttempts(number uint64) (attempts int) {
	<-fx.done
	fx.loop.Do(func() { attempts = fx.attempts[number] })
	return attempts
}

// The lease holder changes while a request is retried. A request that may have been executed is not retried anymore,
// although the former holder's retry policy allowed it. Later requests are not retried either until the new holder has
// published a retry policy.
func TestLeaseHolderChangeDuringRetriesStopsRetries(t *testing.T) {
	fixture := newFixture(t)
	fixture.first.publish(<-fixture.first.joined, model.RetryTwiceOnAnyFailure, fixture.ids...)
	fixture.waitUntil("the proxy is bound and has a quota", func() bool {
		return fixture.proxy.Bound() && len(fixture.proxy.table.quotas) == 1
	})
	if n := fixture.awaitAttempts(fixture.startSilentRequest()); n != 3 {
		t.Fatalf("%d attempts while the lease holder does not change, want 3", n)
	}
	number := fixture.startSilentRequest()
	fixture.waitUntil("the request is sent once", func() bool { return fixture.attempts[number] == 1 })
	fixture.second.setEpoch(2)
	fixture.first.setEpoch(0)
	fixture.first.LeaseLost(0)
	redirectedProxy := <-fixture.second.joined
	if n := fixture.awaitAttempts(number); n != 1 {
		t.Errorf("%d attempts although the lease holder changed after the first, want 1", n)
	}
	if n := fixture.awaitAttempts(fixture.startSilentRequest()); n != 1 {
		t.Errorf("%d attempts before the new lease holder has published a retry policy, want 1", n)
	}
	fixture.second.publish(redirectedProxy, model.RetryOnAnyFailure, fixture.ids...)
	fixture.waitUntil("the proxy has applied the new holder's retry policy", func() bool {
		return !fixture.proxy.awaitsNewHolder && fixture.proxy.JoinedInstance() == "b"
	})
	if n := fixture.awaitAttempts(fixture.startSilentRequest()); n != 2 {
		t.Errorf("%d attempts after the new lease holder has allowed one retry, want 2", n)
	}
}

// A stalled lease holder keeps publishing after its lease has expired, on a stream that it has not closed. The proxy
// has seen a newer epoch, so it does not apply the messages and notifies the former holder.
func TestMessageOfFormerLeaseHolderIsNotApplied(t *testing.T) {
	fixture := newFixture(t)
	id := <-fixture.first.joined
	fixture.first.publish(id, model.RetryNever, fixture.ids[0])
	fixture.waitUntil("the proxy is bound", func() bool { return fixture.proxy.Bound() })
	fixture.loop.Do(func() { fixture.proxy.acceptEpoch(7) }) // as a message of another lease holder does
	fixture.first.publish(id, model.RetryNever, fixture.ids[1])
	fixture.waitUntil("the proxy rejects the message", func() bool { return fixture.proxy.Fenced == 1 })
	fixture.loop.Do(func() {
		if held := fixture.proxy.HeldEntries(); len(held) != 1 || held[0].Replica != fixture.ids[0] {
			t.Errorf("the proxy holds %v, want only the first replica", held)
		}
	})
	eventually(t, "the former holder is notified", func() bool { return fixture.first.Stats().Fenced == 1 })
	// When the proxy reconnects, it does not join an instance whose epoch is older than the newest one it has seen.
	fixture.second.setEpoch(8)
	fixture.loop.Do(fixture.proxy.BreakStream)
	fixture.waitUntil("the proxy joins the new lease holder", func() bool { return fixture.proxy.JoinedInstance() == "b" })
}

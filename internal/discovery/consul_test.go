package discovery

import (
	"strings"
	"sync"
	"testing"
	"time"

	consul "github.com/hashicorp/consul/api"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/registry"
	"peppervale/internal/testaddr"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// zones are the zones of all tests here, by number.
var zones = []string{"govan", "maryhill"}

const serviceName = "recipe"

func replicaID(number byte) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, 0, 0, number}, Port: 80}
}

// consulFixture is a stand-in registry with a client that follows it.
type consulFixture struct {
	t        *testing.T
	loop     *standin.Loop
	registry *registry.Registry
	client   *ConsulClient

	mu      sync.Mutex
	updates []string
	arrived chan struct{} // one token for each update
}

// initialList describes the list that a fixture begins with.
const initialList = "list 1/0/1/0 2/1/1/7000"

func newConsulFixture(t *testing.T) *consulFixture {
	t.Helper()
	fixture := &consulFixture{t: t, arrived: make(chan struct{}, 1000)}
	began := time.Now()
	fixture.loop = standin.NewLoop(func() model.Microseconds {
		return model.Microseconds(time.Since(began) / time.Microsecond)
	})
	t.Cleanup(fixture.loop.Stop)
	fixture.do(func() {
		var err error
		fixture.registry, err = registry.New(fixture.loop, "127.0.0.1:0", serviceName, func(invariants.Event) {})
		if err != nil {
			t.Fatal(err)
		}
		fixture.registry.Set(registry.Entry{ID: replicaID(1), Zone: zones[0], DeduplicationGroup: "a", Kind: "two-core"})
		fixture.registry.Set(registry.Entry{ID: replicaID(2), Zone: zones[1], StartedAt: 7 * model.Second})
	})
	t.Cleanup(fixture.registry.Close)
	var err error
	fixture.client, err = NewConsulClient(ConsulConfig{
		Address:   fixture.registry.Addr(),
		Service:   serviceName,
		Zones:     zones,
		Wait:      30 * time.Second,
		Timeout:   300 * time.Millisecond,
		UserAgent: "peppervale/test",
		Log:       zerolog.Nop(),
	}, fixture)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fixture.client.Close)
	return fixture
}

// do runs a change of the registry on its loop.
func (f *consulFixture) do(change func()) { f.loop.Do(change) }

func (f *consulFixture) EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint) {
	f.mu.Lock()
	f.updates = append(f.updates, describe(update, endpoints))
	f.mu.Unlock()
	f.arrived <- struct{}{}
}

// next waits for the next update.
func (f *consulFixture) next(deadline <-chan time.Time, want string) string {
	f.t.Helper()
	select {
	case <-f.arrived:
	case <-deadline:
		f.t.Fatalf("no update, want %q", want)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	update := f.updates[0]
	f.updates = f.updates[1:]
	return update
}

// expect waits for an update that must be the next one.
func (f *consulFixture) expect(want string) {
	f.t.Helper()
	if got := f.next(time.After(10*time.Second), want); got != want {
		f.t.Fatalf("%q, want %q", got, want)
	}
}

// expectEventually waits for an update; others, of answers that were on their way, may come first.
func (f *consulFixture) expectEventually(want string) {
	f.t.Helper()
	deadline := time.After(10 * time.Second)
	for f.next(deadline, want) != want {
	}
}

func TestConsulListIsFollowed(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.client.Subscribe()
	fixture.expect(initialList)
	fixture.do(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(1), Zone: zones[0], Draining: true})
	})
	fixture.expect("list 1/0/2/0 2/1/1/7000")
	fixture.do(func() { fixture.registry.Remove(replicaID(1)) })
	fixture.expect("list 2/1/1/7000")
}

// TestConsulPollFails shows that whatever goes wrong is reported once as a failed poll, and that a new subscription
// brings the complete list.
func TestConsulPollFails(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault registry.Faults
	}{
		{"down", registry.Faults{Fails: true}},
		{"silent", registry.Faults{Silent: true}},
		{"half a body", registry.Faults{TruncatesBody: true}},
		{"later than the timeout", registry.Faults{Delay: 900 * model.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fixture := newConsulFixture(t)
			fixture.do(func() { fixture.registry.Faults = tt.fault })
			fixture.client.Subscribe()
			fixture.expect("poll failed")
			fixture.do(func() { fixture.registry.Faults = registry.Faults{} })
			fixture.client.Subscribe()
			fixture.expect(initialList)
		})
	}
	t.Run("no listener", func(t *testing.T) {
		fixture := newConsulFixture(t)
		fixture.client.config.Address = testaddr.Address(t)
		fixture.client.Subscribe()
		fixture.expect("poll failed")
	})
}

// TestConsulIndexGoesBack shows that an index that goes back starts anew, and that no update after it is missed.
func TestConsulIndexGoesBack(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.client.Subscribe()
	fixture.expect(initialList)
	fixture.do(func() {
		fixture.registry.Faults = registry.Faults{IndexGoesBack: true}
		fixture.registry.Remove(replicaID(1))
	})
	fixture.expect("list 2/1/1/7000")
	entry := registry.Entry{ID: replicaID(2), Zone: zones[1], StartedAt: 7 * model.Second}
	draining := entry
	draining.Draining = true
	// While the index stays where it was set back to, the list changes under it.
	fixture.do(func() { fixture.registry.Set(draining) })
	fixture.expectEventually("list 2/1/2/7000")
	fixture.do(func() {
		fixture.registry.Faults = registry.Faults{}
		fixture.registry.Set(entry)
	})
	fixture.expectEventually("list 2/1/1/7000")
	fixture.do(func() { fixture.registry.Remove(replicaID(2)) })
	fixture.expectEventually("list")
}

// TestStandInSpeaksConsul shows that the stand-in registry is what its protocol says: Consul's own client reads it,
// blocks on it and sees maintenance.
func TestStandInSpeaksConsul(t *testing.T) {
	fixture := newConsulFixture(t)
	transport := consul.DefaultConfig().Transport
	transport.DisableKeepAlives = true
	client, err := consul.NewClient(&consul.Config{Address: fixture.registry.Addr(), Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	entries, meta, err := client.Health().Service(serviceName, "", false, nil)
	if err != nil || len(entries) != 2 || entries[0].Service.Meta["zone"] != zones[0] ||
		entries[0].Checks.AggregatedStatus() != consul.HealthPassing || meta.LastIndex == 0 {
		t.Fatalf("%v, %v, %v", entries, meta, err)
	}
	type answer struct {
		entries []*consul.ServiceEntry
		meta    *consul.QueryMeta
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		options := &consul.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: 20 * time.Second}
		entries, meta, err := client.Health().Service(serviceName, "", false, options)
		answers <- answer{entries, meta, err}
	}()
	fixture.do(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(2), Zone: zones[1], Draining: true})
	})
	changed := <-answers
	if changed.err != nil || len(changed.entries) != 2 ||
		changed.entries[1].Checks.AggregatedStatus() != consul.HealthMaint || changed.meta.LastIndex <= meta.LastIndex {
		t.Fatalf("%v, %v", changed.entries, changed.err)
	}
	if none, _, err := client.Health().Service("other", "", false, nil); err != nil || len(none) != 0 {
		t.Fatalf("a service that is not there: %v, %v", none, err)
	}
}

func TestUnusableConsulEntriesAreSkipped(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.do(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(3), Zone: "leith"})
		fixture.registry.Set(registry.Entry{ID: replicaID(4), Zone: strings.Repeat("<b>", 300)})
	})
	fixture.client.Subscribe()
	fixture.expect(initialList)
}

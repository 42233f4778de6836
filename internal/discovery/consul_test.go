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

// zones are the zone names in all tests of this package, by zone number.
var zones = []string{"govan", "maryhill"}

const serviceName = "recipe"

func replicaID(number byte) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, 0, 0, number}, Port: 80}
}

// consulFixture is a stand-in registry and a client that follows its list.
type consulFixture struct {
	t        *testing.T
	loop     *standin.Loop
	registry *registry.Registry
	client   *ConsulClient

	mu      sync.Mutex
	updates []string
	arrived chan struct{} // one token for each update
}

// initialList is the initial list of a fixture in the notation of describe.
const initialList = "list 1/0/1/0 2/1/1/7000"

func newConsulFixture(t *testing.T) *consulFixture {
	t.Helper()
	fixture := &consulFixture{t: t, arrived: make(chan struct{}, 1000)}
	startedAt := time.Now()
	fixture.loop = standin.NewLoop(func() model.Microseconds {
		return model.Microseconds(time.Since(startedAt) / time.Microsecond)
	})
	t.Cleanup(fixture.loop.Stop)
	fixture.onLoop(func() {
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

// onLoop changes the registry on its event loop.
func (f *consulFixture) onLoop(change func()) { f.loop.Do(change) }

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
		f.t.Fatalf("update %q, want %q", got, want)
	}
}

// expectEventually waits for an update; updates from responses that were already in flight may come first.
func (f *consulFixture) expectEventually(want string) {
	f.t.Helper()
	deadline := time.After(10 * time.Second)
	for f.next(deadline, want) != want {
	}
}

func TestConsulClientReportsListChanges(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.client.Subscribe()
	fixture.expect(initialList)
	fixture.onLoop(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(1), Zone: zones[0], Draining: true})
	})
	fixture.expect("list 1/0/2/0 2/1/1/7000")
	fixture.onLoop(func() { fixture.registry.Remove(replicaID(1)) })
	fixture.expect("list 2/1/1/7000")
}

// TestConsulPollFailureIsReportedOnce checks that each fault is reported once as a failed poll, and that a new
// subscription returns the complete list.
func TestConsulPollFailureIsReportedOnce(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault registry.Faults
	}{
		{"status 500", registry.Faults{RespondsNoLeader: true}},
		{"no response", registry.Faults{Silent: true}},
		{"truncated body", registry.Faults{TruncatesBody: true}},
		{"response after the timeout", registry.Faults{Delay: 900 * model.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fixture := newConsulFixture(t)
			fixture.onLoop(func() { fixture.registry.Faults = tt.fault })
			fixture.client.Subscribe()
			fixture.expect("poll failed")
			fixture.onLoop(func() { fixture.registry.Faults = registry.Faults{} })
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

// TestConsulListIsRequestedAgainWhenIndexGoesBack checks that the current list is requested after the index goes back,
// and that no later update is missed.
func TestConsulListIsRequestedAgainWhenIndexGoesBack(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.client.Subscribe()
	fixture.expect(initialList)
	fixture.onLoop(func() {
		fixture.registry.Faults = registry.Faults{IndexGoesBack: true}
		fixture.registry.Remove(replicaID(1))
	})
	fixture.expect("list 2/1/1/7000")
	entry := registry.Entry{ID: replicaID(2), Zone: zones[1], StartedAt: 7 * model.Second}
	draining := entry
	draining.Draining = true
	// The index stays at the value that it went back to while the list changes.
	fixture.onLoop(func() { fixture.registry.Set(draining) })
	fixture.expectEventually("list 2/1/2/7000")
	fixture.onLoop(func() {
		fixture.registry.Faults = registry.Faults{}
		fixture.registry.Set(entry)
	})
	fixture.expectEventually("list 2/1/1/7000")
	fixture.onLoop(func() { fixture.registry.Remove(replicaID(2)) })
	fixture.expectEventually("list")
}

// TestStandInRegistryServesConsulAPIClient checks that the stand-in registry implements the Consul protocol: Consul's
// own client can read the list, wait in a blocking query, and see maintenance.
func TestStandInRegistryServesConsulAPIClient(t *testing.T) {
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
		t.Fatalf("entries %v, meta %v, error %v; want 2 entries, the first one passing", entries, meta, err)
	}
	type queryResult struct {
		entries []*consul.ServiceEntry
		meta    *consul.QueryMeta
		err     error
	}
	results := make(chan queryResult, 1)
	go func() {
		options := &consul.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: 20 * time.Second}
		entries, meta, err := client.Health().Service(serviceName, "", false, options)
		results <- queryResult{entries, meta, err}
	}()
	fixture.onLoop(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(2), Zone: zones[1], Draining: true})
	})
	changed := <-results
	if changed.err != nil || len(changed.entries) != 2 ||
		changed.entries[1].Checks.AggregatedStatus() != consul.HealthMaint || changed.meta.LastIndex <= meta.LastIndex {
		t.Fatalf("changed entries %v, error %v; want 2 entries, the second one in maintenance", changed.entries, changed.err)
	}
	if otherEntries, _, err := client.Health().Service("other", "", false, nil); err != nil || len(otherEntries) != 0 {
		t.Fatalf("unknown service has entries %v, error %v; want none", otherEntries, err)
	}
}

func TestUnusableConsulEntriesAreSkipped(t *testing.T) {
	fixture := newConsulFixture(t)
	fixture.onLoop(func() {
		fixture.registry.Set(registry.Entry{ID: replicaID(3), Zone: "leith"})
		fixture.registry.Set(registry.Entry{ID: replicaID(4), Zone: strings.Repeat("<b>", 300)})
	})
	fixture.client.Subscribe()
	fixture.expect(initialList)
}

package discovery

import (
	"fmt"
	"net"
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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var zones = []string{"govan", "partick"}

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

// world is a stand-in list with a client that follows it.
type world struct {
	t    *testing.T
	loop *standin.Loop
	list *registry.Registry
	c    *ConsulClient
	mu   sync.Mutex
	told []string
	came chan struct{}
}

func (w *world) EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint) {
	text := fmt.Sprint("scope ", scope)
	for _, e := range entries {
		text += fmt.Sprintf(" %d/%d/%d/%d", e.ID.Addr[3], e.Zone, e.Status, e.StartedAt/model.Millisecond)
	}
	w.mu.Lock()
	w.told = append(w.told, text)
	w.mu.Unlock()
	w.came <- struct{}{}
}

// next waits for one piece of news.
func (w *world) next(want string) {
	w.t.Helper()
	select {
	case <-w.came:
	case <-time.After(10 * time.Second):
		w.t.Fatalf("nothing is told, want %q", want)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	got := w.told[0]
	if w.told = w.told[1:]; got != want {
		w.t.Fatalf("told %q, want %q", got, want)
	}
}

// until waits for a piece of news; others, answers that were under way, may come first.
func (w *world) until(want string) {
	w.t.Helper()
	for late := time.After(10 * time.Second); ; {
		select {
		case <-w.came:
		case <-late:
			w.t.Fatalf("%q is never told", want)
		}
		w.mu.Lock()
		got := w.told[0]
		w.told = w.told[1:]
		w.mu.Unlock()
		if got == want {
			return
		}
	}
}

func begin(t *testing.T) *world {
	w := &world{t: t, came: make(chan struct{}, 1000)}
	start := time.Now()
	w.loop = standin.NewLoop(func() model.Microseconds { return model.Microseconds(time.Since(start) / time.Microsecond) })
	t.Cleanup(w.loop.Stop)
	w.do(func() {
		var err error
		if w.list, err = registry.New(w.loop, "127.0.0.1:0", "recipe", func(invariants.Seen) {}); err != nil {
			t.Fatal(err)
		}
		w.list.Set(registry.Entry{ID: id(1), Zone: "govan", Bay: "a", Kind: "two-core"})
		w.list.Set(registry.Entry{ID: id(2), Zone: "partick", Started: 7 * model.Second})
	})
	t.Cleanup(w.list.Close)
	var err error
	w.c, err = NewConsulClient(ConsulConfig{Address: w.list.Addr(), Service: "recipe", Zones: zones, Wait: 30 * time.Second, Timeout: 300 * time.Millisecond,
		UserAgent: "peppervale/test", Log: zerolog.Nop()}, w)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.c.Close)
	return w
}

func (w *world) do(f func()) { w.loop.Do(f) }

const both = "scope 0 1/0/1/0 2/1/1/7000"

func TestTheListIsFollowed(t *testing.T) {
	w := begin(t)
	w.c.Subscribe()
	w.next(both)
	w.do(func() { w.list.Set(registry.Entry{ID: id(1), Zone: "govan", Draining: true}) })
	w.next("scope 0 1/0/2/0 2/1/1/7000")
	w.do(func() { w.list.Remove(id(1)) })
	w.next("scope 0 2/1/1/7000")
}

// Whatever goes wrong is told once as a failed call, and following again brings the whole list.
func TestFailedCalls(t *testing.T) {
	for name, trouble := range map[string]registry.Trouble{"down": {Fails: true}, "silent": {Silent: true}, "half a body": {Half: true},
		"later than the slack": {Late: 900 * model.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			w := begin(t)
			w.do(func() { w.list.Trouble = trouble })
			w.c.Subscribe()
			w.next("scope 3")
			w.do(func() { w.list.Trouble = registry.Trouble{} })
			w.c.Subscribe()
			w.next(both)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		w := begin(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		w.c.query.Address = l.Addr().String()
		w.c.Subscribe()
		w.next("scope 3")
	})
}

// An index that goes back starts anew, and news after it is not missed.
func TestAnIndexThatGoesBack(t *testing.T) {
	w := begin(t)
	w.c.Subscribe()
	w.next(both)
	w.do(func() {
		w.list.Trouble = registry.Trouble{IndexBack: true}
		w.list.Remove(id(1))
	})
	w.next("scope 0 2/1/1/7000")
	// While the index stays where it was set back to, the list changes under it.
	w.do(func() {
		w.list.Set(registry.Entry{ID: id(2), Zone: "partick", Started: 7 * model.Second, Draining: true})
	})
	w.until("scope 0 2/1/2/7000")
	w.do(func() {
		w.list.Trouble = registry.Trouble{}
		w.list.Set(registry.Entry{ID: id(2), Zone: "partick", Started: 7 * model.Second})
	})
	w.until("scope 0 2/1/1/7000")
	w.do(func() { w.list.Remove(id(2)) })
	w.until("scope 0")
}

// The stand-in is what its protocol says: Consul's own client reads it, blocks on it and sees maintenance.
func TestTheStandInByConsulsClient(t *testing.T) {
	w := begin(t)
	transport := consul.DefaultConfig().Transport
	transport.DisableKeepAlives = true
	client, err := consul.NewClient(&consul.Config{Address: w.list.Addr(), Transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	all, meta, err := client.Health().Service("recipe", "", false, nil)
	if err != nil || len(all) != 2 || all[0].Service.Meta["zone"] != "govan" || all[0].Checks.AggregatedStatus() != "passing" || meta.LastIndex == 0 {
		t.Fatalf("%v, %v, %v", all, meta, err)
	}
	type answer struct {
		all  []*consul.ServiceEntry
		meta *consul.QueryMeta
		err  error
	}
	got := make(chan answer, 1)
	go func() {
		all, after, err := client.Health().Service("recipe", "", false, &consul.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: 20 * time.Second})
		got <- answer{all, after, err}
	}()
	w.do(func() { w.list.Set(registry.Entry{ID: id(2), Zone: "partick", Draining: true}) })
	a := <-got
	if a.err != nil || len(a.all) != 2 || a.all[1].Checks.AggregatedStatus() != consul.HealthMaint || a.meta.LastIndex <= meta.LastIndex {
		t.Fatalf("%v, %v", a.all, a.err)
	}
	if none, _, err := client.Health().Service("other", "", false, nil); err != nil || len(none) != 0 {
		t.Fatalf("a service that is not there: %v, %v", none, err)
	}
}

func TestEntriesThatCannotBeRead(t *testing.T) {
	w := begin(t)
	w.do(func() {
		w.list.Set(registry.Entry{ID: id(3), Zone: "leith"})
		w.list.Set(registry.Entry{ID: id(4), Zone: strings.Repeat("<b>", 300)})
	})
	w.c.Subscribe()
	w.next(both)
}

package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// town is three governors that share six forwarders out, a zone each, with links between the governors that can be cut.
type town struct {
	t          *testing.T
	loop       *standin.Loop
	names      []string
	pages      []string
	ports      []string
	forwarders []*proxy.Forwarder
	list       *registry.Registry
	mu         sync.Mutex
	cut        map[string]bool // members that reach no other and are reached by none
	seen       []invariants.Seen
}

func (w *town) Open(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return from == to || !w.cut[from] && !w.cut[to]
}

func (w *town) isolate(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = cut
}

func found(t *testing.T, lease string) *town {
	zones := []string{"govan", "partick", "dalmarnock"}
	w := &town{t: t, cut: map[string]bool{}}
	dir := t.TempDir()
	began := time.Now()
	w.loop = standin.NewLoop(func() model.Microseconds { return model.Microseconds(time.Since(began) / time.Microsecond) })
	t.Cleanup(w.loop.Stop)
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	w.list, err = registry.New(w.loop, "127.0.0.1:0", "recipe", func(invariants.Seen) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.list.Close)
	w.loop.Do(func() {
		for n, zone := range zones {
			w.list.Set(registry.Entry{ID: replica(byte(n + 1)), Zone: zone})
		}
	})
	var members string
	var gossip []string
	for _, zone := range zones {
		w.names = append(w.names, zone+"-1")
		w.pages, w.ports, gossip = append(w.pages, free(t)), append(w.ports, free(t)), append(gossip, free(t))
		k := len(w.names) - 1
		members += fmt.Sprintf("member %q {\n address = %q\n gossip = %q\n}\n", w.names[k], w.ports[k], gossip[k])
	}
	var channels []proxy.Governor
	for k, zone := range zones {
		channels = append(channels, proxy.Governor{Name: w.names[k], Address: free(t)})
		text := fmt.Sprintf(`governor %q {
  listen = %q
  state = %q
  farewell = "1s"
}
console {
  listen = %q
}
zones = ["govan", "partick", "dalmarnock"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = 6
}
rules {
}
channel {
  period = "200ms"
}
machine_list "consul" {
  address = %q
  service = "recipe"
}
group {
  listen = %q
  gossip = %q
  zone = %q
  parts = 2
  span = %q
  settle = "1s"
  pace = "100ms"
  %s
}
`, w.names[k], channels[k].Address, w.names[k]+".state", w.pages[k], w.list.Addr(), w.ports[k], gossip[k], zone, lease, members)
		path := filepath.Join(dir, w.names[k]+".hcl")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		g, err := config.LoadServer(path)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- Serve(ctx, g, Outside{Links: w}, zerolog.Nop()) }()
		t.Cleanup(func() {
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	w.loop.Do(func() {
		for k := range 6 {
			f := proxy.New(w.loop, engine, proxy.Facts{Name: fmt.Sprint("till-", k), Zone: zones[k%3], ZoneIndex: k % 3, Rate: 2, Redial: 50 * model.Millisecond,
				ConnectFor: model.Second, StreamsOnly: true, Governors: append(channels[k%3:3:3], channels[:k%3]...)}, uint64(k), func(s invariants.Seen) { w.seen = append(w.seen, s) })
			f.Start([]invariants.Line{{Replica: replica(1), Weight: 1}})
			w.forwarders = append(w.forwarders, f)
		}
	})
	t.Cleanup(func() {
		w.loop.Do(func() {
			for _, f := range w.forwarders {
				f.Kill()
			}
		})
	})
	return w
}

// await waits until each forwarder is bound and joined as told.
func (w *town) await(what string, to func(k int, governor string) bool) {
	w.t.Helper()
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		all, where := true, []string{}
		w.loop.Do(func() {
			for k, f := range w.forwarders {
				where = append(where, f.Joined())
				all = all && f.Bound() && to(k, f.Joined())
			}
		})
		if all {
			return
		}
		if time.Now().After(until) {
			for _, port := range w.ports {
				text, err := cluster.Request(port, time.Second, "STATUS")
				w.t.Log(text, err)
			}
			w.t.Fatalf("never: %s; they are at %v", what, where)
		}
	}
}

// One governor is cut off from the others but not from its forwarders: it believes that it governs them, and they it, to the end of its
// leases; then others do. No epoch has two holders, as judged from what the forwarders were sent.
func TestCutOffFromTheGroup(t *testing.T) {
	w := found(t, "1s")
	home := func(k int, governor string) bool { return governor == w.names[k%3] }
	w.await("each at home", home)
	w.isolate(w.names[1], true)
	w.await("taken over", func(k int, governor string) bool { return governor != "" && governor != w.names[1] })
	text, err := cluster.Request(w.ports[1], 5*time.Second, "STATUS")
	if err != nil || !strings.Contains(text, "majority") {
		t.Errorf("the one that is cut off says %v %.300s", err, text)
	}
	w.isolate(w.names[1], false)
	w.await("home again", home)
	w.loop.Do(func() {
		for _, v := range invariants.Judge(w.seen, invariants.Figures{Zones: []string{"govan", "partick", "dalmarnock"}, Bare: 2 * model.Second, Grace: 2 * model.Second,
			Cold: model.Second, TipFactor: 4, TipSpan: model.Second, QueueMost: 6000}, w.loop.Now()) {
			if len(v.Breaks) > 0 {
				t.Errorf("%s: %v", v.Rule, v.Breaks)
			}
		}
	})
}

// The forwarders of one zone cannot reach their governor, which everybody else reaches: they ask others over and over, so their parts go to
// one that they reach, and aren't sent back while it is so.
func TestForwardersCutOffFromTheirHolder(t *testing.T) {
	w := found(t, "1s")
	home := func(k int, governor string) bool { return governor == w.names[k%3] }
	w.await("each at home", home)
	w.loop.Do(func() {
		for k, f := range w.forwarders {
			if k%3 == 1 {
				f.Cut[w.names[1]] = true
				f.Break()
			}
		}
	})
	w.await("ordered by others", func(k int, governor string) bool {
		return k%3 != 1 && home(k, governor) || k%3 == 1 && governor != "" && governor != w.names[1]
	})
}

// All links between governors are cut: there is no majority anywhere. Each goes on ordering its own forwarders to the end of its leases, a
// drain too; then nobody orders, the forwarders keep what they hold, and each governor says why. With the links back it all goes on.
func TestNoMajority(t *testing.T) {
	w := found(t, "3s")
	home := func(k int, governor string) bool { return governor == w.names[k%3] }
	w.await("each at home", home)
	for _, name := range w.names {
		w.isolate(name, true)
	}
	w.loop.Do(func() { w.list.Set(registry.Entry{ID: replica(1), Zone: "govan", Draining: true}) })
	all := func(what string, is func(f *proxy.Forwarder) bool) {
		t.Helper()
		for until := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			so := true
			w.loop.Do(func() {
				for _, f := range w.forwarders {
					so = so && is(f)
				}
			})
			if so {
				return
			}
			if time.Now().After(until) {
				t.Fatalf("never: %s", what)
			}
		}
	}
	sends := func(f *proxy.Forwarder) bool { // to the replica that drains
		for _, l := range f.Holds() {
			if l.Replica == replica(1) && l.Weight > 0 && !l.Shut {
				return true
			}
		}
		return false
	}
	all("withdrawn", func(f *proxy.Forwarder) bool { return f.Joined() != "" && !sends(f) })
	all("ordered by nobody", func(f *proxy.Forwarder) bool { return f.Joined() == "" })
	all("on what it holds", func(f *proxy.Forwarder) bool { return len(f.Holds()) > 0 && !sends(f) })
	for _, port := range w.ports {
		if text, err := cluster.Request(port, 5*time.Second, "STATUS"); err != nil || !strings.Contains(text, "majority") {
			t.Errorf("%v %.300s", err, text)
		}
	}
	for _, name := range w.names {
		w.isolate(name, false)
	}
	w.await("home again", home)
}

// A forwarder joins in the moment that the channel's socket is open and the group is not: it is told to come back, and nothing waits.
func TestAJoinBeforeTheGroup(t *testing.T) {
	s := newSharing(&config.Server{Zones: []string{"govan"}, Cluster: &config.Cluster{ShardsPerZone: 4}})
	if _, ok := s.IsLeaseHolder(s.Shard(0, "till-1")); ok || s.Holder(0) != "" {
		t.Error("a part is held before the group is open")
	}
}

// Two processes of one name, each with a new folder, are two lives to the group; a later start of either is a later one.
func TestLivesDiffer(t *testing.T) {
	same := 0
	for range 100 {
		a, b := holderLife(1), holderLife(1)
		if a == b {
			same++
		}
		if later := holderLife(2); later <= a || later <= b {
			t.Fatalf("%d after %d and %d", later, a, b)
		}
	}
	if same > 1 { // of a million numbers
		t.Errorf("%d of 100 pairs are one life", same)
	}
}

// quietRoster and quietChannel are a host's neighbours of whom nothing comes.
type quietRoster struct{}

func (quietRoster) Subscribe() {}

type quietChannel struct{}

func (quietChannel) AdmitProxy(model.ProxyID, uint64) {}
func (quietChannel) Publish(*snapshot.Batch)          {}

// A governor that stood by begins with a part. In a planned move it was told what the one before had heard, and its gate opens on that;
// unplanned it waits, as after any start.
func TestTheGateAtATakeover(t *testing.T) {
	for _, planned := range []bool{true, false} {
		terms := model.Config{Seed: 1, Operations: []model.Operation{{LatencyObjective: model.Second, PriorityWeight: 1}}, Zones: 1, SubscriptionRequired: true, FullQuota: 1, StandingTableSize: 6,
			ReportPeriod: 2500 * model.Millisecond, QueueLimit: 1000, ProxyCount: 10, MinReplicaConnections: 100, UtilizationField: -1, WarmUpPeriod: model.Second}
		s := newSharing(&config.Server{Zones: []string{"govan"}, Cluster: &config.Cluster{ShardsPerZone: 1}})
		s.host = controller.New(terms, 1000, controller.Clock(), zerolog.Nop())
		s.begin = func() { go s.host.Run(quietChannel{}, quietRoster{}, nil) }
		if planned {
			s.take(cluster.Handover{LoadReports: []model.LoadReport{{Replica: replica(1), Attempts: 50, MeanLatency: 1000, Window: model.Second}, {Replica: replica(2), Attempts: 50, MeanLatency: 1000, Window: model.Second}}})
		}
		s.LeaseGained(0, 1)
		s.host.EndpointsChanged(model.FullList, []model.Endpoint{{ID: replica(1), Status: model.EndpointReady}, {ID: replica(2), Status: model.EndpointReady}})
		s.host.LoadReported(0, []model.LoadReport{{Replica: replica(1), Attempts: 1, MeanLatency: 1000, Window: model.Second}}) // of one that joined since
		open := func() bool { v := s.host.View(); return v != nil && v.SafeModeEnded }
		for end := time.Now().Add(6 * time.Second); planned && !open(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gate waits for its window of three periods, though each replica was named")
			}
		}
		for v := s.host.View(); !planned && (v == nil || v.EndpointsAt == 0); v = s.host.View() {
			time.Sleep(5 * time.Millisecond)
		}
		if !planned && open() {
			t.Error("the gate opens at once after an unplanned takeover")
		}
		close(s.done)
		s.wait.Wait()
		s.stop(s.host)
	}
}

package pubsub

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

// The proxies of TestJoinStormIsAdmittedAtConfiguredRate, and the joins that the server admits per second and at once.
const (
	stormProxies = 300
	stormRate    = 150
	stormBurst   = 30
)

// TestJoinStormIsAdmittedAtConfiguredRate: Hundreds of proxies dial at once. Those beyond the burst are deferred once
// each, with retry delays that keep the rate, and all join. No proxy is dropped without a retry delay, and the retries
// do not form another storm.
//
// Server and proxies use one clock, which the test advances. It stands still until each proxy has its first answer:
// with the wall clock, proxies that connect more slowly than the rate, as on a busy machine, would correctly count as a
// second storm.
func TestJoinStormIsAdmittedAtConfiguredRate(t *testing.T) {
	var clock manualClock
	harness := startServer(t, func(config *Config) {
		config.Now = clock.now
		config.JoinLimits = admission.Limits{Rate: stormRate, Burst: stormBurst, Jitter: 1, Seed: 3}
	})
	storm := startJoinStorm(t, harness.server.Addr(), &clock)
	storm.waitUntil("all first joins answered", func(c joinCounts) bool { return c.joined+c.deferred == stormProxies })
	if counts := storm.counts(); counts.joined != stormBurst {
		t.Fatalf("%+v, want %d joined immediately", counts, stormBurst)
	}

	const interval = model.Second / stormRate
	// A proxy dials after its reserved time: up to one interval later because of the jitter, and up to one millisecond
	// because of rounding, in total less than two intervals.
	const maxLateIntervals = 2
	for intervals := 1; intervals <= stormProxies-stormBurst+maxLateIntervals; intervals++ {
		clock.advance(interval)
		minJoined := min(stormBurst+intervals-maxLateIntervals, stormProxies)
		maxJoined := stormBurst + intervals
		storm.waitUntil(fmt.Sprintf("%d joined", minJoined), func(c joinCounts) bool { return c.joined >= minJoined })
		if counts := storm.counts(); counts.joined > maxJoined {
			t.Fatalf("%+v after %d us of the clock, want at most %d joined", counts, clock.now(), maxJoined)
		}
	}

	storm.checkEachJoinedOnce()
	// A proxy reads the reply to its join before the controller admits the proxy.
	storm.waitUntil("all admitted", func(joinCounts) bool { return harness.server.Stats().Proxies == stormProxies })
	stats := harness.server.Stats()
	if stats.JoinsDeferred != stormProxies-stormBurst || stats.JoinStorms != 1 || stats.Replaced != 0 {
		t.Errorf("after %d us: %+v", clock.now(), stats)
	}
}

// manualClock stands still between two calls of advance. The zero clock is at 0.
type manualClock struct{ microseconds atomic.Int64 }

func (c *manualClock) now() model.Microseconds { return model.Microseconds(c.microseconds.Load()) }

func (c *manualClock) advance(span model.Microseconds) { c.microseconds.Add(int64(span)) }

// joinStorm is many proxies that dial one server at once.
type joinStorm struct {
	t       *testing.T
	loop    *standin.Loop
	proxies []*proxy.Proxy // used only on the loop
}

// joinCounts are sums over the proxies of a storm.
type joinCounts struct{ joined, deferred int }

// startJoinStorm starts the proxies and kills them when the test ends.
func startJoinStorm(t *testing.T, address string, clock *manualClock) *joinStorm {
	t.Helper()
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	storm := &joinStorm{t: t, loop: standin.NewLoop(clock.now)}
	t.Cleanup(storm.loop.Stop)
	storm.loop.Do(func() {
		for n := range stormProxies {
			standInProxy := proxy.New(storm.loop, engine, proxy.Config{
				Name:            fmt.Sprint("till-", n),
				Zone:            "govan",
				RedialInterval:  model.Second,
				DialTimeout:     5 * model.Second,
				OmitLoadReports: true,
				Instances:       []proxy.Instance{{Name: "g", Address: address}},
			}, 1, func(invariants.Event) {})
			standInProxy.Start(nil)
			storm.proxies = append(storm.proxies, standInProxy)
		}
	})
	t.Cleanup(func() {
		storm.loop.Do(func() {
			for _, standInProxy := range storm.proxies {
				standInProxy.Kill()
			}
		})
	})
	return storm
}

// counts sums up the joins and deferrals of all proxies so far. The call also makes the loop read its clock again.
func (s *joinStorm) counts() (counts joinCounts) {
	s.loop.Do(func() {
		for _, standInProxy := range s.proxies {
			counts.joined += standInProxy.Joins
			counts.deferred += standInProxy.Deferred
		}
	})
	return counts
}

// checkEachJoinedOnce checks that each proxy has joined once and was deferred once at most.
func (s *joinStorm) checkEachJoinedOnce() {
	s.t.Helper()
	s.loop.Do(func() {
		for _, standInProxy := range s.proxies {
			if standInProxy.Joins != 1 || standInProxy.Deferred > 1 {
				s.t.Errorf("%s joined %d times and was deferred %d times, want 1 and at most 1",
					standInProxy.Name, standInProxy.Joins, standInProxy.Deferred)
			}
		}
	})
}

// waitUntil waits until the counts meet a condition.
func (s *joinStorm) waitUntil(condition string, isMet func(joinCounts) bool) {
	s.t.Helper()
	const pollInterval = time.Millisecond
	deadline := time.Now().Add(waitTimeout)
	for counts := s.counts(); !isMet(counts); counts = s.counts() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %s: %s; %+v", waitTimeout, condition, counts)
		}
		time.Sleep(pollInterval)
	}
}

package pubsub

import (
	"fmt"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

// TestJoinStormSettles: Hundreds of proxies dial at once. They are put off once or twice each, with times that keep the
// rate, and all join; nobody is dropped without a time to come back, and nobody comes back as a storm.
func TestJoinStormSettles(t *testing.T) {
	const proxies, rate, burst = 300, 150, 30
	harness := startServer(t, func(config *Config) {
		config.JoinLimits = admission.Limits{Rate: rate, Burst: burst, Jitter: 1, Seed: 3}
	})
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	loop := standin.NewLoop(harness.now)
	defer loop.Stop()
	var dialing []*proxy.Proxy
	loop.Do(func() {
		for n := range proxies {
			one := proxy.New(loop, engine, proxy.Config{
				Name:           fmt.Sprint("till-", n),
				Zone:           "govan",
				RedialInterval: model.Second,
				DialTimeout:    5 * model.Second,
				StreamsOnly:    true,
				Instances:      []proxy.Instance{{Name: "g", Address: harness.server.Addr()}},
			}, 1, func(invariants.Event) {})
			one.Start(nil)
			dialing = append(dialing, one)
		}
	})
	defer loop.Do(func() {
		for _, one := range dialing {
			one.Kill()
		}
	})
	deadline := time.Now().Add(20 * time.Second)
	for harness.server.Stats().Proxies < proxies {
		if time.Now().After(deadline) {
			t.Fatalf("%+v", harness.server.Stats())
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := harness.now()
	stats := harness.server.Stats()
	loop.Do(func() {
		for _, one := range dialing {
			if one.Joins != 1 || one.Deferred > 3 {
				t.Errorf("%s joined %d times and was put off %d times", one.Name, one.Joins, one.Deferred)
			}
		}
	})
	if stats.JoinsDeferred < proxies/2 || stats.JoinStorms != 1 || took < (proxies-burst)*model.Second/rate/2 {
		t.Errorf("all in after %d us: %+v", took, stats)
	}
}

package platform

import (
	"fmt"
	"testing"
	"time"

	"peppervale/internal/model"
)

// TestLoadReportsUseConfiguredFieldNames: Readings are looked up by the configured field names. With other names no
// reading is found, and the controller does not react to an overload that delays a third of the requests.
func TestLoadReportsUseConfiguredFieldNames(t *testing.T) {
	harness := startServer(t, nil)
	harness.dial(t).send(
		"collector site govan",
		"heard site govan target s-1 count 4 fail 1 mean 131.3 over 989.9 util cpu_share:0.105",
		"heard site govan target s-2 count 2 fail 0 mean 1 over 989.9",
	)
	harness.waitUntil("two load reports", func() bool { return harness.reportCount() == 2 })
	want := model.LoadReport{
		Zone:        0,
		Replica:     harness.replica(1),
		Attempts:    4,
		Errors:      1,
		MeanLatency: 131_300,
		Window:      989_900,
		Readings:    []float64{-1, 0.105},
	}
	if got := harness.reports[0]; fmt.Sprint(got) != fmt.Sprint(want) || harness.reports[1].Readings != nil {
		t.Fatalf("%+v, want %+v", harness.reports, want)
	}
}

// TestLongestSilentCollectorIsClosedAtLimit: If collectors vanish without closing their connections, a new collector is
// accepted and its reports are received, and the connection that has been silent for longest is closed.
func TestLongestSilentCollectorIsClosedAtLimit(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) { config.Now = clock.read })
	join := func() *testClient {
		clock.advance(time.Second)
		peer := harness.dial(t).send("collector site govan", "ping")
		peer.expectMessage("pong")
		return peer
	}
	first, second, third := join(), join(), join()
	clock.advance(time.Second)
	first.send("heard site govan target s-1 count 1 fail 0 mean 1 over 1") // the oldest connection is the one in use
	first.ping()
	fourth := join()
	second.expectMessage(closedConnection)
	fourth.send("heard site govan target s-2 count 1 fail 0 mean 1 over 1")
	first.send("heard site govan target s-3 count 1 fail 0 mean 1 over 1")
	harness.waitUntil("load reports of both", func() bool { return harness.reportCount() == 3 })
	_ = third
}

package pubsub

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
)

// TestSilentConnectionsAreClosedAfterGreetingTimeout: A thousand connections that send nothing are closed; a proxy that
// joins in the meantime is served.
func TestSilentConnectionsAreClosedAfterGreetingTimeout(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Limits.GreetingTimeout = 300 * time.Millisecond
		config.Limits.Connections = 1000
	})
	var silentClients []*testClient
	for range 990 {
		silentClients = append(silentClients, harness.dial(t))
	}
	proxy, _ := harness.join(t, "till")
	for _, client := range silentClients {
		client.expectClosed()
	}
	harness.publish(1, withdrawReplica(1))
	proxy.expectAckSequence(1)
}

// TestConnectionWithUnfinishedStringIsClosedAfterGreetingTimeout: A connection that sends the beginning of a string and
// never its end is closed after the greeting timeout; a proxy that joins in the meantime is served.
func TestConnectionWithUnfinishedStringIsClosedAfterGreetingTimeout(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.GreetingTimeout = 300 * time.Millisecond })
	client := harness.dial(t)
	client.Send([]byte("*2\r\n$1000000\r\nbegun"))
	proxy, _ := harness.join(t, "till")
	client.expectClosed()
	harness.publish(1, withdrawReplica(1))
	proxy.expectAckSequence(1)
}

// TestConnectionBeyondLimitGetsError: A connection beyond the limit gets an error that states the reason.
func TestConnectionBeyondLimitGetsError(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 2 })
	harness.join(t, "a")
	harness.join(t, "b")
	harness.dial(t).expectError("too many connections")
}

// TestExcessCommandsGetRetryDelay: A peer that exceeds the command rate gets a retry delay, and other peers are not
// affected. After the limit is raised on the running server, the same flood passes.
func TestExcessCommandsGetRetryDelay(t *testing.T) {
	const burst, flood = 20, 100
	harness := startServer(t, func(config *Config) {
		config.Limits.CommandRate = admission.Rate{PerSecond: 10, Burst: burst}
	})
	otherPeer := harness.dial(t)
	otherPeer.Send(helloCommand())
	if _, ok := otherPeer.Next(); !ok {
		t.Fatal("the other connection is closed")
	}
	pings := []byte(strings.Repeat(string(pingCommand()), flood))
	floodingClient := harness.dial(t)
	floodingClient.Send(pings)
	floodingClient.expectDeferralAfter(burst)
	if stats := harness.server.Stats(); stats.RateLimited != 1 || stats.ProtocolErrors != 0 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
	otherPeer.Send(pingCommand())
	otherPeer.expectPong()
	raised := Limits{CommandRate: admission.Rate{PerSecond: 10, Burst: 200}}
	harness.server.SetLimits(raised, admission.Limits{})
	floodingClient = harness.dial(t)
	floodingClient.Send(pings)
	for range flood {
		floodingClient.expectPong()
	}
}

// expectDeferralAfter checks that the given number of answers is followed by an error with a retry delay.
func (c *testClient) expectDeferralAfter(answers int) {
	c.t.Helper()
	for n := 0; ; n++ {
		value, ok := c.Next()
		if !ok {
			c.t.Fatalf("the connection ended without an error after %d answers", n)
		}
		if value.Kind != resp.SimpleError {
			continue
		}
		if !strings.HasPrefix(value.Text, "LATER ") || n != answers {
			c.t.Fatalf("after %d answers: error %q, want LATER after the expected answers", n, value.Text)
		}
		return
	}
}

// Guards against a proxy that is put off for good by its own older stream (dead-stream of the second review): its
// machine vanished, so that the older stream is still open, and no more proxies than are joined are taken.
func TestNewerConnectionReplacesOlderOneAtMostProxies(t *testing.T) {
	const mostProxies = 2
	harness := startServer(t, func(config *Config) {
		config.JoinLimits = admission.Limits{MaxProxies: mostProxies}
	})
	older, _ := harness.join(t, "vanished")
	harness.join(t, "sound")
	harness.join(t, "vanished")
	older.expectError("replaced by a newer connection of the same name")
	another := harness.dial(t)
	another.Send(pubsubmsg.AppendJoin(helloCommand(), pubsubmsg.Join{Name: "another", Zone: "kelvin", ExpectedRate: 2}))
	another.Next()
	another.expectError("LATER")
	if stats := harness.server.Stats(); stats.Replaced != 1 || stats.Proxies != mostProxies {
		t.Errorf("%d streams were replaced and %d proxies are joined, want 1 and %d",
			stats.Replaced, stats.Proxies, mostProxies)
	}
}

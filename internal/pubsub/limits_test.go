package pubsub

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/resp"
)

// TestSilentConnectionsAreClosed: A thousand connections that send nothing are closed; a proxy that joins meanwhile is
// served.
func TestSilentConnectionsAreClosed(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Limits.GreetingTimeout = 300 * time.Millisecond
		config.Limits.Connections = 1000
	})
	var silent []*testClient
	for range 990 {
		silent = append(silent, harness.dial(t))
	}
	proxy, _ := harness.join(t, "till")
	for _, client := range silent {
		client.expectClosed()
	}
	harness.publish(1, withdraw(1))
	proxy.expectAckSequence(1)
}

// TestUnfinishedStringIsClosed: A string that is begun and never ended costs no more than what came of it, and its
// connection is closed when its time to join has passed; a proxy that joins meanwhile is served.
func TestUnfinishedStringIsClosed(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.GreetingTimeout = 300 * time.Millisecond })
	client := harness.dial(t)
	client.Send([]byte("*2\r\n$1000000\r\nbegun"))
	proxy, _ := harness.join(t, "till")
	client.expectClosed()
	harness.publish(1, withdraw(1))
	proxy.expectAckSequence(1)
}

// TestTooManyConnections: A connection beyond the limit gets an error that says so.
func TestTooManyConnections(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 2 })
	harness.join(t, "a")
	harness.join(t, "b")
	harness.dial(t).expectError("too many connections")
}

// TestTooManyCommands: A peer that sends more commands than it may gets a Retry-After, and no other peer notices;
// with the limit raised in service the same flood passes.
func TestTooManyCommands(t *testing.T) {
	const burst, flood = 20, 100
	harness := startServer(t, func(config *Config) {
		config.Limits.CommandRate = admission.Rate{PerSecond: 10, Burst: burst}
	})
	calm := harness.dial(t)
	calm.Send(helloCommand())
	if _, ok := calm.Next(); !ok {
		t.Fatal("the calm connection is closed")
	}
	pings := []byte(strings.Repeat(string(pingCommand()), flood))
	flooding := harness.dial(t)
	flooding.Send(pings)
	flooding.expectDeferralAfter(burst)
	if stats := harness.server.Stats(); stats.RateLimited != 1 || stats.ProtocolErrors != 0 {
		t.Fatalf("%+v", stats)
	}
	calm.Send(pingCommand())
	calm.expectPong()
	raised := Limits{CommandRate: admission.Rate{PerSecond: 10, Burst: 200}}
	harness.server.SetLimits(raised, admission.Limits{})
	flooding = harness.dial(t)
	flooding.Send(pings)
	for range flood {
		flooding.expectPong()
	}
}

// expectDeferralAfter checks that so many answers are followed by an error with a Retry-After.
func (c *testClient) expectDeferralAfter(answers int) {
	c.t.Helper()
	for n := 0; ; n++ {
		value, ok := c.Next()
		if !ok {
			c.t.Fatalf("closed without an error after %d answers", n)
		}
		if value.Kind != resp.SimpleError {
			continue
		}
		if !strings.HasPrefix(value.Text, "LATER ") || n != answers {
			c.t.Fatalf("after %d answers: %q", n, value.Text)
		}
		return
	}
}

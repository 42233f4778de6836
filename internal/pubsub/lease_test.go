package pubsub

import (
	"sync"
	"testing"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// testLeases has two shards, one for each zone of testHarness.
type testLeases struct {
	mu      sync.Mutex
	held    map[int]uint64 // epoch by shard
	holders map[int]string // other controllers' addresses by shard
}

// Shard returns the zone as the shard.
func (l *testLeases) Shard(zone int, _ string) int { return zone }

// IsLeaseHolder reports whether the shard is in held.
func (l *testLeases) IsLeaseHolder(shard int) (epoch uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, ok = l.held[shard]
	return epoch, ok
}

// Holder returns the other controller's address.
func (l *testLeases) Holder(shard int) (address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[shard]
}

func (l *testLeases) lose(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, shard)
}

// tryJoin sends HELLO and JOIN, and reads the reply to HELLO.
func (h *testHarness) tryJoin(t *testing.T, name, zone string) *testClient {
	t.Helper()
	client := h.dial(t)
	client.Send(append(helloCommand(), joinCommand(name, zone)...))
	if value, _ := client.Next(); value.Kind != resp.Map {
		t.Fatalf("the reply to HELLO is %v, want a map", value)
	}
	return client
}

// TestJoinIsRedirectedToLeaseHolder: A proxy whose shard another controller holds is sent the address of that
// controller, or a retry delay if no controller holds the shard. Its connection is closed.
func TestJoinIsRedirectedToLeaseHolder(t *testing.T) {
	leases := &testLeases{held: map[int]uint64{}, holders: map[int]string{0: "127.0.0.1:7001"}}
	harness := startServer(t, func(config *Config) { config.Leases = leases })
	for zone, want := range map[string]string{
		"govan":  "MOVED 0 127.0.0.1:7001: join there; keep what you hold",
		"kelvin": "MOVED 1 - : nobody has it yet, ask again in 100 milliseconds; keep what you hold",
	} {
		client := harness.tryJoin(t, "till", zone)
		if value, _ := client.Next(); value.Kind != resp.SimpleError || value.Text != want {
			t.Errorf("%s: received %v, want %q", zone, value, want)
		}
		client.expectClosed()
	}
	if stats := harness.server.Stats(); stats.Redirected != 2 || stats.ProtocolErrors != 0 || stats.Proxies != 0 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// TestLostLeaseEndsStreamsOfItsShardOnly: Messages contain the epoch of the proxy's shard. Once a shard's lease is
// lost, the shard's streams end, and streams of other shards stay.
func TestLostLeaseEndsStreamsOfItsShardOnly(t *testing.T) {
	leases := &testLeases{held: map[int]uint64{0: 5, 1: 8}, holders: map[int]string{1: "127.0.0.1:7001"}}
	harness := startServer(t, func(config *Config) { config.Leases = leases })
	otherShardClient := harness.tryJoin(t, "stays", "govan")
	otherShardClient.expectMap()
	if message := otherShardClient.message(); message.Epoch != 5 {
		t.Fatalf("unexpected epoch in %+v", message)
	}
	lostShardClient, first := harness.join(t, "moves")
	if first.Epoch != 8 {
		t.Fatalf("unexpected epoch in %+v", first)
	}
	if rates := harness.server.ExpectedRates(); len(rates) != 2 || rates[1] != 2 {
		t.Fatalf("expected rates %v", rates)
	}
	leases.lose(1)
	harness.server.LeaseLost(1)
	lostShardClient.expectError("MOVED 1 127.0.0.1:7001")
	lostShardClient.expectClosed()
	harness.waitForEvent("disconnected 1")
	harness.publish(3, withdrawReplica(1))
	otherShardClient.expectAckSequence(3)
	otherShardClient.Send(resp.AppendCommand(nil, "FENCED", "6", "3", "1"))
	otherShardClient.Send(pingCommand())
	otherShardClient.expectPong()
	if stats := harness.server.Stats(); stats.Fenced != 1 || stats.Redirected != 1 || stats.Proxies != 1 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// expectMap checks that the next value is a map.
func (c *testClient) expectMap() {
	c.t.Helper()
	if value, _ := c.Next(); value.Kind != resp.Map {
		c.t.Fatalf("received %v, want a map", value)
	}
}

// TestMisroutedProxiesAreCountedUntilExpiry: A proxy counts once it has tried to join for long enough, until it has not
// tried for misroutedExpiry. A pause of that length, or a join for another shard, restarts the span.
func TestMisroutedProxiesAreCountedUntilExpiry(t *testing.T) {
	misrouted := misroutedProxies{}
	misrouted.record("retries", 1, 0)
	misrouted.record("joins once", 1, 0)
	misrouted.record("changes shard", 1, 0)
	misrouted.record("retries", 1, 2*model.Second)
	misrouted.record("changes shard", 2, 2*model.Second)
	for _, tt := range []struct {
		name         string
		now, minSpan model.Microseconds
		want         int
	}{
		{"long enough", 2 * model.Second, 2 * model.Second, 1},
		{"not long enough", 2 * model.Second, 2*model.Second + 1, 0},
		{"just before expiry", 2*model.Second + misroutedExpiry - 1, model.Second, 1},
		{"expired", 2*model.Second + misroutedExpiry, model.Second, 0},
	} {
		if got := misrouted.count(tt.now, tt.minSpan); got[1] != tt.want || got[2] != 0 {
			t.Errorf("%s: counts by shard %v, want %d of shard 1 and none of shard 2", tt.name, got, tt.want)
		}
	}
	if len(misrouted) != 0 {
		t.Errorf("%d proxies are still tracked after expiry", len(misrouted))
	}
}

package pubsub

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/redis/go-redis/v9"
)

// TestRedisObserverReceivesSnapshotThenEachChange: An observer that uses a third-party Redis client receives the
// complete state once, then each version exactly once and in order.
func TestRedisObserverReceivesSnapshotThenEachChange(t *testing.T) {
	harness := startServer(t, nil)
	harness.join(t, "till")
	harness.publish(-1, setWeight(1, 1), bindProxy(0))
	client := redis.NewClient(&redis.Options{Addr: harness.server.Addr(), Protocol: 3, PoolSize: 2})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	subscription := client.Subscribe(ctx, topic)
	defer func() { _ = subscription.Close() }()

	var state Snapshot
	receive(ctx, t, subscription, &state)
	isExpected := state.Kind == "snapshot" && state.Version == 1 && state.Incarnation == 3
	if !isExpected || len(state.Tables["1"]) != 1 || state.Proxies["till"] != "1" {
		t.Fatalf("unexpected snapshot: %+v", state)
	}
	const changes = 200
	for n := range changes {
		harness.publish(-1, setWeight(byte(n+2), 0.5))
	}
	for n := range changes {
		var change Change
		receive(ctx, t, subscription, &change)
		if change.Kind != "change" || change.Version != uint64(n+2) || len(change.Updates) != 1 {
			t.Fatalf("change %d: %+v", n, change)
		}
	}
}

// receive decodes the next message of a subscription.
func receive(ctx context.Context, t *testing.T, subscription *redis.PubSub, target any) {
	t.Helper()
	message, err := subscription.ReceiveMessage(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(message.Payload), target); err != nil {
		t.Fatalf("payload %s cannot be decoded: %v", message.Payload, err)
	}
}

package pubsub

import (
	"fmt"
	"net"
	"testing"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// limitReceiveBuffer limits the kernel's receive buffer of a client, in bytes.
func (c *testClient) limitReceiveBuffer(size int) { _ = c.Conn.(*net.TCPConn).SetReadBuffer(size) }

// receiveUntil reads messages up to the one with the given acknowledgement sequence.
func (c *testClient) receiveUntil(ackSequence int) {
	c.t.Helper()
	for c.message().AckSequence != ackSequence {
	}
}

// TestSlowReaderReceivesMissedChangesAsSnapshot: A slow reader does not delay other proxies, and receives the changes
// that it missed as one snapshot.
func TestSlowReaderReceivesMissedChangesAsSnapshot(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Limits.UnsentBytes = 4096
		config.EntriesPerSecond = 1e9
	})
	slowClient, _ := harness.join(t, "slow")
	fastClient, _ := harness.join(t, "quick")
	slowClient.limitReceiveBuffer(64 << 10)
	harness.publish(-1, bindProxy(0), bindProxy(1), setWeight(1, 1))
	last := 0
	for n := 1; harness.server.Stats().SnapshotFolds == 0; n++ {
		harness.publish(n%65536, setWeights(float64(n))...)
		fastClient.receiveUntil(n) // receives every update
		last = n
		if n > 5000 {
			t.Fatal("no changes were folded after 5000 updates that the slow proxy did not read")
		}
	}
	for !isSnapshotOf(slowClient.message(), last) {
	}
}

// isSnapshotOf reports whether a message is a snapshot of the n-th published weights.
func isSnapshotOf(message *pubsubmsg.Message, n int) bool {
	isComplete := message.Full && len(message.Entries) == 200
	return isComplete && message.Entries[0].Weight == float64(n) && message.AckSequence == n
}

// TestSlowReadersShareUnsentBudget: Many peers that do not read share the limit on all unsent bytes: the sum of unsent
// bytes stays within it, and a proxy that reads receives every update.
func TestSlowReadersShareUnsentBudget(t *testing.T) {
	const slowReaders, totalLimit = 20, 64 << 10
	harness := startServer(t, func(config *Config) {
		config.Limits.UnsentBytes = 4096 // also limits the kernel's send buffer
		config.EntriesPerSecond = 1e9
	})
	fastClient, _ := harness.join(t, "reads")
	updates := []snapshot.Update{bindProxy(0)}
	for n := range slowReaders {
		client, _ := harness.join(t, fmt.Sprint("slow", n))
		client.limitReceiveBuffer(4096)
		updates = append(updates, bindProxy(model.ProxyID(n+1)))
	}
	harness.server.SetLimits(Limits{UnsentBytes: 1 << 20, TotalUnsentBytes: totalLimit}, admission.Limits{})
	harness.publish(-1, updates...)
	var maxUnsent int64
	for n := 1; harness.server.Stats().SnapshotFolds < slowReaders; n++ {
		harness.publish(n%65536, setWeights(float64(n))...)
		fastClient.receiveUntil(n % 65536) // receives every update
		maxUnsent = max(maxUnsent, harness.server.Stats().UnsentBytes)
		if n > 20_000 {
			t.Fatalf("%d folds after 20,000 updates, want one for each slow reader", harness.server.Stats().SnapshotFolds)
		}
	}
	if maxUnsent < totalLimit/2 || maxUnsent > totalLimit+(slowReaders+1)*16<<10 {
		t.Fatalf("at most %d bytes were unsent, with a limit of %d", maxUnsent, totalLimit)
	}
}

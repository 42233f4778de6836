package pubsub

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/resp"
)

// halfWrittenCommand is the beginning of a command of many short fields.
func halfWrittenCommand(fields int) []byte {
	return []byte("*99999\r\n" + strings.Repeat("$1\r\na\r\n", fields))
}

// Guards against hundreds of half-written commands that exhaust the memory: peers above their even share of the limit
// on all peers get a retry delay, and a proxy that joins meanwhile is served.
func TestUnfinishedCommandsStayWithinMemoryForAllPeers(t *testing.T) {
	const peers, fieldsEach, total = 60, 1000, 1 << 20 // each holds some 128 KiB
	harness := startServer(t, func(config *Config) {
		config.Limits.TotalHeldBytes = total
		config.Limits.GreetingTimeout = time.Minute
	})
	for range peers {
		client := harness.dial(t)
		client.Send(append(helloCommand(), halfWrittenCommand(fieldsEach)...))
		if value, ok := client.Next(); !ok || value.Kind != resp.Map {
			t.Fatalf("received %v, %t, want the answer to HELLO", value, ok)
		}
	}
	proxy, _ := harness.join(t, "till")
	harness.publish(1, withdrawReplica(1))
	proxy.expectAckSequence(1)
	waitUntil(t, func() error {
		stats := harness.server.Stats()
		if stats.OverMemory == 0 || stats.HeldBytes > 2*total {
			return fmt.Errorf("%d peers were ended, %d bytes are held, want some and at most %d", stats.OverMemory,
				stats.HeldBytes, 2*total)
		}
		return nil
	})
}

// Guards against one command that holds many times its bytes: it ends its connection, and what it held is released.
func TestUnfinishedCommandStaysWithinMemoryForOnePeer(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.HeldBytes = 64 << 10 })
	client := harness.dial(t)
	client.Send(halfWrittenCommand(1000))
	client.expectError("a command that holds over 65536 bytes")
	client.expectClosed()
	waitUntil(t, func() error {
		if stats := harness.server.Stats(); stats.HeldBytes != 0 || stats.OverMemory != 1 {
			return fmt.Errorf("%d bytes are held, %d peers were ended, want 0 and 1", stats.HeldBytes, stats.OverMemory)
		}
		return nil
	})
	harness.join(t, "till")
}

// Guards against a joined peer that stops within a command and keeps its memory for good. A peer whose commands are all
// completed in time stays, wherever its reads end.
func TestUnfinishedCommandOfJoinedPeerTimesOut(t *testing.T) {
	const timeout = 300 * time.Millisecond
	harness := startServer(t, func(config *Config) {
		config.Limits.CommandTimeout = timeout
		config.Limits.CommandRate = admission.Rate{PerSecond: 1e6, Burst: 1e6}
	})
	stalled, _ := harness.join(t, "stalled")
	steady, _ := harness.join(t, "steady")
	stalled.Send(halfWrittenCommand(10))
	ping := pingCommand()
	steady.Send(ping[:5])
	for startedAt := time.Now(); time.Since(startedAt) < 3*timeout; {
		steady.Send(append(append([]byte{}, ping[5:]...), ping[:5]...))
		steady.expectPong()
	}
	stalled.expectClosed()
	steady.Send(ping[5:])
	steady.expectPong()
}

// waitUntil waits until a check passes.
func waitUntil(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for err := check(); err != nil; err = check() {
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

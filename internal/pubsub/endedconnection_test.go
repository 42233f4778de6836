package pubsub

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
)

func (h *testHarness) recordedEvents() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Guards against a peer whose commands are handled after its connection has ended: a JOIN after QUIT, and what
// follows a JOIN that was put off, in the same bytes.
func TestCommandsAfterEndOfConnectionAreIgnored(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.JoinLimits = admission.Limits{MaxProxies: 1} })
	quitter := harness.dial(t)
	quitter.Send(slices.Concat(helloCommand(), resp.AppendCommand(nil, "QUIT"), joinCommand("ghost", "govan")))
	for value, ok := quitter.Next(); ok; value, ok = quitter.Next() {
		if value.Kind != resp.Map && value.Text != "OK" {
			t.Fatalf("received %v after QUIT", value)
		}
	}
	harness.join(t, "till")
	late := harness.dial(t)
	late.Send(slices.Concat(helloCommand(), joinCommand("late", "govan"), joinCommand("late", "govan"),
		resp.AppendCommand(nil, "SUBSCRIBE", topic)))
	for value, ok := late.Next(); ok; value, ok = late.Next() {
		if value.Kind == resp.Push {
			t.Fatalf("received %v after the JOIN was put off", value)
		}
	}
	if events := harness.recordedEvents(); len(events) != 1 || events[0] != "connected till 1" {
		t.Fatalf("events %q, want one connection", events)
	}
	if stats := harness.server.Stats(); stats.Proxies != 1 || stats.Observers != 0 || stats.JoinsRejected != 1 {
		t.Fatalf("%d proxies, %d observers, %d joins were put off, want 1, 0 and 1", stats.Proxies, stats.Observers,
			stats.JoinsRejected)
	}
}

// Guards against a stream that stays for good, as its connection was closed while its JOIN was handled.
func TestJoinAndSubscriptionOfClosedConnectionLeaveNothing(t *testing.T) {
	harness := startServer(t, nil)
	harness.dial(t).Send(helloCommand())
	server := harness.server
	var conn *connection
	waitUntil(t, func() error {
		server.mu.Lock()
		defer server.mu.Unlock()
		for session := range server.connections.Sessions() {
			conn = session
			return nil
		}
		return errors.New("no connection is registered")
	})
	server.handleClosed(conn)
	joined, err := server.registerStream(conn, pubsubmsg.Join{Name: "ghost", Zone: "govan"}, 0)
	if joined || !errors.Is(err, errEnded) {
		t.Errorf("the JOIN of a closed connection: %t, %v, want %v", joined, err, errEnded)
	}
	conn.receivedHello = true
	if err := conn.subscribe(nil); !errors.Is(err, errEnded) {
		t.Errorf("the subscription of a closed connection: %v, want %v", err, errEnded)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.streams) != 0 || server.observerCount != 0 {
		t.Errorf("%d streams and %d observers are left, want none", len(server.streams), server.observerCount)
	}
}

// Guards against a stream that is taken for the older one of its proxy, and so gets nothing for good: whatever delays a
// report, the last stream that is reported for a name is the one in use.
func TestStreamsAreReportedInOrderOfRegistration(t *testing.T) {
	const connections = 6
	var reportedMu sync.Mutex
	var reported []uint64
	secondIsReported := make(chan struct{})
	harness := startServer(t, nil)
	harness.beforeConnected = func(stream uint64) {
		reportedMu.Lock()
		isFirst := len(reported) == 0
		reported = append(reported, 0)
		if len(reported) == 2 {
			close(secondIsReported)
		}
		reportedMu.Unlock()
		if isFirst {
			select {
			case <-secondIsReported:
			case <-time.After(200 * time.Millisecond): // enough for the others to overtake it, if they can
			}
		}
		reportedMu.Lock()
		reported = append(reported, stream)
		reportedMu.Unlock()
	}
	for range connections {
		client := harness.dial(t)
		client.Send(pubsubmsg.AppendJoin(helloCommand(), pubsubmsg.Join{Name: "till", Zone: "kelvin"}))
	}
	waitUntil(t, func() error {
		reportedMu.Lock()
		defer reportedMu.Unlock()
		if len(reported) != 2*connections {
			return fmt.Errorf("%d of %d streams are reported", len(reported)/2, connections)
		}
		return nil
	})
	streams := slices.DeleteFunc(reported, func(stream uint64) bool { return stream == 0 })
	if !slices.IsSorted(streams) {
		t.Fatalf("streams are reported in the order %v, want that of their registration", streams)
	}
}

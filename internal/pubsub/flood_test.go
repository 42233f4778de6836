package pubsub

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
)

// Guards against a reply that is held for a peer that asked for more than may be unsent.
func TestReplyBeyondUnsentLimitEndsConnection(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.UnsentBytes = 4096 })
	client := harness.dial(t)
	client.Send(resp.AppendCommand(nil, "PING", strings.Repeat("x", 5000)))
	client.expectError("LATER ")
	client.expectClosed()
	if stats := harness.server.Stats(); stats.UnreadReplies != 1 || stats.ProtocolErrors != 0 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
	harness.join(t, "till")
}

// Guards against peers that ask and never read: their unsent replies stay within the limits, and a proxy that joins
// meanwhile is served.
func TestPeersThatReadNoRepliesAreEnded(t *testing.T) {
	const peers, unsent, reply = 20, 8 << 10, 1 << 10
	harness := startServer(t, func(config *Config) {
		config.Limits.UnsentBytes = unsent
		config.Limits.CommandRate = admission.Rate{PerSecond: 1e6, Burst: 1e6}
	})
	ping := resp.AppendCommand(nil, "PING", strings.Repeat("x", reply))
	var waitForPeers sync.WaitGroup
	for range peers {
		client := harness.dial(t)
		client.limitReceiveBuffer(4096)
		waitForPeers.Go(func() { writeUntilEnded(client.Conn, ping) })
	}
	ended := make(chan struct{})
	go func() {
		waitForPeers.Wait()
		close(ended)
	}()
	for isRunning := true; isRunning; {
		select {
		case <-ended:
			isRunning = false
		default:
			if held := harness.server.Stats().UnsentBytes; held > peers*(unsent+reply+100) {
				t.Fatalf("%d bytes are unsent, want at most %d for each of %d peers", held, unsent, peers)
			}
		}
	}
	harness.join(t, "till")
	if stats := harness.server.Stats(); stats.UnreadReplies != peers {
		t.Fatalf("%d peers were ended because they did not read, want %d", stats.UnreadReplies, peers)
	}
}

// writeUntilEnded writes until the other end closes the connection or takes nothing more for long.
func writeUntilEnded(conn net.Conn, data []byte) {
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
		if _, err := conn.Write(data); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// Guards against a sound peer that is ended because of pushes that it has not read yet: only replies count towards the
// limit on replies, and its PING is answered once it reads.
func TestPingOfSlowReaderIsAnswered(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Limits.UnsentBytes = 4096
		config.EntriesPerSecond = 1e9
	})
	client, _ := harness.join(t, "slow")
	client.limitReceiveBuffer(4096)
	harness.publish(-1, bindProxy(0), setWeight(1, 1))
	for n := 1; harness.server.Stats().SnapshotFolds == 0; n++ {
		harness.publish(-1, setWeights(float64(n))...)
		if n > 5000 {
			t.Fatal("no changes were folded after 5000 updates that the proxy did not read")
		}
	}
	client.Send(pingCommand())
	for value, ok := client.Next(); value.Text != "PONG"; value, ok = client.Next() {
		if !ok || value.Kind == resp.SimpleError {
			t.Fatalf("received %v, %t, want pushes and the answer to PING", value, ok)
		}
	}
}

// Guards against a flood of unknown commands: they count towards the limit on a peer's commands.
func TestUnknownCommandsCountTowardsCommandRate(t *testing.T) {
	const burst = 20
	harness := startServer(t, func(config *Config) {
		config.Limits.CommandRate = admission.Rate{PerSecond: 1, Burst: burst}
	})
	client := harness.dial(t)
	client.Send(bytes.Repeat(resp.AppendCommand(nil, "NOSUCH"), 5*burst))
	for range burst {
		client.expectError("unknown command")
	}
	client.expectError("LATER ")
	client.expectClosed()
}

// Guards against names that come once and never again and use up all numbers: the name that left first is forgotten,
// and a proxy that is joined keeps its number.
func TestNamesOfDepartedProxiesMakeRoomForNewOnes(t *testing.T) {
	const limit = 3
	harness := startServer(t, func(config *Config) { config.Limits.ProxyNames = limit })
	stays, _ := harness.join(t, "stays") // number 0
	for n := range 5 * limit {
		client, _ := harness.join(t, fmt.Sprint("comes-and-goes-", n))
		_ = client.Conn.Close()
		waitUntil(t, func() error {
			if joined := harness.server.Stats().Proxies; joined != 1 {
				return fmt.Errorf("%d proxies are joined, want 1", joined)
			}
			return nil
		})
	}
	harness.publish(-1, bindProxy(0), setWeight(1, 1))
	if message := stays.message(); !message.Bound {
		t.Fatalf("the proxy that stays got %+v, want a bind to its number", message)
	}
	for n := range limit - 1 {
		harness.join(t, fmt.Sprint("new-", n))
	}
	client := harness.dial(t)
	client.Send(pubsubmsg.AppendJoin(helloCommand(), pubsubmsg.Join{Name: "one too many", Zone: "kelvin"}))
	if value, _ := client.Next(); value.Kind != resp.Map {
		t.Fatalf("the reply to HELLO is %v, want a map", value)
	}
	client.expectError("proxies of 3 names are joined")
	harness.join(t, "stays") // replaces its older stream
}

// Guards against the cost of a peer that subscribes in a loop: it gets one complete state a second.
func TestRepeatedSubscriptionsGetOneSnapshot(t *testing.T) {
	const subscriptions = 20
	harness := startServer(t, nil)
	client := harness.dial(t)
	client.Send(helloCommand())
	startedAt := time.Now()
	for range subscriptions {
		client.Send(resp.AppendCommand(nil, "SUBSCRIBE", topic))
		client.Send(resp.AppendCommand(nil, "UNSUBSCRIBE"))
	}
	client.Send(pingCommand())
	snapshots := 0
	for value, ok := client.Next(); value.Text != "PONG"; value, ok = client.Next() {
		if !ok {
			t.Fatal("the connection ended")
		}
		if value.Kind == resp.Push && value.Items[0].Text == "message" {
			snapshots++
		}
	}
	if limit := 1 + int(time.Since(startedAt)/time.Second); snapshots < 1 || snapshots > limit {
		t.Fatalf("%d snapshots for %d subscriptions, want 1 to %d", snapshots, subscriptions, limit)
	}
}

// Guards against a log without end: a peer that writes unsound bytes and comes again causes a bounded number of lines.
func TestLogLinesThatPeersCauseAreBounded(t *testing.T) {
	var log lineCounter
	harness := startServer(t, func(config *Config) { config.Log = zerolog.New(&log) })
	startedAt := time.Now()
	const floods = 10 * peerLinesPerSecond
	for range floods {
		client := harness.dial(t)
		client.Send([]byte("unsound\r\n"))
		client.expectError("opens no value")
	}
	limit := peerLinesPerSecond * (2 + int(time.Since(startedAt)/time.Second))
	if lines := log.lines(); lines == 0 || lines > limit {
		t.Fatalf("%d log lines for %d connections, want 1 to %d", lines, floods, limit)
	}
	if stats := harness.server.Stats(); stats.ProtocolErrors != floods {
		t.Fatalf("%d protocol errors are counted, want %d", stats.ProtocolErrors, floods)
	}
}

// lineCounter counts the lines that are written to it.
type lineCounter struct {
	mu    sync.Mutex
	count int
}

// Write implements io.Writer.
func (c *lineCounter) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += bytes.Count(data, []byte("\n"))
	return len(data), nil
}

func (c *lineCounter) lines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

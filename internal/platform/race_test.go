package platform

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"peppervale/internal/model"
	"peppervale/internal/netpoll/netpolltest"
)

// TestJoinAtGreetingTimeoutIsEitherJoinedOrClosed: A proxy that joins just as its greeting timeout expires is either
// joined or closed, never both. The last byte of its join message arrives while the timeout check runs.
func TestJoinAtGreetingTimeoutIsEitherJoinedOrClosed(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) {
		config.Limits.GreetingTimeout = time.Minute
		config.Limits.SilenceTimeout = 24 * time.Hour
		config.Limits.AckRetryInterval = 24 * time.Hour
		config.Limits.Connections = 300
		config.ProxyCount = 200
		config.Now = clock.read
	})
	joinedCount := 0
	for n := range 200 {
		peer := harness.dial(t)
		joinBytes := netpolltest.Command(joinMessage(n))
		peer.Send([]byte(joinBytes[:len(joinBytes)-1]))
		harness.waitUntil("registration of the connection", func() bool {
			harness.server.mu.Lock()
			defer harness.server.mu.Unlock()
			return harness.server.connections.Count() == joinedCount+1
		})
		clock.advance(time.Minute)
		var routines sync.WaitGroup
		routines.Add(1)
		go func() { defer routines.Done(); harness.server.checkTimeouts() }()
		_, _ = peer.Conn.Write([]byte(joinBytes[len(joinBytes)-1:] + netpolltest.Command("ping")))
		routines.Wait()
		got := peer.nextMessage()
		_, joined := harness.expectStreamOrder()[model.ProxyID(n)]
		if joined != (got == "pong") {
			t.Fatalf("round %d: the proxy receives %q, joined at the controller: %t", n, got, joined)
		}
		if joined {
			joinedCount++
		}
	}
	t.Logf("%d of 200 joined in time", joinedCount)
}

// TestConcurrentStreamsOfOneProxyLeaveOneOpen: Three streams of one proxy join concurrently while an update is
// published, in repeated rounds. One of them stays open, it is the stream that the controller knows, and updates reach
// it.
func TestConcurrentStreamsOfOneProxyLeaveOneOpen(t *testing.T) {
	harness := startServer(t, nil)
	for round := range 30 {
		var routines sync.WaitGroup
		peers := []*testClient{harness.dial(t), harness.dial(t), harness.dial(t)}
		for _, peer := range peers {
			routines.Add(1)
			go func() {
				defer routines.Done()
				_, _ = peer.Conn.Write([]byte(netpolltest.Command(joinMessage(7))))
			}()
		}
		harness.publish(-1, harness.setWithdrawn(1, round%2 == 0))
		routines.Wait()
		harness.waitUntil("one stream", func() bool {
			stats := harness.server.Stats()
			return stats.Proxies == 1 && stats.Connections == 1 && stats.Replaced == uint64(3*round+2)
		})
		open := harness.expectStreamOrder()
		if len(open) != 1 {
			t.Fatalf("open streams: %v, want 1", open)
		}
		harness.waitForAdmission(7, func(stream *stream) bool { return stream.id == open[7] })
		harness.publish(round, harness.setWithdrawn(2, true))
		updated := 0
		for _, peer := range peers {
			last := ""
			for got := peer.nextMessage(); got != closedConnection; got = peer.nextMessage() {
				last = got
				if strings.Contains(got, "ticket") {
					break
				}
			}
			if last == fmt.Sprintf("update out s-2 ticket %d", round) {
				updated++
			}
		}
		if updated != 1 {
			t.Fatalf("%d streams received the update, want 1", updated)
		}
	}
}

// TestConcurrentStreamEndAndRejoinKeepEventOrder: An acknowledgement on a stream, the stream's end, a new stream of the
// same proxy and an update occur concurrently: the acknowledgement counts for its own stream or not at all, and the
// update reaches no stream or the newest stream.
func TestConcurrentStreamEndAndRejoinKeepEventOrder(t *testing.T) {
	harness := startServer(t, nil)
	for round := range 30 {
		oldID, newerID := uint64(2*round+1), uint64(2*round+2)
		oldClient := harness.dial(t).send(joinMessage(3))
		harness.waitForAdmission(3, func(stream *stream) bool { return stream.id == oldID })
		harness.publish(round, harness.setWithdrawn(1, round%2 == 0))
		oldClient.nextMessage()
		newerClient := harness.dial(t)
		var routines sync.WaitGroup
		for _, action := range []func(){
			func() {
				_, _ = oldClient.Conn.Write([]byte(netpolltest.Command(fmt.Sprintf("applied id 3 seq %d ms 1", round))))
				_ = oldClient.Conn.Close()
			},
			func() { _, _ = newerClient.Conn.Write([]byte(netpolltest.Command(joinMessage(3)))) },
			func() { harness.publish(-1, harness.setWithdrawn(2, round%2 == 0)) },
		} {
			routines.Add(1)
			go func() { defer routines.Done(); action() }()
		}
		routines.Wait()
		// The old connection may be open before the newer one is accepted, so the stream's number counts.
		harness.waitForAdmission(3, func(stream *stream) bool { return stream.id == newerID })
		harness.waitUntil("only the newer stream", func() bool {
			stats := harness.server.Stats()
			return stats.Proxies == 1 && stats.Connections == 1
		})
		if open := harness.expectStreamOrder(); open[3] == 0 {
			t.Fatalf("open streams: %v, want one of proxy 3", open)
		}
		newerClient.Close()
		harness.waitUntil("end of all streams", func() bool { return harness.server.Stats().Proxies == 0 })
		if open := harness.expectStreamOrder(); len(open) != 0 {
			t.Fatalf("open streams: %v, want none", open)
		}
	}
}

// TestConcurrentStreamsUpdatesAndChecksLeaveNoSubscriber: Updates are published, streams begin and end, and timeout
// checks run, all concurrently: no event is reported for a stream that has not joined, and only joined proxies are
// subscribers.
func TestConcurrentStreamsUpdatesAndChecksLeaveNoSubscriber(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 12 })
	stop := make(chan struct{})
	var routines sync.WaitGroup
	runRepeatedly := func(action func(n int)) {
		routines.Add(1)
		go func() {
			defer routines.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					action(n)
				}
			}
		}()
	}
	for id := range 4 {
		runRepeatedly(func(n int) {
			conn, err := net.Dial("tcp", harness.server.Addr())
			if err != nil {
				return
			}
			join := fmt.Sprintf("joined id %d site govan rps 1 new %d", id%2, n%2)
			_, _ = conn.Write([]byte(netpolltest.Command(join) + netpolltest.Command("applied id 0 seq 1 ms 1")))
			buf := make([]byte, 4096)
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Read(buf)
			if n%3 == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		})
	}
	runRepeatedly(func(n int) {
		replica := n%9 + 1
		harness.publish(n%60000, harness.setWeight(replica, float64(n%3)), harness.setWithdrawn(replica, n%2 == 0),
			bindProxy(model.ProxyID(n%2)))
		time.Sleep(100 * time.Microsecond)
	})
	runRepeatedly(func(int) { harness.server.checkTimeouts(); time.Sleep(time.Millisecond) })
	time.Sleep(700 * time.Millisecond) // duration of the concurrent load
	close(stop)
	routines.Wait()
	// The last connections may be accepted only now, so the end is not that no connection is open at one moment.
	harness.waitUntil("end of all streams", func() bool { return harness.subscriberCount() == 0 })
	harness.waitForNoConnections()
	harness.waitUntil("end of every reported stream", func() bool { return len(harness.expectStreamOrder()) == 0 })
}

// subscriberCount returns the number of subscribers, after checking that each has its stream.
func (h *testHarness) subscriberCount() int {
	h.t.Helper()
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	for _, subscriber := range h.server.publishedState.Subscribers {
		if stream := h.server.streams[subscriber.Proxy]; stream == nil || stream.subscriber != subscriber {
			h.t.Fatalf("subscriber %d without a stream", subscriber.Proxy)
		}
	}
	return len(h.server.publishedState.Subscribers)
}

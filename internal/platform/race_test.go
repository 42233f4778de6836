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

// TestJoinCrossesGreetingTimeout: A proxy that joins just as its greeting timeout expires is either joined or closed,
// never both. The last byte of its join message arrives while the timeout check runs.
func TestJoinCrossesGreetingTimeout(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) {
		config.Limits.GreetingTimeout = time.Minute
		config.Limits.SilenceTimeout = 24 * time.Hour
		config.Limits.AckRetryInterval = 24 * time.Hour
		config.Limits.Connections = 300
		config.ProxyCount = 200
		config.Now = clock.read
	})
	inTime := 0
	for n := range 200 {
		peer := harness.dial(t)
		said := netpolltest.Command(joinMessage(n))
		peer.Send([]byte(said[:len(said)-1]))
		harness.waitUntil("bytes", func() bool {
			harness.server.mu.Lock()
			defer harness.server.mu.Unlock()
			return harness.server.connections.Count() == inTime+1
		})
		clock.advance(time.Minute)
		var both sync.WaitGroup
		both.Add(1)
		go func() { defer both.Done(); harness.server.checkLiveness() }()
		_, _ = peer.Conn.Write([]byte(said[len(said)-1:] + netpolltest.Command("ping")))
		both.Wait()
		got := peer.next()
		_, joined := harness.expectStreamOrder()[model.ProxyID(n)]
		if joined != (got == "pong") {
			t.Fatalf("round %d: the proxy receives %q, joined at the controller: %t", n, got, joined)
		}
		if joined {
			inTime++
		}
	}
	t.Logf("%d of 200 joined in time", inTime)
}

// TestThreeStreamsOfOneProxyAtOnce: Three streams of one proxy join concurrently while an update is published, in
// repeated rounds. One of them stays open, it is the stream that the controller knows, and updates reach it.
func TestThreeStreamsOfOneProxyAtOnce(t *testing.T) {
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
		harness.publish(-1, harness.withdraw(1, round%2 == 0))
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
		harness.publish(round, harness.withdraw(2, true))
		alive := 0
		for _, peer := range peers {
			last := ""
			for got := peer.next(); got != closedConnection; got = peer.next() {
				last = got
				if strings.Contains(got, "ticket") {
					break
				}
			}
			if last == fmt.Sprintf("update out s-2 ticket %d", round) {
				alive++
			}
		}
		if alive != 1 {
			t.Fatalf("%d streams received the update, want 1", alive)
		}
	}
}

// TestOldStreamCrossesNewStream: An acknowledgement on a stream, the stream's end, a new stream of the same proxy and
// an update occur concurrently: the acknowledgement counts for its own stream or not at all, and the update reaches no
// stream or the newest stream.
func TestOldStreamCrossesNewStream(t *testing.T) {
	harness := startServer(t, nil)
	for round := range 30 {
		old := harness.dial(t).say(joinMessage(3))
		harness.waitForAdmission(3, func(stream *stream) bool { return stream.id == harness.server.lastStreamID })
		harness.publish(round, harness.withdraw(1, round%2 == 0))
		old.next()
		newer := harness.dial(t)
		var routines sync.WaitGroup
		for _, f := range []func(){
			func() {
				_, _ = old.Conn.Write([]byte(netpolltest.Command(fmt.Sprintf("applied id 3 seq %d ms 1", round))))
				_ = old.Conn.Close()
			},
			func() { _, _ = newer.Conn.Write([]byte(netpolltest.Command(joinMessage(3)))) },
			func() { harness.publish(-1, harness.withdraw(2, round%2 == 0)) },
		} {
			routines.Add(1)
			go func() { defer routines.Done(); f() }()
		}
		routines.Wait()
		harness.waitUntil("only the newer stream", func() bool {
			stats := harness.server.Stats()
			return stats.Proxies == 1 && stats.Connections == 1
		})
		if open := harness.expectStreamOrder(); open[3] == 0 {
			t.Fatalf("open streams: %v, want one of proxy 3", open)
		}
		newer.Close()
		harness.waitUntil("end of all streams", func() bool { return harness.server.Stats().Proxies == 0 })
		if open := harness.expectStreamOrder(); len(open) != 0 {
			t.Fatalf("open streams: %v, want none", open)
		}
	}
}

// TestStreamsUpdatesAndChecksAtOnce: Updates are published, streams begin and end, and timeout checks run, all
// concurrently: no event is reported for a stream that has not joined, and only joined proxies are subscribers.
func TestStreamsUpdatesAndChecksAtOnce(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 12 })
	stop := make(chan struct{})
	var routines sync.WaitGroup
	busy := func(f func(n int)) {
		routines.Add(1)
		go func() {
			defer routines.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					f(n)
				}
			}
		}()
	}
	for id := range 4 {
		busy(func(n int) {
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
	busy(func(n int) {
		replica := n%9 + 1
		harness.publish(n%60000, harness.weight(replica, float64(n%3)), harness.withdraw(replica, n%2 == 0),
			bind(model.ProxyID(n%2)))
		time.Sleep(100 * time.Microsecond)
	})
	busy(func(int) { harness.server.checkLiveness(); time.Sleep(time.Millisecond) })
	time.Sleep(700 * time.Millisecond) // duration of the concurrent load
	close(stop)
	routines.Wait()
	harness.waitForNoConnections()
	if open := harness.expectStreamOrder(); len(open) != 0 {
		t.Fatalf("open streams: %v, want none", open)
	}
	harness.server.mu.Lock()
	defer harness.server.mu.Unlock()
	if n := len(harness.server.published.Subscribers); n != 0 {
		t.Fatalf("%d subscribers without a stream", n)
	}
}

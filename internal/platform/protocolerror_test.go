package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"peppervale/internal/netpoll/netpolltest"
)

// TestInvalidMessagesOfJoinedConnectionsAreDropped: A message that is malformed or not permitted is dropped without
// further effect. A malformed acknowledgement counts as the oldest pending one: otherwise the entries that it covers
// would count as unacknowledged forever, and delay all weights.
func TestInvalidMessagesOfJoinedConnectionsAreDropped(t *testing.T) {
	harness := startServer(t, nil)
	collector := harness.dial(t).send("collector site kelvin")
	collector.send(
		"heard site kelvin target s-77 count 1 fail 0 mean 1 over 1",
		"heard site nowhere target s-1 count 1 fail 0 mean 1 over 1",
		"heard site kelvin target s-1 count -1 fail 0 mean 1 over 1",
		"heard site kelvin target s-1 count 1 fail 2 mean 1 over 1",
		"heard site kelvin target s-1 count x fail 0 mean 1 over 1",
		"heard site kelvin target s-1 count 1 fail 0 over 1",
		"heard site kelvin target s-1 count 1 fail 0 mean nan over 1",
		"heard site kelvin target s-1 count 1 fail 0 mean 1 over 1 util cpu_share:x",
		"applied id 3 seq 1 ms 1",
		"update whole 1",
		"collector site govan",
	)
	collector.send("heard site kelvin target s-1 count 1 fail 0 mean 1 over 1")
	harness.waitUntil("load report", func() bool { return harness.reportCount() == 1 })
	stats := harness.server.Stats()
	if stats.InvalidMessages != 11 || stats.ProtocolErrors != 0 || stats.Collectors != 1 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
	client := harness.join(t, 7)
	for n := range 3 {
		harness.publish(n, harness.setWithdrawn(n+1, true))
		client.nextMessage()
	}
	client.send("applied id 7 seq x ms 1")
	harness.waitForEvent("acknowledged 7 0")
	client.send("applied id 7 seq 40000 ms 1")
	harness.waitForEvent("acknowledged 7 1")
	client.send("applied id 7 seq 2 ms 1")
	harness.waitForEvent("acknowledged 7 2")
	if stats := harness.server.Stats(); stats.PendingAcks != 0 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// TestInvalidFirstMessagesAreRejected: A connection that has not joined and sends an invalid or forbidden message
// gets an error, or is closed, at once. A joined proxy is not affected.
func TestInvalidFirstMessagesAreRejected(t *testing.T) {
	harness := startServer(t, nil)
	joinedClient := harness.join(t, 7)
	for name, bytes := range map[string]string{
		"HTTP":                           "GET / HTTP/1.1\r\n\r\n",
		"zeros":                          strings.Repeat("\x00", 100),
		"an impossible length":           "*1\r\n$99999999999\r\n",
		"a long string":                  "*2\r\n$4\r\nping\r\n$1048576\r\nxxx",
		"an impossible count":            "*99999999\r\n",
		"nested arrays":                  "*1\r\n*1\r\n*1\r\n",
		"not an array":                   "$4\r\nping\r\n",
		"an update":                      netpolltest.Command("update whole 1 lines s-1:1"),
		"a load report":                  netpolltest.Command("heard site govan target s-1 count 1 fail 0 mean 1 over 1"),
		"an acknowledgement":             netpolltest.Command("applied id 7 seq 1 ms 1"),
		"an unknown proxy":               netpolltest.Command("joined id 20 site govan rps 1 new 1"),
		"a proxy below 0":                netpolltest.Command("joined id -1 site govan rps 1 new 1"),
		"a proxy of an unknown zone":     netpolltest.Command("joined id 3 site nowhere rps 1 new 1"),
		"a proxy without a rate":         netpolltest.Command("joined id 3 site govan new 1"),
		"a collector of an unknown zone": netpolltest.Command("collector site nowhere"),
		"many empty strings":             "*64\r\n" + strings.Repeat("$0\r\n\r\n", 64),
		"an unknown message":             netpolltest.Command("hello 3"),
	} {
		t.Run(name, func(t *testing.T) {
			client := harness.dial(t)
			client.Send([]byte(bytes))
			expectRejection(client)
		})
	}
	harness.publish(1, harness.setWithdrawn(1, true))
	joinedClient.expectMessage("update out s-1 ticket 1")
	if stats := harness.server.Stats(); stats.Proxies != 1 || stats.Connections != 1 || stats.Rejected != 17 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// expectRejection checks that a connection is closed, after at most one rejection message.
func expectRejection(client *testClient) {
	client.t.Helper()
	for n := 0; ; n++ {
		got := client.nextMessage()
		if got == closedConnection {
			return
		}
		if !strings.HasPrefix(got, "refused") || n > 0 {
			client.t.Errorf("received %q, want at most one rejection", got)
		}
	}
}

// TestPipelinedAndSplitMessagesAreAllHandled: Many messages arrive in one read or split over a thousand reads, mixed
// with pings: each complete message is handled and each ping is answered, on streams and on collectors. Half a message
// before the end of the connection has no effect.
func TestPipelinedAndSplitMessagesAreAllHandled(t *testing.T) {
	harness := startServer(t, nil)
	random := rand.New(rand.NewPCG(4, 2))
	peers := []struct{ kind, opening, report string }{
		{"stream", joinMessage(7), "usage id 7 lane read count 1 fail 0 over 1000"},
		{"collector", "collector site govan", "heard site govan target s-1 count 1 fail 0 mean 1 over 1"},
	}
	for _, size := range []int{1 << 20, 1, 7} {
		for _, peer := range peers {
			t.Run(fmt.Sprintf("%s in pieces of %d", peer.kind, size), func(t *testing.T) {
				expectAllHandled(t, harness, peer.opening, peer.report, size, random)
			})
		}
	}
	harness.expectStreamOrder()
}

// expectAllHandled sends reports and pings in random order, in pieces of the given size, with half a message at the
// end, and checks that all complete messages are handled.
func expectAllHandled(t *testing.T, harness *testHarness, opening, report string, size int, random *rand.Rand) {
	t.Helper()
	before := harness.server.Stats()
	text := netpolltest.Command(opening)
	pings, reports := 0, 0
	for range 300 {
		if random.IntN(3) == 0 {
			text += netpolltest.Command("ping")
			pings++
		} else {
			text += netpolltest.Command(report)
			reports++
		}
	}
	text += netpolltest.Command("ping")[:9] // half a message
	client := harness.dial(t)
	for piece := range slices.Chunk([]byte(text), size) {
		client.Send(piece)
	}
	for n := range pings {
		if got := client.nextMessage(); got != "pong" {
			t.Fatalf("answer %d of %d is %q, want pong", n, pings, got)
		}
	}
	harness.waitUntil("reports", func() bool {
		stats := harness.server.Stats()
		return int(stats.UsageRequests+stats.LoadReports-before.UsageRequests-before.LoadReports) == reports
	})
	client.Close()
	harness.waitForNoConnections()
	if stats := harness.server.Stats(); stats.InvalidMessages != 0 || stats.ProtocolErrors != 0 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// TestConnectionOfPeerThatReadsNoPongIsClosed: The connection of a peer that pings and does not read the answers is
// closed when its unsent bytes exceed the limit.
func TestConnectionOfPeerThatReadsNoPongIsClosed(t *testing.T) {
	harness := startServer(t, nil)
	client := netpolltest.DialWithReceiveBuffer(t, harness.server.Addr(), waitTimeout, 4<<10)
	client.SendCommands("collector site govan")
	pings := []byte(strings.Repeat(netpolltest.Command("ping"), 1000))
	for n := 0; ; n++ { // the kernel's buffers hold some hundred thousand answers
		_ = client.Conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		_, err := client.Conn.Write(pings)
		if errors.Is(err, os.ErrDeadlineExceeded) || n > 100_000 {
			t.Fatalf("the connection stays open: %v", err)
		}
		if err != nil {
			break
		}
	}
	harness.waitUntil("end of the slow peer", func() bool {
		stats := harness.server.Stats()
		return stats.ClosedAsSlow == 1 && stats.Connections == 0
	})
}

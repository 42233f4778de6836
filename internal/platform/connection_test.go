package platform

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"peppervale/internal/netpoll/netpolltest"
)

// TestConnectionsThatDoNotJoinAreClosedAfterGreetingTimeout: Connections that send nothing, half a
// message, or only a ping are closed after the greeting timeout.
func TestConnectionsThatDoNotJoinAreClosedAfterGreetingTimeout(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.GreetingTimeout = 300 * time.Millisecond })
	for _, bytes := range []string{"", "*3\r\n$4\r\njo", netpolltest.Command("ping")} {
		client := harness.dial(t)
		client.Send([]byte(bytes))
		if got := client.nextMessage(); got == "pong" {
			got = client.nextMessage()
			if got != closedConnection {
				t.Fatalf("received %q after a pong, want the end of the connection", got)
			}
		} else if got != closedConnection {
			t.Fatalf("received %q, want the end of the connection", got)
		}
	}
	harness.waitForNoConnections()
}

// TestFloodOfConnectionsThatDoNotJoinDoesNotDisplaceProxies: A flood of silent connections does not displace
// proxies: the oldest silent connections are closed.
func TestFloodOfConnectionsThatDoNotJoinDoesNotDisplaceProxies(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 10 })
	for range 50 {
		harness.dial(t)
	}
	for n := range 5 {
		client := harness.join(t, n)
		harness.publish(n, harness.setWithdrawn(n+1, true))
		client.expectMessage(fmt.Sprintf("update out s-%d ticket %d", n+1, n))
	}
	for range 50 {
		harness.dial(t)
	}
	harness.waitUntil("evictions", func() bool { return harness.server.Stats().Evicted >= 90 })
	if stats := harness.server.Stats(); stats.Proxies != 5 || stats.Connections > 10 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// TestNewConnectionIsEvictedWhenStreamsUseAllConnections: If streams use all connections that the limit allows, a new
// connection is closed, because it is the only one that has not joined. The streams are not affected.
func TestNewConnectionIsEvictedWhenStreamsUseAllConnections(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.Connections = 3 })
	var joinedClients []*testClient
	for n := range 3 {
		joinedClients = append(joinedClients, harness.join(t, n))
	}
	for range 20 {
		if got := harness.dial(t).nextMessage(); got != closedConnection {
			t.Fatalf("a connection beyond the limit receives %q", got)
		}
	}
	harness.publish(1, harness.setWithdrawn(1, true))
	for _, client := range joinedClients {
		client.expectMessage("update out s-1 ticket 1")
	}
	if stats := harness.server.Stats(); stats.Proxies != 3 || stats.Connections != 3 || stats.Evicted != 20 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

// TestResetsRightAfterAcceptLeakNoConnection: Connections that are reset right after they were accepted, with or
// without unread bytes, leave no registered connection and no open descriptor.
func TestResetsRightAfterAcceptLeakNoConnection(t *testing.T) {
	harness := startServer(t, nil)
	harness.join(t, 7)
	descriptors := func() int {
		open, _ := os.ReadDir("/proc/self/fd")
		return len(open)
	}
	before := descriptors()
	openings := []string{
		"",
		netpolltest.Command(joinMessage(3)),
		netpolltest.Command("ping")[:5],
		netpolltest.Command("collector site govan"),
	}
	for n := range 300 {
		conn, err := net.Dial("tcp", harness.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(openings[n%len(openings)]))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	harness.waitUntil("end of all connections but one", func() bool {
		stats := harness.server.Stats()
		onlyOneLeft := stats.Connections == 1 && stats.Collectors == 0
		return onlyOneLeft && harness.awaitingJoinCount() == 0 && descriptors() == before
	})
	if open := harness.expectStreamOrder(); len(open) != 1 {
		t.Fatalf("open streams: %v, want 1", open)
	}
}

package httpserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const testTimeout = 10 * time.Second

// startServer starts a server whose page waits until release is closed if its path is /slow.
func startServer(t *testing.T, connections int, release <-chan struct{}) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", Limits{Connections: connections, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		WriteText(w, http.StatusOK, "a page")
	}, nil)
	t.Cleanup(server.Close)
	return server
}

// connect connects and sends the beginning of a request.
func connect(t *testing.T, server *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// requireOK fails unless the response on a connection has status 200.
func requireOK(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, " 200 ") {
		t.Fatalf("response %q, %v, want status 200", line, err)
	}
}

// Guards against hundreds of half-written request headers that exhaust the memory: no more connections than the limit
// are open, the longest waiting one is closed for a new one, and a request that is being served goes on.
func TestConnectionsStayWithinLimit(t *testing.T) {
	const limit = 10
	release := make(chan struct{})
	server := startServer(t, limit, release)
	slow := connect(t, server, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	waitUntil(t, func() error {
		server.limiter.mu.Lock()
		defer server.limiter.mu.Unlock()
		if len(server.limiter.open) != 1 || server.limiter.waiting.Len() != 0 {
			return fmt.Errorf("%d connections are open, %d wait, want 1 that is served", len(server.limiter.open),
				server.limiter.waiting.Len())
		}
		return nil
	})
	for range 5 * limit {
		connect(t, server, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 1000))
	}
	requireOK(t, connect(t, server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	waitUntil(t, func() error {
		server.limiter.mu.Lock()
		defer server.limiter.mu.Unlock()
		if len(server.limiter.open) > limit || server.limiter.evicted < 4*limit {
			return fmt.Errorf("%d connections are open, %d were closed, want at most %d and at least %d",
				len(server.limiter.open), server.limiter.evicted, limit, 4*limit)
		}
		return nil
	})
	close(release)
	requireOK(t, slow)
}

// waitUntil waits until a check passes.
func waitUntil(t *testing.T, check func() error) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for err := check(); err != nil; err = check() {
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

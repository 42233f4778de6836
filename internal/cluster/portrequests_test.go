package cluster

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/resp"
)

// startPort opens a cluster port that answers each request with its first word.
func startPort(t *testing.T, limits PortLimits) *portServer {
	t.Helper()
	config := &Config{ListenAddress: "127.0.0.1:0", PortLimits: limits, Log: zerolog.Nop()}
	server, err := openPortServer(config, func(words []string) ([]byte, error) { return []byte(words[0]), nil })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	return server
}

// dialPort connects to a cluster port as an operator does.
func dialPort(t *testing.T, server *portServer) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte{connectionForRequests, 0}); err != nil {
		t.Fatal(err)
	}
	return conn
}

// requireAnswer sends a request and fails unless it is answered.
func requireAnswer(t *testing.T, server *portServer) {
	t.Helper()
	conn := dialPort(t, server)
	if _, err := conn.Write(resp.AppendCommand(nil, "STATUS")); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "$6\r\n" {
		t.Fatalf("received %q, %v, want the answer", line, err)
	}
}

// Guards against hundreds of half-written requests that exhaust the memory: connections above their even share of the
// limit on all peers end, and a sound request is answered.
func TestUnfinishedRequestsStayWithinMemory(t *testing.T) {
	const peers, bytesEach, total = 40, 200_000, 1 << 20
	server := startPort(t, PortLimits{TotalHeldBytes: total})
	half := append([]byte("*2\r\n$4000000\r\n"), strings.Repeat("x", bytesEach)...)
	for range peers {
		conn := dialPort(t, server)
		_, _ = conn.Write(half) // fails if the connection has ended already
	}
	requireAnswer(t, server)
	deadline := time.Now().Add(10 * time.Second)
	for server.overMemory.Load() == 0 || server.heldBytes.Load() > 2*total {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections have ended, %d bytes are held, want some and at most %d", server.overMemory.Load(),
				server.heldBytes.Load(), 2*total)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against one peer that keeps a request unfinished for good by writing a byte now and then.
func TestUnfinishedRequestTimesOut(t *testing.T) {
	server := startPort(t, PortLimits{RequestTimeout: 200 * time.Millisecond})
	conn := dialPort(t, server)
	if _, err := conn.Write([]byte("*2\r\n$4000000\r\n")); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1)) // returns at the end of the connection
		close(ended)
	}()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case <-ended:
			if held := server.heldBytes.Load(); held != 0 {
				t.Errorf("%d bytes are held after the connection has ended, want 0", held)
			}
			requireAnswer(t, server)
			return
		case <-ticker.C:
			_, _ = conn.Write([]byte("x"))
		case <-timeout:
			t.Fatal("the connection has not ended within 10 s")
		}
	}
}

// Guards against a steady peer that is cut off: requests that are complete in time are answered, wherever reads end.
func TestSplitRequestsAreAnswered(t *testing.T) {
	const timeout = 100 * time.Millisecond
	server := startPort(t, PortLimits{RequestTimeout: timeout})
	conn := dialPort(t, server)
	reader := bufio.NewReader(conn)
	request := resp.AppendCommand(nil, "STATUS")
	half := len(request) / 2
	if _, err := conn.Write(request[:half]); err != nil {
		t.Fatal(err)
	}
	for startedAt := time.Now(); time.Since(startedAt) < 3*timeout; {
		if _, err := conn.Write(fmt.Appendf(nil, "%s%s", request[half:], request[:half])); err != nil {
			t.Fatal(err)
		}
		if line, err := reader.ReadString('\n'); err != nil || line != "$6\r\n" {
			t.Fatalf("received %q, %v", line, err)
		}
		if line, err := reader.ReadString('\n'); err != nil || line != "STATUS\r\n" {
			t.Fatalf("received %q, %v", line, err)
		}
	}
}

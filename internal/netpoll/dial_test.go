package netpoll

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestDialReachesLoopbackAddresses: Any loopback address is reached, and a refusal is reported as an error.
func TestDialReachesLoopbackAddresses(t *testing.T) {
	server, err := Start(1, Handlers{}, "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	client := startEngine(t, Handlers{})
	results := make(chan error, 1)
	done := func(_ *nbio.Conn, err error) { results <- err }
	Dial(client, server.Addrs[0], 5*time.Second, nil, done)
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	server.Stop()
	Dial(client, server.Addrs[0], 5*time.Second, nil, done)
	if err := <-results; err == nil {
		t.Fatal("a refusal is reported as a connection")
	}
}

// TestStopWhileDialing: A dial in progress does not delay the stop, and its end is reported once; what it connected
// meanwhile is closed.
func TestStopWhileDialing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for range 20 {
		expectDialsEndOnStop(t, listener.Addr().String())
	}
	_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	for { // each connection that came up is closed
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		waitForEnd(t, conn)
		_ = conn.Close()
	}
}

// expectDialsEndOnStop stops an engine with two dials in progress, and dials once more after it.
func expectDialsEndOnStop(t *testing.T, address string) {
	t.Helper()
	engine, err := Start(1, Handlers{})
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, 4)
	done := func(_ *nbio.Conn, err error) { results <- err }
	for range 2 {
		Dial(engine, address, 10*time.Second, nil, done)
	}
	runWithin(t, "stop", engine.Stop)
	for range 2 {
		if err := <-results; err != nil {
			t.Logf("a dial was ended by the stop: %v", err)
		}
	}
	Dial(engine, address, 10*time.Second, nil, done)
	if err := <-results; err == nil {
		t.Fatal("an engine that has stopped dials")
	}
	if len(results) > 0 {
		t.Fatal("the end of a dial is reported twice")
	}
}

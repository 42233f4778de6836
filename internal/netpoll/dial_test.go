package netpoll

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestDialConnectsToLoopbackAndReportsRefusal: Dial connects to any loopback address, and reports a refusal as an
// error.
func TestDialConnectsToLoopbackAndReportsRefusal(t *testing.T) {
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
		t.Fatal("a refused dial is reported as a connection")
	}
}

// TestStopEndsDialsInProgress: A dial in progress does not delay Stop, and its callback is called once. A connection
// that it has established is closed.
func TestStopEndsDialsInProgress(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for range 20 {
		expectDialsEndOnStop(t, listener.Addr().String())
	}
	_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	for { // each established connection is closed
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		waitForEnd(t, conn)
		_ = conn.Close()
	}
}

// expectDialsEndOnStop stops an engine with two dials in progress, and dials once more after the stop.
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
	runWithTimeout(t, "stop", engine.Stop)
	for range 2 {
		if err := <-results; err != nil {
			t.Logf("a dial was ended by the stop: %v", err)
		}
	}
	Dial(engine, address, 10*time.Second, nil, done)
	if err := <-results; err == nil {
		t.Fatal("a dial of a stopped engine is reported as a connection")
	}
	if len(results) > 0 {
		t.Fatal("the result of a dial is reported twice")
	}
}

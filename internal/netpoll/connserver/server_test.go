package connserver

import (
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/goleak"

	"peppervale/internal/netpoll/netpolltest"
)

const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSession is a session without protocol state.
type testSession struct{ Conn }

// testServer echoes data, and passes opened and closed sessions to the test.
type testServer struct {
	*Server[*testSession]
	mu     sync.Mutex
	opened chan *testSession
	closed chan *testSession
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	server := &testServer{opened: make(chan *testSession, 1), closed: make(chan *testSession, 2)}
	server.Server = New(&server.mu, Handlers[*testSession]{
		Opened: func(socket *nbio.Conn) {
			session := &testSession{}
			server.mu.Lock()
			server.Register(socket, session)
			server.mu.Unlock()
			server.opened <- session
		},
		Received: func(session *testSession, data []byte) {
			server.mu.Lock()
			server.Write(session, data)
			server.mu.Unlock()
		},
		Closed: func(session *testSession) { server.closed <- session },
	})
	if err := server.Listen(1, "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// TestWrittenBytesCountAsUnsentUntilAccepted: Written bytes count as unsent for the connection and in total until the
// socket has accepted them.
func TestWrittenBytesCountAsUnsentUntilAccepted(t *testing.T) {
	server := startServer(t)
	client := netpolltest.Dial(t, server.Addr(), waitTimeout)
	session := <-server.opened
	client.SendCommands("ping")
	if value, ok := client.Next(); !ok || value.Items[0].Text != "ping" {
		t.Fatalf("received %v, %t", value, ok)
	}
	waitForNoUnsentBytes(t, server, session)
	server.mu.Lock()
	defer server.mu.Unlock()
	if got, want := server.BytesWritten(), uint64(len(netpolltest.Command("ping"))); got != want {
		t.Errorf("%d bytes written, want %d", got, want)
	}
}

func waitForNoUnsentBytes(t *testing.T, server *testServer, session *testSession) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if session.UnsentBytes() == 0 && server.UnsentBytes() == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes unsent on the connection, %d in total, want 0", session.UnsentBytes(), server.UnsentBytes())
		}
	}
}

// TestUnregisteredConnectionIsSentNothing: An unregistered connection has ended, is sent nothing more, and adds no
// unsent bytes. It can be unregistered only once.
func TestUnregisteredConnectionIsSentNothing(t *testing.T) {
	server := startServer(t)
	client := netpolltest.Dial(t, server.Addr(), waitTimeout)
	session := <-server.opened
	expectUnregister(t, server, session)
	server.CloseOnPoller(session)
	if value, ok := client.Next(); ok {
		t.Errorf("received %v", value)
	}
	if closed := <-server.closed; closed != session {
		t.Errorf("Closed was called for session %p, want %p", closed, session)
	}
}

func expectUnregister(t *testing.T, server *testServer, session *testSession) {
	t.Helper()
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.Count() != 1 || !server.Registered(session) || session.Ended() {
		t.Fatalf("%d registered, this one %t, ended %t; want 1, true, false",
			server.Count(), server.Registered(session), session.Ended())
	}
	if !server.Unregister(session) || server.Unregister(session) {
		t.Error("want true from the first Unregister and false from the second")
	}
	server.Write(session, []byte("after the end"))
	if !session.Ended() || server.Count() != 0 {
		t.Errorf("ended %t, %d connections registered", session.Ended(), server.Count())
	}
	if server.BytesWritten() != 0 || server.UnsentBytes() != 0 || session.UnsentBytes() != 0 {
		t.Errorf("%d bytes written, %d unsent; want none", server.BytesWritten(), server.UnsentBytes())
	}
}

// TestHeldBytesAreCountedUntilUnregistered: The memory of unfinished messages counts for the connection and in total
// until the connection is unregistered.
func TestHeldBytesAreCountedUntilUnregistered(t *testing.T) {
	server := startServer(t)
	netpolltest.Dial(t, server.Addr(), waitTimeout)
	first := <-server.opened
	netpolltest.Dial(t, server.Addr(), waitTimeout)
	second := <-server.opened
	server.mu.Lock()
	defer server.mu.Unlock()
	server.SetHeldBytes(first, 500)
	server.SetHeldBytes(second, 20)
	server.SetHeldBytes(first, 100)
	if first.HeldBytes() != 100 || server.HeldBytes() != 120 {
		t.Errorf("%d bytes are held for the first connection, %d in total, want 100 and 120",
			first.HeldBytes(), server.HeldBytes())
	}
	server.Unregister(first)
	server.SetHeldBytes(first, 1000)
	if server.HeldBytes() != 20 {
		t.Errorf("%d bytes are held once the first connection is unregistered, want 20", server.HeldBytes())
	}
}

// TestCloseEndsRoutinesAndConnections: Close ends background routines and all connections, and may be called again.
func TestCloseEndsRoutinesAndConnections(t *testing.T) {
	server := startServer(t)
	client := netpolltest.Dial(t, server.Addr(), waitTimeout)
	<-server.opened
	hasEnded := false
	server.Go(func() {
		<-server.Done()
		hasEnded = true
	})
	server.Close()
	if !hasEnded {
		t.Error("a background routine is still running after Close")
	}
	if value, ok := client.Next(); ok {
		t.Errorf("received %v", value)
	}
	server.Close()
}

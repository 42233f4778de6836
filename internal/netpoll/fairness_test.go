package netpoll

import (
	"bytes"
	"net"
	"sync"
	"testing"

	"github.com/lesismal/nbio"
)

// Guards against peers that write without pause and delay all others for seconds: however much has arrived on one
// connection, the poller reads a bounded part of it before it reads another connection.
func TestPollerReadsBoundedPartOfBusyConnection(t *testing.T) {
	const flood = 16 * bytesPerRead
	var mu sync.Mutex
	floodRead := 0
	floodReadBefore := make(chan int, 1)
	opened := make(chan struct{}, 2)
	engine := startEngine(t, Handlers{
		Open: func(*nbio.Conn) { opened <- struct{}{} },
		Data: func(_ *nbio.Conn, data []byte) {
			mu.Lock()
			defer mu.Unlock()
			if len(data) == 1 {
				floodReadBefore <- floodRead
				return
			}
			floodRead += len(data)
		},
	}, "127.0.0.1:0")
	busy, quiet := dialAndWait(t, engine, opened), dialAndWait(t, engine, opened)
	release := make(chan struct{})
	blocked := make(chan struct{})
	engine.RunOnPoller(func() {
		close(blocked)
		<-release
	})
	<-blocked
	if _, err := busy.Write(bytes.Repeat([]byte("x"), flood)); err != nil { // the kernel buffers it
		t.Fatal(err)
	}
	if _, err := quiet.Write([]byte("q")); err != nil {
		t.Fatal(err)
	}
	close(release)
	if got := <-floodReadBefore; got > 4*bytesPerRead {
		t.Errorf("%d bytes of the busy connection were read before the quiet one, want at most %d", got, 4*bytesPerRead)
	}
}

// dialAndWait connects to an engine and waits until it has taken the connection in.
func dialAndWait(t *testing.T, engine *Engine, opened <-chan struct{}) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", engine.Addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	<-opened
	return conn
}

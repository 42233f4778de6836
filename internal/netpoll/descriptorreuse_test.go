package netpoll

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestDescriptorReusedAfterCloseInOpenIsNotWatched: A connection that is closed in Open frees its descriptor's number,
// and the number is reused at once. The poller does not watch the new descriptor with that number. If it did, it would
// find the closed connection for each event, read nothing, and keep a core busy.
func TestDescriptorReusedAfterCloseInOpenIsNotWatched(t *testing.T) {
	var engine *Engine
	occupied := make(chan []int, 1)
	started := make(chan struct{})
	engine = startEngine(t, Handlers{Open: func(conn *nbio.Conn) {
		<-started
		engine.CloseOnPoller(conn)
		occupied <- occupyDescriptorPairs(t)
	}}, "127.0.0.1:0")
	close(started)
	conn := connect(t, engine.Addrs[0])
	descriptors := <-occupied
	waitForEnd(t, conn)
	engine.pollerLoops[0].waitForScheduledTasks()
	watched := watchedDescriptors(t)
	for _, descriptor := range descriptors {
		if slices.Contains(watched, fmt.Sprint(descriptor)) {
			t.Errorf("descriptor %d is watched, but does not belong to the engine", descriptor)
		}
		_ = syscall.Close(descriptor)
	}
}

// occupyDescriptorPairs occupies the next eight descriptors, including the number that was just freed.
func occupyDescriptorPairs(t *testing.T) (occupied []int) {
	for range 4 {
		ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Error(err)
			break
		}
		occupied = append(occupied, ends[0], ends[1])
	}
	return occupied
}

// watchedDescriptors returns the descriptors that the epoll instances of this process watch.
func watchedDescriptors(t *testing.T) (watched []string) {
	t.Helper()
	infos, err := filepath.Glob("/proc/self/fdinfo/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range infos {
		text, _ := os.ReadFile(info)
		for _, line := range strings.Split(string(text), "\n") {
			if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "tfd:" {
				watched = append(watched, fields[1])
			}
		}
	}
	return watched
}

// blockingPoller is an engine with one poller that blocks in each Data event, except for echo requests, until it is
// released.
type blockingPoller struct {
	*Engine
	opened   connLog
	received chan string // data of each event
	release  chan struct{}
}

const echoWord = "echo"

func startBlockingPoller(t *testing.T) *blockingPoller {
	t.Helper()
	poller := &blockingPoller{received: make(chan string, 10), release: make(chan struct{})}
	poller.Engine = startEngine(t, Handlers{
		Open: poller.opened.add,
		Data: func(conn *nbio.Conn, data []byte) {
			poller.received <- string(data)
			if string(data) == echoWord {
				_, _ = conn.Write(data)
				return
			}
			<-poller.release
		},
	}, "127.0.0.1:0")
	return poller
}

// waitForConnections waits until the given number of connections were opened.
func (p *blockingPoller) waitForConnections(t *testing.T, count int) {
	t.Helper()
	runWithTimeout(t, "connections", func() {
		for len(p.opened.all()) < count {
			time.Sleep(time.Millisecond)
		}
	})
}

// TestStaleEventDoesNotEndConnectionWithSameDescriptor: An event that the poller collected before its connection was
// closed does not end the connection that reuses the descriptor's number. The poller is blocked in the first of two
// events of one round; the connection of the second event is closed, and a new connection reuses its number.
func TestStaleEventDoesNotEndConnectionWithSameDescriptor(t *testing.T) {
	poller := startBlockingPoller(t)
	address := poller.Addrs[0]
	// The kernel assigns the lowest free number. The accepted connection will get this one once it is freed, and nbio's
	// duplicate will get the number of the closed connection.
	freedDescriptor, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	blockerConn := connect(t, address)
	firstConn := connect(t, address)
	secondConn := connect(t, address)
	poller.waitForConnections(t, 3)
	newSocket := unconnectedSocket(t)
	send(t, blockerConn, "block")
	<-poller.received // the poller is in the blocker's event; the next two events come in one round
	send(t, firstConn, "first")
	resetConnection(t, secondConn)
	poller.release <- struct{}{}
	if got := <-poller.received; got != "first" {
		t.Fatalf("received %q, want first", got)
	}
	staleConn := poller.opened.all()[2]
	occupyDescriptorsBelow(t, staleConn.Hash())
	_ = staleConn.Close()
	_ = syscall.Close(freedDescriptor)
	if err := connectSocket(newSocket, port(t, address)); err != nil {
		t.Fatal(err)
	}
	poller.waitForEarlyAccept(4)
	poller.release <- struct{}{}
	for range 2 { // the first echo may be answered in the same round as the stale event
		expectEcho(t, newSocket)
	}
	conns := poller.opened.all()
	if n := len(conns); n != 4 || conns[3].Hash() != staleConn.Hash() {
		t.Errorf("%d connections, want 4; the last one has descriptor %d, want %d", n, conns[3].Hash(), staleConn.Hash())
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// occupyDescriptorsBelow occupies every free descriptor below a bound.
func occupyDescriptorsBelow(t *testing.T, bound int) {
	t.Helper()
	for descriptor := 0; descriptor < bound; {
		descriptor = duplicateDescriptor(t)
	}
}

// waitForEarlyAccept waits up to 200 ms for the given number of opened connections. If connections are opened while the
// poller is blocked, the new connection has the closed connection's descriptor by then.
func (p *blockingPoller) waitForEarlyAccept(count int) {
	for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(p.opened.all()) == count {
			return
		}
	}
}

// expectEcho checks that a connection is open.
func expectEcho(t *testing.T, socket int) {
	t.Helper()
	runWithTimeout(t, "answer", func() {
		if _, err := syscall.Write(socket, []byte(echoWord)); err != nil {
			t.Errorf("the new connection was ended: write: %v", err)
			return
		}
		answer := make([]byte, len(echoWord))
		if n, err := syscall.Read(socket, answer); n != len(echoWord) || err != nil {
			t.Errorf("the new connection was ended: read %d bytes, %v", n, err)
		}
	})
}

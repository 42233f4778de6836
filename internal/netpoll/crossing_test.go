package netpoll

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// within fails the test unless f ends soon.
func within(t *testing.T, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: not within 20 s", what)
	}
}

func dialTest(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// ends tells how a connection ended at this side; it waits for it.
func ends(t *testing.T, conn net.Conn) error {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err := io.ReadAll(conn)
	if e, is := err.(net.Error); is && e.Timeout() {
		t.Fatal("the connection stays open")
	}
	return err
}

// refused waits until nobody listens at an address any more.
func refused(t *testing.T, address string) {
	t.Helper()
	for late := time.Now().Add(20 * time.Second); ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		conn.Close()
		if time.Now().After(late) {
			t.Fatal("the address is still open")
		}
	}
}

// A connection that is being taken in while the engine stops is ended by it. nbio's own Stop walks the connections that it knows of, and
// then waits for one more, whose peer keeps it open for good.
func TestStoppedWhileOneIsTakenIn(t *testing.T) {
	for range 5 {
		opened, release := make(chan struct{}), make(chan struct{})
		var known, closed atomic.Int64
		e, err := Start(1, Handlers{Open: func(*nbio.Conn) {
			if known.Add(1) == 1 {
				close(opened)
			}
			<-release
		}, Close: func(*nbio.Conn, error) { closed.Add(1) }}, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn := dialTest(t, e.Addrs[0])
		<-opened
		stopped := make(chan struct{})
		go func() { e.Stop(); close(stopped) }()
		refused(t, e.Addrs[0])
		close(release)
		within(t, "stop", func() { <-stopped })
		ends(t, conn)
		if closed.Load() != known.Load() {
			t.Fatalf("%d ends told of %d connections", closed.Load(), known.Load())
		}
	}
}

// A dial in work does not hold up the stop, and is told its end once; what it connected meanwhile is closed.
func TestStoppedWhileDialling(t *testing.T) {
	far, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	for range 20 {
		e, err := Start(1, Handlers{})
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan error, 4)
		for range 2 {
			Dial(e, far.Addr().String(), 10*time.Second, nil, func(_ *nbio.Conn, err error) { told <- err })
		}
		within(t, "stop", e.Stop)
		for range 2 {
			<-told
		}
		Dial(e, far.Addr().String(), 10*time.Second, nil, func(_ *nbio.Conn, err error) { told <- err })
		if err := <-told; err == nil {
			t.Fatal("an engine that has stopped dials")
		}
		for range len(told) {
			t.Fatal("a dial is told twice")
		}
	}
	_ = far.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Millisecond))
	for { // every one that came up is closed
		conn, err := far.Accept()
		if err != nil {
			return
		}
		ends(t, conn)
		conn.Close()
	}
}

// watched gives the descriptors that some epoll of this process watches.
func watched(t *testing.T) (all []string) {
	t.Helper()
	infos, err := filepath.Glob("/proc/self/fdinfo/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range infos {
		text, _ := os.ReadFile(info)
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "tfd:" {
				all = append(all, f[1])
			}
		}
	}
	return all
}

// A connection that Open has ended gives its descriptor's number away, and somebody takes it at once: the poller does not watch what is
// behind that number now. It once did, found a connection there that was closed, and turned a core without reading.
func TestEndedInOpenAndItsNumberTaken(t *testing.T) {
	var e *Engine
	taken, started := make(chan []int, 1), make(chan struct{})
	e, err := Start(1, Handlers{Open: func(c *nbio.Conn) {
		<-started
		e.End(c)
		var fds []int
		for range 4 { // the number is among the next ones
			ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
			if err != nil {
				t.Error(err)
				break
			}
			fds = append(fds, ends[0], ends[1])
		}
		taken <- fds
	}}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	close(started)
	conn := dialTest(t, e.Addrs[0])
	fds := <-taken
	ends(t, conn)
	e.loops[0].settle()
	now := watched(t)
	for _, fd := range fds {
		if slices.Contains(now, fmt.Sprint(fd)) {
			t.Errorf("descriptor %d is watched, and is none of the engine's", fd)
		}
		_ = syscall.Close(fd)
	}
}

// An event that the poller gathered before its connection was closed does not end the one that has got the number since. The poller is
// held in the first of two events of one round; the second one's connection is closed, and another is given its number.
func TestAnOldEventEndsNoOther(t *testing.T) {
	hold, held := make(chan struct{}), make(chan string, 10)
	var mu sync.Mutex
	var conns []*nbio.Conn // as they were taken in
	e, err := Start(1, Handlers{Open: func(c *nbio.Conn) {
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
	}, Data: func(c *nbio.Conn, data []byte) {
		if held <- string(data); string(data) != "echo" {
			<-hold
		} else {
			_, _ = c.Write(data)
		}
	}}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	at := e.Addrs[0]
	port := at[strings.LastIndexByte(at, ':')+1:]
	var number int
	if _, err := fmt.Sscan(port, &number); err != nil {
		t.Fatal(err)
	}
	// Numbers are given from the lowest on: this one will be free for the connection as it is accepted, the closed one's for nbio's copy.
	hole, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	blocker, first, second := dialTest(t, at), dialTest(t, at), dialTest(t, at)
	within(t, "three connections", func() {
		for n := 0; n < 3; time.Sleep(time.Millisecond) {
			mu.Lock()
			n = len(conns)
			mu.Unlock()
		}
	})
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(socket)
	say := func(c net.Conn, word string) {
		if _, err := c.Write([]byte(word)); err != nil {
			t.Fatal(err)
		}
	}
	say(blocker, "block")
	<-held // the poller is in the blocker's event; these two come in one round after it
	say(first, "first")
	_ = second.(*net.TCPConn).SetLinger(0)
	second.Close() // a reset
	hold <- struct{}{}
	if got := <-held; got != "first" {
		t.Fatalf("%q", got)
	}
	mu.Lock()
	old := conns[2]
	mu.Unlock()
	for fd := 0; fd < old.Hash(); { // no other number below it is free
		if fd, err = syscall.Dup(0); err != nil {
			t.Fatal(err)
		}
		defer syscall.Close(fd)
	}
	_ = old.Close()
	_ = syscall.Close(hole)
	if err := syscall.Connect(socket, &syscall.SockaddrInet4{Port: number, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	// Whoever comes then got the number, as far as it was taken in at all while the poller is held.
	within(t, "accept", func() {
		for late := time.Now().Add(200 * time.Millisecond); time.Now().Before(late); time.Sleep(time.Millisecond) {
			mu.Lock()
			n := len(conns)
			mu.Unlock()
			if n == 4 {
				return
			}
		}
	})
	hold <- struct{}{}
	answer := make([]byte, 4)
	for range 2 { // the first one may be answered in the very round of the old event
		within(t, "answer", func() {
			if _, err := syscall.Write(socket, []byte("echo")); err != nil {
				t.Errorf("the new connection was ended: %v", err)
			} else if n, err := syscall.Read(socket, answer); n != 4 || err != nil {
				t.Errorf("the new connection was ended: %d bytes, %v", n, err)
			}
		})
	}
	mu.Lock()
	defer mu.Unlock()
	if n := len(conns); n != 4 || conns[3].Hash() != old.Hash() {
		t.Errorf("%d connections; the last one has descriptor %d, not %d", n, conns[3].Hash(), old.Hash())
	}
}

// An address that finds no descriptor waits without turning a core, and takes whoever waited once there is one.
func TestNoDescriptorLeft(t *testing.T) {
	opened := make(chan struct{}, 10)
	e, err := Start(1, Handlers{Open: func(*nbio.Conn) { opened <- struct{}{} }}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	sockets := []int{}
	for range 2 {
		s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer syscall.Close(s)
		sockets = append(sockets, s)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	low := limit
	low.Cur = uint64(sockets[0]) // every number below it is taken
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var full []int
	for {
		fd, err := syscall.Dup(0)
		if err != nil {
			break
		}
		full = append(full, fd)
	}
	var number int
	_, _ = fmt.Sscan(e.Addrs[0][strings.LastIndexByte(e.Addrs[0], ':')+1:], &number)
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	errs := []error{}
	for _, s := range sockets {
		errs = append(errs, syscall.Connect(s, &syscall.SockaddrInet4{Port: number, Addr: [4]byte{127, 0, 0, 1}}))
	}
	time.Sleep(300 * time.Millisecond) // what is measured is what it costs to wait
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	for _, fd := range full {
		_ = syscall.Close(fd)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if errs[0] != nil || errs[1] != nil {
		t.Fatal(errs)
	}
	within(t, "both are taken in", func() { <-opened; <-opened })
	if used := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()); used > 150*time.Millisecond {
		t.Errorf("waiting for a descriptor took %s of processor time in 300 ms", used)
	}
}

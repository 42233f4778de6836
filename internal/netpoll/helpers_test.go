package netpoll

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/goleak"
)

// waitTimeout is how long a test waits for an expected event before it fails.
const waitTimeout = 20 * time.Second

// echoAddressVariable is the environment variable that makes the test binary run as an echo server at that address, see
// TestInheritedSocketKeepsDialsBetweenProcesses.
const echoAddressVariable = "SOCKETS_ECHO_AT"

func TestMain(m *testing.M) {
	if address := os.Getenv(echoAddressVariable); address != "" {
		os.Exit(runEchoServer(address))
	}
	goleak.VerifyTestMain(m)
}

// runEchoServer runs an echo server until its parent closes its standard input.
func runEchoServer(address string) (exitStatus int) {
	echo := Handlers{Data: func(conn *nbio.Conn, data []byte) { _, _ = conn.Write(data) }}
	engine, err := Start(1, echo, address)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
	engine.Stop()
	return 0
}

// startEngine starts an engine with one poller that stops when the test ends.
func startEngine(t *testing.T, handlers Handlers, addresses ...string) *Engine {
	t.Helper()
	engine, err := Start(1, handlers, addresses...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	return engine
}

// runWithTimeout fails the test if a step takes longer than waitTimeout.
func runWithTimeout(t *testing.T, operation string, step func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		step()
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s: not finished within %s", operation, waitTimeout)
	}
}

// connect dials an address and closes the connection when the test ends.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send writes a word.
func send(t *testing.T, conn net.Conn, word string) {
	t.Helper()
	if _, err := conn.Write([]byte(word)); err != nil {
		t.Fatal(err)
	}
}

// waitForEnd waits until the other side has closed a connection.
func waitForEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	_, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the connection is still open at the deadline")
	}
}

// waitForRefusal waits until dials to an address are refused.
func waitForRefusal(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
		if time.Now().After(deadline) {
			t.Fatal("the address is still open at the deadline")
		}
	}
}

// port returns the port of an address.
func port(t *testing.T, address string) int {
	t.Helper()
	var number int
	if _, err := fmt.Sscan(address[strings.LastIndexByte(address, ':')+1:], &number); err != nil {
		t.Fatal(err)
	}
	return number
}

// duplicateDescriptor occupies the lowest free descriptor until the test ends.
func duplicateDescriptor(t *testing.T) int {
	t.Helper()
	descriptor, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	return descriptor
}

// unconnectedSocket returns the descriptor of a TCP socket that is closed when the test ends.
func unconnectedSocket(t *testing.T) int {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	return socket
}

// connectSocket connects a socket to a loopback port.
func connectSocket(socket, port int) error {
	return syscall.Connect(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
}

// connLog records connections in the order in which they were opened.
type connLog struct {
	mu    sync.Mutex
	conns []*nbio.Conn
}

func (l *connLog) add(conn *nbio.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
}

func (l *connLog) all() []*nbio.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*nbio.Conn(nil), l.conns...)
}

package netpoll

import (
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestInheritedSocketKeepsDialsBetweenProcesses: A dial between the end of one process and the start of the next waits
// in the socket that their parent keeps open, and the next process serves it. The address stays in use throughout, so a
// process without the inherited socket cannot listen there.
func TestInheritedSocketKeepsDialsBetweenProcesses(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	socket, err := listener.(*net.TCPListener).File()
	_ = listener.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	output, err := exec.Command("env", echoAddressVariable+"="+address, os.Args[0]).CombinedOutput()
	if err == nil || !strings.Contains(string(output), "in use") {
		t.Fatalf("a process without the socket: %v, want an address in use\n%s", err, output)
	}
	for range 3 {
		conn := connect(t, address) // no process serves the address
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		send(t, conn, "hello")
		expectEchoFromNewProcess(t, conn, address, socket)
	}
}

// expectEchoFromNewProcess starts an echo server that inherits the socket, and reads its answer to hello.
func expectEchoFromNewProcess(t *testing.T, conn net.Conn, address string, socket *os.File) {
	t.Helper()
	process := exec.Command("sh", "-c", `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0"`, os.Args[0])
	process.Env = append(os.Environ(), echoAddressVariable+"="+address)
	process.ExtraFiles = []*os.File{socket}
	input, err := process.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, len("hello"))
	_, readErr := io.ReadFull(conn, answer)
	_ = input.Close()
	exitErr := process.Wait()
	if readErr != nil || string(answer) != "hello" || exitErr != nil {
		t.Fatalf("answer %q, read error %v, exit error %v", answer, readErr, exitErr)
	}
}

// TestChildProcessDoesNotInheritConnections: A child process started while a connection is open does not keep it open:
// the server sees the connection's end when this process closes it.
func TestChildProcessDoesNotInheritConnections(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := startEngine(t, Handlers{Close: func(*nbio.Conn, error) { closed <- struct{}{} }}, "127.0.0.1:0")
	client := startEngine(t, Handlers{})
	dialed := make(chan *nbio.Conn, 1)
	Dial(client, server.Addrs[0], 5*time.Second, nil, func(conn *nbio.Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		dialed <- conn
	})
	conn := <-dialed
	child := exec.Command("sleep", "20")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	if conn == nil {
		return
	}
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the child process keeps the connection open")
	}
}

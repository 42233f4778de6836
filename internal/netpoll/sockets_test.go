package netpoll

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if address := os.Getenv("SOCKETS_ECHO_AT"); address != "" {
		e, err := Start(1, Handlers{Data: func(c *nbio.Conn, data []byte) { _, _ = c.Write(data) }}, address)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		_, _ = io.Copy(io.Discard, os.Stdin) // until whoever started it is done
		e.Stop()
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// A dial that falls between two processes waits in the socket that whoever starts them holds, and the next process serves it. The
// address is taken all the while, so a process that was not handed the socket is refused it.
func TestASocketOutlivesItsProcess(t *testing.T) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.Addr().String()
	held, err := socket.(*net.TCPListener).File()
	socket.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	if out, err := exec.Command("env", "SOCKETS_ECHO_AT="+address, os.Args[0]).CombinedOutput(); err == nil || !strings.Contains(string(out), "in use") {
		t.Fatalf("without the socket: %v\n%s", err, out)
	}
	for range 3 {
		conn, err := net.Dial("tcp", address) // nobody is there
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := conn.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		process := exec.Command("sh", "-c", `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0"`, os.Args[0])
		process.Env, process.ExtraFiles = append(os.Environ(), "SOCKETS_ECHO_AT="+address), []*os.File{held}
		stay, err := process.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := process.Start(); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 5)
		_, err = io.ReadFull(conn, answer)
		stay.Close()
		if ended := process.Wait(); err != nil || string(answer) != "hello" || ended != nil {
			t.Fatalf("%q, %v, %v", answer, err, ended)
		}
	}
}

// A child process started while a connection is open does not hold it: its end is seen when this side closes it.
func TestChildrenInheritNoConnection(t *testing.T) {
	closed := make(chan struct{}, 2)
	server, err := Start(1, Handlers{Close: func(*nbio.Conn, error) { closed <- struct{}{} }}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	client, err := Start(1, Handlers{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Stop()
	dialled := make(chan *nbio.Conn, 1)
	Dial(client, server.Addrs[0], 5*time.Second, nil, func(c *nbio.Conn, err error) {
		if err != nil {
			t.Error(err)
		}
		dialled <- c
	})
	c := <-dialled
	child := exec.Command("sleep", "20")
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	}()
	if c == nil {
		return
	}
	_ = c.Close()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the child keeps the connection open")
	}
}

// Any loopback address is reached, and a refusal is told as one.
func TestDial(t *testing.T) {
	server, err := Start(1, Handlers{}, "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := Start(1, Handlers{})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Stop()
	told := make(chan error, 1)
	done := func(_ *nbio.Conn, err error) { told <- err }
	Dial(client, server.Addrs[0], 5*time.Second, nil, done)
	if err := <-told; err != nil {
		t.Fatal(err)
	}
	server.Stop()
	Dial(client, server.Addrs[0], 5*time.Second, nil, done)
	if err := <-told; err == nil {
		t.Fatal("a refusal is told as a connection")
	}
}

// An engine is stopped in the moment that it was started, over and over, while every core has other work: each ends.
func TestStoppedAtOnce(t *testing.T) {
	busy := make(chan struct{})
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for {
				select {
				case <-busy:
					return
				default:
				}
			}
		}()
	}
	defer close(busy)
	done := make(chan error, 1)
	go func() {
		for n := range 30 {
			e, err := Start(1+n%3, Handlers{}, "127.0.0.1:0")
			if err != nil {
				done <- err
				return
			}
			e.Stop()
		}
		done <- nil
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(60 * time.Second):
		t.Fatal("an engine does not stop")
	}
}

// A process whose descriptors are taken without a gap gives each pair of ours an even number, or each an odd one: an engine of
// several pollers starts all the same. It once took every descriptor that there was, and failed.
func TestStartedWithoutGaps(t *testing.T) {
	highest := func() (most int) {
		open, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range open {
			if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > most {
				most = fd
			}
		}
		return most
	}
	last := highest()
	for fd := 0; fd <= last+1; { // the second round starts one number later
		var err error
		if fd, err = syscall.Dup(0); err != nil {
			t.Fatal(err)
		}
		defer syscall.Close(fd)
	}
	for pollers := 1; pollers <= 5; pollers++ {
		for range 2 {
			before := highest()
			e, err := Start(pollers, Handlers{})
			if err != nil {
				t.Fatalf("%d pollers: %v", pollers, err)
			}
			if after := highest(); after > before+100 {
				t.Errorf("%d pollers: descriptors up to %d, %d before", pollers, after, before)
			}
			e.Stop()
			fd, err := syscall.Dup(0)
			if err != nil {
				t.Fatal(err)
			}
			defer syscall.Close(fd)
		}
	}
}

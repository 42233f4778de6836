package sockets

import (
	"os/exec"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

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

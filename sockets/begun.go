package sockets

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// An engine of nbio 1.6.8 that is stopped before its goroutines have begun never stops: each of them clears the word to end as
// it begins. Seen: a governor ended in the moment that it served hung, and turned a core. So Start returns only once each has begun:
// an acceptor with its first Accept, a poller with the first byte that comes over a connection of its own.

// begunIn is far longer than a goroutine waits for its turn on a machine that does anything at all.
const begunIn = 30 * time.Second

// listener hands nbio connections that own has made, and tells that its acceptor has begun.
type listener struct {
	net.Listener
	once  sync.Once
	begun chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	l.once.Do(func() { close(l.begun) })
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, err := own(conn); err == nil {
			return c, nil
		}
	}
}

// probe marks a connection that only shows that its poller has begun.
type probe struct {
	once  sync.Once
	begun chan struct{}
}

// awaitBegun waits for every goroutine of an engine that was started.
func awaitBegun(e *nbio.Engine, pollers int, listeners []*listener) error {
	late := time.After(begunIn)
	for _, l := range listeners {
		select {
		case <-l.begun:
		case <-late:
			return fmt.Errorf("sockets: an acceptor has not begun within %s", begunIn)
		}
	}
	met := map[int]bool{} // pollers, which have connections by their descriptor's number
	for len(met) < pollers {
		c, far, err := pair()
		if err != nil {
			return err
		}
		defer c.Close()
		defer syscall.Close(far)
		if met[c.Hash()%pollers] {
			continue // both ends stay open, so the next one has another number
		}
		met[c.Hash()%pollers] = true
		p := &probe{begun: make(chan struct{})}
		c.SetSession(p)
		if _, err := e.AddConn(c); err != nil {
			return err
		}
		if _, err := syscall.Write(far, []byte{1}); err != nil {
			return err
		}
		select {
		case <-p.begun:
		case <-late:
			return fmt.Errorf("sockets: a poller has not begun within %s", begunIn)
		}
	}
	return nil
}

// pair makes a connection whose far end is a plain descriptor.
func pair() (c *nbio.Conn, far int, err error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(ends[0]), "probe")
	conn, err := net.FileConn(file)
	file.Close()
	if err == nil {
		c, err = own(conn)
	}
	if err != nil {
		syscall.Close(ends[1])
		return nil, 0, err
	}
	return c, ends[1], nil
}

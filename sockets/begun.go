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
	for poller := range pollers {
		c, far, err := pair(poller, pollers)
		if err != nil {
			return err
		}
		defer c.Close()
		defer syscall.Close(far)
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

// pairTries bounds the tries at a descriptor's number while other goroutines take some too; each lost one needs such a taking in
// the same moment.
const pairTries = 1000

// pair makes a connection of the given poller, whose far end is a plain descriptor. A poller has the connections whose descriptor,
// over the number of pollers, leaves its own number, so the lowest free descriptors are filled up to one that does. Left to chance,
// pairs fall on every second descriptor, and met every second poller only until the process had no descriptor left.
func pair(poller, pollers int) (c *nbio.Conn, far int, err error) {
	for range pairTries {
		if c, far, err = someConn(poller, pollers); err != nil || c.Hash()%pollers == poller {
			return c, far, err
		}
		_ = c.Close()
		_ = syscall.Close(far)
	}
	return nil, 0, fmt.Errorf("sockets: no connection for poller %d of %d in %d tries", poller, pollers, pairTries)
}

// someConn makes a connection for the given poller unless the number is taken meanwhile.
func someConn(poller, pollers int) (c *nbio.Conn, far int, err error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, 0, err
	}
	file := os.NewFile(uintptr(ends[0]), "probe")
	conn, err := net.FileConn(file)
	file.Close()
	if err == nil {
		err = fill(ends[1], poller, pollers, func() (err error) { c, err = own(conn); return err })
	}
	if err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		_ = syscall.Close(ends[1])
		return nil, 0, err
	}
	return c, ends[1], nil
}

// fill calls then while the lowest free descriptor is one of the poller's.
func fill(of, poller, pollers int, then func() error) error {
	for {
		fd, _, no := syscall.Syscall(syscall.SYS_FCNTL, uintptr(of), syscall.F_DUPFD_CLOEXEC, 0)
		if no != 0 {
			return no
		}
		if int(fd)%pollers == poller {
			_ = syscall.Close(int(fd))
			return then()
		}
		defer syscall.Close(int(fd))
	}
}

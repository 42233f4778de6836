package netpoll

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
)

// loop hands work to one poller's goroutine, between two of its reads. It is a connection of the poller's own: a byte at its far end
// is read in the poller's next round, and what was posted before that byte runs there.
//
// Work runs one round after the one that learns of it. A round's events were gathered before it; some of them may be of descriptors
// that have been closed since, and nbio knows a connection by its descriptor's number alone. Whoever is added in a round that began
// after it was accepted can not be taken for such a one.
type loop struct {
	mu     sync.Mutex
	posted []func() // not known to the poller yet
	ready  []func() // run in the poller's next round
	over   bool
	conn   *nbio.Conn
	far    int
}

// post has f run on the poller's goroutine; false once the loop has ended: f then never runs.
func (l *loop) post(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return false
	}
	first := len(l.posted)+len(l.ready) == 0
	if l.posted = append(l.posted, f); first {
		l.wake()
	}
	return true
}

// wake writes the one byte that is under way while there is work; l.mu is held.
func (l *loop) wake() { _, _ = syscall.Write(l.far, []byte{1}) }

// round runs what the round before has learnt of.
func (l *loop) round() {
	l.mu.Lock()
	run := l.ready
	if l.ready, l.posted = l.posted, nil; len(l.ready) > 0 {
		l.wake()
	}
	l.mu.Unlock()
	for _, f := range run {
		f()
	}
}

// settle waits until all that was posted before has run.
func (l *loop) settle() {
	done := make(chan struct{})
	if l.post(func() { close(done) }) {
		<-done
	}
}

// end takes no more work; the poller has ended.
func (l *loop) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.over = true
		_ = syscall.Close(l.far)
	}
}

// newLoop makes the loop of one poller; it works once its connection has been added.
func newLoop(poller, pollers int) (*loop, error) {
	c, far, err := pair(poller, pollers)
	if err != nil {
		return nil, err
	}
	l := &loop{conn: c, far: far}
	c.SetSession(l)
	return l, nil
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
	file := os.NewFile(uintptr(ends[0]), "loop")
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

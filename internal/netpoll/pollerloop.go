package netpoll

import (
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
)

// pollerLoop runs tasks on one poller's goroutine, between two of its reads. It is a connection of the poller's own:
// a byte at its far end is read in the poller's next round, and what was posted before that byte runs there.
//
// A task runs one round after the one that learns of it. The events of a round were gathered before it; some of them
// may be of descriptors that have been closed since, and nbio knows a connection by its descriptor's number alone. A
// connection that is added in a round which began after it was accepted cannot be taken for such a one.
type pollerLoop struct {
	conn          *nbio.Conn
	farDescriptor int

	mu     sync.Mutex
	posted []func() // the poller has not learnt of them yet
	ready  []func() // run in the poller's next round
	closed bool
}

// newPollerLoop makes the loop of one poller; it works once its connection has been added.
func newPollerLoop(poller, pollers int) (*pollerLoop, error) {
	conn, farDescriptor, err := newPollerConn(poller, pollers)
	if err != nil {
		return nil, err
	}
	loop := &pollerLoop{conn: conn, farDescriptor: farDescriptor}
	conn.SetSession(loop)
	return loop, nil
}

// loopOf is the loop that a connection belongs to; nil for any other connection.
func loopOf(conn *nbio.Conn) *pollerLoop {
	loop, _ := conn.Session().(*pollerLoop)
	return loop
}

// post has a task run on the poller's goroutine; false once the loop is closed: the task then never runs.
func (l *pollerLoop) post(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	wasIdle := len(l.posted)+len(l.ready) == 0
	l.posted = append(l.posted, task)
	if wasIdle {
		l.wake()
	}
	return true
}

// wake writes the one byte that is in transit while there are tasks; l.mu is held.
func (l *pollerLoop) wake() { _, _ = syscall.Write(l.farDescriptor, []byte{1}) }

// runRound runs what the round before has learnt of.
func (l *pollerLoop) runRound() {
	l.mu.Lock()
	tasks := l.ready
	l.ready = l.posted
	l.posted = nil
	if len(l.ready) > 0 {
		l.wake()
	}
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// waitUntilDone waits until all that was posted before has run.
func (l *pollerLoop) waitUntilDone() {
	done := make(chan struct{})
	if l.post(func() { close(done) }) {
		<-done
	}
}

// close takes no more tasks; the poller has ended.
func (l *pollerLoop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		_ = syscall.Close(l.farDescriptor)
	}
}

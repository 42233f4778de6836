package netpoll

import (
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
)

// pollerLoop runs tasks on one poller's goroutine, between two of its reads. It uses a socket pair with one end
// registered at the poller: a byte written to the far end makes the poller call runReadyTasks in its next round.
//
// A task runs one round after the round that first sees it. The events of a round are collected before the round
// begins. Some of them may belong to descriptors that were closed since then, and nbio identifies a connection only by
// its descriptor's number. A connection that is added in a round which began after it was accepted cannot receive such
// stale events.
type pollerLoop struct {
	conn          *nbio.Conn
	farDescriptor int

	mu        sync.Mutex
	scheduled []func() // not yet seen by the poller
	ready     []func() // run in the poller's next round
	closed    bool
}

// newPollerLoop creates the loop of one poller; it runs tasks once its connection has been added.
func newPollerLoop(poller, pollers int) (*pollerLoop, error) {
	conn, farDescriptor, err := newPollerConn(poller, pollers)
	if err != nil {
		return nil, err
	}
	loop := &pollerLoop{conn: conn, farDescriptor: farDescriptor}
	conn.SetSession(loop)
	return loop, nil
}

// loopOf returns the loop that a connection belongs to; nil for any other connection.
func loopOf(conn *nbio.Conn) *pollerLoop {
	loop, _ := conn.Session().(*pollerLoop)
	return loop
}

// schedule schedules a task on the poller's goroutine. It returns false once the loop is closed; the task then never
// runs.
func (l *pollerLoop) schedule(task func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	wasIdle := len(l.scheduled)+len(l.ready) == 0
	l.scheduled = append(l.scheduled, task)
	if wasIdle {
		l.wake()
	}
	return true
}

// wake writes one byte to the far end. One byte is in transit as long as there are tasks. l.mu is held.
func (l *pollerLoop) wake() { _, _ = syscall.Write(l.farDescriptor, []byte{1}) }

// runReadyTasks runs the tasks that the previous round has seen.
func (l *pollerLoop) runReadyTasks() {
	l.mu.Lock()
	tasks := l.ready
	l.ready = l.scheduled
	l.scheduled = nil
	if len(l.ready) > 0 {
		l.wake()
	}
	l.mu.Unlock()
	for _, task := range tasks {
		task()
	}
}

// waitForScheduledTasks waits until all tasks that were scheduled before the call have run.
func (l *pollerLoop) waitForScheduledTasks() {
	done := make(chan struct{})
	if l.schedule(func() { close(done) }) {
		<-done
	}
}

// close rejects further tasks and closes the far end; the poller has ended.
func (l *pollerLoop) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		_ = syscall.Close(l.farDescriptor)
	}
}

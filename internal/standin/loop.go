package standin

import (
	"container/heap"
	"sync"
	"time"

	"peppervale/internal/model"
)

// Loop runs posted functions and due timers on one goroutine. Make it with NewLoop, end it with Stop.
type Loop struct {
	now        func() model.Microseconds
	wake       chan struct{}
	stop       chan struct{}
	ended      chan struct{}
	timers     timerQueue // of the loop's goroutine
	timerCount uint64     // timers made so far; it orders timers that are due at the same time

	mu     sync.Mutex
	posted []func()
}

// NewLoop starts a loop whose timers follow the clock now.
func NewLoop(now func() model.Microseconds) *Loop {
	l := &Loop{
		now:   now,
		wake:  make(chan struct{}, 1),
		stop:  make(chan struct{}),
		ended: make(chan struct{}),
	}
	go l.run()
	return l
}

// Now is the loop's clock.
func (l *Loop) Now() model.Microseconds { return l.now() }

// Post has the loop run an action. It may be called from any goroutine.
func (l *Loop) Post(action func()) {
	l.mu.Lock()
	l.posted = append(l.posted, action)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do has the loop run an action and waits for it. It must not be called on the loop. It returns early if the loop was
// stopped.
func (l *Loop) Do(action func()) {
	ready := make(chan struct{})
	l.Post(func() {
		action()
		close(ready)
	})
	select {
	case <-ready:
	case <-l.ended:
	}
}

// Timer is an action that is due at a time; Cancel keeps it from running.
type Timer struct {
	at       model.Microseconds
	sequence uint64
	action   func()
}

// Cancel must be called on the loop; nil is allowed.
func (t *Timer) Cancel() {
	if t != nil {
		t.action = nil
	}
}

// After runs an action after a delay. It must be called on the loop.
func (l *Loop) After(delay model.Microseconds, action func()) *Timer {
	return l.At(l.now()+delay, action)
}

// At runs an action at a time. It must be called on the loop.
func (l *Loop) At(at model.Microseconds, action func()) *Timer {
	l.timerCount++
	timer := &Timer{at: at, sequence: l.timerCount, action: action}
	heap.Push(&l.timers, timer)
	return timer
}

// Stop ends the loop and waits for it; what is due or posted later does not run.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.ended
}

func (l *Loop) run() {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.runPosted()
		l.runDue()
		timer.Reset(l.untilNext())
		select {
		case <-l.stop:
			return
		case <-l.wake:
		case <-timer.C:
		}
	}
}

func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, action := range posted {
		action()
	}
}

// runDue runs the timers that are due now; those that become due meanwhile wait for the next round.
func (l *Loop) runDue() {
	now := l.now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		if t := heap.Pop(&l.timers).(*Timer); t.action != nil {
			t.action()
		}
	}
}

// untilNext is the time to the next timer.
func (l *Loop) untilNext() time.Duration {
	if len(l.timers) == 0 {
		return time.Hour
	}
	return max(0, time.Duration(l.timers[0].at-l.now())*time.Microsecond)
}

// timerQueue is a heap of timers by time, those of the same time in the order in which they were made.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for package heap.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(*Timer)) }

// Pop is for package heap.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

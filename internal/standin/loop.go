package standin

import (
	"container/heap"
	"sync"
	"time"

	"peppervale/internal/model"
)

// Loop runs posted functions and due timers on one goroutine. Create it with NewLoop and end it with Stop.
type Loop struct {
	now        func() model.Microseconds
	wake       chan struct{}
	stop       chan struct{}
	stopped    chan struct{}
	timers     timerQueue // used on the loop's goroutine only
	timerCount uint64     // timers created so far; it orders timers that are due at the same time

	mu     sync.Mutex
	posted []func()
}

// NewLoop starts a loop whose timers use the clock now.
func NewLoop(now func() model.Microseconds) *Loop {
	l := &Loop{
		now:     now,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go l.run()
	return l
}

// Now returns the time of the loop's clock.
func (l *Loop) Now() model.Microseconds { return l.now() }

// Post queues an action for the loop. It may be called from any goroutine.
func (l *Loop) Post(action func()) {
	l.mu.Lock()
	l.posted = append(l.posted, action)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do queues an action for the loop and waits until it has run or the loop has stopped. It must not be called on the
// loop.
func (l *Loop) Do(action func()) {
	done := make(chan struct{})
	l.Post(func() {
		action()
		close(done)
	})
	select {
	case <-done:
	case <-l.stopped:
	}
}

// Timer is an action that is due at a given time.
type Timer struct {
	dueAt    model.Microseconds
	sequence uint64
	action   func()
}

// Cancel keeps the timer's action from running. It must be called on the loop; a nil timer is allowed.
func (t *Timer) Cancel() {
	if t != nil {
		t.action = nil
	}
}

// After schedules an action after a delay. It must be called on the loop.
func (l *Loop) After(delay model.Microseconds, action func()) *Timer {
	return l.At(l.now()+delay, action)
}

// At schedules an action at a given time. It must be called on the loop.
func (l *Loop) At(at model.Microseconds, action func()) *Timer {
	l.timerCount++
	timer := &Timer{dueAt: at, sequence: l.timerCount, action: action}
	heap.Push(&l.timers, timer)
	return timer
}

// Stop ends the loop and waits until its goroutine has ended. Actions that are due or posted later do not run.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.stopped
}

func (l *Loop) run() {
	defer close(l.stopped)
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

// runDue runs the timers that are due now. Timers that become due while it runs wait for the next call.
func (l *Loop) runDue() {
	now := l.now()
	for len(l.timers) > 0 && l.timers[0].dueAt <= now {
		if t := heap.Pop(&l.timers).(*Timer); t.action != nil {
			t.action()
		}
	}
}

// untilNext returns the time to the next timer, or an hour if there is none.
func (l *Loop) untilNext() time.Duration {
	if len(l.timers) == 0 {
		return time.Hour
	}
	return max(0, time.Duration(l.timers[0].dueAt-l.now())*time.Microsecond)
}

// timerQueue is a heap of timers, ordered by due time and then by creation.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].dueAt != q[j].dueAt {
		return q[i].dueAt < q[j].dueAt
	}
	return q[i].sequence < q[j].sequence
}

func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(*Timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	queue := *q
	last := queue[len(queue)-1]
	*q = queue[:len(queue)-1]
	return last
}

package standin

import (
	"container/heap"
	"sync"
	"time"

	"peppervale/internal/model"
)

// Loop runs posted functions and due timers on one goroutine. Make it with NewLoop, end it with Stop.
type Loop struct {
	now    func() model.Microseconds
	wake   chan struct{}
	stop   chan struct{}
	ended  chan struct{}
	timers timerQueue // of the loop's goroutine
	made   uint64     // timers, which orders those of one time

	mu     sync.Mutex
	posted []func()
}

// NewLoop starts a loop that goes by a clock.
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

// Post has the loop run f. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do has the loop run f and waits for it. It must not be called on the loop. It returns early if the loop was stopped.
func (l *Loop) Do(f func()) {
	ready := make(chan struct{})
	l.Post(func() {
		f()
		close(ready)
	})
	select {
	case <-ready:
	case <-l.ended:
	}
}

// Timer is a function that is due at a time; Cancel keeps it from running.
type Timer struct {
	at     model.Microseconds
	number uint64
	do     func()
}

// Cancel must be called on the loop; nil is allowed.
func (t *Timer) Cancel() {
	if t != nil {
		t.do = nil
	}
}

// After runs f after a span. It must be called on the loop.
func (l *Loop) After(span model.Microseconds, f func()) *Timer { return l.At(l.now()+span, f) }

// At runs f at a time. It must be called on the loop.
func (l *Loop) At(at model.Microseconds, f func()) *Timer {
	l.made++
	t := &Timer{at: at, number: l.made, do: f}
	heap.Push(&l.timers, t)
	return t
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
	for _, f := range posted {
		f()
	}
}

// runDue runs the timers that are due now; those that become due meanwhile wait for the next round.
func (l *Loop) runDue() {
	now := l.now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		if t := heap.Pop(&l.timers).(*Timer); t.do != nil {
			t.do()
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

// timerQueue is a heap of timers by time, those of one time in the order in which they were made.
type timerQueue []*Timer

func (q timerQueue) Len() int { return len(q) }

func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
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

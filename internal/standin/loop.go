// Package stand holds what stand-ins share: a loop that runs all of a day's stand-ins one step at a time, so that
// none of them needs a lock, and a day's facts have one order.
package standin

import (
	"container/heap"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"peppervale/internal/model"
)

// Loop runs posted functions and due timers on one goroutine. Make it with NewLoop, end it with Stop.
type Loop struct {
	now   func() model.Microseconds
	mu    sync.Mutex
	posts []func()
	wake  chan struct{}
	done  chan struct{}
	ended chan struct{}
	due   timers // of the loop's goroutine
	made  uint64
}

// NewLoop starts a loop by this clock.
func NewLoop(now func() model.Microseconds) *Loop {
	l := &Loop{now: now, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Now is the clock.
func (l *Loop) Now() model.Microseconds { return l.now() }

// Post has the loop run f; from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posts = append(l.posts, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Do has the loop run f and waits for it; not from the loop itself. It returns early if the loop was stopped.
func (l *Loop) Do(f func()) {
	ready := make(chan struct{})
	l.Post(func() { f(); close(ready) })
	select {
	case <-ready:
	case <-l.ended:
	}
}

// Timer is a function that is due; Cancel keeps it from running.
type Timer struct {
	at     model.Microseconds
	number uint64
	do     func()
}

// Cancel is to be called on the loop; nil is allowed.
func (t *Timer) Cancel() {
	if t != nil {
		t.do = nil
	}
}

// After runs f in so long; on the loop only.
func (l *Loop) After(span model.Microseconds, f func()) *Timer { return l.At(l.now()+span, f) }

// At runs f at a time; on the loop only.
func (l *Loop) At(at model.Microseconds, f func()) *Timer {
	l.made++
	t := &Timer{at: at, number: l.made, do: f}
	heap.Push(&l.due, t)
	return t
}

// Stop ends the loop and waits for it; what is due or posted later does not run.
func (l *Loop) Stop() {
	close(l.done)
	<-l.ended
}

func (l *Loop) run() {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.mu.Lock()
		posts := l.posts
		l.posts = nil
		l.mu.Unlock()
		for _, f := range posts {
			f()
		}
		for now := l.now(); len(l.due) > 0 && l.due[0].at <= now; {
			if t := heap.Pop(&l.due).(*Timer); t.do != nil {
				t.do()
			}
		}
		pause := time.Hour
		if len(l.due) > 0 {
			pause = max(0, time.Duration(l.due[0].at-l.now())*time.Microsecond)
		}
		timer.Reset(pause)
		select {
		case <-l.done:
			return
		case <-l.wake:
		case <-timer.C:
		}
	}
}

type timers []*Timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].number < t[j].number
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(*Timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// Chance draws from a seed, a name and a counter, so that one stand-in's draws do not move another's.
type Chance struct {
	base uint64
	n    uint64
}

// NewChance is a stream of its own for the name.
func NewChance(seed uint64, name string) *Chance {
	h := fnv.New64a()
	h.Write([]byte(name))
	return &Chance{base: h.Sum64() ^ seed*0x9e3779b97f4a7c15}
}

// Float draws from 0 up to 1.
func (c *Chance) Float() float64 {
	c.n++
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(c.base>>(8*i)), byte(c.n>>(8*i))
	}
	h := fnv.New64a()
	h.Write(b[:])
	x := h.Sum64()
	x ^= x >> 33 // the low bits of FNV reach the high ones badly
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// Below draws a whole number from 0 up to n.
func (c *Chance) Below(n int) int { return int(c.Float() * float64(n)) }

// Between draws evenly.
func (c *Chance) Between(a, b float64) float64 { return a + (b-a)*c.Float() }

// Wait draws the time to the next of events that come at a rate, in seconds.
func (c *Chance) Wait(rate float64) float64 { return -math.Log(1-c.Float()) / rate }

// Spread draws a lognormal factor of mean 1 with this coefficient of variation.
func (c *Chance) Spread(cv float64) float64 {
	s := math.Sqrt(math.Log(1 + cv*cv))
	normal := math.Sqrt(-2*math.Log(1-c.Float())) * math.Cos(2*math.Pi*c.Float())
	return math.Exp(s*normal - s*s/2)
}

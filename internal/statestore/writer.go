package statestore

import (
	"sync"
	"time"

	"peppervale/internal/model"
)

// Writer puts things down behind those who decide: nobody waits for the disk, and a disk that is slow or full costs memory only
// up to a bound. Of the list and of what was published the newest counts; causes queue, and the oldest beyond the bound are
// left out and counted.
//
//	state    event               next state  effect
//	idle     something came      gathering   wait for gather
//	gathering  time is up        writing     put down all that came
//	writing  done                idle        tell, if it had failed before
//	writing  failed              waiting     keep what was to be written unless newer came; tell once
//	waiting  time is up          writing     twice as long a wait next, up to waitMost
type Writer struct {
	folder  *Store
	tell    func(err error, leftOut uint64) // nil error: works again
	wake    chan struct{}
	end     chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending Change
	leftOut uint64
}

// gather is how long changes are put down together: a sync takes some milliseconds, and a restart that lacks the last
// quarter of a second of causes has lost little. waitFirst and waitMost bound the tries on a disk that fails.
const (
	gather      = 250 * time.Millisecond
	waitFirst   = time.Second
	waitMost    = 30 * time.Second
	pendingMost = 4096
)

// NewWriter starts one; tell is called from its own goroutine when writing fails and when it works again.
func NewWriter(f *Store, tell func(err error, leftOut uint64)) *Writer {
	w := &Writer{folder: f, tell: tell, wake: make(chan struct{}, 1), end: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// SetEndpoints puts a whole list down.
func (w *Writer) SetEndpoints(entries []model.Endpoint) {
	if entries == nil {
		entries = []model.Endpoint{}
	}
	w.add(func(c *Change) { c.Endpoints = entries })
}

// SetPublished puts down what stands published.
func (w *Writer) SetPublished(body []byte) { w.add(func(c *Change) { c.Published = body }) }

// AddDecision puts an entry of the journal down.
func (w *Writer) AddDecision(r Record) {
	w.add(func(c *Change) { c.Decisions = append(c.Decisions, r) })
}

// Dropped counts the causes that no room was left for.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leftOut
}

// Close puts down what is left, with one try, and ends. It does not close the folder.
func (w *Writer) Close() {
	close(w.end)
	<-w.stopped
}

func (w *Writer) add(put func(*Change)) {
	w.mu.Lock()
	put(&w.pending)
	w.trim()
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) trim() {
	if over := len(w.pending.Decisions) - pendingMost; over > 0 {
		w.leftOut += uint64(over)
		w.pending.Decisions = append([]Record(nil), w.pending.Decisions[over:]...)
	}
}

func (w *Writer) run() {
	defer close(w.stopped)
	var failed bool
	wait := waitFirst
	for {
		select {
		case <-w.wake:
		case <-w.end:
			w.flush()
			return
		}
		pause := gather
		if failed {
			pause = wait
		}
		select {
		case <-time.After(pause):
		case <-w.end:
			w.flush()
			return
		}
		err := w.flush()
		switch {
		case err != nil && failed:
			wait = min(2*wait, waitMost)
		case err != nil:
			failed, wait = true, waitFirst
			w.tell(err, w.Dropped())
		case failed:
			failed = false
			w.tell(nil, w.Dropped())
		}
	}
}

// flush writes what is pending; what could not be written is pending again, unless newer came meanwhile.
func (w *Writer) flush() error {
	w.mu.Lock()
	c := w.pending
	w.pending = Change{}
	w.mu.Unlock()
	if c.Endpoints == nil && c.Published == nil && len(c.Decisions) == 0 {
		return nil
	}
	err := w.folder.Write(&c)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		return nil
	}
	if w.pending.Endpoints == nil {
		w.pending.Endpoints = c.Endpoints
	}
	if w.pending.Published == nil {
		w.pending.Published = c.Published
	}
	w.pending.Decisions = append(c.Decisions, w.pending.Decisions...)
	w.trim()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return err
}

package statestore

import (
	"sync"
	"time"

	"peppervale/internal/model"
)

const (
	// batchDelay is how long changes are gathered into one write: a sync takes some milliseconds, and a restart that lacks
	// the last quarter of a second of decisions has lost little.
	batchDelay = 250 * time.Millisecond

	// initialRetryDelay and maxRetryDelay bound the delay between attempts on a disk that fails.
	initialRetryDelay = time.Second
	maxRetryDelay     = 30 * time.Second

	// maxPendingDecisions bounds the decisions that wait in memory.
	maxPendingDecisions = 4096
)

// Writer stores changes in the background: its callers never wait for the disk, and a slow or full disk costs memory
// only up to a limit. Of the endpoint list and the published tables only the newest is kept; decisions queue, and the
// oldest beyond the limit are dropped and counted.
//
//	state     event             next state  effect
//	idle      a change arrives  gathering   wait for batchDelay
//	gathering delay is over     writing     write everything pending
//	writing   success           idle        report recovery if the write before failed
//	writing   failure           waiting     keep the change unless a newer one replaces it; report the first failure
//	waiting   delay is over     writing     double the next delay, up to maxRetryDelay
type Writer struct {
	store   *Store
	report  func(err error, dropped uint64)
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	pending Change
	dropped uint64
}

// NewWriter starts a writer to an open store. report is called from the writer's goroutine with the error when writing
// starts to fail, and with nil when it works again; dropped is the number of decisions dropped so far.
func NewWriter(store *Store, report func(err error, dropped uint64)) *Writer {
	w := &Writer{
		store:   store,
		report:  report,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// SetEndpoints stores a complete endpoint list. The writer owns the slice from then on.
func (w *Writer) SetEndpoints(endpoints []model.Endpoint) {
	if endpoints == nil {
		endpoints = []model.Endpoint{}
	}
	w.add(func(pending *Change) { pending.Endpoints = endpoints })
}

// SetPublished stores the published tables. The writer owns the slice from then on.
func (w *Writer) SetPublished(body []byte) {
	w.add(func(pending *Change) { pending.Published = body })
}

// AddDecision stores an entry of the decision log. The writer owns its body from then on.
func (w *Writer) AddDecision(record DecisionRecord) {
	w.add(func(pending *Change) { pending.Decisions = append(pending.Decisions, record) })
}

// Dropped is the number of decisions that were dropped because too many were pending.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is pending, in one attempt, and ends the writer. It does not close the store.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

func (w *Writer) add(update func(pending *Change)) {
	w.mu.Lock()
	update(&w.pending)
	w.dropOldest()
	w.mu.Unlock()
	w.signal()
}

// signal wakes the goroutine to write what is pending; it does not wait.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// dropOldest keeps the pending decisions within their limit; the caller holds the lock.
func (w *Writer) dropOldest() {
	excess := len(w.pending.Decisions) - maxPendingDecisions
	if excess <= 0 {
		return
	}
	w.dropped += uint64(excess)
	w.pending.Decisions = append([]DecisionRecord(nil), w.pending.Decisions[excess:]...)
}

func (w *Writer) run() {
	defer close(w.stopped)
	failing := false
	retryDelay := initialRetryDelay
	for {
		delay := batchDelay
		if failing {
			delay = retryDelay
		}
		if !w.waitForWork(delay) {
			_ = w.flush() // the writer ends: a failure is not reported any more
			return
		}
		err := w.flush()
		switch {
		case err != nil && failing:
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err != nil:
			failing = true
			retryDelay = initialRetryDelay
			w.report(err, w.Dropped())
		case failing:
			failing = false
			w.report(nil, w.Dropped())
		}
	}
}

// waitForWork waits until something is pending and the delay after that is over. It returns false if the writer is
// closed meanwhile.
func (w *Writer) waitForWork(delay time.Duration) bool {
	select {
	case <-w.wake:
	case <-w.stop:
		return false
	}
	select {
	case <-time.After(delay):
		return true
	case <-w.stop:
		return false
	}
}

// flush writes what is pending; what could not be written becomes pending again, unless something newer replaced it.
func (w *Writer) flush() error {
	w.mu.Lock()
	change := w.pending
	w.pending = Change{}
	w.mu.Unlock()
	if change.isEmpty() {
		return nil
	}
	err := w.store.Write(&change)
	if err != nil {
		w.restore(&change)
		w.signal()
	}
	return err
}

// restore makes a change pending again that could not be written.
func (w *Writer) restore(failed *Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Endpoints == nil {
		w.pending.Endpoints = failed.Endpoints
	}
	if w.pending.Published == nil {
		w.pending.Published = failed.Published
	}
	w.pending.Decisions = append(failed.Decisions, w.pending.Decisions...)
	w.dropOldest()
}

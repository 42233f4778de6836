package statestore

import (
	"sync"
	"time"

	"peppervale/internal/model"
)

const (
	// batchDelay is how long changes are collected into one write. A sync takes some milliseconds, and losing the last
	// quarter of a second of decisions in a restart is acceptable.
	batchDelay = 250 * time.Millisecond

	// initialRetryDelay and maxRetryDelay limit the delay between write attempts while the disk fails.
	initialRetryDelay = time.Second
	maxRetryDelay     = 30 * time.Second

	// maxPendingDecisions limits the decisions that are queued in memory.
	maxPendingDecisions = 4096
)

// Writer stores changes in the background. Its callers never wait for the disk, and a slow or full disk uses a limited
// amount of memory. Only the newest endpoint list and the newest published tables are pending; decisions are queued,
// and the oldest ones beyond the limit are dropped and counted.
//
//	state     event             next state  effect
//	idle      a change arrives  gathering   start batchDelay
//	gathering delay expires     writing     write all pending changes
//	writing   success           idle        report recovery if the previous write failed
//	writing   failure           waiting     keep the change unless a newer one replaces it; report the first failure
//	waiting   delay expires     writing     double the next delay, up to maxRetryDelay
type Writer struct {
	store   *Store
	report  func(err error, dropped uint64)
	wake    chan struct{}
	stop    chan struct{}
	stopped chan struct{}

	mu               sync.Mutex
	pending          Change
	droppedDecisions uint64
}

// NewWriter starts a writer for an open store. The writer's goroutine calls report with the error when writes start to
// fail, and with nil when they succeed again; dropped is the number of decisions dropped so far.
func NewWriter(store *Store, report func(err error, droppedDecisions uint64)) *Writer {
	w := &Writer{
		store:   store,
		report:  report,
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go w.writeLoop()
	return w
}

// SetIncarnation stores a higher incarnation than that of the start, which the next start exceeds.
func (w *Writer) SetIncarnation(incarnation uint64) {
	w.enqueue(func(pending *Change) { pending.Incarnation = max(pending.Incarnation, incarnation) })
}

// SetEndpoints stores a complete endpoint list. The writer takes ownership of the slice.
func (w *Writer) SetEndpoints(endpoints []model.Endpoint) {
	if endpoints == nil {
		endpoints = []model.Endpoint{}
	}
	w.enqueue(func(pending *Change) { pending.Endpoints = endpoints })
}

// SetPublished stores the published tables. The writer takes ownership of the slice.
func (w *Writer) SetPublished(body []byte) {
	w.enqueue(func(pending *Change) { pending.Published = body })
}

// AddDecision stores an entry of the decision log. The writer takes ownership of its body.
func (w *Writer) AddDecision(record DecisionRecord) {
	w.enqueue(func(pending *Change) { pending.Decisions = append(pending.Decisions, record) })
}

// DroppedDecisions returns the number of decisions that were dropped because too many were pending.
func (w *Writer) DroppedDecisions() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedDecisions
}

// Close makes one attempt to write the pending changes and stops the writer. It does not close the store.
func (w *Writer) Close() {
	close(w.stop)
	<-w.stopped
}

func (w *Writer) enqueue(update func(pending *Change)) {
	w.mu.Lock()
	update(&w.pending)
	w.dropOldest()
	w.mu.Unlock()
	w.signal()
}

// signal wakes the writer's goroutine; it does not block.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// dropOldest drops the oldest pending decisions beyond the limit; the caller holds w.mu.
func (w *Writer) dropOldest() {
	excess := len(w.pending.Decisions) - maxPendingDecisions
	if excess <= 0 {
		return
	}
	w.droppedDecisions += uint64(excess)
	w.pending.Decisions = append([]DecisionRecord(nil), w.pending.Decisions[excess:]...)
}

func (w *Writer) writeLoop() {
	defer close(w.stopped)
	failing := false
	retryDelay := initialRetryDelay
	for {
		delay := batchDelay
		if failing {
			delay = retryDelay
		}
		if !w.waitForChange(delay) {
			_ = w.flush() // the writer stops: a failure is no longer reported
			return
		}
		err := w.flush()
		switch {
		case err != nil && failing:
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err != nil:
			failing = true
			retryDelay = initialRetryDelay
			w.report(err, w.DroppedDecisions())
		case failing:
			failing = false
			w.report(nil, w.DroppedDecisions())
		}
	}
}

// waitForChange waits until a change is pending and then for the delay. It returns false if the writer is closed before
// the delay ends.
func (w *Writer) waitForChange(delay time.Duration) bool {
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

// flush writes the pending changes. If the write fails, they become pending again unless newer values replaced them.
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
		w.requeue(&change)
		w.signal()
	}
	return err
}

// requeue makes a change pending again after its write failed.
func (w *Writer) requeue(failed *Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending.Incarnation = max(w.pending.Incarnation, failed.Incarnation)
	if w.pending.Endpoints == nil {
		w.pending.Endpoints = failed.Endpoints
	}
	if w.pending.Published == nil {
		w.pending.Published = failed.Published
	}
	w.pending.Decisions = append(failed.Decisions, w.pending.Decisions...)
	w.dropOldest()
}

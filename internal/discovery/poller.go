package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"peppervale/internal/codec/http1"
)

// Ends of a call that are no failures.
var (
	errClosed = errors.New("the client was closed")
	errMoved  = errors.New("the address changed")
)

// noAnswerError is a call without an answer in time.
type noAnswerError struct {
	timeout time.Duration
}

// Error names the timeout.
func (e *noAnswerError) Error() string { return fmt.Sprintf("no answer within %s", e.timeout) }

// Timeout marks the error as one of time, as those of dials are marked.
func (e *noAnswerError) Timeout() bool { return true }

// isTimeout reports whether a call ended because no answer, or no connection, came in time.
func isTimeout(err error) bool {
	var timeout interface {
		error
		Timeout() bool
	}
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pollSource is what a poller drives. Its methods are called by the poller's goroutine only.
type pollSource interface {
	// begin starts a subscription.
	begin()
	// poll makes one call, waits for its end and hands over what it brought. It returns the delay before the next
	// call, or why the subscription ends: errClosed, or the failure.
	poll() (delay time.Duration, err error)
	// pollFailed reports the failure that ended a subscription.
	pollFailed(err error)
}

// callMonitor decides how long a poller waits for a call.
type callMonitor interface {
	// remaining is how long the call may still take, and the error that it ends with after that. What arrives
	// meanwhile may extend it.
	remaining() (time.Duration, error)
	// superseded reports whether the call went to an address that is no longer the source's.
	superseded() bool
}

// poller subscribes a source on request: it makes one call after the other until one fails, and then waits for the next
// request. It has one goroutine, and so one call in flight.
type poller struct {
	source    pollSource
	requested chan struct{} // a subscription was requested
	moved     chan struct{} // the source's address changed
	done      chan struct{}
	stopped   chan struct{}
}

func newPoller(source pollSource) *poller {
	return &poller{
		source:    source,
		requested: make(chan struct{}, 1),
		moved:     make(chan struct{}, 1),
		done:      make(chan struct{}),
		stopped:   make(chan struct{}),
	}
}

// subscribe requests a subscription; it does not wait.
func (p *poller) subscribe() { signal(p.requested) }

// addressChanged ends a delay, a call that was superseded, or the wait for the next request after a failure.
func (p *poller) addressChanged() { signal(p.moved) }

// discardRequest drops a request for a subscription that is still pending.
func (p *poller) discardRequest() {
	select {
	case <-p.requested:
	default:
	}
}

// close abandons a call in flight and waits for the goroutine to end.
func (p *poller) close() {
	close(p.done)
	<-p.stopped
}

// run is the poller's goroutine.
func (p *poller) run() {
	defer close(p.stopped)
	subscribedBefore := false
	for p.awaitRequest(subscribedBefore) {
		subscribedBefore = true
		p.pollUntilFailure()
	}
}

// awaitRequest waits until a subscription is due; a new address makes one due if there was one before. It returns false
// once the poller is closed.
func (p *poller) awaitRequest(subscribedBefore bool) bool {
	for {
		select {
		case <-p.requested:
			return true
		case <-p.moved:
			if subscribedBefore {
				return true
			}
		case <-p.done:
			return false
		}
	}
}

// pollUntilFailure is one subscription.
func (p *poller) pollUntilFailure() {
	p.source.begin()
	for {
		delay, err := p.source.poll()
		if errors.Is(err, errClosed) {
			return
		}
		if err != nil {
			p.source.pollFailed(err)
			return
		}
		if !p.sleep(delay) {
			return
		}
	}
}

// sleep waits for a delay, or until the address changes. It returns false once the poller is closed.
func (p *poller) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.moved:
		return true
	case <-p.done:
		return false
	}
}

// await waits for the end of a call and gives its answer, or an error: its own, the monitor's, errMoved or errClosed.
func (p *poller) await(c *call, monitor callMonitor) (*http1.Message, error) {
	remaining, _ := monitor.remaining()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	for {
		select {
		case result := <-c.ended:
			return result.message, result.err
		case <-p.moved:
			if monitor.superseded() {
				return nil, errMoved
			}
		case <-p.done:
			return nil, errClosed
		case <-timer.C:
			remaining, err := monitor.remaining()
			if remaining <= 0 {
				return nil, err
			}
			timer.Reset(remaining)
		}
	}
}

// signal leaves a token in a channel that holds one, unless one is there already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// jitter draws delays from a seed, so that instances that lost their connections together do not call in step.
type jitter struct {
	seed  uint64
	draws int
}

// next draws a delay below limit.
func (j *jitter) next(limit time.Duration) time.Duration {
	j.draws++
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, j.seed, " ", j.draws) // a hash takes every write
	return time.Duration(hash.Sum64() % uint64(limit))
}

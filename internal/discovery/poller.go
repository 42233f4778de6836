package discovery

import (
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"peppervale/internal/codec/http1"
)

// Errors that end a call without a failure of the poll.
var (
	errClosed         = errors.New("the client was closed")
	errAddressChanged = errors.New("the discovery address changed")
)

// noResponseError reports that a call received no response within its timeout.
type noResponseError struct {
	timeout time.Duration
}

// Error names the timeout.
func (e *noResponseError) Error() string { return fmt.Sprintf("no response within %s", e.timeout) }

// Timeout reports true, like the timeout errors of package net.
func (e *noResponseError) Timeout() bool { return true }

// isTimeout reports whether a call ended because it received no response, or got no connection, in time.
func isTimeout(err error) bool {
	var timeout interface {
		error
		Timeout() bool
	}
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pollSource is a source of endpoint lists that a poller polls. Only the poller's goroutine calls its methods.
type pollSource interface {
	// startSubscription starts a subscription.
	startSubscription()
	// poll makes one call, waits for its end and passes the received lists to the receiver. It returns the delay before
	// the next call, or the reason that the subscription ends: errClosed or the failure.
	poll() (delay time.Duration, err error)
	// pollFailed reports the failure that ended a subscription.
	pollFailed(err error)
}

// callMonitor decides how long a poller waits for a call.
type callMonitor interface {
	// remaining returns how long the call may still take, and the error of the call if that time expires. Received
	// data may extend the time.
	remaining() (time.Duration, error)
	// superseded reports whether the source's address has changed since the call was made.
	superseded() bool
}

// poller runs the subscriptions of a source: when subscribe is called it makes one poll after another until one fails,
// and then waits for the next call of subscribe. It has one goroutine and therefore one call in flight.
type poller struct {
	source            pollSource
	subscribeRequests chan struct{} // filled by subscribe
	addressChanges    chan struct{} // filled by signalAddressChange
	closing           chan struct{}
	stopped           chan struct{}
}

func newPoller(source pollSource) *poller {
	return &poller{
		source:            source,
		subscribeRequests: make(chan struct{}, 1),
		addressChanges:    make(chan struct{}, 1),
		closing:           make(chan struct{}),
		stopped:           make(chan struct{}),
	}
}

// subscribe requests a subscription; it does not block.
func (p *poller) subscribe() { signal(p.subscribeRequests) }

// signalAddressChange ends a delay, a superseded call, or the wait for the next request after a failure.
func (p *poller) signalAddressChange() { signal(p.addressChanges) }

// discardSubscribeRequest drops a pending request for a subscription.
func (p *poller) discardSubscribeRequest() {
	select {
	case <-p.subscribeRequests:
	default:
	}
}

// close cancels a call in flight and waits until the goroutine has ended.
func (p *poller) close() {
	close(p.closing)
	<-p.stopped
}

// run is the poller's goroutine.
func (p *poller) run() {
	defer close(p.stopped)
	subscribedBefore := false
	for p.awaitSubscribeRequest(subscribedBefore) {
		subscribedBefore = true
		p.pollUntilFailure()
	}
}

// awaitSubscribeRequest waits until a subscription is requested. A changed address counts as a request if there was an
// earlier subscription. It returns false if the poller is closed.
func (p *poller) awaitSubscribeRequest(subscribedBefore bool) bool {
	for {
		select {
		case <-p.subscribeRequests:
			return true
		case <-p.addressChanges:
			if subscribedBefore {
				return true
			}
		case <-p.closing:
			return false
		}
	}
}

// pollUntilFailure runs one subscription.
func (p *poller) pollUntilFailure() {
	p.source.startSubscription()
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

// sleep waits for a delay or until the address changes. It returns false if the poller is closed.
func (p *poller) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.addressChanges:
		return true
	case <-p.closing:
		return false
	}
}

// awaitCall waits for the end of a call and returns its response or an error: the error of the call, the error of the
// monitor if the time expired, errAddressChanged or errClosed.
func (p *poller) awaitCall(c *call, monitor callMonitor) (*http1.Message, error) {
	remaining, _ := monitor.remaining()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	for {
		select {
		case result := <-c.result:
			return result.message, result.err
		case <-p.addressChanges:
			if monitor.superseded() {
				return nil, errAddressChanged
			}
		case <-p.closing:
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

// signal sends a token to a channel with a buffer of one, unless the buffer is full.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// jitter draws pseudorandom delays from a seed, so that instances that lose their connections at the same time do not
// reconnect at the same time.
type jitter struct {
	seed  uint64
	draws int
}

// next returns a delay below limit.
func (j *jitter) next(limit time.Duration) time.Duration {
	j.draws++
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, j.seed, " ", j.draws) // a hash never returns an error
	return time.Duration(hash.Sum64() % uint64(limit))
}

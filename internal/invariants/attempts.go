package invariants

import (
	"fmt"

	"peppervale/internal/codec/pubsubmsg"
)

// attemptStarted checks an attempt against the endpoint lists of its proxy's instance, and a retry against the earlier
// attempts at the same request.
func (c *checker) attemptStarted(event AttemptStarted) {
	key := requestKey{event.Request, event.ClientAttempt}
	previousAttempts := c.attempts[key]
	c.attempts[key] = append(previousAttempts, &attempt{AttemptStarted: event})
	c.checkDrain(event)
	for _, previous := range previousAttempts {
		c.checkRetry(previous, event)
	}
}

func (c *checker) attemptEnded(e AttemptEnded) {
	attempts := c.attempts[requestKey{e.Request, e.ClientAttempt}]
	if e.Attempt >= 1 && e.Attempt <= len(attempts) {
		attempts[e.Attempt-1].outcome = e.Outcome
	}
}

// checkDrain checks that a proxy sends no attempt to a replica once the drain grace has passed since the proxy's
// instance was notified that the replica drains or is gone. If the proxy joined after that notification, the grace
// starts with the join.
func (c *checker) checkDrain(event AttemptStarted) {
	proxy := c.proxies[event.Proxy]
	if proxy == nil || proxy.instance == nil {
		return
	}
	notifiedAt, notified := proxy.instance.drainNotifiedAt[event.Replica]
	if !notified {
		return
	}
	elapsed := event.At - max(notifiedAt, proxy.joinedAt)
	c.results[LateDrain].record(ratioToLimit(elapsed, c.limits.DrainGrace),
		"%s: %s sent to %s %s after %s was notified that it drains or is gone, %s are allowed",
		c.sinceStart(event.At), proxy.name, pubsubmsg.FormatAddress(event.Replica),
		formatSeconds(elapsed), proxy.instance.name, formatSeconds(c.limits.DrainGrace))
}

// checkRetry checks that an operation that is not idempotent is retried only if the earlier attempt is proven not to
// have been executed, or if the replica's deduplication group drops the repeat.
func (c *checker) checkRetry(previous *attempt, retry AttemptStarted) {
	operation := c.limits.operation(retry.Operation)
	if operation.Effect == Idempotent || previous.outcome.NotExecuted() {
		return
	}
	result := c.results[RepeatedEffect]
	description := fmt.Sprintf("%s: %s sent request %d (%s) to %s after an attempt at %s that may have been executed",
		c.sinceStart(retry.At), retry.Proxy, retry.Request, operation.Name,
		pubsubmsg.FormatAddress(retry.Replica), pubsubmsg.FormatAddress(previous.Replica))
	switch {
	case operation.Effect == SideEffecting:
		result.record(violationRatio, "%s", description)
	case c.replica(previous.Replica).deduplicationGroup != c.replica(retry.Replica).deduplicationGroup:
		result.record(violationRatio, "%s, in another deduplication group", description)
	default:
		age := retry.At - previous.At
		result.record(ratioToLimit(age, operation.DeduplicationWindow), "%s, %s before", description, formatSeconds(age))
	}
}

// requestExecuted checks that a request that is not idempotent is executed only once.
func (c *checker) requestExecuted(e RequestExecuted) {
	key := requestKey{e.Request, e.ClientAttempt}
	c.executions[key]++
	count := c.executions[key]
	if count > 1 && c.limits.effect(e.Operation) != Idempotent {
		c.results[RepeatedEffect].record(violationRatio, "%s: request %d took effect %d times, last at %s",
			c.sinceStart(e.At), e.Request, count, pubsubmsg.FormatAddress(e.Replica))
	}
}

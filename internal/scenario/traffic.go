package scenario

import (
	"peppervale/internal/config"
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
)

// heavyTail is a fault that multiplies the work of a fraction of the requests by factor.
type heavyTail struct {
	fraction float64
	factor   float64
}

// clientRequest is a client's request. Each attempt of the client is a separate request to the proxy.
type clientRequest struct {
	proxy     *managedProxy
	startedAt model.Microseconds // when the first attempt was sent
}

// scheduleRequest schedules the next request to a proxy. The load is open-loop: arrivals do not wait for responses.
func (r *runner) scheduleRequest(target *managedProxy) {
	if target.requestRate <= 0 {
		return
	}
	delay := model.Microseconds(r.random.Interval(target.requestRate) * float64(model.Second))
	r.loop.After(delay, func() {
		if r.now()-r.startedAt < r.script.Length {
			r.sendRequest(target)
			r.scheduleRequest(target)
		}
	})
}

// sendRequest draws a request and sends its first attempt.
func (r *runner) sendRequest(target *managedProxy) {
	load := r.drawOperation()
	r.lastRequestNumber++
	work := float64(load.Mean) * r.random.LogNormal(load.Spread)
	if r.heavyTail.fraction > 0 && r.random.Float() < r.heavyTail.fraction {
		work *= r.heavyTail.factor
	}
	attempt := proxy.Request{Number: r.lastRequestNumber, Operation: load.Operation, Work: work}
	r.sendAttempt(clientRequest{proxy: target, startedAt: r.now()}, attempt)
}

// drawOperation draws an operation with a probability that is its share of the load.
func (r *runner) drawOperation() OperationLoad {
	operations := r.script.Load.Operations
	point := r.random.Float() * r.totalShare
	for _, operation := range operations {
		if point < operation.Share {
			return operation
		}
		point -= operation.Share
	}
	return operations[len(operations)-1]
}

// sendAttempt sends an attempt and, if the client retries it, the next one after a backoff.
func (r *runner) sendAttempt(request clientRequest, attempt proxy.Request) {
	attempt.Done = func(result proxy.Result, _ model.Microseconds) {
		latency := r.now() - request.startedAt
		if !r.clientRetries(attempt, result, latency) {
			r.statistics.recordRequest(attempt.Operation, result, latency, request.startedAt-r.startedAt)
			return
		}
		r.loop.After(r.script.Proxies.ClientBackoff, func() {
			next := attempt
			next.ClientAttempt++
			r.sendAttempt(request, next)
		})
	}
	request.proxy.HandleRequest(&attempt)
}

// clientRetries reports whether a client retries an attempt. Idempotent operations are retried after any failure,
// other operations only if the proxy rate-limited the attempt.
func (r *runner) clientRetries(attempt proxy.Request, result proxy.Result, latency model.Microseconds) bool {
	operation := r.script.Operations[attempt.Operation]
	hasAttemptsLeft := attempt.ClientAttempt+1 < r.script.Proxies.ClientAttempts
	hasTimeLeft := latency+r.script.Proxies.ClientBackoff < operation.Timeout
	if !hasAttemptsLeft || !hasTimeLeft {
		return false
	}
	return result == proxy.RateLimited || result == proxy.Failed && operation.Effect == config.Idempotent
}

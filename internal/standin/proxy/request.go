package proxy

import (
	"strconv"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
)

// Result is the outcome of a request for its client.
type Result uint8

// The results of requests.
const (
	Succeeded   Result = iota
	RateLimited        // not sent, or the last attempt was rejected or could not connect
	Failed             // the last attempt failed otherwise, or the operation's timeout elapsed
)

// Request is a client's request to the proxy.
type Request struct {
	Number        uint64
	ClientAttempt int // number of the client's own attempt, from 0
	Operation     int
	Work          float64 // microseconds on a core of speed 1
	Done          func(r Result, took model.Microseconds)
}

// request is a client's request while the proxy handles it.
type request struct {
	*Request
	proxy           *Proxy
	generation      int // the proxy's generation when the request started
	startedAt       model.Microseconds
	timeout         *standin.Timer
	attempts        int
	pending         int // attempts in progress
	retriesLeft     int // retries that are still allowed
	policy          model.RetryPolicy
	epoch           uint64 // newest epoch that the proxy had seen when the request started
	isFinished      bool
	operationLimits Operation
}

// attempt is one attempt at a request.
type attempt struct {
	request    *request
	number     int // from 1
	replica    *replicaState
	startedAt  model.Microseconds
	timeout    *standin.Timer
	isFinished bool
	connection *connection
}

// HandleRequest accepts a client's request. The request's Done is called once, on the loop.
func (p *Proxy) HandleRequest(clientRequest *Request) {
	p.runAfterStall(func() { p.startRequest(clientRequest) })
}

func (p *Proxy) startRequest(clientRequest *Request) {
	if !p.running {
		clientRequest.Done(Failed, 0)
		return
	}
	share, policy := p.quotaAndPolicy(clientRequest.Operation)
	if share < 1 && p.random.Float() >= share {
		clientRequest.Done(RateLimited, 0)
		return
	}
	replica := p.pickReplica(model.ReplicaID{})
	if replica == nil {
		clientRequest.Done(RateLimited, 0)
		return
	}
	r := &request{
		Request:         clientRequest,
		proxy:           p,
		generation:      p.generation,
		startedAt:       p.loop.Now(),
		retriesLeft:     maxRetries(policy),
		policy:          policy,
		epoch:           p.fence.Epoch,
		operationLimits: p.Operations[clientRequest.Operation],
	}
	r.timeout = p.loop.After(r.operationLimits.Timeout, func() { r.finish(Failed) })
	r.sendTo(replica)
}

// maxRetries returns how many attempts may follow the first one.
func maxRetries(policy model.RetryPolicy) int {
	switch policy {
	case model.RetryIfNotExecuted, model.RetryOnAnyFailure:
		return 1
	case model.RetryTwiceOnAnyFailure:
		return 2
	case model.RetryNever:
		return 0
	}
	return 0
}

func (r *request) finish(result Result) {
	if r.isFinished {
		return
	}
	r.isFinished = true
	r.timeout.Cancel()
	r.Done(result, r.proxy.loop.Now()-r.startedAt)
}

// timeLeft returns the remaining part of the operation's timeout.
func (r *request) timeLeft(now model.Microseconds) model.Microseconds {
	return r.operationLimits.Timeout - (now - r.startedAt)
}

// sendTo starts an attempt at a replica. If the request may be retried after a timeout, the timeout of the attempt is
// limited by RetryableAttemptShare.
func (r *request) sendTo(replica *replicaState) {
	p := r.proxy
	r.attempts++
	r.pending++
	replica.inFlight++
	a := &attempt{request: r, number: r.attempts, replica: replica, startedAt: p.loop.Now()}
	timeout := r.timeLeft(a.startedAt)
	if r.retriesLeft > 0 && r.policy >= model.RetryOnAnyFailure {
		timeout = min(timeout, model.Microseconds(p.RetryableAttemptShare*float64(r.operationLimits.LatencyObjective)))
	}
	a.timeout = p.loop.After(max(timeout, 0), func() { a.finish(invariants.TimedOut, nil) })
	p.connectAttempt(a)
}

// sendOver writes the attempt's request to a connection.
func (a *attempt) sendOver(conn *connection) {
	proxy, req := a.request.proxy, a.request
	a.connection = conn
	conn.attempt = a
	proxy.observe(invariants.AttemptStarted{
		At:            proxy.loop.Now(),
		Proxy:         proxy.Name,
		Replica:       a.replica.id,
		Operation:     req.Operation,
		Request:       req.Number,
		ClientAttempt: req.ClientAttempt,
		Attempt:       a.number,
	})
	_, _ = conn.conn.Write(http1.AppendRequest(nil, "POST", "/invoke", pubsubmsg.FormatAddress(a.replica.id), nil,
		"Operation", strconv.Itoa(req.Operation),
		"Invocation", strconv.FormatUint(req.Number, 10),
		"Caller-Try", strconv.Itoa(req.ClientAttempt),
		"Forwarder", proxy.Name,
		"Work-Us", strconv.FormatFloat(req.Work, 'f', 0, 64)))
}

// finish ends an attempt. It then ends the request, or starts a retry if the retry policy allows one.
func (a *attempt) finish(outcome invariants.Outcome, response *http1.Message) {
	if a.isFinished {
		return
	}
	a.isFinished = true
	req := a.request
	now := req.proxy.loop.Now()
	a.timeout.Cancel()
	a.replica.inFlight--
	req.pending--
	if req.generation != req.proxy.generation {
		req.finish(Failed)
		return
	}
	a.releaseConnection(outcome, now)
	a.recordOutcome(outcome, response, now)
	if outcome == invariants.Succeeded {
		req.finish(Succeeded)
		return
	}
	if req.retry(a, outcome, now) {
		return
	}
	switch {
	case req.pending > 0: // another attempt decides the result
	case outcome.NotExecuted():
		req.finish(RateLimited)
	default:
		req.finish(Failed)
	}
}

// releaseConnection detaches the attempt from its connection, if it has one. After a timeout it closes the connection.
func (a *attempt) releaseConnection(outcome invariants.Outcome, now model.Microseconds) {
	if a.connection == nil {
		return
	}
	req := a.request
	req.proxy.observe(invariants.AttemptEnded{
		At:            now,
		Request:       req.Number,
		ClientAttempt: req.ClientAttempt,
		Attempt:       a.number,
		Outcome:       outcome,
	})
	a.connection.attempt = nil
	if outcome == invariants.TimedOut {
		a.connection.close() // HTTP/1.1 has no other way to cancel a request
	}
}

// minRetryTimeDivisor limits retries: the time left must exceed the latency objective divided by minRetryTimeDivisor.
const minRetryTimeDivisor = 10

// retry starts an attempt at another replica if the policy, the time left and the table allow it. It reports whether it
// has started one.
func (r *request) retry(failed *attempt, outcome invariants.Outcome, now model.Microseconds) bool {
	// A policy that a former lease holder set allows only retries of attempts that were not executed. The policies are
	// ordered by the retries that they allow.
	if r.epoch != r.proxy.fence.Epoch {
		r.policy = min(r.policy, model.RetryIfNotExecuted)
	}
	allowed := outcome.NotExecuted() || r.policy >= model.RetryOnAnyFailure
	enoughTime := r.timeLeft(now) > r.operationLimits.LatencyObjective/minRetryTimeDivisor
	if r.retriesLeft <= 0 || r.isFinished || !allowed || !enoughTime {
		return false
	}
	next := r.proxy.pickReplica(failed.replica.id)
	if next == nil {
		return false
	}
	r.retriesLeft--
	r.sendTo(next)
	return true
}

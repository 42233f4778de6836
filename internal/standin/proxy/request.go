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
	RateLimited        // not sent, or rejected by every replica that received it
	Failed             // an error, or no response within the operation's timeout
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
	proxy       *Proxy
	generation  int // the proxy's when the request started
	startedAt   model.Microseconds
	timeout     *standin.Timer
	attempts    int
	pending     int // attempts in progress
	retriesLeft int // retries that are still allowed
	policy      model.RetryPolicy
	epoch       uint64 // of the lease holder when the request started
	isFinished  bool
	timeLimits  Operation
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
func (p *Proxy) HandleRequest(submitted *Request) {
	p.whenRunning(func() { p.startRequest(submitted) })
}

func (p *Proxy) startRequest(submitted *Request) {
	if !p.running {
		submitted.Done(Failed, 0)
		return
	}
	share, policy := p.quota(submitted.Operation)
	if share < 1 && p.random.Float() >= share {
		submitted.Done(RateLimited, 0)
		return
	}
	replica := p.pickReplica(model.ReplicaID{})
	if replica == nil {
		submitted.Done(RateLimited, 0)
		return
	}
	r := &request{
		Request:     submitted,
		proxy:       p,
		generation:  p.generation,
		startedAt:   p.loop.Now(),
		retriesLeft: maxRetries(policy),
		policy:      policy,
		epoch:       p.fence.Epoch,
		timeLimits:  p.Operations[submitted.Operation],
	}
	r.timeout = p.loop.After(r.timeLimits.Timeout, func() { r.finish(Failed) })
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
	return r.timeLimits.Timeout - (now - r.startedAt)
}

// sendTo starts an attempt at a replica. An attempt that may be retried after a timeout has a shorter timeout than the
// request.
func (r *request) sendTo(replica *replicaState) {
	p := r.proxy
	r.attempts++
	r.pending++
	replica.inFlight++
	a := &attempt{request: r, number: r.attempts, replica: replica, startedAt: p.loop.Now()}
	wait := r.timeLeft(a.startedAt)
	if r.retriesLeft > 0 && r.policy >= model.RetryOnAnyFailure {
		wait = min(wait, model.Microseconds(p.FirstAttemptShare*float64(r.timeLimits.LatencyObjective)))
	}
	a.timeout = p.loop.After(max(wait, 0), func() { a.finish(invariants.TimedOut, nil) })
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
	case req.pending > 0:
	case outcome.NotExecuted():
		req.finish(RateLimited)
	default:
		req.finish(Failed)
	}
}

// releaseConnection detaches the attempt from its connection, if it has one.
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

// minRetryTimeDivisor limits retries: the time left must exceed the latency objective divided by this.
const minRetryTimeDivisor = 10

// retry starts another attempt at another replica, if the policy, the time left and the table allow it.
func (r *request) retry(failed *attempt, outcome invariants.Outcome, now model.Microseconds) bool {
	if r.epoch != r.proxy.fence.Epoch { // a former lease holder set the request's policy
		r.policy = min(r.policy, model.RetryIfNotExecuted)
	}
	allowed := outcome.NotExecuted() || r.policy >= model.RetryOnAnyFailure
	enoughTime := r.timeLeft(now) > r.timeLimits.LatencyObjective/minRetryTimeDivisor
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

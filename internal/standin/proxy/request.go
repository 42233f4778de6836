package proxy

import (
	"strconv"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
)

// Result is how a request ended for its client.
type Result uint8

// The results of requests.
const (
	Succeeded   Result = iota
	RateLimited        // not sent, or rejected by each replica that it was sent to
	Failed             // an error, or no answer within the operation's timeout
)

// Request is a client's request.
type Request struct {
	Number        uint64
	ClientAttempt int // the client's own retries, from 0
	Operation     int
	Work          float64 // microseconds of a core of speed 1
	Done          func(r Result, took model.Microseconds)
}

// request is a client's request while the proxy works on it.
type request struct {
	*Request
	proxy        *Proxy
	run          int // of the proxy
	startedAt    model.Microseconds
	timeout      *standin.Timer
	attempts     int
	pending      int // attempts in progress
	retries      int // that may still follow
	policy       model.RetryPolicy
	epoch        uint64 // of the lease holder when it started
	ended        bool
	requirements Operation
}

// attempt is one attempt at a request.
type attempt struct {
	request    *request
	number     int // from 1
	replica    *replicaState
	startedAt  model.Microseconds
	timeout    *standin.Timer
	ended      bool
	connection *connection
}

// HandleRequest handles a request. Its Done is called once, on the loop.
func (p *Proxy) HandleRequest(submitted *Request) { p.whenRunning(func() { p.start(submitted) }) }

func (p *Proxy) start(submitted *Request) {
	if !p.running {
		submitted.Done(Failed, 0)
		return
	}
	share, policy := p.quota(submitted.Operation)
	if share < 1 && p.random.Float() >= share {
		submitted.Done(RateLimited, 0)
		return
	}
	replica := p.pick(model.ReplicaID{})
	if replica == nil {
		submitted.Done(RateLimited, 0)
		return
	}
	r := &request{
		Request:      submitted,
		proxy:        p,
		run:          p.run,
		startedAt:    p.loop.Now(),
		retries:      maxRetries(policy),
		policy:       policy,
		epoch:        p.fence.Epoch,
		requirements: p.Operations[submitted.Operation],
	}
	r.timeout = p.loop.After(r.requirements.Timeout, func() { r.finish(Failed) })
	r.send(replica)
}

// maxRetries is how many attempts may follow the first.
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
	if r.ended {
		return
	}
	r.ended = true
	r.timeout.Cancel()
	r.Done(result, r.proxy.loop.Now()-r.startedAt)
}

// timeLeft is what remains of the operation's timeout.
func (r *request) timeLeft(now model.Microseconds) model.Microseconds {
	return r.requirements.Timeout - (now - r.startedAt)
}

// send starts an attempt at a replica. One that may be retried after a timeout has a shorter timeout than the request.
func (r *request) send(replica *replicaState) {
	p := r.proxy
	r.attempts++
	r.pending++
	replica.inFlight++
	a := &attempt{request: r, number: r.attempts, replica: replica, startedAt: p.loop.Now()}
	wait := r.timeLeft(a.startedAt)
	if r.retries > 0 && r.policy >= model.RetryOnAnyFailure {
		wait = min(wait, model.Microseconds(p.FirstAttemptShare*float64(r.requirements.LatencyObjective)))
	}
	a.timeout = p.loop.After(max(wait, 0), func() { a.end(invariants.TimedOut, nil) })
	p.connect(a)
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

// end ends an attempt, then ends the request or starts a retry as its retry policy allows.
func (a *attempt) end(outcome invariants.Outcome, response *http1.Message) {
	if a.ended {
		return
	}
	a.ended = true
	req := a.request
	now := req.proxy.loop.Now()
	a.timeout.Cancel()
	a.replica.inFlight--
	req.pending--
	if req.run != req.proxy.run {
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

// releaseConnection detaches the attempt from its connection, if it got one.
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
		a.connection.drop() // HTTP/1.1 has no other way to cancel a request
	}
}

// minRetryTimeDivisor: a retry needs at least this fraction of the latency objective as time left.
const minRetryTimeDivisor = 10

// retry starts another attempt at another replica, if the policy, the time left and the table allow it.
func (r *request) retry(failed *attempt, outcome invariants.Outcome, now model.Microseconds) bool {
	if r.epoch != r.proxy.fence.Epoch { // a former lease holder set its policy
		r.policy = min(r.policy, model.RetryIfNotExecuted)
	}
	allowed := outcome.NotExecuted() || r.policy >= model.RetryOnAnyFailure
	enoughTime := r.timeLeft(now) > r.requirements.LatencyObjective/minRetryTimeDivisor
	if r.retries <= 0 || r.ended || !allowed || !enoughTime {
		return false
	}
	next := r.proxy.pick(failed.replica.id)
	if next == nil {
		return false
	}
	r.retries--
	r.send(next)
	return true
}

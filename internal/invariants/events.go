package invariants

import "peppervale/internal/model"

// TableEntry is a replica of a standing table with its weight.
type TableEntry struct {
	Replica model.ReplicaID
	Weight  float64
}

// Outcome is the result of an attempt as observed by the proxy that made it.
type Outcome uint8

// The outcomes of an attempt. Rejected and ConnectFailed prove that the attempt was not executed.
const (
	Pending        Outcome = iota // not ended yet
	Succeeded                     // a successful response
	Rejected                      // rejected without execution by a full or draining replica
	ConnectFailed                 // no connection could be established
	ErrorResponse                 // an error response
	TimedOut                      // no response within the timeout
	ConnectionLost                // the connection ended before the response
)

// NotExecuted reports whether the outcome proves that the attempt was not executed.
func (o Outcome) NotExecuted() bool { return o == Rejected || o == ConnectFailed }

// Event is an observation of a stand-in. The types below are its only implementations. At is the time of the
// observation.
type Event interface{ event() }

// ProxyStarted reports that a proxy started with only its standing table.
type ProxyStarted struct {
	At       model.Microseconds
	Proxy    string
	Zone     int
	Standing []TableEntry
}

// ProxyStopped reports that a proxy stopped.
type ProxyStopped struct {
	At    model.Microseconds
	Proxy string
}

// StreamChanged reports that a proxy's stream to an instance was established (Up: the instance answered the join) or
// ended.
type StreamChanged struct {
	At              model.Microseconds
	Proxy, Instance string
	Up              bool
}

// BytesReceived holds the next bytes that a proxy read from its stream since the last StreamChanged with Up.
type BytesReceived struct {
	At    model.Microseconds
	Proxy string
	Data  []byte
}

// EndpointsSent holds a complete endpoint list that was sent to an instance, in the JSON of Consul's health endpoint.
type EndpointsSent struct {
	At       model.Microseconds
	Instance string
	Body     []byte
}

// AttemptStarted reports that a proxy sent an attempt. ClientAttempt counts the client's attempts at a request, from 0.
// Attempt counts the proxy's attempts for one attempt of the client, from 1.
type AttemptStarted struct {
	At                     model.Microseconds
	Proxy                  string
	Replica                model.ReplicaID
	Operation              int
	Request                uint64
	ClientAttempt, Attempt int
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	At                     model.Microseconds
	Request                uint64
	ClientAttempt, Attempt int
	Outcome                Outcome
}

// WorkArrived reports that a replica received work, in microseconds of a core of speed 1.
type WorkArrived struct {
	At      model.Microseconds
	Replica model.ReplicaID
	Proxy   string
	Work    float64
}

// RequestExecuted reports that a replica executed a request.
type RequestExecuted struct {
	At            model.Microseconds
	Replica       model.ReplicaID
	Operation     int
	Request       uint64
	ClientAttempt int
}

// ReplicaStarted reports that a replica started. Its capacity rises linearly within WarmUpPeriod from InitialShare of
// Capacity to Capacity.
type ReplicaStarted struct {
	At                 model.Microseconds
	Replica            model.ReplicaID
	DeduplicationGroup string             // name of the group of replicas that execute a repeated request only once
	Capacity           float64            // of the warm replica, in microseconds of work per microsecond
	InitialShare       float64            // share of Capacity at the start; 1: the replica starts warm
	WarmUpPeriod       model.Microseconds // 0: the replica starts warm
}

func (ProxyStarted) event()    {}
func (ProxyStopped) event()    {}
func (StreamChanged) event()   {}
func (BytesReceived) event()   {}
func (EndpointsSent) event()   {}
func (AttemptStarted) event()  {}
func (AttemptEnded) event()    {}
func (WorkArrived) event()     {}
func (RequestExecuted) event() {}
func (ReplicaStarted) event()  {}

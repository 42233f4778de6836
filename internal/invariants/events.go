package invariants

import "peppervale/internal/model"

// TableEntry is a replica of a standing table with its weight.
type TableEntry struct {
	Replica model.ReplicaID
	Weight  float64
}

// Outcome is how an attempt ended for the proxy that made it.
type Outcome uint8

// The outcomes of an attempt. Rejected and ConnectFailed prove that it was never executed.
const (
	Pending        Outcome = iota // not ended yet
	Succeeded                     // an answer without an error
	Rejected                      // rejected, without executing it, by a full or draining replica
	ConnectFailed                 // no connection could be established
	ErrorResponse                 // an answer that reports an error
	TimedOut                      // no answer in time
	ConnectionLost                // the connection ended first
)

// NotExecuted reports whether the attempt is proven never to have been executed.
func (o Outcome) NotExecuted() bool { return o == Rejected || o == ConnectFailed }

// Event is an observation of a stand-in. The types below are the only ones. At is the time of the observation.
type Event interface{ event() }

// ProxyStarted says that a proxy started, with its standing table only.
type ProxyStarted struct {
	At       model.Microseconds
	Proxy    string
	Zone     int
	Standing []TableEntry
}

// ProxyStopped says that a proxy ended.
type ProxyStopped struct {
	At    model.Microseconds
	Proxy string
}

// StreamChanged says that a proxy's stream to an instance is established (Up: its join was answered) or ended.
type StreamChanged struct {
	At              model.Microseconds
	Proxy, Instance string
	Up              bool
}

// BytesReceived holds the bytes that a proxy read from its stream, in order since the last StreamChanged with Up.
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

// AttemptStarted says that a proxy sent an attempt. ClientAttempt counts the client's own retries of a request,
// from 0, and Attempt the proxy's attempts for one of them, from 1.
type AttemptStarted struct {
	At                     model.Microseconds
	Proxy                  string
	Replica                model.ReplicaID
	Operation              int
	Request                uint64
	ClientAttempt, Attempt int
}

// AttemptEnded says how an attempt ended for the proxy.
type AttemptEnded struct {
	At                     model.Microseconds
	Request                uint64
	ClientAttempt, Attempt int
	Outcome                Outcome
}

// WorkArrived says that a replica received work, in microseconds of a core of speed 1.
type WorkArrived struct {
	At      model.Microseconds
	Replica model.ReplicaID
	Proxy   string
	Work    float64
}

// RequestExecuted says that a replica executed a request.
type RequestExecuted struct {
	At            model.Microseconds
	Replica       model.ReplicaID
	Operation     int
	Request       uint64
	ClientAttempt int
}

// ReplicaStarted says that a replica started. Its capacity rises linearly within WarmUpPeriod from InitialShare of
// Capacity to Capacity.
type ReplicaStarted struct {
	At                 model.Microseconds
	Replica            model.ReplicaID
	DeduplicationGroup string             // the replicas that drop repeats of a request among themselves
	Capacity           float64            // when warm, in microseconds of work per microsecond
	InitialShare       float64            // of Capacity, at the start; 1: it starts warm
	WarmUpPeriod       model.Microseconds // 0: it starts warm
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

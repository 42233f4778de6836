package invariants

import "peppervale/internal/model"

// TableEntry is a replica of a standing table with its weight.
type TableEntry struct {
	Replica model.ReplicaID
	Weight  float64
}

// Outcome is how an attempt ended for the proxy that made it.
type Outcome uint8

// The outcomes of an attempt. Refused and ConnectFailed prove that it was never executed.
const (
	Pending        Outcome = iota // not ended yet
	Succeeded                     // a good answer
	Rejected                      // rejected unseen by a full, draining or warming replica
	ConnectFailed                 // no connection came about
	ErrorAnswer                   // an answer that reports an error
	TimedOut                      // no answer in time
	ConnectionLost                // the connection ended first
)

// NotExecuted reports whether the attempt is proven never to have been executed.
func (o Outcome) NotExecuted() bool { return o == Rejected || o == ConnectFailed }

// Event is one thing that a stand-in observed. The types below are all there are. At is the time of the observation.
type Event interface{ event() }

// ProxyStarted is a proxy that starts, holding only its standing table.
type ProxyStarted struct {
	At       model.Microseconds
	Proxy    string
	Zone     int
	Standing []TableEntry
}

// ProxyStopped is a proxy that is gone.
type ProxyStopped struct {
	At    model.Microseconds
	Proxy string
}

// StreamChanged is a change of a proxy's stream to an instance: Up when its join is answered.
type StreamChanged struct {
	At              model.Microseconds
	Proxy, Instance string
	Up              bool
}

// BytesReceived is bytes that a proxy read from its stream, in order; a Stream that goes up starts afresh.
type BytesReceived struct {
	At    model.Microseconds
	Proxy string
	Data  []byte
}

// EndpointsSent is an endpoint list sent to an instance, whole, as Consul's health endpoint answers it.
type EndpointsSent struct {
	At       model.Microseconds
	Instance string
	Body     []byte
}

// AttemptStarted is an attempt that a proxy sent. ClientAttempt counts the client's own retries of a request,
// from 0, and Attempt the proxy's attempts for one of them, from 1.
type AttemptStarted struct {
	At                     model.Microseconds
	Proxy                  string
	Replica                model.ReplicaID
	Operation              int
	Request                uint64
	ClientAttempt, Attempt int
}

// AttemptEnded is the end of an attempt as the proxy saw it.
type AttemptEnded struct {
	At                     model.Microseconds
	Request                uint64
	ClientAttempt, Attempt int
	Outcome                Outcome
}

// WorkArrived is work that reached a replica, in microseconds of a core of speed 1.
type WorkArrived struct {
	At      model.Microseconds
	Replica model.ReplicaID
	Proxy   string
	Work    float64
}

// RequestExecuted is a request that was executed at a replica.
type RequestExecuted struct {
	At            model.Microseconds
	Replica       model.ReplicaID
	Operation     int
	Request       uint64
	ClientAttempt int
}

// ReplicaStarted is a replica that starts. Its capacity rises evenly over Span from Share of Full to Full.
type ReplicaStarted struct {
	At                 model.Microseconds
	Replica            model.ReplicaID
	DeduplicationGroup string             // the replicas that drop repeats of a request among themselves
	Capacity           float64            // its capacity when warm, in core microseconds a microsecond
	InitialShare       float64            // of Full that it starts with; 1: it starts warm
	WarmUpPeriod       model.Microseconds // that it takes to warm up
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

package invariants

import "peppervale/internal/model"

// Line is a replica of a standing table with its weight.
type Line struct {
	Replica model.ReplicaID
	Weight  float64
}

// Outcome is how an attempt ended for the proxy that made it.
type Outcome uint8

// The outcomes of an attempt. Refused and ConnectFailed prove that it was never executed.
const (
	Open          Outcome = iota // not ended yet
	Succeeded                    // a good answer
	Refused                      // rejected unseen by a full, draining or warming replica
	ConnectFailed                // no connection came about
	Errored                      // an answer that reports an error
	TimedOut                     // no answer in time
	Broken                       // the connection ended first
)

// Unrun reports whether the attempt is proven never to have been executed.
func (o Outcome) Unrun() bool { return o == Refused || o == ConnectFailed }

// Seen is one thing that a stand-in observed. The types below are all there are. At is the time of the observation.
type Seen interface{ seen() }

// Began is a proxy that starts, holding only its standing table.
type Began struct {
	At        model.Microseconds
	Forwarder string
	Zone      int
	Standing  []Line
}

// Died is a proxy that is gone.
type Died struct {
	At        model.Microseconds
	Forwarder string
}

// Stream is a change of a proxy's stream to an instance: Up when its join is answered.
type Stream struct {
	At                  model.Microseconds
	Forwarder, Governor string
	Up                  bool
}

// Received is bytes that a proxy read from its stream, in order; a Stream that goes up starts afresh.
type Received struct {
	At        model.Microseconds
	Forwarder string
	Data      []byte
}

// Told is an endpoint list sent to an instance, whole, as Consul's health endpoint answers it.
type Told struct {
	At       model.Microseconds
	Governor string
	Body     []byte
}

// Tried is an attempt that a proxy sent. Caller counts the client's own retries of a request, from 0, and N the proxy's
// attempts for one of them, from 1.
type Tried struct {
	At         model.Microseconds
	Forwarder  string
	Replica    model.ReplicaID
	Operation  int
	Invocation uint64
	Caller, N  int
}

// Ended is the end of an attempt as the proxy saw it.
type Ended struct {
	At         model.Microseconds
	Invocation uint64
	Caller, N  int
	Outcome    Outcome
}

// Arrived is work that reached a replica, in microseconds of a core of speed 1.
type Arrived struct {
	At        model.Microseconds
	Replica   model.ReplicaID
	Forwarder string
	Work      float64
}

// Ran is a request that was executed at a replica.
type Ran struct {
	At         model.Microseconds
	Replica    model.ReplicaID
	Operation  int
	Invocation uint64
	Caller     int
}

// Up is a replica that starts. Its capacity rises evenly over Span from Share of Full to Full.
type Up struct {
	At      model.Microseconds
	Replica model.ReplicaID
	Bay     string             // the replicas that drop repeats of a request among themselves
	Full    float64            // its capacity when warm, in core microseconds a microsecond
	Share   float64            // of Full that it starts with; 1: it starts warm
	Span    model.Microseconds // that it takes to warm up
}

func (Began) seen()    {}
func (Died) seen()     {}
func (Stream) seen()   {}
func (Received) seen() {}
func (Told) seen()     {}
func (Tried) seen()    {}
func (Ended) seen()    {}
func (Arrived) seen()  {}
func (Ran) seen()      {}
func (Up) seen()       {}

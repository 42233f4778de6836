// Package rules judges the five rules of the operators from what was seen on sockets, and from nothing else: the
// bytes that forwarders were sent, the answers that the machine list gave, the tries that forwarders made and that
// replicas received. It knows no governor's state and shares no code with one but the codecs.
//
// Caveats: a message that never arrived is not seen, so what waited for a broken stream is not counted in the queue. A
// replica that was never in a list handed to a governor cannot drain for it. How near a rule came is told as a share of
// its limit; above 1 it broke.
package invariants

import "peppervale/internal/model"

// Line is a replica of a standing table with its weight.
type Line struct {
	Replica model.ReplicaID
	Weight  float64
}

// Outcome is how a try ended for the forwarder that made it.
type Outcome uint8

// Refused and ConnectFailed prove that the try never ran; Open is a try that has not ended.
const (
	Open Outcome = iota
	Succeeded
	Refused       // turned away unseen by a full, draining or cold replica
	ConnectFailed // no connection came about
	Errored       // an answer that says that something went wrong
	TimedOut
	Broken // the connection ended first
)

// Unrun tells a try that is proven never to have run.
func (o Outcome) Unrun() bool { return o == Refused || o == ConnectFailed }

// Seen is one thing that a stand-in saw. The types below are all there are.
type Seen interface{ seen() }

// Began is a forwarder that starts, holding only its standing table.
type Began struct {
	At        model.Microseconds
	Forwarder string
	Zone      int
	Standing  []Line
}

// Died is a forwarder that is gone.
type Died struct {
	At        model.Microseconds
	Forwarder string
}

// Stream is a forwarder's stream to a governor: Up when its join is answered.
type Stream struct {
	At                  model.Microseconds
	Forwarder, Governor string
	Up                  bool
}

// Received is bytes that a forwarder read from its stream, in order; a Stream that goes up starts afresh.
type Received struct {
	At        model.Microseconds
	Forwarder string
	Data      []byte
}

// Told is an answer of the machine list to a governor, sent whole.
type Told struct {
	At       model.Microseconds
	Governor string
	Body     []byte
}

// Tried is a try sent. Caller counts a client's own repeats of an invocation, N the forwarder's tries for one of them.
type Tried struct {
	At         model.Microseconds
	Forwarder  string
	Replica    model.ReplicaID
	Operation  int
	Invocation uint64
	Caller, N  int
}

// Ended is a try's end at the forwarder.
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

// Ran is an invocation that took effect at a replica.
type Ran struct {
	At         model.Microseconds
	Replica    model.ReplicaID
	Operation  int
	Invocation uint64
	Caller     int
}

// Up is a replica that starts; Full is its capacity when warm, in core microseconds a microsecond. Share of it 1: it
// starts warm.
type Up struct {
	At      model.Microseconds
	Replica model.ReplicaID
	Bay     string
	Full    float64
	Share   float64
	Span    model.Microseconds // in which it warms evenly
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

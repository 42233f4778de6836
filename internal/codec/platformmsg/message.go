package platformmsg

import (
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Kind is the first string of a message.
type Kind string

// The kinds of messages that a controller receives.
const (
	Ping      Kind = "ping"
	Collector Kind = "collector" // the connection will deliver the load reports of a zone
	Joined    Kind = "joined"    // the connection is the stream of a proxy
	Applied   Kind = "applied"   // a proxy acknowledges an update
	Heard     Kind = "heard"     // a load report
	Usage     Kind = "usage"     // the requests that arrived at a proxy
)

// The kinds of messages that a controller sends, apart from updates.
const (
	kindPong     Kind = "pong"
	kindRejected Kind = "refused"
)

// Limits bounds one message that a controller receives: the longest legitimate one is a load report of some
// hundred bytes.
var Limits = resp.Limits{Depth: 1, Items: 64, Bulk: 2 << 10, Message: 8 << 10}

// Message is a message that a controller received. Kind determines which other fields are set.
type Message struct {
	Kind            Kind
	Proxy           int     // Joined, Applied, Usage
	Zone            string  // Collector, Joined, Heard
	ExpectedRate    float64 // Joined: requests per second, roughly
	OnStandingTable bool    // Joined: the proxy holds no table of a controller
	AckSequence     uint32  // Applied
	Replica         string  // Heard
	Operation       string  // Usage
	Attempts        int     // Heard: attempts that ended. Usage: requests that arrived
	// Errors counts, for Heard, the attempts that failed. For Usage it counts requests that were admitted and not
	// served, in this window or an earlier one.
	Errors      int
	MeanLatency model.Microseconds // Heard
	Window      model.Microseconds // Heard, Usage
	Readings    []Reading          // Heard: the newest ones of the replica
}

// Reading is one figure that a replica reports about its load.
type Reading struct {
	Name  string
	Value float64
}

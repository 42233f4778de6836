package platformmsg

import (
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Kind is the first string of a message.
type Kind string

// The kinds of messages that a controller receives.
const (
	KindPing            Kind = "ping"
	KindCollector       Kind = "collector" // the connection will deliver the load reports of a zone
	KindProxyJoined     Kind = "joined"    // the connection is the stream of a proxy
	KindAcknowledgement Kind = "applied"   // a proxy acknowledges an update
	KindLoadReport      Kind = "heard"     // a load report
	KindUsage           Kind = "usage"     // the requests that arrived at a proxy
)

// The kinds of messages that a controller sends, apart from updates.
const (
	kindPong     Kind = "pong"
	kindRejected Kind = "refused"
)

// MessageLimits bounds one message that a controller receives. The longest valid message is a load report of a few
// hundred bytes.
var MessageLimits = resp.Limits{Depth: 1, Items: 64, StringBytes: 2 << 10, MessageBytes: 8 << 10}

// Message is a message that a controller received. Its kind determines which other fields are set; the comments
// name the kinds by their words on the wire.
type Message struct {
	Kind            Kind
	Proxy           int     // joined, applied, usage
	Zone            string  // collector, joined, heard
	ExpectedRate    float64 // joined: requests per second, roughly
	OnStandingTable bool    // joined: the proxy has no table of a controller
	AckSequence     uint32  // applied
	Replica         string  // heard
	Operation       string  // usage
	Attempts        int     // heard: attempts that ended; usage: requests that arrived
	// Errors is the number of failed attempts for heard. For usage it is the number of requests that were admitted, in
	// this window or an earlier one, and not served.
	Errors      int
	MeanLatency model.Microseconds // heard
	Window      model.Microseconds // heard, usage
	Readings    []Reading          // heard: the newest readings of the replica
}

// Reading is one value that a replica reports about its load.
type Reading struct {
	Name  string
	Value float64
}

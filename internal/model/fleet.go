// Package fleet is the interface between a governor and whatever hosts it: what the host reports (plain
// values), the start settings that the governor reads (Terms), and the orders that a host carries out (Host).
package model

import "time"

// Microseconds is a time or a span in whole microseconds.
type Microseconds int64

const (
	Millisecond Microseconds = 1000
	Second                   = 1000 * Millisecond
)

// ReplicaID is a replica's address and port as the list gives them; it is returned untouched. It is stored as JSON within
// Listing; its tags are names in stored data and must not change.
type ReplicaID struct {
	Addr [4]byte `cbor:"Addr" json:"Addr"`
	Port uint16  `cbor:"Port" json:"Port"`
}

// ProxyID and TableID are numbers that stand on the wire.
type (
	ProxyID uint16
	TableID uint16
)

// RetryPolicy says when a proxy tries another replica.
type RetryPolicy uint8

const (
	RetryNever             RetryPolicy = iota // no further try
	RetryIfNotExecuted                        // one more, after proof that the first never ran
	RetryOnAnyFailure                         // one more after any failure
	RetryTwiceOnAnyFailure                    // two more after any failure
)

// MaxOperations is the most operations.
const MaxOperations = 16

// Operation is one kind of invocation.
type Operation struct {
	LatencyObjective Microseconds // latency objective
	PriorityWeight   float64      // billed value
}

// Config holds the start settings that the governor reads.
type Config struct {
	Seed                  uint64 // of this instance's chance
	Operations            []Operation
	Zones                 int
	SubscriptionRequired  bool    // the list answers only those who ask
	AdmissionControl      bool    // proxies honour an admitted share
	FullQuota             float64 // the quota that lets everything in, whether it is read as a share or as a rate
	ProxiesAvoidFailing   bool    // proxies keep away for some seconds from a replica that keeps failing
	StandingTableSize     int     // most lines of a proxy's standing table
	ReportPeriod          Microseconds
	MessageOverhead       int // lines that a message costs beyond its own
	QueueLimit            int // lines that may wait in the channel
	MessageLimit          int // messages to one proxy within MessagesSpan; 0: no limit
	MessageWindow         Microseconds
	CrossZoneCost         float64
	PublishCost           float64      // of the channel in use all day
	UtilizationField      int          // place in a load report of the share of its cores in use; -1: not reported
	WarmUpPeriod          Microseconds // within which a started replica is warm
	ProxyCount            int          // of all governors
	MinReplicaConnections int          // connections that the smallest replica accepts
	ZoneLocalOperations   uint16       // operations, by 1 << their place, that go to replicas of the proxy's zone only
}

// EndpointStatus is what the list says of a replica.
type EndpointStatus uint8

const (
	EndpointGone EndpointStatus = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one entry of the list. It is stored as JSON; its tags are names in stored data and must not change.
type Endpoint struct {
	ID        ReplicaID      `json:"ID"`
	Zone      int            `json:"Zone"`
	Status    EndpointStatus `json:"Life"`
	StartedAt Microseconds   `json:"Since"` // when it last started; 0: long ago
}

// EndpointUpdate says what kind of news from the list this is.
type EndpointUpdate uint8

const (
	FullList       EndpointUpdate = iota // the complete list
	ChangedEntries                       // changed entries only
	CachedList                           // the complete list as last held, maybe stale
	PollFailed                           // a call failed; no entries
)

// LoadReport is what the joined proxies of a zone met at a replica over a span.
type LoadReport struct {
	Zone        int          `cbor:"Zone"`
	Replica     ReplicaID    `cbor:"Replica"`
	Attempts    int          `cbor:"Tries"`
	Errors      int          `cbor:"Errored"`
	MeanLatency Microseconds `cbor:"Latency"` // mean of the good ones; 0 if none
	Window      Microseconds `cbor:"Span"`
	Readings    []float64    `cbor:"Report"` // the replica's newest load report; empty if none came
}

// Publisher carries out a governor's orders. All orders given between two calls of Governor.Settle leave as one
// message for each proxy concerned.
type Publisher interface {
	SetWeight(t TableID, r ReplicaID, weight float64) // one table line; 0 removes it
	// BindProxy puts a proxy on a table for some operations, by 1 << their place, or for all (0). Other governors may have shut out those of back, and not let them in again: where
	// that outlasts a bind, the proxy is told with it.
	BindProxy(p ProxyID, t TableID, operations uint16, back []ReplicaID)
	SetWithdrawn(r ReplicaID, out bool)                       // shut a replica out of every table, or let it back
	SetQuota(operations uint16, share float64, w RetryPolicy) // what all joined proxies let in and when they try again
	RequestAck(number uint32, all bool)                       // ask the proxies reached for an answer, or all joined
	SetTimer(after Microseconds)
	Subscribe() // subscribe to the list
	Log(text string)
}

// Duration is a span as the standard library has it.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Package fleet is the interface between a governor and whatever hosts it: what the host reports (plain
// values), the start settings that the governor reads (Terms), and the orders that a host carries out (Host).
package model

import "time"

// Micros is a time or a span in whole microseconds.
type Micros int64

const (
	Millisecond Micros = 1000
	Second             = 1000 * Millisecond
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

// Way says when a proxy tries another replica.
type Way uint8

const (
	Never      Way = iota // no further try
	WhenUnrun             // one more, after proof that the first never ran
	AnyFailure            // one more after any failure
	TwoMore               // two more after any failure
)

// Operation is one kind of invocation.
type Operation struct {
	Objective Micros  // latency objective
	Value     float64 // billed value
}

// Terms holds the start settings that the governor reads.
type Terms struct {
	Seed         uint64 // of this instance's chance
	Operations   []Operation
	Zones        int
	Subscribe    bool    // the list answers only those who ask
	Admits       bool    // proxies honour an admitted share
	AdmitAll     float64 // the quota that lets everything in, whether it is read as a share or as a rate
	Avoids       bool    // proxies keep away for some seconds from a replica that keeps failing
	StandingSize int     // most lines of a proxy's standing table
	Period       Micros
	Overhead     int // lines that a message costs beyond its own
	QueueMost    int // lines that may wait in the channel
	MessagesMost int // messages to one proxy within MessagesSpan; 0: no limit
	MessagesSpan Micros
	CrossPrice   float64
	PushPrice    float64 // of the channel in use all day
	BusyField    int     // place in a load report of the share of its cores in use; -1: not reported
	Cold         Micros  // within which a started replica is warm
	Proxies      int     // of all governors
	ConnsLeast   int     // connections that the smallest replica accepts
	OwnZone      uint16  // operations, by 1 << their place, that go to replicas of the proxy's zone only
}

// Life is what the list says of a replica.
type Life uint8

const (
	Gone Life = iota
	Ready
	Draining
)

// Listing is one entry of the list. It is stored as JSON; its tags are names in stored data and must not change.
type Listing struct {
	ID    ReplicaID `json:"ID"`
	Zone  int       `json:"Zone"`
	Life  Life      `json:"Life"`
	Since Micros    `json:"Since"` // when it last started; 0: long ago
}

// Scope says what kind of news from the list this is.
type Scope uint8

const (
	Whole  Scope = iota // the complete list
	Change              // changed entries only
	Cached              // the complete list as last held, maybe stale
	Failed              // a call failed; no entries
)

// Sum is what the joined proxies of a zone met at a replica over a span.
type Sum struct {
	Zone    int       `cbor:"Zone"`
	Replica ReplicaID `cbor:"Replica"`
	Tries   int       `cbor:"Tries"`
	Errored int       `cbor:"Errored"`
	Latency Micros    `cbor:"Latency"` // mean of the good ones; 0 if none
	Span    Micros    `cbor:"Span"`
	Report  []float64 `cbor:"Report"` // the replica's newest load report; empty if none came
}

// Host carries out a governor's orders. All orders given between two calls of Governor.Settle leave as one
// message for each proxy concerned.
type Host interface {
	Assign(t TableID, r ReplicaID, weight float64) // one table line; 0 removes it
	// Bind puts a proxy on a table for some operations, by 1 << their place, or for all (0). Other governors may have shut out those of back, and not let them in again: where
	// that outlasts a bind, the proxy is told with it.
	Bind(p ProxyID, t TableID, operations uint16, back []ReplicaID)
	Withdraw(r ReplicaID, out bool)                // shut a replica out of every table, or let it back
	Level(operations uint16, share float64, w Way) // what all joined proxies let in and when they try again
	Receipt(number uint32, all bool)               // ask the proxies reached for an answer, or all joined
	Wake(after Micros)
	Follow() // subscribe to the list
	Log(text string)
}

// Duration is a span as the standard library has it.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

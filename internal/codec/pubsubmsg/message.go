package pubsubmsg

import (
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// The first value of a push states what kind of message it is.
const (
	kindSnapshot = "snapshot"
	kindChange   = "change"
)

// The places of the values in a push.
const (
	valueKind = iota
	valueIncarnation
	valuePreviousVersion
	valueVersion
	valueUpdatedAt
	valueCost
	valueAckSequence
	valueBound
	valueTable
	valueEntries
	valueWithdrawals
	valueQuotas
	valueEpoch
	messageLength
)

// The numbers of values that one element of a list in a push takes.
const (
	entryLength      = 2
	withdrawalLength = 2
	quotaLength      = 3
)

// Message is one push: a change of what the proxy holds or, where Full is set, a snapshot that replaces all of it.
type Message struct {
	Full            bool
	Incarnation     uint64
	PreviousVersion uint64
	Version         uint64
	UpdatedAt       model.Microseconds // when the controller decided it, since 1970 by the controller's clock
	Cost            int                // entries that it counts against the send window
	AckSequence     int                // to be acknowledged; -1: no acknowledgement is requested
	Bound           bool               // Full only: the proxy uses a table of the controller's, not its standing table
	Table           model.TableID
	Entries         []Entry
	Withdrawals     []Withdrawal
	Quotas          []Quota
	Epoch           uint64 // of the lease of the proxy's shard; 0 where the fleet is not sharded
}

// Entry is a replica's weight in a table; weight 0 removes the replica from the table.
type Entry struct {
	Replica model.ReplicaID
	Weight  float64
}

// Withdrawal says whether a replica is withdrawn from every table, or readmitted.
type Withdrawal struct {
	Replica   model.ReplicaID
	Withdrawn bool
}

// Quota is the share of requests to admit and the retry policy, for some operations.
type Quota struct {
	Operations  uint16 // a set: operation n is in it if bit n is set
	Share       float64
	RetryPolicy model.RetryPolicy
}

// IsMessage reports whether a value is a push that Parse parses, as opposed to other pushes.
func IsMessage(value resp.Value) bool {
	if value.Kind != resp.Push || len(value.Items) == 0 {
		return false
	}
	kind := value.Items[valueKind].Text
	return kind == kindSnapshot || kind == kindChange
}

package pubsubmsg

import (
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// The kinds of messages. The kind is the first value of a push.
const (
	kindSnapshot = "snapshot"
	kindChange   = "change"
)

// The indices of the values in a push.
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

// The numbers of values in one element of each list of a push.
const (
	entryLength      = 2
	withdrawalLength = 2
	quotaLength      = 3
)

// Message is one push: a change to the state of the proxy or, if Full is set, a snapshot that replaces the state.
type Message struct {
	Full            bool
	Incarnation     uint64
	PreviousVersion uint64
	Version         uint64
	UpdatedAt       model.Microseconds // time of the controller's decision, since 1970 by the controller's clock
	Cost            int                // number of entries that the message uses of the send window
	AckSequence     int                // sequence for the proxy to acknowledge; -1: no acknowledgement is requested
	Bound           bool               // snapshots only: the proxy uses a table of the controller, not its standing table
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

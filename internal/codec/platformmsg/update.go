package platformmsg

import "peppervale/internal/model"

// Update is one message to a proxy. It counts as one message in the send window, regardless of its number of parts.
type Update struct {
	Full            bool // Entries is the complete table, and earlier quotas no longer apply
	Entries         []Entry
	OperationTables []OperationTable
	Quotas          []Quota
	Withdrawn       []string
	Readmitted      []string
	AckSequence     int // sequence for the proxy to acknowledge; -1: no acknowledgement is requested
}

// Entry is a replica's weight in a table; weight 0 removes the replica from the table.
type Entry struct {
	Replica string
	Weight  float64
}

// OperationTable is a table, or a change to a table, that applies to some operations.
type OperationTable struct {
	Operations []string
	Full       bool
	Entries    []Entry
}

// Quota is the share of an operation's requests to admit, and the retry policy.
type Quota struct {
	Operation   string // empty: all operations
	Share       float64
	RetryPolicy model.RetryPolicy
}

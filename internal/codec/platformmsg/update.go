package platformmsg

import "peppervale/internal/model"

// Update is one message to a proxy. It counts as one in the send window, whatever its number of parts.
type Update struct {
	Full            bool // Entries are the complete table, and earlier quotas no longer apply
	Entries         []Entry
	OperationTables []OperationTable
	Quotas          []Quota
	Withdrawn       []string
	Readmitted      []string
	AckSequence     int // to be acknowledged; -1: no acknowledgement is requested
}

// Entry is a replica's weight in a table; weight 0 removes the replica from the table.
type Entry struct {
	Replica string
	Weight  float64
}

// OperationTable is a table, or a change of one, that applies to some operations.
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

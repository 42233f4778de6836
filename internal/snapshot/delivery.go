package snapshot

import (
	"slices"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Costs beyond the entries of a message, in entries of the send window.
const (
	ackRequestCost = 1
	bindingCost    = 1 // of each table in a snapshot; one without table is charged for one
)

// Delivery is a message made for one subscriber. It belongs to the caller of Apply.
type Delivery struct {
	Subscriber *Subscriber
	Message    *pubsubmsg.Message
	// Readmitted names replicas of a newly bound table that other controllers may have withdrawn.
	Readmitted []model.ReplicaID
	// OperationTables stands in place of the message's entries where the subscriber's tables are for some operations
	// each.
	OperationTables []OperationTable
}

// OperationTable is what changes in the table for some operations.
type OperationTable struct {
	Operations uint16 // a mask with 1 << index for each
	Full       bool   // Entries is the complete table, not a change to it
	Entries    []pubsubmsg.Entry
}

// deliver makes a subscriber's message of a batch that has been applied.
func (s *State) deliver(subscriber *Subscriber, batch *Batch) Delivery {
	changed := subscriber.takeChanges()
	message := s.message(subscriber, changed)
	message.UpdatedAt = batch.At
	message.AckSequence = batch.AckSequence
	if message.AckSequence != NoAckSequence {
		subscriber.ackSequence = message.AckSequence
		message.Cost += ackRequestCost
	}
	return Delivery{
		Subscriber:      subscriber,
		Message:         message,
		Readmitted:      changed.readmitted,
		OperationTables: subscriber.splitByOperations(changed, message),
	}
}

// message makes a snapshot for a newly bound subscriber, else a delta.
func (s *State) message(subscriber *Subscriber, changed *changes) *pubsubmsg.Message {
	if !changed.bound {
		return s.delta(subscriber, changed)
	}
	message := s.Snapshot(subscriber)
	message.Version = s.Version
	subscriber.version = s.Version
	return message
}

func (s *State) delta(subscriber *Subscriber, changed *changes) *pubsubmsg.Message {
	message := &pubsubmsg.Message{
		Incarnation:     s.Incarnation,
		PreviousVersion: subscriber.version,
		Version:         s.Version,
	}
	subscriber.version = s.Version
	if changed.quotas {
		message.Quotas = slices.Clone(s.Quotas)
	}
	message.Entries = subscriber.Table.currentEntries(changed.entries)
	for _, replica := range unique(changed.withdrawals) {
		withdrawn := s.isWithdrawn[replica]
		message.Withdrawals = append(message.Withdrawals, pubsubmsg.Withdrawal{Replica: replica, Withdrawn: withdrawn})
		subscriber.setWithdrawn(replica, withdrawn)
	}
	message.Cost = s.cost(message)
	return message
}

// Snapshot makes a message with the complete state that a subscriber should have now. It replaces every message made
// for the subscriber before.
func (s *State) Snapshot(subscriber *Subscriber) *pubsubmsg.Message {
	message := &pubsubmsg.Message{
		Full:            true,
		Incarnation:     s.Incarnation,
		PreviousVersion: subscriber.version,
		Version:         subscriber.version,
		AckSequence:     subscriber.ackSequence,
		Quotas:          slices.Clone(s.Quotas),
	}
	message.Withdrawals = slices.Concat(s.endedWithdrawals(subscriber), s.currentWithdrawals(subscriber))
	clear(subscriber.withdrawn)
	for _, withdrawal := range message.Withdrawals {
		subscriber.setWithdrawn(withdrawal.Replica, withdrawal.Withdrawn)
	}
	if subscriber.Table != nil {
		message.Bound = true
		message.Table = subscriber.Table.ID
		message.Entries = slices.Clone(subscriber.Table.Entries)
	}
	message.Cost = s.cost(message) + bindingCost
	return message
}

// endedWithdrawals returns the withdrawals that a snapshot has to end. A bound proxy forgets every withdrawal
// that the snapshot does not name; one on its standing table keeps those of other controllers, and is notified of the
// end of ours. They are sorted by address, so that the same updates give the same bytes.
func (s *State) endedWithdrawals(subscriber *Subscriber) []pubsubmsg.Withdrawal {
	if subscriber.Table != nil {
		return nil
	}
	var ended []pubsubmsg.Withdrawal
	for replica := range subscriber.withdrawn {
		if !s.isWithdrawn[replica] {
			ended = append(ended, pubsubmsg.Withdrawal{Replica: replica})
		}
	}
	slices.SortFunc(ended, func(a, b pubsubmsg.Withdrawal) int {
		return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
	})
	return ended
}

// currentWithdrawals returns those that concern a subscriber, in the order in which the replicas were withdrawn.
func (s *State) currentWithdrawals(subscriber *Subscriber) []pubsubmsg.Withdrawal {
	var current []pubsubmsg.Withdrawal
	for _, replica := range s.Withdrawn {
		if subscriber.mayUse(replica) {
			current = append(current, pubsubmsg.Withdrawal{Replica: replica, Withdrawn: true})
		}
	}
	return current
}

// cost returns what a message takes of the send window without binding and acknowledgement request, in entries.
func (s *State) cost(message *pubsubmsg.Message) int {
	return s.messageOverhead + len(message.Entries) + len(message.Withdrawals) + len(message.Quotas)
}

// splitByOperations takes the entries out of a message to a subscriber whose tables are for some operations each, and
// returns them by table.
func (s *Subscriber) splitByOperations(changed *changes, message *pubsubmsg.Message) []OperationTable {
	if s.Operations == 0 {
		return nil
	}
	var tables []OperationTable
	if message.Full || len(message.Entries) > 0 {
		tables = append(tables, OperationTable{s.Operations, message.Full, message.Entries})
	}
	message.Entries = nil
	if s.ZoneLocalTable == nil {
		return tables
	}
	zoneLocal := s.zoneLocalChanges(changed)
	message.Cost += len(zoneLocal.Entries)
	if zoneLocal.Full {
		message.Cost += bindingCost
	}
	if zoneLocal.Full || len(zoneLocal.Entries) > 0 {
		tables = append(tables, zoneLocal)
	}
	return tables
}

func (s *Subscriber) zoneLocalChanges(changed *changes) OperationTable {
	table := OperationTable{Operations: s.ZoneLocalOperations, Full: changed.bound}
	if table.Full {
		table.Entries = slices.Clone(s.ZoneLocalTable.Entries)
	} else {
		table.Entries = s.ZoneLocalTable.currentEntries(changed.zoneLocal)
	}
	return table
}

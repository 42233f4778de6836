package snapshot

import (
	"slices"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Costs of a message in addition to its entries, in entries of the send window.
const (
	ackRequestCost = 1
	bindingCost    = 1 // of each table in a snapshot, and of a snapshot without table
)

// Delivery is a message for one subscriber. It belongs to the caller of Apply.
type Delivery struct {
	Subscriber *Subscriber
	Message    *pubsubmsg.Message
	// Readmitted lists replicas of a newly bound table that other controllers may have withdrawn.
	Readmitted []model.ReplicaID
	// OperationTables replaces the message's entries if the subscriber has separate tables for separate operations.
	OperationTables []OperationTable
}

// OperationTable is the change to the table for some operations.
type OperationTable struct {
	Operations uint16 // a mask with 1 << index for each
	Full       bool   // Entries is the complete table; else only the changed entries
	Entries    []pubsubmsg.Entry
}

// deliver returns a subscriber's message for a batch that has been applied.
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

// message returns a snapshot for a newly bound subscriber and a delta for any other.
func (s *State) message(subscriber *Subscriber, changed *changes) *pubsubmsg.Message {
	if !changed.newlyBound {
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
	if changed.quotasChanged {
		message.Quotas = slices.Clone(s.Quotas)
	}
	message.Entries = subscriber.Table.currentEntries(changed.changedReplicas)
	for _, replica := range unique(changed.withdrawalChanges) {
		withdrawn := s.isWithdrawn[replica]
		message.Withdrawals = append(message.Withdrawals, pubsubmsg.Withdrawal{Replica: replica, Withdrawn: withdrawn})
		subscriber.setWithdrawn(replica, withdrawn)
	}
	message.Cost = s.cost(message)
	return message
}

// Snapshot returns a message with the complete state that a subscriber should have now. It replaces all earlier
// messages to the subscriber.
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
	if s.snapshotEndsWithdrawals(subscriber) {
		clear(subscriber.withdrawn)
	}
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

// snapshotEndsWithdrawals reports whether a snapshot ends a subscriber's withdrawals that it does not contain. A proxy
// on its standing table keeps them whatever the protocol, as other controllers may have sent them.
func (s *State) snapshotEndsWithdrawals(subscriber *Subscriber) bool {
	return subscriber.Table != nil && s.withdrawalLifetime == UntilSnapshot
}

// endedWithdrawals returns the readmissions that a snapshot must contain: those of replicas that the subscriber may use
// and holds as withdrawn by this controller although they are not. The readmission of another replica is sent together
// with an entry for it. The result is sorted by address, so that the same updates give the same bytes.
func (s *State) endedWithdrawals(subscriber *Subscriber) []pubsubmsg.Withdrawal {
	if s.snapshotEndsWithdrawals(subscriber) {
		return nil
	}
	var ended []pubsubmsg.Withdrawal
	for replica := range subscriber.withdrawn {
		if !s.isWithdrawn[replica] && subscriber.mayUse(replica) {
			ended = append(ended, pubsubmsg.Withdrawal{Replica: replica})
		}
	}
	slices.SortFunc(ended, func(a, b pubsubmsg.Withdrawal) int {
		return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
	})
	return ended
}

// currentWithdrawals returns the withdrawals that concern a subscriber, in the order in which the replicas were
// withdrawn.
func (s *State) currentWithdrawals(subscriber *Subscriber) []pubsubmsg.Withdrawal {
	var current []pubsubmsg.Withdrawal
	for _, replica := range s.Withdrawn {
		if subscriber.mayUse(replica) {
			current = append(current, pubsubmsg.Withdrawal{Replica: replica, Withdrawn: true})
		}
	}
	return current
}

// cost returns the cost of a message in entries of the send window, without binding and acknowledgement request.
func (s *State) cost(message *pubsubmsg.Message) int {
	return s.messageOverhead + len(message.Entries) + len(message.Withdrawals) + len(message.Quotas)
}

// splitByOperations moves the entries out of a message and returns them by table, if the subscriber's tables are for
// separate operations. It returns nil if the subscriber's table is for all operations.
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
	table := OperationTable{Operations: s.ZoneLocalOperations, Full: changed.newlyBound}
	if table.Full {
		table.Entries = slices.Clone(s.ZoneLocalTable.Entries)
	} else {
		table.Entries = s.ZoneLocalTable.currentEntries(changed.zoneLocalChangedReplicas)
	}
	return table
}

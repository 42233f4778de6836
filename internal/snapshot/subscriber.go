package snapshot

import "peppervale/internal/model"

// Subscriber is a connected proxy and what it has been sent. It is to be read only.
type Subscriber struct {
	Proxy model.ProxyID
	Name  string

	Table               *Table // that it is bound to; nil: it uses its standing table, which is not known here
	Operations          uint16 // that Table is for: a mask with 1 << index for each; 0: all
	ZoneLocalTable      *Table // for the operations that stay in the proxy's zone, where they have a table of their own
	ZoneLocalOperations uint16 // that ZoneLocalTable is for

	version     uint64                   // of the newest message made for it
	ackSequence int                      // the newest that it was asked for, or NoAckSequence
	withdrawn   map[model.ReplicaID]bool // replicas that it was notified of as withdrawn, and not readmitted since
	pending     *changes                 // for its next message; nil: nothing changed
}

// changes is what a subscriber's next message has to contain. Replicas are in the order of their changes and may be
// repeated.
type changes struct {
	bound       bool              // it was bound anew: the message is a snapshot
	readmitted  []model.ReplicaID // replicas of its tables that other controllers may have withdrawn
	entries     []model.ReplicaID // changed in its table
	zoneLocal   []model.ReplicaID // changed in its zone-local table
	withdrawals []model.ReplicaID // withdrawn or readmitted
	quotas      bool
}

// IsWithdrawn reports whether the subscriber was notified that a replica is withdrawn, and not that it is readmitted.
func (s *Subscriber) IsWithdrawn(replica model.ReplicaID) bool { return s.withdrawn[replica] }

func (s *Subscriber) setWithdrawn(replica model.ReplicaID, withdrawn bool) {
	if withdrawn {
		s.withdrawn[replica] = true
	} else {
		delete(s.withdrawn, replica)
	}
}

// pendingChanges returns the changes for the next message, to be added to.
func (s *Subscriber) pendingChanges() *changes {
	if s.pending == nil {
		s.pending = &changes{}
	}
	return s.pending
}

// takeChanges returns the pending changes and begins anew.
func (s *Subscriber) takeChanges() *changes {
	taken := s.pendingChanges()
	s.pending = nil
	return taken
}

// mayUse reports whether a replica's withdrawal concerns the subscriber: it has an entry for the replica, or uses a
// standing table, whose entries are not known here.
func (s *Subscriber) mayUse(replica model.ReplicaID) bool {
	if s.Table == nil {
		return true
	}
	if s.ZoneLocalTable != nil && s.ZoneLocalTable.has(replica) {
		return true
	}
	return s.Table.has(replica)
}

// bind has the subscriber use a table for some operations (0: all). A table for operations that the first one leaves
// out is used beside it; any other table replaces those before.
func (s *Subscriber) bind(table *Table, operations uint16) {
	if s.needsZoneLocalTable(operations) {
		s.ZoneLocalTable = table
		s.ZoneLocalOperations = operations
	} else {
		s.unbind()
		s.Table = table
		s.Operations = operations
		s.pendingChanges().readmitted = nil
	}
	table.users = append(table.users, s)
}

func (s *Subscriber) needsZoneLocalTable(operations uint16) bool {
	isBoundForSome := s.Table != nil && s.Operations != 0
	isForOthers := operations != 0 && s.Operations&operations == 0
	return isBoundForSome && isForOthers && s.ZoneLocalTable == nil
}

func (s *Subscriber) unbind() {
	if s.Table != nil {
		s.Table.removeUser(s)
	}
	if s.ZoneLocalTable != nil {
		s.ZoneLocalTable.removeUser(s)
	}
	s.Table = nil
	s.Operations = 0
	s.ZoneLocalTable = nil
	s.ZoneLocalOperations = 0
}

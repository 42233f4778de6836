package snapshot

import "peppervale/internal/model"

// Subscriber is a connected proxy and the state that it has been sent. Callers must not change its fields.
type Subscriber struct {
	Proxy model.ProxyID
	Name  string

	Table               *Table // table that it is bound to; nil: it uses its standing table, which is not known here
	Operations          uint16 // operations that Table is for: a mask with 1 << index for each; 0: all
	ZoneLocalTable      *Table // for operations that stay in the proxy's zone; nil: they have no separate table
	ZoneLocalOperations uint16 // operations that ZoneLocalTable is for

	version     uint64                   // version of the newest message to it
	ackSequence int                      // newest sequence that it was asked to acknowledge, or NoAckSequence
	withdrawn   map[model.ReplicaID]bool // replicas that it holds as withdrawn by this controller
	pending     *changes                 // changes for its next message; nil: none
}

// changes lists what a subscriber's next message must contain. Replicas are in the order of their changes and may occur
// several times.
type changes struct {
	newlyBound               bool              // it was newly bound: the message is a snapshot
	readmitted               []model.ReplicaID // replicas of its tables that other controllers may have withdrawn
	changedReplicas          []model.ReplicaID // changed in its table
	zoneLocalChangedReplicas []model.ReplicaID // changed in its zone-local table
	withdrawalChanges        []model.ReplicaID // withdrawn or readmitted
	quotasChanged            bool              // an admission quota or retry policy was set
}

// removeDuplicates leaves each replica once in each list, so that changes that are kept for long stay bounded by the
// number of replicas.
func (c *changes) removeDuplicates() {
	c.readmitted = unique(c.readmitted)
	c.changedReplicas = unique(c.changedReplicas)
	c.zoneLocalChangedReplicas = unique(c.zoneLocalChangedReplicas)
	c.withdrawalChanges = unique(c.withdrawalChanges)
}

// IsWithdrawn reports whether the subscriber was sent a replica as withdrawn, and neither a readmission nor a snapshot
// has ended that since.
func (s *Subscriber) IsWithdrawn(replica model.ReplicaID) bool { return s.withdrawn[replica] }

func (s *Subscriber) setWithdrawn(replica model.ReplicaID, withdrawn bool) {
	if withdrawn {
		s.withdrawn[replica] = true
	} else {
		delete(s.withdrawn, replica)
	}
}

// pendingChanges returns the changes for the next message; the caller may add to them.
func (s *Subscriber) pendingChanges() *changes {
	if s.pending == nil {
		s.pending = &changes{}
	}
	return s.pending
}

// takeChanges removes and returns the pending changes.
func (s *Subscriber) takeChanges() *changes {
	taken := s.pendingChanges()
	s.pending = nil
	return taken
}

// mayUse reports whether a replica's withdrawal concerns the subscriber. It does if the subscriber has an entry for the
// replica, or uses its standing table, whose entries are not known here.
func (s *Subscriber) mayUse(replica model.ReplicaID) bool {
	if s.Table == nil {
		return true
	}
	if s.ZoneLocalTable != nil && s.ZoneLocalTable.hasEntry(replica) {
		return true
	}
	return s.Table.hasEntry(replica)
}

// bind binds the subscriber to a table for some operations (0: all). A table for operations that the current table is
// not for is used in addition to it. Any other table replaces the current tables.
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
	table.subscribers = append(table.subscribers, s)
}

func (s *Subscriber) needsZoneLocalTable(operations uint16) bool {
	hasTableForSomeOperations := s.Table != nil && s.Operations != 0
	isForOtherOperations := operations != 0 && s.Operations&operations == 0
	return hasTableForSomeOperations && isForOtherOperations && s.ZoneLocalTable == nil
}

func (s *Subscriber) unbind() {
	if s.Table != nil {
		s.Table.removeSubscriber(s)
	}
	if s.ZoneLocalTable != nil {
		s.ZoneLocalTable.removeSubscriber(s)
	}
	s.Table = nil
	s.Operations = 0
	s.ZoneLocalTable = nil
	s.ZoneLocalOperations = 0
}

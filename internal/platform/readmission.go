package platform

import (
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// readmissions are the replicas that a proxy which came with withdrawals of other controllers has yet to be notified
// of as usable again. Such a proxy keeps each withdrawal that it was sent on earlier streams, by any controller and
// through full tables (measured, see docs/platform.md): an entry takes effect for certain only once its replica is
// readmitted.
//
// A bind readmits at once the replicas that the controller thinks may be withdrawn, and a new entry its own, as both
// are charged for. The other replicas of a bind follow later, where a message has capacity to spare.
type readmissions struct {
	// settled are the replicas that were withdrawn or readmitted on this stream, or are deferred. It is nil for a proxy
	// that came on the standing table: nothing is readmitted for it.
	settled map[model.ReplicaID]bool
	// deferred are the replicas of a bind that are readmitted later, in that order.
	deferred []model.ReplicaID
}

// settle notes that a replica's withdrawal or readmission has been sent.
func (r *readmissions) settle(replica model.ReplicaID) {
	if r.settled != nil {
		r.settled[replica] = true
	}
}

// next returns the replicas that a message readmits beyond its own readmissions, at most so many deferred ones among
// them.
func (r *readmissions) next(delivery snapshot.Delivery, spare int) (readmitted []model.ReplicaID) {
	if r.settled == nil {
		return nil
	}
	readmit := func(replica model.ReplicaID) {
		if !r.settled[replica] {
			r.settled[replica] = true
			readmitted = append(readmitted, replica)
		}
	}
	for _, replica := range delivery.Readmitted {
		readmit(replica)
	}
	commonTable := snapshot.OperationTable{Entries: delivery.Message.Entries}
	for _, table := range append([]snapshot.OperationTable{commonTable}, delivery.OperationTables...) {
		for _, entry := range table.Entries {
			switch {
			case delivery.Message.Full && !r.settled[entry.Replica]:
				r.settled[entry.Replica] = true
				r.deferred = append(r.deferred, entry.Replica)
			case entry.Weight > 0:
				readmit(entry.Replica)
			}
		}
	}
	return append(readmitted, r.takeDeferred(delivery.Subscriber, spare)...)
}

// takeDeferred removes and returns the next deferred replicas, spare of them at most. Those of which the subscriber was
// notified that they are withdrawn are dropped, and do not count.
func (r *readmissions) takeDeferred(subscriber *snapshot.Subscriber, spare int) (readmitted []model.ReplicaID) {
	for spare > 0 && len(r.deferred) > 0 {
		replica := r.deferred[0]
		r.deferred = r.deferred[1:]
		if !subscriber.IsWithdrawn(replica) {
			readmitted = append(readmitted, replica)
			spare--
		}
	}
	return readmitted
}

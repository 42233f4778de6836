package platform

import (
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// readmissions tracks the replicas that have to be readmitted for a proxy. A proxy keeps each withdrawal that any
// controller sent it on earlier streams, even when it receives full tables (see docs/platform.md), and also while it is
// on its standing table: controllers withdraw replicas from proxies that they have not bound. An entry is certain to
// take effect only once its replica is readmitted.
//
// A bind readmits at once the replicas that may be withdrawn according to the controller, and a new entry readmits its
// own replica: the cost of both includes the readmission. The remaining replicas of a bind are readmitted later, in
// messages with spare capacity.
type readmissions struct {
	// settled holds the replicas that were withdrawn or readmitted on this stream, or are deferred. It is nil until the
	// proxy is admitted.
	settled map[model.ReplicaID]bool
	// deferred lists the replicas of a bind that are readmitted later, in that order.
	deferred []model.ReplicaID
}

// markSettled records that a replica's withdrawal or readmission has been sent.
func (r *readmissions) markSettled(replica model.ReplicaID) {
	if r.settled != nil {
		r.settled[replica] = true
	}
}

// replicasToReadmit returns the replicas that a message readmits in addition to its own readmissions, including at most
// maxDeferred deferred ones.
func (r *readmissions) replicasToReadmit(delivery snapshot.Delivery, maxDeferred int) (readmitted []model.ReplicaID) {
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
	return append(readmitted, r.takeDeferred(delivery.Subscriber, maxDeferred)...)
}

// takeDeferred removes and returns the next deferred replicas, at most as many as remaining. Replicas that are
// withdrawn for the subscriber are dropped and do not count.
func (r *readmissions) takeDeferred(subscriber *snapshot.Subscriber, remaining int) (readmitted []model.ReplicaID) {
	for remaining > 0 && len(r.deferred) > 0 {
		replica := r.deferred[0]
		r.deferred = r.deferred[1:]
		if !subscriber.IsWithdrawn(replica) {
			readmitted = append(readmitted, replica)
			remaining--
		}
	}
	return readmitted
}

package snapshot

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Update is one change that a balancer asks for; Kind says which of the other fields count.
type Update struct {
	Kind      UpdateKind
	Table     model.TableID   // SetWeight, BindProxy
	Proxy     model.ProxyID   // BindProxy
	Replica   model.ReplicaID // SetWeight, SetWithdrawn
	Weight    float64         // SetWeight: 0 removes the entry
	Withdrawn bool            // SetWithdrawn: false readmits the replica
	Quota     pubsubmsg.Quota // SetQuota

	// Of BindProxy: the operations that the table is for, a mask with 1 << index for each (0: all), and the replicas of
	// the table that other controllers may have withdrawn.
	Operations uint16
	Readmitted []model.ReplicaID
}

// UpdateKind is what an Update does.
type UpdateKind uint8

// The kinds of an Update.
const (
	SetWeight    UpdateKind = iota // set or remove an entry of a table
	BindProxy                      // have a proxy use a table
	SetWithdrawn                   // withdraw a replica from every table, or readmit it
	SetQuota                       // set the admission quota of all proxies for some operations
)

// NoAckSequence stands in Batch.AckSequence where no acknowledgement is asked for.
const NoAckSequence = -1

// Batch is what a balancer asked for between two flushes.
type Batch struct {
	Updates     []Update
	AckSequence int                // that the proxies reached acknowledge; NoAckSequence: none
	AckFromAll  bool               // every subscriber gets a message and acknowledges it
	At          model.Microseconds // time of the flush, by the controller's clock
}

// Empty reports whether the batch reaches no proxy.
func (b *Batch) Empty() bool { return len(b.Updates) == 0 && !b.AckFromAll }

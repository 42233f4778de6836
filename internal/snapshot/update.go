package snapshot

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Update is one change that a balancer requests. Kind determines which of the other fields are used.
type Update struct {
	Kind      UpdateKind
	Table     model.TableID   // SetWeight, BindProxy
	Proxy     model.ProxyID   // BindProxy
	Replica   model.ReplicaID // SetWeight, SetWithdrawn
	Weight    float64         // SetWeight: 0 removes the entry
	Withdrawn bool            // SetWithdrawn: false readmits the replica
	Quota     pubsubmsg.Quota // SetQuota

	// For BindProxy: the operations that the table is for, a mask with 1 << index for each (0: all), and the replicas of
	// the table that other controllers may have withdrawn.
	Operations uint16
	Readmitted []model.ReplicaID
}

// UpdateKind is the kind of an Update.
type UpdateKind uint8

// The kinds of an Update.
const (
	SetWeight    UpdateKind = iota // set or remove an entry of a table
	BindProxy                      // bind a proxy to a table
	SetWithdrawn                   // withdraw a replica from every table, or readmit it
	SetQuota                       // set the admission quota of all proxies for some operations
)

// NoAckSequence is the value of Batch.AckSequence if no acknowledgement is requested.
const NoAckSequence = -1

// Batch contains the updates that a balancer requested between two flushes.
type Batch struct {
	Updates     []Update
	AckSequence int                // sequence that the recipients acknowledge; NoAckSequence: none
	AckFromAll  bool               // every subscriber gets a message and acknowledges it; not used if Partial is set
	At          model.Microseconds // time of the flush, by the controller's clock

	// With Partial, only the recipients get a message. Changes for other subscribers are kept until they are recipients
	// of a later batch.
	Partial    bool
	Recipients []model.ProxyID
}

// Empty reports whether the batch is for no proxy.
func (b *Batch) Empty() bool { return len(b.Updates) == 0 && !b.AckFromAll && len(b.Recipients) == 0 }

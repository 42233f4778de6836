package model

// Publisher publishes a balancer's decisions. The calls between two flushes are published together, as one message for
// each affected proxy, once the flush has returned. The methods are called from the balancer's goroutine, within its
// event methods, and must not call the balancer.
type Publisher interface {
	// SetWeight sets the weight of a replica's entry in a table, relative to the table's other entries. A weight of 0
	// removes the entry. The change is sent to the proxies that are bound to the table.
	SetWeight(table TableID, replica ReplicaID, weight float64)

	// BindProxy binds a proxy to a table, with all its entries, for some operations: a mask with 1 << index for each, or
	// 0 for all. Other controllers may have withdrawn the replicas in readmitted from this proxy without readmitting
	// them. If a binding does not end such withdrawals, the proxy is notified of the readmission together with it.
	BindProxy(proxy ProxyID, table TableID, operations uint16, readmitted []ReplicaID)

	// SetWithdrawn withdraws a replica from every table, also from the standing tables of proxies that are not bound, or
	// readmits it. Entries of a withdrawn replica keep their weight.
	SetWithdrawn(replica ReplicaID, withdrawn bool)

	// SetQuota sets the admission quota and the retry policy of all connected proxies for the operations of a mask (0:
	// all). Config determines whether a quota is a fraction of the requests or a rate.
	SetQuota(operations uint16, quota float64, policy RetryPolicy)

	// RequestAck adds an acknowledgement sequence to the messages of this flush. Each proxy that receives one responds
	// once it has applied it and all earlier messages. With fromAll, connected proxies that the flush does not affect
	// are sent a message too. With Config.PartialDelivery only the recipients get a message, and they are sent in this
	// order; what the flush or an earlier one changes for another proxy is kept and belongs to the next message to that
	// proxy. Without it, recipients is nil.
	RequestAck(sequence uint32, fromAll bool, recipients []ProxyID)

	// SetTimer requests a call of the balancer's TimerFired after a delay. At most one timer is pending: the balancer sets
	// one when it starts and whenever one has fired.
	SetTimer(delay Microseconds)

	// Subscribe subscribes to the endpoint list and replaces any earlier subscription. An endpoint event follows.
	Subscribe()

	// Log records a state change in the log and in the decision log.
	Log(message string)
}

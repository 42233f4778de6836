package model

// Publisher publishes a balancer's decisions. What a balancer calls between two flushes is published together, as one
// message for each proxy concerned, once the flush has returned. The methods are called from the balancer's goroutine,
// within its event methods, and must not call the balancer.
type Publisher interface {
	// SetWeight sets the weight of a replica's entry in a table, relative to the table's other entries. A weight of 0
	// removes the entry. The proxies that are bound to the table are sent the change.
	SetWeight(table TableID, replica ReplicaID, weight float64)

	// BindProxy has a proxy use a table, with all its entries, for some operations: a mask with 1 << index for each, or
	// 0 for all. Other controllers may have withdrawn the replicas in readmitted from this proxy and not readmitted
	// them; where such a withdrawal outlasts a binding, the proxy is notified with it that they may be used.
	BindProxy(proxy ProxyID, table TableID, operations uint16, readmitted []ReplicaID)

	// SetWithdrawn withdraws a replica from every table, also from the standing tables of proxies that are not bound, or
	// readmits it. Entries keep their weight meanwhile.
	SetWithdrawn(replica ReplicaID, withdrawn bool)

	// SetQuota sets the admission quota of all connected proxies for the operations of a mask (0: all), and when the
	// proxies retry requests of these operations. Config says whether a quota is a fraction of the requests, or a rate.
	SetQuota(operations uint16, quota float64, policy RetryPolicy)

	// RequestAck adds an acknowledgement sequence to the messages of this flush. Each proxy that gets one answers once it
	// has applied it and every message before. With fromAll, also the connected proxies which the flush does not concern
	// get a message.
	RequestAck(sequence uint32, fromAll bool)

	// SetTimer asks for a call of the balancer's TimerFired after a delay. At most one timer is pending: the balancer sets
	// the next one as it starts and whenever one has fired.
	SetTimer(delay Microseconds)

	// Subscribe subscribes to the endpoint list, anew if need be. It is answered by an endpoint event.
	Subscribe()

	// Log records a state change in the log and in the decision log.
	Log(message string)
}

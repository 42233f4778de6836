package admission

// Budget bounds the bytes that are queued for peers. A peer's deltas are merged into one snapshot, which is sent later,
// once its queue is over PerPeer, or over its even share of Total while all queues together are over Total. So a peer
// that reads is not delayed by a peer that does not read.
//
//	queued for this peer     queued for all    decision
//	over PerPeer             any               merge
//	over its even share      over Total        merge
//	up to its even share     over Total        send
//	up to PerPeer            up to Total       send
//
// At most twice Total is queued, and one message for each peer, and one further message: some peers may have queued up
// to Total before the queues of the other peers reach their even shares.
type Budget struct {
	PerPeer int64 // bytes that may be queued for one peer
	Total   int64 // bytes that may be queued for all peers together
}

// MustMerge reports whether a peer's messages must be merged; queued and queuedForAll are in bytes, peers is the
// number of connections.
func (b Budget) MustMerge(queued, queuedForAll int64, peers int) bool {
	evenShare := b.Total / int64(max(peers, 1))
	return queued > b.PerPeer || queuedForAll > b.Total && queued > evenShare
}

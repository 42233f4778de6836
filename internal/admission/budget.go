package admission

// Budget bounds the bytes that wait for peers to read them. Once a peer is over its own limit, or over its even share
// of Total while all together are over Total, its deltas are merged into one snapshot, sent later. So a peer that reads
// is not held up by one that does not.
//
//	waiting for this peer    waiting for all   decision
//	over PerPeer             any               merge
//	over its even share      over Total        merge
//	up to its even share     over Total        send
//	up to PerPeer            up to Total       send
//
// So at most twice Total, one message for each peer, and one further message wait: some peers may have up to Total
// waiting before the others come up to their even shares.
type Budget struct {
	PerPeer int64 // bytes that may wait for one peer
	Total   int64 // bytes that may wait for all peers together
}

// MustMerge reports whether a peer's messages are to be merged; waiting and waitingForAll are in bytes, peers counts
// the connections.
func (b Budget) MustMerge(waiting, waitingForAll int64, peers int) bool {
	evenShare := b.Total / int64(max(peers, 1))
	return waiting > b.PerPeer || waitingForAll > b.Total && waiting > evenShare
}

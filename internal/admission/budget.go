package admission

// Budget bounds the bytes that wait for peers to read them. Once a peer is over its own limit, or over its even share
// while all together are over theirs, its deltas are merged into one snapshot, sent later: a peer that reads is not
// held up by one that does not.
//
//	waiting for this peer    waiting for all   decision
//	over PerPeer             any               merge
//	over its even share      over InAll        merge
//	up to its even share     over InAll        send
//	up to PerPeer            up to InAll       send
//
// So no more than twice InAll, and one message for each peer and one more, ever waits: what some had before the
// others came up to their shares.
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

package admission

import "peppervale/internal/model"

// Budget bounds the bytes that wait for peers to read them. The peer that does not read pays first: over its own bound, or over
// its even share while all together are over theirs, its changes fold into one snapshot later. Who reads is not held up by who
// does not.
//
//	this peer waits for      all wait for   answer
//	over PerPeer             any            fold
//	over its even share      over InAll     fold
//	up to its even share     over InAll     send
//	up to PerPeer            up to InAll    send
//
// So no more than twice InAll, and one message for each peer and one more, ever waits: what some had before the rest came up to its share.
type Budget struct {
	PerPeer, InAll int64 // bytes
}

// Fold tells whether a message to a peer is to be held back; peers counts the connections.
func (b Budget) Fold(peer, all int64, peers int) bool {
	return peer > b.PerPeer || all > b.InAll && peer > b.InAll/int64(max(peers, 1))
}

// TokenBucket bounds what one peer may ask: PerSecond commands in the long run and Burst at once. A zero PerSecond lets all pass. It
// is one peer's; the zero Meter is one that has asked for nothing yet.
type TokenBucket struct {
	used   float64 // of the burst
	filled model.Microseconds
}

// Rate is what Meters are held to.
type Rate struct {
	PerSecond float64
	Burst     int
}

// Take counts a command. When it is one too many the peer may come back after the time told, which is when half of its burst is
// free again: sooner it would be put off once more.
func (m *TokenBucket) Take(now model.Microseconds, r Rate) (ok bool, after model.Microseconds) {
	if r.PerSecond <= 0 {
		return true, 0
	}
	burst := float64(max(r.Burst, 1))
	m.used = max(0, m.used-float64(now-m.filled)/float64(model.Second)*r.PerSecond)
	m.filled = now
	if m.used+1 > burst {
		return false, model.Microseconds((m.used - burst/2) / r.PerSecond * float64(model.Second))
	}
	m.used++
	return true, 0
}

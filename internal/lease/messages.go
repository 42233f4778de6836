package lease

import "peppervale/internal/model"

// Config holds the settings that must be the same on all members of a cluster.
type Config struct {
	Duration      model.Microseconds // duration of a lease, from its request, by the holder's clock
	MaxClockDrift model.Microseconds // maximum that a holder's clock may lose against the leader's within Duration
}

// Holder identifies one incarnation of a member. An incarnation that starts after a crash cannot use the lease of the
// previous incarnation, as it does not know which messages the previous one sent.
type Holder struct {
	Member      uint16 `cbor:"Member"` // number of the member, from 1
	Incarnation uint64 `cbor:"Life"`   // grows with each restart
}

// Request is a message of a holder that requests, renews or releases the lease of a shard.
type Request struct {
	From     Holder
	Sequence uint32 // distinguishes the requests of one holder for one shard
}

// Response is the response to a request for a lease.
type Response struct {
	To       Holder
	Sequence uint32 // sequence of the request
	Granted  bool
	Epoch    uint64 // epoch of the grant
}

// Observation is the newest renewal of a shard's lease that a member saw before it became the leader.
type Observation struct {
	Epoch    uint64             // epoch of the shard at that time
	Sequence uint32             // sequence of the shard at that time
	Age      model.Microseconds // by the member's own clock; below 0: it saw no renewal
}

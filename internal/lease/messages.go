package lease

import "peppervale/internal/model"

// Config is what all members of a cluster must have alike.
type Config struct {
	Duration      model.Microseconds // of a lease, from when it was requested, by the holder's clock
	MaxClockDrift model.Microseconds // that a holder's clock may lose against the leader's within Duration
}

// Holder identifies one incarnation of a member. An incarnation that crashed cannot go on with the lease of the one
// before, as it is not known what that one had sent.
type Holder struct {
	Member      uint16 `cbor:"Member"` // from 1 on
	Incarnation uint64 `cbor:"Life"`   // grows with each
}

// Request is a holder's message: it requests a shard's lease, renews it, or releases it.
type Request struct {
	From     Holder
	Sequence uint32 // distinguishes the requests of one holder for one shard
}

// Response is the response to a request for a lease.
type Response struct {
	To       Holder
	Sequence uint32 // of the request
	Granted  bool
	Epoch    uint64 // of the grant
}

// Observation is the newest renewal of a shard that a member saw before it became the leader.
type Observation struct {
	Epoch    uint64             // of the shard as the member saw it
	Sequence uint32             // of the shard as the member saw it
	Age      model.Microseconds // by the member's own clock; below 0: it saw none
}

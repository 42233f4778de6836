package lease

import "peppervale/internal/model"

// Lease is the holder's side of the lease protocol (see the package comment), for one shard. The zero Lease is not
// held. All times are by the holder's own clock.
type Lease struct {
	Epoch       uint64 // epoch of the newest grant
	held        bool
	expiresAt   model.Microseconds
	requestedAt model.Microseconds // time of the newest request
	sequence    uint32             // sequence of the newest request or release
}

// Request returns the next request and records now as its time. It must be called before the request is sent, because a
// granted lease runs from that time.
func (l *Lease) Request(from Holder, now model.Microseconds) Request {
	l.sequence++
	l.requestedAt = now
	return Request{From: from, Sequence: l.sequence}
}

// HandleResponse processes a response. Responses to older requests are ignored, as only the time of the newest request
// is kept.
func (l *Lease) HandleResponse(config Config, response Response) {
	if response.Sequence != l.sequence {
		return
	}
	if !response.Granted {
		l.held = false // another member holds the lease, or may be granted it soon
		return
	}
	l.Epoch = response.Epoch
	l.held = true
	l.expiresAt = l.requestedAt + config.Duration
}

// IsHeld reports whether the lease is valid now.
func (l *Lease) IsHeld(now model.Microseconds) bool { return l.held && now < l.expiresAt }

// Remaining returns the time until the lease expires; 0 if it is not held.
func (l *Lease) Remaining(now model.Microseconds) model.Microseconds {
	if !l.IsHeld(now) {
		return 0
	}
	return l.expiresAt - now
}

// Release gives up the lease and returns the release, which may be sent once no message of the holder is in flight any
// more. Responses to earlier requests are ignored from then on. Otherwise a duplicate of a grant would restore the
// lease after it was released.
func (l *Lease) Release(from Holder) Request {
	l.held = false
	l.sequence++
	return Request{From: from, Sequence: l.sequence}
}

package lease

import "peppervale/internal/model"

// Lease is the holder's side, for one shard. The zero Lease holds nothing. All times are of the holder's own clock.
type Lease struct {
	Epoch       uint64 // of the newest grant
	held        bool
	expiresAt   model.Microseconds
	requestedAt model.Microseconds // when the newest request was made
	sequence    uint32             // of the newest request or release
}

// Request notes the time and returns the request, which may leave only after that.
func (l *Lease) Request(from Holder, now model.Microseconds) Request {
	l.sequence++
	l.requestedAt = now
	return Request{From: from, Sequence: l.sequence}
}

// HandleResponse takes a response. One that is not to the newest request changes nothing: the time of its request is
// not known any more.
func (l *Lease) HandleResponse(config Config, response Response) {
	if response.Sequence != l.sequence {
		return
	}
	if !response.Granted {
		l.held = false // another member holds it, or may soon
		return
	}
	l.Epoch = response.Epoch
	l.held = true
	l.expiresAt = l.requestedAt + config.Duration
}

// IsHeld reports whether the holder may act now.
func (l *Lease) IsHeld(now model.Microseconds) bool { return l.held && now < l.expiresAt }

// Remaining is for how long the holder may still act without another renewal; 0 if it holds nothing.
func (l *Lease) Remaining(now model.Microseconds) model.Microseconds {
	if !l.IsHeld(now) {
		return 0
	}
	return l.expiresAt - now
}

// Release gives up what is held and returns the release, which may leave once no message of the holder is in flight any
// more. Responses to earlier requests mean nothing from then on: without that, the model found a duplicate that gave
// back what had been released.
func (l *Lease) Release(from Holder) Request {
	l.held = false
	l.sequence++
	return Request{From: from, Sequence: l.sequence}
}

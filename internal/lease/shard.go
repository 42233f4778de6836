package lease

import "peppervale/internal/model"

// Shard is the replicated record of the lease of one shard of the fleet. The zero Shard is free and was never held.
type Shard struct {
	Epoch     uint64             `cbor:"Epoch"`   // epoch of the newest grant; only grows
	Holder    Holder             `cbor:"Holder"`  // holder of the lease; the zero Holder: it is free
	Sequence  uint32             `cbor:"Number"`  // sequence of the holder's newest request
	RenewedAt model.Microseconds `cbor:"Renewed"` // time of the newest renewal, by the leader's clock
}

// HandleRequest applies a committed request; now is by the leader's clock.
func (s *Shard) HandleRequest(config Config, request Request, now model.Microseconds) Response {
	isHolder := s.Holder == request.From
	if !isHolder && s.isHeld(config, now) {
		return Response{To: request.From, Sequence: request.Sequence}
	}
	if !isHolder {
		s.Epoch++
		s.Holder = request.From
		s.Sequence = 0
	}
	s.RenewedAt = now
	s.Sequence = max(s.Sequence, request.Sequence)
	return Response{To: request.From, Sequence: request.Sequence, Granted: true, Epoch: s.Epoch}
}

// isHeld reports whether the lease may still be valid at the holder, whose clock may have lost up to MaxClockDrift.
func (s *Shard) isHeld(config Config, now model.Microseconds) bool {
	return s.Holder != (Holder{}) && now-s.RenewedAt < config.Duration+config.MaxClockDrift
}

// LeaderChanged begins the term of a leader that did not see the newest renewal of the lease. It restarts the lease at
// now, by the new leader's clock.
func (s *Shard) LeaderChanged(now model.Microseconds) { s.RenewedAt = now }

// LeaderChangedWithObservation begins the term of a leader that saw a renewal of the lease. If the lease was renewed
// since, or the leader saw no renewal, it does the same as LeaderChanged. A renewal that arrived twice or late leaves
// the sequence unchanged, but does not extend the lease at the holder either.
func (s *Shard) LeaderChangedWithObservation(observation Observation, now model.Microseconds) {
	isNewest := s.Epoch == observation.Epoch && s.Sequence == observation.Sequence
	if !isNewest || observation.Age < 0 {
		s.LeaderChanged(now)
		return
	}
	s.RenewedAt = now - observation.Age
}

// Release applies a holder's release of the lease, so that no member has to wait for the lease to expire. It has no
// effect if the sender is not the holder, or if the holder has requested the lease again since.
func (s *Shard) Release(release Request) {
	if s.Holder == release.From && s.Sequence < release.Sequence {
		s.Holder = Holder{}
	}
}

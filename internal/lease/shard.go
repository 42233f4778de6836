package lease

import "peppervale/internal/model"

// Shard is the committed record of the lease of one shard of the fleet. The zero Shard is free and was never held.
type Shard struct {
	Epoch     uint64             `cbor:"Epoch"`   // of the newest grant; it only grows
	Holder    Holder             `cbor:"Holder"`  // of the lease; the zero Holder: it is free
	Sequence  uint32             `cbor:"Number"`  // of the holder's newest request
	RenewedAt model.Microseconds `cbor:"Renewed"` // by the leader's clock
}

// HandleRequest takes a request that was committed, at a time of the leader's clock.
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

// isHeld reports whether the holder may still act, by a clock that loses up to the drift.
func (s *Shard) isHeld(config Config, now model.Microseconds) bool {
	return s.Holder != (Holder{}) && now-s.RenewedAt < config.Duration+config.MaxClockDrift
}

// LeaderChanged begins the term of a leader that has not seen when the lease was renewed, by its own clock: it counts
// the lease from now.
func (s *Shard) LeaderChanged(now model.Microseconds) { s.RenewedAt = now }

// LeaderChangedWithObservation begins the term of a leader that saw a renewal of the lease. If the shard was renewed
// since, or the leader saw no renewal, it is as LeaderChanged. A renewal that came twice or late does not change the
// sequence, and need not: it gave its holder no time.
func (s *Shard) LeaderChangedWithObservation(observation Observation, now model.Microseconds) {
	isNewest := s.Epoch == observation.Epoch && s.Sequence == observation.Sequence
	if !isNewest || observation.Age < 0 {
		s.LeaderChanged(now)
		return
	}
	s.RenewedAt = now - observation.Age
}

// Release takes a holder's message that it has stopped: no member need wait for the lease to expire. It has no
// effect from any other holder, nor if the holder has requested the lease anew since it was sent.
func (s *Shard) Release(release Request) {
	if s.Holder == release.From && s.Sequence < release.Sequence {
		s.Holder = Holder{}
	}
}

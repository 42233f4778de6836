package cluster

import (
	"peppervale/internal/lease"
	"peppervale/internal/model"
)

// reasonNewIncarnation is the reason of a takeover by a new incarnation of the previous holder. The replicated state
// holds its text, so it must stay the same in every version.
const reasonNewIncarnation = "a new life of the same member"

// ShardResponse is the response to the request for one shard in a RenewLeases.
type ShardResponse struct {
	Shard int
	lease.Response
}

// Apply applies an entry that was committed in the given raft term, and returns the responses to a RenewLeases. An
// entry has no effect while the leader of its term has not announced itself: leases are not measured by that leader's
// clock.
func (s *State) Apply(entry LogEntry, term uint64) []ShardResponse {
	if s.NewerSchemaVersion == 0 && entry.SchemaVersion > s.supportedVersion {
		s.NewerSchemaVersion = entry.SchemaVersion
	}
	if s.NewerSchemaVersion > 0 {
		return nil
	}
	if _, announces := entry.Command.(LeaderElected); !announces && term != s.Term {
		return nil
	}
	return entry.Command.apply(s, entry.At)
}

func (c LeaderElected) apply(state *State, stamp model.Microseconds) []ShardResponse {
	state.Leader = c.Leader
	if state.Digest == 0 { // begun now, by this leader's settings
		state.Digest = c.SettingsDigest
		if c.Shape != nil {
			state.setShape(c.Shape)
			state.ShapeAgreed = true
		}
	}
	for i, shard := range state.Shards {
		if i >= len(c.Observations) {
			shard.Lease.LeaderChanged(stamp)
			continue
		}
		shard.Lease.LeaderChangedWithObservation(lease.Observation(c.Observations[i]), stamp)
	}
	for _, member := range state.Members {
		member.RenewedAt = stamp - max(0, c.RenewalAges[member.Name])
	}
	return nil
}

func (c RegisterMember) apply(state *State, stamp model.Microseconds) []ShardResponse {
	if c.Record == nil || state.lags(stamp, c.FollowedAt) {
		return nil
	}
	member := state.Member(c.Member)
	if member == nil {
		member = &MemberState{Name: c.Member}
		state.Members = append(state.Members, member)
	}
	if c.Incarnation < member.Incarnation { // a delayed command, or one of another process with the same name
		return nil
	}
	if c.Incarnation > member.Incarnation {
		member.Stopping = false
	}
	member.Incarnation = c.Incarnation
	member.Record = *c.Record
	member.RenewedAt = stamp
	member.Removed = false
	return nil
}

func (c RenewLeases) apply(state *State, stamp model.Microseconds) (responses []ShardResponse) {
	member, holder := state.activeMember(c.Member, c.Incarnation)
	if member == nil || state.lags(stamp, c.FollowedAt) {
		return nil
	}
	member.RenewedAt = stamp
	member.MisroutedProxies = c.MisroutedProxies
	for _, request := range c.Requests {
		shard := state.shard(request.Shard)
		if shard == nil {
			continue
		}
		response := state.renew(shard, holder, request, stamp)
		responses = append(responses, ShardResponse{request.Shard, response})
	}
	return responses
}

// renew grants, renews or refuses one shard's lease.
func (s *State) renew(
	shard *ShardState, holder lease.Holder, request ShardRequest, stamp model.Microseconds,
) lease.Response {
	previousHolder := shard.Lease.Holder
	previousEpoch := shard.Lease.Epoch
	leaseRequest := lease.Request{From: holder, Sequence: request.Sequence}
	response := shard.Lease.HandleRequest(s.leaseConfig(), leaseRequest, stamp)
	if response.Granted {
		shard.NoProxies = request.Load < 0
		if !shard.NoProxies {
			shard.Load = request.Load
		}
	}
	if response.Epoch > previousEpoch {
		s.recordTakeover(shard, previousHolder, s.Holder(shard), stamp)
	}
	return response
}

// recordTakeover records a grant in a new epoch, and drops the oldest takeover beyond maxTakeovers.
func (s *State) recordTakeover(shard *ShardState, previous lease.Holder, holder string, stamp model.Microseconds) {
	event := Takeover{
		At:      stamp,
		Leader:  s.Leader,
		Shard:   shard.Number,
		Epoch:   shard.Lease.Epoch,
		From:    shard.LastHolder,
		To:      holder,
		Planned: previous == lease.Holder{},
		Reason:  s.WaitReasons[shard.Number],
	}
	if event.From == event.To {
		event.Reason = reasonNewIncarnation
	}
	shard.LastHolder = holder
	delete(s.WaitReasons, shard.Number)
	if len(s.Events) >= maxTakeovers {
		s.Events = append(s.Events[:0], s.Events[1:]...)
	}
	s.Events = append(s.Events, event)
}

func (c ReleaseLeases) apply(state *State, _ model.Microseconds) []ShardResponse {
	member, holder := state.activeMember(c.Member, c.Incarnation)
	if member == nil {
		return nil
	}
	for _, request := range c.Requests {
		if shard := state.shard(request.Shard); shard != nil {
			shard.Lease.Release(lease.Request{From: holder, Sequence: request.Sequence})
		}
	}
	return nil
}

func (c SetPlacement) apply(state *State, _ model.Microseconds) []ShardResponse {
	for _, migration := range c.Migrations {
		shard := state.shard(migration.Shard)
		if shard == nil || state.Member(migration.To) == nil {
			continue
		}
		shard.Target = migration.To
		shard.Pinned = c.ByOperator
		state.WaitReasons[migration.Shard] = migration.Reason
	}
	return nil
}

func (c DrainMember) apply(state *State, _ model.Microseconds) []ShardResponse {
	member := state.Member(c.Member)
	switch {
	case member == nil:
	case c.ByOperator:
		member.Draining = c.Drain
	case c.Incarnation == 0 || c.Incarnation == member.Incarnation: // else it stopped, and is back as another one
		member.Stopping = c.Drain
	}
	return nil
}

func (c RemoveMember) apply(state *State, _ model.Microseconds) []ShardResponse {
	if member := state.Member(c.Member); member != nil {
		member.Removed = true
	}
	return nil
}

func (unknownCommand) apply(*State, model.Microseconds) []ShardResponse { return nil }

// lags reports whether the sender of a command has applied no log entry of the last lease duration: its disk is full,
// or a link works in one direction only. Such a member would not learn that a lease was granted to it, and would keep
// other members from holding that shard.
func (s *State) lags(stamp, appliedStamp model.Microseconds) bool {
	return stamp-appliedStamp > s.LeaseDuration
}

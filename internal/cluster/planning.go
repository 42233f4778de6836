package cluster

import (
	"slices"

	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// placementTimeout is how long a leader waits for its own SetPlacement to be applied before it plans again.
const placementTimeout = model.Second

// Timing of a leader: the lease duration is divided by each constant.
const (
	registrationTimeDivisor = 2 // time for the members of a new cluster to register
	recentHeartbeatDivisor  = 2 // a member with a younger heartbeat is alive, even if gossip reports a failure
)

// planning is a leader's state for planning the placement. It is reset in each term, as a new leader has not observed
// any member yet.
type planning struct {
	planner          placement.Planner
	term             uint64
	startedAt        model.Microseconds            // when this term's planning began
	proposedAt       model.Microseconds            // when the pending SetPlacement was proposed; 0: none is pending
	aliveSince       map[string]model.Microseconds // by member
	unreachableSince map[int]model.Microseconds    // by shard whose proxies cannot connect to the holder
}

func newPlanning(term uint64, now model.Microseconds) planning {
	return planning{
		term:             term,
		startedAt:        now,
		aliveSince:       map[string]model.Microseconds{},
		unreachableSince: map[int]model.Microseconds{},
	}
}

// plan returns a SetPlacement with the leader's migrations, if there are any.
func (m *Member) plan(now model.Microseconds, leads bool, alive func(string) bool) (command Command, due bool) {
	if !leads || m.state.Leader != m.Name {
		return nil, false
	}
	if m.planning.term != m.state.Term {
		m.planning = newPlanning(m.state.Term, now)
	}
	if m.waitsForFirstMembers(now) || m.waitsForPlacement(now) {
		return nil, false
	}
	members := m.placementMembers(now, alive)
	shards := m.placementShards(now)
	migrations := m.planning.planner.Plan(m.settings.Placement, now, members, shards)
	if len(migrations) == 0 {
		return nil, false
	}
	m.planning.proposedAt = now
	return SetPlacement{Leader: m.Name, Migrations: migrations}, true
}

// waitsForFirstMembers reports whether a new cluster's leader still waits for members to register. Members that start
// together register within some round trips; without the wait, the first member would get all shards, which would then
// be moved one by one.
func (m *Member) waitsForFirstMembers(now model.Microseconds) bool {
	neverHeld := func(shard *ShardState) bool { return shard.Lease.Epoch == 0 }
	registrationTime := m.settings.Lease.Duration / registrationTimeDivisor
	return now-m.planning.startedAt < registrationTime && slices.ContainsFunc(m.state.Shards, neverHeld)
}

func (m *Member) waitsForPlacement(now model.Microseconds) bool {
	return m.planning.proposedAt > 0 && now-m.planning.proposedAt < placementTimeout
}

// placementMembers returns the members as input of the planner.
func (m *Member) placementMembers(now model.Microseconds, alive func(string) bool) (members []placement.Member) {
	for _, member := range m.state.Members {
		plannerMember := placement.Member{
			Name:     member.Name,
			Zone:     member.Record.Zone,
			Capacity: member.Record.Capacity,
			Draining: member.Draining || member.Removed,
			Stopping: member.Stopping,
			Alive:    m.isAlive(member, now, alive),
		}
		plannerMember.AliveSince = m.planning.recordAlive(member.Name, plannerMember.Alive, now)
		members = append(members, plannerMember)
	}
	return members
}

// recordAlive records since when a member has been alive without interruption, and returns that time. For a member that
// is not alive now it returns the recorded time and deletes it.
func (p *planning) recordAlive(name string, alive bool, now model.Microseconds) (since model.Microseconds) {
	since, wasAlive := p.aliveSince[name]
	switch {
	case !alive:
		delete(p.aliveSince, name)
	case !wasAlive:
		since = now
		p.aliveSince[name] = now
	}
	return since
}

// placementShards returns the shards as input of the planner.
func (m *Member) placementShards(now model.Microseconds) (shards []placement.Shard) {
	for _, shard := range m.state.Shards {
		shards = append(shards, placement.Shard{
			Number:          shard.Number,
			Zone:            shard.Zone,
			Load:            shard.Load,
			LoadUnknown:     m.isLoadUnknown(shard, now),
			Target:          shard.Target,
			Pinned:          shard.Pinned,
			ReachableMember: m.reachableMember(shard, now),
		})
	}
	return shards
}

// reachableMember returns the member that most of a shard's proxies connect to, if none of them has been connected to
// the holder for a lease duration: their network path to the holder is broken, though the other members reach it. It
// returns "" if there is no such member.
func (m *Member) reachableMember(shard *ShardState, now model.Microseconds) string {
	name := m.mostMisroutedMember(shard)
	if !shard.NoProxies || name == "" || m.state.Holder(shard) != shard.Target {
		delete(m.planning.unreachableSince, shard.Number)
		return ""
	}
	since, known := m.planning.unreachableSince[shard.Number]
	if !known {
		since = now
		m.planning.unreachableSince[shard.Number] = now
	}
	if now-since < m.settings.Lease.Duration {
		return ""
	}
	return name
}

// mostMisroutedMember returns the member, other than a shard's target, to which most of the shard's proxies connect
// although it does not hold the shard; "" for none.
func (m *Member) mostMisroutedMember(shard *ShardState) (name string) {
	maxProxies := 0
	for _, member := range m.state.Members {
		if member.Name == shard.Target {
			continue
		}
		for _, misrouted := range member.MisroutedProxies {
			if misrouted.Shard == shard.Number && misrouted.Proxies > maxProxies {
				maxProxies = misrouted.Proxies
				name = member.Name
			}
		}
	}
	return name
}

// isAlive reports whether the leader regards a member as alive. Heartbeats decide; gossip only shortens failure
// detection: it can mark a member without a recent heartbeat as failed, but never keeps a member alive whose heartbeats
// have stopped for a lease duration.
func (m *Member) isAlive(member *MemberState, now model.Microseconds, alive func(string) bool) bool {
	sinceRenewal := now - member.RenewedAt
	duration := m.settings.Lease.Duration
	expired := sinceRenewal >= duration+m.settings.Lease.MaxClockDrift
	if member.Removed || member.Record.Digest != m.state.Digest || expired {
		return false
	}
	return alive == nil || sinceRenewal < duration/recentHeartbeatDivisor || alive(member.Name)
}

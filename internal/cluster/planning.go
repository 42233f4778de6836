package cluster

import (
	"slices"

	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// placementTimeout is how long a leader waits for its own SetPlacement to be applied before it plans again.
const placementTimeout = model.Second

// Timing of a leader, in parts of a lease's duration.
const (
	registrationTimesPerLease = 2 // a new cluster's members have this long to register
	recentHeartbeatsPerLease  = 2 // a member whose heartbeat is younger is alive, whatever gossip believes
)

// planning is what a leader remembers while it plans the placement; each term begins it anew, as a new leader has
// not seen any member yet.
type planning struct {
	planner          placement.Planner
	term             uint64
	startedAt        model.Microseconds            // when this term's planning began
	proposedAt       model.Microseconds            // when the SetPlacement that is awaited left; 0: none is
	aliveSince       map[string]model.Microseconds // by member
	unreachableSince map[int]model.Microseconds    // by shard whose proxies connect to another member than the holder
}

func newPlanning(term uint64, now model.Microseconds) planning {
	return planning{
		term:             term,
		startedAt:        now,
		aliveSince:       map[string]model.Microseconds{},
		unreachableSince: map[int]model.Microseconds{},
	}
}

// plan returns the leader's migrations, if there are any now.
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

// waitsForFirstMembers reports whether a new cluster's leader still gives members time to register. Members that start
// together register within some round trips; a placement made at once gave all shards to the first of them, to be
// moved one by one after.
func (m *Member) waitsForFirstMembers(now model.Microseconds) bool {
	neverHeld := func(shard *ShardState) bool { return shard.Lease.Epoch == 0 }
	registrationTime := m.settings.Lease.Duration / registrationTimesPerLease
	return now-m.planning.startedAt < registrationTime && slices.ContainsFunc(m.state.Shards, neverHeld)
}

func (m *Member) waitsForPlacement(now model.Microseconds) bool {
	return m.planning.proposedAt > 0 && now-m.planning.proposedAt < placementTimeout
}

// placementMembers describes the members to the planner.
func (m *Member) placementMembers(now model.Microseconds, alive func(string) bool) (members []placement.Member) {
	for _, member := range m.state.Members {
		described := placement.Member{
			Name:     member.Name,
			Zone:     member.Record.Zone,
			Capacity: member.Record.Capacity,
			Draining: member.Draining || member.Removed,
			Stopping: member.Stopping,
			Alive:    m.isAlive(member, now, alive),
		}
		described.AliveSince = m.planning.noteAlive(member.Name, described.Alive, now)
		members = append(members, described)
	}
	return members
}

// noteAlive remembers since when a member is alive without a break, and gives that time. Of one that is not alive now
// it gives the time of before, and forgets it.
func (p *planning) noteAlive(name string, alive bool, now model.Microseconds) (since model.Microseconds) {
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

// placementShards describes the shards to the planner.
func (m *Member) placementShards(now model.Microseconds) (shards []placement.Shard) {
	for _, shard := range m.state.Shards {
		shards = append(shards, placement.Shard{
			Number:          shard.Number,
			Zone:            shard.Zone,
			Load:            shard.Load,
			Target:          shard.Target,
			Pinned:          shard.Pinned,
			ReachableMember: m.reachableInstead(shard, now),
		})
	}
	return shards
}

// reachableInstead returns the member that most of a shard's proxies keep connecting to while none of them is
// connected to the holder, for a lease's duration already: their link to the holder is cut, though the cluster's is
// not. "" for none.
func (m *Member) reachableInstead(shard *ShardState, now model.Microseconds) string {
	name := m.mostMisrouted(shard)
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

// mostMisrouted returns the member, other than a shard's target, that most of its proxies connect to in vain; "" for
// none.
func (m *Member) mostMisrouted(shard *ShardState) (name string) {
	most := 0
	for _, member := range m.state.Members {
		if member.Name == shard.Target {
			continue
		}
		for _, misrouted := range member.MisroutedProxies {
			if misrouted.Shard == shard.Number && misrouted.Proxies > most {
				most = misrouted.Proxies
				name = member.Name
			}
		}
	}
	return name
}

// isAlive reports whether the leader counts on a member. Heartbeats are the proof; gossip only shortens the wait: it
// may say that a member is gone whose heartbeat is due anyway, and never that one is alive that does not renew.
func (m *Member) isAlive(member *MemberState, now model.Microseconds, alive func(string) bool) bool {
	silence := now - member.RenewedAt
	duration := m.settings.Lease.Duration
	expired := silence >= duration+m.settings.Lease.MaxClockDrift
	if member.Removed || member.Record.Digest != m.state.Digest || expired {
		return false
	}
	return alive == nil || silence < duration/recentHeartbeatsPerLease || alive(member.Name)
}

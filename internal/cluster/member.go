package cluster

import (
	"slices"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// Member is what one incarnation of a member decides: which leases it requests and releases, when it holds them, and,
// while it leads, where shards are placed. It is free of I/O and not safe for concurrent use; its caller carries
// commands to the log and entries back from it, and calls Tick.
//
//	shard      input                            next       effect
//	not held   placed here                      requested  by RenewLeases, each Duration/3; Duration/10 after a refusal
//	requested  granted                          held       gained, once
//	held       renewal granted                  held       for another Duration from the request
//	held       renewal of a member that lags    held       not counted: the lease expires
//	held       placed on another member         released   lost, then a ReleaseLeases
//	held       the lease expires                not held   lost
//	not held   a renewal of it is granted late  held       gained again, in the same epoch: it had no other holder
//	held       newer schema, or other settings  not held   lost, no ReleaseLeases: its effect is not known
type Member struct {
	Name        string
	Incarnation uint64 // grows with each start, and differs between two processes that run under one name
	Record      MemberRecord

	settings Settings
	state    *State
	leases   []lease.Lease // by shard
	notified []uint64      // by shard: the epoch that Tick reported last; 0: not held

	loadOf           func(shard int) float64   // of a shard that is held; below 0: not known
	misroutedProxies func() []MisroutedProxies // nil: not known

	heartbeat heartbeat
	planning  planning

	shardRenewedAt []model.Microseconds          // by shard, by this clock: when its newest renewal was applied; 0: never
	memberSeenAt   map[string]model.Microseconds // by member, by this clock: when its newest heartbeat was applied
}

// NewMember makes a member that has applied no entry yet. loadOf gives the requests a second of a shard that it holds,
// below 0 where they are not known.
func NewMember(name string, incarnation uint64, record MemberRecord, settings Settings,
	loadOf func(shard int) float64,
) *Member {
	record.Digest = settings.Digest()
	state := NewState(settings)
	return &Member{
		Name:           name,
		Incarnation:    incarnation,
		Record:         record,
		settings:       settings,
		state:          state,
		leases:         make([]lease.Lease, len(state.Shards)),
		notified:       make([]uint64, len(state.Shards)),
		loadOf:         loadOf,
		planning:       newPlanning(0, 0),
		shardRenewedAt: make([]model.Microseconds, len(state.Shards)),
		memberSeenAt:   map[string]model.Microseconds{},
	}
}

// Restore takes the state from a snapshot. Leases that are held go on: they were granted to this incarnation,
// whatever was committed since.
func (m *Member) Restore(state *State) { m.state = state }

// State is what the member knows to be committed; it is to be read under the caller's lock.
func (m *Member) State() *State { return m.state }

// ApplyEntry takes a committed entry of the log.
func (m *Member) ApplyEntry(entry LogEntry, term uint64, now model.Microseconds) {
	_, announces := entry.Command.(LeaderElected)
	if announces && entry.SchemaVersion <= m.state.supportedVersion {
		m.state.Term = term
		m.heartbeat.restart(now) // a request to the previous leader is lost, or its response is here already
	}
	if term == m.state.Term {
		m.heartbeat.followedAt = entry.At
	}
	responses := m.state.Apply(entry, term)
	switch command := entry.Command.(type) {
	case RegisterMember:
		m.memberSeenAt[command.Member] = now
	case RenewLeases:
		m.renewalApplied(command, responses, now)
	case ReleaseLeases:
		m.releaseApplied(command, now)
	case SetPlacement:
		m.placementApplied(command, now)
	}
}

func (m *Member) renewalApplied(command RenewLeases, responses []ShardResponse, now model.Microseconds) {
	own := command.Member == m.Name && command.Incarnation == m.Incarnation
	for _, response := range responses {
		if response.Granted && response.Shard < len(m.shardRenewedAt) {
			m.shardRenewedAt[response.Shard] = now
		}
		if own && response.Shard < len(m.leases) {
			m.leases[response.Shard].HandleResponse(m.settings.Lease, response.Response)
			m.heartbeat.responded(response.Granted)
		}
	}
	m.memberSeenAt[command.Member] = now
	if own {
		m.heartbeat.applied(len(command.Requests), now)
	}
}

func (m *Member) releaseApplied(command ReleaseLeases, now model.Microseconds) {
	if command.Member == m.Name {
		return
	}
	for _, request := range command.Requests {
		if shard := m.state.shard(request.Shard); shard != nil && shard.Target == m.Name {
			m.heartbeat.restart(now)
		}
	}
}

func (m *Member) placementApplied(command SetPlacement, now model.Microseconds) {
	m.planning.proposedAt = 0
	placedHere := func(migration placement.Migration) bool { return migration.To == m.Name }
	if slices.ContainsFunc(command.Migrations, placedHere) {
		m.heartbeat.nextAt = now // at once: the shard may be free
	}
}

// IsLeaseHolder reports whether this member holds a shard's lease now, and in which epoch. It needs the caller's lock
// and may be called often.
func (m *Member) IsLeaseHolder(shard int, now model.Microseconds) (epoch uint64, ok bool) {
	if shard < 0 || shard >= len(m.leases) || m.isExcluded() || !m.leases[shard].IsHeld(now) {
		return 0, false
	}
	return m.leases[shard].Epoch, true
}

// isExcluded reports whether this member may hold nothing: it does not understand the log, or would count other shards.
func (m *Member) isExcluded() bool { return m.state.NewerSchemaVersion > 0 || m.HasOtherSettings() }

// HasOtherSettings reports whether the cluster was started with settings that differ from this member's.
func (m *Member) HasOtherSettings() bool {
	return m.state.Digest != 0 && m.state.Digest != m.Record.Digest
}

// IsSuperseded reports whether a later incarnation of this member is registered.
func (m *Member) IsSuperseded() bool {
	registered := m.state.Member(m.Name)
	return registered != nil && registered.Incarnation > m.Incarnation
}

// isRegistered reports whether this incarnation is registered as it describes itself.
func (m *Member) isRegistered() bool {
	registered := m.state.Member(m.Name)
	if registered == nil || registered.Removed {
		return false
	}
	return registered.Incarnation == m.Incarnation && registered.Record == m.Record
}

// Announcement returns the command with which this member begins to lead.
func (m *Member) Announcement(now model.Microseconds) Command {
	command := LeaderElected{
		Leader:         m.Name,
		SettingsDigest: m.Record.Digest,
		RenewalAges:    map[string]model.Microseconds{},
	}
	for i, shard := range m.state.Shards {
		seen := ShardObservation{Epoch: shard.Lease.Epoch, Sequence: shard.Lease.Sequence, Age: -1}
		if i < len(m.shardRenewedAt) && m.shardRenewedAt[i] > 0 {
			seen.Age = now - m.shardRenewedAt[i]
		}
		command.Observations = append(command.Observations, seen)
	}
	for name, at := range m.memberSeenAt {
		command.RenewalAges[name] = now - at
	}
	return command
}

// LeaseChange is a lease that a member holds from now on, or no longer (Epoch 0).
type LeaseChange struct {
	Shard int
	Epoch uint64
}

// Tick returns the leases that changed since the last one, and the commands to propose once the changes are carried
// out: a ReleaseLeases may leave only when no message for the shard is in flight any more. alive reports
// whether a member seems alive by gossip; nil: all do.
func (m *Member) Tick(now model.Microseconds, leads bool, alive func(name string) bool) ([]LeaseChange, []Command) {
	changes, releases := m.updateLeases(now)
	if m.isExcluded() {
		return changes, nil
	}
	var proposals []Command
	if len(releases) > 0 {
		release := ReleaseLeases{Member: m.Name, Incarnation: m.Incarnation, Requests: releases}
		proposals = append(proposals, release)
	}
	if !m.isRegistered() {
		if command, due := m.register(now); due {
			proposals = append(proposals, command)
		}
		return changes, proposals
	}
	if command, due := m.renew(now); due {
		proposals = append(proposals, command)
	}
	if command, due := m.plan(now, leads, alive); due {
		proposals = append(proposals, command)
	}
	return changes, proposals
}

// updateLeases releases the shards that are placed elsewhere, and compares what is held with what Tick reported last.
func (m *Member) updateLeases(now model.Microseconds) (changes []LeaseChange, releases []ShardRequest) {
	for shard := range m.leases {
		if _, held := m.IsLeaseHolder(shard, now); held && m.state.Shards[shard].Target != m.Name {
			request := m.leases[shard].Release(lease.Holder{})
			releases = append(releases, ShardRequest{Shard: shard, Sequence: request.Sequence})
		}
		epoch, _ := m.IsLeaseHolder(shard, now)
		if epoch != m.notified[shard] {
			m.notified[shard] = epoch
			changes = append(changes, LeaseChange{shard, epoch})
		}
	}
	return changes, releases
}

// TargetChannel returns the channel address of the member that a shard is placed on. It is "" if that is this one,
// none, or a member without a recent heartbeat: a proxy redirected there would most likely find no listener, and lose
// the time.
func (m *Member) TargetChannel(number int, now model.Microseconds) string {
	shard := m.state.shard(number)
	if shard == nil || shard.Target == m.Name {
		return ""
	}
	target := m.state.Member(shard.Target)
	seenAt, seen := m.memberSeenAt[shard.Target]
	if target == nil || !seen || now-seenAt >= m.settings.Lease.Duration/recentHeartbeatsPerLease {
		return ""
	}
	return target.Record.Channel
}

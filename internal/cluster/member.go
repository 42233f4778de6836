package cluster

import (
	"slices"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// Member makes the decisions of one incarnation of a member: which leases it requests and releases, when it holds them,
// and, while it leads, where shards are placed. It does no I/O and is not safe for concurrent use; its caller proposes
// its commands, passes it the committed entries, and calls Tick.
//
//	lease      input                             next       effect
//	not held   placed on this member             requested  RenewLeases every Duration/3; Duration/10 after a refusal
//	requested  request is granted                held       gain is reported once
//	held       renewal is granted                held       valid for Duration from the request
//	held       newest applied entry too old (1)  held       renewals have no effect: the lease expires
//	held       placed on another member          released   loss is reported, then a ReleaseLeases is sent
//	held       lease expires                     not held   loss is reported
//	not held   late renewal is granted           held       gain is reported, in the same epoch: no other holder since
//	held       newer schema or other settings    not held   loss is reported, no ReleaseLeases is sent (2)
//
// (1) By more than Duration; see State.lags. (2) Its effect would be unknown.
type Member struct {
	Name        string
	Incarnation uint64 // increases with each start, and differs between two processes that run under one name
	Record      MemberRecord

	settings       Settings
	state          *State
	misshapen      bool          // state is not the cluster's, see checkShape
	leases         []lease.Lease // by shard
	reportedEpochs []uint64      // by shard: the epoch that Tick reported last; 0: lease not held

	loadOf           func(shard int) float64   // load of a held shard; below 0: not known
	misroutedProxies func() []MisroutedProxies // proxies that connect here for other members' shards; nil: not known

	heartbeat heartbeat
	planning  planning

	// By this member's clock: when the newest granted request of each shard, and the newest RegisterMember or RenewLeases
	// of each member, was applied; 0: never.
	shardRenewedAt []model.Microseconds
	memberSeenAt   map[string]model.Microseconds

	loadReports []loadReport // by shard
}

// NewMember returns a member that has applied no entry yet. loadOf returns the requests a second of a shard that the
// member holds, below 0 if they are not known.
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
		reportedEpochs: make([]uint64, len(state.Shards)),
		loadOf:         loadOf,
		planning:       newPlanning(0, 0),
		shardRenewedAt: make([]model.Microseconds, len(state.Shards)),
		memberSeenAt:   map[string]model.Microseconds{},
		loadReports:    make([]loadReport, len(state.Shards)),
	}
}

// Restore replaces the state by a snapshot. Held leases stay valid: they were granted to this incarnation, and entries
// committed since do not revoke them.
func (m *Member) Restore(state *State) {
	m.state = state
	m.checkShape()
}

// State returns the state after the newest applied entry. The caller must hold the lock that guards the member while it
// reads the state.
func (m *Member) State() *State { return m.state }

// ApplyEntry applies a committed log entry.
func (m *Member) ApplyEntry(entry LogEntry, term uint64, now model.Microseconds) {
	_, announces := entry.Command.(LeaderElected)
	if announces && entry.SchemaVersion <= m.state.supportedVersion {
		m.state.Term = term
		m.heartbeat.restart(now) // a request to the previous leader is lost or already answered
	}
	if term == m.state.Term {
		m.heartbeat.appliedStamp = entry.At
	}
	responses := m.state.Apply(entry, term)
	if announces {
		m.checkShape()
	}
	switch command := entry.Command.(type) {
	case RegisterMember:
		m.memberSeenAt[command.Member] = now
	case RenewLeases:
		m.handleAppliedRenewal(command, responses, now)
	case ReleaseLeases:
		m.handleAppliedRelease(command, now)
	case SetPlacement:
		m.handleAppliedPlacement(command, now)
	}
}

func (m *Member) handleAppliedRenewal(command RenewLeases, responses []ShardResponse, now model.Microseconds) {
	isOwn := command.Member == m.Name && command.Incarnation == m.Incarnation
	for _, response := range responses {
		if response.Granted && response.Shard < len(m.shardRenewedAt) {
			m.shardRenewedAt[response.Shard] = now
			m.loadReports[response.Shard].recordGrant(m.state.Shards[response.Shard], now)
		}
		if isOwn && response.Shard < len(m.leases) {
			m.leases[response.Shard].HandleResponse(m.settings.Lease, response.Response)
			m.heartbeat.recordResponse(response.Granted)
		}
	}
	m.memberSeenAt[command.Member] = now
	if isOwn {
		m.heartbeat.recordApplied(len(command.Requests), now)
	}
}

func (m *Member) handleAppliedRelease(command ReleaseLeases, now model.Microseconds) {
	if command.Member == m.Name {
		return
	}
	for _, request := range command.Requests {
		if shard := m.state.shard(request.Shard); shard != nil && shard.Target == m.Name {
			m.heartbeat.restart(now) // the shard is free: request its lease at once
		}
	}
}

func (m *Member) handleAppliedPlacement(command SetPlacement, now model.Microseconds) {
	m.planning.proposedAt = 0
	placedHere := func(migration placement.Migration) bool { return migration.To == m.Name }
	if slices.ContainsFunc(command.Migrations, placedHere) {
		m.heartbeat.nextAt = now // at once: the shard may be free
	}
}

// IsLeaseHolder reports whether this member holds a shard's lease now, and in which epoch. The caller must hold the
// lock that guards the member. The call is cheap.
func (m *Member) IsLeaseHolder(shard int, now model.Microseconds) (epoch uint64, ok bool) {
	if shard < 0 || shard >= len(m.leases) || m.isExcluded() || !m.leases[shard].IsHeld(now) {
		return 0, false
	}
	return m.leases[shard].Epoch, true
}

// isExcluded reports whether this member may hold no lease: it does not support the schema version of the log, or
// its settings differ from the cluster's, so the same shard number may mean another shard, or its state is not the
// cluster's.
func (m *Member) isExcluded() bool {
	return m.state.NewerSchemaVersion > 0 || m.HasOtherSettings() || m.misshapen
}

// HasOtherSettings reports whether the cluster was started with settings that differ from this member's.
func (m *Member) HasOtherSettings() bool {
	return m.state.Digest != 0 && m.state.Digest != m.Record.Digest
}

// IsSuperseded reports whether a later incarnation of this member is registered.
func (m *Member) IsSuperseded() bool {
	registered := m.state.Member(m.Name)
	return registered != nil && registered.Incarnation > m.Incarnation
}

// isRegistered reports whether this incarnation is registered with its current record.
func (m *Member) isRegistered() bool {
	registered := m.state.Member(m.Name)
	if registered == nil || registered.Removed {
		return false
	}
	return registered.Incarnation == m.Incarnation && registered.Record == m.Record
}

// Announcement returns the first command that this member commits as a new leader.
func (m *Member) Announcement(now model.Microseconds) Command {
	command := LeaderElected{
		Leader:         m.Name,
		SettingsDigest: m.Record.Digest,
		Shape:          m.settings.shape(),
		RenewalAges:    map[string]model.Microseconds{},
	}
	for i, shard := range m.state.Shards {
		// Age -1: this incarnation has applied no renewal of the shard.
		observation := ShardObservation{Epoch: shard.Lease.Epoch, Sequence: shard.Lease.Sequence, Age: -1}
		if i < len(m.shardRenewedAt) && m.shardRenewedAt[i] > 0 {
			observation.Age = now - m.shardRenewedAt[i]
		}
		command.Observations = append(command.Observations, observation)
	}
	for name, at := range m.memberSeenAt {
		command.RenewalAges[name] = now - at
	}
	return command
}

// LeaseChange is the gain of a lease, or its loss (Epoch 0).
type LeaseChange struct {
	Shard int
	Epoch uint64
}

// Tick returns the lease changes since the previous call, and the commands to propose after the caller has handled the
// changes: a ReleaseLeases may be sent only when no message for the shard is in flight. alive reports whether a member
// seems alive by gossip; nil: all members do.
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

// updateLeases releases the shards that are placed on other members, and returns the lease changes since the previous
// Tick.
func (m *Member) updateLeases(now model.Microseconds) (changes []LeaseChange, releases []ShardRequest) {
	for shard := range m.leases {
		if _, held := m.IsLeaseHolder(shard, now); held && m.state.Shards[shard].Target != m.Name {
			request := m.leases[shard].Release(lease.Holder{})
			releases = append(releases, ShardRequest{Shard: shard, Sequence: request.Sequence})
		}
		epoch, _ := m.IsLeaseHolder(shard, now)
		if epoch != m.reportedEpochs[shard] {
			m.reportedEpochs[shard] = epoch
			changes = append(changes, LeaseChange{shard, epoch})
		}
	}
	return changes, releases
}

// TargetAddress returns the address at which proxies connect to the member that a shard is placed on. It returns "" if
// the shard is placed on this member, on no member, or on a member without a recent heartbeat: a proxy redirected there
// would most likely find no listener, and lose time.
func (m *Member) TargetAddress(number int, now model.Microseconds) string {
	shard := m.state.shard(number)
	if shard == nil || shard.Target == m.Name {
		return ""
	}
	target := m.state.Member(shard.Target)
	seenAt, seen := m.memberSeenAt[shard.Target]
	if target == nil || !seen || now-seenAt >= m.settings.Lease.Duration/recentHeartbeatDivisor {
		return ""
	}
	return target.Record.Channel
}

package cluster

import (
	"cmp"
	"slices"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// Member is what one life of a member decides: what it asks for and gives up, when it may order, and, while it leads, who should hold
// what. It is free of I/O; its caller carries proposals to the log and commands back from it, and calls Tick.
//
//	state of a part          input                                next       effect
//	not held                 wanted here                          asked      in the next Renew, each Span/3, or Span/10 after a refusal
//	asked                    granted                              held       Gained, once
//	held                     Renew granted                        held       for another Span from the ask
//	held                     Renew of one that lags               held       not counted: the lease runs out
//	held                     wanted elsewhere                     given up   Lost, then a Release
//	held                     its time is up                       not held   Lost
//	held                     a newer form, or other settings      given up   Lost, no Release: what it would do is not known
type Member struct {
	Name        string
	Incarnation uint64 // grows with each start, and differs between two processes that run under one name
	Record      MemberRecord
	terms       Settings
	reg         *State
	claims      []lease.Lease
	told        []uint64 // epoch in which Gained was told; 0: not held
	load        func(part int) float64
	strays      func() []MisroutedProxies // nil: not known

	askAt   model.Microseconds // the next Renew
	asked   model.Microseconds // the newest one left
	waits   bool               // for its answer
	fresh   model.Microseconds // the leader's stamp of what was carried out last, in its term
	agreed  model.Microseconds // the newest Renew of this life came back from the log
	refused bool
	enrolAt model.Microseconds

	seen  []model.Microseconds          // when each part's newest renewal came from the log, by this clock; 0: none did
	heard map[string]model.Microseconds // the same of members

	mover  placement.Planner
	here   map[string]model.Microseconds // since when, by this leader
	lonely map[int]model.Microseconds    // parts whose forwarders ask elsewhere, since when
	planAt model.Microseconds            // a plan left: none before
	led    uint64                        // term of the last Tick as leader
	ledAt  model.Microseconds            // the first of that term
}

// NewMember makes one; load tells the traffic of a part that it holds, below 0 where it does not know.
func NewMember(name string, life uint64, record MemberRecord, t Settings, load func(part int) float64) *Member {
	record.Digest = t.Digest()
	m := &Member{Name: name, Incarnation: life, Record: record, terms: t, load: load, here: map[string]model.Microseconds{}, heard: map[string]model.Microseconds{}}
	m.Restore(NewState(t))
	m.seen = make([]model.Microseconds, len(m.reg.Shards))
	m.claims, m.told = make([]lease.Lease, len(m.reg.Shards)), make([]uint64, len(m.reg.Shards))
	return m
}

// Restore takes a register from a snapshot. What is held goes on: its lease was granted to this life, whatever was agreed since.
func (m *Member) Restore(r *State) { m.reg = r }

// Register is what the member knows to be agreed on; it is to be read under the caller's lock.
func (m *Member) Register() *State { return m.reg }

// Applied takes a command of the log.
func (m *Member) Applied(c *Command, term uint64, now model.Microseconds) {
	if c.Kind == LeaderElected && c.SchemaVersion <= m.reg.knows {
		m.reg.Term = term
		m.askAt, m.waits = now, false // what the leader before was asked is lost, or its answer is here already
	}
	if term == m.reg.Term {
		m.fresh = c.At
	}
	for _, a := range m.reg.Apply(c, term) {
		if a.Granted && a.Shard < len(m.seen) {
			m.seen[a.Shard] = now
		}
		if c.Member != m.Name || c.Incarnation != m.Incarnation || a.Shard >= len(m.claims) {
			continue
		}
		m.claims[a.Shard].HandleResponse(m.terms.Lease, a.Response)
		m.waits = false
		if !a.Granted {
			m.refused = true
		}
	}
	if c.Kind == RenewLeases || c.Kind == RegisterMember {
		m.heard[c.Member] = now
	}
	if c.Kind == SetPlacement {
		m.planAt = 0
		if slices.ContainsFunc(c.Migrations, func(mv placement.Migration) bool { return mv.To == m.Name }) {
			m.askAt = now // at once: the part may be free
		}
	}
	if c.Kind == ReleaseLeases && c.Member != m.Name {
		for _, a := range c.Requests {
			if p := m.reg.part(a.Shard); p != nil && p.Target == m.Name {
				m.askAt, m.waits = now, false
			}
		}
	}
	if c.Kind == RenewLeases && c.Member == m.Name && c.Incarnation == m.Incarnation {
		m.agreed = now
		if len(c.Requests) == 0 {
			m.waits = false
		}
	}
}

// IsLeaseHolder tells whether this member may order for a part now, and in which epoch. It needs the caller's lock and may be called often.
func (m *Member) IsLeaseHolder(part int, now model.Microseconds) (epoch uint64, ok bool) {
	if part < 0 || part >= len(m.claims) || m.reg.NewerSchemaVersion > 0 || m.OtherSettings() || !m.claims[part].IsHeld(now) {
		return 0, false
	}
	return m.claims[part].Epoch, true
}

// Lead gives the word with which this member begins to lead.
func (m *Member) Lead(now model.Microseconds) *Command {
	c := &Command{SchemaVersion: form, Kind: LeaderElected, Member: m.Name, Record: &MemberRecord{Digest: m.Record.Digest}, RenewalAges: map[string]model.Microseconds{}}
	for part, p := range m.reg.Shards {
		one := ShardObservation{Epoch: p.Lease.Epoch, Sequence: p.Lease.Sequence, Age: -1}
		if part < len(m.seen) && m.seen[part] > 0 {
			one.Age = now - m.seen[part]
		}
		c.Observations = append(c.Observations, one)
	}
	for name, at := range m.heard {
		c.RenewalAges[name] = now - at
	}
	return c
}

// Failed takes that a Renew was not agreed on, as far as its sender knows. One that is all the same brings an answer that comes too
// late to count.
func (m *Member) Failed(c *Command, now model.Microseconds) {
	if c.Kind == RenewLeases && m.waits {
		m.waits, m.askAt = false, now+m.terms.Lease.Duration/20
	}
}

// LeaseChange is a part that a member holds from now on, or no longer (Epoch 0).
type LeaseChange struct {
	Shard int
	Epoch uint64
}

// Tick gives what changed since the last one, and what is to be proposed once that was carried out: a Release may leave only when no
// order is under way any more. alive tells what gossip believes of a member; nil: all are.
func (m *Member) Tick(now model.Microseconds, leads bool, alive func(name string) bool) (changes []LeaseChange, proposals []*Command) {
	var releases []ShardRequest
	for part := range m.claims {
		if _, held := m.IsLeaseHolder(part, now); held && m.reg.Shards[part].Target != m.Name {
			releases = append(releases, ShardRequest{Shard: part, Sequence: m.claims[part].Release(lease.Holder{}).Sequence})
		}
		epoch, _ := m.IsLeaseHolder(part, now)
		if epoch != m.told[part] {
			m.told[part] = epoch
			changes = append(changes, LeaseChange{part, epoch})
		}
	}
	if m.reg.NewerSchemaVersion > 0 || m.OtherSettings() {
		return changes, nil
	}
	if len(releases) > 0 {
		proposals = append(proposals, &Command{SchemaVersion: form, Kind: ReleaseLeases, Member: m.Name, Incarnation: m.Incarnation, Requests: releases})
	}
	if s := m.reg.Member(m.Name); s == nil || s.Incarnation != m.Incarnation || s.Record != m.Record || s.Removed {
		if c := m.enrol(now); c != nil {
			proposals = append(proposals, c)
		}
		return changes, proposals
	}
	if c := m.renew(now); c != nil {
		proposals = append(proposals, c)
	}
	if c := m.plan(now, leads, alive); c != nil {
		proposals = append(proposals, c)
	}
	return changes, proposals
}

// enrol tells who this member is. Where a later life is on the register, another process runs under this name: this one holds nothing
// any more once its leases end.
func (m *Member) enrol(now model.Microseconds) *Command {
	if now < m.enrolAt || m.Outranked() {
		return nil
	}
	m.enrolAt = now + m.terms.Lease.Duration/3
	record := m.Record
	return &Command{SchemaVersion: form, Kind: RegisterMember, Member: m.Name, Incarnation: m.Incarnation, Record: &record, FollowedAt: m.fresh}
}

// OtherSettings tells that the group was begun with settings that differ from this member's where all must be alike.
func (m *Member) OtherSettings() bool { return m.reg.Digest != 0 && m.reg.Digest != m.Record.Digest }

// Outranked tells that a later life of this member is on the register.
func (m *Member) Outranked() bool {
	s := m.reg.Member(m.Name)
	return s != nil && s.Incarnation > m.Incarnation
}

func (m *Member) renew(now model.Microseconds) *Command {
	span := m.terms.Lease.Duration
	if m.waits && now-m.asked < span/2 { // another ask would make the answer to this one worthless
		return nil
	}
	if m.refused && !m.waits {
		m.askAt = min(m.askAt, m.asked+span/10)
	}
	if now < m.askAt {
		return nil
	}
	m.asked, m.askAt, m.waits, m.refused = now, now+span/3, true, false
	c := &Command{SchemaVersion: form, Kind: RenewLeases, Member: m.Name, Incarnation: m.Incarnation, FollowedAt: m.fresh}
	if m.strays != nil {
		c.MisroutedProxies = m.strays()
	}
	for part, p := range m.reg.Shards {
		if p.Target != m.Name || part >= len(m.claims) {
			continue
		}
		load := -1.0
		if _, held := m.IsLeaseHolder(part, now); held {
			load = m.load(part)
		}
		c.Requests = append(c.Requests, ShardRequest{Shard: part, Sequence: m.claims[part].Request(lease.Holder{}, now).Sequence, Load: load})
	}
	return c
}

// planFor is how long a leader waits for its own plan to be agreed on before it makes another.
const planFor = model.Second

// plan gives the leader's moves.
func (m *Member) plan(now model.Microseconds, leads bool, alive func(string) bool) *Command {
	if !leads || m.reg.Leader != m.Name {
		return nil
	}
	if m.led != m.reg.Term { // a new leader has seen nobody yet
		m.led, m.ledAt, m.planAt = m.reg.Term, now, 0
		m.mover, m.here, m.lonely = placement.Planner{}, map[string]model.Microseconds{}, map[int]model.Microseconds{}
	}
	// Members that start together enrol within some round trips. A plan made at once gave the first of them the whole fleet, to be moved
	// part by part after.
	if now-m.ledAt < m.terms.Lease.Duration/2 && slices.ContainsFunc(m.reg.Shards, func(p *ShardState) bool { return p.Lease.Epoch == 0 }) {
		return nil
	}
	if m.planAt > 0 && now-m.planAt < planFor {
		return nil
	}
	var members []placement.Member
	for _, s := range m.reg.Members {
		a := placement.Member{Name: s.Name, Zone: s.Record.Zone, Capacity: s.Record.Capacity, Draining: s.Draining || s.Removed, Stopping: s.Stopping, Alive: m.isHere(s, now, alive)}
		since, was := m.here[s.Name]
		switch {
		case !a.Alive:
			delete(m.here, s.Name)
		case !was:
			since = now
			m.here[s.Name] = now
		}
		a.AliveSince = since
		members = append(members, a)
	}
	var parts []placement.Shard
	for _, p := range m.reg.Shards {
		parts = append(parts, placement.Shard{Number: p.Number, Zone: p.Zone, Load: p.Load, Target: p.Target, Pinned: p.Pinned, Asked: m.askedInstead(p, now)})
	}
	moves := m.mover.Plan(m.terms.Placement, now, members, parts)
	if len(moves) == 0 {
		return nil
	}
	m.planAt = now
	return &Command{SchemaVersion: form, Kind: SetPlacement, Member: m.Name, Migrations: moves}
}

// askedInstead gives the member that most of a part's forwarders go on asking while none of them is joined to its holder, for a lease's
// time already: their link to the holder is cut, though the group's is not. "" for none.
func (m *Member) askedInstead(p *ShardState, now model.Microseconds) string {
	most, name := 0, ""
	for _, s := range m.reg.Members {
		for _, stray := range s.MisroutedProxies {
			if stray.Shard == p.Number && stray.Proxies > most && s.Name != p.Target {
				most, name = stray.Proxies, s.Name
			}
		}
	}
	if !p.NoProxies || most == 0 || m.reg.Holder(p) != p.Target {
		delete(m.lonely, p.Number)
		return ""
	}
	since, known := m.lonely[p.Number]
	if !known {
		since = now
		m.lonely[p.Number] = now
	}
	if now-since < m.terms.Lease.Duration {
		return ""
	}
	return name
}

// isHere tells whether the leader counts on a member. Renewals are the proof; gossip only shortens the wait: it may say that one is
// gone whose renewal is due anyway, and never that one is here who doesn't renew.
func (m *Member) isHere(s *MemberState, now model.Microseconds, alive func(string) bool) bool {
	silent := now - s.RenewedAt
	span := m.terms.Lease.Duration
	if s.Removed || s.Record.Digest != m.reg.Digest || silent >= span+m.terms.Lease.MaxClockDrift {
		return false
	}
	return alive == nil || silent < span/2 || alive(s.Name)
}

// Elsewhere gives the channel address of the member that should hold a part; "" if that is this one, or nobody, or one that has not
// renewed for half a lease: who is sent there would most likely find nobody, and lose the time.
func (m *Member) Elsewhere(part int, now model.Microseconds) string {
	p := m.reg.part(part)
	if p == nil || p.Target == m.Name {
		return ""
	}
	s := m.reg.Member(p.Target)
	if at, heard := m.heard[p.Target]; s == nil || !heard || now-at >= m.terms.Lease.Duration/2 {
		return ""
	}
	return s.Record.Channel
}

// Missing tells why a part is without an order of its holder, for a reader; "" if it has one.
func (m *Member) Missing(p *ShardState) string {
	s := m.reg.Member(p.Target)
	switch {
	case p.Target == "":
		return "no member has room for it, or none is here"
	case s == nil || s.Removed:
		return "its member was struck off"
	case m.reg.Holder(p) != p.Target:
		return cmp.Or(m.reg.WaitReasons[p.Number], "planned") + ": waits for " + cmp.Or(m.reg.Holder(p), "its member to ask")
	}
	return ""
}

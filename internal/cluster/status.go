package cluster

import "peppervale/internal/model"

// Status is what a member knows of its group, for commands and pages.
type Status struct {
	Member        string             `json:"member"`
	Leader        string             `json:"leader"`
	Term          uint64             `json:"term"`
	AppliedIndex  uint64             `json:"agreed"`            // entries of the log that this member has carried out
	Fault         string             `json:"trouble,omitempty"` // what keeps this member from holding anything
	LeaseDuration model.Microseconds `json:"span_us"`
	MaxClockDrift model.Microseconds `json:"drift_us"`
	Members       []MemberStatus     `json:"members"`
	Shards        []ShardStatus      `json:"parts"`
	Takeovers     []Event            `json:"takeovers"` // newest last; At is of the clock of the leader of then
}

// MemberStatus is one member.
type MemberStatus struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Channel     string  `json:"channel"`
	Capacity    float64 `json:"limit,omitempty"`
	Voter       bool    `json:"votes"`
	SeemsAlive  bool    `json:"seems_alive"` // by gossip
	Draining    bool    `json:"leaving,omitempty"`
	Removed     bool    `json:"struck,omitempty"`
	Incarnation uint64  `json:"life"`
	Shards      int     `json:"parts"`
	Load        float64 `json:"load"` // invocations a second of its parts, as forwarders told
}

// ShardStatus is one part.
type ShardStatus struct {
	Number         int                `json:"number"`
	Zone           string             `json:"zone"`
	Holder         string             `json:"holder"` // by the register; its lease may have run out
	Target         string             `json:"wanted"`
	Pinned         bool               `json:"by_hand,omitempty"`
	Epoch          uint64             `json:"epoch"`
	Load           float64            `json:"load"`
	HeldHere       bool               `json:"held_here"` // this member may order for it now
	LeaseRemaining model.Microseconds `json:"lease_left_us,omitempty"`
	WaitReason     string             `json:"waits_for,omitempty"`
}

// Status gives what this member knows now; it asks nobody.
func (g *Cluster) Status() Status {
	voters, alive := g.engine.voters(), g.gossip.alive()
	leader, _ := g.engine.leader()
	now := g.line.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.member
	s := Status{Member: m.Name, Leader: leader, Term: m.reg.Term, AppliedIndex: g.engine.raft.AppliedIndex(), Fault: g.why(), LeaseDuration: m.reg.LeaseDuration, MaxClockDrift: m.reg.MaxClockDrift,
		Members: []MemberStatus{}, Shards: []ShardStatus{}, Takeovers: append([]Event{}, m.reg.Events...)}
	at := map[string]int{}
	for i, one := range m.reg.Members {
		_, votes := voters[one.Name]
		at[one.Name] = i
		s.Members = append(s.Members, MemberStatus{Name: one.Name, Zone: one.Record.Zone, Channel: one.Record.Channel, Capacity: one.Record.Capacity,
			Voter: votes, SeemsAlive: alive[one.Name], Draining: one.Draining, Removed: one.Removed, Incarnation: one.Incarnation})
	}
	for part, p := range m.reg.Shards {
		one := ShardStatus{Number: p.Number, Zone: p.Zone, Holder: m.reg.Holder(p), Target: p.Target, Pinned: p.Pinned, Epoch: p.Lease.Epoch,
			Load: p.Load, WaitReason: m.Missing(p)}
		if _, one.HeldHere = m.IsLeaseHolder(part, now); one.HeldHere {
			one.LeaseRemaining = m.claims[part].Remaining(now)
		}
		if i, known := at[one.Holder]; known {
			s.Members[i].Shards++
			s.Members[i].Load += p.Load
		}
		s.Shards = append(s.Shards, one)
	}
	return s
}

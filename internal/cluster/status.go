package cluster

import "peppervale/internal/model"

// Status is what a member knows of its group, for commands and pages.
type Status struct {
	Member  string             `json:"member"`
	Leader  string             `json:"leader"`
	Term    uint64             `json:"term"`
	Agreed  uint64             `json:"agreed"`            // entries of the log that this member has carried out
	Trouble string             `json:"trouble,omitempty"` // what keeps this member from holding anything
	SpanUs  model.Microseconds `json:"span_us"`
	DriftUs model.Microseconds `json:"drift_us"`
	Members []MemberStatus     `json:"members"`
	Parts   []PartStatus       `json:"parts"`
	Events  []Event            `json:"takeovers"` // newest last; At is of the clock of the leader of then
}

// MemberStatus is one member.
type MemberStatus struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Channel string  `json:"channel"`
	Limit   float64 `json:"limit,omitempty"`
	Votes   bool    `json:"votes"`
	Seems   bool    `json:"seems_alive"` // by gossip
	Leaving bool    `json:"leaving,omitempty"`
	Struck  bool    `json:"struck,omitempty"`
	Life    uint64  `json:"life"`
	Parts   int     `json:"parts"`
	Load    float64 `json:"load"` // invocations a second of its parts, as forwarders told
}

// PartStatus is one part.
type PartStatus struct {
	Number int                `json:"number"`
	Zone   string             `json:"zone"`
	Holder string             `json:"holder"` // by the register; its lease may have run out
	Wanted string             `json:"wanted"`
	ByHand bool               `json:"by_hand,omitempty"`
	Epoch  uint64             `json:"epoch"`
	Load   float64            `json:"load"`
	Here   bool               `json:"held_here"` // this member may order for it now
	LeftUs model.Microseconds `json:"lease_left_us,omitempty"`
	Why    string             `json:"waits_for,omitempty"`
}

// Status gives what this member knows now; it asks nobody.
func (g *Group) Status() Status {
	voters, alive := g.engine.voters(), g.gossip.alive()
	leader, _ := g.engine.leader()
	now := g.line.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.member
	s := Status{Member: m.Name, Leader: leader, Term: m.reg.Term, Agreed: g.engine.raft.AppliedIndex(), Trouble: g.why(), SpanUs: m.reg.Span, DriftUs: m.reg.Drift,
		Members: []MemberStatus{}, Parts: []PartStatus{}, Events: append([]Event{}, m.reg.Events...)}
	at := map[string]int{}
	for i, one := range m.reg.Members {
		_, votes := voters[one.Name]
		at[one.Name] = i
		s.Members = append(s.Members, MemberStatus{Name: one.Name, Zone: one.Record.Zone, Channel: one.Record.Channel, Limit: one.Record.Limit,
			Votes: votes, Seems: alive[one.Name], Leaving: one.Leaving, Struck: one.Struck, Life: one.Life})
	}
	for part, p := range m.reg.Parts {
		one := PartStatus{Number: p.Number, Zone: p.Zone, Holder: m.reg.Holder(p), Wanted: p.Wanted, ByHand: p.ByHand, Epoch: p.Lease.Epoch,
			Load: p.Load, Why: m.Missing(p)}
		if _, one.Here = m.Holds(part, now); one.Here {
			one.LeftUs = m.claims[part].Left(now)
		}
		if i, known := at[one.Holder]; known {
			s.Members[i].Parts++
			s.Members[i].Load += p.Load
		}
		s.Parts = append(s.Parts, one)
	}
	return s
}

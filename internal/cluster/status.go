package cluster

import (
	"cmp"

	"peppervale/internal/model"
)

// Status is a member's view of its cluster, for commands and pages. Other programs read its JSON keys, which must not
// change.
type Status struct {
	Member        string             `json:"member"`
	Leader        string             `json:"leader"`
	Term          uint64             `json:"term"`
	AppliedIndex  uint64             `json:"agreed"`            // of the newest log entry that this member has applied
	Fault         string             `json:"trouble,omitempty"` // what prevents this member from holding leases
	LeaseDuration model.Microseconds `json:"span_us"`
	MaxClockDrift model.Microseconds `json:"drift_us"`
	Members       []MemberStatus     `json:"members"`
	Shards        []ShardStatus      `json:"parts"`
	Takeovers     []Takeover         `json:"takeovers"` // newest last; At is by the clock of the leader at that time

	HeldBytes  int64  `json:"held_bytes,omitempty"`   // memory of unfinished requests at this member's cluster port
	OverMemory uint64 `json:"held_put_off,omitempty"` // connections ended because of this memory
}

// MemberStatus is the status of one member.
type MemberStatus struct {
	Name         string  `json:"name"`
	Zone         string  `json:"zone"`
	Channel      string  `json:"channel"`
	Capacity     float64 `json:"limit,omitempty"` // requests a second; 0: unlimited
	Voter        bool    `json:"votes"`
	SeemsAlive   bool    `json:"seems_alive"` // by gossip
	Draining     bool    `json:"leaving,omitempty"`
	Removed      bool    `json:"struck,omitempty"`
	Incarnation  uint64  `json:"life"`
	Shards       int     `json:"parts"` // number of shards that it holds
	ExpectedRate float64 `json:"load"`  // requests a second of these shards, as reported
}

// ShardStatus is the status of one shard.
type ShardStatus struct {
	Number         int                `json:"number"`
	Zone           string             `json:"zone"`
	Holder         string             `json:"holder"` // by the replicated state; its lease may have expired
	Target         string             `json:"wanted"`
	Pinned         bool               `json:"by_hand,omitempty"`
	Epoch          uint64             `json:"epoch"`
	ExpectedRate   float64            `json:"load"`
	HeldHere       bool               `json:"held_here"` // this member holds its lease now
	LeaseRemaining model.Microseconds `json:"lease_left_us,omitempty"`
	WaitReason     string             `json:"waits_for,omitempty"`
}

// Status returns this member's current view, without a request to any other member.
func (c *Cluster) Status() Status {
	voters := c.node.voters()
	alive := c.gossip.alive()
	leader, _ := c.node.leader()
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.member.state
	status := Status{
		Member:        c.member.Name,
		Leader:        leader,
		Term:          state.Term,
		AppliedIndex:  c.node.raft.AppliedIndex(),
		Fault:         c.fault(),
		LeaseDuration: state.LeaseDuration,
		MaxClockDrift: state.MaxClockDrift,
		Members:       []MemberStatus{},
		Shards:        []ShardStatus{},
		Takeovers:     append([]Takeover{}, state.Events...),
		HeldBytes:     c.server.heldBytes.Load(),
		OverMemory:    c.server.overMemory.Load(),
	}
	for _, member := range state.Members {
		_, votes := voters[member.Name]
		status.Members = append(status.Members, memberStatus(member, votes, alive[member.Name]))
	}
	for _, shard := range state.Shards {
		shardStatus := c.member.shardStatus(shard, now)
		status.Shards = append(status.Shards, shardStatus)
		status.countShard(shardStatus)
	}
	return status
}

func memberStatus(member *MemberState, votes, alive bool) MemberStatus {
	return MemberStatus{
		Name:        member.Name,
		Zone:        member.Record.Zone,
		Channel:     member.Record.Channel,
		Capacity:    member.Record.Capacity,
		Voter:       votes,
		SeemsAlive:  alive,
		Draining:    member.Draining,
		Removed:     member.Removed,
		Incarnation: member.Incarnation,
	}
}

func (m *Member) shardStatus(shard *ShardState, now model.Microseconds) ShardStatus {
	status := ShardStatus{
		Number:       shard.Number,
		Zone:         shard.Zone,
		Holder:       m.state.Holder(shard),
		Target:       shard.Target,
		Pinned:       shard.Pinned,
		Epoch:        shard.Lease.Epoch,
		ExpectedRate: shard.Load,
		WaitReason:   m.waitReason(shard),
	}
	_, status.HeldHere = m.IsLeaseHolder(shard.Number, now)
	if status.HeldHere {
		status.LeaseRemaining = m.leases[shard.Number].Remaining(now)
	}
	return status
}

// countShard adds a shard and its load to those of its holder.
func (s *Status) countShard(shard ShardStatus) {
	for i := range s.Members {
		if holder := &s.Members[i]; holder.Name == shard.Holder {
			holder.Shards++
			holder.ExpectedRate += shard.ExpectedRate
			return
		}
	}
}

// waitReason returns why a shard is not held by the member that it is placed on; "" if it is.
func (m *Member) waitReason(shard *ShardState) string {
	target := m.state.Member(shard.Target)
	holder := m.state.Holder(shard)
	switch {
	case shard.Target == "":
		return "no member has room for it, or none is here"
	case target == nil || target.Removed:
		return "its member was struck off"
	case holder != shard.Target:
		return cmp.Or(m.state.WaitReasons[shard.Number], "planned") + ": waits for " + cmp.Or(holder, "its member to ask")
	}
	return ""
}

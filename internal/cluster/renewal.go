package cluster

import (
	"peppervale/internal/lease"
	"peppervale/internal/model"
)

// Timing of renewals: the lease duration is divided by each constant.
const (
	responseTimeoutDivisor = 2 // a request without a response for this long is sent again
	renewalsPerLease       = 3
	refusedRetryDivisor    = 10 // after a refusal: the shard may be free soon
	failedRetryDivisor     = 20 // after a renewal that could not be proposed
)

// heartbeat schedules the registrations and renewals of a member. All times except appliedStamp are by the member's
// own clock.
type heartbeat struct {
	nextAt       model.Microseconds // of the next RenewLeases
	sentAt       model.Microseconds // of the newest RenewLeases
	pending      bool               // the newest RenewLeases has no response yet
	refused      bool               // a lease was refused since the newest RenewLeases was sent
	registerAt   model.Microseconds // of the next RegisterMember
	confirmedAt  model.Microseconds // when the newest RenewLeases of this incarnation was applied; 0: never
	appliedStamp model.Microseconds // the leader's stamp of the newest applied entry of the current term
}

// restart makes the next RenewLeases due at once, even if one is pending.
func (h *heartbeat) restart(now model.Microseconds) {
	h.nextAt = now
	h.pending = false
}

// recordResponse records the response for one shard of this member's newest RenewLeases.
func (h *heartbeat) recordResponse(granted bool) {
	h.pending = false
	if !granted {
		h.refused = true
	}
}

// recordApplied records that a RenewLeases of this incarnation was applied.
func (h *heartbeat) recordApplied(requests int, now model.Microseconds) {
	h.confirmedAt = now
	if requests == 0 {
		h.pending = false
	}
}

// isDue reports whether the next RenewLeases is to be sent.
func (h *heartbeat) isDue(now, duration model.Microseconds) bool {
	responseMayCome := h.pending && now-h.sentAt < duration/responseTimeoutDivisor
	if responseMayCome { // after a new request, the member would ignore this response
		return false
	}
	if h.refused && !h.pending {
		h.nextAt = min(h.nextAt, h.sentAt+duration/refusedRetryDivisor)
	}
	return now >= h.nextAt
}

// recordSent records that a RenewLeases is sent now.
func (h *heartbeat) recordSent(now, duration model.Microseconds) {
	h.sentAt = now
	h.nextAt = now + duration/renewalsPerLease
	h.pending = true
	h.refused = false
}

// ProposalFailed records that the sender could not confirm the commit of a command. If a RenewLeases was committed
// nevertheless, its response is too late to have an effect.
func (m *Member) ProposalFailed(command Command, now model.Microseconds) {
	if _, renews := command.(RenewLeases); renews && m.heartbeat.pending {
		m.heartbeat.pending = false
		m.heartbeat.nextAt = now + m.settings.Lease.Duration/failedRetryDivisor
	}
}

// register returns the command that registers this member, if it is due. It is never due once a later incarnation is
// registered: another process runs under this name, and this one lets its leases expire.
func (m *Member) register(now model.Microseconds) (command Command, due bool) {
	if now < m.heartbeat.registerAt || m.IsSuperseded() {
		return nil, false
	}
	m.heartbeat.registerAt = now + m.settings.Lease.Duration/renewalsPerLease
	record := m.Record
	return RegisterMember{
		Member:      m.Name,
		Incarnation: m.Incarnation,
		Record:      &record,
		FollowedAt:  m.heartbeat.appliedStamp,
	}, true
}

// renew returns the command that requests the leases of all shards that are placed on this member, if it is due.
func (m *Member) renew(now model.Microseconds) (command Command, due bool) {
	duration := m.settings.Lease.Duration
	if !m.heartbeat.isDue(now, duration) {
		return nil, false
	}
	m.heartbeat.recordSent(now, duration)
	renewal := RenewLeases{Member: m.Name, Incarnation: m.Incarnation, FollowedAt: m.heartbeat.appliedStamp}
	if m.misroutedProxies != nil {
		renewal.MisroutedProxies = m.misroutedProxies()
	}
	for number, shard := range m.state.Shards {
		if shard.Target != m.Name || number >= len(m.leases) {
			continue
		}
		renewal.Requests = append(renewal.Requests, m.shardRequest(number, now))
	}
	return renewal, true
}

func (m *Member) shardRequest(shard int, now model.Microseconds) ShardRequest {
	load := -1.0
	if _, held := m.IsLeaseHolder(shard, now); held {
		load = m.loadOf(shard)
	}
	request := m.leases[shard].Request(lease.Holder{}, now)
	return ShardRequest{Shard: shard, Sequence: request.Sequence, Load: load}
}

// isUnconfirmed reports whether heartbeats of this incarnation were applied before, but none within the last lease
// duration.
func (m *Member) isUnconfirmed(now model.Microseconds) bool {
	return m.heartbeat.confirmedAt > 0 && now-m.heartbeat.confirmedAt > m.settings.Lease.Duration
}

package cluster

import "peppervale/internal/model"

// loadReport tells whether the load of a shard is known. A holder reports it with the first renewal of its lease, not
// with the request by which it gets the lease, and the state has 0 until then.
type loadReport struct {
	received  bool               // a holder has reported a load
	epoch     uint64             // newest epoch of which a grant was applied
	grantedAt model.Microseconds // when the first grant of that epoch was applied, by this member's clock; 0: never
}

// recordGrant records a granted or renewed lease of a shard.
func (r *loadReport) recordGrant(shard *ShardState, now model.Microseconds) {
	if !shard.NoProxies {
		r.received = true
	}
	if shard.Lease.Epoch != r.epoch {
		r.epoch = shard.Lease.Epoch
		r.grantedAt = now
	}
}

// isLoadUnknown reports whether a shard's load is yet to be reported. A holder that has reported none for a lease
// duration has no proxies of the shard, whose load is 0 then.
func (m *Member) isLoadUnknown(shard *ShardState, now model.Microseconds) bool {
	if shard.Load > 0 || shard.Number >= len(m.loadReports) {
		return false
	}
	report := m.loadReports[shard.Number]
	return !report.received && now-report.grantedAt < m.settings.Lease.Duration
}

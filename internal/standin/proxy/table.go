package proxy

import (
	"slices"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// table holds a proxy's entries, withdrawn replicas and quotas.
type table struct {
	entries   []*entry
	withdrawn map[model.ReplicaID]bool
	quotas    []pubsubmsg.Quota // in the order of arrival, each for a bit mask of operations
	bound     bool              // published by an instance; otherwise it is the standing table
}

// entry is a replica in the proxy's table.
type entry struct {
	id     model.ReplicaID
	weight float64
	credit float64 // of smooth weighted round robin
}

// replicaState is the proxy's state for a replica: requests in flight, failures, connections and load report.
type replicaState struct {
	id                  model.ReplicaID
	inFlight            int
	consecutiveFailures int
	avoidUntil          model.Microseconds // the proxy sends it no requests until then, unless it avoids all replicas
	idleConnections     []*connection
	report              replicaReport
}

func newTable(standing []invariants.TableEntry) table {
	t := table{withdrawn: map[model.ReplicaID]bool{}}
	for _, e := range standing {
		t.entries = append(t.entries, &entry{id: e.Replica, weight: e.Weight})
	}
	return t
}

// Bound reports whether the proxy uses a table that an instance published, not its standing table.
func (p *Proxy) Bound() bool { return p.table.bound }

// HeldEntry is an entry of a proxy's table.
type HeldEntry struct {
	Replica   model.ReplicaID
	Weight    float64
	Withdrawn bool
}

// HeldEntries returns the entries of the proxy's table, including those of withdrawn replicas.
func (p *Proxy) HeldEntries() (entries []HeldEntry) {
	for _, e := range p.table.entries {
		entries = append(entries, HeldEntry{e.id, e.weight, p.table.withdrawn[e.id]})
	}
	return entries
}

func (p *Proxy) replicaState(id model.ReplicaID) *replicaState {
	r := p.replicas[id]
	if r == nil {
		r = &replicaState{id: id}
		p.replicas[id] = r
	}
	return r
}

// quotaAndPolicy returns the admitted share of an operation's requests and their retry policy. Both come from the
// newest quota that covers the operation.
func (p *Proxy) quotaAndPolicy(operation int) (share float64, policy model.RetryPolicy) {
	share, policy = 1, p.DefaultRetryPolicy
	for _, q := range p.table.quotas {
		if q.Operations == 0 || q.Operations&(1<<operation) != 0 {
			share, policy = q.Share, q.RetryPolicy
		}
	}
	if p.awaitsNewHolder {
		policy = min(policy, model.RetryIfNotExecuted)
	}
	if p.Misbehavior.RetriesAnything {
		policy = model.RetryTwiceOnAnyFailure
	}
	return share, policy
}

// usableEntries returns the entries that may be picked, except that of the excluded replica, and their total weight. If
// the proxy avoids all of them, it returns them nevertheless; otherwise a few failures would make it reject every
// request.
func (p *Proxy) usableEntries(excluded model.ReplicaID) (entries []*entry, totalWeight float64) {
	now := p.loop.Now()
	for _, e := range p.table.entries {
		if r := p.replicas[e.id]; p.isUsable(e, excluded) && (r == nil || r.avoidUntil <= now) {
			entries = append(entries, e)
			totalWeight += e.weight
		}
	}
	if len(entries) > 0 {
		return entries, totalWeight
	}
	for _, e := range p.table.entries {
		if p.isUsable(e, excluded) {
			entries = append(entries, e)
			totalWeight += e.weight
		}
	}
	return entries, totalWeight
}

func (p *Proxy) isUsable(e *entry, excluded model.ReplicaID) bool {
	if e.weight <= 0 || e.id == excluded {
		return false
	}
	return !p.table.withdrawn[e.id] || p.Misbehavior.IgnoresWithdrawals
}

// pickReplica picks a replica by the proxy's policy, but not the excluded one. It returns nil if there is none.
func (p *Proxy) pickReplica(excluded model.ReplicaID) *replicaState {
	entries, totalWeight := p.usableEntries(excluded)
	if len(entries) == 0 {
		return nil
	}
	var picked *entry
	switch p.Pick {
	case PickRoundRobin:
		picked = nextRoundRobin(entries, totalWeight)
	case PickTwoChoices:
		picked = p.drawEntry(entries, totalWeight)
		other := p.drawEntry(entries, totalWeight)
		if p.replicaState(other.id).inFlight < p.replicaState(picked.id).inFlight {
			picked = other
		}
	default: // PickWeightedRandom
		picked = p.drawEntry(entries, totalWeight)
	}
	return p.replicaState(picked.id)
}

// drawEntry draws an entry at random, by weight.
func (p *Proxy) drawEntry(entries []*entry, totalWeight float64) *entry {
	remaining := p.random.Float() * totalWeight
	for _, e := range entries {
		remaining -= e.weight
		if remaining < 0 {
			return e
		}
	}
	return entries[len(entries)-1]
}

// nextRoundRobin implements smooth weighted round robin. Each pick adds its weight to every entry's credit, picks the
// entry with the most credit, and subtracts the total weight from that entry's credit.
func nextRoundRobin(entries []*entry, totalWeight float64) *entry {
	var best *entry
	for _, e := range entries {
		e.credit += e.weight
		if best == nil || e.credit > best.credit {
			best = e
		}
	}
	best.credit -= totalWeight
	return best
}

// applyToTable applies a message that is in order to the table.
func (p *Proxy) applyToTable(message *pubsubmsg.Message) {
	if message.Bound || len(message.Quotas) > 0 {
		p.awaitsNewHolder = false
	}
	if message.Full && message.Bound {
		p.table.entries = nil
		p.table.bound = true
		clear(p.table.withdrawn)
	}
	if message.Full && len(message.Quotas) > 0 {
		p.table.quotas = nil
	}
	for _, e := range message.Entries {
		p.table.setEntry(e, p.Misbehavior.IgnoresWithdrawals)
	}
	for _, w := range message.Withdrawals {
		p.table.setWithdrawn(w)
	}
	for _, q := range message.Quotas {
		p.table.setQuota(q)
	}
	p.closeUnusedConnections()
}

// setEntry sets an entry's weight. Weight 0 removes the entry, unless removals are ignored.
func (t *table) setEntry(update pubsubmsg.Entry, ignoreRemoval bool) {
	i := slices.IndexFunc(t.entries, func(e *entry) bool { return e.id == update.Replica })
	switch {
	case i >= 0 && update.Weight > 0:
		t.entries[i].weight = update.Weight
	case i >= 0 && !ignoreRemoval:
		t.entries = slices.Delete(t.entries, i, i+1)
	case i < 0 && update.Weight > 0:
		t.entries = append(t.entries, &entry{id: update.Replica, weight: update.Weight})
	}
}

func (t *table) setWithdrawn(w pubsubmsg.Withdrawal) {
	if w.Withdrawn {
		t.withdrawn[w.Replica] = true
	} else {
		delete(t.withdrawn, w.Replica)
	}
}

func (t *table) setQuota(update pubsubmsg.Quota) {
	i := slices.IndexFunc(t.quotas, func(q pubsubmsg.Quota) bool { return q.Operations == update.Operations })
	if i >= 0 {
		t.quotas[i] = update
	} else {
		t.quotas = append(t.quotas, update)
	}
}

// holds reports whether the table has an entry for a replica and the replica is not withdrawn.
func (t *table) holds(id model.ReplicaID) bool {
	return !t.withdrawn[id] && slices.ContainsFunc(t.entries, func(e *entry) bool { return e.id == id })
}

// closeUnusedConnections closes idle connections to replicas that are withdrawn or no longer in the table.
func (p *Proxy) closeUnusedConnections() {
	for id, r := range p.replicas {
		if len(r.idleConnections) > 0 && !p.table.holds(id) {
			r.closeIdle()
		}
	}
}

package balancer

import (
	"slices"
	"sort"

	"peppervale/internal/model"
)

// setWithdrawnInParts withdraws or readmits replicas if the send window has capacity for at least one of the proxies
// that are concerned, and reports whether it has. The others are notified as capacity becomes free.
func (b *Balancer) setWithdrawnInParts(replicas []*replica, withdrawn bool, limits budget) bool {
	if !b.window.reserveParts(b.now, b.withdrawalParts(replicas, withdrawn), limits) {
		return false
	}
	for _, r := range replicas {
		b.publishWithdrawn(r, withdrawn)
	}
	return true
}

// readmitInSafeMode readmits the replicas that no longer need to be withdrawn. This cannot wait for the end of safe
// mode: a proxy that is bound early may have no other entries, and no proxy can report a replica that it may not pick.
// An unbound proxy gets the readmission with its next message, at the latest with its bind: it may have no entry of a
// replica that was not available before.
func (b *Balancer) readmitInSafeMode() {
	if !b.config.PartialDelivery || !b.safeMode.active() {
		return
	}
	readmitted := b.readmittable()
	for _, part := range b.withdrawalParts(readmitted, false) {
		switch {
		case part.proxy.state == unbound:
			b.window.deferPart(b.now, part, weightBudget)
		case b.window.mayTake(b.now, part.proxy, part.entries, withdrawalBudget):
			b.window.take(part.proxy, part.entries)
		default:
			b.window.deferPart(b.now, part, withdrawalBudget)
		}
	}
	for _, r := range readmitted {
		b.publishWithdrawn(r, false)
	}
}

// withdrawalParts returns the proxies that are concerned by the withdrawal or readmission of some replicas, in the
// order in which they connected, each with the number of replicas that concern it. A proxy is concerned by a replica if
// it may hold an entry of the replica and has not been notified: if it uses a table with the replica, or is unbound. A
// repeated withdrawal concerns only the unbound proxies that connected after it was sent.
func (b *Balancer) withdrawalParts(replicas []*replica, withdrawn bool) (parts []messagePart) {
	firstCount := 0
	var repeatedAt []model.Microseconds // when the repeated withdrawals were sent, in ascending order
	entries := map[*proxy]int{}
	for _, r := range replicas {
		if withdrawn && r.withdrawn {
			repeatedAt = append(repeatedAt, r.withdrawnAt)
			continue
		}
		firstCount++
		for _, p := range b.usersOf(r) {
			entries[p]++
		}
	}
	slices.Sort(repeatedAt)
	for _, p := range b.proxies {
		count := entries[p]
		if p.state == unbound {
			missedCount := sort.Search(len(repeatedAt), func(i int) bool { return repeatedAt[i] > p.connectedAt })
			count = firstCount + missedCount
		}
		if count > 0 {
			parts = append(parts, messagePart{p, count})
		}
	}
	return parts
}

// partsAllowed is messagesAllowed with partial delivery.
func (b *Balancer) partsAllowed(due *dueWithdrawals) bool {
	replicas := due.first
	if b.timerFired {
		replicas = slices.Concat(due.first, due.repeated)
	}
	return !slices.ContainsFunc(b.withdrawalParts(replicas, true), func(part messagePart) bool {
		return !b.window.pacing.allowProxy(b.now, part.proxy, withdrawalBudget.keepsMessage)
	})
}

// hastenDeferredWithdrawals makes what is deferred urgent for the proxies that are concerned by a replica that was
// withdrawn temporarily and is now draining or not listed: its withdrawal may be among the deferred parts.
func (b *Balancer) hastenDeferredWithdrawals() {
	if !b.config.PartialDelivery {
		return
	}
	for _, r := range b.replicas {
		if !r.withdrawn || r.withdrawnUrgently || r.listedReady() {
			continue
		}
		r.withdrawnUrgently = true
		for _, part := range b.withdrawalParts([]*replica{r}, false) {
			part.proxy.deferred.limits = withdrawalBudget
		}
	}
}

package balancer

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"peppervale/internal/model"
)

// messagePart is what an update adds to the message to one proxy.
type messagePart struct {
	proxy   *proxy
	entries int
}

// deferredParts are the parts of updates that a proxy has not been sent, as they did not fit the send window. Every
// message to the proxy contains them, see model.Publisher.RequestAck.
type deferredParts struct {
	entries int                // upper limit of what they add to a message; 0: nothing is deferred
	since   model.Microseconds // when the oldest part was deferred
	limits  budget             // of the most urgent part
}

// waitingSince is when the oldest part was deferred, or the far future if nothing is deferred.
func (d *deferredParts) waitingSince() model.Microseconds {
	if d.entries == 0 {
		return math.MaxInt64
	}
	return d.since
}

// reserveParts reserves the parts of an update that may be sent now, and defers the other parts. It reports false, and
// defers nothing, if no part may be sent now. A proxy that gets the message being written already cannot be deferred,
// as the message contains all its changes: the update is refused if there is no capacity for all such proxies.
func (w *sendWindow) reserveParts(now model.Microseconds, parts []messagePart, limits budget) bool {
	if len(parts) == 0 {
		return true
	}
	if !w.mayExtendMessages(parts, limits) {
		w.queueRefusals++
		return false
	}
	var deferred []messagePart
	for _, part := range inSendingOrder(parts) {
		if part.proxy.reserved > 0 || w.mayTake(now, part.proxy, part.entries, limits) {
			w.take(part.proxy, part.entries)
		} else {
			deferred = append(deferred, part)
		}
	}
	if len(deferred) == len(parts) {
		w.countRefusal(now, parts[0].proxy, limits)
		return false
	}
	for _, part := range deferred {
		w.deferPart(now, part, limits)
	}
	return true
}

// mayExtendMessages reports whether the send window has capacity for those parts of an update whose proxies get the
// message being written already.
func (w *sendWindow) mayExtendMessages(parts []messagePart, limits budget) bool {
	extended := 0
	for _, part := range parts {
		if part.proxy.reserved > 0 {
			extended += part.entries
		}
	}
	return extended == 0 || !w.exceedsQueue(w.countedEntries(limits)+extended, limits.queueShare)
}

// inSendingOrder returns the parts with those first whose proxies wait for deferred parts, the longest waiting ones at
// the front, and with those of proxies that are behind last.
func inSendingOrder(parts []messagePart) []messagePart {
	isSpecial := func(part messagePart) bool { return part.proxy.deferred.entries > 0 || part.proxy.isBehind() }
	if !slices.ContainsFunc(parts, isSpecial) {
		return parts
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(x, y messagePart) int { return compareSendingOrder(x.proxy, y.proxy) })
	return sorted
}

// compareSendingOrder compares two proxies as slices.SortFunc requires.
func compareSendingOrder(p, q *proxy) int {
	switch {
	case p.isBehind() && !q.isBehind():
		return 1
	case q.isBehind() && !p.isBehind():
		return -1
	}
	return cmp.Compare(p.deferred.waitingSince(), q.deferred.waitingSince())
}

// mayTake reports whether further entries may be sent to a proxy now.
func (w *sendWindow) mayTake(now model.Microseconds, p *proxy, entries int, limits budget) bool {
	total := w.countedEntries(limits) + w.cost(p, entries)
	return w.pacing.allowProxy(now, p, limits.keepsMessage) && !w.exceedsQueue(total, limits.queueShare)
}

// countRefusal counts an update that was refused, by the limit that its first recipient met.
func (w *sendWindow) countRefusal(now model.Microseconds, p *proxy, limits budget) {
	if w.pacing.allowProxy(now, p, limits.keepsMessage) {
		w.queueRefusals++
	} else {
		w.messageRefusals++
	}
}

// deferPart defers a part of an update until the send window has capacity for it. What is deferred for a proxy is
// charged up to the largest message that fits into the routine share of an empty queue, so that it is always sent.
func (w *sendWindow) deferPart(now model.Microseconds, part messagePart, limits budget) {
	deferred := &part.proxy.deferred
	if deferred.entries == 0 {
		*deferred = deferredParts{since: now, limits: limits}
	}
	if limits.queueShare > deferred.limits.queueShare {
		deferred.limits = limits
	}
	largest := max(1, int(routineShare*float64(w.queueLimit))-w.messageCost)
	deferred.entries = min(deferred.entries+part.entries, largest)
}

// sendDeferred sends what was deferred for proxies to those for which the send window has capacity, the longest waiting
// ones first, and those that are behind last. Deferred parts that are not urgent are left out if urgentOnly is set.
func (b *Balancer) sendDeferred(urgentOnly bool) {
	var waiting []*proxy
	for _, p := range b.proxies {
		if p.deferred.entries > 0 && (p.deferred.limits.isUrgent() || !urgentOnly) {
			waiting = append(waiting, p)
		}
	}
	slices.SortStableFunc(waiting, compareSendingOrder)
	for _, p := range waiting {
		if b.window.mayTake(b.now, p, 0, p.deferred.limits) {
			b.window.take(p, 0)
		}
	}
}

// DeferredProxies returns the number of proxies that wait for a part of an update. It takes time linear in the number
// of proxies.
func (b *Balancer) DeferredProxies() (count int) {
	for _, p := range b.proxies {
		if p.deferred.entries > 0 {
			count++
		}
	}
	return count
}

// urgentPartsWait reports whether urgent parts of updates wait for capacity in the queue.
func (b *Balancer) urgentPartsWait() bool {
	return slices.ContainsFunc(b.proxies, func(p *proxy) bool {
		waits := p.deferred.entries > 0 && p.deferred.limits.isUrgent()
		return waits && b.window.pacing.allowProxy(b.now, p, false)
	})
}

// reserveUsers reserves entries for the users of a table. With partial delivery the users that do not fit are deferred,
// and a routine update waits until the earlier updates of the table have been sent to all its users.
func (b *Balancer) reserveUsers(t *table, entries int, limits budget) bool {
	if !b.config.PartialDelivery {
		return b.window.reserve(b.now, t.users, entries, limits)
	}
	isBehind := func(p *proxy) bool { return p.deferred.entries > 0 }
	if limits == weightBudget && slices.ContainsFunc(t.users, isBehind) {
		return false
	}
	return b.window.reserveParts(b.now, sameParts(t.users, entries), limits)
}

// reserveAll reserves entries for all proxies. With partial delivery the proxies that do not fit are deferred.
func (b *Balancer) reserveAll(entries int, limits budget) bool {
	if !b.config.PartialDelivery {
		return b.window.reserve(b.now, b.proxies, entries, limits)
	}
	return b.window.reserveParts(b.now, sameParts(b.proxies, entries), limits)
}

// sameParts returns parts with the same number of entries for each of the given proxies.
func sameParts(proxies []*proxy, entries int) []messagePart {
	parts := make([]messagePart, 0, len(proxies))
	for _, p := range proxies {
		parts = append(parts, messagePart{p, entries})
	}
	return parts
}

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

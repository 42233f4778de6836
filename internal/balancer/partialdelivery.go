package balancer

import (
	"cmp"
	"math"
	"slices"

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

package balancer

import (
	"cmp"
	"slices"
)

const (
	// surgeRiskLevel limits the failure risk of the median entry of a table. Above it a surge is likely: the proxies of
	// the table turn all at once to a replica that warms up.
	surgeRiskLevel = 0.7
	// warmUpAllowance lowers surgeRiskLevel for a replica that has just started, as a smaller surge overloads it. Levels
	// of 0.58 or 0.45 fix no further scenario, and lose many more requests during releases with errors.
	warmUpAllowance = 0.06
	// newReplicasLimit: if at least this share of the replicas in use is new and warming up, the fleet needs their
	// capacity, and they are not withdrawn for protection.
	newReplicasLimit = 0.5
)

// mustWithdraw reports whether a replica is to be withdrawn from all proxies: it is not in use, or it warms up and
// needs protection.
func (b *Balancer) mustWithdraw(r *replica) bool {
	return !r.inUse() || b.isWarmingUp(r) && b.needsProtection(r)
}

// needsProtection reports whether a replica that warms up is to be withdrawn: in safe mode, as standing tables have
// the replica at full weight, and when proxies that avoid failing replicas may turn to the replica all at once.
func (b *Balancer) needsProtection(r *replica) bool {
	if b.safeMode.active() {
		return true
	}
	return b.config.ProxiesAvoidFailing && b.surgeLikely(r) && b.load.warmingFraction < newReplicasLimit
}

// surgeLikely reports whether proxies may turn from other replicas to this replica all at once: the fleet is
// overloaded, a table with this replica is nearly overloaded, or such a table has a single proxy. The surge of a single
// proxy arrives before any load report shows the surge.
func (b *Balancer) surgeLikely(r *replica) bool {
	if b.load.saturation > overloadSaturation {
		return true
	}
	level := surgeRiskLevel - float64(warmUpAllowance*b.remainingWarmUp(r))
	return slices.ContainsFunc(r.entries, func(e *entry) bool {
		return e.table.failureRisk > level || len(e.table.users) == 1
	})
}

// dueWithdrawals are the replicas to be withdrawn, in the order in which they may use the send window: draining and
// removed replicas come before replicas that may soon be used again.
type dueWithdrawals struct {
	first     []*replica // draining or not listed, and no withdrawal was sent
	repeated  []*replica // draining or not listed, and proxies connected after the withdrawal was sent
	temporary []*replica // ejected, or protected while warming up
}

// withdrawReplicas sends withdrawals, and sends them again for proxies that connected later. While a proxy is unbound
// each message goes to all proxies, and most of its cost is overhead. If many proxies of a failed balancer connect
// while replicas are lost too, one message for each replica fills the queue with overhead. So withdrawals are sent
// together, first withdrawals before repeated ones, and binds and weights wait until all have been sent.
func (b *Balancer) withdrawReplicas() {
	b.endEjectionsOfEmptyZones()
	b.hastenDeferredWithdrawals()
	due := b.collectWithdrawals()
	b.binder.bindsFirst = b.bindingIsCheaper(&due)
	b.binder.withdrawalsBlocked = false
	b.window.pacing.withdrawalsWait = false
	if b.binder.bindsFirst {
		return
	}
	if b.messagesAllowed(&due) {
		b.sendWithdrawals(due.first, withdrawalBudget, true)
		if b.timerFired {
			b.sendWithdrawals(due.repeated, withdrawalBudget, true)
		}
	} else {
		b.window.pacing.withdrawalsWait = true
		b.window.messageRefusals++
	}
	b.sendWithdrawals(due.temporary, promptBudget, false)
	b.binder.withdrawalsBlocked = b.binder.withdrawalsBlocked || b.urgentPartsWait()
}

// updateWithdrawalsWait ends the wait for messages if the waiting withdrawals are sent in this flush. Binds come before
// them in a flush, and may use the same messages.
func (b *Balancer) updateWithdrawalsWait() {
	if !b.window.pacing.withdrawalsWait {
		return
	}
	b.window.pacing.withdrawalsWait = false
	due := b.collectWithdrawals()
	b.window.pacing.withdrawalsWait = !b.messagesAllowed(&due)
}

// messagesAllowed reports whether the message limit allows a message to every proxy that the withdrawals of draining or
// unlisted replicas concern. All wait together: one that is sent earlier would make its recipients wait again for the
// others.
func (b *Balancer) messagesAllowed(due *dueWithdrawals) bool {
	if b.config.PartialDelivery {
		return b.partsAllowed(due)
	}
	isDelayed := func(r *replica) bool {
		return !b.window.pacing.allow(b.now, b.withdrawalRecipients(r), withdrawalBudget.keepsMessage)
	}
	repeatedIsDelayed := b.timerFired && slices.ContainsFunc(due.repeated, isDelayed)
	return !repeatedIsDelayed && !slices.ContainsFunc(due.first, isDelayed)
}

// withdrawalRecipients returns the proxies that get a message about the withdrawal or readmission of a replica without
// partial delivery: while a proxy is unbound, all proxies.
func (b *Balancer) withdrawalRecipients(r *replica) []*proxy {
	if b.binder.unbound > 0 {
		return b.proxies
	}
	return b.usersOf(r)
}

// endEjectionsOfEmptyZones ends ejections if no replica of the fleet is left in use or, with zone-local operations,
// no replica of the zone.
func (b *Balancer) endEjectionsOfEmptyZones() {
	noneLeft := make([]bool, b.config.Zones)
	for zone := range noneLeft {
		noneLeft[zone] = !slices.ContainsFunc(b.replicas, func(r *replica) bool {
			serves := b.config.ZoneLocalOperations == 0 || r.zone == zone
			return serves && !b.mustWithdraw(r)
		})
	}
	for _, r := range b.replicas {
		if noneLeft[r.zone] {
			b.applyReplicaEvent(r, ejectionElapsed, "")
		}
	}
}

func (b *Balancer) collectWithdrawals() (due dueWithdrawals) {
	for _, r := range b.replicas {
		if b.mustWithdraw(r) {
			b.collectWithdrawal(&due, r)
		}
	}
	return due
}

// collectWithdrawal adds a replica to the due withdrawals if its withdrawal has not been sent, or proxies may have
// missed the withdrawal. A repeated temporary withdrawal waits for the tick, so that proxies that connect between two
// ticks are notified together.
func (b *Balancer) collectWithdrawal(due *dueWithdrawals, r *replica) {
	isRepeat := r.withdrawn && b.mayHaveMissedWithdrawal(r)
	switch {
	case r.withdrawn && !isRepeat:
	case r.listedReady():
		if b.timerFired || !isRepeat {
			due.temporary = append(due.temporary, r)
		}
	case isRepeat:
		due.repeated = append(due.repeated, r)
	default:
		due.first = append(due.first, r)
	}
}

// mayHaveMissedWithdrawal reports whether an unbound proxy may have connected after a replica's withdrawal was sent.
func (b *Balancer) mayHaveMissedWithdrawal(r *replica) bool {
	return b.binder.unbound > 0 && r.withdrawnAt <= b.binder.lastConnectedAt
}

// bindingIsCheaper reports whether binds are sent before withdrawals. A bind contains all withdrawals, and costs less
// if few proxies are unbound or many replicas are withdrawn. Proxies that are bound already are notified by
// removeUnavailableEntries. Without partial delivery, binds also come first if a withdrawal for all proxies exceeds the
// queue limit. It reports false if the message limit does not allow a bind of an unbound proxy now.
func (b *Balancer) bindingIsCheaper(due *dueWithdrawals) bool {
	messageCost := b.window.messageCost
	messageCount := (len(due.first) + messageCost - 1) / messageCost // full messages for the first withdrawals
	repeatedCount := len(due.repeated)
	if b.safeMode.active() || messageCount+repeatedCount == 0 || b.binder.unbound == 0 {
		return false
	}
	withdrawalsFit := b.config.PartialDelivery || !b.window.isTooLarge(len(b.proxies), 1, urgentShare)
	bindCost := 0
	for _, p := range b.proxies {
		if p.state != unbound {
			continue
		}
		if !b.window.pacing.allow(b.now, []*proxy{p}, urgentBindBudget.keepsMessage) {
			return false
		}
		bindCost += messageCost + b.bindCost(p.zone, true)
	}
	withdrawalCost := len(b.proxies) * (messageCost*max(messageCount, 1) + len(due.first) + repeatedCount)
	return bindCost < withdrawalCost || !withdrawalsFit
}

// sendWithdrawals sends as many withdrawals as the send window has capacity for. With partial delivery each proxy gets
// all withdrawals that concern it in one message, once it fits. Otherwise, while a proxy is unbound, a message contains
// up to as many withdrawals as its overhead costs, so that overhead is half of a full message, but no more than fit an
// empty queue. If blocking is set and a message does not fit, no further withdrawals are sent: smaller messages would
// repeatedly use up the capacity that this message waits for.
func (b *Balancer) sendWithdrawals(replicas []*replica, limits budget, blocking bool) {
	if b.config.PartialDelivery {
		if !b.setWithdrawnInParts(replicas, true, limits) && blocking {
			b.binder.withdrawalsBlocked = true
		}
		return
	}
	perMessage := 1
	if b.binder.unbound > 0 {
		perMessage = min(b.window.messageCost, b.window.largestMessage(len(b.proxies), withdrawalBudget))
	}
	for chunk := range slices.Chunk(replicas, perMessage) {
		sent := b.setWithdrawn(chunk, true, limits)
		if !sent && blocking && b.binder.unbound > 0 {
			b.binder.withdrawalsBlocked = true
		}
		if b.binder.withdrawalsBlocked {
			break
		}
	}
}

// setWithdrawn withdraws or readmits replicas if the send window has capacity for all recipients, and reports whether
// it has capacity. Every proxy with reserved entries must acknowledge, or the window fills up: while a proxy is
// unbound, entries are reserved for all proxies, and all proxies are asked to acknowledge.
func (b *Balancer) setWithdrawn(replicas []*replica, withdrawn bool, limits budget) bool {
	recipients := b.withdrawalRecipients(replicas[0]) // unless a proxy is unbound, each call has one replica
	if !b.window.reserve(b.now, recipients, len(replicas), limits) {
		return false
	}
	for _, r := range replicas {
		b.publishWithdrawn(r, withdrawn)
		if b.binder.unbound > 0 {
			b.window.ackFromAll = true
		}
	}
	return true
}

func (b *Balancer) publishWithdrawn(r *replica, withdrawn bool) {
	b.publisher.SetWithdrawn(r.id, withdrawn)
	r.withdrawn = withdrawn
	r.withdrawnAt = b.now
	r.withdrawnUrgently = withdrawn && !r.listedReady()
}

// usersOf returns the proxies that use a table with a sent entry of a replica. A proxy with two tables is returned
// once.
func (b *Balancer) usersOf(r *replica) (users []*proxy) {
	for _, e := range r.entries {
		if e.weight > 0 {
			users = append(users, e.table.users...)
		}
	}
	if b.subsets.hasZoneLocalPools() {
		slices.SortFunc(users, func(p, q *proxy) int { return cmp.Compare(p.id, q.id) })
		users = slices.Compact(users)
	}
	return users
}

// removeUnavailableEntries removes entries of replicas that are not listed as ready from tables while withdrawals are
// sent with binds. Bound proxies learn of the withdrawals this way, and later binds have fewer entries to send. Binds
// come first, as unbound proxies have waited longer.
func (b *Balancer) removeUnavailableEntries() {
	if !b.binder.bindsFirst {
		return
	}
	for _, t := range b.subsets.tables {
		sent := b.sendWeights(t, withdrawalBudget, func(e *entry) bool {
			return e.weight > 0 && !e.replica.listedReady()
		})
		if !sent {
			b.window.pacing.withdrawalsWait = true
		}
	}
}

// readmitReplicas readmits the withdrawn replicas that no longer need to be withdrawn.
func (b *Balancer) readmitReplicas() {
	readmitted := b.readmittable()
	if b.config.PartialDelivery {
		b.setWithdrawnInParts(readmitted, false, weightBudget)
		return
	}
	for _, r := range readmitted {
		b.setWithdrawn([]*replica{r}, false, weightBudget)
	}
}

// readmittable returns the withdrawn replicas that no longer need to be withdrawn.
func (b *Balancer) readmittable() (replicas []*replica) {
	for _, r := range b.replicas {
		if r.withdrawn && !b.mustWithdraw(r) {
			replicas = append(replicas, r)
		}
	}
	return replicas
}

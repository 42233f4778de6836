package balancer

import (
	"cmp"
	"slices"
)

const (
	// surgeRiskLevel is the failure risk of a table's median entry above which proxies may turn to a replica that warms
	// up, all at once.
	surgeRiskLevel = 0.7
	// warmUpAllowance lowers that level for a replica just started, as a smaller surge overloads it. Lower levels (0.58
	// and 0.45 were tried) fixed no further scenario, and lost many more requests in releases amid errors.
	warmUpAllowance = 0.06
	// newReplicasLimit: where half of the fleet is new and warming up, its capacity is needed at once.
	newReplicasLimit = 0.5
)

// mustWithdraw reports whether a replica is to be withdrawn everywhere: one that is not in use, or one that warms up
// and needs protection.
func (b *Balancer) mustWithdraw(r *replica) bool {
	return !r.inUse() || b.isWarmingUp(r) && b.needsProtection(r)
}

// needsProtection reports whether a replica that warms up is to be withdrawn: in safe mode, as standing tables have it
// at full weight, and where proxies that avoid what fails may turn to it all at once.
func (b *Balancer) needsProtection(r *replica) bool {
	if b.safeMode.active() {
		return true
	}
	return b.config.ProxiesAvoidFailing && b.surgeLikely(r) && b.load.warmingFraction < newReplicasLimit
}

// surgeLikely reports whether proxies may turn to a replica from others all at once: the fleet is overloaded, one of
// its tables nearly is, or a table has a single user, whose surge comes before any load report of it.
func (b *Balancer) surgeLikely(r *replica) bool {
	if b.load.saturation > overloadSaturation {
		return true
	}
	level := surgeRiskLevel - warmUpAllowance*b.remainingWarmUp(r)
	return slices.ContainsFunc(r.entries, func(e *entry) bool {
		return e.table.failureRisk > level || len(e.table.users) == 1
	})
}

// dueWithdrawals are replicas to be withdrawn, in the order in which they may use the send window: replicas that
// drain come before those that may return soon.
type dueWithdrawals struct {
	first     []*replica // draining or gone, and no proxy was notified
	repeated  []*replica // the same, but proxies that connected later were not notified
	temporary []*replica // ejected, or protected while warming up
}

// withdrawReplicas sends withdrawals, again for proxies that connected later. While a proxy is unbound each message
// goes to all, and most of its cost is overhead: one message a replica would fill the queue with overhead when many
// proxies connect from a lost balancer while replicas are lost too. So pending withdrawals are sent together, first
// those that no proxy was notified of, and binds and weights wait until they have been sent.
func (b *Balancer) withdrawReplicas() {
	b.endEjectionsOfEmptyZones()
	due := b.collectWithdrawals()
	b.binder.bindsFirst = b.bindingIsCheaper(&due)
	b.binder.withdrawalsBlocked = false
	if b.binder.bindsFirst {
		return
	}
	b.sendWithdrawals(due.first, withdrawalBudget, true)
	if b.ticked {
		b.sendWithdrawals(due.repeated, withdrawalBudget, true)
	}
	b.sendWithdrawals(due.temporary, promptBudget, false)
}

// endEjectionsOfEmptyZones ends ejections where no replica is left in use: in the fleet, or in a zone if operations
// stay in it.
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
			b.changeReplica(r, ejectionElapsed, "")
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

// collectWithdrawal adds a replica to the withdrawals that are due, if it is to be withdrawn for the first time or
// again. A repeated temporary withdrawal waits for the tick, so that proxies that connect at one time are notified
// together.
func (b *Balancer) collectWithdrawal(due *dueWithdrawals, r *replica) {
	repeated := r.withdrawn && b.mayHaveMissedWithdrawal(r)
	switch {
	case r.withdrawn && !repeated:
	case r.listedReady():
		if b.ticked || !repeated {
			due.temporary = append(due.temporary, r)
		}
	case repeated:
		due.repeated = append(due.repeated, r)
	default:
		due.first = append(due.first, r)
	}
}

// mayHaveMissedWithdrawal reports whether an unbound proxy may have connected after a replica's withdrawal was sent.
func (b *Balancer) mayHaveMissedWithdrawal(r *replica) bool {
	return b.binder.unbound > 0 && r.withdrawnAt <= b.binder.lastConnectedAt
}

// bindingIsCheaper reports whether withdrawals wait for binds: a bind contains all withdrawals too, and costs less
// where few proxies are unbound or many replicas are withdrawn. Meanwhile removeUnavailableEntries covers the bound
// proxies. It reports false while an unbound proxy may not be sent a message.
func (b *Balancer) bindingIsCheaper(due *dueWithdrawals) bool {
	messageCost := b.window.messageCost
	messages := (len(due.first) + messageCost - 1) / messageCost // of first withdrawals, each full
	repeated := len(due.repeated)
	if b.safeMode.active() || messages+repeated == 0 || b.binder.unbound == 0 {
		return false
	}
	bindCost := 0
	for _, p := range b.proxies {
		if p.state != unbound {
			continue
		}
		if b.window.messagesExhausted(p, urgentBindBudget.spareMessages) {
			return false
		}
		bindCost += messageCost + b.bindCost(p.zone, true)
	}
	withdrawalCost := len(b.proxies) * (messageCost*max(messages, 1) + len(due.first) + repeated)
	return bindCost < withdrawalCost
}

// sendWithdrawals sends as many withdrawals as the send window has capacity for. While a proxy is unbound, a message
// contains as many as its overhead costs, so that the overhead is half of it at most. Once a blocking one does not fit,
// nothing more is sent: smaller messages would take the capacity that this one waits for, over and over.
func (b *Balancer) sendWithdrawals(replicas []*replica, limits budget, blocking bool) {
	perMessage := 1
	if b.binder.unbound > 0 {
		perMessage = b.window.messageCost
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

// setWithdrawn withdraws replicas, or readmits them, if that fits the send window of all proxies concerned, and reports
// whether it does. What is charged must be acknowledged, or the window fills up: while a proxy is unbound, all proxies
// are charged and acknowledge.
func (b *Balancer) setWithdrawn(replicas []*replica, withdrawn bool, limits budget) bool {
	recipients := b.proxies
	if b.binder.unbound == 0 { // then withdrawals are sent one by one
		recipients = b.usersOf(replicas[0])
	}
	if !b.window.reserve(b.now, recipients, len(replicas), limits) {
		return false
	}
	for _, r := range replicas {
		b.publisher.SetWithdrawn(r.id, withdrawn)
		r.withdrawn = withdrawn
		r.withdrawnAt = b.now
		if b.binder.unbound > 0 {
			b.window.ackFromAll = true
		}
	}
	return true
}

// usersOf returns the proxies on tables with a sent entry of a replica, each once though it may have two tables.
func (b *Balancer) usersOf(r *replica) (users []*proxy) {
	for _, e := range r.entries {
		if e.weight > 0 {
			users = append(users, e.table.users...)
		}
	}
	if b.subsets.separate() {
		slices.SortFunc(users, func(p, q *proxy) int { return cmp.Compare(p.id, q.id) })
		users = slices.Compact(users)
	}
	return users
}

// removeUnavailableEntries takes entries that proxies must not pick out of the tables while binds contain the
// withdrawals: so bound proxies are notified, and a bind has less to contain. Binds come first, as unbound proxies have
// waited longer.
func (b *Balancer) removeUnavailableEntries() {
	if !b.binder.bindsFirst {
		return
	}
	for _, t := range b.subsets.tables {
		b.sendWeights(t, withdrawalBudget, func(e *entry) bool { return e.weight > 0 && !e.replica.listedReady() })
	}
}

// readmitReplicas readmits the replicas that need not be withdrawn any more.
func (b *Balancer) readmitReplicas() {
	for _, r := range b.replicas {
		if r.withdrawn && !b.mustWithdraw(r) {
			b.setWithdrawn([]*replica{r}, false, weightBudget)
		}
	}
}

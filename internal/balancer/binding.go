package balancer

import (
	"cmp"
	"slices"

	"peppervale/internal/model"
)

// proxyState is a state of a proxy.
type proxyState uint8

const (
	unbound      proxyState = 1 << iota // uses a standing table, which this balancer did not make
	bound                               // uses tables of this balancer
	disconnected                        // its stream ended
)

// proxyEvent is an event of a proxy's state machine.
type proxyEvent uint8

const (
	bindDue             proxyEvent = 1 << iota // the proxy's turn in a round of binds
	emptyTableSuspected                        // the proxy's standing table may be empty
	streamEnded
)

var proxyTransitions = []transition[proxyState, proxyEvent, *proxy]{
	{unbound, bindDue | emptyTableSuspected, bound, (*Balancer).bind},
	{unbound | bound, streamEnded, disconnected, (*Balancer).removeProxy},
}

// proxy is the state of a connected proxy.
type proxy struct {
	id           model.ProxyID
	zone         int
	expectedRate float64 // requests a second
	state        proxyState
	tables       []*table // none while unbound; a second one if zone-local operations have their own tables

	connectedAt model.Microseconds
	reserved    int // entries reserved in the send window for the message being written; 0: the proxy does not get it
	deferred    deferredParts
	unacked     []sentMessage // the oldest first
	overtaken   int           // of these, how many have left the channel, see releaseOvertaken
	// acknowledgedAt is when it last acknowledged a message; 0: never.
	acknowledgedAt model.Microseconds
	// messageDueAt is when the next message is due if messages are one interval of the pacing apart.
	messageDueAt model.Microseconds
}

const (
	// bindRoundTicks is the number of ticks in which a round binds all proxies. A round takes about one report period.
	bindRoundTicks = ticksPerReport
	// minZoneTableReplicas is the lowest number of replicas of a zone with which all entries of the zone's standing tables
	// are replicas of that zone.
	minZoneTableReplicas = 3
	// bindOverhead is the cost of a bind, in entries, in addition to the entries of its table.
	bindOverhead = 2
)

// binder decides which proxy uses which table.
type binder struct {
	unbound         int // number of unbound proxies
	lastConnectedAt model.Microseconds
	// bindsFirst: withdrawals that are due are not sent on their own, as binds are sent first and contain them.
	bindsFirst bool
	// withdrawalsBlocked: withdrawals wait for capacity in the send window, so routine binds and weights are delayed.
	withdrawalsBlocked bool

	// Cached costs of a bind by zone, in entries, without and with bindsFirst; 0: not computed.
	costs           []int
	costsBindsFirst []int
}

func newBinder(zones int) binder {
	return binder{costs: make([]int, zones), costsBindsFirst: make([]int, zones)}
}

func (bd *binder) clearCosts() {
	clear(bd.costs)
	clear(bd.costsBindsFirst)
}

// removeProxy removes a proxy whose stream ended, and releases the entries that it has not acknowledged.
func (b *Balancer) removeProxy(removed *proxy) {
	b.window.release(removed, len(removed.unacked))
	delete(b.proxiesByID, removed.id)
	isRemoved := func(p *proxy) bool { return p == removed }
	b.proxies = slices.DeleteFunc(b.proxies, isRemoved)
	for _, t := range removed.tables {
		t.users = slices.DeleteFunc(t.users, isRemoved)
		t.expectedRate -= removed.expectedRate
	}
}

// bindProxies binds a fraction of the proxies at each tick after safe mode. In safe mode it binds only proxies whose
// standing table may be empty.
func (b *Balancer) bindProxies() {
	bindsLeft := 1 + len(b.proxies)/bindRoundTicks
	urgentByZone := b.urgentZones()
	b.binder.unbound = 0
	for _, p := range b.proxies {
		if p.state != unbound {
			continue
		}
		cost := b.bindCost(p.zone, b.binder.bindsFirst)
		switch {
		case urgentByZone[p.zone] && b.window.reserveBind(b.now, p, cost, withdrawalBudget):
			applyEvent(b, proxyTransitions, &p.state, emptyTableSuspected, p)
		case b.mayBindRoutinely(bindsLeft) && b.window.reserveBind(b.now, p, cost, routineBindBudget),
			b.binder.bindsFirst && b.window.reserveBind(b.now, p, cost, urgentBindBudget):
			bindsLeft--
			applyEvent(b, proxyTransitions, &p.state, bindDue, p)
		default:
			b.binder.unbound++
		}
	}
}

// mayBindRoutinely reports whether a round of binds may bind one more proxy; bindsLeft is the number of binds left
// for this tick.
func (b *Balancer) mayBindRoutinely(bindsLeft int) bool {
	return !b.safeMode.active() && b.timerFired && !b.binder.withdrawalsBlocked && bindsLeft > 0
}

// urgentZones reports for each zone whether the proxies of the zone must be bound before safe mode ends.
func (b *Balancer) urgentZones() []bool {
	urgentByZone := make([]bool, b.config.Zones)
	for zone := range urgentByZone {
		urgentByZone[zone] = b.safeMode.active() && b.mayHaveEmptyTable(zone)
	}
	return urgentByZone
}

// mayHaveEmptyTable reports whether proxies of a zone that this balancer has not bound may have nothing to pick, as
// withdrawals may have emptied a standing table, or a table of the former incarnation. A standing table has at most
// StandingTableSize entries; all of them are replicas of the zone if the zone has at least minZoneTableReplicas
// replicas. Proxies keep the withdrawals of the former incarnation, and have no entry of what was unavailable to it, so
// such replicas count although they may be ready now; not without partial delivery, where readmissions wait for the end
// of safe mode, so that a bind would not help.
func (b *Balancer) mayHaveEmptyTable(zone int) bool {
	candidate := func(r *replica) bool { return r.zone == zone }
	if b.countReplicas(candidate) < minZoneTableReplicas {
		candidate = func(*replica) bool { return true }
	}
	unusable := b.countReplicas(func(r *replica) bool {
		return candidate(r) && (b.mustWithdraw(r) || r.unavailableBefore && b.config.PartialDelivery)
	})
	replacementLeft := b.countReplicas(b.mustWithdraw) < len(b.replicas)
	return unusable > 0 && replacementLeft &&
		unusable >= min(b.config.StandingTableSize, b.countReplicas(candidate))
}

// bindCost is the highest cost of a bind in a zone, in entries. It includes bindOverhead for each table of the bind,
// and excludes the overhead of the message.
func (b *Balancer) bindCost(zone int, bindsFirst bool) int {
	cached := &b.binder.costs[zone]
	if bindsFirst {
		cached = &b.binder.costsBindsFirst[zone]
	}
	if *cached > 0 {
		return *cached
	}
	cost := 0
	for pool := zone; pool < len(b.subsets.pools); pool += b.config.Zones {
		highestCost := 0
		for _, t := range b.subsets.pools[pool] {
			highestCost = max(highestCost, tableBindCost(t, bindsFirst))
		}
		if highestCost == 0 { // no table exists, or none was sent yet: assume the highest cost of the longest table
			highestCost = 2 * b.subsets.maxEntries
		}
		cost += bindOverhead + highestCost
	}
	*cached = cost
	return cost
}

// tableBindCost is the cost of sending a table: one for each entry in the table as sent, and one more if the
// withdrawal or readmission of the entry's replica is sent too. With bindsFirst the replica's state decides whether it
// is; without bindsFirst one more is assumed for every entry.
func tableBindCost(t *table, bindsFirst bool) (cost int) {
	for _, e := range t.entries {
		if e.weight <= 0 {
			continue
		}
		cost++
		if !bindsFirst || e.replica.maybeWithdrawnByOthers || e.replica.withdrawn {
			cost++
		}
	}
	return cost
}

// bind binds a proxy to a table of its zone and, if zone-local operations have their own tables, to a second table for
// zone-local operations.
func (b *Balancer) bind(p *proxy) {
	if !b.subsets.hasZoneLocalPools() {
		const everyOperation = 0
		b.bindToPool(p, p.zone, everyOperation)
		return
	}
	crossZoneOperations := allOperations(b.config) &^ b.config.ZoneLocalOperations
	b.bindToPool(p, p.zone, crossZoneOperations)
	b.bindToPool(p, b.subsets.zoneLocalPool(p.zone), b.config.ZoneLocalOperations)
}

// bindToPool binds a proxy to the table of a pool that has the lowest expected rate for each open entry. It creates
// the pool's tables if there are none.
func (b *Balancer) bindToPool(p *proxy, pool int, operations uint16) {
	if b.subsets.pools[pool] == nil {
		b.createTables(pool)
	}
	t := slices.MinFunc(b.subsets.pools[pool], func(x, y *table) int {
		return cmp.Compare(x.ratePerEntryIfBound(p), y.ratePerEntryIfBound(p))
	})
	p.tables = append(p.tables, t)
	t.users = append(t.users, p)
	t.expectedRate += p.expectedRate
	b.publisher.BindProxy(p.id, t.id, operations, b.replicasToReadmit(t))
}

// replicasToReadmit returns the replicas in a table that other balancers may have withdrawn and that this balancer has
// not withdrawn.
func (b *Balancer) replicasToReadmit(t *table) (readmitted []model.ReplicaID) {
	for _, e := range t.entries {
		if e.weight > 0 && !e.replica.withdrawn && (e.replica.maybeWithdrawnByOthers || !b.binder.bindsFirst) {
			readmitted = append(readmitted, e.replica.id)
		}
	}
	return readmitted
}

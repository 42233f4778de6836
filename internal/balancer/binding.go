package balancer

import (
	"cmp"
	"slices"

	"peppervale/internal/model"
)

// proxyState is a state of a connected proxy.
type proxyState uint8

const (
	unbound      proxyState = 1 << iota // on standing tables, which this balancer did not make
	bound                               // on tables of this balancer
	disconnected                        // gone
)

// proxyEvent is an event of a proxy's state machine.
type proxyEvent uint8

const (
	bindDue             proxyEvent = 1 << iota // its turn in a round of binds has come
	emptyTableSuspected                        // its standing table may be empty
	streamEnded
)

var proxyTransitions = []transition[proxyState, proxyEvent, *proxy]{
	{unbound, bindDue | emptyTableSuspected, bound, (*Balancer).bind},
	{unbound | bound, streamEnded, disconnected, (*Balancer).forgetProxy},
}

// proxy is what is known of a connected proxy.
type proxy struct {
	id           model.ProxyID
	zone         int
	expectedRate float64 // requests a second
	state        proxyState
	tables       []*table // one, or one more for operations that stay in its zone

	reserved     int // entries reserved in the message being written; 0: the message does not reach it
	unacked      []sentMessage
	messageTimes []model.Microseconds // of the messages that count against the limit
}

const (
	// bindRoundTicks is the ticks over which all proxies are bound, so a round of binds takes about one report period.
	bindRoundTicks = ticksPerReport
	// zoneTableReplicas is the fewest replicas with which a zone has standing tables of its own replicas only.
	zoneTableReplicas = 3
	// bindOverhead is what a bind costs beyond the entries of its table.
	bindOverhead = 2
)

// binder decides which proxy uses which table.
type binder struct {
	unbound         int // proxies
	lastConnectedAt model.Microseconds
	// bindsFirst: withdrawals that are due leave with binds, which list them.
	bindsFirst bool
	// withdrawalsBlocked: withdrawals wait for capacity in the send window, so binds and weights are put off.
	withdrawalsBlocked bool

	// Cached costs of a bind by zone, in entries, without and with bindsFirst; 0: not known.
	costs           []int
	costsBindsFirst []int
}

func newBinder(zones int) binder {
	return binder{costs: make([]int, zones), costsBindsFirst: make([]int, zones)}
}

func (bd *binder) forgetCosts() {
	clear(bd.costs)
	clear(bd.costsBindsFirst)
}

// forgetProxy removes a proxy whose stream ended. What it had not acknowledged is lost.
func (b *Balancer) forgetProxy(gone *proxy) {
	b.window.release(gone, len(gone.unacked))
	delete(b.proxiesByID, gone.id)
	isGone := func(p *proxy) bool { return p == gone }
	b.proxies = slices.DeleteFunc(b.proxies, isGone)
	for _, t := range gone.tables {
		t.users = slices.DeleteFunc(t.users, isGone)
		t.expectedRate -= gone.expectedRate
	}
}

// bindProxies binds a fraction of the proxies at each tick once safe mode is over; before that only those whose
// standing table may be empty.
func (b *Balancer) bindProxies() {
	bindsLeft := 1 + len(b.proxies)/bindRoundTicks
	urgent := b.urgentZones()
	b.binder.unbound = 0
	for _, p := range b.proxies {
		if p.state != unbound {
			continue
		}
		recipient := []*proxy{p}
		cost := b.bindCost(p.zone, b.binder.bindsFirst)
		switch {
		case urgent[p.zone] && b.window.reserve(b.now, recipient, cost, withdrawalBudget):
			apply(b, proxyTransitions, &p.state, emptyTableSuspected, p)
		case b.mayBindRoutinely(bindsLeft) && b.window.reserve(b.now, recipient, cost, routineBindBudget),
			b.binder.bindsFirst && b.window.reserve(b.now, recipient, cost, urgentBindBudget):
			bindsLeft--
			apply(b, proxyTransitions, &p.state, bindDue, p)
		default:
			b.binder.unbound++
		}
	}
}

// mayBindRoutinely reports whether a proxy may be bound in a round of binds, of which bindsLeft are left for this tick.
func (b *Balancer) mayBindRoutinely(bindsLeft int) bool {
	return !b.safeMode.active() && b.ticked && !b.binder.withdrawalsBlocked && bindsLeft > 0
}

// urgentZones reports by zone whether its proxies can't wait for the end of safe mode.
func (b *Balancer) urgentZones() []bool {
	urgent := make([]bool, b.config.Zones)
	for zone := range urgent {
		urgent[zone] = b.safeMode.active() && b.mayHaveEmptyTable(zone)
	}
	return urgent
}

// mayHaveEmptyTable reports whether withdrawals may have emptied a zone's standing tables. These have few entries, all
// of the zone if it has zoneTableReplicas.
func (b *Balancer) mayHaveEmptyTable(zone int) bool {
	candidate := func(r *replica) bool { return r.zone == zone }
	if b.countReplicas(candidate) < zoneTableReplicas {
		candidate = func(*replica) bool { return true }
	}
	withdrawn := b.countReplicas(func(r *replica) bool { return candidate(r) && b.mustWithdraw(r) })
	replacementLeft := b.countReplicas(b.mustWithdraw) < len(b.replicas)
	return withdrawn > 0 && replacementLeft &&
		withdrawn >= min(b.config.StandingTableSize, b.countReplicas(candidate))
}

// bindCost is the most that a bind in a zone costs beyond its message, in entries.
func (b *Balancer) bindCost(zone int, bindsFirst bool) int {
	known := &b.binder.costs[zone]
	if bindsFirst {
		known = &b.binder.costsBindsFirst[zone]
	}
	if *known > 0 {
		return *known
	}
	cost := 0
	for pool := zone; pool < len(b.subsets.pools); pool += b.config.Zones {
		highest := 0
		for _, t := range b.subsets.pools[pool] {
			highest = max(highest, tableBindCost(t, bindsFirst))
		}
		if highest == 0 { // no table yet, or none was sent: as much as the longest table costs at most
			highest = 2 * b.subsets.longest
		}
		cost += bindOverhead + highest
	}
	*known = cost
	return cost
}

// tableBindCost is one for each sent entry, and one more for each whose replica's withdrawal or readmission comes
// along: with bindsFirst that is known by replica, else it is assumed of all.
func tableBindCost(t *table, bindsFirst bool) (cost int) {
	for _, e := range t.entries {
		if e.weight <= 0 {
			continue
		}
		cost++
		if !bindsFirst || e.replica.withdrawnElsewhere || e.replica.withdrawn {
			cost++
		}
	}
	return cost
}

// bind puts a proxy on a table of its zone; where some operations stay in the zone, on one more for those.
func (b *Balancer) bind(p *proxy) {
	if !b.subsets.separate() {
		const everyOperation = 0
		b.bindToPool(p, p.zone, everyOperation)
		return
	}
	crossZone := allOperations(b.config) &^ b.config.ZoneLocalOperations
	b.bindToPool(p, p.zone, crossZone)
	b.bindToPool(p, b.subsets.zoneLocalPool(p.zone), b.config.ZoneLocalOperations)
}

// bindToPool binds a proxy to the table of a pool that has the least traffic for its open entries; it creates the
// pool's tables first if there are none.
func (b *Balancer) bindToPool(p *proxy, pool int, operations uint16) {
	if b.subsets.pools[pool] == nil {
		b.createTables(pool)
	}
	t := slices.MinFunc(b.subsets.pools[pool], func(x, y *table) int {
		return cmp.Compare(x.loadWith(p), y.loadWith(p))
	})
	p.tables = append(p.tables, t)
	t.users = append(t.users, p)
	t.expectedRate += p.expectedRate
	b.publisher.BindProxy(p.id, t.id, operations, b.readmittedIn(t))
}

// readmittedIn returns the replicas in a table that other balancers may have withdrawn and this one has not.
func (b *Balancer) readmittedIn(t *table) (readmitted []model.ReplicaID) {
	for _, e := range t.entries {
		if e.weight > 0 && !e.replica.withdrawn && (e.replica.withdrawnElsewhere || !b.binder.bindsFirst) {
			readmitted = append(readmitted, e.replica.id)
		}
	}
	return readmitted
}

package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// Bounds on the number of entries of a table. Each further entry costs connections, handshakes and updates.
const (
	// entryRequestInterval is the mean time between requests to an entry, in seconds, above which the entry is not worth
	// its cost.
	entryRequestInterval = 2.5
	// entryRequestIntervalAtUnitCost, divided by the cost of publishing, replaces entryRequestInterval if the
	// quotient is shorter.
	entryRequestIntervalAtUnitCost = 0.05
	// connectionDivisor: all proxies together use up to 1/connectionDivisor of the connections of the smallest replica.
	connectionDivisor = 4
	// minTableEntries is the fewest entries wanted in a table, so that a table that loses a few still has some.
	minTableEntries = 8
	// minProxiesPerReplica is the fewest proxies wanted on each replica. With fewer, the different rates of the proxies
	// would not even out.
	minProxiesPerReplica = 18
	// The number of tables of a pool is chosen so that replicas of the zone fill sameZoneNumerator/sameZoneDenominator
	// of their entries.
	sameZoneNumerator   = 2
	sameZoneDenominator = 3
)

// Scores of a replica that may get a further entry; the lowest score comes first. A replica with fewer entries in the
// pool comes before one with more, then a replica of the zone before one of another zone, then a replica with fewer
// entries in all tables.
const (
	scoreForEachEntry       = 1
	scoreCrossZone          = 1000
	scoreForEachEntryInPool = 2000
	scoreForNewEntry        = scoreForEachEntryInPool + scoreForEachEntry
)

// table is shared by some of the proxies of a zone: a subset of the replicas, with weights.
type table struct {
	id            model.TableID
	zone          int
	pool          int  // index in subsetTables.pools
	zoneLocal     bool // for operations that stay in the zone: all its replicas are of the zone
	wantedEntries int  // number of open entries wanted
	entries       []*entry
	users         []*proxy

	expectedRate      float64 // sum over its users, in requests a second
	normalizedLatency float64 // of its median open entry
	failureRisk       float64 // of its median open entry
	crossZoneFactor   float64 // weight of a replica of another zone relative to one of the zone
}

// entry is an entry of a table: a replica and its weight. It is open while its replica is in use, so that proxies may
// pick it.
type entry struct {
	replica    *replica
	table      *table
	weight     float64 // as last sent; 0: never sent, or removed
	nextWeight float64 // weight to be sent next
	sendAtOnce bool    // the weight was reduced by a slow start and is to be sent at once
}

// isNew reports whether the table as sent does not contain the entry.
func (e *entry) isNew() bool { return e.weight == 0 }

// updateStatistics sets a table's normalized latency and failure risk from its open entries.
func (t *table) updateStatistics() {
	latencies := make([]float64, 0, len(t.entries))
	risks := make([]float64, 0, len(t.entries))
	for _, e := range t.entries {
		if e.replica.inUse() {
			latencies = append(latencies, e.replica.load.normalizedLatency)
			risks = append(risks, e.replica.load.failureRisk)
		}
	}
	t.normalizedLatency = median(latencies)
	t.failureRisk = median(risks)
}

// openEntries returns the number of open entries.
func (t *table) openEntries() (n int) {
	for _, e := range t.entries {
		if e.replica.inUse() {
			n++
		}
	}
	return n
}

// hasSentOpenEntry reports whether the table as sent contains an open entry. Without one its users have nothing to
// pick.
func (t *table) hasSentOpenEntry() bool {
	return slices.ContainsFunc(t.entries, func(e *entry) bool { return e.replica.inUse() && !e.isNew() })
}

// missingEntries is the number of open entries that a table lacks; negative if the table has more than wanted.
func (t *table) missingEntries() int { return t.wantedEntries - t.openEntries() }

func (t *table) has(r *replica) bool {
	return slices.ContainsFunc(r.entries, func(e *entry) bool { return e.table == t })
}

// ratePerEntryIfBound is the expected rate for each open entry if one more proxy used the table.
func (t *table) ratePerEntryIfBound(p *proxy) float64 {
	const almostNoEntry = 0.1 // keeps the load of a table without open entries finite
	return (t.expectedRate + p.expectedRate) / (float64(t.openEntries()) + almostNoEntry)
}

// subsetTables holds all tables. The tables of a zone form a pool, at the index of the zone in pools. If only some
// operations stay in the zone, the tables for these operations form a second pool of the zone; the second pools follow
// the first pools of all zones.
type subsetTables struct {
	zones         int
	tables        []*table
	pools         [][]*table
	wantedEntries int // number of open entries wanted in a new table
	maxEntries    int // largest number of entries in a table
	nextToUpdate  int // index of the table that the next update of weights begins with
}

func newSubsetTables(config model.Config) subsetTables {
	poolCount := config.Zones
	if someOperationsStayInZone(config) {
		poolCount *= 2
	}
	return subsetTables{zones: config.Zones, pools: make([][]*table, poolCount)}
}

func someOperationsStayInZone(config model.Config) bool {
	return config.ZoneLocalOperations != 0 && config.ZoneLocalOperations != allOperations(config)
}

// allOperations is the mask with the bit of each operation.
func allOperations(config model.Config) uint16 { return 1<<len(config.Operations) - 1 }

// hasZoneLocalPools reports whether operations that stay in the zone have their own tables.
func (s *subsetTables) hasZoneLocalPools() bool { return len(s.pools) > s.zones }

func (s *subsetTables) zoneOf(pool int) int { return pool % s.zones }

// zoneLocalPool is the index of the pool of a zone for operations that stay in it. The pool exists only if
// hasZoneLocalPools returns true.
func (s *subsetTables) zoneLocalPool(zone int) int { return zone + s.zones }

// isLastPoolOfZone reports whether a pool is the second pool of its zone, or the only one. If operations stay in the
// zone, the tables of that pool are for them.
func (s *subsetTables) isLastPoolOfZone(pool int) bool { return pool >= len(s.pools)-s.zones }

// addTable adds an empty table to the end of a pool.
func (s *subsetTables) addTable(pool int, zoneLocal bool) {
	added := &table{
		id: model.TableID(len(s.tables)), zone: s.zoneOf(pool), pool: pool, zoneLocal: zoneLocal,
		wantedEntries: s.wantedEntries,
	}
	s.tables = append(s.tables, added)
	s.pools[pool] = append(s.pools[pool], added)
}

// addEntry adds an entry for a replica to a table.
func (s *subsetTables) addEntry(t *table, r *replica) {
	added := &entry{replica: r, table: t}
	t.entries = append(t.entries, added)
	r.entries = append(r.entries, added)
	s.maxEntries = max(s.maxEntries, len(t.entries))
}

// createTables creates the tables of a pool, fills them and sends their first weights.
func (b *Balancer) createTables(pool int) {
	b.subsets.wantedEntries = b.wantedTableEntries()
	zone := b.subsets.zoneOf(pool)
	wantedEntries := b.subsets.wantedEntries
	candidateCount := b.countReplicas(func(r *replica) bool { return r.zone == zone && r.listedReady() })
	tableCount := (sameZoneDenominator*candidateCount + wantedEntries - 1) / (sameZoneNumerator * wantedEntries)
	zoneLocal := b.config.ZoneLocalOperations != 0 && b.subsets.isLastPoolOfZone(pool)
	for range max(1, tableCount) {
		b.subsets.addTable(pool, zoneLocal)
	}
	b.binder.clearCosts()
	b.fillTables(pool)
	b.estimateCapacities()
	for _, t := range b.subsets.pools[pool] {
		b.sendWeights(t, firstWeightsBudget, func(*entry) bool { return true })
	}
}

// wantedTableEntries is the number of entries wanted in a table, by the expected rates of the connected proxies.
func (b *Balancer) wantedTableEntries() int {
	meanRate := 0.0
	for _, p := range b.proxies {
		meanRate += p.expectedRate / float64(len(b.proxies))
	}
	replicaCount := float64(len(b.replicas))
	proxyCount := float64(max(b.config.ProxyCount, 1))
	entriesByTraffic := meanRate *
		min(entryRequestInterval, entryRequestIntervalAtUnitCost/max(b.config.PublishCost, epsilon))
	entriesByConnections := replicaCount / connectionDivisor * float64(b.config.MinReplicaConnections) / proxyCount
	entriesByProxies := minProxiesPerReplica * replicaCount / proxyCount
	maxEntries := max(len(b.replicas), 1)
	if entriesByTraffic > 0 && entriesByConnections > 0 {
		return int(min(
			max(minTableEntries, entriesByProxies, min(entriesByTraffic, entriesByConnections)), float64(maxEntries)))
	}
	return maxEntries
}

// fillTables adds entries to the tables of a pool, each time to the table that lacks most entries, until all tables
// have enough open entries and each replica of the zone is in a table.
func (b *Balancer) fillTables(pool int) {
	if !b.needsEntries(pool) {
		return
	}
	zone := b.subsets.zoneOf(pool)
	ranks := b.rank(func(r *replica) int { return entryScore(r, pool, zone) })
	for {
		t := slices.MinFunc(b.subsets.pools[pool], func(x, y *table) int { return y.missingEntries() - x.missingEntries() })
		openEntries := t.openEntries()
		best := ranks.takeBest(func(r *replica) bool { return b.mayAddEntry(t, r, openEntries) })
		if best == nil {
			return
		}
		enoughEntries := openEntries >= t.wantedEntries
		everySameZoneReplicaPlaced := best.score >= scoreCrossZone
		if enoughEntries && everySameZoneReplicaPlaced {
			return
		}
		b.subsets.addEntry(t, best.replica)
		ranks.putBack(best, best.score+scoreForNewEntry)
	}
}

// needsEntries reports whether a table of a pool lacks open entries, or a replica of its zone has no entry in the
// pool.
func (b *Balancer) needsEntries(pool int) bool {
	tables := b.subsets.pools[pool]
	if len(tables) == 0 {
		return false
	}
	lacksEntries := func(t *table) bool { return t.openEntries() < t.wantedEntries }
	isInPool := func(e *entry) bool { return e.table.pool == pool }
	zone := b.subsets.zoneOf(pool)
	hasNoEntryInPool := func(r *replica) bool {
		return r.zone == zone && r.inUse() && !slices.ContainsFunc(r.entries, isInPool)
	}
	return slices.ContainsFunc(tables, lacksEntries) || slices.ContainsFunc(b.replicas, hasNoEntryInPool)
}

func entryScore(r *replica, pool, zone int) int {
	score := len(r.entries) * scoreForEachEntry
	for _, e := range r.entries {
		if e.table.pool == pool {
			score += scoreForEachEntryInPool
		}
	}
	if r.zone != zone {
		score += scoreCrossZone
	}
	return score
}

// mayAddEntry reports whether a replica may get an entry in a table that has openEntries open entries. Zone-local
// tables have replicas of their zone only. A table that has enough open entries gets no replica of another zone that
// warms up: proxies of a zone that is short of capacity would turn to that replica all at once.
func (b *Balancer) mayAddEntry(t *table, r *replica, openEntries int) bool {
	if !r.inUse() || t.has(r) {
		return false
	}
	sameZone := r.zone == t.zone
	crossZoneWanted := !t.zoneLocal && (openEntries < b.subsets.wantedEntries || !b.isWarmingUp(r))
	return sameZone || crossZoneWanted
}

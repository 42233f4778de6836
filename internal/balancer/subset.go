package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// Bounds on the entries of a table. Each further entry costs connections, handshakes and updates.
const (
	// entryRequestInterval is how often an entry has to get a request to be worth its cost, in seconds.
	entryRequestInterval = 2.5
	// entryRequestIntervalAtUnitCost, divided by the cost of publishing, is the same where updates are expensive.
	entryRequestIntervalAtUnitCost = 0.05
	// connectionDivisor: all proxies together take up to 1/connectionDivisor of the smallest replica's connections.
	connectionDivisor = 4
	// minTableEntries leaves a table entries when it loses a few.
	minTableEntries = 8
	// minProxiesPerReplica: with fewer proxies on each replica their different rates would not even out.
	minProxiesPerReplica = 18
	// A pool has as many tables as leave sameZoneNumerator/sameZoneDenominator of their entries in the zone.
	sameZoneNumerator   = 2
	sameZoneDenominator = 3
)

// Scores of a replica that may get a further entry: the one with the fewest entries in the pool of tables comes first,
// those of the zone before others, then the one with the fewest entries in all.
const (
	scoreEntryInAll   = 1
	scoreCrossZone    = 1000
	scoreEntryHere    = 2000
	scoreAfterAnEntry = scoreEntryHere + scoreEntryInAll
)

// table is a shared table for some of a zone's proxies: a subset of the replicas, with weights.
type table struct {
	id        model.TableID
	zone      int
	pool      int  // its place in subsetTables.pools
	zoneLocal bool // for operations that stay in the zone: all its entries are of the zone
	width     int  // open entries that it needs
	entries   []*entry
	users     []*proxy

	expectedRate      float64 // requests a second of its users
	normalizedLatency float64 // of the median entry
	failureRisk       float64 // of the median entry
	crossZoneFactor   float64 // what a replica of another zone counts for, 1 for as much as one of the zone
}

// entry is a replica's place in a table.
type entry struct {
	replica    *replica
	table      *table
	weight     float64 // as last sent; 0: not in the table as sent
	nextWeight float64 // to be sent
	cut        bool    // the weight is to be cut at once
}

// isNew reports whether the table as sent lacks an entry.
func (e *entry) isNew() bool { return e.weight == 0 }

// measure sets a table's latency and risk by its open entries.
func (t *table) measure() {
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

// openEntries counts the entries that proxies may pick.
func (t *table) openEntries() (n int) {
	for _, e := range t.entries {
		if e.replica.inUse() {
			n++
		}
	}
	return n
}

// missing is the count of open entries that a table needs beyond those it has; negative where it has more.
func (t *table) missing() int { return t.width - t.openEntries() }

func (t *table) has(r *replica) bool {
	return slices.ContainsFunc(r.entries, func(e *entry) bool { return e.table == t })
}

// loadWith is the traffic for an open entry, with a further proxy on the table.
func (t *table) loadWith(p *proxy) float64 {
	const almostNoEntry = 0.1 // keeps the load of a table without open entries finite
	return (t.expectedRate + p.expectedRate) / (float64(t.openEntries()) + almostNoEntry)
}

// subsetTables are all tables. Those of a zone form a pool, at the zone's index in pools; where some operations stay in
// the zone, the tables for them form a second pool of the zone, after the first pools of all zones.
type subsetTables struct {
	zones   int
	tables  []*table
	pools   [][]*table
	width   int // entries wanted in a table
	longest int // most entries of a table
	turn    int // place of the table whose weights are sent first the next time
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

// allOperations has the bit of each operation set.
func allOperations(config model.Config) uint16 { return 1<<len(config.Operations) - 1 }

// separate reports whether operations that stay in the zone have tables of their own.
func (s *subsetTables) separate() bool { return len(s.pools) > s.zones }

func (s *subsetTables) zoneOf(pool int) int { return pool % s.zones }

// zoneLocalPool is the pool of a zone for operations that stay in it. It exists only if separate reports true.
func (s *subsetTables) zoneLocalPool(zone int) int { return zone + s.zones }

// isLastOfZone reports whether a pool is the second of its zone, or the only one. If operations stay in the zone, its
// tables are for those.
func (s *subsetTables) isLastOfZone(pool int) bool { return pool >= len(s.pools)-s.zones }

// add makes an empty table at the end of a pool.
func (s *subsetTables) add(pool int, zoneLocal bool) {
	added := &table{
		id: model.TableID(len(s.tables)), zone: s.zoneOf(pool), pool: pool, zoneLocal: zoneLocal, width: s.width,
	}
	s.tables = append(s.tables, added)
	s.pools[pool] = append(s.pools[pool], added)
}

// addEntry gives a replica a place in a table.
func (s *subsetTables) addEntry(t *table, r *replica) {
	added := &entry{replica: r, table: t}
	t.entries = append(t.entries, added)
	r.entries = append(r.entries, added)
	s.longest = max(s.longest, len(t.entries))
}

// createTables makes the tables of a pool, fills them and sends their first weights.
func (b *Balancer) createTables(pool int) {
	b.subsets.width = b.wantedWidth()
	zone := b.subsets.zoneOf(pool)
	width := b.subsets.width
	candidates := b.countReplicas(func(r *replica) bool { return r.zone == zone && r.listedReady() })
	count := (sameZoneDenominator*candidates + width - 1) / (sameZoneNumerator * width)
	zoneLocal := b.config.ZoneLocalOperations != 0 && b.subsets.isLastOfZone(pool)
	for range max(1, count) {
		b.subsets.add(pool, zoneLocal)
	}
	b.binder.forgetCosts()
	b.fillTables(pool)
	b.estimateCapacities()
	for _, t := range b.subsets.pools[pool] {
		b.sendWeights(t, firstWeightsBudget, func(*entry) bool { return true })
	}
}

// wantedWidth is the count of entries that a table needs by the traffic of the connected proxies.
func (b *Balancer) wantedWidth() int {
	meanRate := 0.0
	for _, p := range b.proxies {
		meanRate += p.expectedRate / float64(len(b.proxies))
	}
	replicas := float64(len(b.replicas))
	proxies := float64(max(b.config.ProxyCount, 1))
	byTraffic := meanRate * min(entryRequestInterval, entryRequestIntervalAtUnitCost/max(b.config.PublishCost, epsilon))
	byConnections := replicas / connectionDivisor * float64(b.config.MinReplicaConnections) / proxies
	byProxiesPerReplica := minProxiesPerReplica * replicas / proxies
	everyReplica := max(len(b.replicas), 1)
	if byTraffic > 0 && byConnections > 0 {
		return int(min(max(minTableEntries, byProxiesPerReplica, min(byTraffic, byConnections)), float64(everyReplica)))
	}
	return everyReplica
}

// fillTables gives the pool's table that lacks most entries one more, until all have enough and each replica of the
// zone is in one.
func (b *Balancer) fillTables(pool int) {
	if !b.needsEntries(pool) {
		return
	}
	zone := b.subsets.zoneOf(pool)
	ranks := b.rank(func(r *replica) int { return entryScore(r, pool, zone) })
	for {
		t := slices.MinFunc(b.subsets.pools[pool], func(x, y *table) int { return y.missing() - x.missing() })
		openEntries := t.openEntries()
		best := ranks.takeBest(func(r *replica) bool { return b.mayAddEntry(t, r, openEntries) })
		if best == nil {
			return
		}
		wideEnough := openEntries >= t.width
		everySameZoneReplicaPlaced := best.score >= scoreCrossZone
		if wideEnough && everySameZoneReplicaPlaced {
			return
		}
		b.subsets.addEntry(t, best.replica)
		ranks.putBack(best, best.score+scoreAfterAnEntry)
	}
}

// needsEntries reports whether a table of a pool is short of open entries, or a replica of its zone is in none of them.
func (b *Balancer) needsEntries(pool int) bool {
	tables := b.subsets.pools[pool]
	if len(tables) == 0 {
		return false
	}
	short := func(t *table) bool { return t.openEntries() < t.width }
	here := func(e *entry) bool { return e.table.pool == pool }
	zone := b.subsets.zoneOf(pool)
	unplaced := func(r *replica) bool {
		return r.zone == zone && r.inUse() && !slices.ContainsFunc(r.entries, here)
	}
	return slices.ContainsFunc(tables, short) || slices.ContainsFunc(b.replicas, unplaced)
}

func entryScore(r *replica, pool, zone int) int {
	score := len(r.entries) * scoreEntryInAll
	for _, e := range r.entries {
		if e.table.pool == pool {
			score += scoreEntryHere
		}
	}
	if r.zone != zone {
		score += scoreCrossZone
	}
	return score
}

// mayAddEntry reports whether a replica may get an entry of a table that has openEntries open ones. Tables for
// operations that stay in the zone have replicas of the zone only. Beyond the width a replica of another zone that
// warms up is not wanted: proxies of a zone that is short of capacity would turn to it all at once.
func (b *Balancer) mayAddEntry(t *table, r *replica, openEntries int) bool {
	if !r.inUse() || t.has(r) {
		return false
	}
	sameZone := r.zone == t.zone
	crossZoneWanted := !t.zoneLocal && (openEntries < b.subsets.width || !b.isWarmingUp(r))
	return sameZone || crossZoneWanted
}

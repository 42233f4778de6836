package balancer

import (
	"slices"

	"peppervale/internal/model"
)

// A table has as many entries as are worth their cost: an entry costs connections, handshakes and updates.
const (
	// entryWorth: an entry is wanted for a request each so many seconds.
	entryWorth = 2.5
	// entryWorthPerCost over the cost of publishing is the same where updates are expensive, in seconds.
	entryWorthPerCost = 0.05
	smallestCost      = 1e-9
	// connectionsPart: all proxies take up to one in so many connections of the smallest replica.
	connectionsPart = 4
	// fewestEntries, to lose a few.
	fewestEntries = 8
	// fewestFeeders: so many proxies feed each replica, to even them out.
	fewestFeeders = 18
	// Tables are so many that sameZoneNumerator/sameZoneDenominator of their entries are in the zone.
	sameZoneNumerator   = 2
	sameZoneDenominator = 3
)

// Scores of a replica that may get a further entry: the one with the fewest entries in the list of tables comes first,
// those of the zone before others, then the one with the fewest entries in all.
const (
	scoreEntryInAll   = 1
	scoreCrossZone    = 1000
	scoreEntryHere    = 2000
	scoreAfterAnEntry = scoreEntryHere + scoreEntryInAll
)

// table is a shared table for a part of a zone's proxies: a subset of the replicas, with weights.
type table struct {
	id        model.TableID
	zone      int
	list      int  // its place in subsetTables.lists
	zoneLocal bool // for operations that stay in the zone: all its entries are of the zone
	width     int  // entries that it needs
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

// subsetTables are all tables. Those of a zone are a list; where some operations stay in the zone, the tables for them
// are a second list of the zone, after the lists of all zones.
type subsetTables struct {
	zones   int
	tables  []*table
	lists   [][]*table
	width   int // entries wanted in a table
	longest int // most entries of a table
	turn    int // place of the table whose weights are sent first the next time
}

func newSubsetTables(config model.Config) subsetTables {
	lists := config.Zones
	if someOperationsStayInZone(config) {
		lists *= 2
	}
	return subsetTables{zones: config.Zones, lists: make([][]*table, lists)}
}

func someOperationsStayInZone(config model.Config) bool {
	return config.ZoneLocalOperations != 0 && config.ZoneLocalOperations != allOperations(config)
}

// allOperations has the bit of each operation set.
func allOperations(config model.Config) uint16 { return 1<<len(config.Operations) - 1 }

// separate reports whether operations that stay in the zone have tables of their own.
func (s *subsetTables) separate() bool { return len(s.lists) > s.zones }

func (s *subsetTables) zoneOf(list int) int { return list % s.zones }

// zoneLocalList is the list of a zone for operations that stay in it, if it is a separate one.
func (s *subsetTables) zoneLocalList(zone int) int { return zone + s.zones }

// add makes an empty table at the end of a list.
func (s *subsetTables) add(list int, zoneLocal bool) {
	added := &table{
		id: model.TableID(len(s.tables)), zone: s.zoneOf(list), list: list, zoneLocal: zoneLocal, width: s.width,
	}
	s.tables = append(s.tables, added)
	s.lists[list] = append(s.lists[list], added)
}

// addEntry gives a replica a place in a table.
func (s *subsetTables) addEntry(t *table, r *replica) {
	added := &entry{replica: r, table: t}
	t.entries = append(t.entries, added)
	r.entries = append(r.entries, added)
	s.longest = max(s.longest, len(t.entries))
}

// createTables makes the tables of a list, fills them and sends their first weights.
func (b *Balancer) createTables(list int) {
	b.subsets.width = b.wantedWidth()
	zone := b.subsets.zoneOf(list)
	width := b.subsets.width
	candidates := b.countReplicas(func(r *replica) bool { return r.zone == zone && r.listedReady() })
	count := (sameZoneDenominator*candidates + width - 1) / (sameZoneNumerator * width)
	zoneLocal := b.config.ZoneLocalOperations != 0 && list >= len(b.subsets.lists)-b.subsets.zones
	for range max(1, count) {
		b.subsets.add(list, zoneLocal)
	}
	b.binder.forgetCosts()
	b.fillTables(list)
	b.estimateCapacities()
	for _, t := range b.subsets.lists[list] {
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
	byTraffic := meanRate * min(entryWorth, entryWorthPerCost/max(b.config.PublishCost, smallestCost))
	byConnections := replicas / connectionsPart * float64(b.config.MinReplicaConnections) / proxies
	byFeeders := fewestFeeders * replicas / proxies
	all := max(len(b.replicas), 1)
	if byTraffic > 0 && byConnections > 0 {
		return int(min(max(fewestEntries, byFeeders, min(byTraffic, byConnections)), float64(all)))
	}
	return all
}

// fillTables gives a list's shortest table one more entry, until all have enough and each replica of the zone is in
// one.
func (b *Balancer) fillTables(list int) {
	if !b.needsEntries(list) {
		return
	}
	zone := b.subsets.zoneOf(list)
	ranks := b.rank(func(r *replica) int { return entryScore(r, list, zone) })
	for {
		t := slices.MinFunc(b.subsets.lists[list], func(x, y *table) int { return y.missing() - x.missing() })
		open := t.openEntries()
		best := ranks.takeBest(func(r *replica) bool { return b.mayAddEntry(t, r, open) })
		if best == nil {
			return
		}
		wideEnough := open >= t.width
		everySameZoneReplicaPlaced := best.score >= scoreCrossZone
		if wideEnough && everySameZoneReplicaPlaced {
			return
		}
		b.subsets.addEntry(t, best.replica)
		ranks.putBack(best, best.score+scoreAfterAnEntry)
	}
}

// needsEntries reports whether a table of a list is short of open entries, or a replica of its zone is in none of them.
func (b *Balancer) needsEntries(list int) bool {
	tables := b.subsets.lists[list]
	if len(tables) == 0 {
		return false
	}
	short := func(t *table) bool { return t.openEntries() < t.width }
	here := func(e *entry) bool { return e.table.list == list }
	zone := b.subsets.zoneOf(list)
	unplaced := func(r *replica) bool {
		return r.zone == zone && r.inUse() && !slices.ContainsFunc(r.entries, here)
	}
	return slices.ContainsFunc(tables, short) || slices.ContainsFunc(b.replicas, unplaced)
}

func entryScore(r *replica, list, zone int) int {
	score := len(r.entries) * scoreEntryInAll
	for _, e := range r.entries {
		if e.table.list == list {
			score += scoreEntryHere
		}
	}
	if r.zone != zone {
		score += scoreCrossZone
	}
	return score
}

// mayAddEntry reports whether a replica may get an entry of a table with so many open ones. Tables for operations that
// stay in the zone have replicas of the zone only. Beyond the width a replica of another zone that warms up is not
// wanted: proxies of a zone that is short of capacity would turn to it all at once.
func (b *Balancer) mayAddEntry(t *table, r *replica, open int) bool {
	if !r.inUse() || t.has(r) {
		return false
	}
	sameZone := r.zone == t.zone
	crossZoneWanted := !t.zoneLocal && (open < b.subsets.width || !b.isWarmingUp(r))
	return sameZone || crossZoneWanted
}

package balancer

import (
	"math"

	"peppervale/internal/model"
)

const (
	// A weight moves by a tenth at most, and a change under smallestStep of it is not sent: the design's step.
	smallestFactor = 0.9
	largestFactor  = 1.1
	smallestStep   = 0.05

	// averagingAttempts weigh as much as the average does: below that a mean latency says little.
	averagingAttempts = 10
	// warmingCapacityLimit: what a warming replica serves follows from its part, so only latency shows its speed.
	warmingCapacityLimit = 2

	// crossZonePenalty over the cost of a crossing lies between what suits a low load and what suits an overload.
	crossZonePenalty = 60
	// partNotInFull: once one in so many of the replicas of the zone, or of all, is not at full weight, those of
	// other zones count as much.
	partNotInFull = 3
	// noCapacity keeps a division from one by zero.
	noCapacity = 1e-9

	// fewestOpenEntries: with fewer a table gets others at once.
	fewestOpenEntries = 3
	// A table whose median entry is overloadedRatio times as slow as the fleet's, and takes overloadedLatency of the
	// objective or more, has more traffic than its entries can take: its width grows by wideningStep.
	overloadedRatio   = 1.25
	overloadedLatency = 0.25
	wideningStep      = 2

	// messagesForWeights: weights take one in so many of the messages that a proxy may get.
	messagesForWeights = 2
)

// prior is an entry's weight before anything is learnt of the replica's speed.
func (b *Balancer) prior(e *entry) float64 {
	switch {
	case !e.replica.listedReady():
		return 0
	case e.replica.zone == e.table.zone:
		return b.slowStartFactor(e.replica)
	default:
		return b.slowStartFactor(e.replica) * e.table.crossZoneFactor
	}
}

// estimateCapacities works out what replicas can take by the design: served rate times the fleet's mean latency over
// the replica's own, the unreported as average.
func (b *Balancer) estimateCapacities() {
	fleet := b.sumRecentStats()
	preference := b.newZonePreference()
	expectedRate := 0.0
	for _, t := range b.subsets.tables {
		t.measure()
		t.crossZoneFactor = b.crossZoneFactor(t, preference)
		b.spreadExpectedRate(t)
		expectedRate += t.expectedRate
	}
	for _, r := range b.replicas {
		r.capacityEstimate = b.estimateCapacity(r, &fleet, expectedRate)
	}
}

// sumRecentStats sums the recent statistics and sets the fleet's recent rate. It clears the replicas' expected rates.
func (b *Balancer) sumRecentStats() (fleet attemptStats) {
	b.load.recentRate = 0
	for _, r := range b.replicas {
		r.expectedRate = 0
		if r.listedReady() {
			fleet.add(r.load.recent)
			b.load.recentRate += r.load.recent.rate()
		}
	}
	return fleet
}

// zonePreference is how much replicas of the proxy's own zone are preferred now, as crossing zones has a price. The
// preference gives way as load is about to be shed, where other zones are quicker, and as a part of the replicas of the
// zone or of all is not at full weight.
type zonePreference struct {
	crossZoneFactor float64 // what a replica of another zone counts for at full strength
	strength        float64 // 1: in full, 0: not at all
	fleetFullness   float64 // share of the replicas that are in use at full weight
}

func (b *Balancer) newZonePreference() zonePreference {
	inFull := b.countReplicas(func(r *replica) bool { return r.state == serving })
	// In full up to half of the saturation that sheds load, and not at all from that on.
	strength := min(max(2-2*b.load.saturation/sheddingSaturation, 0), 1)
	return zonePreference{
		crossZoneFactor: 1 / (1 + crossZonePenalty*b.config.CrossZoneCost),
		strength:        strength,
		fleetFullness:   float64(inFull) / float64(max(b.countReplicas((*replica).listedReady), 1)),
	}
}

// factor is what a replica of another zone counts for in a table, by the statistics of both kinds.
func (z *zonePreference) factor(sameZoneFullness float64, sameZone, others *attemptStats) float64 {
	fullness := max(0, partNotInFull*min(z.fleetFullness, sameZoneFullness)-(partNotInFull-1))
	factor := math.Pow(z.crossZoneFactor, z.strength*fullness)
	if sameZone.good >= 1 && others.good >= 1 {
		factor *= sameZone.meanLatency() / max(others.meanLatency(), 1)
	}
	return min(max(factor, z.crossZoneFactor), 1)
}

// crossZoneFactor is what a replica of another zone counts for in a table.
func (b *Balancer) crossZoneFactor(t *table, preference zonePreference) float64 {
	var sameZone, others attemptStats
	sameZoneCapacity := 0.0
	sameZoneCount := noCapacity
	for _, e := range t.entries {
		switch r := e.replica; {
		case !r.listedReady():
		case r.zone == t.zone:
			sameZone.add(r.load.recent)
			sameZoneCapacity += b.slowStartFactor(r)
			sameZoneCount++
		default:
			others.add(r.load.recent)
		}
	}
	return preference.factor(sameZoneCapacity/sameZoneCount, &sameZone, &others)
}

// spreadExpectedRate adds a table's expected rate to its replicas, by the priors of their entries.
func (b *Balancer) spreadExpectedRate(t *table) {
	sum := noCapacity
	for _, e := range t.entries {
		sum += b.prior(e)
	}
	for _, e := range t.entries {
		e.replica.expectedRate += t.expectedRate * b.prior(e) / sum
	}
}

// estimateCapacity is what a replica can take, 1 for the average. The rate that it served counts beside what the priors
// of its entries are due, and by the root, or a weight would feed on the traffic that it drew.
func (b *Balancer) estimateCapacity(r *replica, fleet *attemptStats, expectedRate float64) float64 {
	recent := &r.load.recent
	estimate := 1.0
	if r.listedReady() && recent.good >= 1 && recent.latency > 0 {
		estimate = fleet.meanLatency() / recent.meanLatency()
	}
	if r.state == warming {
		estimate = min(warmingCapacityLimit, estimate)
	} else if r.expectedRate > 0 && b.load.recentRate > 0 && recent.window > 0 {
		estimate *= math.Sqrt(recent.good / recent.window / b.load.recentRate * expectedRate / r.expectedRate)
	}
	return (estimate*recent.attempts + averagingAttempts) / (recent.attempts + averagingAttempts)
}

// updateWeights moves the weights once a report. Tables take turns: the one that finds no room is the first next time.
// Cut weights leave at once, as do entries where few are open.
func (b *Balancer) updateWeights() {
	due := b.weightsDue()
	if due {
		b.readmitReplicas()
	}
	for list := range b.subsets.lists {
		b.fillTables(list)
	}
	b.estimateCapacities()
	first := b.subsets.turn
	for k := range b.subsets.tables {
		t := b.subsets.tables[(first+k)%len(b.subsets.tables)]
		b.sendUrgentWeights(t)
		if !due {
			continue
		}
		b.weightsSentAt = b.now
		b.widenIfOverloaded(t)
		due = b.sendWeights(t, weightBudget, takeStep)
		if !due {
			b.subsets.turn = first + k
		}
	}
}

// weightsDue reports whether weights may move: once a report, within a part of the messages that a proxy may get.
func (b *Balancer) weightsDue() bool {
	period := b.config.ReportPeriod
	if b.config.MessageLimit > 0 {
		period = max(period, messagesForWeights*b.config.MessageWindow/model.Microseconds(b.config.MessageLimit))
	}
	return !b.safeMode.active() && b.ticked && !b.binder.withdrawalsBlocked && b.now-b.weightsSentAt >= period
}

// sendUrgentWeights sends cut weights, and where few entries are open new ones too.
func (b *Balancer) sendUrgentWeights(t *table) {
	if t.openEntries() < fewestOpenEntries {
		b.sendWeights(t, withdrawalBudget, func(e *entry) bool { return e.cut || e.isNew() })
		return
	}
	b.sendWeights(t, promptBudget, func(e *entry) bool { return e.cut })
}

// widenIfOverloaded gives a table more entries if most of its own are slower than the fleet: proxies grew, or the
// subset shrank. Where all are short, more entries help nobody.
func (b *Balancer) widenIfOverloaded(t *table) {
	limit := max(overloadedLatency, overloadedRatio*b.load.normalizedLatency)
	if t.normalizedLatency > limit && b.load.saturation < sheddingSaturation {
		t.width = t.openEntries() + wideningStep
	}
}

// takeStep bounds the change of a sent weight and reports whether it is worth sending.
func takeStep(e *entry) bool {
	if e.isNew() || e.nextWeight == 0 {
		return true
	}
	e.nextWeight = min(max(e.nextWeight, e.weight*smallestFactor), e.weight*largestFactor)
	return math.Abs(e.nextWeight-e.weight) >= smallestStep*e.weight
}

// sendWeights sends the wanted weights of a table that change, if they fit. None is sent anew for what is withdrawn:
// the withdrawal missed the table.
func (b *Balancer) sendWeights(t *table, limits budget, wanted func(*entry) bool) bool {
	changed, cost := b.changedWeights(t, wanted)
	if len(changed) > 0 && !b.window.reserve(b.now, t.users, cost, limits) {
		return false
	}
	for _, e := range changed {
		e.weight = e.nextWeight
		e.cut = false
		b.publisher.SetWeight(t.id, e.replica.id, e.weight)
	}
	return true
}

// changedWeights works out the next weights of a table and returns the wanted entries whose weight changes, with what
// it costs to send them.
func (b *Balancer) changedWeights(t *table, wanted func(*entry) bool) (changed []*entry, cost int) {
	for _, e := range t.entries {
		e.nextWeight = b.prior(e) * e.replica.capacityEstimate
		if !wanted(e) || e.nextWeight == e.weight || e.isNew() && b.mustWithdraw(e.replica) {
			continue
		}
		changed = append(changed, e)
		cost++
		if e.isNew() {
			cost++ // it may bring along that its replica is withdrawn, or readmitted
		}
	}
	return changed, cost
}

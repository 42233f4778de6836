package balancer

import (
	"math"

	"peppervale/internal/model"
)

const (
	// A weight moves by a tenth at most, and a change under minWeightChange of it is not sent: the design's step.
	minStepFactor   = 0.9
	maxStepFactor   = 1.1
	minWeightChange = 0.05

	// priorAttempts is the weight of the prior estimate, an average replica's: fewer attempts say little of a latency.
	priorAttempts = 10
	// warmingCapacityLimit bounds the estimate of a warming replica. Its served rate follows from its reduced weight, so
	// only its latency shows its speed.
	warmingCapacityLimit = 2

	// crossZonePenalty over the cost of a crossing lies between what suits a low load and what suits an overload.
	crossZonePenalty = 60
	// belowFullWeightDivisor: once 1/belowFullWeightDivisor of the replicas of the zone, or of all, is below its full
	// weight, those of other zones count as much.
	belowFullWeightDivisor = 3
	// epsilon is added to a divisor, or is its least value, to avoid a division by zero.
	epsilon = 1e-9

	// minOpenEntries: a table with fewer gets new ones at once.
	minOpenEntries = 3
	// A table whose median entry is overloadedRatio times as slow as the fleet's, and takes overloadedLatency of the
	// objective or more, has more traffic than its entries can take: its width grows by wideningStep.
	overloadedRatio   = 1.25
	overloadedLatency = 0.25
	wideningStep      = 2

	// weightMessageDivisor: weights take 1/weightMessageDivisor of the messages that a proxy may get.
	weightMessageDivisor = 2
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

// estimateCapacities estimates what replicas can take, as the design has it: served rate times the fleet's mean latency
// over the replica's own. Unreported replicas count as average.
func (b *Balancer) estimateCapacities() {
	fleet := b.totalRecentStats()
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

// totalRecentStats adds up the recent statistics of listed replicas, sets the fleet's recent rate from them and resets
// the replicas' expected rates.
func (b *Balancer) totalRecentStats() (fleet attemptStats) {
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
// preference gives way as load is about to be shed, where other zones are quicker, and as replicas of the zone or of
// all are below their full weight.
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
	fullness := max(0, belowFullWeightDivisor*min(z.fleetFullness, sameZoneFullness)-(belowFullWeightDivisor-1))
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
	sameZoneCount := epsilon
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
	totalPrior := epsilon
	for _, e := range t.entries {
		totalPrior += b.prior(e)
	}
	for _, e := range t.entries {
		e.replica.expectedRate += t.expectedRate * b.prior(e) / totalPrior
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
	return (estimate*recent.attempts + priorAttempts) / (recent.attempts + priorAttempts)
}

// updateWeights moves the weights once a report period. The table that does not fit the send window is the first next
// time. Cut weights are sent at once, as are new entries of a table with few open ones.
func (b *Balancer) updateWeights() {
	due := b.weightsDue()
	if due {
		b.readmitReplicas()
	}
	for pool := range b.subsets.pools {
		b.fillTables(pool)
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
		due = b.sendWeights(t, weightBudget, limitStep)
		if !due {
			b.subsets.turn = first + k
		}
	}
}

// weightsDue reports whether weights may move: once a report period, or less often if that would take more than
// 1/weightMessageDivisor of the messages that a proxy may get.
func (b *Balancer) weightsDue() bool {
	period := b.config.ReportPeriod
	if b.config.MessageLimit > 0 {
		period = max(period, weightMessageDivisor*b.config.MessageWindow/model.Microseconds(b.config.MessageLimit))
	}
	return !b.safeMode.active() && b.ticked && !b.binder.withdrawalsBlocked && b.now-b.weightsSentAt >= period
}

// sendUrgentWeights sends cut weights, and where few entries are open new ones too.
func (b *Balancer) sendUrgentWeights(t *table) {
	if t.openEntries() < minOpenEntries {
		b.sendWeights(t, withdrawalBudget, func(e *entry) bool { return e.cut || e.isNew() })
		return
	}
	b.sendWeights(t, promptBudget, func(e *entry) bool { return e.cut })
}

// widenIfOverloaded gives a table more entries if most of its own are slower than the fleet: its proxies' traffic
// grew, or the subset shrank. Where the whole fleet is short of capacity, more entries don't help.
func (b *Balancer) widenIfOverloaded(t *table) {
	limit := max(overloadedLatency, overloadedRatio*b.load.normalizedLatency)
	if t.normalizedLatency > limit && b.load.saturation < sheddingSaturation {
		t.width = t.openEntries() + wideningStep
	}
}

// limitStep bounds the change of an entry's next weight and reports whether the change is worth sending.
func limitStep(e *entry) bool {
	if e.isNew() || e.nextWeight == 0 {
		return true
	}
	e.nextWeight = min(max(e.nextWeight, e.weight*minStepFactor), e.weight*maxStepFactor)
	return math.Abs(e.nextWeight-e.weight) >= minWeightChange*e.weight
}

// sendWeights sends the wanted weights of a table that change, and reports whether they fit the send window. No
// new entry is sent for a withdrawn replica: the table's proxies were not notified of the withdrawal.
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

// changedWeights sets the next weights of a table and returns the wanted entries whose weight changes, with what
// it costs to send them. wanted is called once the next weight is set, and may limit it as limitStep does.
func (b *Balancer) changedWeights(t *table, wanted func(*entry) bool) (changed []*entry, cost int) {
	for _, e := range t.entries {
		e.nextWeight = b.prior(e) * e.replica.capacityEstimate
		if !wanted(e) || e.nextWeight == e.weight {
			continue
		}
		missedWithdrawal := e.isNew() && b.mustWithdraw(e.replica)
		if missedWithdrawal {
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

package balancer

import (
	"math"
	"slices"

	"peppervale/internal/model"
)

const (
	// A weight changes by at most a tenth in one step; a change below minWeightChange of the weight is not sent.
	minStepFactor   = 0.9
	maxStepFactor   = 1.1
	minWeightChange = 0.05

	// priorAttempts is the weight of the prior capacity estimate, which is 1, in attempts: the prior is averaged in as if
	// it were measured by priorAttempts attempts. The latency of fewer attempts says little about a replica.
	priorAttempts = 10
	// warmingCapacityLimit is the highest capacity estimate of a warming replica. The estimate is limited as it rests on
	// latency alone: the served rate follows from the reduced weight and is not used.
	warmingCapacityLimit = 2

	// crossZonePenalty, multiplied by the cost of a request to another zone, sets the strength of the preference for the
	// own zone: see zonePreference.crossZoneFactor. The best value at low load differs from the best value in an
	// overload, and crossZonePenalty is a compromise between the two.
	crossZonePenalty = 60
	// belowFullWeightDivisor: once the share of the fleet's replicas at full weight, or the mean slow-start factor of the
	// zone's replicas, is 1/belowFullWeightDivisor below 1, the own zone is no longer preferred.
	belowFullWeightDivisor = 3
	// epsilon is added to a divisor, or is its lowest value, to avoid a division by zero.
	epsilon = 1e-9

	// minOpenEntries is the number of open entries, those of replicas in use, below which new entries of a table are sent
	// at once.
	minOpenEntries = 3
	// A table has more traffic than its entries can serve if the normalized latency of its median entry exceeds
	// overloadedRatio times that of the fleet, and overloadedLatency. Normalized latency is a fraction of the latency
	// objective. The number of open entries wanted in the table is then set to addedEntriesWhenOverloaded above the
	// present number.
	overloadedRatio            = 1.25
	overloadedLatency          = 0.25
	addedEntriesWhenOverloaded = 2

	// weightMessageDivisor: weights use at most 1/weightMessageDivisor of the messages that a proxy may get.
	weightMessageDivisor = 2
)

// priorWeight is the weight of an entry before load reports show the replica's speed.
func (b *Balancer) priorWeight(e *entry) float64 {
	switch {
	case !e.replica.listedReady():
		return 0
	case e.replica.zone == e.table.zone:
		return b.slowStartFactor(e.replica)
	default:
		return b.slowStartFactor(e.replica) * e.table.crossZoneFactor
	}
}

// estimateCapacities estimates the load that each replica can serve; see estimateCapacity. Unreported replicas count as
// average.
func (b *Balancer) estimateCapacities() {
	fleet := b.updateFleetStats()
	preference := b.newZonePreference()
	expectedRate := 0.0
	for _, t := range b.subsets.tables {
		t.updateStatistics()
		t.crossZoneFactor = b.crossZoneFactor(t, preference)
		b.distributeExpectedRate(t)
		expectedRate += t.expectedRate
	}
	for _, r := range b.replicas {
		r.capacityEstimate = b.estimateCapacity(r, &fleet, expectedRate)
	}
}

// updateFleetStats sets the recent rate of the fleet, resets the replicas' expected rates and returns the sum of the
// recent statistics of the replicas that are listed as ready.
func (b *Balancer) updateFleetStats() (fleet attemptStats) {
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

// zonePreference is the present preference for replicas of the proxy's own zone, as requests to another zone cost
// more. The preference weakens in three cases: the load approaches the level at which load is shed, other zones have a
// lower latency, or replicas of the zone or of the fleet are below full weight.
type zonePreference struct {
	crossZoneFactor      float64 // relative weight of a replica of another zone at full strength
	strength             float64 // 1: full preference, 0: none
	fleetFullWeightShare float64 // replicas at full weight divided by replicas listed as ready
}

func (b *Balancer) newZonePreference() zonePreference {
	atFullWeight := b.countReplicas(func(r *replica) bool { return r.state == serving })
	// The preference is full up to half of sheddingSaturation, and falls to zero at sheddingSaturation.
	strength := min(max(2-2*b.load.saturation/sheddingSaturation, 0), 1)
	return zonePreference{
		crossZoneFactor:      1 / (1 + float64(crossZonePenalty*b.config.CrossZoneCost)),
		strength:             strength,
		fleetFullWeightShare: float64(atFullWeight) / float64(max(b.countReplicas((*replica).listedReady), 1)),
	}
}

// factorFor is the relative weight of a replica of another zone in a table, given the mean slow-start factor of the
// replicas of the zone, and the statistics of the replicas of the zone and of the other replicas.
func (z *zonePreference) factorFor(zoneSlowStartFactor float64, sameZone, crossZone *attemptStats) float64 {
	fullWeightShare := max(0,
		float64(belowFullWeightDivisor*min(z.fleetFullWeightShare, zoneSlowStartFactor))-(belowFullWeightDivisor-1))
	factor := power(z.crossZoneFactor, z.strength*fullWeightShare)
	if sameZone.goodAttempts >= 1 && crossZone.goodAttempts >= 1 {
		factor *= sameZone.meanLatency() / max(crossZone.meanLatency(), 1)
	}
	return min(max(factor, z.crossZoneFactor), 1)
}

// crossZoneFactor is the relative weight of a replica of another zone in a table.
func (b *Balancer) crossZoneFactor(t *table, preference zonePreference) float64 {
	var sameZone, crossZone attemptStats
	sameZoneSlowStartSum := 0.0
	sameZoneCount := epsilon
	for _, e := range t.entries {
		switch r := e.replica; {
		case !r.listedReady():
		case r.zone == t.zone:
			sameZone.add(r.load.recent)
			sameZoneSlowStartSum += b.slowStartFactor(r)
			sameZoneCount++
		default:
			crossZone.add(r.load.recent)
		}
	}
	return preference.factorFor(sameZoneSlowStartSum/sameZoneCount, &sameZone, &crossZone)
}

// distributeExpectedRate distributes a table's expected rate over its replicas, in proportion to the prior weights of
// their entries.
func (b *Balancer) distributeExpectedRate(t *table) {
	totalPrior := epsilon
	for _, e := range t.entries {
		totalPrior += b.priorWeight(e)
	}
	for _, e := range t.entries {
		e.replica.expectedRate += t.expectedRate * b.priorWeight(e) / totalPrior
	}
}

// estimateCapacity is the load that a replica can serve, 1 for the average replica. The served rate is compared with
// the expected rate that the prior weights of its entries give, and only the square root of the ratio counts:
// otherwise a high weight would attract traffic that raises the weight further.
func (b *Balancer) estimateCapacity(r *replica, fleet *attemptStats, expectedRate float64) float64 {
	recent := &r.load.recent
	estimate := 1.0
	if r.listedReady() && recent.goodAttempts >= 1 && recent.totalLatency > 0 {
		estimate = fleet.meanLatency() / recent.meanLatency()
	}
	if r.state == warming {
		estimate = min(warmingCapacityLimit, estimate)
	} else if r.expectedRate > 0 && b.load.recentRate > 0 && recent.window > 0 {
		estimate *= math.Sqrt(recent.goodAttempts / recent.window / b.load.recentRate * expectedRate / r.expectedRate)
	}
	return (float64(estimate*recent.attempts) + priorAttempts) / (recent.attempts + priorAttempts)
}

// updateWeights changes the weights once in a report period. If a table does not fit the send window, the next update
// begins with that table. Weights reduced by a slow start are sent at once, and so are new entries of a table with
// fewer than minOpenEntries open entries, or without any that was sent.
func (b *Balancer) updateWeights() {
	due := b.weightsDue()
	if due {
		b.readmitReplicas()
	}
	for pool := range b.subsets.pools {
		b.fillTables(pool)
	}
	b.estimateCapacities()
	firstIndex := b.subsets.nextToUpdate
	for offset := range b.subsets.tables {
		t := b.subsets.tables[(firstIndex+offset)%len(b.subsets.tables)]
		b.sendUrgentWeights(t)
		if !due {
			continue
		}
		b.weightsSentAt = b.now
		b.extendIfOverloaded(t)
		due = b.sendWeights(t, weightBudget, func(e *entry) bool { return limitStep(e) && !b.awaitsWithdrawal(e) })
		if !due {
			b.subsets.nextToUpdate = firstIndex + offset
		}
	}
}

// weightsDue reports whether weights may change: once in a report period, or less often if that would use more than
// 1/weightMessageDivisor of the messages that a proxy may get.
func (b *Balancer) weightsDue() bool {
	period := b.config.ReportPeriod
	if b.config.MessageLimit > 0 {
		period = max(period, weightMessageDivisor*b.config.MessageWindow/model.Microseconds(b.config.MessageLimit))
	}
	return !b.safeMode.active() && b.timerFired && !b.binder.withdrawalsBlocked && b.now-b.weightsSentAt >= period
}

// sendUrgentWeights sends weights reduced by a slow start. If the table has few open entries, or none of them has been
// sent, it sends new entries too, and both are as urgent as withdrawals.
func (b *Balancer) sendUrgentWeights(t *table) {
	if t.openEntries() < minOpenEntries || !t.hasSentOpenEntry() {
		b.sendWeights(t, withdrawalBudget, func(e *entry) bool { return e.sendAtOnce || e.isNew() })
		return
	}
	b.sendWeights(t, promptBudget, func(e *entry) bool { return e.sendAtOnce })
}

// extendIfOverloaded raises the number of open entries wanted in a table if its median entry is slower than the fleet:
// the traffic of its proxies grew, or the table lost entries. If the whole fleet is short of capacity, more entries
// don't help.
func (b *Balancer) extendIfOverloaded(t *table) {
	limit := max(overloadedLatency, overloadedRatio*b.load.normalizedLatency)
	if t.normalizedLatency > limit && b.load.saturation < sheddingSaturation {
		t.wantedEntries = t.openEntries() + addedEntriesWhenOverloaded
	}
}

// limitStep limits the change of an entry's weight in one step and reports whether the change is large enough to be
// sent.
func limitStep(e *entry) bool {
	if e.isNew() || e.nextWeight == 0 {
		return true
	}
	e.nextWeight = min(max(e.nextWeight, e.weight*minStepFactor), e.weight*maxStepFactor)
	return math.Abs(e.nextWeight-e.weight) >= minWeightChange*e.weight
}

// awaitsWithdrawal reports whether an entry is removed while the withdrawal of its replica is still due. With partial
// delivery the removal may reach proxies late, and the withdrawal is sent to users of the entry only.
func (b *Balancer) awaitsWithdrawal(e *entry) bool {
	return b.config.PartialDelivery && e.nextWeight == 0 && !e.replica.withdrawn
}

// sendWeights sends the changed weights of the entries for which wanted returns true, and reports whether the send
// window has capacity for them. A new entry of a withdrawn replica is not sent, as the table's proxies were not
// notified of the withdrawal.
func (b *Balancer) sendWeights(t *table, limits budget, wanted func(*entry) bool) bool {
	changed, cost := b.changedWeights(t, wanted)
	if largest := b.window.largestMessage(len(t.users), limits); cost > largest && !b.config.PartialDelivery {
		changed, cost = firstChanges(changed, largest)
	}
	if len(changed) > 0 && !b.reserveUsers(t, cost, limits) {
		return false
	}
	for _, e := range changed {
		e.weight = e.nextWeight
		e.sendAtOnce = false
		b.publisher.SetWeight(t.id, e.replica.id, e.weight)
	}
	return true
}

// weightCost is the cost of sending an entry's weight. The withdrawal or readmission of its replica may be sent with a
// new entry.
func weightCost(e *entry) int {
	if e.isNew() {
		return 2
	}
	return 1
}

// firstChanges returns as many changes as cost at most largest, at least one, and their cost. New entries come first,
// as proxies may have few others.
func firstChanges(changed []*entry, largest int) (first []*entry, cost int) {
	slices.SortStableFunc(changed, func(d, e *entry) int { return weightCost(e) - weightCost(d) })
	for _, e := range changed {
		if len(first) > 0 && cost+weightCost(e) > largest {
			break
		}
		first = append(first, e)
		cost += weightCost(e)
	}
	return first, cost
}

// changedWeights sets the next weight of each entry of a table. It returns the entries whose weight changes and for
// which wanted returns true, and the cost of sending them. wanted is called after the next weight is set, and may
// limit it as limitStep does.
func (b *Balancer) changedWeights(t *table, wanted func(*entry) bool) (changed []*entry, cost int) {
	for _, e := range t.entries {
		e.nextWeight = b.priorWeight(e) * e.replica.capacityEstimate
		if !wanted(e) || e.nextWeight == e.weight {
			continue
		}
		proxiesNotNotified := e.isNew() && b.mustWithdraw(e.replica)
		if proxiesNotNotified {
			continue
		}
		changed = append(changed, e)
		cost += weightCost(e)
	}
	return changed, cost
}

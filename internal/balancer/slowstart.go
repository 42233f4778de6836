package balancer

import "peppervale/internal/model"

const (
	// slowStartSpan is the time after which a started replica has its full weight.
	slowStartSpan = 30 * model.Second
	// slowStartFloor is the fraction of its full weight that a replica starts with.
	slowStartFloor = 0.25
)

// beginSlowStart starts the slow start of a replica, clears its statistics and cancels its pending deadlines. Tables as
// sent may have the replica at full weight, so its reduced weight is sent at once. The slow start begins at the start
// time of the replica, or now after an ejection: if it always began now, a balancer that starts during a release would
// treat all replicas as equally new.
func (b *Balancer) beginSlowStart(r *replica) {
	r.generation++
	r.restarted = r.load.recent.window > 0
	r.slowStartAt = b.now
	if r.ejections == 0 && b.now-r.warmUpFrom < slowStartSpan {
		r.slowStartAt = r.warmUpFrom
	}
	r.load.reset(b.now)
	for _, e := range r.entries {
		e.sendAtOnce = e.weight > 0
	}
	b.scheduleReplicaEvent(r, slowStartElapsed, r.slowStartAt+slowStartSpan)
}

// endSlowStart cancels the replica's pending deadlines and ends its series of ejections.
func (b *Balancer) endSlowStart(r *replica) {
	r.generation++
	r.ejections = 0
}

// slowStartFactor is the fraction of its full weight that a replica may have now.
func (b *Balancer) slowStartFactor(r *replica) float64 {
	if r.state != warming {
		return 1
	}
	elapsed := float64(b.now - r.slowStartAt)
	return min(1, slowStartFloor+(1-slowStartFloor)*elapsed/float64(slowStartSpan))
}

// isWarmingUp reports whether a replica is in its slow start and started within the warm-up period.
func (b *Balancer) isWarmingUp(r *replica) bool {
	return r.state == warming && b.now-r.warmUpFrom < b.config.WarmUpPeriod
}

// isNewAndWarmingUp reports whether a replica started within the warm-up period and had no load statistics before.
func (b *Balancer) isNewAndWarmingUp(r *replica) bool { return b.isWarmingUp(r) && !r.restarted }

// remainingWarmUp is 1 for a replica that has just started, and falls linearly to 0 at the end of its warm-up period.
func (b *Balancer) remainingWarmUp(r *replica) float64 {
	return 1 - min(1, float64(b.now-r.warmUpFrom)/float64(max(b.config.WarmUpPeriod, 1)))
}

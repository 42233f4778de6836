package balancer

import (
	"cmp"
	"math"
	"slices"

	"peppervale/internal/model"
)

// Levels of saturation. At a mean latency of half the latency objective, the slower part of the requests misses the
// objective.
const (
	normalSaturation   = 0.4 // below it the load is normal, and quotas rise
	sheddingSaturation = 0.5 // above it quotas fall
	overloadSaturation = 1.0 // above it the fleet is overloaded
)

const (
	// quotaFloor is the lowest quota. Some requests of each operation are always admitted, so that its latency is still
	// measured.
	quotaFloor = 0.1
	// minCutFactor and maxRiseFactor bound the factor by which one change multiplies a quota.
	minCutFactor  = 0.6
	maxRiseFactor = 1.6
	// riseAddend is added to a quota that rises, so that a small quota rises too.
	riseAddend = 0.03
	// Cooldowns after a change of a quota. Load reports show the effect of a change after a second or two: a cut is
	// followed by a full cooldown, a rise by half of it.
	cutCooldown  = 2 * model.Second
	riseCooldown = cutCooldown / 2
	// minQuotaChange is the smallest change of a quota that is published. A change back to 1 is always published.
	minQuotaChange = 0.03
	// retriesWarmingLimit is the share of new and warming replicas above which retries are off, as those replicas would
	// get them.
	retriesWarmingLimit = 0.25
)

// loadShedder lowers the quota of the operation with the least value while the fleet is short of capacity, and raises
// quotas afterwards. It does not look at the cause of the shortage: replicas that are slow without being overloaded
// look short of capacity too, so a latency objective below their normal latency sheds load without need.
type loadShedder struct {
	enabled          bool      // proxies apply quotas
	quotas           []float64 // by operation
	published        []float64 // quotas as last published
	lowestValueFirst []int     // operations, the one with the least value for its latency objective first
	nextChangeAt     model.Microseconds
	retryPolicy      model.RetryPolicy // as last published
}

func newLoadShedder(config model.Config) loadShedder {
	shedder := loadShedder{
		enabled:     config.AdmissionControl,
		published:   make([]float64, len(config.Operations)),
		retryPolicy: model.RetryIfNotExecuted,
	}
	for i := range config.Operations {
		shedder.quotas = append(shedder.quotas, config.FullQuota)
		shedder.lowestValueFirst = append(shedder.lowestValueFirst, i)
	}
	valueForLatency := func(i int) float64 {
		return config.Operations[i].PriorityWeight / float64(config.Operations[i].LatencyObjective)
	}
	slices.SortStableFunc(shedder.lowestValueFirst, func(i, j int) int {
		return cmp.Compare(valueForLatency(i), valueForLatency(j))
	})
	return shedder
}

// adjustQuota cuts or raises one quota if the saturation requires it and the cooldown of the last change is over.
func (s *loadShedder) adjustQuota(now model.Microseconds, saturation float64) {
	if !s.enabled || now < s.nextChangeAt {
		return
	}
	switch {
	case saturation > sheddingSaturation:
		s.cutLowestValue(now, saturation)
	case saturation < normalSaturation:
		s.raiseHighestValue(now, saturation)
	}
}

// cutLowestValue cuts the quota of the operation with the least value among those above quotaFloor.
func (s *loadShedder) cutLowestValue(now model.Microseconds, saturation float64) {
	for _, operation := range s.lowestValueFirst {
		quota := &s.quotas[operation]
		if *quota > quotaFloor {
			*quota = max(quotaFloor, *quota*max(minCutFactor, sheddingSaturation/saturation))
			s.nextChangeAt = now + cutCooldown
			return
		}
	}
}

// raiseHighestValue raises the quota of the operation with the highest value among those below 1.
func (s *loadShedder) raiseHighestValue(now model.Microseconds, saturation float64) {
	for _, operation := range slices.Backward(s.lowestValueFirst) {
		quota := &s.quotas[operation]
		if *quota < 1 {
			*quota = min(1, *quota*min(maxRiseFactor, normalSaturation/saturation)+riseAddend)
			s.nextChangeAt = now + riseCooldown
			return
		}
	}
}

// wantedRetryPolicy returns the retry policy of all operations: one retry if the first attempt was provably not
// executed, which is safe for every operation and table. Retries are off once saturation exceeds sheddingSaturation,
// until it is below normalSaturation, and above retriesWarmingLimit: rejected attempts would be repeated many times.
func (s *loadShedder) wantedRetryPolicy(load *fleetLoad) model.RetryPolicy {
	shedding := load.saturation > sheddingSaturation
	notYetNormal := load.saturation > normalSaturation && s.retryPolicy == model.RetryNever
	if shedding || notYetNormal || load.warmingFraction > retriesWarmingLimit {
		return model.RetryNever
	}
	return model.RetryIfNotExecuted
}

// shouldPublish reports whether the quotas or the retry policy differ enough from the published ones to be published.
func (s *loadShedder) shouldPublish(policy model.RetryPolicy) bool {
	for i, quota := range s.quotas {
		admitsAllAgain := quota == 1 && s.published[i] < 1
		if policy != s.retryPolicy || admitsAllAgain || math.Abs(quota-s.published[i]) >= minQuotaChange {
			return true
		}
	}
	return false
}

// adjustQuotas adjusts quotas and the retry policy to the load. It publishes them if they differ enough and the send
// window has capacity.
func (b *Balancer) adjustQuotas() {
	b.shedder.adjustQuota(b.now, b.load.saturation)
	policy := b.shedder.wantedRetryPolicy(&b.load)
	if b.shedder.shouldPublish(policy) && b.window.reserve(b.now, b.proxies, len(b.shedder.quotas), quotaBudget) {
		b.shedder.retryPolicy = policy
		b.publishQuotas()
	}
}

func (b *Balancer) publishQuotas() {
	copy(b.shedder.published, b.shedder.quotas)
	for i, quota := range b.shedder.quotas {
		b.publisher.SetQuota(1<<i, quota, b.shedder.retryPolicy)
	}
}

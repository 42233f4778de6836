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
	normalSaturation   = 0.4 // below this level the load is normal, and quotas rise
	sheddingSaturation = 0.5 // above this level quotas fall
	overloadSaturation = 1.0 // above this level the fleet is overloaded
)

const (
	// quotaFloor is the lowest quota. Some requests of each operation are always admitted, so that its latency is still
	// measured.
	quotaFloor = 0.1
	// minReductionFactor and maxRiseFactor limit the factor by which one change multiplies a quota.
	minReductionFactor = 0.6
	maxRiseFactor      = 1.6
	// riseAddend is added to a quota that rises, so that a small quota rises too.
	riseAddend = 0.03
	// Cooldowns after a change of a quota. Load reports show the effect of a change after a second or two: a
	// reduction is followed by a full cooldown, a rise by half of one.
	reductionCooldown = 2 * model.Second
	riseCooldown      = reductionCooldown / 2
	// minQuotaChange is the smallest change of a quota that is published. A change back to 1 is always published.
	minQuotaChange = 0.03
	// retriesWarmingLimit is the share of the replicas in use that are new and warming above which retries are off, as
	// those replicas would get the retries.
	retriesWarmingLimit = 0.25
)

// loadShedder lowers the quota of the operation with the least value while the fleet is short of capacity, and raises
// quotas afterwards. The cause of the shortage is not considered: replicas that are slow without being
// overloaded look short of capacity too, so a latency objective below their normal latency sheds load without need.
type loadShedder struct {
	enabled          bool      // proxies apply quotas
	quotas           []float64 // by operation
	publishedQuotas  []float64 // quotas as last published
	lowestValueFirst []int     // operations, by rising value divided by latency objective
	nextChangeAt     model.Microseconds
	retryPolicy      model.RetryPolicy // as last published
}

func newLoadShedder(config model.Config) loadShedder {
	shedder := loadShedder{
		enabled:         config.AdmissionControl,
		publishedQuotas: make([]float64, len(config.Operations)),
		retryPolicy:     model.RetryIfNotExecuted,
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

// adjustQuota reduces or raises one quota if the saturation requires it and the cooldown of the last change is over.
func (s *loadShedder) adjustQuota(now model.Microseconds, saturation float64) {
	if !s.enabled || now < s.nextChangeAt {
		return
	}
	switch {
	case saturation > sheddingSaturation:
		s.reduceLowestValueQuota(now, saturation)
	case saturation < normalSaturation:
		s.raiseHighestValueQuota(now, saturation)
	}
}

// reduceLowestValueQuota reduces the quota of the operation with the least value among the operations whose quota
// is above quotaFloor.
func (s *loadShedder) reduceLowestValueQuota(now model.Microseconds, saturation float64) {
	for _, operation := range s.lowestValueFirst {
		quota := &s.quotas[operation]
		if *quota > quotaFloor {
			*quota = max(quotaFloor, *quota*max(minReductionFactor, sheddingSaturation/saturation))
			s.nextChangeAt = now + reductionCooldown
			return
		}
	}
}

// raiseHighestValueQuota raises the quota of the operation with the highest value among the operations whose
// quota is below 1.
func (s *loadShedder) raiseHighestValueQuota(now model.Microseconds, saturation float64) {
	for _, operation := range slices.Backward(s.lowestValueFirst) {
		quota := &s.quotas[operation]
		if *quota < 1 {
			*quota = min(1, float64(*quota*min(maxRiseFactor, normalSaturation/saturation))+riseAddend)
			s.nextChangeAt = now + riseCooldown
			return
		}
	}
}

// wantedRetryPolicy returns the retry policy of all operations: one retry if the first attempt was provably not
// executed, which is safe for every operation and table. Retries are off once saturation exceeds sheddingSaturation,
// until it is below normalSaturation, and while the share of new and warming replicas is above retriesWarmingLimit:
// rejected attempts would be repeated many times.
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
		admitsAllAgain := quota == 1 && s.publishedQuotas[i] < 1
		if policy != s.retryPolicy || admitsAllAgain || math.Abs(quota-s.publishedQuotas[i]) >= minQuotaChange {
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
	if b.shedder.shouldPublish(policy) && b.reserveAll(len(b.shedder.quotas), quotaBudget) {
		b.shedder.retryPolicy = policy
		b.publishQuotas()
	}
}

func (b *Balancer) publishQuotas() {
	copy(b.shedder.publishedQuotas, b.shedder.quotas)
	for i, quota := range b.shedder.quotas {
		b.publisher.SetQuota(1<<i, quota, b.shedder.retryPolicy)
	}
}

package balancer

import (
	"cmp"
	"math"
	"slices"

	"peppervale/internal/model"
)

// Levels of saturation. With half of the latency objective in the mean, the slower part of the requests is late.
const (
	normalSaturation   = 0.4 // below it the load is normal, and quotas rise again
	sheddingSaturation = 0.5 // above it quotas fall
	overloadSaturation = 1.0 // above it the fleet is overloaded
)

const (
	// quotaFloor is admitted of each operation in any case, so that its latency is still measured.
	quotaFloor = 0.1
	// minCutFactor and maxRiseFactor bound the factor by which one change multiplies a quota.
	minCutFactor  = 0.6
	maxRiseFactor = 1.6
	// riseAddend lets a small quota rise too.
	riseAddend = 0.03
	// A change shows in load reports a second or two later: the next change after a cut waits for that, the next one after
	// a rise half as long.
	cutCooldown  = 2 * model.Second
	riseCooldown = cutCooldown / 2
	// minQuotaChange is the least change of a quota that is published; one that admits everything again always is.
	minQuotaChange = 0.03
	// retriesWarmingLimit is the share of new and warming replicas above which nothing is retried: they would get the
	// retries.
	retriesWarmingLimit = 0.25
)

// loadShedder admits less of the operation with the least value while the fleet is short of capacity, and more again
// after that, whatever the cause of the shortage. Replicas that are slow without being overloaded look short of
// capacity too: a latency objective below their normal latency sheds load for nothing.
type loadShedder struct {
	enabled          bool      // proxies honour quotas
	quotas           []float64 // by operation
	published        []float64 // the same as last published
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
	value := func(i int) float64 {
		return config.Operations[i].PriorityWeight / float64(config.Operations[i].LatencyObjective)
	}
	slices.SortStableFunc(shedder.lowestValueFirst, func(i, j int) int { return cmp.Compare(value(i), value(j)) })
	return shedder
}

// adjust cuts or raises one quota if the saturation calls for it, unless the cooldown of the last change goes on.
func (s *loadShedder) adjust(now model.Microseconds, saturation float64) {
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

// cutLowestValue cuts the quota of the operation with the least value that is above the floor.
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

// raiseHighestValue raises the quota of the operation with the most value that is below one.
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

// wantedRetryPolicy returns the policy of all operations: one retry on proof that the first attempt was never executed,
// which is safe for every operation and table. There is no retry from sheddingSaturation until the load is normal, nor
// above retriesWarmingLimit, as rejected attempts would be repeated over and over.
func (s *loadShedder) wantedRetryPolicy(load *fleetLoad) model.RetryPolicy {
	shedding := load.saturation > sheddingSaturation
	notYetNormal := load.saturation > normalSaturation && s.retryPolicy == model.RetryNever
	if shedding || notYetNormal || load.warmingFraction > retriesWarmingLimit {
		return model.RetryNever
	}
	return model.RetryIfNotExecuted
}

// differs reports whether the quotas or the retry policy differ from the published ones by enough to publish them.
func (s *loadShedder) differs(policy model.RetryPolicy) bool {
	for i, quota := range s.quotas {
		admitsAllAgain := quota == 1 && s.published[i] < 1
		if policy != s.retryPolicy || admitsAllAgain || math.Abs(quota-s.published[i]) >= minQuotaChange {
			return true
		}
	}
	return false
}

// adjustQuotas adjusts quotas and the retry policy to the load, and publishes them if they differ and fit the send
// window.
func (b *Balancer) adjustQuotas() {
	b.shedder.adjust(b.now, b.load.saturation)
	policy := b.shedder.wantedRetryPolicy(&b.load)
	if b.shedder.differs(policy) && b.window.reserve(b.now, b.proxies, len(b.shedder.quotas), quotaBudget) {
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

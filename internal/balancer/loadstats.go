package balancer

import (
	"math"
	"slices"

	"peppervale/internal/model"
)

const (
	// recentDecay is what a report period leaves of the recent statistics, which so reach over about ten periods.
	recentDecay = 0.9
	// briefDecay is the same of the brief statistics, which reach over about two.
	briefDecay = 0.5

	// latencyCap bounds a normalized latency: beyond it a replica counts as no slower.
	latencyCap = 1.5
	// minErrorsToAssess without a good attempt give a replica that latency: a single error may be chance.
	minErrorsToAssess = 2

	// utilizationLifetime is how long a utilization counts: over a few report periods, so that the load of a replica which
	// has just left is included.
	utilizationLifetime = 3 * model.Second
	// idleUtilization is the use of cores below which few attempts wait: they may be slow for other reasons.
	idleUtilization = 0.7
	// fullUtilization is the use of cores from which load is shed. Beyond it utilization no longer shows how much capacity
	// is missing.
	fullUtilization = 0.9
	// nearOverloadSaturation is the saturation with all cores in use.
	nearOverloadSaturation = 0.95
)

// attemptStats are counts of attempts with the time of the good ones, over a window. The figures decay, so they are
// fractions.
type attemptStats struct {
	attempts, good, errored float64
	latency                 float64 // of the good attempts together, in microseconds
	window                  float64 // in microseconds
}

func (s *attemptStats) add(more attemptStats) { s.decayAndAdd(more, 1) }

// decayAndAdd multiplies the figures by keep, a fraction, and adds more.
func (s *attemptStats) decayAndAdd(more attemptStats, keep float64) {
	s.attempts = s.attempts*keep + more.attempts
	s.good = s.good*keep + more.good
	s.errored = s.errored*keep + more.errored
	s.latency = s.latency*keep + more.latency
	s.window = s.window*keep + more.window
}

func (s *attemptStats) meanLatency() float64 { return s.latency / s.good }

// errorRate is the share of attempts that erred; of less than one attempt it is taken as of one.
func (s *attemptStats) errorRate() float64 { return s.errored / max(s.attempts, 1) }

// rate is in attempts a microsecond.
func (s *attemptStats) rate() float64 { return s.attempts / max(s.window, 1) }

// replicaLoad is what load reports say of a replica.
type replicaLoad struct {
	pending attemptStats // since they were last digested
	recent  attemptStats // over about ten report periods
	brief   attemptStats // over about two

	reported   bool               // named in a load report
	reportedAt model.Microseconds // when attempts were last digested, or the start of the first window

	utilization       float64 // share of its cores in use
	utilizationAt     model.Microseconds
	normalizedLatency float64 // mean latency of good attempts over the objective, more with errors; 0: not known
	failureRisk       float64 // the same, or the error rate if that is more
}

// reset clears the statistics: those from before a replica's start say nothing of it now.
func (l *replicaLoad) reset(now model.Microseconds) {
	l.reportedAt = now
	l.pending = attemptStats{}
	l.recent = attemptStats{}
	l.brief = attemptStats{}
}

// record takes a load report; utilizationField is the place of the utilization in its readings, or negative.
func (l *replicaLoad) record(now model.Microseconds, report model.LoadReport, utilizationField int) {
	l.reported = true
	if l.recent.window == 0 && l.pending.attempts == 0 {
		l.reportedAt = now - report.Window
	}
	if hasUtilization(report, utilizationField) {
		l.utilization = min(report.Readings[utilizationField], 1)
		l.utilizationAt = now
	}
	good := float64(report.Attempts - report.Errors)
	l.pending.add(attemptStats{
		attempts: float64(report.Attempts),
		good:     good,
		errored:  float64(report.Errors),
		latency:  good * float64(report.MeanLatency),
	})
}

func hasUtilization(report model.LoadReport, field int) bool {
	return field >= 0 && field < len(report.Readings) && report.Readings[field] >= 0
}

// digest moves the pending statistics into the decayed ones. A report may cover several periods, so rates are taken
// over the time since the last one.
func (l *replicaLoad) digest(now, reportPeriod model.Microseconds) {
	if l.pending.attempts <= 0 {
		return
	}
	l.pending.window = float64(now - l.reportedAt)
	periods := max(l.pending.window/float64(reportPeriod), 1)
	l.recent.decayAndAdd(l.pending, math.Pow(recentDecay, periods))
	l.brief.decayAndAdd(l.pending, math.Pow(briefDecay, periods))
	l.pending = attemptStats{}
	l.reportedAt = now
}

// assess sets the normalized latency and the failure risk. Errors multiply the latency of the good
// attempts: beside quick ones they come from replicas that fail, which admitting less does not help. Too few attempts
// show nothing, or a fleet that admits little would keep doing so.
func (l *replicaLoad) assess(objective float64) {
	switch {
	case l.brief.good >= 1:
		errors := 1 + l.brief.errored/l.brief.attempts
		l.normalizedLatency = min(latencyCap, l.brief.meanLatency()/objective*errors)
	case l.brief.errored >= minErrorsToAssess:
		l.normalizedLatency = latencyCap
	default:
		l.normalizedLatency = 0
	}
	// Errors drive proxies that avoid what fails away as lateness does.
	l.failureRisk = max(l.normalizedLatency, l.brief.errorRate())
}

// fleetLoad is what load reports say of the fleet.
type fleetLoad struct {
	objective  float64            // mean latency objective of the operations, in microseconds
	arrived    float64            // attempts reported since digestedAt
	digestedAt model.Microseconds // when reports were last digested
	recentRate float64            // attempts a microsecond by the recent statistics

	normalizedLatency float64 // at the median replica
	saturation        float64 // how short of capacity the fleet is, see the levels of saturation
	warmingFraction   float64 // share of replicas in use that are new and warming up
}

func newFleetLoad(config model.Config, now model.Microseconds) fleetLoad {
	load := fleetLoad{digestedAt: now}
	for _, operation := range config.Operations {
		load.objective += float64(operation.LatencyObjective) / float64(len(config.Operations))
	}
	return load
}

// contradicts reports whether the figures of a report contradict themselves.
func contradicts(report model.LoadReport) bool {
	return report.Attempts <= 0 || report.Window <= 0 || report.Errors < 0 ||
		report.Errors > report.Attempts || report.MeanLatency < 0
}

// reportsDue reports whether reports came and a report period has passed since they were last digested.
func (l *fleetLoad) reportsDue(now, reportPeriod model.Microseconds) bool {
	return l.arrived > 0 && now-l.digestedAt >= reportPeriod
}

// digestReports updates the statistics from the pending load reports and takes the decisions that depend on them.
func (b *Balancer) digestReports() {
	for _, r := range b.replicas {
		r.load.digest(b.now, b.config.ReportPeriod)
		r.load.assess(b.load.objective)
	}
	b.measureSaturation()
	newReplicas := b.countReplicas(b.isNewAndWarmingUp)
	b.load.warmingFraction = float64(newReplicas) / float64(max(b.countReplicas((*replica).inUse), 1))
	if b.everyReplicaReported() {
		apply(b, safeModeTransitions, &b.safeMode.state, allReplicasReported, struct{}{})
	}
	if !b.safeMode.active() {
		b.ejectOutliers()
	}
	b.adjustQuotas()
	b.load.digestedAt = b.now
	b.load.arrived = 0
}

// measureSaturation sets the saturation to the normalized latency of the median replica. Where utilization is reported,
// idle cores lower it, and cores in use raise it: those at the median replica, or those of all replicas over the
// capacity of the ones that are not withdrawn.
func (b *Balancer) measureSaturation() {
	var latencies, utilizations []float64
	work := 0.0
	capacity := 0.0
	for _, r := range b.replicas {
		if r.listedReady() && r.load.normalizedLatency > 0 {
			latencies = append(latencies, r.load.normalizedLatency)
		}
		if b.now-r.load.utilizationAt < utilizationLifetime {
			work += r.load.utilization * b.slowStartFactor(r)
			utilizations = append(utilizations, r.load.utilization)
		}
		if !b.mustWithdraw(r) {
			capacity += b.slowStartFactor(r)
		}
	}
	b.load.normalizedLatency = median(latencies)
	saturation := b.load.normalizedLatency
	medianUtilization := median(utilizations)
	if len(utilizations) > 0 {
		saturation *= min(1, medianUtilization/idleUtilization)
	}
	if capacity > 0 {
		saturation = max(saturation, utilizationSaturation(max(work/capacity, medianUtilization)))
	}
	b.load.saturation = saturation
}

// utilizationSaturation is the saturation that a utilization stands for. At fullUtilization load is shed; from there on
// saturation rises faster, as utilization cannot exceed one, up to nearOverloadSaturation.
func utilizationSaturation(utilization float64) float64 {
	const headroom = 1 - fullUtilization
	upToFull := sheddingSaturation * utilization / fullUtilization
	beyondFull := sheddingSaturation + sheddingSaturation*(utilization-fullUtilization)/headroom
	return max(upToFull, min(nearOverloadSaturation, beyondFull))
}

// quantile sorts the figures and returns the one that a share of them lies below; of none it is 0.
func quantile(share float64, figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[int(share*float64(len(figures)))]
}

func median(figures []float64) float64 { return quantile(0.5, figures) }

package balancer

import (
	"math"
	"slices"

	"peppervale/internal/model"
)

const (
	// recentDecay is the factor by which the recent statistics decay in a report period. They cover about ten periods.
	recentDecay = 0.9
	// briefDecay is the factor by which the brief statistics decay in a report period. They cover about two periods.
	briefDecay = 0.5

	// latencyCap is the highest normalized latency: all replicas slower than that get the same value.
	latencyCap = 1.5
	// minErrorsToAssess: a replica with at least this many errors and no good attempt gets latencyCap. A single error
	// may be chance.
	minErrorsToAssess = 2

	// utilizationLifetime is the age up to which a reported utilization is used. It spans a few report periods, so that
	// the load of a replica that has just left is included.
	utilizationLifetime = 3 * model.Second
	// idleUtilization is the utilization of the cores below which few attempts wait for a core: slow attempts may have
	// other causes.
	idleUtilization = 0.7
	// fullUtilization is the utilization of the cores from which load is shed. Above it utilization no longer shows how
	// much capacity is missing.
	fullUtilization = 0.9
	// nearOverloadSaturation is the saturation that corresponds to a utilization of 1.
	nearOverloadSaturation = 0.95
)

// attemptStats are counts of attempts over a window, and the total latency of the good ones. The figures decay, so
// they are not whole numbers.
type attemptStats struct {
	attempts, good, errored float64
	latency                 float64 // sum over the good attempts, in microseconds
	window                  float64 // in microseconds
}

func (s *attemptStats) add(more attemptStats) { s.decayAndAdd(more, 1) }

// decayAndAdd multiplies the figures by keep, a fraction, and then adds more.
func (s *attemptStats) decayAndAdd(more attemptStats, factor float64) {
	s.attempts = s.attempts*factor + more.attempts
	s.good = s.good*factor + more.good
	s.errored = s.errored*factor + more.errored
	s.latency = s.latency*factor + more.latency
	s.window = s.window*factor + more.window
}

func (s *attemptStats) meanLatency() float64 { return s.latency / s.good }

// errorRate is the share of attempts that failed. A count below one attempt is taken as one.
func (s *attemptStats) errorRate() float64 { return s.errored / max(s.attempts, 1) }

// rate is the rate in attempts a microsecond.
func (s *attemptStats) rate() float64 { return s.attempts / max(s.window, 1) }

// replicaLoad is the load of a replica, from load reports.
type replicaLoad struct {
	pending attemptStats // reported since the last digest
	recent  attemptStats // over about ten report periods
	brief   attemptStats // over about two report periods

	reported   bool               // a load report named the replica
	reportedAt model.Microseconds // time of the last digest with attempts; before the first one, start of its window

	utilization       float64 // share of the cores in use
	utilizationAt     model.Microseconds
	normalizedLatency float64 // mean latency of good attempts over the objective, raised by errors; 0: unknown
	failureRisk       float64 // the higher of normalizedLatency and the error rate
}

// reset clears the statistics: attempts before a replica's start say nothing about its present load.
func (l *replicaLoad) reset(now model.Microseconds) {
	l.reportedAt = now
	l.pending = attemptStats{}
	l.recent = attemptStats{}
	l.brief = attemptStats{}
}

// record adds a load report. utilizationField is the index of the utilization in the readings, negative if it is not
// reported.
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

// digest moves the pending statistics into the decaying ones. A report may cover several periods, so rates are
// computed over the time since the last digest.
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

// assess sets the normalized latency and the failure risk. Errors only multiply the latency of the good attempts:
// errors with low latency come from replicas that fail, and shedding load does not help against them. With too few
// attempts the latency is unknown; otherwise a fleet that admits few requests would keep shedding.
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
	// Proxies that avoid failing replicas react to errors as they do to high latency.
	l.failureRisk = max(l.normalizedLatency, l.brief.errorRate())
}

// fleetLoad is the load of the fleet, from load reports.
type fleetLoad struct {
	objective        float64            // mean latency objective of the operations, in microseconds
	reportedAttempts float64            // attempts reported since digestedAt
	digestedAt       model.Microseconds // when reports were last digested
	recentRate       float64            // attempts a microsecond by the recent statistics

	normalizedLatency float64 // of the median replica
	saturation        float64 // how short of capacity the fleet is; see normalSaturation and the levels after it
	warmingFraction   float64 // share of replicas in use that are new and warming up
}

func newFleetLoad(config model.Config, now model.Microseconds) fleetLoad {
	load := fleetLoad{digestedAt: now}
	for _, operation := range config.Operations {
		load.objective += float64(operation.LatencyObjective) / float64(len(config.Operations))
	}
	return load
}

// isContradictory reports whether a load report has impossible or contradictory figures.
func isContradictory(report model.LoadReport) bool {
	return report.Attempts <= 0 || report.Window <= 0 || report.Errors < 0 ||
		report.Errors > report.Attempts || report.MeanLatency < 0
}

// reportsDue reports whether load reports have arrived and a report period has passed since the last digest.
func (l *fleetLoad) reportsDue(now, reportPeriod model.Microseconds) bool {
	return l.reportedAttempts > 0 && now-l.digestedAt >= reportPeriod
}

// digestReports updates the statistics from the pending load reports and makes the decisions that depend on them.
func (b *Balancer) digestReports() {
	for _, r := range b.replicas {
		r.load.digest(b.now, b.config.ReportPeriod)
		r.load.assess(b.load.objective)
	}
	b.measureSaturation()
	newReplicas := b.countReplicas(b.isNewAndWarmingUp)
	b.load.warmingFraction = float64(newReplicas) / float64(max(b.countReplicas((*replica).inUse), 1))
	if b.everyReplicaReported() {
		applyEvent(b, safeModeTransitions, &b.safeMode.state, allReplicasReported, struct{}{})
	}
	if !b.safeMode.active() {
		b.ejectOutliers()
	}
	b.adjustQuotas()
	b.load.digestedAt = b.now
	b.load.reportedAttempts = 0
}

// measureSaturation sets the saturation to the normalized latency of the median replica. If utilization is reported,
// low utilization of the median replica lowers the saturation, and high utilization raises it: the higher of the
// utilization of the median replica and the work of all replicas divided by the capacity of those that need not be
// withdrawn.
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

// utilizationSaturation is the saturation that corresponds to a utilization. At fullUtilization it reaches
// sheddingSaturation. Above that it rises faster, as utilization cannot exceed 1, up to nearOverloadSaturation.
func utilizationSaturation(utilization float64) float64 {
	const headroom = 1 - fullUtilization
	upToFull := sheddingSaturation * utilization / fullUtilization
	beyondFull := sheddingSaturation + sheddingSaturation*(utilization-fullUtilization)/headroom
	return max(upToFull, min(nearOverloadSaturation, beyondFull))
}

// quantile sorts the figures and returns the one below which the given share of them lies; 0 if there are none.
func quantile(share float64, figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[int(share*float64(len(figures)))]
}

func median(figures []float64) float64 { return quantile(0.5, figures) }

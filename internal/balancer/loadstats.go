package balancer

import (
	"slices"

	"peppervale/internal/model"
)

const (
	// recentDecay is the factor by which the recent statistics decay in a report period. They cover about ten periods.
	recentDecay = 0.9
	// shortTermDecay is the factor by which the short-term statistics decay in a report period. They cover about two
	// periods.
	shortTermDecay = 0.5

	// latencyCap is the highest normalized latency: all slower replicas get latencyCap.
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

// attemptStats are counts of attempts over a window, and the total latency of the good attempts, which are the attempts
// without an error. The figures decay, so they are not whole numbers.
type attemptStats struct {
	attempts, goodAttempts, erroredAttempts float64
	totalLatency                            float64 // sum over the good attempts, in microseconds
	window                                  float64 // in microseconds
}

func (s *attemptStats) add(added attemptStats) { s.decayAndAdd(added, 1) }

// decayAndAdd multiplies the figures by factor, a fraction, and then adds other figures.
func (s *attemptStats) decayAndAdd(added attemptStats, factor float64) {
	s.attempts = float64(s.attempts*factor) + added.attempts
	s.goodAttempts = float64(s.goodAttempts*factor) + added.goodAttempts
	s.erroredAttempts = float64(s.erroredAttempts*factor) + added.erroredAttempts
	s.totalLatency = float64(s.totalLatency*factor) + added.totalLatency
	s.window = float64(s.window*factor) + added.window
}

func (s *attemptStats) meanLatency() float64 { return s.totalLatency / s.goodAttempts }

// errorRate is the share of attempts that failed. A count below one attempt is taken as one attempt.
func (s *attemptStats) errorRate() float64 { return s.erroredAttempts / max(s.attempts, 1) }

// rate is the rate in attempts a microsecond.
func (s *attemptStats) rate() float64 { return s.attempts / max(s.window, 1) }

// replicaLoad is the load of a replica, from load reports.
type replicaLoad struct {
	pending   attemptStats // reported, not yet processed
	recent    attemptStats // over about ten report periods
	shortTerm attemptStats // over about two report periods

	reported   bool               // a load report named the replica
	reportedAt model.Microseconds // when its reports were last processed; before that, start of its first report's window

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
	l.shortTerm = attemptStats{}
}

// record adds a load report. utilizationField is the index of the utilization in the readings, negative if utilization
// is not reported.
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
		attempts:        float64(report.Attempts),
		goodAttempts:    good,
		erroredAttempts: float64(report.Errors),
		totalLatency:    float64(good * float64(report.MeanLatency)),
	})
}

func hasUtilization(report model.LoadReport, field int) bool {
	return field >= 0 && field < len(report.Readings) && report.Readings[field] >= 0
}

// processPending moves the pending statistics into the decaying statistics. A report may cover several periods, so
// rates are computed over the time since reports of the replica were last processed.
func (l *replicaLoad) processPending(now, reportPeriod model.Microseconds) {
	if l.pending.attempts <= 0 {
		return
	}
	l.pending.window = float64(now - l.reportedAt)
	periods := max(l.pending.window/float64(reportPeriod), 1)
	l.recent.decayAndAdd(l.pending, power(recentDecay, periods))
	l.shortTerm.decayAndAdd(l.pending, power(shortTermDecay, periods))
	l.pending = attemptStats{}
	l.reportedAt = now
}

// assess sets the normalized latency and the failure risk. Errors only multiply the latency of the good attempts:
// errors with low latency come from replicas that fail, and shedding load does not help against them. With too few
// attempts the latency is unknown; otherwise a fleet that admits few requests would keep shedding.
func (l *replicaLoad) assess(objective float64) {
	switch {
	case l.shortTerm.goodAttempts >= 1:
		errorFactor := 1 + l.shortTerm.erroredAttempts/l.shortTerm.attempts
		l.normalizedLatency = min(latencyCap, l.shortTerm.meanLatency()/objective*errorFactor)
	case l.shortTerm.erroredAttempts >= minErrorsToAssess:
		l.normalizedLatency = latencyCap
	default:
		l.normalizedLatency = 0
	}
	// Proxies that avoid failing replicas react to errors as they do to high latency.
	l.failureRisk = max(l.normalizedLatency, l.shortTerm.errorRate())
}

// fleetLoad is the load of the fleet, from load reports.
type fleetLoad struct {
	objective          float64            // mean latency objective of the operations, in microseconds
	reportedAttempts   float64            // attempts reported since reportsProcessedAt
	reportsProcessedAt model.Microseconds // when load reports were last processed
	recentRate         float64            // attempts a microsecond by the recent statistics

	normalizedLatency float64 // of the median replica
	saturation        float64 // how short of capacity the fleet is; see normalSaturation and the levels after it
	warmingFraction   float64 // share of replicas in use that are new and warming up
}

func newFleetLoad(config model.Config, now model.Microseconds) fleetLoad {
	load := fleetLoad{reportsProcessedAt: now}
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

// reportsDue reports whether load reports have arrived and a report period has passed since load reports were last
// processed.
func (l *fleetLoad) reportsDue(now, reportPeriod model.Microseconds) bool {
	return l.reportedAttempts > 0 && now-l.reportsProcessedAt >= reportPeriod
}

// processReports updates the statistics from the pending load reports and makes the decisions that depend on them.
func (b *Balancer) processReports() {
	for _, r := range b.replicas {
		r.load.processPending(b.now, b.config.ReportPeriod)
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
	b.load.reportsProcessedAt = b.now
	b.load.reportedAttempts = 0
}

// measureSaturation sets the saturation to the normalized latency of the median replica. If utilization is reported,
// low utilization of the median replica lowers the saturation, and high utilization raises it. High utilization is
// measured by the higher of two figures: the utilization of the median replica, and the work of all replicas divided
// by the capacity of the replicas that need not be withdrawn.
func (b *Balancer) measureSaturation() {
	var latencies, utilizations []float64
	work := 0.0
	capacity := 0.0
	for _, r := range b.replicas {
		if r.listedReady() && r.load.normalizedLatency > 0 {
			latencies = append(latencies, r.load.normalizedLatency)
		}
		if b.now-r.load.utilizationAt < utilizationLifetime {
			work += float64(r.load.utilization * b.slowStartFactor(r))
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
// sheddingSaturation. Above fullUtilization the saturation rises faster, as utilization cannot exceed 1, up to
// nearOverloadSaturation.
func utilizationSaturation(utilization float64) float64 {
	const headroom = 1 - fullUtilization
	upToFull := sheddingSaturation * utilization / fullUtilization
	beyondFull := sheddingSaturation + sheddingSaturation*(utilization-fullUtilization)/headroom
	return max(upToFull, min(nearOverloadSaturation, beyondFull))
}

// quantile sorts the figures and returns the figure below which the given share of the figures lies; 0 without figures.
func quantile(share float64, figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	slices.Sort(figures)
	return figures[int(share*float64(len(figures)))]
}

func median(figures []float64) float64 { return quantile(0.5, figures) }

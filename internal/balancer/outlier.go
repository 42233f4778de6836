package balancer

import (
	"fmt"

	"peppervale/internal/model"
)

const (
	// ejectionPeriod is the length of a first ejection. It is longer than most faults that leave a replica without load
	// reports and do not end in a restart. The length doubles with each further ejection in a row.
	ejectionPeriod = 8 * model.Second
	// maxEjectionDoublings is the number of times that the length of an ejection doubles: 8, 16, then 32 s.
	maxEjectionDoublings = 2

	// A replica counts as failing if it has at least minOutlierErrors errors, and the errors are at least
	// outlierErrorRate of its attempts and outlierErrorRatio times the error rate of the other replicas.
	minOutlierErrors  = 3
	outlierErrorRate  = 0.9
	outlierErrorRatio = 3

	// The silence of a replica is the time since its last load report. A replica counts as silent if its silence exceeds
	// silenceRatio * (report period + silenceQuantile quantile of the silences of replicas in use with traffic), and at
	// least minMissedAttempts attempts were expected since its last report: fewer attempts may be missing by chance.
	silenceRatio      = 2
	silenceQuantile   = 0.75
	minMissedAttempts = 5

	// ejectedShareDivisor: at most 1/ejectedShareDivisor of the replicas that are in use or recently were in use may be
	// out of use at the same time.
	ejectedShareDivisor = 3
)

// outlierDetector finds replicas that do not respond: first their attempts fail, then no load report names them. Late
// reports or an overload affect all replicas alike, so each replica is compared with the other replicas. Each
// call of ejectOutliers creates a detector.
type outlierDetector struct {
	fleet         attemptStats // sum of the short-term statistics of the replicas in use with traffic
	silenceLimit  float64      // in microseconds
	reportedShare float64      // attempts reported divided by attempts expected, since reportsProcessedAt; at most 1
	unavailable   int          // number of recently unavailable replicas
	candidates    int          // number of unavailable replicas and of replicas in use
}

// newOutlierDetector computes the figures of the fleet that each replica is compared with.
func (b *Balancer) newOutlierDetector() outlierDetector {
	var detector outlierDetector
	var silences []float64
	for _, r := range b.replicas {
		if r.inUse() && r.expectedRate > 0 {
			detector.fleet.add(r.load.shortTerm)
			silences = append(silences, b.silence(r))
		}
	}
	detector.silenceLimit = silenceRatio * (quantile(silenceQuantile, silences) + float64(b.config.ReportPeriod))
	expected := float64(b.now-b.load.reportsProcessedAt) * b.load.recentRate
	detector.reportedShare = min(1, b.load.reportedAttempts/max(expected, epsilon))
	detector.unavailable = b.countReplicas(b.recentlyUnavailable)
	detector.candidates = detector.unavailable + b.countReplicas((*replica).inUse)
	return detector
}

// silence is the time since a replica's last report, in microseconds.
func (b *Balancer) silence(r *replica) float64 { return float64(b.now - r.load.reportedAt) }

// recentlyUnavailable reports whether a replica that is not in use had a load report within the last slowStartSpan. A
// replica without reports for longer does not count towards the limit of mayEject.
func (b *Balancer) recentlyUnavailable(r *replica) bool {
	return !r.inUse() && b.now-r.load.reportedAt < slowStartSpan
}

// mayEject reports whether one more replica may be ejected, by ejectedShareDivisor.
func (d *outlierDetector) mayEject() bool {
	return (d.unavailable+1)*ejectedShareDivisor <= d.candidates
}

// errorRateOfOthers is the error rate of the other replicas in use.
func (d *outlierDetector) errorRateOfOthers(r *replica) float64 {
	return (d.fleet.erroredAttempts - r.load.shortTerm.erroredAttempts) /
		max(d.fleet.attempts-r.load.shortTerm.attempts, 1)
}

// fails reports whether nearly all attempts at a replica fail, and many more than at the other replicas.
func (d *outlierDetector) fails(r *replica) bool {
	shortTerm := &r.load.shortTerm
	minErrorsByRate := outlierErrorRate * shortTerm.attempts
	minErrorsByRatio := outlierErrorRatio * d.errorRateOfOthers(r) * shortTerm.attempts
	return shortTerm.erroredAttempts >= max(minOutlierErrors, minErrorsByRate, minErrorsByRatio)
}

// missedAttempts is the number of attempts that were expected in load reports of a replica since its last report.
func (d *outlierDetector) missedAttempts(r *replica, silence float64) float64 {
	return r.load.recent.rate() * d.reportedShare * silence
}

// isSilent reports whether a replica with traffic has had no load report for longer than silenceLimit, and at least
// minMissedAttempts attempts at the replica were expected since its last report.
func (d *outlierDetector) isSilent(r *replica, silence float64) bool {
	return r.expectedRate > 0 && d.missedAttempts(r, silence) >= minMissedAttempts && silence > d.silenceLimit
}

// isOverloaded reports whether a replica with errors is overloaded rather than broken: the mean latency of its good
// attempts is above the objective, and the load of the fleet is not normal. Ejecting the replica would overload
// the other replicas next.
func (b *Balancer) isOverloaded(r *replica) bool {
	late := r.load.shortTerm.totalLatency > r.load.shortTerm.goodAttempts*b.load.objective
	return late && b.load.normalizedLatency >= normalSaturation
}

// ejectOutliers ejects replicas that fail or are silent, unless the fleet is overloaded.
func (b *Balancer) ejectOutliers() {
	detector := b.newOutlierDetector()
	for _, r := range b.replicas {
		if !r.inUse() || b.load.saturation >= overloadSaturation || !detector.mayEject() {
			continue
		}
		if evidence := b.outlierEvidence(&detector, r); evidence != "" {
			detector.unavailable++
			b.applyReplicaEvent(r, failureDetected, evidence)
		}
	}
}

// outlierEvidence returns the figures that exceeded their limits, as the end of a log message, or "" if the replica
// is not an outlier.
func (b *Balancer) outlierEvidence(detector *outlierDetector, r *replica) string {
	silence := b.silence(r)
	switch {
	case detector.fails(r) && !b.isOverloaded(r):
		return fmt.Sprintf(": %.1f of %.1f attempts errored, %.0f%% elsewhere",
			r.load.shortTerm.erroredAttempts, r.load.shortTerm.attempts, 100*detector.errorRateOfOthers(r))
	case detector.isSilent(r, silence):
		return fmt.Sprintf(": not reported for %.1f s, over %.1f, %.0f attempts due",
			silence/float64(model.Second), detector.silenceLimit/float64(model.Second), detector.missedAttempts(r, silence))
	}
	return ""
}

// beginEjection cancels the replica's pending deadlines and schedules the end of its ejection. Each ejection in a row
// is longer than the previous ejection, up to maxEjectionDoublings.
func (b *Balancer) beginEjection(r *replica) {
	r.generation++
	length := ejectionPeriod << min(r.ejections, maxEjectionDoublings)
	b.scheduleReplicaEvent(r, ejectionElapsed, b.now+length)
	r.ejections++
}

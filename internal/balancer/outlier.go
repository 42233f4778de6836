package balancer

import (
	"fmt"

	"peppervale/internal/model"
)

const (
	// ejectionPeriod is the length of a first ejection. It is longer than most gaps between the load reports of a
	// replica that has not restarted. The length doubles with each further ejection in a row.
	ejectionPeriod = 8 * model.Second
	// maxEjectionDoublings is the number of times that the length of an ejection doubles: 8, 16, then 32 s.
	maxEjectionDoublings = 2

	// A replica counts as failing if it has at least minOutlierErrors errors, and the errors are at least
	// outlierErrorRate of its attempts and outlierErrorRatio times the error rate of the other replicas.
	minOutlierErrors  = 3
	outlierErrorRate  = 0.9
	outlierErrorRatio = 3

	// A replica counts as silent if the time since its last report exceeds silenceRatio times the sum of a report period
	// and the silenceQuantile quantile of that time over the replicas in use, and at least minMissedAttempts attempts
	// were expected in that time: fewer may be missing by chance.
	silenceRatio      = 2
	silenceQuantile   = 0.75
	minMissedAttempts = 5

	// ejectedShareDivisor: at most 1/ejectedShareDivisor of the replicas that are in use, or recently were, may be out
	// of use at the same time.
	ejectedShareDivisor = 3
)

// outlierDetector finds replicas that do not respond: first their attempts fail, then no load report names them. Late
// reports or an overload affect all replicas alike, so each replica is compared with the other replicas. A detector
// is used for one comparison of the fleet.
type outlierDetector struct {
	fleet         attemptStats // brief statistics of all replicas in use
	silenceLimit  float64      // in microseconds
	reportedShare float64      // attempts reported divided by attempts expected, at most 1
	unavailable   int          // replicas that were in use recently and no longer are
	candidates    int          // unavailable replicas and replicas in use
}

// newOutlierDetector computes the figures of the fleet that each replica is compared with.
func (b *Balancer) newOutlierDetector() outlierDetector {
	var detector outlierDetector
	var silences []float64
	for _, r := range b.replicas {
		if r.inUse() && r.expectedRate > 0 {
			detector.fleet.add(r.load.brief)
			silences = append(silences, b.silence(r))
		}
	}
	detector.silenceLimit = silenceRatio * (quantile(silenceQuantile, silences) + float64(b.config.ReportPeriod))
	expected := float64(b.now-b.load.digestedAt) * b.load.recentRate
	detector.reportedShare = min(1, b.load.reportedAttempts/max(expected, epsilon))
	detector.unavailable = b.countReplicas(b.leftRecently)
	detector.candidates = detector.unavailable + b.countReplicas((*replica).inUse)
	return detector
}

// silence is the time since a replica's last report, in microseconds.
func (b *Balancer) silence(r *replica) float64 { return float64(b.now - r.load.reportedAt) }

func (b *Balancer) leftRecently(r *replica) bool {
	return !r.inUse() && b.now-r.load.reportedAt < slowStartSpan
}

// mayEject reports whether one more replica may be ejected, by ejectedShareDivisor.
func (d *outlierDetector) mayEject() bool {
	return (d.unavailable+1)*ejectedShareDivisor <= d.candidates
}

// errorRateElsewhere is the error rate of the other replicas in use.
func (d *outlierDetector) errorRateElsewhere(r *replica) float64 {
	return (d.fleet.errored - r.load.brief.errored) / max(d.fleet.attempts-r.load.brief.attempts, 1)
}

// fails reports whether nearly all attempts at a replica fail, and many more than at the other replicas.
func (d *outlierDetector) fails(r *replica) bool {
	brief := &r.load.brief
	byRate := outlierErrorRate * brief.attempts
	byRatio := outlierErrorRatio * d.errorRateElsewhere(r) * brief.attempts
	return brief.errored >= max(minOutlierErrors, byRate, byRatio)
}

// missedAttempts is the number of attempts that were expected in load reports of a replica since its last one.
func (d *outlierDetector) missedAttempts(r *replica, silence float64) float64 {
	return r.load.recent.rate() * d.reportedShare * silence
}

// isSilent reports whether a replica with traffic has been without a load report for longer than chance and the other
// replicas explain.
func (d *outlierDetector) isSilent(r *replica, silence float64) bool {
	return r.expectedRate > 0 && d.missedAttempts(r, silence) >= minMissedAttempts && silence > d.silenceLimit
}

// isOverloaded reports whether a replica with errors is overloaded rather than broken: the mean latency of its good
// attempts is above the objective, and the load of the fleet is not normal. Ejecting it would overload the other
// replicas next.
func (b *Balancer) isOverloaded(r *replica) bool {
	late := r.load.brief.latency > r.load.brief.good*b.load.objective
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
			r.load.brief.errored, r.load.brief.attempts, 100*detector.errorRateElsewhere(r))
	case detector.isSilent(r, silence):
		return fmt.Sprintf(": not reported for %.1f s, over %.1f, %.0f attempts due",
			silence/float64(model.Second), detector.silenceLimit/float64(model.Second), detector.missedAttempts(r, silence))
	}
	return ""
}

// beginEjection schedules the end of an ejection; each ejection in a row is longer than the previous one.
func (b *Balancer) beginEjection(r *replica) {
	r.generation++
	length := ejectionPeriod << min(r.ejections, maxEjectionDoublings)
	b.scheduleReplicaEvent(r, ejectionElapsed, b.now+length)
	r.ejections++
}

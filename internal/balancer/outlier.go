package balancer

import (
	"fmt"

	"peppervale/internal/model"
)

const (
	// ejectionPeriod outlasts most silences that are no restart. It doubles with each further ejection in a row.
	ejectionPeriod = 8 * model.Second
	// maxEjectionDoublings bounds an ejection to 8, 16, then 32 s.
	maxEjectionDoublings = 2

	// A replica fails with at least minOutlierErrors errors, which are outlierErrorRate of its attempts and
	// outlierErrorRatio times the share that errs elsewhere.
	minOutlierErrors  = 3
	outlierErrorRate  = 0.9
	outlierErrorRatio = 3

	// A replica is silent if silenceRatio times the age of the last report that silenceQuantile of the replicas stay
	// under has passed, though minMissedAttempts were due by then: fewer may be missing by chance.
	silenceRatio      = 2
	silenceQuantile   = 0.75
	minMissedAttempts = 5

	// ejectedShareDivisor: at most 1/ejectedShareDivisor of the replicas that are or recently were in use are out of use
	// at once.
	ejectedShareDivisor = 3
)

// outlierDetector finds replicas that answer nothing: first their attempts err, then no report names them. Late reports
// or an overload affect all replicas alike, so each is compared with the others. A detector serves one comparison of
// the fleet.
type outlierDetector struct {
	fleet         attemptStats // brief statistics of all replicas in use
	silenceLimit  float64      // in microseconds
	reportedShare float64      // attempts reported over those expected, at most 1
	unavailable   int          // replicas that were in use recently and are not
	candidates    int          // those and the ones in use
}

// newOutlierDetector gathers the figures that each replica is compared with.
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
	detector.reportedShare = min(1, b.load.arrived/max(expected, epsilon))
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

// errorRateElsewhere is the error rate of the other replicas.
func (d *outlierDetector) errorRateElsewhere(r *replica) float64 {
	return (d.fleet.errored - r.load.brief.errored) / max(d.fleet.attempts-r.load.brief.attempts, 1)
}

// fails reports whether nearly all attempts at a replica err, and many more than elsewhere.
func (d *outlierDetector) fails(r *replica) bool {
	brief := &r.load.brief
	byRate := outlierErrorRate * brief.attempts
	byRatio := outlierErrorRatio * d.errorRateElsewhere(r) * brief.attempts
	return brief.errored >= max(minOutlierErrors, byRate, byRatio)
}

// missedAttempts is how many attempts would have been reported of a replica while it was silent.
func (d *outlierDetector) missedAttempts(r *replica, silence float64) float64 {
	return r.load.recent.rate() * d.reportedShare * silence
}

// isSilent reports whether a replica with entries is unreported for longer than the others and than by chance.
func (d *outlierDetector) isSilent(r *replica, silence float64) bool {
	return r.expectedRate > 0 && d.missedAttempts(r, silence) >= minMissedAttempts && silence > d.silenceLimit
}

// isOverloaded reports whether a replica that errs is full rather than broken: its good attempts are late while the
// load is not normal. With it ejected, the others would be overloaded next.
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
			b.changeReplica(r, failureDetected, evidence)
		}
	}
}

// outlierEvidence returns the figure that passed its bound, as the end of a log message; "" for a replica that is no
// outlier.
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

// beginEjection withdraws a replica for some time, longer with each ejection in a row.
func (b *Balancer) beginEjection(r *replica) {
	r.generation++
	span := ejectionPeriod << min(r.ejections, maxEjectionDoublings)
	b.scheduleReplicaEvent(r, ejectionElapsed, b.now+span)
	r.ejections++
}

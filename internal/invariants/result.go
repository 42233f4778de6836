package invariants

import (
	"fmt"

	"peppervale/internal/model"
)

// The names of the invariants, in the order of the results.
const (
	EmptyTable     = "no forwarder left bare"
	RepeatedEffect = "no effect twice"
	LateDrain      = "drains within the grace"
	ColdOverload   = "no cold replica pushed over"
	LongQueue      = "short queue"
	SharedEpoch    = "one holder an epoch" // of instances that share the fleet; not one of the operators' five
)

// invariantNames lists all invariants in the order of the results.
var invariantNames = []string{EmptyTable, RepeatedEffect, LateDrain, ColdOverload, LongQueue, SharedEpoch}

// Result is the result of one invariant. MaxRatio is the highest ratio of an observation to the limit, and Where
// describes that observation.
type Result struct {
	Invariant  string   `json:"rule"`
	MaxRatio   float64  `json:"nearest"`
	Where      string   `json:"where,omitempty"`
	Violations []string `json:"breaks,omitempty"`
}

// maxViolations is the maximum number of violations that a result lists. If there are more, the string
// "and more" follows them.
const maxViolations = 20

// violationRatio is the ratio to the limit that is recorded for a violation of an invariant without a numeric limit.
const violationRatio = 2

// record records the ratio of an observation to the limit, and a violation if it is above 1.
func (r *Result) record(ratio float64, format string, args ...any) {
	if ratio > r.MaxRatio {
		r.MaxRatio = ratio
		r.Where = fmt.Sprintf(format, args...)
	}
	if ratio <= 1 {
		return
	}
	switch {
	case len(r.Violations) < maxViolations:
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	case len(r.Violations) == maxViolations:
		r.Violations = append(r.Violations, "and more")
	}
}

// formatSeconds formats a duration in seconds.
func formatSeconds(t model.Microseconds) string {
	return fmt.Sprintf("%.3f s", float64(t)/float64(model.Second))
}

// ratioToLimit returns the ratio of a duration to its limit.
func ratioToLimit(t, limit model.Microseconds) float64 { return float64(t) / float64(max(limit, 1)) }

package invariants

import (
	"fmt"

	"peppervale/internal/model"
)

// The names of the invariants, in their order.
const (
	EmptyTable     = "no forwarder left bare"
	RepeatedEffect = "no effect twice"
	LateDrain      = "drains within the grace"
	ColdOverload   = "no cold replica pushed over"
	LongQueue      = "short queue"
	SharedEpoch    = "one holder an epoch" // not one of the operators' five: it concerns instances that share the fleet
)

// invariantNames are all invariants in the order of their results.
var invariantNames = []string{EmptyTable, RepeatedEffect, LateDrain, ColdOverload, LongQueue, SharedEpoch}

// Result is the result of one invariant. MaxRatio is how near the run came to the limit, as a share of it, and Where
// describes that observation.
type Result struct {
	Invariant  string   `json:"rule"`
	MaxRatio   float64  `json:"nearest"`
	Where      string   `json:"where,omitempty"`
	Violations []string `json:"breaks,omitempty"`
}

// maxViolations bounds the violations that a result lists; one more string says that there were more.
const maxViolations = 20

// broken is the share of the limit that is recorded for a violation that has no degrees.
const broken = 2

// record records how near the limit an observation came, and a violation if share is above 1.
func (r *Result) record(share float64, format string, args ...any) {
	if share > r.MaxRatio {
		r.MaxRatio = share
		r.Where = fmt.Sprintf(format, args...)
	}
	if share <= 1 {
		return
	}
	switch {
	case len(r.Violations) < maxViolations:
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	case len(r.Violations) == maxViolations:
		r.Violations = append(r.Violations, "and more")
	}
}

// seconds formats a time span.
func seconds(t model.Microseconds) string {
	return fmt.Sprintf("%.3f s", float64(t)/float64(model.Second))
}

// shareOf returns a time span as a share of its limit.
func shareOf(t, limit model.Microseconds) float64 { return float64(t) / float64(max(limit, 1)) }

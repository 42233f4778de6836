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
	SharedEpoch    = "one holder an epoch" // not of the five: where instances share the fleet
)

// invariantNames are all invariants in the order of their results.
var invariantNames = []string{EmptyTable, RepeatedEffect, LateDrain, ColdOverload, LongQueue, SharedEpoch}

// Result is an invariant's result: how near the run came to its limit, as a share, where, and each violation.
type Result struct {
	Invariant  string   `json:"rule"`
	Nearest    float64  `json:"nearest"`
	Where      string   `json:"where,omitempty"`
	Violations []string `json:"breaks,omitempty"`
}

// maxViolations bounds the violations that one result lists; a last line says that there were more.
const maxViolations = 20

// broken is the share of a limit that stands for a violation which knows no degrees.
const broken = 2

// record notes how near the limit an observation came, and a violation if it is above 1.
func (v *Result) record(share float64, format string, args ...any) {
	if share > v.Nearest {
		v.Nearest = share
		v.Where = fmt.Sprintf(format, args...)
	}
	if share <= 1 {
		return
	}
	switch {
	case len(v.Violations) < maxViolations:
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	case len(v.Violations) == maxViolations:
		v.Violations = append(v.Violations, "and more")
	}
}

// seconds writes a time span for a reader.
func seconds(t model.Microseconds) string {
	return fmt.Sprintf("%.3f s", float64(t)/float64(model.Second))
}

// shareOf is a time span as a share of its limit.
func shareOf(t, limit model.Microseconds) float64 { return float64(t) / float64(max(limit, 1)) }

package scenario

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peppervale/internal/config"
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
)

const (
	latencyDigits      = 3  // significant digits of the latency histograms
	worstWindowSeconds = 10 // length of the windows over which the worst service level is computed
)

// statistics counts requests by operation and sums their billed value by the second in which they were sent.
type statistics struct {
	settings      []config.Operation
	operations    []operationStatistics
	valueBySecond []billedValue
}

type operationStatistics struct {
	requests    int
	inTime      int // within the latency objective
	late        int // succeeded after the latency objective
	rateLimited int
	failed      int
	latency     *hdrhistogram.Histogram // of successful requests, in microseconds
}

// billedValue is the billed value of all requests, and of the requests that were served in time.
type billedValue struct {
	requested float64
	served    float64
}

func newStatistics(script *Script) *statistics {
	empty := &statistics{
		settings:      script.Operations,
		valueBySecond: make([]billedValue, int(script.Length/model.Second)+1),
	}
	for range script.Operations {
		histogram := hdrhistogram.New(1, int64(maxDuration), latencyDigits)
		empty.operations = append(empty.operations, operationStatistics{latency: histogram})
	}
	return empty
}

// recordRequest records the result of a request. sentAt is the time since the start of the scenario. latency is the
// time since the client's first attempt.
func (s *statistics) recordRequest(operation int, result proxy.Result, latency, sentAt model.Microseconds) {
	counts := &s.operations[operation]
	settings := s.settings[operation]
	second := &s.valueBySecond[min(max(int(sentAt/model.Second), 0), len(s.valueBySecond)-1)]
	counts.requests++
	second.requested += settings.PriorityWeight
	switch result {
	case proxy.Succeeded:
		_ = counts.latency.RecordValue(max(1, int64(latency)))
		if latency <= settings.LatencyObjective {
			counts.inTime++
			second.served += settings.PriorityWeight
		} else {
			counts.late++
		}
	case proxy.RateLimited:
		counts.rateLimited++
	default:
		counts.failed++
	}
}

// serviceLevel returns the share of the billed value that was served in time, overall and in the worst window of ten
// seconds.
func (s *statistics) serviceLevel() (overall, worst float64) {
	var total billedValue
	for _, second := range s.valueBySecond {
		total.add(second)
	}
	worst = 1
	for end := worstWindowSeconds; end <= len(s.valueBySecond); end++ {
		var window billedValue
		for _, second := range s.valueBySecond[end-worstWindowSeconds : end] {
			window.add(second)
		}
		if window.requested > 0 {
			worst = min(worst, window.served/window.requested)
		}
	}
	return total.served / math.Max(total.requested, 1), worst
}

func (v *billedValue) add(other billedValue) {
	v.requested += other.requested
	v.served += other.served
}

// operationReports returns the statistics of each operation.
func (s *statistics) operationReports() []OperationReport {
	var reports []OperationReport
	for i, counts := range s.operations {
		reports = append(reports, OperationReport{
			Name:        s.settings[i].Name,
			Requests:    counts.requests,
			InTime:      counts.inTime,
			Late:        counts.late,
			RateLimited: counts.rateLimited,
			Failed:      counts.failed,
			P50:         counts.latencyMilliseconds(50),
			P95:         counts.latencyMilliseconds(95),
			P99:         counts.latencyMilliseconds(99),
		})
	}
	return reports
}

func (o *operationStatistics) latencyMilliseconds(percentile float64) float64 {
	return float64(o.latency.ValueAtQuantile(percentile)) / 1000
}

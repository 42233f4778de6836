package proxy

import (
	"slices"
	"strings"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// replicaReport counts a proxy's attempts at a replica since its last load report.
type replicaReport struct {
	attempts, errors int
	latency          float64 // total of the attempts that succeeded, in microseconds
	readings         []float64
}

// minReportPeriod is the least time between two reports, whatever period an instance announces.
const minReportPeriod = 10 * model.Millisecond

// report sends the load reports of a period and schedules the next.
func (s *stream) report() {
	p := s.proxy
	if s.ended || s.run != p.run {
		return
	}
	p.loop.After(max(s.period, minReportPeriod), s.report)
	p.whenRunning(s.sendReports)
}

func (s *stream) sendReports() {
	p := s.proxy
	if s.ended || p.OmitLoadReports {
		return
	}
	s.reports++
	b := pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{
		Sequence: s.reports,
		Window:   s.period,
		Reports:  p.takeReports(),
	})
	if p.ReportDelay > 0 {
		p.loop.After(p.ReportDelay, func() { _, _ = s.conn.Write(b) })
		return
	}
	_, _ = s.conn.Write(b)
}

// takeReports returns the load reports since the last call, sorted by the replicas' addresses.
func (p *Proxy) takeReports() []model.LoadReport {
	var reports []model.LoadReport
	for _, r := range p.replicas {
		counts := r.report
		if counts.attempts == 0 {
			continue
		}
		r.report = replicaReport{}
		report := model.LoadReport{Replica: r.id, Attempts: counts.attempts, Errors: counts.errors, Readings: counts.readings}
		if good := counts.attempts - counts.errors; good > 0 {
			report.MeanLatency = model.Microseconds(counts.latency / float64(good))
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b model.LoadReport) int {
		return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
	})
	return reports
}

// recordOutcome enters an attempt's end into the report of its replica, and has the proxy avoid the replica after too
// many consecutive failures.
func (a *attempt) recordOutcome(outcome invariants.Outcome, response *http1.Message, now model.Microseconds) {
	p, replica := a.request.proxy, a.replica
	replica.report.attempts++
	if outcome == invariants.Succeeded {
		replica.report.latency += float64(now - a.startedAt)
		replica.failures = 0
	} else {
		replica.report.errors++
		replica.failures++
		if p.EjectAfter > 0 && replica.failures >= p.EjectAfter {
			replica.failures = 0
			replica.avoidUntil = now + p.EjectFor
		}
	}
	if response == nil {
		return
	}
	if load, ok := utilization(response.Header["endpoint-load-metrics"]); ok {
		replica.report.readings = []float64{load}
	}
}

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
	totalLatency     float64   // of the successful attempts, in microseconds
	readings         []float64 // only the newest utilization that the replica reported, if any
}

// minReportPeriod is the minimum time between two reports, also if an instance announces a shorter period.
const minReportPeriod = 10 * model.Millisecond

// reportPeriodically sends the load reports of a period and schedules its next call.
func (s *stream) reportPeriodically() {
	p := s.proxy
	if s.isClosed || s.generation != p.generation {
		return
	}
	p.loop.After(max(s.reportPeriod, minReportPeriod), s.reportPeriodically)
	p.runAfterStall(s.sendReports)
}

func (s *stream) sendReports() {
	p := s.proxy
	if s.isClosed || p.OmitLoadReports {
		return
	}
	s.reportSequence++
	command := pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{
		Sequence: s.reportSequence,
		Window:   s.reportPeriod,
		Reports:  p.takeReports(),
	})
	if p.ReportDelay > 0 {
		p.loop.After(p.ReportDelay, func() { _, _ = s.conn.Write(command) })
		return
	}
	_, _ = s.conn.Write(command)
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
		if successes := counts.attempts - counts.errors; successes > 0 {
			report.MeanLatency = model.Microseconds(counts.totalLatency / float64(successes))
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b model.LoadReport) int {
		return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
	})
	return reports
}

// recordOutcome adds an attempt's outcome to the report of its replica. After EjectAfter consecutive failures the proxy
// avoids the replica for EjectFor.
func (a *attempt) recordOutcome(outcome invariants.Outcome, response *http1.Message, now model.Microseconds) {
	p, replica := a.request.proxy, a.replica
	replica.report.attempts++
	if outcome == invariants.Succeeded {
		replica.report.totalLatency += float64(now - a.startedAt)
		replica.consecutiveFailures = 0
	} else {
		replica.report.errors++
		replica.consecutiveFailures++
		if p.EjectAfter > 0 && replica.consecutiveFailures >= p.EjectAfter {
			replica.consecutiveFailures = 0
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

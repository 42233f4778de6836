package controller

import "peppervale/internal/model"

// reportKey identifies the load report of a replica and a zone of proxies.
type reportKey struct {
	zone    int
	replica model.ReplicaID
}

// pendingReports merges the load reports that wait for the balancer, one for each replica and zone.
type pendingReports struct {
	byKey       map[reportKey]*mergedReport
	order       []reportKey // keys of byKey, in the order of their first reports
	mergedCount uint64      // reports merged into a report that a step had left waiting
}

// mergedReport is a load report with the total latency that its mean latency is computed from.
type mergedReport struct {
	report       model.LoadReport
	totalLatency float64 // sum over the successful attempts, microseconds
	leftWaiting  bool    // a step reached the report limit before this report
}

// add merges a report into the pending report of its replica and zone. A report without attempts is ignored.
func (p *pendingReports) add(zone int, report *model.LoadReport) {
	if report.Attempts <= 0 {
		return
	}
	key := reportKey{zone, report.Replica}
	merged := p.byKey[key]
	if merged == nil {
		merged = &mergedReport{report: model.LoadReport{Zone: zone, Replica: report.Replica}}
		p.byKey[key] = merged
		p.order = append(p.order, key)
	} else if merged.leftWaiting {
		p.mergedCount++
	}
	merged.add(report)
}

func (r *mergedReport) add(report *model.LoadReport) {
	r.report.Attempts += report.Attempts
	r.report.Errors += report.Errors
	r.report.Window = max(r.report.Window, report.Window)
	r.totalLatency += float64(report.Attempts-report.Errors) * float64(report.MeanLatency)
	if len(report.Readings) > 0 {
		r.report.Readings = report.Readings
	}
}

// result returns the report with the mean latency over all successful attempts.
func (r *mergedReport) result() model.LoadReport {
	result := r.report
	if succeeded := result.Attempts - result.Errors; succeeded > 0 {
		result.MeanLatency = model.Microseconds(r.totalLatency / float64(succeeded))
	}
	return result
}

// take removes and returns at most limit reports, the longest waiting first.
func (p *pendingReports) take(limit int) []model.LoadReport {
	var taken []model.LoadReport
	count := min(limit, len(p.order))
	for _, key := range p.order[:count] {
		taken = append(taken, p.byKey[key].result())
		delete(p.byKey, key)
	}
	p.order = append([]reportKey(nil), p.order[count:]...)
	for _, key := range p.order {
		p.byKey[key].leftWaiting = true
	}
	return taken
}

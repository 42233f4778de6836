package controller

import "peppervale/internal/model"

// reportKey identifies the load report of a replica and a zone of proxies.
type reportKey struct {
	zone    int
	replica model.ReplicaID
}

// maxReportsBeforeList bounds the pending reports until an endpoint list is known.
const maxReportsBeforeList = 4096

// pendingReports merges the load reports that wait for the balancer, one for each replica and zone. Reports on replicas
// that no endpoint list has named are dropped, as the balancer does, so that a proxy that reports ever new replicas
// neither fills the memory nor delays the reports of others.
type pendingReports struct {
	byKey        map[reportKey]*mergedReport
	order        []reportKey              // keys of byKey, in the order of their first reports
	listed       map[model.ReplicaID]bool // replicas that an endpoint list has named; nil: no list is known
	mergedCount  uint64                   // reports merged into a report that a step had left waiting
	droppedCount uint64                   // reports on replicas that no list has named
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
		if !p.accepts(report.Replica) {
			p.droppedCount++
			return
		}
		merged = &mergedReport{report: model.LoadReport{Zone: zone, Replica: report.Replica}}
		p.byKey[key] = merged
		p.order = append(p.order, key)
	} else if merged.leftWaiting {
		p.mergedCount++
	}
	merged.add(report)
}

// accepts reports whether a replica may get a pending report.
func (p *pendingReports) accepts(replica model.ReplicaID) bool {
	if p.listed == nil {
		return len(p.order) < maxReportsBeforeList
	}
	return p.listed[replica]
}

// addListed adds the replicas of an endpoint list to those that are known.
func (p *pendingReports) addListed(entries []model.Endpoint) {
	if p.listed == nil {
		p.listed = make(map[model.ReplicaID]bool, len(entries))
	}
	for _, entry := range entries {
		p.listed[entry.ID] = true
	}
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

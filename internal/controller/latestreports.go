package controller

import (
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// maxReportAgePeriods is how old a load report may be that is handed over, in report periods: one period may be under
// way and one report may have been lost.
const maxReportAgePeriods = 3

// latestReports keeps the last load report of each replica and zone, for a controller that takes shards over in a
// planned migration. The balancer here never reads it.
type latestReports struct {
	mu    sync.Mutex
	byKey map[reportKey]receivedReport
}

type receivedReport struct {
	report     model.LoadReport
	receivedAt model.Microseconds
}

func (l *latestReports) add(now model.Microseconds, reports []model.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, report := range reports {
		l.byKey[reportKey{report.Zone, report.Replica}] = receivedReport{report, now}
	}
}

// dropUnlisted forgets replicas that are not in the endpoint list, which bounds the memory.
func (l *latestReports) dropUnlisted(listed map[model.ReplicaID]model.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.byKey {
		if _, isListed := listed[key.replica]; !isListed {
			delete(l.byKey, key)
		}
	}
}

// receivedSince returns the reports received at or after a time, in no order.
func (l *latestReports) receivedSince(oldest model.Microseconds) []model.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []model.LoadReport
	for _, received := range l.byKey {
		if received.receivedAt >= oldest {
			reports = append(reports, received.report)
		}
	}
	return reports
}

// LatestReports returns the last load report of each replica and zone that is no older than three report periods, in
// the order of zone and address.
func (c *Controller) LatestReports() []model.LoadReport {
	fresh := c.latestReports.receivedSince(c.now() - maxReportAgePeriods*c.config.ReportPeriod)
	slices.SortFunc(fresh, compareReports)
	return fresh
}

func compareReports(a, b model.LoadReport) int {
	if a.Zone != b.Zone {
		return a.Zone - b.Zone
	}
	return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
}

// AddHandedOverReports adds the latest load reports of the controller that held the shards before, and starts a step to
// deliver them.
func (c *Controller) AddHandedOverReports(reports []model.LoadReport) {
	for _, report := range reports {
		c.LoadReported(report.Zone, []model.LoadReport{report})
	}
	c.mailbox.wake()
}

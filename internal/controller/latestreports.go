package controller

import (
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// maxReportAgePeriods is the maximum age of a load report that is handed over, in report periods: the current period
// may not have ended, and one report may have been lost.
const maxReportAgePeriods = 3

// latestReports keeps the last load report of each replica and zone, for a controller that takes over shards in a
// planned migration. This controller's own balancer does not read it.
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

// dropUnlisted removes the reports of replicas that are not in the endpoint list. This bounds the memory.
func (l *latestReports) dropUnlisted(listed map[model.ReplicaID]model.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.byKey {
		if _, isListed := listed[key.replica]; !isListed {
			delete(l.byKey, key)
		}
	}
}

// receivedSince returns the reports received at or after a time, in no particular order.
func (l *latestReports) receivedSince(since model.Microseconds) []model.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []model.LoadReport
	for _, received := range l.byKey {
		if received.receivedAt >= since {
			reports = append(reports, received.report)
		}
	}
	return reports
}

// LatestReports returns the last load report of each replica and zone that is no older than three report periods,
// sorted by zone and address.
func (c *Controller) LatestReports() []model.LoadReport {
	recent := c.latestReports.receivedSince(c.now() - maxReportAgePeriods*c.config.ReportPeriod)
	slices.SortFunc(recent, compareReports)
	return recent
}

func compareReports(a, b model.LoadReport) int {
	if a.Zone != b.Zone {
		return a.Zone - b.Zone
	}
	return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
}

// AddHandedOverReports adds the load reports that the previous holder of the shards handed over, and starts a step that
// delivers them.
func (c *Controller) AddHandedOverReports(reports []model.LoadReport) {
	for _, report := range reports {
		c.LoadReported(report.Zone, []model.LoadReport{report})
	}
	c.mailbox.wake()
}

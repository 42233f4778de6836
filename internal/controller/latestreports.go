package controller

import (
	"slices"
	"strings"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// reportFreshPeriods is how old a load report may be that is handed over, in report periods: one period may be under
// way and one report may have been lost.
const reportFreshPeriods = 3

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

// LatestReports returns the last load report of each replica and zone that is no older than three report periods, in
// the order of zone and address.
func (c *Controller) LatestReports() []model.LoadReport {
	c.latestReports.mu.Lock()
	defer c.latestReports.mu.Unlock()
	var fresh []model.LoadReport
	for _, received := range c.latestReports.byKey {
		if c.now()-received.receivedAt <= reportFreshPeriods*c.config.ReportPeriod {
			fresh = append(fresh, received.report)
		}
	}
	slices.SortFunc(fresh, compareReports)
	return fresh
}

func compareReports(a, b model.LoadReport) int {
	if a.Zone != b.Zone {
		return a.Zone - b.Zone
	}
	return strings.Compare(pubsubmsg.FormatAddress(a.Replica), pubsubmsg.FormatAddress(b.Replica))
}

// AddHandedOverReports gives the balancer, in its next step, the latest load reports of the controller that held its
// shards before.
func (c *Controller) AddHandedOverReports(reports []model.LoadReport) {
	for _, report := range reports {
		c.LoadReported(report.Zone, []model.LoadReport{report})
	}
	c.mailbox.wake()
}

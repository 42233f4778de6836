package controller

import (
	"maps"
	"sync/atomic"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// View is the state of a controller after a step. It is immutable and may be read from any goroutine.
type View struct {
	At               model.Microseconds // time of the step
	SafeModeEnded    bool               // the balancer has left safe mode: weights follow load reports
	ConnectedProxies int
	ReadyReplicas    int                // replicas listed as ready
	ListedReplicas   int                // replicas in the endpoint list
	EndpointsAt      model.Microseconds // when the newest complete endpoint list was received; 0: none was
	DeferredProxies  int                // proxies that wait for a part of an update, as the send window has no capacity
	FailedPolls      uint64             // failed polls of the endpoint list of which the balancer was notified
	Subscriptions    uint64             // subscriptions to the endpoint list that the balancer started
	Steps            uint64             // steps taken since the start
	LongestStep      model.Microseconds // duration of the longest step
	PendingReports   int                // load reports that wait for the balancer
	MergedReports    uint64             // load reports merged because they came faster than the report limit
	DroppedReports   uint64             // load reports on replicas that no endpoint list has named
	Detail           *Detail            // nil or out of date unless DetailedView was called recently
}

// Detail is an immutable copy of the state of a controller and its balancer, made only while DetailedView is called.
type Detail struct {
	At        model.Microseconds // when it was copied
	Balancer  *balancer.View
	Proxies   map[model.ProxyID]Proxy
	Endpoints map[model.ReplicaID]model.Endpoint
}

// Proxy is a connected proxy with the properties that it reported when it connected.
type Proxy struct {
	Name            string
	Zone            int                // index of its zone in the configuration
	ExpectedRate    float64            // requests a second that it expects to forward
	OnStandingTable bool               // it used its standing table when it connected
	ConnectedAt     model.Microseconds // when it was registered with the balancer
}

// Making a Detail copies the state of the whole fleet. It is done at most once each detailInterval, and only within
// detailDemandPeriod after a call of DetailedView, so the cost does not depend on the number of viewers.
const (
	detailInterval     = 200 * model.Millisecond
	detailDemandPeriod = 5 * model.Second
)

// viewStore holds the newest view and the state that the next view is made from. The fields that are not atomic belong
// to the goroutine of the event loop.
type viewStore struct {
	current           atomic.Pointer[View]
	detailRequestedAt atomic.Int64 // by the controller's clock, microseconds

	detail      *Detail
	detailAt    model.Microseconds
	steps       uint64
	longestStep model.Microseconds
}

// detailIsDue reports whether DetailedView was called recently and the last copy is at least detailInterval old.
func (s *viewStore) detailIsDue(now model.Microseconds) bool {
	requestedAt := model.Microseconds(s.detailRequestedAt.Load())
	return now-requestedAt < detailDemandPeriod && now-s.detailAt >= detailInterval
}

// View returns the newest view, or nil before the first step has ended. It neither blocks nor copies.
func (c *Controller) View() *View { return c.views.current.Load() }

// DetailedView returns the newest view and requests a Detail in the views of the next seconds, from the next step on.
func (c *Controller) DetailedView() *View {
	c.views.detailRequestedAt.Store(int64(c.now()))
	return c.views.current.Load()
}

// storeView stores the view of a step that began at now.
func (c *Controller) storeView(now model.Microseconds) {
	c.views.steps++
	c.views.longestStep = max(c.views.longestStep, c.now()-now)
	pendingReports, mergedReports, droppedReports := c.mailbox.reportCounts()
	if c.views.detailIsDue(now) {
		c.views.detailAt = now
		c.views.detail = c.copyDetail(now)
	}
	c.views.current.Store(&View{
		At:               now,
		SafeModeEnded:    c.safeModeEnded,
		ConnectedProxies: len(c.proxies),
		ReadyReplicas:    c.endpoints.readyCount,
		ListedReplicas:   len(c.endpoints.byID),
		EndpointsAt:      c.endpoints.fullListAt,
		DeferredProxies:  c.balancer.DeferredProxies(),
		FailedPolls:      c.endpoints.failedPollCount,
		Subscriptions:    c.endpoints.subscriptionCount,
		Steps:            c.views.steps,
		LongestStep:      c.views.longestStep,
		PendingReports:   pendingReports,
		MergedReports:    mergedReports,
		DroppedReports:   droppedReports,
		Detail:           c.views.detail,
	})
}

func (c *Controller) copyDetail(now model.Microseconds) *Detail {
	return &Detail{
		At:        now,
		Balancer:  c.balancer.View(),
		Proxies:   maps.Clone(c.proxies),
		Endpoints: maps.Clone(c.endpoints.byID),
	}
}

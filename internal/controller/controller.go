package controller

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// ProxyServer carries the balancer's updates to the proxies; pubsub.Server and platform.Server implement it. Its
// methods are called from the event loop's goroutine and must not block.
type ProxyServer interface {
	// AdmitProxy reports that the balancer has registered a proxy's stream: from now on updates may be sent over it.
	AdmitProxy(p model.ProxyID, stream uint64)
	// Publish sends a batch and takes ownership of it.
	Publish(b *snapshot.Batch)
}

// Discovery follows the endpoint list. Each call of Subscribe starts a new subscription and is answered by a call of
// Controller.EndpointsChanged.
type Discovery interface{ Subscribe() }

// Controller owns one balancer and runs its event loop. Create it with New, register it with the proxy server and with
// endpoint discovery as the receiver of their events, then call Run. The methods that receive events and the methods
// that read state may be called from any goroutine.
type Controller struct {
	config model.Config
	now    func() model.Microseconds
	log    zerolog.Logger

	mailbox       *mailbox
	reportBudget  reportBudget
	decisions     *decisionLog
	latestReports latestReports
	views         viewStore

	// The following fields belong to the goroutine of Run.
	balancer      *balancer.Balancer
	proxyServer   ProxyServer
	discovery     Discovery
	pending       *snapshot.Batch // updates since the last flush
	wakeAt        model.Microseconds
	safeModeEnded bool
	endpoints     endpointList
	proxies       map[model.ProxyID]Proxy

	stop    chan struct{}
	stopped chan struct{}
}

// NewClock returns a monotonic clock in microseconds since 1970, set to the wall clock at the time of this call.
func NewClock() func() model.Microseconds {
	start := time.Now()
	base := model.Microseconds(start.UnixMicro())
	return func() model.Microseconds { return base + model.MicrosecondsOf(time.Since(start)) }
}

// New returns a controller that is not running yet. At most reportLimit load reports a second are delivered to the
// balancer.
func New(config model.Config, reportLimit int, now func() model.Microseconds, log zerolog.Logger) *Controller {
	config.PartialDelivery = true // package snapshot keeps what a proxy has not been sent
	controller := &Controller{
		config:        config,
		now:           now,
		log:           log,
		mailbox:       newMailbox(),
		decisions:     &decisionLog{},
		latestReports: latestReports{byKey: map[reportKey]receivedReport{}},
		endpoints:     endpointList{byID: map[model.ReplicaID]model.Endpoint{}},
		proxies:       map[model.ProxyID]Proxy{},
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	controller.SetReportLimit(reportLimit)
	return controller
}

// SetReportLimit changes the maximum number of load reports a second that are delivered to the balancer. It may be
// called at any time.
func (c *Controller) SetReportLimit(reportLimit int) {
	c.reportBudget.perSecond.Store(int64(reportLimit))
}

// PersistDecisions sets a function that is called with each new decision log entry, from the event loop's goroutine.
// The function must neither block nor change the entry. PersistDecisions must be called before Run.
func (c *Controller) PersistDecisions(persist func(*Decision)) { c.decisions.persist = persist }

// DisableDecisionLog turns the decision log off, to save memory. It must be called before Run.
func (c *Controller) DisableDecisionLog() { c.decisions.disabled = true }

// Decisions returns at most limit matching decision log entries that are in memory, newest first. A nil match accepts
// every entry.
func (c *Controller) Decisions(limit int, match func(*Decision) bool) []Decision {
	return c.decisions.find(limit, match)
}

// OldestDecision returns the number of the oldest decision log entry in memory. If there is no entry, it returns the
// number of the next one.
func (c *Controller) OldestDecision() uint64 { return c.decisions.oldestNumber() }

// ProxyConnected reports a proxy's new stream. It replaces a connection of the proxy that still waits for the balancer.
func (c *Controller) ProxyConnected(p model.ProxyID, stream uint64, join pubsubmsg.Join, zone int) {
	c.mailbox.proxyConnected(p, stream, join, zone)
}

// ProxyDisconnected reports that a stream has ended. It is ignored if the proxy has a newer stream.
func (c *Controller) ProxyDisconnected(p model.ProxyID, stream uint64) {
	c.mailbox.proxyDisconnected(p, stream)
}

// Acknowledged reports that a proxy has applied every message up to an acknowledgement sequence. It is ignored if the
// proxy has a newer stream than the one that carried the acknowledgement.
func (c *Controller) Acknowledged(p model.ProxyID, stream uint64, sequence uint32) {
	c.mailbox.acknowledged(p, stream, sequence)
}

// LoadReported adds load reports of the proxies of a zone. The reports are delivered in the next step; they don't start
// one.
func (c *Controller) LoadReported(zone int, reports []model.LoadReport) {
	c.mailbox.loadReported(zone, reports)
}

// EndpointsChanged reports an endpoint list, a change to it, or a failed poll. The controller takes ownership of the
// entries.
func (c *Controller) EndpointsChanged(update model.EndpointUpdate, entries []model.Endpoint) {
	c.mailbox.endpointsChanged(update, entries)
}

// Run starts the balancer with the cached endpoint list (nil: none is known) and processes events until Stop is called.
func (c *Controller) Run(proxyServer ProxyServer, discovery Discovery, cached []model.Endpoint) {
	defer close(c.stopped)
	c.proxyServer = proxyServer
	c.discovery = discovery
	c.reportBudget.start(c.now())
	c.pending = newBatch()
	c.balancer = balancer.New(c.config, c, c.now())
	if len(cached) > 0 {
		c.mailbox.addListed(cached)
		c.deliverEndpoints(c.now(), endpointEvent{model.CachedList, cached})
	}
	c.finishStep(c.now())
	c.loop()
}

// Stop ends Run and waits until it has returned. It must be called once, after Run was started.
func (c *Controller) Stop() {
	close(c.stop)
	<-c.stopped
}

// reportBudget is a token bucket for load reports. Its capacity is the reports of one second.
type reportBudget struct {
	perSecond  atomic.Int64
	available  float64
	refilledAt model.Microseconds
}

func (b *reportBudget) start(now model.Microseconds) { b.refilledAt = now }

// refill adds the tokens for the time since the last call and returns how many reports may be delivered.
func (b *reportBudget) refill(now model.Microseconds) int {
	perSecond := float64(b.perSecond.Load())
	elapsed := float64(now-b.refilledAt) / float64(model.Second)
	b.available = min(b.available+elapsed*perSecond, perSecond)
	b.refilledAt = now
	return int(b.available)
}

func (b *reportBudget) spend(reports int) { b.available -= float64(reports) }

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
	// AdmitProxy reports that the balancer knows of a proxy's stream: from now on updates may be sent over it.
	AdmitProxy(p model.ProxyID, stream uint64)
	// Publish sends a batch. The batch belongs to the server afterwards.
	Publish(b *snapshot.Batch)
}

// Discovery follows the endpoint list. Each call of Subscribe subscribes anew and is answered by a call of
// Controller.EndpointsChanged.
type Discovery interface{ Subscribe() }

// Controller owns one balancer and runs its event loop. Make it with New, register it with the proxy server and with
// endpoint discovery as the receiver of their events, then call Run. The methods that receive events, and those that
// read, may be called from any goroutine.
type Controller struct {
	config model.Config
	now    func() model.Microseconds
	log    zerolog.Logger

	mailbox       *mailbox
	reportBudget  reportBudget
	decisions     *decisionLog
	latestReports latestReports
	views         viewStore

	// The rest belongs to the goroutine of Run.
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

// NewClock returns a monotonic clock in microseconds since 1970, set by the wall clock at the time of this call.
func NewClock() func() model.Microseconds {
	start := time.Now()
	base := model.Microseconds(start.UnixMicro())
	return func() model.Microseconds { return base + model.Microseconds(time.Since(start)/time.Microsecond) }
}

// New makes a controller that is not running yet; reportLimit is the most load reports a second that the balancer is
// given.
func New(config model.Config, reportLimit int, now func() model.Microseconds, log zerolog.Logger) *Controller {
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

// SetReportLimit changes the most load reports a second that the balancer is given. It may be called at any time.
func (c *Controller) SetReportLimit(reportLimit int) {
	c.reportBudget.perSecond.Store(int64(reportLimit))
}

// PersistDecisions sets a function that gets each decision log entry as it is made. It is called from the event loop's
// goroutine and must neither block nor change the entry. To be called before Run.
func (c *Controller) PersistDecisions(persist func(*Decision)) { c.decisions.persist = persist }

// DisableDecisionLog turns the decision log off, to save memory. To be called before Run.
func (c *Controller) DisableDecisionLog() { c.decisions.disabled = true }

// Decisions returns the newest decision log entries in memory that match, newest first, at most limit of them. A nil
// match takes all.
func (c *Controller) Decisions(limit int, match func(*Decision) bool) []Decision {
	return c.decisions.find(limit, match)
}

// OldestDecision returns the number of the oldest decision log entry in memory; without one, the number that the next
// entry will get.
func (c *Controller) OldestDecision() uint64 { return c.decisions.oldest() }

// ProxyConnected reports a proxy's new stream. A connection that is still waiting for the balancer is replaced by it.
func (c *Controller) ProxyConnected(p model.ProxyID, stream uint64, join pubsubmsg.Join, zone int) {
	c.mailbox.proxyConnected(p, stream, join, zone)
}

// ProxyDisconnected reports a stream's end. The end of an older stream than the proxy's newest is ignored.
func (c *Controller) ProxyDisconnected(p model.ProxyID, stream uint64) {
	c.mailbox.proxyDisconnected(p, stream)
}

// Acknowledged reports that a proxy has applied everything up to an acknowledgement sequence. An acknowledgement over
// an older stream than the proxy's newest is ignored.
func (c *Controller) Acknowledged(p model.ProxyID, stream uint64, sequence uint32) {
	c.mailbox.acknowledged(p, stream, sequence)
}

// LoadReported adds what the proxies of a zone measured. The reports wait for the next step and don't start one.
func (c *Controller) LoadReported(zone int, reports []model.LoadReport) {
	c.mailbox.loadReported(zone, reports)
}

// EndpointsChanged reports an endpoint list, a change to it, or a failed poll. The entries belong to the controller
// afterwards.
func (c *Controller) EndpointsChanged(update model.EndpointUpdate, entries []model.Endpoint) {
	c.mailbox.endpointsChanged(update, entries)
}

// Run starts the balancer on the endpoint list as last known (nil: unknown) and processes events until Stop.
func (c *Controller) Run(proxyServer ProxyServer, discovery Discovery, cached []model.Endpoint) {
	defer close(c.stopped)
	c.proxyServer = proxyServer
	c.discovery = discovery
	c.reportBudget.start(c.now())
	c.pending = newBatch()
	c.balancer = balancer.New(c.config, c, c.now())
	if len(cached) > 0 {
		c.deliverEndpoints(c.now(), &endpointEvent{model.CachedList, cached})
	}
	c.finishStep(c.now())
	c.loop()
}

// Stop ends Run and waits for it. To be called once, after Run was started.
func (c *Controller) Stop() {
	close(c.stop)
	<-c.stopped
}

// reportBudget is a token bucket of load reports: it holds at most the reports of one second.
type reportBudget struct {
	perSecond  atomic.Int64
	available  float64
	refilledAt model.Microseconds
}

func (b *reportBudget) start(now model.Microseconds) { b.refilledAt = now }

// refill adds what the time since the last call allows and returns how many reports may be taken.
func (b *reportBudget) refill(now model.Microseconds) int {
	perSecond := float64(b.perSecond.Load())
	elapsed := float64(now-b.refilledAt) / float64(model.Second)
	b.available = min(b.available+elapsed*perSecond, perSecond)
	b.refilledAt = now
	return int(b.available)
}

func (b *reportBudget) spend(reports int) { b.available -= float64(reports) }

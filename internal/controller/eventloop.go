package controller

import (
	"time"

	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// gatherPeriod is how long the loop waits after the first event, so that the connections of many proxies at once are
// delivered in one step.
const gatherPeriod = 2 * time.Millisecond

// loop runs a step whenever the balancer's timer fires or events have arrived, until Stop is called.
func (c *Controller) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, (c.wakeAt - c.now()).Duration()))
		select {
		case <-c.stop:
			return
		case <-timer.C:
		case <-c.mailbox.signal:
			if c.stoppedWhileGathering() {
				return
			}
		}
		c.step()
	}
}

// stoppedWhileGathering waits for gatherPeriod and reports whether Stop was called meanwhile.
func (c *Controller) stoppedWhileGathering() bool {
	select {
	case <-c.stop:
		return true
	case <-time.After(gatherPeriod):
		return false
	}
}

// step delivers all events that have arrived to the balancer and publishes its decisions.
func (c *Controller) step() {
	now := c.now()
	events := c.mailbox.drain(c.reportBudget.refill(now))
	c.reportBudget.spend(len(events.reports))

	for _, event := range events.endpoints {
		c.deliverEndpoints(now, event)
	}
	c.deliverProxyEvents(now, events.proxies)
	c.deliverReports(now, events.reports)
	c.fireTimer(now)
	c.finishStep(now)
}

// finishStep has the balancer flush its decisions, publishes them, records the step and stores its view.
func (c *Controller) finishStep(now model.Microseconds) {
	c.balancer.Flush(now)
	c.publish(now)
	c.decisions.closeStep(now, c.pending.Updates)
	c.pending = newBatch()
	c.storeView(now)
}

// deliverEndpoints delivers an event of endpoint discovery.
func (c *Controller) deliverEndpoints(now model.Microseconds, event endpointEvent) {
	c.decisions.addInput(inputEndpoints, endpointUpdateNames[event.update], len(event.entries))
	c.balancer.EndpointsChanged(now, event.update, event.entries)
	c.endpoints.apply(now, event)
	if event.update == model.FullList {
		c.latestReports.dropUnlisted(c.endpoints.byID)
	}
}

func (c *Controller) deliverProxyEvents(now model.Microseconds, events []proxyEvents) {
	for i := range events {
		event := &events[i]
		if event.disconnected {
			c.deliverDisconnected(now, event.proxy)
		}
		if event.connected {
			c.deliverConnected(now, event)
		}
		if event.acknowledgedSequence != noAcknowledgement {
			c.deliverAcknowledged(now, event)
		}
	}
}

func (c *Controller) deliverDisconnected(now model.Microseconds, id model.ProxyID) {
	proxy, known := c.proxies[id]
	if !known {
		return
	}
	c.balancer.ProxyDisconnected(now, id)
	c.decisions.addInput(inputDisconnected, proxy.Name)
	delete(c.proxies, id)
}

func (c *Controller) deliverConnected(now model.Microseconds, event *proxyEvents) {
	c.proxyServer.AdmitProxy(event.proxy, event.stream)
	c.balancer.ProxyConnected(now, event.proxy, event.zone, event.join.ExpectedRate)
	c.proxies[event.proxy] = Proxy{
		Name:            event.join.Name,
		Zone:            event.zone,
		ExpectedRate:    event.join.ExpectedRate,
		OnStandingTable: event.join.OnStandingTable,
		ConnectedAt:     now,
	}
	c.decisions.addInput(inputConnected, event.join.Name)
}

func (c *Controller) deliverAcknowledged(now model.Microseconds, event *proxyEvents) {
	if _, known := c.proxies[event.proxy]; !known {
		return
	}
	c.decisions.addAcknowledgement()
	c.balancer.Acknowledged(now, event.proxy, uint32(event.acknowledgedSequence))
}

func (c *Controller) deliverReports(now model.Microseconds, reports []model.LoadReport) {
	for _, report := range reports {
		c.balancer.LoadReported(now, report)
	}
	c.latestReports.add(now, reports)
	c.decisions.addReports(len(reports))
}

func (c *Controller) fireTimer(now model.Microseconds) {
	if now < c.wakeAt {
		return
	}
	c.decisions.addTimer()
	c.balancer.TimerFired(now)
}

// publish sends the pending batch unless it is empty and requests no acknowledgement.
func (c *Controller) publish(now model.Microseconds) {
	if c.pending.Empty() && c.pending.AckSequence == snapshot.NoAckSequence {
		return
	}
	c.pending.At = now
	c.proxyServer.Publish(c.pending)
}

func newBatch() *snapshot.Batch {
	return &snapshot.Batch{AckSequence: snapshot.NoAckSequence, Partial: true}
}

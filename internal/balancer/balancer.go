package balancer

import (
	"peppervale/internal/model"
)

const (
	// ticksPerReport is the number of timer ticks in a report period.
	ticksPerReport = 5
	// minTick is the shortest timer period. It bounds the CPU time used where the report period is short.
	minTick = 50 * model.Millisecond
	// resubscribeDelay is the time from a failed poll of the endpoint list to the next subscription. Subscribing again
	// at once would add to the load of a failing server.
	resubscribeDelay = model.Second
)

// Balancer holds the state of one balancer instance. Its methods must not be called concurrently.
type Balancer struct {
	config    model.Config
	publisher model.Publisher
	now       model.Microseconds
	random    randomSource

	replicas     []*replica // in random order
	replicasByID map[model.ReplicaID]*replica
	// hasCachedList: a former incarnation has left its endpoint list. Without one nothing is known of its proxies.
	hasCachedList bool
	proxies       []*proxy // in the order in which they connected
	proxiesByID   map[model.ProxyID]*proxy

	safeMode  safeMode
	deadlines deadlineQueue
	load      fleetLoad
	shedder   loadShedder
	subsets   subsetTables
	binder    binder
	window    sendWindow

	timerFired    bool               // the timer fired since the last flush
	fleetChanged  bool               // a proxy connected or a replica changed since the last flush
	weightsSentAt model.Microseconds // when routine weight changes were last sent
}

// New creates a balancer, subscribes it to the endpoint list if the list is sent to subscribers only, sets its timer,
// starts its start window and publishes the first quotas. The balancer keeps the publisher, and calls it only from
// within its own methods.
func New(config model.Config, publisher model.Publisher, now model.Microseconds) *Balancer {
	balancer := &Balancer{
		config:       config,
		publisher:    publisher,
		now:          now,
		random:       randomSource{seed: config.Seed},
		replicasByID: map[model.ReplicaID]*replica{},
		proxiesByID:  map[model.ProxyID]*proxy{},
		safeMode:     safeMode{state: safeModeActive},
		load:         newFleetLoad(config, now),
		shedder:      newLoadShedder(config),
		subsets:      newSubsetTables(config),
		binder:       newBinder(config.Zones),
		window:       newSendWindow(config),
	}
	balancer.deadlines.add(deadline{at: now + startWindow(config.ReportPeriod), kind: startWindowDeadline})
	publisher.SetTimer(balancer.tickPeriod())
	if config.SubscriptionRequired {
		publisher.Subscribe()
	}
	balancer.publishQuotas()
	return balancer
}

// tickPeriod is the period of the timer.
func (b *Balancer) tickPeriod() model.Microseconds {
	return max(b.config.ReportPeriod/ticksPerReport, minTick)
}

// EndpointsChanged handles an update of the endpoint list. A failed poll carries no endpoints: the balancer keeps the
// endpoints of earlier updates, and subscribes again after resubscribeDelay.
func (b *Balancer) EndpointsChanged(now model.Microseconds, update model.EndpointUpdate, endpoints []model.Endpoint) {
	b.now = now
	if update == model.PollFailed {
		b.deadlines.add(deadline{at: now + resubscribeDelay, kind: resubscribeDeadline})
		return
	}
	listed := map[*replica]bool{}
	for _, endpoint := range endpoints {
		r := b.findOrAddReplica(endpoint.ID)
		listed[r] = true
		b.updateEndpoint(r, endpoint)
	}
	if update != model.ChangedEntries {
		b.removeUnlisted(listed)
	}
	if update == model.CachedList {
		b.recordAvailability()
	}
}

// ProxyConnected adds a proxy whose stream is established; expectedRate is in requests a second. The proxy may still
// apply withdrawals of other balancers, and has not received the withdrawals of this balancer.
func (b *Balancer) ProxyConnected(now model.Microseconds, id model.ProxyID, zone int, expectedRate float64) {
	b.ProxyDisconnected(now, id)
	p := &proxy{id: id, zone: zone % b.config.Zones, expectedRate: expectedRate, state: unbound, connectedAt: now}
	b.proxies = append(b.proxies, p)
	b.proxiesByID[id] = p
	b.binder.lastConnectedAt = now
	b.fleetChanged = true
}

// ProxyDisconnected removes a proxy whose stream ended. Messages that the proxy has not acknowledged are lost. An
// unknown proxy is ignored.
func (b *Balancer) ProxyDisconnected(now model.Microseconds, id model.ProxyID) {
	b.now = now
	if p := b.proxiesByID[id]; p != nil {
		applyEvent(b, proxyTransitions, &p.state, streamEnded, p)
	}
}

// Acknowledged handles a proxy's acknowledgement of a message, given by its sequence number. It acknowledges every
// earlier message to the proxy too. An unknown proxy or sequence number is ignored.
func (b *Balancer) Acknowledged(now model.Microseconds, id model.ProxyID, sequence uint32) {
	b.now = now
	if p := b.proxiesByID[id]; p != nil {
		b.window.acknowledge(now, p, int(sequence))
	}
}

// LoadReported adds the attempts that a zone's proxies measured at a replica. A report on an unknown replica, or with
// contradictory figures, is dropped.
func (b *Balancer) LoadReported(now model.Microseconds, report model.LoadReport) {
	b.now = now
	r := b.replicasByID[report.Replica]
	if r == nil || isContradictory(report) {
		return
	}
	r.load.record(now, report, b.config.UtilizationField)
	b.load.reportedAttempts += float64(report.Attempts)
}

// TimerFired sets the timer again, handles the deadlines that are due and, once in a report period, processes the load
// reports that have arrived.
func (b *Balancer) TimerFired(now model.Microseconds) {
	b.now = now
	b.timerFired = true
	b.publisher.SetTimer(b.tickPeriod())
	for {
		d, due := b.deadlines.removeDue(now)
		if !due {
			break
		}
		b.handleDeadline(d)
	}
	if b.load.reportsDue(now, b.config.ReportPeriod) {
		b.processReports()
	}
}

// Flush publishes the updates that follow from the events since the last call. Call it after all events that have the
// same timestamp.
func (b *Balancer) Flush(now model.Microseconds) {
	b.now = now
	if b.timerFired || b.fleetChanged {
		b.window.releaseOvertaken(b.proxies)
		b.window.countAgedEntries(now, b.proxies)
		b.updateWithdrawalsWait()
		b.binder.clearCosts()
		b.readmitInSafeMode()
		b.bindProxies()
		b.withdrawReplicas()
		b.removeUnavailableEntries()
		b.sendDeferred(b.binder.withdrawalsBlocked)
		b.updateWeights()
		b.probeChannel()
		b.timerFired = false
		b.fleetChanged = false
	}
	b.finishMessage()
}

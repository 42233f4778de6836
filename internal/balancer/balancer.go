package balancer

import (
	"peppervale/internal/model"
)

const (
	// ticksPerReport: five, so that a round of binds takes about one report.
	ticksPerReport = 5
	// shortestTick bounds the work where reports come often.
	shortestTick = 50 * model.Millisecond
	// resubscribeDelay after a failed poll of the endpoint list: at once would add to the cause.
	resubscribeDelay = model.Second
)

// Balancer is one instance. Its methods must not be called concurrently.
type Balancer struct {
	config    model.Config
	publisher model.Publisher
	now       model.Microseconds
	random    randomSource

	replicas     []*replica // in random order
	replicasByID map[model.ReplicaID]*replica
	proxies      []*proxy // in the order connected
	proxiesByID  map[model.ProxyID]*proxy

	safeMode  safeMode
	deadlines deadlineQueue
	load      fleetLoad
	shedder   loadShedder
	subsets   subsetTables
	binder    binder
	window    sendWindow

	ticked        bool // the timer fired since the last flush
	changed       bool // a proxy connected or a replica changed since then
	weightsSentAt model.Microseconds
}

// New makes a balancer, subscribes it to the endpoint list if that answers only those who ask, sets its timer, starts
// its start window and publishes the first quotas. The balancer keeps the publisher, and calls it only from within its
// own methods.
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
	publisher.SetTimer(balancer.tick())
	if config.SubscriptionRequired {
		publisher.Subscribe()
	}
	balancer.publishQuotas()
	return balancer
}

// tick is the period of the one timer.
func (b *Balancer) tick() model.Microseconds {
	return max(b.config.ReportPeriod/ticksPerReport, shortestTick)
}

// EndpointsChanged takes news of the endpoint list. After a failed poll, which has no endpoints, what was known stays
// and the balancer subscribes again.
func (b *Balancer) EndpointsChanged(now model.Microseconds, update model.EndpointUpdate, endpoints []model.Endpoint) {
	b.now = now
	if update == model.PollFailed {
		b.deadlines.add(deadline{at: now + resubscribeDelay, kind: resubscribeDeadline})
		return
	}
	named := map[*replica]bool{}
	for _, endpoint := range endpoints {
		r := b.findOrAddReplica(endpoint.ID)
		named[r] = true
		b.updateEndpoint(r, endpoint)
	}
	if update != model.ChangedEntries {
		b.removeUnlisted(named)
	}
}

// ProxyConnected takes a proxy whose stream is established, with the requests a second that it expects. It may have old
// withdrawals, and lack ours.
func (b *Balancer) ProxyConnected(now model.Microseconds, id model.ProxyID, zone int, expectedRate float64) {
	b.ProxyDisconnected(now, id)
	p := &proxy{id: id, zone: zone % b.config.Zones, expectedRate: expectedRate, state: unbound}
	b.proxies = append(b.proxies, p)
	b.proxiesByID[id] = p
	b.binder.lastConnectedAt = now
	b.changed = true
}

// ProxyDisconnected takes the end of a proxy's stream; what it had not acknowledged is lost. An unknown proxy changes
// nothing.
func (b *Balancer) ProxyDisconnected(now model.Microseconds, id model.ProxyID) {
	b.now = now
	if p := b.proxiesByID[id]; p != nil {
		apply(b, proxyTransitions, &p.state, streamEnded, p)
	}
}

// Acknowledged takes a proxy's acknowledgement of a message, by its sequence number; it covers every earlier message
// too. An unknown proxy or number changes nothing.
func (b *Balancer) Acknowledged(now model.Microseconds, id model.ProxyID, sequence uint32) {
	b.now = now
	if p := b.proxiesByID[id]; p != nil {
		b.window.acknowledge(p, int(sequence))
	}
}

// LoadReported takes what a zone's proxies met at a replica. A report of an unknown replica, or one whose figures
// contradict themselves, is dropped.
func (b *Balancer) LoadReported(now model.Microseconds, report model.LoadReport) {
	b.now = now
	r := b.replicasByID[report.Replica]
	if r == nil || contradicts(report) {
		return
	}
	r.load.record(now, report, b.config.UtilizationField)
	b.load.arrived += float64(report.Attempts)
}

// TimerFired takes the one timer, and sets it again.
func (b *Balancer) TimerFired(now model.Microseconds) {
	b.now = now
	b.ticked = true
	b.publisher.SetTimer(b.tick())
	for {
		d, due := b.deadlines.next(now)
		if !due {
			break
		}
		b.meetDeadline(d)
	}
	if b.load.reportsDue(now, b.config.ReportPeriod) {
		b.digestReports()
	}
}

// Flush sends what this moment calls for. The caller calls it once every event of the moment is in.
func (b *Balancer) Flush(now model.Microseconds) {
	b.now = now
	if b.ticked || b.changed {
		b.window.measureAge(now, b.proxies)
		b.binder.forgetCosts()
		b.bindProxies()
		b.withdrawReplicas()
		b.removeUnavailableEntries()
		b.updateWeights()
		b.ticked = false
		b.changed = false
	}
	b.finishMessage()
}

package controller

import (
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// noAcknowledgement is the value of proxyEvents.acknowledged while no acknowledgement waits.
const noAcknowledgement = -1

// mailbox queues the events for the balancer. It keeps only the newest state of each proxy and of the endpoint list,
// whether a poll of the endpoint list failed, and one merged load report for each replica and zone. It does no I/O, its
// methods do not block, and it may be used from any goroutine.
type mailbox struct {
	signal chan struct{} // contains a value while a step is requested

	mu           sync.Mutex
	proxies      map[model.ProxyID]*proxySlot // for each proxy with an open stream or waiting events
	waitingSlots []*proxySlot                 // slots with waiting events, in the order of their first event
	endpoints    *endpointEvent               // the waiting endpoint list; nil: none
	pollFailed   bool                         // a failed poll waits
	reports      pendingReports
}

// proxyEvents are the waiting events of one proxy. They are delivered in the order disconnected, connected,
// acknowledged.
type proxyEvents struct {
	proxy  model.ProxyID
	stream uint64 // the newest stream that was opened; 0: none is open
	join   pubsubmsg.Join
	zone   int

	disconnected         bool // the stream that is registered with the balancer has ended
	connected            bool // the newest stream is not yet registered with the balancer
	acknowledgedSequence int  // the newest acknowledgement sequence, or noAcknowledgement
}

// proxySlot is the mailbox's state of one proxy.
type proxySlot struct {
	proxyEvents
	isWaiting bool // it is in mailbox.waitingSlots
}

// clearEvents removes the events after they were drained.
func (s *proxySlot) clearEvents() {
	s.isWaiting = false
	s.disconnected = false
	s.connected = false
	s.acknowledgedSequence = noAcknowledgement
}

// endpointEvent is an event of endpoint discovery.
type endpointEvent struct {
	update  model.EndpointUpdate
	entries []model.Endpoint
}

// receivedEvents are the events that one step delivers to the balancer.
type receivedEvents struct {
	endpoints []endpointEvent // at most a list and a failed poll, in this order
	proxies   []proxyEvents
	reports   []model.LoadReport
}

func newMailbox() *mailbox {
	return &mailbox{
		signal:  make(chan struct{}, 1),
		proxies: map[model.ProxyID]*proxySlot{},
		reports: pendingReports{byKey: map[reportKey]*mergedReport{}},
	}
}

// wake requests a step.
func (m *mailbox) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// waitingSlot returns a proxy's slot after adding it to the slots with waiting events. The caller holds m.mu.
func (m *mailbox) waitingSlot(proxy model.ProxyID) *proxySlot {
	slot := m.proxies[proxy]
	if slot == nil {
		slot = &proxySlot{proxyEvents: proxyEvents{proxy: proxy, acknowledgedSequence: noAcknowledgement}}
		m.proxies[proxy] = slot
	}
	if !slot.isWaiting {
		slot.isWaiting = true
		m.waitingSlots = append(m.waitingSlots, slot)
	}
	return slot
}

// isNewestStream reports whether a stream is the newest of its proxy. The caller holds m.mu.
func (m *mailbox) isNewestStream(proxy model.ProxyID, stream uint64) bool {
	slot := m.proxies[proxy]
	return slot != nil && slot.stream == stream
}

func (m *mailbox) proxyConnected(proxy model.ProxyID, stream uint64, join pubsubmsg.Join, zone int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.waitingSlot(proxy)
	slot.stream = stream
	slot.join = join
	slot.zone = zone
	slot.connected = true
	slot.acknowledgedSequence = noAcknowledgement
	m.wake()
}

func (m *mailbox) proxyDisconnected(proxy model.ProxyID, stream uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isNewestStream(proxy, stream) {
		return
	}
	slot := m.waitingSlot(proxy)
	slot.stream = 0
	slot.connected = false
	slot.disconnected = true
	slot.acknowledgedSequence = noAcknowledgement
	m.wake()
}

// acknowledged has no effect while the connection of the stream itself waits, as no message can have been sent over it.
func (m *mailbox) acknowledged(proxy model.ProxyID, stream uint64, sequence uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isNewestStream(proxy, stream) || m.proxies[proxy].connected {
		return
	}
	m.waitingSlot(proxy).acknowledgedSequence = int(sequence)
	m.wake()
}

// loadReported does not request a step: reports are delivered in the next one.
func (m *mailbox) loadReported(zone int, reports []model.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range reports {
		m.reports.add(zone, &reports[i])
	}
}

// endpointsChanged replaces the waiting list, or records a failed poll. A list and a failure never replace each other:
// endpoint discovery stops at a failure until the balancer subscribes again; without the failure it stops for good.
func (m *mailbox) endpointsChanged(update model.EndpointUpdate, entries []model.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update == model.PollFailed {
		m.pollFailed = true
	} else {
		m.endpoints = &endpointEvent{update, entries}
		m.reports.addListed(entries)
	}
	m.wake()
}

// addListed makes the replicas of an endpoint list known, so that reports on them are accepted.
func (m *mailbox) addListed(entries []model.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports.addListed(entries)
}

// drain removes and returns all waiting events, with at most reportLimit load reports.
func (m *mailbox) drain(reportLimit int) receivedEvents {
	m.mu.Lock()
	defer m.mu.Unlock()
	return receivedEvents{
		endpoints: m.drainEndpoints(),
		proxies:   m.drainProxies(),
		reports:   m.reports.take(reportLimit),
	}
}

// drainEndpoints removes and returns the waiting events of endpoint discovery. A failure that came before the list is
// delivered after it: the balancer then subscribes during a subscription, which has no effect. The caller holds m.mu.
func (m *mailbox) drainEndpoints() []endpointEvent {
	var events []endpointEvent
	if m.endpoints != nil {
		events = append(events, *m.endpoints)
		m.endpoints = nil
	}
	if m.pollFailed {
		events = append(events, endpointEvent{update: model.PollFailed})
		m.pollFailed = false
	}
	return events
}

// drainProxies removes and returns the waiting events of all proxies, and deletes the slots of proxies without an open
// stream. The caller holds m.mu.
func (m *mailbox) drainProxies() []proxyEvents {
	var events []proxyEvents
	for _, slot := range m.waitingSlots {
		events = append(events, slot.proxyEvents)
		slot.clearEvents()
		if slot.stream == 0 {
			delete(m.proxies, slot.proxy)
		}
	}
	m.waitingSlots = nil
	return events
}

// reportCounts returns the number of waiting load reports, and the numbers of reports merged and dropped since the
// start.
func (m *mailbox) reportCounts() (pending int, merged, dropped uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reports.order), m.reports.mergedCount, m.reports.droppedCount
}

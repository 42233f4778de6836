package controller

import (
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// noSequence stands where no acknowledgement is waiting.
const noSequence = -1

// mailbox keeps the events that wait for the balancer: of each proxy, of the endpoint list and of each replica and zone
// only the newest state. It does no I/O, and every method returns at once. It may be used from any goroutine.
type mailbox struct {
	signal chan struct{} // has a value while a step is wanted

	mu        sync.Mutex
	proxies   map[model.ProxyID]*proxySlot // those with an open stream or with waiting events
	waiting   []*proxySlot                 // those with waiting events, in the order of their first one
	endpoints *endpointEvent               // nil: none waits
	reports   pendingReports
}

// proxyEvents are the events of one proxy that wait, in the order in which they are delivered.
type proxyEvents struct {
	proxy  model.ProxyID
	stream uint64 // the newest that was opened; 0: none is open
	join   pubsubmsg.Join
	zone   int

	disconnected bool // the stream that the balancer knows of has ended
	connected    bool // the newest stream is not known to the balancer
	acknowledged int  // the newest acknowledgement sequence, or noSequence
}

// proxySlot is the mailbox's state of one proxy.
type proxySlot struct {
	proxyEvents
	isWaiting bool // it is in mailbox.waiting
}

// clearEvents forgets the events, which have been taken.
func (s *proxySlot) clearEvents() {
	s.isWaiting = false
	s.disconnected = false
	s.connected = false
	s.acknowledged = noSequence
}

// endpointEvent is what endpoint discovery reported last.
type endpointEvent struct {
	update  model.EndpointUpdate
	entries []model.Endpoint
}

// receivedEvents are the events that one step delivers to the balancer.
type receivedEvents struct {
	endpoints *endpointEvent // nil: none came
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

// wake asks for a step.
func (m *mailbox) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// waitingSlot returns a proxy's slot, which it adds to those with waiting events. The caller holds m.mu.
func (m *mailbox) waitingSlot(proxy model.ProxyID) *proxySlot {
	slot := m.proxies[proxy]
	if slot == nil {
		slot = &proxySlot{proxyEvents: proxyEvents{proxy: proxy, acknowledged: noSequence}}
		m.proxies[proxy] = slot
	}
	if !slot.isWaiting {
		slot.isWaiting = true
		m.waiting = append(m.waiting, slot)
	}
	return slot
}

// hasNewest reports whether a stream is the newest of its proxy. The caller holds m.mu.
func (m *mailbox) hasNewest(proxy model.ProxyID, stream uint64) bool {
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
	slot.acknowledged = noSequence
	m.wake()
}

func (m *mailbox) proxyDisconnected(proxy model.ProxyID, stream uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasNewest(proxy, stream) {
		return
	}
	slot := m.waitingSlot(proxy)
	slot.stream = 0
	slot.connected = false
	slot.disconnected = true
	slot.acknowledged = noSequence
	m.wake()
}

// acknowledged is ignored while the stream's connection itself waits: nothing can have been sent over it.
func (m *mailbox) acknowledged(proxy model.ProxyID, stream uint64, sequence uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasNewest(proxy, stream) || m.proxies[proxy].connected {
		return
	}
	m.waitingSlot(proxy).acknowledged = int(sequence)
	m.wake()
}

// loadReported does not ask for a step: reports wait for the next one.
func (m *mailbox) loadReported(zone int, reports []model.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range reports {
		m.reports.add(zone, &reports[i])
	}
}

// endpointsChanged replaces the event that waits. A failed poll does not replace a list; then the list counts as a
// complete one, and the balancer subscribes anew at the next failure.
func (m *mailbox) endpointsChanged(update model.EndpointUpdate, entries []model.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	listWaits := m.endpoints != nil && m.endpoints.update != model.PollFailed
	if update == model.PollFailed && listWaits {
		m.endpoints.update = model.FullList
		return
	}
	m.endpoints = &endpointEvent{update, entries}
	m.wake()
}

// drain takes everything that waits, but at most reportLimit load reports.
func (m *mailbox) drain(reportLimit int) receivedEvents {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := receivedEvents{endpoints: m.endpoints, proxies: m.drainProxies(), reports: m.reports.take(reportLimit)}
	m.endpoints = nil
	return events
}

// drainProxies takes the waiting events of all proxies and forgets the proxies without an open stream. The caller holds
// m.mu.
func (m *mailbox) drainProxies() []proxyEvents {
	var events []proxyEvents
	for _, slot := range m.waiting {
		events = append(events, slot.proxyEvents)
		slot.clearEvents()
		if slot.stream == 0 {
			delete(m.proxies, slot.proxy)
		}
	}
	m.waiting = nil
	return events
}

// reportCounts returns how many load reports wait and how many were merged since the start.
func (m *mailbox) reportCounts() (pending int, merged uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reports.order), m.reports.merged
}

package controller

import (
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// mailbox keeps what came for the module. It is free of I/O; every method returns at once.
type mailbox struct {
	mu      sync.Mutex
	signal  chan struct{}
	zones   int
	streams map[model.ProxyID]*slot
	dirty   []*slot // in the order of their first news
	list    *news   // the newest
	sums    map[key]*folded
	turn    []key // in the order of the oldest news
	folds   uint64
}

// slot is what waits of one forwarder.
type slot struct {
	proxy   model.ProxyID
	dirty   bool
	stream  uint64 // the newest that came; 0: none is open
	join    pubsubmsg.Join
	zone    int
	joined  bool // a join waits
	left    bool // the stream that the module knows of has ended
	receipt int  // -1: none waits
}

type news struct {
	scope   model.EndpointUpdate
	entries []model.Endpoint
}

type key struct {
	zone    int
	replica model.ReplicaID
}

type folded struct {
	sum   model.LoadReport
	time  float64 // of the good tries together, microseconds
	ready bool    // its period has passed once: it waits for its turn only
}

func newMailbox() *mailbox {
	return &mailbox{signal: make(chan struct{}, 1), streams: map[model.ProxyID]*slot{}, sums: map[key]*folded{}}
}

func (m *mailbox) ring() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// of gives a forwarder's slot and notes that there is news in it; m.mu is held.
func (m *mailbox) of(p model.ProxyID) *slot {
	s := m.streams[p]
	if s == nil {
		s = &slot{proxy: p, receipt: -1}
		m.streams[p] = s
	}
	if !s.dirty {
		s.dirty = true
		m.dirty = append(m.dirty, s)
	}
	return s
}

// ProxyConnected notes a forwarder's new stream; a join that still waited is replaced by it.
func (m *mailbox) ProxyConnected(p model.ProxyID, stream uint64, j pubsubmsg.Join, zone int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.of(p)
	s.stream, s.join, s.zone, s.joined, s.receipt = stream, j, zone, true, -1
	m.ring()
}

// ProxyDisconnected notes a stream's end; that of an older stream than the newest says nothing.
func (m *mailbox) ProxyDisconnected(p model.ProxyID, stream uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.streams[p]; s != nil && s.stream == stream {
		s = m.of(p)
		s.stream, s.joined, s.left, s.receipt = 0, false, true, -1
		m.ring()
	}
}

// Acknowledged notes a receipt of the newest stream; it covers those before it.
func (m *mailbox) Acknowledged(p model.ProxyID, stream uint64, receipt uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.streams[p]; s != nil && s.stream == stream && !s.joined {
		m.of(p).receipt = int(receipt)
		m.ring()
	}
}

// LoadReported folds a forwarder's sums into those of its zone.
func (m *mailbox) LoadReported(zone int, sums []model.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range sums {
		if n.Attempts <= 0 {
			continue
		}
		k := key{zone, n.Replica}
		f := m.sums[k]
		if f == nil {
			f = &folded{sum: model.LoadReport{Zone: zone, Replica: n.Replica}}
			m.sums[k] = f
			m.turn = append(m.turn, k)
		} else if f.ready {
			m.folds++
		}
		f.sum.Attempts += n.Attempts
		f.sum.Errors += n.Errors
		f.sum.Window = max(f.sum.Window, n.Window)
		f.time += float64(n.Attempts-n.Errors) * float64(n.MeanLatency)
		if len(n.Readings) > 0 {
			f.sum.Readings = n.Readings
		}
	}
}

// EndpointsChanged notes news of the machine list. A whole list replaces what waits; a failed call never hides one.
func (m *mailbox) EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if scope == model.PollFailed && m.list != nil && m.list.scope != model.PollFailed {
		m.list.scope = model.FullList // the module asks again at its next failure
		return
	}
	m.list = &news{scope, entries}
	m.ring()
}

// taken is what a step hands to the module.
type taken struct {
	list  *news
	slots []slot
	sums  []model.LoadReport
}

// take empties the mailbox but for sums beyond most.
func (m *mailbox) take(most int) (t taken) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.list, m.list = m.list, nil
	for _, s := range m.dirty {
		t.slots = append(t.slots, *s)
		s.dirty, s.joined, s.left, s.receipt = false, false, false, -1
		if s.stream == 0 {
			delete(m.streams, s.proxy)
		}
	}
	m.dirty = nil
	n := min(most, len(m.turn))
	for _, k := range m.turn[:n] {
		f := m.sums[k]
		if good := f.sum.Attempts - f.sum.Errors; good > 0 {
			f.sum.MeanLatency = model.Microseconds(f.time / float64(good))
		}
		t.sums = append(t.sums, f.sum)
		delete(m.sums, k)
	}
	m.turn = append([]key(nil), m.turn[n:]...)
	for _, k := range m.turn {
		m.sums[k].ready = true
	}
	return t
}

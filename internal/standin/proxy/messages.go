package proxy

import (
	"strconv"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// resyncInterval is the minimum time between two snapshot requests: instances answer at most one a second.
const resyncInterval = model.Second + 50*model.Millisecond

// messageOrder says whether a message directly follows the newest applied message.
type messageOrder uint8

const (
	inOrder messageOrder = iota
	outdated
	afterGap
)

// compareVersion compares a message with the newest applied message of the same instance. A snapshot is out of order
// only if the proxy is bound and has applied a newer message of the same incarnation.
func (s *stream) compareVersion(m *pubsubmsg.Message) messageOrder {
	applied := s.proxy.appliedVersions[s.instance.Name]
	sameIncarnation := m.Incarnation == applied.incarnation
	switch {
	case m.Full && (!sameIncarnation || m.Version >= applied.version || !s.proxy.table.bound):
		return inOrder
	case sameIncarnation && m.Version <= applied.version:
		return outdated
	case !sameIncarnation || m.PreviousVersion != applied.version:
		return afterGap
	}
	return inOrder
}

// handleMessage applies a table message that is in order, acknowledges an outdated one without applying it, and
// requests a snapshot after a gap. A message of a former lease holder is reported as fenced and not applied.
func (s *stream) handleMessage(m *pubsubmsg.Message) {
	if !s.proxy.acceptEpoch(m.Epoch) {
		s.reportFenced(m)
		return
	}
	switch s.compareVersion(m) {
	case outdated:
		s.acknowledge(m)
	case afterGap:
		s.resync()
	case inOrder:
		s.applyMessage(m)
	}
}

func (s *stream) applyMessage(m *pubsubmsg.Message) {
	p := s.proxy
	p.Messages++
	p.EntriesReceived += m.Cost
	p.appliedVersions[s.instance.Name] = appliedVersion{m.Incarnation, m.Version}
	p.applyToTable(m)
	if p.OnMessage != nil {
		p.OnMessage(p, s.instance.Name, m)
	}
	if p.StallPerEntry > 0 {
		p.Stall(p.StallPerEntry * model.Microseconds(len(m.Entries)))
	}
	p.runAfterStall(func() { s.acknowledge(m) })
}

// reportFenced notifies an instance that its message was not applied because the proxy has seen a newer epoch.
func (s *stream) reportFenced(m *pubsubmsg.Message) {
	s.proxy.Fenced++
	formatNumber := func(n uint64) string { return strconv.FormatUint(n, 10) }
	_, _ = s.conn.Write(resp.AppendCommand(nil, "FENCED",
		formatNumber(m.Epoch), formatNumber(m.Incarnation), formatNumber(m.Version)))
}

// resync requests a snapshot, unless one was requested within the last resyncInterval.
func (s *stream) resync() {
	now := s.proxy.loop.Now()
	if s.resyncRequestedAt != 0 && now-s.resyncRequestedAt <= resyncInterval {
		return
	}
	s.resyncRequestedAt = now
	s.proxy.Resyncs++
	_, _ = s.conn.Write(resp.AppendCommand(nil, "RESYNC"))
}

// acknowledge acknowledges a message if the instance has requested it.
func (s *stream) acknowledge(m *pubsubmsg.Message) {
	if s.proxy.Misbehavior.NeverAcks || m.AckSequence < 0 || s.isClosed {
		return
	}
	_, _ = s.conn.Write(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{
		Incarnation: m.Incarnation,
		Version:     m.Version,
		Sequence:    m.AckSequence,
	}))
}

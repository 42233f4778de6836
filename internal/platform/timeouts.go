package platform

import (
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// idleTimeoutFactor is the multiple of Limits.SilenceTimeout for which a stream with a pending acknowledgement may send
// nothing, whether or not other streams acknowledge: the platform's channel can be five times slower than its
// configured rate.
const idleTimeoutFactor = 5

// checkTimeouts ends connections that did not join in time and streams whose proxy's host has vanished. TCP does not
// report a vanished host. It is detected because neither acknowledgements nor other messages arrive from it.
//
// The platform's channel delivers messages one after another at a limited rate, so an acknowledgement is overdue only
// once another stream has acknowledged a message that was sent later. Without this rule, a stream would be ended
// because its message is still queued. A stream whose oldest acknowledgement is pending and which sends nothing, both
// for idleTimeoutFactor * Limits.SilenceTimeout, is ended regardless.
//
// Two kinds of streams are asked for an acknowledgement again: those with an overdue acknowledgement, which was lost if
// the stream still sends messages, and silent ones without a pending acknowledgement, whose host may have vanished.
// Each check asks one of them, with a message that changes nothing. The cost of this message fits into the messages and
// entries that the balancer leaves unused in each proxy's budget. The requested acknowledgement covers all earlier
// ones, which stay pending until it arrives.
func (s *Server) checkTimeouts() {
	s.mu.Lock()
	now := s.config.Now()
	timedOutConnections := s.connectionsNotJoinedInTime(now)
	var retryStream *stream
	for _, stream := range s.streams {
		stream.acks.markOvertaken(s.progress.newestAcknowledged, now)
		switch {
		case s.isSilent(stream, now):
			s.stats.ClosedAsSilent++
			s.config.Log.Warn().Int("proxy", int(stream.proxy)).Msg("stream closed: proxy is silent")
			timedOutConnections = append(timedOutConnections, stream.conn)
		case s.shouldRetryAck(stream, now) && retriedEarlier(stream, retryStream):
			retryStream = stream
		}
	}
	if retryStream != nil {
		s.retryAck(retryStream, now)
	}
	s.unregister(timedOutConnections...)
	s.mu.Unlock()
	s.connections.CloseOnPoller(timedOutConnections...)
}

// connectionsNotJoinedInTime returns the connections that did not join in time; s.mu is held.
func (s *Server) connectionsNotJoinedInTime(now model.Microseconds) (connections []*connection) {
	for element := s.awaitingJoin.Front(); element != nil; element = element.Next() {
		c := element.Value.(*connection)
		if now-c.openedAt < model.MicrosecondsOf(s.config.Limits.GreetingTimeout) {
			break
		}
		connections = append(connections, c)
	}
	return connections
}

// markOvertaken records when the oldest pending acknowledgement was first seen to be overtaken.
func (q *ackQueue) markOvertaken(newestAcknowledged uint64, now model.Microseconds) {
	if len(q.pending) > 0 && q.overtakenSince == 0 && newestAcknowledged > q.pending[0].messageNumber {
		q.overtakenSince = now
	}
}

// overdueFor returns how long ago the oldest pending acknowledgement was overtaken, or 0 if it was not.
func (q *ackQueue) overdueFor(now model.Microseconds) model.Microseconds {
	if q.overtakenSince > 0 {
		return now - q.overtakenSince
	}
	return 0
}

// silentFor returns the time since the connection last received anything.
func (c *connection) silentFor(now model.Microseconds) model.Microseconds {
	return now - model.Microseconds(c.lastReceivedAt.Load())
}

// isSilent reports whether a stream's proxy counts as vanished; s.mu is held.
func (s *Server) isSilent(stream *stream, now model.Microseconds) bool {
	limit := model.MicrosecondsOf(s.config.Limits.SilenceTimeout)
	silentFor := stream.conn.silentFor(now)
	if stream.acks.overdueFor(now) > limit && silentFor > limit {
		return true
	}
	pending := stream.acks.pending
	return len(pending) > 0 && min(now-pending[0].sentAt, silentFor) > idleTimeoutFactor*limit
}

// shouldRetryAck reports whether a stream's acknowledgement is to be requested again; s.mu is held.
func (s *Server) shouldRetryAck(stream *stream, now model.Microseconds) bool {
	interval := model.MicrosecondsOf(s.config.Limits.AckRetryInterval)
	if stream.subscriber == nil || now-stream.acks.retriedAt <= interval {
		return false
	}
	hasNoPendingAck := len(stream.acks.pending) == 0
	return stream.acks.overdueFor(now) > interval || hasNoPendingAck && stream.conn.silentFor(now) > interval
}

// retriedEarlier reports whether a stream's last retry is older than that of the other stream; other may be nil.
func retriedEarlier(stream, other *stream) bool {
	return other == nil || stream.acks.retriedAt < other.acks.retriedAt
}

// retryAck requests a stream's newest acknowledgement again; s.mu is held.
func (s *Server) retryAck(stream *stream, now model.Microseconds) {
	queue := &stream.acks
	queue.retriedAt = now
	queue.retriedSequence = queue.newestSequence
	s.stats.AckRetries++
	if len(queue.pending) == 0 {
		s.addPendingAck(queue, now)
	}
	update := platformmsg.Update{AckSequence: int(queue.newestSequence)}
	encoded, _ := update.Append(nil) // an update without lists always fits
	s.connections.Write(stream.conn, encoded)
}

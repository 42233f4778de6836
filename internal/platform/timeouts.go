package platform

import (
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// idleTimeoutFactor is the multiple of Limits.SilenceTimeout for which a stream may send nothing while no stream
// acknowledges anything: the platform's channel can be five times slower than its stated pace.
const idleTimeoutFactor = 5

// checkTimeouts ends connections that did not join in time and streams whose proxy's host has vanished. TCP does not
// report a vanished host, but its pending acknowledgements and all other messages of the stream fail to arrive.
//
// The platform's channel delivers messages one after another at its own pace, so an acknowledgement is overdue only
// once another stream has acknowledged a message that was sent later. Without this rule, a stream would be ended
// because its message is still queued. A stream that is silent for idleTimeoutFactor times as long is ended regardless.
//
// If a stream sends messages but an acknowledgement is overdue, the acknowledgement was lost. A stream that sends
// nothing may have vanished without a pending acknowledgement. Each check requests an acknowledgement again from one of
// these streams, with a message that changes nothing. Its cost fits into the messages and entries that the balancer
// leaves unused in each proxy's budget. The new acknowledgement covers all earlier requests. The retry itself does not
// count as an acknowledgement.
func (s *Server) checkTimeouts() {
	s.mu.Lock()
	now := s.config.Now()
	ended := s.timedOutGreetings(now)
	var retryStream *stream
	for _, stream := range s.streams {
		stream.acks.markOvertaken(s.progress.acknowledged, now)
		switch {
		case s.isSilent(stream, now):
			s.stats.Silent++
			s.config.Log.Warn().Int("proxy", int(stream.proxy)).Msg("stream closed: proxy is silent")
			ended = append(ended, stream.conn)
		case s.shouldRetryAck(stream, now) && retriedEarlier(stream, retryStream):
			retryStream = stream
		}
	}
	if retryStream != nil {
		s.retryAck(retryStream, now)
	}
	s.unregister(ended...)
	s.mu.Unlock()
	s.connections.CloseOnPoller(ended...)
}

// timedOutGreetings returns the connections that did not join in time; s.mu is held.
func (s *Server) timedOutGreetings(now model.Microseconds) (overdue []*connection) {
	for element := s.unauthenticated.Front(); element != nil; element = element.Next() {
		c := element.Value.(*connection)
		if now-c.openedAt < microseconds(s.config.Limits.GreetingTimeout) {
			break
		}
		overdue = append(overdue, c)
	}
	return overdue
}

// markOvertaken records when the oldest pending acknowledgement was first seen to be overtaken.
func (q *ackQueue) markOvertaken(newestAcknowledged uint64, now model.Microseconds) {
	if len(q.pending) > 0 && q.overtakenSince == 0 && newestAcknowledged > q.pending[0].number {
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
	limit := microseconds(s.config.Limits.SilenceTimeout)
	silent := stream.conn.silentFor(now)
	if stream.acks.overdueFor(now) > limit && silent > limit {
		return true
	}
	pending := stream.acks.pending
	return len(pending) > 0 && min(now-pending[0].sentAt, silent) > idleTimeoutFactor*limit
}

// shouldRetryAck reports whether a stream's acknowledgement is to be requested again; s.mu is held.
func (s *Server) shouldRetryAck(stream *stream, now model.Microseconds) bool {
	interval := microseconds(s.config.Limits.AckRetryInterval)
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
	queue.retriedSequence = queue.newest
	s.stats.AckRetries++
	if len(queue.pending) == 0 {
		s.addPendingAck(queue, now)
	}
	update := platformmsg.Update{AckSequence: int(queue.newest)}
	encoded, _ := update.Append(nil) // an update without lists always fits
	s.connections.Write(stream.conn, encoded)
}

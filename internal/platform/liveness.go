package platform

import (
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// idleChannelFactor is how many times Limits.SilenceTimeout a stream may send nothing while no stream acknowledges
// anything: the platform's channel was measured to be up to five times slower than its stated pace.
const idleChannelFactor = 5

// checkLiveness ends connections that did not join in time and streams whose proxy's host has vanished. TCP
// does not report the latter, but the acknowledgements that they owe do not come, nor does anything else.
//
// The platform's channel carries messages one after another at a pace of its own, so an acknowledgement is overdue
// only once another stream has acknowledged a message that was sent later. Before that, a stream would be ended for
// the queue that its message waits in, unless it is silent for idleChannelFactor times as long.
//
// A stream that sends messages and still owes an acknowledgement has lost it, and one that sends nothing may be gone
// without owing any. Each check asks one of them again, with a message that changes nothing. Its cost lies within the
// messages and entries that the balancer leaves unused of each proxy's budget. The acknowledgement covers all that
// was asked for before it, and being asked again acknowledges nothing.
func (s *Server) checkLiveness() {
	s.mu.Lock()
	now := s.config.Now()
	ended := s.overdueGreetings(now)
	var toAsk *stream
	for _, stream := range s.streams {
		stream.acks.noteOvertaken(s.progress.acknowledged, now)
		switch {
		case s.isSilent(stream, now):
			s.stats.Silent++
			s.config.Log.Warn().Int("proxy", int(stream.proxy)).Msg("stream closed: proxy is silent")
			ended = append(ended, stream.conn)
		case s.shouldAskAgain(stream, now) && askedBefore(stream, toAsk):
			toAsk = stream
		}
	}
	if toAsk != nil {
		s.askAgain(toAsk, now)
	}
	s.remove(ended...)
	s.mu.Unlock()
	s.connections.CloseOnPoller(ended...)
}

// overdueGreetings are the connections that did not join in time; s.mu is held.
func (s *Server) overdueGreetings(now model.Microseconds) (overdue []*connection) {
	for element := s.unauthenticated.Front(); element != nil; element = element.Next() {
		c := element.Value.(*connection)
		if now-c.openedAt < microseconds(s.config.Limits.GreetingTimeout) {
			break
		}
		overdue = append(overdue, c)
	}
	return overdue
}

// noteOvertaken notes when the oldest pending acknowledgement was first seen to be overtaken.
func (q *ackQueue) noteOvertaken(newestAcknowledged uint64, now model.Microseconds) {
	if len(q.pending) > 0 && q.overtakenAt == 0 && newestAcknowledged > q.pending[0].number {
		q.overtakenAt = now
	}
}

// overdueFor is how long the oldest pending acknowledgement has been overtaken; 0: it is not.
func (q *ackQueue) overdueFor(now model.Microseconds) model.Microseconds {
	if q.overtakenAt > 0 {
		return now - q.overtakenAt
	}
	return 0
}

// silentFor is how long nothing has come on the connection.
func (c *connection) silentFor(now model.Microseconds) model.Microseconds {
	return now - model.Microseconds(c.lastReceivedAt.Load())
}

// isSilent reports whether a stream's proxy is taken as vanished; s.mu is held.
func (s *Server) isSilent(stream *stream, now model.Microseconds) bool {
	limit := microseconds(s.config.Limits.SilenceTimeout)
	silent := stream.conn.silentFor(now)
	if stream.acks.overdueFor(now) > limit && silent > limit {
		return true
	}
	pending := stream.acks.pending
	return len(pending) > 0 && min(now-pending[0].sentAt, silent) > idleChannelFactor*limit
}

// shouldAskAgain reports whether a stream is to be asked again for its acknowledgement; s.mu is held.
func (s *Server) shouldAskAgain(stream *stream, now model.Microseconds) bool {
	interval := microseconds(s.config.Limits.AckRetryInterval)
	if stream.subscriber == nil || now-stream.acks.askedAgainAt <= interval {
		return false
	}
	owesNothing := len(stream.acks.pending) == 0
	return stream.acks.overdueFor(now) > interval || owesNothing && stream.conn.silentFor(now) > interval
}

// askedBefore reports whether a stream was last asked again before the other one, if there is another.
func askedBefore(stream, other *stream) bool {
	return other == nil || stream.acks.askedAgainAt < other.acks.askedAgainAt
}

// askAgain asks a stream once more for its newest acknowledgement; s.mu is held.
func (s *Server) askAgain(stream *stream, now model.Microseconds) {
	queue := &stream.acks
	queue.askedAgainAt = now
	queue.askedAgainSequence = queue.newest
	s.stats.AckRetries++
	if len(queue.pending) == 0 {
		s.expectAck(queue, now)
	}
	update := platformmsg.Update{AckSequence: int(queue.newest)}
	encoded, _ := update.Append(nil) // an update without lists always fits
	s.connections.Write(stream.conn, encoded)
}

package pubsub

import (
	"fmt"
	"time"

	"peppervale/internal/model"
)

// silenceCheckInterval is how often streams are checked for silent proxies.
const silenceCheckInterval = time.Second

// silenceState is when a stream was last heard of. A proxy is silent while an acknowledgement is due and nothing at all
// arrives; TCP does not report a machine that vanished.
type silenceState struct {
	newestSequence int                // acknowledgement sequence of the newest message that requests one
	ackDueSince    model.Microseconds // when the acknowledgements that are due began to be; 0: none is due
}

// recordSent records a message that requests an acknowledgement.
func (s *silenceState) recordSent(sequence int, now model.Microseconds) {
	s.newestSequence = sequence
	if s.ackDueSince == 0 {
		s.ackDueSince = now
	}
}

// recordAcknowledged records an acknowledgement. One of an older message leaves the newest one due.
func (s *silenceState) recordAcknowledged(sequence int, now model.Microseconds) {
	switch {
	case s.ackDueSince == 0:
	case sequence == s.newestSequence:
		s.ackDueSince = 0
	default:
		s.ackDueSince = now
	}
}

// endSilentStreams ends the streams whose proxies have neither acknowledged nor sent anything for
// Limits.SilenceTimeout; s.mu is held. The time in which the instance itself did not run does not count: what has
// arrived meanwhile is not read yet.
func (s *Server) endSilentStreams(now model.Microseconds) {
	if now-s.silenceCheckedAt < model.MicrosecondsOf(silenceCheckInterval) {
		return
	}
	if now-s.silenceCheckedAt > 2*model.MicrosecondsOf(silenceCheckInterval) {
		s.resumedAt = now
	}
	s.silenceCheckedAt = now
	timeout := s.config.Limits.SilenceTimeout
	for _, conn := range s.streams {
		if conn.Ended() || conn.silentFor(now, s.resumedAt) <= model.MicrosecondsOf(timeout) {
			continue
		}
		s.stats.Silent++
		s.peerLog.Warn().Str("proxy", conn.stream.join.Name).Str("peer", conn.Socket().RemoteAddr().String()).
			Msg("stream closed: proxy is silent")
		s.endWithError(conn, fmt.Sprintf(
			errorLater+" 1 milliseconds, then join again: nothing came for %d milliseconds while an acknowledgement is due; "+
				"keep what you hold", timeout.Milliseconds()))
	}
}

// silentFor returns how long the proxy has been silent, at most since resumedAt; Server.mu is held.
func (c *connection) silentFor(now, resumedAt model.Microseconds) model.Microseconds {
	if c.stream.silence.ackDueSince == 0 {
		return 0
	}
	lastReceivedAt := model.Microseconds(c.lastReceivedAt.Load())
	return now - max(c.stream.silence.ackDueSince, lastReceivedAt, resumedAt)
}

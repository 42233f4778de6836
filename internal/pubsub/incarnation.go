package pubsub

import (
	"fmt"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

const (
	// raiseInterval is the least time between two raises. It bounds the cost of peers that claim ever higher
	// incarnations: each raise sends every proxy a snapshot.
	raiseInterval = model.Second
	// maxIncarnation is the highest incarnation that a proxy may show. Far more starts than an instance has stay possible
	// above it.
	maxIncarnation = 1 << 62
)

// showsUsedIncarnation reports whether a JOIN proves that this instance has used its incarnation before, or a higher
// one: the proxy holds a version that this process has not reached. The state directory was lost then, is an older
// copy, or another instance runs under the same name. Such a proxy would drop all messages of this incarnation up to
// that version.
func (s *Server) showsUsedIncarnation(join pubsubmsg.Join) bool {
	own := s.publishedState
	isHigher := join.Incarnation > own.Incarnation && join.Incarnation <= maxIncarnation
	return isHigher || join.Incarnation == own.Incarnation && join.Version > own.Version
}

// admitIncarnation raises the incarnation above one that a JOIN shows to have been used before. It defers the proxy and
// returns false if the last raise is too recent; s.mu is held.
func (s *Server) admitIncarnation(conn *connection) bool {
	join := conn.stream.join
	if !s.showsUsedIncarnation(join) {
		return true
	}
	now := s.config.Now()
	if s.stats.IncarnationsRaised > 0 && now-s.raisedAt < raiseInterval {
		s.endWithError(conn, fmt.Sprintf(
			errorLater+" %d milliseconds, then join again: the incarnation was just raised; keep what you hold",
			raiseInterval/model.Millisecond))
		return false
	}
	s.raisedAt = now
	s.raiseIncarnation(join.Incarnation + 1)
	s.peerLog.Warn().Str("proxy", join.Name).Uint64("shown_incarnation", join.Incarnation).
		Uint64("shown_version", join.Version).Uint64("incarnation", s.publishedState.Incarnation).
		Msg("incarnation raised: a proxy shows that it was used before")
	return true
}

// raiseIncarnation makes all messages from now on those of a higher incarnation, also those that are queued, and sends
// each subscriber the complete state in it: proxies drop changes of an incarnation that they do not know. s.mu is held.
func (s *Server) raiseIncarnation(incarnation uint64) {
	s.stats.IncarnationsRaised++
	s.publishedState.Incarnation = incarnation
	if s.config.IncarnationRaised != nil {
		s.config.IncarnationRaised(incarnation)
	}
	for _, message := range s.queue.messages {
		message.delivery.Message.Incarnation = incarnation
	}
	for _, conn := range s.streams {
		if conn.stream.subscriber != nil {
			s.sendSnapshot(conn)
		}
	}
	for conn := range s.connections.Sessions() {
		if conn.isObserver {
			s.fold(conn) // it gets the complete state in the next check of slow readers
		}
	}
}

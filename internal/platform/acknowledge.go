package platform

import (
	"slices"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// maxPendingAcks bounds the acknowledgements that one stream may owe: hours of a calm fleet; beyond it the proxy
// acknowledges nothing.
const maxPendingAcks = 4096

// deliveryProgress numbers the messages that ask for an acknowledgement, over all streams.
type deliveryProgress struct {
	sent         uint64 // number of the newest that was sent
	acknowledged uint64 // number of the newest that was acknowledged, by any proxy
}

// ackQueue is what one stream owes.
type ackQueue struct {
	pending []pendingAck // the oldest first
	newest  uint32       // the newest sequence asked for on this stream

	askedAgainAt       model.Microseconds // when an acknowledgement was last asked for again; 0: never
	askedAgainSequence uint32             // the sequence asked for then

	// overtakenAt is when it was found that a message sent after the oldest pending one had been acknowledged on another
	// stream; 0: not yet.
	overtakenAt model.Microseconds
}

// pendingAck is one acknowledgement that a stream owes.
type pendingAck struct {
	sequence uint32
	sentAt   model.Microseconds
	number   uint64 // of the message, see deliveryProgress
}

// expectAck adds an acknowledgement to what the stream owes; s.mu is held.
func (s *Server) expectAck(queue *ackQueue, sentAt model.Microseconds) {
	s.progress.sent++
	queue.pending = append(queue.pending, pendingAck{queue.newest, sentAt, s.progress.sent})
}

// index is the index of a sequence in pending; -1: it is not pending.
func (q *ackQueue) index(sequence uint32) int {
	return slices.IndexFunc(q.pending, func(ack pendingAck) bool { return ack.sequence == sequence })
}

// isLateDuplicate reports whether a sequence that is not pending was asked for twice: the first acknowledgement has
// come after the second.
func (q *ackQueue) isLateDuplicate(sequence uint32) bool {
	return q.askedAgainAt > 0 && sequence == q.askedAgainSequence
}

// acknowledge takes a proxy's acknowledgement, which covers all that the stream owed before it. Acknowledgements come
// in the order in which they were asked for, so a malformed one is still known to be the oldest that is owed: without
// it, what it covers would count as unacknowledged until the next one.
func (s *Server) acknowledge(stream *stream, message platformmsg.Message, malformed error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connections.Registered(stream.conn) { // ended meanwhile
		return
	}
	queue := &stream.acks
	index := -1
	if malformed == nil {
		index = queue.index(message.AckSequence)
	}
	if index < 0 {
		if malformed == nil && queue.isLateDuplicate(message.AckSequence) {
			return
		}
		s.malformedMessage().Err(malformed).Int("proxy", int(stream.proxy)).Uint32("ack_sequence", message.AckSequence).
			Int("pending_acks", len(queue.pending)).Msg("malformed acknowledgement taken as the oldest pending one")
		if len(queue.pending) == 0 {
			return
		}
		index = 0
	}
	acknowledged := queue.pending[index]
	s.progress.acknowledged = max(s.progress.acknowledged, acknowledged.number)
	queue.pending = append(queue.pending[:0], queue.pending[index+1:]...)
	queue.overtakenAt = 0
	s.events.Acknowledged(stream.proxy, stream.id, acknowledged.sequence)
}

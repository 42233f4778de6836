package platform

import (
	"slices"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// maxPendingAcks bounds the pending acknowledgements of one stream. In normal operation that many messages take hours
// to send, so a proxy that exceeds the bound does not acknowledge at all.
const maxPendingAcks = 4096

// deliveryProgress numbers the messages that request an acknowledgement, across all streams.
type deliveryProgress struct {
	newestSent         uint64 // number of the newest message that requests an acknowledgement
	newestAcknowledged uint64 // number of the newest message that any proxy acknowledged
}

// ackQueue holds the pending acknowledgements of one stream.
type ackQueue struct {
	pending        []pendingAck // oldest first
	newestSequence uint32       // sequence of the newest acknowledgement requested on this stream

	retriedAt       model.Microseconds // when an acknowledgement was last requested again; 0: never
	retriedSequence uint32             // the sequence of that request

	// overtakenSince is when the server noticed that another stream had acknowledged a message sent after this stream's
	// oldest pending message; 0: not yet.
	overtakenSince model.Microseconds
}

// pendingAck is one acknowledgement that was requested on a stream and has not arrived.
type pendingAck struct {
	sequence      uint32
	sentAt        model.Microseconds
	messageNumber uint64 // see deliveryProgress
}

// addPendingAck adds an acknowledgement to the stream's pending ones; s.mu is held.
func (s *Server) addPendingAck(queue *ackQueue, sentAt model.Microseconds) {
	s.progress.newestSent++
	queue.pending = append(queue.pending, pendingAck{queue.newestSequence, sentAt, s.progress.newestSent})
}

// indexOf returns the index of a sequence in pending, or -1 if it is not pending.
func (q *ackQueue) indexOf(sequence uint32) int {
	return slices.IndexFunc(q.pending, func(ack pendingAck) bool { return ack.sequence == sequence })
}

// isLateDuplicate reports whether a sequence that is not pending was requested twice. The proxy then acknowledges it
// twice, and the second acknowledgement to arrive matches no pending one.
func (q *ackQueue) isLateDuplicate(sequence uint32) bool {
	return q.retriedAt > 0 && sequence == q.retriedSequence
}

// acknowledge handles a proxy's acknowledgement, which also covers all earlier pending ones of the stream.
// Acknowledgements arrive in the order in which they were requested, so a malformed one is counted as the oldest
// pending one. Otherwise the entries that the malformed one covers would count as unacknowledged until the next
// acknowledgement. The same applies to an acknowledgement whose sequence is not pending.
func (s *Server) acknowledge(stream *stream, message platformmsg.Message, parseErr error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connections.Registered(stream.conn) { // ended in the meantime
		return
	}
	queue := &stream.acks
	index := -1
	if parseErr == nil {
		index = queue.indexOf(message.AckSequence)
	}
	if index < 0 {
		if parseErr == nil && queue.isLateDuplicate(message.AckSequence) {
			return
		}
		s.countInvalidMessage().Err(parseErr).Int("proxy", int(stream.proxy)).Uint32("ack_sequence", message.AckSequence).
			Int("pending_acks", len(queue.pending)).Msg("malformed acknowledgement counted as the oldest pending one")
		if len(queue.pending) == 0 {
			return
		}
		index = 0
	}
	acknowledged := queue.pending[index]
	s.progress.newestAcknowledged = max(s.progress.newestAcknowledged, acknowledged.messageNumber)
	queue.pending = append(queue.pending[:0], queue.pending[index+1:]...)
	queue.overtakenSince = 0
	s.events.Acknowledged(stream.proxy, stream.id, acknowledged.sequence)
}

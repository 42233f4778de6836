package pubsub

import (
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// pacedQueue holds queued messages and releases them one after another at entriesPerSecond. The cost of a message in
// entries determines how long it occupies the channel. It does no I/O.
type pacedQueue struct {
	entriesPerSecond  float64
	lastDeparture     model.Microseconds // departure time of the last queued message
	messages          []*queuedMessage
	waitingEntries    int
	maxWaitingEntries int
}

// queuedMessage is a message in the queue.
type queuedMessage struct {
	delivery  snapshot.Delivery
	streamID  uint64
	departsAt model.Microseconds
	dropped   bool // its stream ended before departure
}

// enqueue adds a message for a stream.
func (q *pacedQueue) enqueue(now model.Microseconds, delivery snapshot.Delivery, streamID uint64) {
	duration := model.Microseconds(float64(delivery.Message.Cost) / q.entriesPerSecond * float64(model.Second))
	q.lastDeparture = max(q.lastDeparture, now) + duration
	q.messages = append(q.messages, &queuedMessage{delivery: delivery, streamID: streamID, departsAt: q.lastDeparture})
	q.waitingEntries += delivery.Message.Cost
	q.maxWaitingEntries = max(q.maxWaitingEntries, q.waitingEntries)
}

// dequeueDue removes and returns the next message that is due; nil if there is none.
func (q *pacedQueue) dequeueDue(now model.Microseconds) *queuedMessage {
	for len(q.messages) > 0 && q.messages[0].departsAt <= now {
		first := q.messages[0]
		q.messages = q.messages[1:]
		if !first.dropped {
			q.waitingEntries -= first.delivery.Message.Cost
			return first
		}
	}
	return nil
}

// nextDeparture returns the departure time of the first message; ok is false for an empty queue.
func (q *pacedQueue) nextDeparture() (at model.Microseconds, ok bool) {
	if len(q.messages) == 0 {
		return 0, false
	}
	return q.messages[0].departsAt, true
}

// dropStream drops the queued messages of a stream. Their time stays reserved: departure times of other messages do not
// change.
func (q *pacedQueue) dropStream(streamID uint64) {
	for _, message := range q.messages {
		if message.streamID == streamID && !message.dropped {
			message.dropped = true
			q.waitingEntries -= message.delivery.Message.Cost
		}
	}
}

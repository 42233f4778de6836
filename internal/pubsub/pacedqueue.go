package pubsub

import (
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// pacedQueue holds the messages that wait for the channel's pace: they leave one after another, each taking the time of
// its entries. It does no I/O.
type pacedQueue struct {
	entriesPerSecond  float64
	busyUntil         model.Microseconds // when the last message taken will have left
	messages          []*queuedMessage
	waitingEntries    int
	maxWaitingEntries int
}

// queuedMessage is a message that waits.
type queuedMessage struct {
	delivery  snapshot.Delivery
	streamID  uint64
	departsAt model.Microseconds
	dropped   bool // its stream ended first
}

// enqueue adds a message for a stream.
func (q *pacedQueue) enqueue(now model.Microseconds, delivery snapshot.Delivery, streamID uint64) {
	duration := model.Microseconds(float64(delivery.Message.Cost) / q.entriesPerSecond * float64(model.Second))
	q.busyUntil = max(q.busyUntil, now) + duration
	q.messages = append(q.messages, &queuedMessage{delivery: delivery, streamID: streamID, departsAt: q.busyUntil})
	q.waitingEntries += delivery.Message.Cost
	q.maxWaitingEntries = max(q.maxWaitingEntries, q.waitingEntries)
}

// dequeueDue takes out the next message that leaves by now; nil if none does.
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

// nextDeparture is when the first message leaves; ok is false for an empty queue.
func (q *pacedQueue) nextDeparture() (at model.Microseconds, ok bool) {
	if len(q.messages) == 0 {
		return 0, false
	}
	return q.messages[0].departsAt, true
}

// dropStream drops what waits for a stream. Its time stays reserved: what was promised to others is not moved.
func (q *pacedQueue) dropStream(streamID uint64) {
	for _, message := range q.messages {
		if message.streamID == streamID && !message.dropped {
			message.dropped = true
			q.waitingEntries -= message.delivery.Message.Cost
		}
	}
}

package pubsub

import (
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/snapshot"
)

// TestPacedQueueReleasesMessagesAtPace: Queued messages are counted in entries and leave at the channel's pace. Queued
// messages of a stream that has ended do not count.
func TestPacedQueueReleasesMessagesAtPace(t *testing.T) {
	queue := pacedQueue{entriesPerSecond: 1000}
	ofCost := func(cost int) snapshot.Delivery {
		return snapshot.Delivery{Message: &pubsubmsg.Message{Cost: cost}}
	}
	queue.enqueue(0, ofCost(100), 1)
	queue.enqueue(0, ofCost(50), 2)
	queue.enqueue(0, ofCost(50), 1)
	if queue.waitingEntries != 200 || queue.dequeueDue(99_999) != nil {
		t.Fatal("a message leaves before its departure time, or not all entries are counted")
	}
	first := queue.dequeueDue(100_000)
	if first == nil || first.delivery.Message.Cost != 100 || queue.waitingEntries != 100 {
		t.Fatalf("message at the first departure: %+v, want cost 100 and 100 entries left", first)
	}
	queue.dropStream(2)
	if at, _ := queue.nextDeparture(); queue.waitingEntries != 50 || at != 150_000 {
		t.Fatalf("%d entries queued, next departure at %d; want 50 and 150000", queue.waitingEntries, at)
	}
	last := queue.dequeueDue(200_000)
	if last == nil || last.streamID != 1 || queue.maxWaitingEntries != 200 {
		t.Fatalf("message at the last departure: %+v, want one of stream 1 and a maximum of 200 entries", last)
	}
}

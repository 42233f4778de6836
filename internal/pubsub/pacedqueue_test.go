package pubsub

import (
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/snapshot"
)

// TestPacedQueue: What waits is counted in entries and leaves at the pace; what waits for a stream that ended does not
// count.
func TestPacedQueue(t *testing.T) {
	queue := pacedQueue{entriesPerSecond: 1000}
	ofCost := func(cost int) snapshot.Delivery {
		return snapshot.Delivery{Message: &pubsubmsg.Message{Cost: cost}}
	}
	queue.enqueue(0, ofCost(100), 1)
	queue.enqueue(0, ofCost(50), 2)
	queue.enqueue(0, ofCost(50), 1)
	if queue.waitingEntries != 200 || queue.dequeueDue(99_999) != nil {
		t.Fatal("a message leaves before its entries' time")
	}
	first := queue.dequeueDue(100_000)
	if first == nil || first.delivery.Message.Cost != 100 || queue.waitingEntries != 100 {
		t.Fatalf("at its time: %+v", first)
	}
	queue.dropStream(2)
	if at, _ := queue.nextDeparture(); queue.waitingEntries != 50 || at != 150_000 {
		t.Fatalf("%d entries, next at %d", queue.waitingEntries, at)
	}
	last := queue.dequeueDue(200_000)
	if last == nil || last.streamID != 1 || queue.maxWaitingEntries != 200 {
		t.Fatalf("%+v", last)
	}
}

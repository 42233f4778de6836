package simulation

import "peppervale/internal/model"

// event is an action that is scheduled for a time. Events with the same time run in the order of their sequence
// numbers.
type event struct {
	at       model.Microseconds
	sequence uint64
	action   func()
}

func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// heapArity is the number of children of a node. With four children, the heap has half the levels of a binary heap.
// Most of the cost of an event is moving it between levels.
const heapArity = 4

// eventQueue is a heap whose first element is the next event.
type eventQueue []event

func (q *eventQueue) push(newEvent event) {
	*q = append(*q, newEvent)
	events := *q
	for i := len(events) - 1; i > 0; {
		parent := (i - 1) / heapArity
		if !events[i].before(&events[parent]) {
			break
		}
		events[i], events[parent] = events[parent], events[i]
		i = parent
	}
}

// pop removes and returns the next event. The queue must not be empty.
func (q *eventQueue) pop() event {
	events := *q
	nextEvent, lastIndex := events[0], len(events)-1
	events[0] = events[lastIndex]
	events[lastIndex] = event{}
	events = events[:lastIndex]
	*q = events
	events.siftDown()
	return nextEvent
}

// siftDown moves the first event down to its place.
func (q eventQueue) siftDown() {
	for i := 0; ; {
		nextIndex := i
		firstChild := heapArity*i + 1
		for child := firstChild; child < firstChild+heapArity && child < len(q); child++ {
			if q[child].before(&q[nextIndex]) {
				nextIndex = child
			}
		}
		if nextIndex == i {
			return
		}
		q[i], q[nextIndex] = q[nextIndex], q[i]
		i = nextIndex
	}
}

package balancer

import (
	"slices"
	"sort"

	"peppervale/internal/model"
)

// deadlineKind says what a deadline is for.
type deadlineKind uint8

const (
	startWindowDeadline deadlineKind = iota // safe mode ends
	resubscribeDeadline                     // the endpoint list is subscribed to again
	replicaDeadline                         // an event comes to a replica
)

// deadline is an action that is due at a set time.
type deadline struct {
	at   model.Microseconds
	kind deadlineKind

	// Of a replicaDeadline only. It lapses once the replica's generation differs.
	replica    *replica
	event      replicaEvent
	generation int
}

// deadlineQueue holds deadlines by time; those of the same time stay in the order added.
type deadlineQueue struct{ pending []deadline }

func (q *deadlineQueue) add(d deadline) {
	i := sort.Search(len(q.pending), func(i int) bool { return q.pending[i].at > d.at })
	q.pending = slices.Insert(q.pending, i, d)
}

// next removes and returns the first deadline if it is due.
func (q *deadlineQueue) next(now model.Microseconds) (first deadline, due bool) {
	if len(q.pending) == 0 || q.pending[0].at > now {
		return deadline{}, false
	}
	first = q.pending[0]
	q.pending = q.pending[1:]
	return first, true
}

// scheduleReplicaEvent applies an event to a replica at a set time, unless its generation changes before.
func (b *Balancer) scheduleReplicaEvent(r *replica, event replicaEvent, at model.Microseconds) {
	b.deadlines.add(deadline{at: at, kind: replicaDeadline, replica: r, event: event, generation: r.generation})
}

// handleDeadline takes the action of a deadline that is due.
func (b *Balancer) handleDeadline(d deadline) {
	switch d.kind {
	case resubscribeDeadline:
		b.publisher.Subscribe()
	case startWindowDeadline:
		apply(b, safeModeTransitions, &b.safeMode.state, startWindowElapsed, struct{}{})
	case replicaDeadline:
		if d.replica.generation == d.generation {
			b.changeReplica(d.replica, d.event, "")
		}
	}
}

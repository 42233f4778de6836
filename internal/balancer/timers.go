package balancer

import (
	"slices"
	"sort"

	"peppervale/internal/model"
)

// deadlineKind is the kind of action that a deadline triggers.
type deadlineKind uint8

const (
	startWindowDeadline deadlineKind = iota // ends safe mode
	resubscribeDeadline                     // subscribes to the endpoint list again
	replicaDeadline                         // applies an event to a replica
)

// deadline is an action that is due at a given time.
type deadline struct {
	at   model.Microseconds
	kind deadlineKind

	// Fields of a replicaDeadline. The deadline is ignored if the replica's generation has changed.
	replica    *replica
	event      replicaEvent
	generation int
}

// deadlineQueue holds deadlines ordered by time; deadlines of the same time keep the order in which they were added.
type deadlineQueue struct{ deadlines []deadline }

func (q *deadlineQueue) add(d deadline) {
	i := sort.Search(len(q.deadlines), func(i int) bool { return q.deadlines[i].at > d.at })
	q.deadlines = slices.Insert(q.deadlines, i, d)
}

// removeDue removes and returns the first deadline if it is due.
func (q *deadlineQueue) removeDue(now model.Microseconds) (first deadline, due bool) {
	if len(q.deadlines) == 0 || q.deadlines[0].at > now {
		return deadline{}, false
	}
	first = q.deadlines[0]
	q.deadlines = q.deadlines[1:]
	return first, true
}

// scheduleReplicaEvent schedules an event of a replica. It is not applied if the replica's generation changes first.
func (b *Balancer) scheduleReplicaEvent(r *replica, event replicaEvent, at model.Microseconds) {
	b.deadlines.add(deadline{at: at, kind: replicaDeadline, replica: r, event: event, generation: r.generation})
}

// handleDeadline performs the action of a deadline that is due.
func (b *Balancer) handleDeadline(d deadline) {
	switch d.kind {
	case resubscribeDeadline:
		b.publisher.Subscribe()
	case startWindowDeadline:
		applyEvent(b, safeModeTransitions, &b.safeMode.state, startWindowElapsed, struct{}{})
	case replicaDeadline:
		if d.replica.generation == d.generation {
			b.applyReplicaEvent(d.replica, d.event, "")
		}
	}
}

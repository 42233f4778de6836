package balancer

// transition is a row of a state machine's table: when an event in on arrives in a state in from, the machine enters
// the state to and then runs action. States and events are bits, so that a row can name several.
type transition[State, Event ~uint8, Subject any] struct {
	from   State
	on     Event
	to     State
	action func(*Balancer, Subject)
}

// applyEvent applies one event to a state machine and runs the action of the matching transition. An event without a
// row for the current state changes nothing.
func applyEvent[State, Event ~uint8, Subject any](
	b *Balancer, rows []transition[State, Event, Subject], state *State, event Event, subject Subject,
) {
	for _, row := range rows {
		if row.from&*state != 0 && row.on&event != 0 {
			*state = row.to
			row.action(b, subject)
			return
		}
	}
}

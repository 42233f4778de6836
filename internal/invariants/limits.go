package invariants

import "peppervale/internal/model"

// Effect classifies operations by whether a request may be executed more than once.
type Effect uint8

// The effects of operations.
const (
	Idempotent       Effect = iota // may be executed any number of times, at any replica
	IdempotencyKeyed               // has an idempotency key: a deduplication group drops repeats within the window
	SideEffecting                  // must never be executed twice
)

// Operation holds the settings of an operation that the checks need.
type Operation struct {
	Name                string
	Effect              Effect
	DeduplicationWindow model.Microseconds // IdempotencyKeyed: how long a deduplication group keeps a request's key
}

// Limits are the limits of the invariants. They must be those that the instances are configured with.
type Limits struct {
	Zones          []string
	Operations     []Operation
	MaxEmptyTime   model.Microseconds // longest time that a joined proxy may have no usable entry
	DrainGrace     model.Microseconds // how long after its instance is notified of a drain a proxy may send
	WarmUpPeriod   model.Microseconds // after which a started replica is warm
	OverloadFactor float64            // multiple of its capacity within OverloadWindow that overloads a warming replica
	OverloadWindow model.Microseconds
	QueueLimit     int                // maximum number of an instance's entries in flight
	MessageLimit   int                // maximum number of messages to one proxy within MessageWindow; 0: no limit
	MessageWindow  model.Microseconds // window of MessageLimit
}

// effect returns the effect of the operation with this index. An operation that is not configured is SideEffecting.
func (l *Limits) effect(operation int) Effect { return l.operation(operation).Effect }

func (l *Limits) operation(index int) Operation {
	if index < 0 || index >= len(l.Operations) {
		return Operation{Effect: SideEffecting}
	}
	return l.Operations[index]
}

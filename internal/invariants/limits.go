package invariants

import "peppervale/internal/model"

// Effect says what a repeat of an operation does.
type Effect uint8

// The effects of operations.
const (
	Idempotent       Effect = iota // may be repeated anywhere
	IdempotencyKeyed               // carries an idempotency key: its deduplication group drops a repeat within the window
	SideEffecting                  // must never be executed twice
)

// Operation is what the checks need to know of an operation.
type Operation struct {
	Name                string
	Effect              Effect
	DeduplicationWindow model.Microseconds // IdempotencyKeyed: how long a deduplication group remembers a request
}

// Limits are those of the invariants, the same that instances are configured with.
type Limits struct {
	Zones          []string
	Operations     []Operation
	MaxEmptyTime   model.Microseconds // longest time without a usable entry
	DrainGrace     model.Microseconds // for which draining replicas may be sent to
	WarmUpPeriod   model.Microseconds // after which a started replica is warm
	OverloadFactor float64            // times its capacity within OverloadWindow that overloads a warming replica
	OverloadWindow model.Microseconds
	QueueLimit     int                // entries that an instance may have in flight
	MessageLimit   int                // messages to one proxy within MessageWindow; 0: no limit
	MessageWindow  model.Microseconds // of MessageLimit
}

// effect is that of the operation with an index; an operation that is not configured counts as SideEffecting.
func (l *Limits) effect(operation int) Effect { return l.operation(operation).Effect }

func (l *Limits) operation(index int) Operation {
	if index < 0 || index >= len(l.Operations) {
		return Operation{Effect: SideEffecting}
	}
	return l.Operations[index]
}

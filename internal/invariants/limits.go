package invariants

import "peppervale/internal/model"

// Effect says what a repeat of an operation does.
type Effect uint8

// The effects of operations.
const (
	Idempotent       Effect = iota // may be repeated anywhere
	IdempotencyKeyed               // carries an idempotency key: a repeat is dropped within its window and group
	SideEffecting                  // must never be executed twice
)

// Operation is what the invariants need of one.
type Operation struct {
	Name                string
	Effect              Effect
	DeduplicationWindow model.Microseconds // Fingerprinted: how long its replicas remember a request
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

// effect is that of an operation by its index; of one that is not configured the strictest.
func (f *Limits) effect(operation int) Effect { return f.operation(operation).Effect }

func (f *Limits) operation(index int) Operation {
	if index < 0 || index >= len(f.Operations) {
		return Operation{Effect: SideEffecting}
	}
	return f.Operations[index]
}

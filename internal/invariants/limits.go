package invariants

import "peppervale/internal/model"

// Effect says what a repeat of an operation does.
type Effect uint8

// The effects of operations.
const (
	Idempotent    Effect = iota // may be repeated anywhere
	Fingerprinted               // carries an idempotency key: a repeat is dropped within its window and group
	SideEffecting               // must never be executed twice
)

// Operation is what the invariants need of one.
type Operation struct {
	Name   string
	Effect Effect
	Window model.Microseconds // Fingerprinted: how long its replicas remember a request
}

// Figures are the limits, the same that instances are configured with.
type Figures struct {
	Zones       []string
	Operations  []Operation
	Bare, Grace model.Microseconds // longest time without a usable entry; for which draining replicas may be sent to
	Cold        model.Microseconds // after which a started replica is warm
	TipFactor   float64            // times its capacity within TipSpan that pushes a warming replica over
	TipSpan     model.Microseconds
	QueueMost   int                // entries that an instance may have in flight
	WriteMost   int                // messages to one proxy within WriteSpan; 0: no limit
	WriteSpan   model.Microseconds // of WriteMost
}

// effect is that of an operation by its index; of one that is not configured the strictest.
func (f *Figures) effect(operation int) Effect { return f.operation(operation).Effect }

func (f *Figures) operation(index int) Operation {
	if index < 0 || index >= len(f.Operations) {
		return Operation{Effect: SideEffecting}
	}
	return f.Operations[index]
}

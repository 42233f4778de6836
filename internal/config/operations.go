package config

import (
	"peppervale/internal/model"
)

// maxOperations is the maximum number of operations in a file.
const maxOperations = 16

// Effect describes the effect of executing an operation twice. The values are the names in the file.
type Effect string

// The three effects of operations.
const (
	Idempotent        Effect = "idempotent"     // may be executed again
	IdempotentWithKey Effect = "fingerprinted"  // has an idempotency key: a repeated request within the window is dropped
	SideEffecting     Effect = "side-effecting" // must never be executed twice
)

// Operation is one kind of request.
type Operation struct {
	Name              string
	LatencyObjective  model.Microseconds // a response within this time has its full value
	Timeout           model.Microseconds // of the caller
	PriorityWeight    float64            // value of a request relative to those of other operations
	Effect            Effect
	IdempotencyWindow model.Microseconds // how long an idempotency key is stored; 0 for other effects
}

// ReadOperations reads the blocks operation "name" { }.
func ReadOperations(top *Block) []Operation {
	var operations []Operation
	for _, block := range top.Blocks("operation", 1) {
		operations = append(operations, readOperation(block))
	}
	if len(operations) == 0 || len(operations) > maxOperations {
		top.AddError("", "%d blocks operation \"name\" { }; expected 1 to %d", len(operations), maxOperations)
	}
	return operations
}

func readOperation(block *Block) Operation {
	operation := Operation{Name: block.Labels[0]}
	operation.LatencyObjective = block.Duration("objective", -1, model.Millisecond, maxDuration)
	operation.Timeout = block.Duration("timeout", -1, model.Millisecond, maxDuration)
	if operation.Timeout < operation.LatencyObjective {
		block.AddError("timeout", "timeout: must not be shorter than objective")
	}
	operation.PriorityWeight = block.Float("billed_value", 1, 0, maxPriorityWeight)
	effects := []string{string(Idempotent), string(IdempotentWithKey), string(SideEffecting)}
	operation.Effect = Effect(block.String("effect", "", effects...))
	if operation.Effect == IdempotentWithKey {
		operation.IdempotencyWindow = block.Duration("window", -1, model.Millisecond, maxDuration)
	}
	block.RejectUnknown()
	return operation
}

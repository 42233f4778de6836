package config

import (
	"peppervale/internal/model"
)

// maxOperations is how many operations a file may have.
const maxOperations = 16

// Effect says what a second execution of an operation does; the names are the file's.
type Effect string

// The three effects of operations.
const (
	Idempotent    Effect = "idempotent"     // may be executed again
	Fingerprinted Effect = "fingerprinted"  // has an idempotency key: a repetition within the window is dropped
	SideEffecting Effect = "side-effecting" // must never be executed twice
)

// Operation is one kind of request.
type Operation struct {
	Name      string
	Objective model.Microseconds // latency objective
	Timeout   model.Microseconds // of the caller
	Value     float64            // priority weight
	Effect    Effect
	Window    model.Microseconds // how long an idempotency key is remembered; 0 for other effects
}

// Operations reads the blocks operation "name" { }.
func Operations(top *Block) []Operation {
	var operations []Operation
	for _, block := range top.Blocks("operation", 1) {
		operations = append(operations, readOperation(block))
	}
	if len(operations) == 0 || len(operations) > maxOperations {
		top.Fault("", "%d blocks operation \"name\" { }; 1 to %d are wanted", len(operations), maxOperations)
	}
	return operations
}

func readOperation(block *Block) Operation {
	operation := Operation{Name: block.Labels[0]}
	operation.Objective = block.Span("objective", -1, model.Millisecond, maxDuration)
	operation.Timeout = block.Span("timeout", -1, model.Millisecond, maxDuration)
	if operation.Timeout < operation.Objective {
		block.Fault("timeout", "timeout: the integration timeout ends before the latency objective")
	}
	operation.Value = block.Number("billed_value", 1, 0, 1e9)
	effects := []string{string(Idempotent), string(Fingerprinted), string(SideEffecting)}
	operation.Effect = Effect(block.Text("effect", "", effects...))
	if operation.Effect == Fingerprinted {
		operation.Window = block.Span("window", -1, model.Millisecond, maxDuration)
	}
	block.Done()
	return operation
}

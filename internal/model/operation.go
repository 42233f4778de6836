package model

// MaxOperations is the most operations that a configuration may have: sets of operations are masks of 16 bits, in which
// 1 << index stands for the operation at that index.
const MaxOperations = 16

// Operation is one kind of request.
type Operation struct {
	LatencyObjective Microseconds // within which a response has its full value
	PriorityWeight   float64      // value of one request, relative to the other operations
}

// RetryPolicy says when a proxy sends a request to another replica. Its numbers stand on the wire.
type RetryPolicy uint8

// The retry policies.
const (
	RetryNever             RetryPolicy = iota // no retry
	RetryIfNotExecuted                        // one retry, after proof that the first attempt was never executed
	RetryOnAnyFailure                         // one retry after any failure
	RetryTwiceOnAnyFailure                    // two retries after any failure
)

package model

// MaxOperations is the maximum number of operations in a configuration. A set of operations is a mask of 16 bits, in
// which 1 << index is the operation at that index.
const MaxOperations = 16

// Operation is one kind of request.
type Operation struct {
	LatencyObjective Microseconds // maximum latency of a response with its full value
	PriorityWeight   float64      // value of one request, relative to the other operations
}

// RetryPolicy says when a proxy retries a request at another replica. Its numbers are used on the wire.
type RetryPolicy uint8

// The retry policies.
const (
	RetryNever             RetryPolicy = iota // no retry
	RetryIfNotExecuted                        // one retry, if the first attempt was provably not executed
	RetryOnAnyFailure                         // one retry after any failure
	RetryTwiceOnAnyFailure                    // two retries after any failure
)

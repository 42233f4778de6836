package http1

import "fmt"

// ProtocolError reports a stream that is not HTTP/1.1 or exceeds a limit.
type ProtocolError struct {
	// Status is the status code that a server responds with before it closes the connection.
	Status int
	Reason string
}

// Error returns the reason.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("http: %s", e.Reason)
}

package pubsubmsg

import "fmt"

// ParseError reports an invalid message or command.
type ParseError struct {
	// Field is the name of the malformed value, e.g. "epoch". It is empty if the number of values is wrong.
	Field string
	// Reason is the complete text of the error. It is sent to the proxy that sent the command.
	Reason string
}

// Error returns the reason.
func (e *ParseError) Error() string {
	return e.Reason
}

func parseErrorf(field, format string, args ...any) *ParseError {
	return &ParseError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

package pubsubmsg

import "fmt"

// ParseError reports a message or a command that cannot be used.
type ParseError struct {
	// Field names what is malformed, e.g. "epoch". It is empty where the number of values is wrong.
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

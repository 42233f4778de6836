package platformmsg

import "fmt"

// ParseError reports an invalid message. Its text is sent to the client if the client has not joined.
type ParseError struct {
	// Kind and Field name the malformed field. Both are empty if the message as a whole is malformed.
	Kind   Kind
	Field  string
	Reason string
}

// Error returns the kind, the field and the reason.
func (e *ParseError) Error() string {
	if e.Kind == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind, e.Field, e.Reason)
}

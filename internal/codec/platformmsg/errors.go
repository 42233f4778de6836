package platformmsg

import "fmt"

// ParseError reports a message that cannot be used. Its text is sent to a client that has not joined.
type ParseError struct {
	// Kind and Field say what is malformed. Both are empty where it is the message itself.
	Kind   Kind
	Field  string
	Reason string
}

// Error states the kind, the field and the reason.
func (e *ParseError) Error() string {
	if e.Kind == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s: %s", e.Kind, e.Field, e.Reason)
}

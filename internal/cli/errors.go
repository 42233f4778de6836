package cli

import (
	"errors"
	"fmt"
)

// ErrInvariantViolated is returned when a scenario violated an invariant. The report is already written by then.
// The exit status is 1.
var ErrInvariantViolated = errors.New("an invariant was violated")

// InputError reports an invalid command line or file. The exit status is 2.
type InputError struct {
	Err error

	multiline bool // Err lists several errors, one per line
}

// NewInputError returns an InputError that is printed on one line.
func NewInputError(err error) *InputError { return &InputError{Err: err} }

// Error implements error.
func (e *InputError) Error() string {
	if e.multiline {
		return fmt.Sprintf("input:\n%v", e.Err)
	}
	return fmt.Sprintf("input: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.Err }

// inputErrorf returns an InputError with a formatted message.
func inputErrorf(format string, args ...any) *InputError {
	return NewInputError(fmt.Errorf(format, args...))
}

// fileError returns the InputError for an invalid file. The errors in the file are listed one per line.
func fileError(err error) *InputError { return &InputError{Err: err, multiline: true} }

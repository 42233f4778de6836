package cli

import (
	"errors"
	"fmt"
)

// ErrInvariantViolated is returned when a scenario ran and violated an invariant; its report has been written. The exit
// status is 1.
var ErrInvariantViolated = errors.New("an invariant was violated")

// InputError is input that cannot be used: a command line or a file. The exit status is 2.
type InputError struct {
	Err error

	ownLines bool // Err lists several errors, a line each
}

// NewInputError returns an InputError of one line.
func NewInputError(err error) *InputError { return &InputError{Err: err} }

// Error implements error.
func (e *InputError) Error() string {
	if e.ownLines {
		return fmt.Sprintf("input:\n%v", e.Err)
	}
	return fmt.Sprintf("input: %v", e.Err)
}

// Unwrap returns the cause.
func (e *InputError) Unwrap() error { return e.Err }

// inputErrorf returns an InputError with a text.
func inputErrorf(format string, args ...any) *InputError {
	return NewInputError(fmt.Errorf(format, args...))
}

// fileError returns the InputError of a file, whose errors are listed a line each.
func fileError(err error) *InputError { return &InputError{Err: err, ownLines: true} }

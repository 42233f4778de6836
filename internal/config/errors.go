package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one error of a configuration file.
type Error struct {
	File         string
	Line, Column int    // from 1; 0 in JSON, where Field gives the position
	Field        string // the setting or the kind of block; "" for an error of the file or its syntax
	Text         string // the problem and the accepted values; begins with Field if there is one
	Cause        error  // the error of the file system or the decoder; nil if there is none
}

// Error returns the position and the text.
func (e Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// Unwrap returns the cause.
func (e Error) Unwrap() error { return e.Cause }

// Errors holds all errors of a file, in file order. It is never empty.
type Errors []Error

// Error returns a line for each error.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each error.
func (es Errors) Unwrap() []error {
	errs := make([]error, len(es))
	for i, e := range es {
		errs[i] = e
	}
	return errs
}

// sortByPosition sorts errors by their position; errors at the same position keep their order.
func sortByPosition(es []Error) {
	slices.SortStableFunc(es, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one thing that is wrong with a file.
type Error struct {
	File         string
	Line, Column int    // from 1; 0 in JSON, whose errors are placed by their field
	Field        string // the setting or the kind of block; "" if it concerns the file or its syntax
	Text         string // what is wrong and what is accepted, beginning with the field where one is named
	Cause        error  // the error of the file system or the decoder; nil if there is none
}

// Error returns the place and the text.
func (e Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// Unwrap returns the cause.
func (e Error) Unwrap() error { return e.Cause }

// Errors is all that is wrong with a file, in its order; never empty.
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
	all := make([]error, len(es))
	for i, e := range es {
		all[i] = e
	}
	return all
}

// inFileOrder sorts errors by their places; those of one place keep the order in which they were found.
func inFileOrder(es []Error) {
	slices.SortStableFunc(es, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

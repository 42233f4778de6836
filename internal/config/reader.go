package config

import (
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Reader reads one HCL file and collects its errors.
type Reader struct {
	path    string
	sources map[string][]byte // by path; more than one if the file inherits from another
	errors  []Error
}

// Open parses a file. The Block is nil if the file cannot be parsed; see Err.
func Open(path string) (*Reader, *Block) {
	source, err := os.ReadFile(path)
	if err != nil {
		return &Reader{path: path, errors: []Error{newReadError(path, err)}}, nil
	}
	return Parse(path, source)
}

// newReadError returns the error of a file that cannot be read, positioned at its start.
func newReadError(path string, cause error) Error {
	return Error{File: path, Line: 1, Column: 1, Text: cause.Error(), Cause: cause}
}

// Parse is like Open for a source in memory.
func Parse(path string, source []byte) (*Reader, *Block) {
	reader := &Reader{path: path, sources: map[string][]byte{path: source}}
	file, diagnostics := hclsyntax.ParseConfig(source, path, hcl.InitialPos)
	for _, diagnostic := range diagnostics {
		reader.addDiagnostic(diagnostic)
	}
	if len(reader.errors) > 0 {
		return reader, nil
	}
	body := file.Body.(*hclsyntax.Body) // ParseConfig always returns this type
	return reader, &Block{reader: reader, body: body, location: hcl.Range{Start: hcl.InitialPos}}
}

// addDiagnostic adds an error of the HCL parser; warnings are ignored.
func (r *Reader) addDiagnostic(diagnostic *hcl.Diagnostic) {
	if diagnostic.Severity != hcl.DiagError {
		return
	}
	var position hcl.Range
	if diagnostic.Subject != nil {
		position = *diagnostic.Subject
	}
	r.addError(position, "", "%s: %s", diagnostic.Summary, diagnostic.Detail)
}

func (r *Reader) addError(position hcl.Range, field, format string, args ...any) {
	path := r.path
	if position.Filename != "" {
		path = position.Filename
	}
	r.errors = append(r.errors, Error{
		File:   path,
		Line:   max(position.Start.Line, 1),
		Column: max(position.Start.Column, 1),
		Field:  field,
		Text:   fmt.Sprintf(format, args...),
	})
}

// Err returns all errors as Errors, in file order, or nil.
func (r *Reader) Err() error {
	if len(r.errors) == 0 {
		return nil
	}
	sortByPosition(r.errors)
	return Errors(r.errors)
}

package config

import (
	"fmt"
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Reader reads one HCL file and collects its errors.
type Reader struct {
	file    string
	sources map[string][]byte // by path; more than one if the file inherits from another
	errors  []Error
}

// Open parses a file. The Block is nil if the file cannot be parsed; see Err.
func Open(path string) (*Reader, *Block) {
	source, err := os.ReadFile(path)
	if err != nil {
		return &Reader{file: path, errors: []Error{unreadable(path, err)}}, nil
	}
	return Parse(path, source)
}

// unreadable returns the error of a file that cannot be read, positioned at its start.
func unreadable(path string, cause error) Error {
	return Error{File: path, Line: 1, Column: 1, Text: cause.Error(), Cause: cause}
}

// Parse is like Open for a source in memory.
func Parse(path string, source []byte) (*Reader, *Block) {
	reader := &Reader{file: path, sources: map[string][]byte{path: source}}
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
	var at hcl.Range
	if diagnostic.Subject != nil {
		at = *diagnostic.Subject
	}
	r.addError(at, "", "%s: %s", diagnostic.Summary, diagnostic.Detail)
}

func (r *Reader) addError(at hcl.Range, field, format string, args ...any) {
	file := r.file
	if at.Filename != "" {
		file = at.Filename
	}
	r.errors = append(r.errors, Error{
		File:   file,
		Line:   max(at.Start.Line, 1),
		Column: max(at.Start.Column, 1),
		Field:  field,
		Text:   fmt.Sprintf(format, args...),
	})
}

// Err returns all errors as Errors, in file order, or nil.
func (r *Reader) Err() error {
	if len(r.errors) == 0 {
		return nil
	}
	inFileOrder(r.errors)
	return Errors(r.errors)
}

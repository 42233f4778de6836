// Package goldentest compares encoded bytes and the texts of errors with golden files, in tests. Tests only read the
// golden files. The files pin the bytes on the wire: a difference means that the protocol has changed.
package goldentest

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Read returns the bytes of a file in testdata/golden of the package under test. The test fails if the file does not
// exist.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		tb.Fatal(err)
	}
	return want
}

// Check fails the test if the bytes differ from the golden file.
func Check(tb testing.TB, name string, got []byte) {
	tb.Helper()
	if want := Read(tb, name); !bytes.Equal(got, want) {
		tb.Errorf("%s:\n%q\nwant\n%q", name, got, want)
	}
}

// CheckErrors compares the texts of errors, one line each, sorted by their keys, with the golden file. It also fails
// the test for each nil error.
func CheckErrors(tb testing.TB, name string, errs map[string]error) {
	tb.Helper()
	checkErrors(tb, name, errs, func(err error) string { return fmt.Sprint(err) })
}

// CheckJSONErrors is CheckErrors for errors of encoding/json. Their texts end with names of Go types, which are
// internal; that part is omitted.
func CheckJSONErrors(tb testing.TB, name string, errs map[string]error) {
	tb.Helper()
	checkErrors(tb, name, errs, func(err error) string {
		text, _, _ := strings.Cut(fmt.Sprint(err), " into Go ")
		return text
	})
}

func checkErrors(tb testing.TB, name string, errs map[string]error, textOf func(error) string) {
	tb.Helper()
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(errs)) {
		if errs[key] == nil {
			tb.Errorf("%s: got no error, want one", key)
		}
		fmt.Fprintf(&text, "%s: %s\n", key, textOf(errs[key]))
	}
	Check(tb, name, []byte(text.String()))
}

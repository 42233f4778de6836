package cli

import (
	"errors"
	"testing"
)

func TestInputErrorPrintsAndWrapsItsCause(t *testing.T) {
	cause := errors.New("cause")
	tests := []struct {
		name string
		err  *InputError
		want string
	}{
		{"single error", NewInputError(cause), "input: cause"},
		{"formatted message", inputErrorf("a.hcl: %w", cause), "input: a.hcl: cause"},
		{"errors of a file", fileError(cause), "input:\ncause"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.err.Error(); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if !errors.Is(tt.err, cause) {
				t.Errorf("%v does not wrap the underlying error", tt.err)
			}
		})
	}
}

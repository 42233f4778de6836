package server

import (
	"slices"
	"strings"
	"testing"
)

func TestLevelFilterPassesLinesOfMinimumLevel(t *testing.T) {
	var out strings.Builder
	log, filter, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	logAll := func() string {
		out.Reset()
		log.Debug().Msg("debug-line")
		log.Info().Msg("info-line")
		log.Warn().Msg("warn-line")
		log.Log().Msg("line-without-level")
		return out.String()
	}
	tests := []struct {
		level string
		want  []string
	}{
		{"info", []string{"info-line", "warn-line", "line-without-level"}},
		{"debug", []string{"debug-line", "info-line", "warn-line", "line-without-level"}},
		{"error", []string{"line-without-level"}},
	}
	for _, tt := range tests { // the level changes while the logger is in use
		if err := filter.Set(tt.level); err != nil {
			t.Fatal(err)
		}
		written := logAll()
		for _, line := range []string{"debug-line", "info-line", "warn-line", "line-without-level"} {
			want := slices.Contains(tt.want, line)
			if got := strings.Contains(written, line); got != want {
				t.Errorf("level %s: %s written: %v, want %v", tt.level, line, got, want)
			}
		}
	}
}

func TestUnknownLogLevelIsRejected(t *testing.T) {
	if _, _, err := NewLogger(&strings.Builder{}, "loud"); err == nil {
		t.Error("NewLogger returned no error for an unknown level")
	}
	log, filter, err := NewLogger(&strings.Builder{}, "info")
	if err != nil {
		t.Fatal(err)
	}
	if err := filter.Set("loud"); err == nil {
		t.Error("Set returned no error for an unknown level")
	}
	var out strings.Builder
	filter.out = &out
	log.Info().Msg("info-line")
	if !strings.Contains(out.String(), "info-line") {
		t.Error("an unknown level changed the active level")
	}
}

package server

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Threshold passes on log lines from a level up; the level can change in service.
type Threshold struct {
	out  io.Writer
	from atomic.Int32
}

// NewLog gives a logger and its threshold. Errors are those of the level's name.
func NewLog(out io.Writer, level string) (zerolog.Logger, *Threshold, error) {
	t := &Threshold{out: out}
	if err := t.Set(level); err != nil {
		return zerolog.Logger{}, nil, err
	}
	return zerolog.New(t).With().Timestamp().Logger(), t, nil
}

// Set changes the level: debug, info, warn, error.
func (t *Threshold) Set(level string) error {
	l, err := zerolog.ParseLevel(level)
	if err == nil {
		t.from.Store(int32(l))
	}
	return err
}

// Write passes on what has no level.
func (t *Threshold) Write(p []byte) (int, error) { return t.out.Write(p) }

// WriteLevel passes on what is at the threshold or above it.
func (t *Threshold) WriteLevel(l zerolog.Level, p []byte) (int, error) {
	if int32(l) < t.from.Load() {
		return len(p), nil
	}
	return t.out.Write(p)
}

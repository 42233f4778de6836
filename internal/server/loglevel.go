package server

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// LevelFilter passes log lines of a minimum level or above to a writer. The minimum level can be changed at any time,
// from any goroutine.
type LevelFilter struct {
	out     io.Writer
	minimum atomic.Int32
}

// NewLogger returns a logger that adds timestamps, and the filter of its level: debug, info, warn or error. It returns
// an error for an unknown level.
func NewLogger(out io.Writer, level string) (zerolog.Logger, *LevelFilter, error) {
	filter := &LevelFilter{out: out}
	if err := filter.Set(level); err != nil {
		return zerolog.Logger{}, nil, err
	}
	return zerolog.New(filter).With().Timestamp().Logger(), filter, nil
}

// Set changes the minimum level: debug, info, warn or error. For an unknown level it returns an error and changes
// nothing.
func (f *LevelFilter) Set(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return err
	}
	f.minimum.Store(int32(level))
	return nil
}

// Write passes on a line that has no level.
func (f *LevelFilter) Write(line []byte) (int, error) { return f.out.Write(line) }

// WriteLevel passes on a line of the minimum level or above it.
func (f *LevelFilter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if int32(level) < f.minimum.Load() {
		return len(line), nil
	}
	return f.out.Write(line)
}

package server

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// LevelFilter passes log lines of a minimum level on to a writer. The level can change in operation, from any
// goroutine.
type LevelFilter struct {
	out     io.Writer
	minimum atomic.Int32
}

// NewLogger returns a logger with a timestamp and the filter of its level: debug, info, warn or error. The error is
// that of an unknown name.
func NewLogger(out io.Writer, level string) (zerolog.Logger, *LevelFilter, error) {
	filter := &LevelFilter{out: out}
	if err := filter.Set(level); err != nil {
		return zerolog.Logger{}, nil, err
	}
	return zerolog.New(filter).With().Timestamp().Logger(), filter, nil
}

// Set changes the minimum level: debug, info, warn or error. With an unknown name it changes nothing and returns an
// error.
func (f *LevelFilter) Set(name string) error {
	level, err := zerolog.ParseLevel(name)
	if err != nil {
		return err
	}
	f.minimum.Store(int32(level))
	return nil
}

// Write passes on what has no level.
func (f *LevelFilter) Write(line []byte) (int, error) { return f.out.Write(line) }

// WriteLevel passes on a line of the minimum level or above it.
func (f *LevelFilter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if int32(level) < f.minimum.Load() {
		return len(line), nil
	}
	return f.out.Write(line)
}

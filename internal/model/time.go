package model

import "time"

// Microseconds is a point in time or a duration in whole microseconds. Points in time are counted from 1970 in a
// running controller and from the start of the clock in a simulation.
type Microseconds int64

// Common durations.
const (
	Millisecond Microseconds = 1000
	Second                   = 1000 * Millisecond
)

// Duration converts a duration to the standard library's type.
func (m Microseconds) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosecondsOf converts a duration, rounding it towards zero.
func MicrosecondsOf(d time.Duration) Microseconds { return Microseconds(d / time.Microsecond) }

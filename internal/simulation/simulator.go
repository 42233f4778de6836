package simulation

import "peppervale/internal/model"

// Simulator keeps simulated time and the events that are scheduled. The zero Simulator is at time 0 without events. It
// may be used from one goroutine only.
type Simulator struct {
	now       model.Microseconds
	scheduled uint64 // events so far
	queue     eventQueue
	processed uint64
}

// Now is the simulated time in microseconds from the start.
func (s *Simulator) Now() model.Microseconds { return s.now }

// Processed is the number of events that have happened.
func (s *Simulator) Processed() uint64 { return s.processed }

// Schedule has an action happen after a delay; a delay below 0 counts as 0.
func (s *Simulator) Schedule(delay model.Microseconds, action func()) {
	s.scheduled++
	s.queue.push(event{at: s.now + max(delay, 0), sequence: s.scheduled, action: action})
}

// RunUntil processes all events that are due by the end, and leaves the clock there.
func (s *Simulator) RunUntil(end model.Microseconds) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := s.queue.pop()
		s.now = next.at
		s.processed++
		next.action()
	}
	s.now = max(s.now, end)
}

package simulation

import "peppervale/internal/model"

// Simulator holds the simulated time and the scheduled events. The zero Simulator is at time 0 without events. It may
// be used from one goroutine only.
type Simulator struct {
	now             model.Microseconds
	scheduledEvents uint64 // number of events scheduled so far
	queue           eventQueue
	processedEvents uint64
}

// Now returns the simulated time in microseconds since the start.
func (s *Simulator) Now() model.Microseconds { return s.now }

// Processed returns the number of events that have run.
func (s *Simulator) Processed() uint64 { return s.processedEvents }

// Schedule schedules an action to run after a delay. A negative delay counts as 0.
func (s *Simulator) Schedule(delay model.Microseconds, action func()) {
	s.scheduledEvents++
	s.queue.push(event{at: s.now + max(delay, 0), sequence: s.scheduledEvents, action: action})
}

// RunUntil runs all events that are due by the given end and sets the clock to it.
func (s *Simulator) RunUntil(end model.Microseconds) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := s.queue.pop()
		s.now = next.at
		s.processedEvents++
		next.action()
	}
	s.now = max(s.now, end)
}

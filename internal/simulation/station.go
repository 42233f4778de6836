package simulation

import "peppervale/internal/model"

const (
	// Unlimited is the QueueLimit of a station that rejects no job.
	Unlimited = -1

	// minCompaction is how many served jobs the queue's slice holds at least before it is compacted.
	minCompaction = 1024
)

// Station serves jobs first come, first served, on a number of equal cores. It models the inside of a replica.
type Station struct {
	QueueLimit int     // jobs that may wait; one more is rejected. Unlimited: any number
	Slowdown   float64 // each job takes so many times its work; 1 without any

	simulator *Simulator
	cores     int
	busyCores int
	queue     []job
	head      int // index in queue of the next job; those before it were served

	served   uint64
	rejected uint64

	updatedAt model.Microseconds // when the integrals were last updated
	jobsArea  float64            // integral of the jobs at the station over time
	busyArea  float64            // integral of the busy cores over time
}

type job struct {
	work model.Microseconds
	done func()
}

// NewStation makes an idle station with an unlimited queue.
func NewStation(simulator *Simulator, cores int) *Station {
	return &Station{simulator: simulator, cores: cores, QueueLimit: Unlimited, Slowdown: 1}
}

// Jobs is the number of jobs that are served or wait.
func (s *Station) Jobs() int { return s.busyCores + s.waiting() }

// Served is the number of jobs that were completed.
func (s *Station) Served() uint64 { return s.served }

// Rejected is the number of jobs that the station had no room for.
func (s *Station) Rejected() uint64 { return s.rejected }

func (s *Station) waiting() int { return len(s.queue) - s.head }

// Submit hands in a job of so much work; done is called when it is completed. It gives false if the job is rejected.
func (s *Station) Submit(work model.Microseconds, done func()) bool {
	s.updateIntegrals()
	submitted := job{work: work, done: done}
	if s.busyCores < s.cores {
		s.serve(submitted)
		return true
	}
	if s.QueueLimit >= 0 && s.waiting() >= s.QueueLimit {
		s.rejected++
		return false
	}
	s.queue = append(s.queue, submitted)
	return true
}

func (s *Station) serve(current job) {
	s.busyCores++
	duration := model.Microseconds(float64(current.work) * s.Slowdown)
	s.simulator.Schedule(duration, func() {
		s.updateIntegrals()
		s.busyCores--
		s.served++
		if s.waiting() > 0 {
			s.serve(s.takeNext())
		}
		current.done()
	})
}

// takeNext removes the first job of the queue, which must not be empty.
func (s *Station) takeNext() job {
	next := s.queue[s.head]
	s.queue[s.head] = job{}
	s.head++
	switch {
	case s.head == len(s.queue):
		s.queue = s.queue[:0]
		s.head = 0
	case s.head > minCompaction && s.head > len(s.queue)/2:
		remaining := copy(s.queue, s.queue[s.head:])
		s.queue = s.queue[:remaining]
		s.head = 0
	}
	return next
}

// updateIntegrals adds what was at the station since the last change.
func (s *Station) updateIntegrals() {
	elapsed := float64(s.simulator.Now() - s.updatedAt)
	s.jobsArea += elapsed * float64(s.Jobs())
	s.busyArea += elapsed * float64(s.busyCores)
	s.updatedAt = s.simulator.Now()
}

// MeanOccupancy gives the mean number of jobs at the station and the mean number of busy cores since the start.
func (s *Station) MeanOccupancy() (jobs, busyCores float64) {
	s.updateIntegrals()
	if s.updatedAt == 0 {
		return 0, 0
	}
	return s.jobsArea / float64(s.updatedAt), s.busyArea / float64(s.updatedAt)
}

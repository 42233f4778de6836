package simulation

import "peppervale/internal/model"

const (
	// Unlimited is the QueueLimit of a station that rejects no job.
	Unlimited = -1

	// minCompaction is the number of unused elements that the queue's slice must exceed before it is compacted.
	minCompaction = 1024
)

// Station serves jobs first come, first served, on a number of equal cores. It models the cores and the queue of a
// replica.
type Station struct {
	QueueLimit int     // maximum number of waiting jobs; further jobs are rejected. Unlimited: no limit
	Slowdown   float64 // factor from a job's work to its service time; 1: no slowdown

	simulator *Simulator
	cores     int
	busyCores int
	queue     []job
	head      int // index in queue of the next job; the elements before it are unused

	servedJobs   uint64
	rejectedJobs uint64

	updatedAt         model.Microseconds // when the integrals were last updated
	jobsIntegral      float64            // integral over time of the number of jobs at the station, in microseconds
	busyCoresIntegral float64            // integral over time of the number of busy cores, in microseconds
}

type job struct {
	work model.Microseconds
	done func()
}

// NewStation returns an idle station with an unlimited queue.
func NewStation(simulator *Simulator, cores int) *Station {
	return &Station{simulator: simulator, cores: cores, QueueLimit: Unlimited, Slowdown: 1}
}

// Jobs returns the number of jobs that are being served or wait.
func (s *Station) Jobs() int { return s.busyCores + s.waiting() }

// Served returns the number of completed jobs.
func (s *Station) Served() uint64 { return s.servedJobs }

// Rejected returns the number of jobs that were rejected because the queue was full.
func (s *Station) Rejected() uint64 { return s.rejectedJobs }

func (s *Station) waiting() int { return len(s.queue) - s.head }

// Submit adds a job with the given work. done is called when the job is completed. Submit returns false if the job is
// rejected.
func (s *Station) Submit(work model.Microseconds, done func()) bool {
	s.updateIntegrals()
	submitted := job{work: work, done: done}
	if s.busyCores < s.cores {
		s.serve(submitted)
		return true
	}
	if s.QueueLimit >= 0 && s.waiting() >= s.QueueLimit {
		s.rejectedJobs++
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
		s.servedJobs++
		if s.waiting() > 0 {
			s.serve(s.popJob())
		}
		current.done()
	})
}

// popJob removes and returns the first job of the queue. The queue must not be empty.
func (s *Station) popJob() job {
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

// updateIntegrals adds the time since the last update to the integrals.
func (s *Station) updateIntegrals() {
	elapsed := float64(s.simulator.Now() - s.updatedAt)
	s.jobsIntegral += elapsed * float64(s.Jobs())
	s.busyCoresIntegral += elapsed * float64(s.busyCores)
	s.updatedAt = s.simulator.Now()
}

// MeanOccupancy returns the mean number of jobs at the station and the mean number of busy cores since the start.
func (s *Station) MeanOccupancy() (jobs, busyCores float64) {
	s.updateIntegrals()
	if s.updatedAt == 0 {
		return 0, 0
	}
	return s.jobsIntegral / float64(s.updatedAt), s.busyCoresIntegral / float64(s.updatedAt)
}

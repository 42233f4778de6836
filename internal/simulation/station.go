package simulation

import "peppervale/internal/model"

// Station works invocations off, first come first served, on some cores, each as fast as the other. It stands for a replica's inside.
type Station struct {
	core    *Core
	cores   int
	Waiting int // invocations that may wait; beyond them one is turned away. Below 0: any number
	Slow    float64
	busy    int
	queue   []job
	head    int // of the queue: what is before it was served
	seen    model.Microseconds
	area    float64 // invocations here, over time
	used    float64 // cores in use, over time
	Served  uint64
	Turned  uint64 // away, as it was full
}

type job struct {
	work model.Microseconds
	done func()
}

// NewStation makes an idle one.
func NewStation(core *Core, cores int) *Station {
	return &Station{core: core, cores: cores, Waiting: -1, Slow: 1}
}

// Here is how many invocations are served or wait.
func (s *Station) Here() int { return s.busy + len(s.queue) - s.head }

// Take takes an invocation of so much work and calls done at its end; false: it is full.
func (s *Station) Take(work model.Microseconds, done func()) bool {
	s.look()
	switch {
	case s.busy < s.cores:
		s.serve(job{work, done})
	case s.Waiting >= 0 && len(s.queue)-s.head >= s.Waiting:
		s.Turned++
		return false
	default:
		s.queue = append(s.queue, job{work, done})
	}
	return true
}

func (s *Station) serve(j job) {
	s.busy++
	s.core.After(model.Microseconds(float64(j.work)*s.Slow), func() {
		s.look()
		s.busy--
		s.Served++
		if s.head < len(s.queue) {
			next := s.queue[s.head]
			s.queue[s.head] = job{}
			if s.head++; s.head == len(s.queue) {
				s.queue, s.head = s.queue[:0], 0
			} else if s.head > 1024 && s.head > len(s.queue)/2 {
				s.queue, s.head = s.queue[:copy(s.queue, s.queue[s.head:])], 0
			}
			s.serve(next)
		}
		j.done()
	})
}

// look counts what was here since the last change.
func (s *Station) look() {
	span := float64(s.core.Now() - s.seen)
	s.area += span * float64(s.Here())
	s.used += span * float64(s.busy)
	s.seen = s.core.Now()
}

// Means gives the mean number here and the mean cores in use, since the start.
func (s *Station) Means() (here, used float64) {
	s.look()
	if s.seen == 0 {
		return 0, 0
	}
	return s.area / float64(s.seen), s.used / float64(s.seen)
}

// Pick chooses a station for an invocation.
type Pick func(all []*Station) *Station

// Even draws any, each as likely.
func Even(c Chance) Pick {
	return func(all []*Station) *Station { return all[c.IntN(len(all))] }
}

// Pair draws two and takes the one with less here: a pair choice with true loads.
func Pair(c Chance) Pick {
	return func(all []*Station) *Station {
		a, b := all[c.IntN(len(all))], all[c.IntN(len(all))]
		if b.Here() < a.Here() {
			return b
		}
		return a
	}
}

// Least takes the one with the least here, the first of equals: the best that whoever knows all can do without knowing the work.
func Least() Pick {
	return func(all []*Station) *Station {
		best := all[0]
		for _, s := range all[1:] {
			if s.Here() < best.Here() {
				best = s
			}
		}
		return best
	}
}

// Stream sends invocations to stations: Poisson arrivals at a rate, exponential work. Took is the sum of their times here, of those that
// came after From.
type Stream struct {
	Core     *Core
	Arrivals Chance
	Work     Chance
	Gap      float64            // mean, between two arrivals, microseconds and parts of one: a whole number of them would change a high rate
	Mean     model.Microseconds // of the work
	Stations []*Station
	Pick     Pick
	From     model.Microseconds
	Took     float64 // microseconds, of Count
	Count    uint64
	carry    float64
}

// Start books the first arrival.
func (s *Stream) Start() { s.Core.After(s.gap(), s.arrive) }

// gap draws the next one and carries what whole microseconds leave of it, so that the rate is kept.
func (s *Stream) gap() model.Microseconds {
	s.carry += s.Arrivals.ExpFloat64() * s.Gap
	whole := model.Microseconds(s.carry)
	s.carry -= float64(whole)
	return whole
}

func (s *Stream) arrive() {
	s.Core.After(s.gap(), s.arrive)
	at := s.Core.Now()
	s.Pick(s.Stations).Take(s.Work.Exponential(s.Mean), func() {
		if at >= s.From {
			s.Took += float64(s.Core.Now() - at)
			s.Count++
		}
	})
}

package simulation

import "peppervale/internal/model"

// Source sends jobs to stations, with Poisson arrivals and exponentially distributed work.
type Source struct {
	Simulator        *Simulator
	Arrivals         RandomStream
	Work             RandomStream
	MeanInterarrival float64            // in microseconds; fractions keep high rates exact
	MeanWork         model.Microseconds // mean work of a job
	Stations         []*Station
	Policy           Policy
	MeasureFrom      model.Microseconds // jobs that arrive earlier are not measured

	totalResponseTime float64 // microseconds that the measured jobs spent at their stations
	measuredJobs      uint64
	carriedFraction   float64 // fraction of a microsecond carried over from the last interarrival time
}

// Start schedules the first arrival.
func (s *Source) Start() { s.Simulator.Schedule(s.nextInterarrival(), s.arrive) }

// Measured returns the number of measured jobs that were completed.
func (s *Source) Measured() uint64 { return s.measuredJobs }

// MeanResponseTime returns the mean time in microseconds that a measured job spent at its station, waiting and being
// served. It is NaN if no job was measured.
func (s *Source) MeanResponseTime() float64 { return s.totalResponseTime / float64(s.measuredJobs) }

// nextInterarrival draws the time until the next arrival. It carries the fraction of a microsecond over to the next
// call.
func (s *Source) nextInterarrival() model.Microseconds {
	s.carriedFraction += s.Arrivals.ExpFloat64() * s.MeanInterarrival
	whole := model.Microseconds(s.carriedFraction)
	s.carriedFraction -= float64(whole)
	return whole
}

func (s *Source) arrive() {
	s.Simulator.Schedule(s.nextInterarrival(), s.arrive)
	arrivedAt := s.Simulator.Now()
	station := s.Policy(s.Stations)
	station.Submit(s.Work.Exponential(s.MeanWork), func() {
		if arrivedAt >= s.MeasureFrom {
			s.totalResponseTime += float64(s.Simulator.Now() - arrivedAt)
			s.measuredJobs++
		}
	})
}

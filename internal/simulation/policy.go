package simulation

// Policy chooses the station for a job.
type Policy func(stations []*Station) *Station

// RandomChoice draws any station, each with the same probability.
func RandomChoice(random RandomStream) Policy {
	return func(stations []*Station) *Station { return stations[random.IntN(len(stations))] }
}

// TwoChoices draws two stations and takes the one with fewer jobs: the power of two choices with exact loads.
func TwoChoices(random RandomStream) Policy {
	return func(stations []*Station) *Station {
		first := stations[random.IntN(len(stations))]
		second := stations[random.IntN(len(stations))]
		if second.Jobs() < first.Jobs() {
			return second
		}
		return first
	}
}

// LeastLoaded takes the station with the fewest jobs, the first of equals. No policy that does not know the jobs' work
// does better.
func LeastLoaded() Policy {
	return func(stations []*Station) *Station {
		least := stations[0]
		for _, station := range stations[1:] {
			if station.Jobs() < least.Jobs() {
				least = station
			}
		}
		return least
	}
}

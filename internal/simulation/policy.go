package simulation

// Policy chooses the station for a job.
type Policy func(stations []*Station) *Station

// RandomChoice chooses each station with the same probability.
func RandomChoice(random RandomStream) Policy {
	return func(stations []*Station) *Station { return stations[random.IntN(len(stations))] }
}

// TwoChoices draws two stations and chooses the one with fewer jobs: the power of two choices with exact loads.
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

// LeastLoaded chooses the station with the fewest jobs, the first of equals. It is the best policy that does not know
// the jobs' work.
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

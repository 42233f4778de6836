package simulation

import (
	"fmt"
	"math"
	"testing"

	"peppervale/internal/model"
)

// workload describes a simulation with one source.
type workload struct {
	seed            uint64
	stations        int
	coresPerStation int
	loadPerCore     float64
	seconds         int
	policy          func(RandomStream) Policy
}

// simulate runs a workload. The first tenth of the time is not measured.
func simulate(workload workload) *Source {
	const meanWork = 10 * model.Millisecond
	simulator := &Simulator{}
	totalLoad := workload.loadPerCore * float64(workload.stations*workload.coresPerStation)
	source := &Source{
		Simulator:        simulator,
		Arrivals:         NewRandomStream(workload.seed, "arrivals"),
		Work:             NewRandomStream(workload.seed, "work"),
		MeanWork:         meanWork,
		MeanInterarrival: float64(meanWork) / totalLoad,
		Policy:           workload.policy(NewRandomStream(workload.seed, "pick")),
		MeasureFrom:      model.Microseconds(workload.seconds) * model.Second / 10,
	}
	for range workload.stations {
		source.Stations = append(source.Stations, NewStation(simulator, workload.coresPerStation))
	}
	source.Start()
	simulator.RunUntil(model.Microseconds(workload.seconds) * model.Second)
	return source
}

// relativeResponseTime returns the mean time that a job spends at its station, as a multiple of the mean work.
func relativeResponseTime(source *Source) float64 {
	return source.MeanResponseTime() / float64(source.MeanWork)
}

// erlangRelativeWait returns the mean wait in an M/M/c queue by Erlang's C formula, as a multiple of the mean work.
// load is the load of one core.
func erlangRelativeWait(cores int, load float64) float64 {
	offered := load * float64(cores)
	sum, term := 0.0, 1.0
	for k := range cores {
		sum += term
		term *= offered / float64(k+1)
	}
	waitProbability := term / (1 - load) / (sum + term/(1-load))
	return waitProbability / (float64(cores) * (1 - load))
}

// twoChoicesRelativeTime returns the mean time of a job, as a multiple of the mean work, for the power of two choices
// with the number of M/M/1 stations tending to infinity (Mitzenmacher; Vvedenskaya, Dobrushin and Karpelevich).
func twoChoicesRelativeTime(load float64) float64 {
	sum := 0.0
	for k := 1; k < 30; k++ {
		sum += math.Pow(load, math.Pow(2, float64(k))-2)
	}
	return sum
}

// checkRelative requires that a value equals the exact value within a relative tolerance.
func checkRelative(t *testing.T, quantity string, got, want, tolerance float64) {
	t.Helper()
	t.Logf("%s: %.4f, exact %.4f", quantity, got, want)
	deviation := math.Abs(got/want - 1)
	if math.IsNaN(deviation) || deviation > tolerance {
		t.Errorf("%s: %.4f, want %.4f within a relative tolerance of %g", quantity, got, want, tolerance)
	}
}

func TestOneStationMatchesErlangC(t *testing.T) {
	const (
		littleTolerance      = 0.03
		utilizationTolerance = 0.02
	)
	for _, tt := range []struct {
		cores     int
		load      float64
		seconds   int
		tolerance float64
	}{
		{1, 0.5, 4000, 0.02},
		{1, 0.8, 8000, 0.04},
		{2, 0.7, 4000, 0.02},
		{8, 0.9, 2000, 0.03},
		{32, 0.95, 1000, 0.03},
	} {
		t.Run(fmt.Sprintf("M/M/%d at load %.2f", tt.cores, tt.load), func(t *testing.T) {
			source := simulate(workload{
				seed: 1, stations: 1, coresPerStation: tt.cores, loadPerCore: tt.load, seconds: tt.seconds, policy: RandomChoice,
			})
			station := source.Stations[0]
			checkRelative(t, "time over work",
				relativeResponseTime(source), 1+erlangRelativeWait(tt.cores, tt.load), tt.tolerance)
			// Little's law: for any distributions, the mean number of jobs is the arrival rate times their mean time.
			jobs, busyCores := station.MeanOccupancy()
			rate := float64(station.Served()) / (float64(tt.seconds) * float64(model.Second))
			checkRelative(t, "jobs by Little's law", jobs, rate*source.MeanResponseTime(), littleTolerance)
			checkRelative(t, "utilization", busyCores/float64(tt.cores), tt.load, utilizationTolerance)
		})
	}
}

func TestTwoChoicesMatchTheLimitForManyStations(t *testing.T) {
	for _, tt := range []struct{ load, tolerance float64 }{{0.5, 0.01}, {0.8, 0.01}, {0.95, 0.02}} {
		t.Run(fmt.Sprintf("load %.2f", tt.load), func(t *testing.T) {
			source := simulate(workload{
				seed: 1, stations: 500, coresPerStation: 1, loadPerCore: tt.load, seconds: 60, policy: TwoChoices,
			})
			checkRelative(t, "time over work", relativeResponseTime(source), twoChoicesRelativeTime(tt.load), tt.tolerance)
		})
	}
}

func TestPoliciesWithMoreLoadInformationAreFaster(t *testing.T) {
	relativeTimeOf := func(policy func(RandomStream) Policy) float64 {
		return relativeResponseTime(simulate(workload{
			seed: 1, stations: 50, coresPerStation: 1, loadPerCore: 0.8, seconds: 60, policy: policy,
		}))
	}
	random := relativeTimeOf(RandomChoice)
	twoChoices := relativeTimeOf(TwoChoices)
	leastLoaded := relativeTimeOf(func(RandomStream) Policy { return LeastLoaded() })
	if random <= 1.5*twoChoices || twoChoices <= 1.1*leastLoaded || leastLoaded < 1 {
		t.Errorf("relative mean times: random %.3f, two choices %.3f, least loaded %.3f; want a clear decrease to at least 1",
			random, twoChoices, leastLoaded)
	}
}

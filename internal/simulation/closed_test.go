package simulation

import (
	"fmt"
	"math"
	"testing"

	"peppervale/internal/model"
)

// waiting is the mean wait of M/M/c over the mean work, by Erlang's C formula; load is that of one core.
func waiting(cores int, load float64) float64 {
	offered := load * float64(cores)
	sum, term := 0.0, 1.0
	for k := range cores {
		sum += term
		term *= offered / float64(k+1)
	}
	c := term / (1 - load) / (sum + term/(1-load))
	return c / (float64(cores) * (1 - load))
}

// pairTime is the mean time of a pair choice among very many M/M/1 stations over the mean work (Mitzenmacher; Vvedenskaya and others).
func pairTime(load float64) (sum float64) {
	for k := 1; k < 30; k++ {
		sum += math.Pow(load, math.Pow(2, float64(k))-2)
	}
	return sum
}

// run plays a stream at so much load of each core, and gives the mean time of an invocation over the mean work.
func run(seed uint64, stations, cores int, load float64, seconds int, pick func(Chance) Pick) (time float64, s *Stream) {
	core := &Core{}
	s = &Stream{Core: core, Arrivals: NewChance(seed, "arrivals"), Work: NewChance(seed, "work"), Mean: 10 * model.Millisecond,
		Gap: float64(10*model.Millisecond) / (load * float64(stations*cores)), Pick: pick(NewChance(seed, "pick")), From: model.Microseconds(seconds) * model.Second / 10}
	for range stations {
		s.Stations = append(s.Stations, NewStation(core, cores))
	}
	s.Start()
	core.Run(model.Microseconds(seconds) * model.Second)
	return s.Took / float64(s.Count) / float64(s.Mean), s
}

// The emulator meets what is known in closed form, within the error stated beside each.
func TestClosedResults(t *testing.T) {
	for _, c := range []struct {
		cores   int
		load    float64
		seconds int
		within  float64
	}{{1, 0.5, 4000, 0.02}, {1, 0.8, 8000, 0.04}, {2, 0.7, 4000, 0.02}, {8, 0.9, 2000, 0.03}, {32, 0.95, 1000, 0.03}} {
		got, s := run(1, 1, c.cores, c.load, c.seconds, Even)
		want := 1 + waiting(c.cores, c.load)
		if math.Abs(got/want-1) > c.within {
			t.Errorf("M/M/%d at %.2f: %.4f times the work, %.4f is exact", c.cores, c.load, got, want)
		}
		t.Logf("M/M/%d at %.2f: %.4f, exact %.4f", c.cores, c.load, got, want)
		// Little's law: what is here is the rate times the time of each, whatever the distributions.
		here, used := s.Stations[0].Means()
		rate := float64(s.Stations[0].Served) / (float64(c.seconds) * 1e6)
		if law := rate * got * float64(s.Mean); math.Abs(here/law-1) > 0.03 {
			t.Errorf("M/M/%d at %.2f: %.3f here, %.3f by Little's law", c.cores, c.load, here, law)
		}
		if math.Abs(used/float64(c.cores)/c.load-1) > 0.02 {
			t.Errorf("M/M/%d at %.2f: %.3f of its cores in use", c.cores, c.load, used/float64(c.cores))
		}
	}
	for _, c := range []struct{ load, within float64 }{{0.5, 0.01}, {0.8, 0.01}, {0.95, 0.02}} {
		got, _ := run(1, 500, 1, c.load, 60, Pair)
		want := pairTime(c.load)
		t.Logf("pair at %.2f: %.4f, for very many %.4f", c.load, got, want)
		if math.Abs(got/want-1) > c.within {
			t.Errorf("a pair choice at %.2f: %.4f times the work, %.4f for very many", c.load, got, want)
		}
	}
}

// Whoever knows more does better, in the order that theory has them.
func TestWhoKnowsMoreDoesBetter(t *testing.T) {
	even, _ := run(1, 50, 1, 0.8, 60, Even)
	pair, _ := run(1, 50, 1, 0.8, 60, Pair)
	least, _ := run(1, 50, 1, 0.8, 60, func(Chance) Pick { return Least() })
	if !(even > 1.5*pair && pair > 1.1*least && least >= 1) {
		t.Errorf("even %.3f, pair %.3f, least %.3f", even, pair, least)
	}
}

// The same seed gives the same run to the microsecond; another one does not; a stream more changes no other's draws.
func TestTheSameSeed(t *testing.T) {
	tell := func(seed uint64) string {
		_, s := run(seed, 10, 2, 0.9, 20, Pair)
		return fmt.Sprint(s.Took, s.Count, s.Core.Events)
	}
	if tell(1) != tell(1) || tell(1) == tell(2) {
		t.Errorf("%s, %s, %s", tell(1), tell(1), tell(2))
	}
	a := NewChance(1, "a")
	first := a.Uint64()
	_ = NewChance(1, "b").Uint64()
	if again := NewChance(1, "a").Uint64(); again != first {
		t.Error("a stream depends on another")
	}
}

// Events of one moment happen in the order booked, whatever the heap does with them.
func TestTheOrderOfAMoment(t *testing.T) {
	core, chance := &Core{}, NewChance(1, "order")
	last, at := -1, model.Microseconds(-1)
	for n := range 10_000 {
		due := model.Microseconds(chance.IntN(50))
		core.After(due, func() {
			if core.Now() != due || due < at || due == at && n < last {
				t.Fatalf("%d, due at %d, happens at %d after %d", n, due, core.Now(), last)
			}
			last, at = n, due
		})
	}
	core.Run(model.Second)
	if core.Events != 10_000 || core.Now() != model.Second {
		t.Errorf("%d events, the clock at %d", core.Events, core.Now())
	}
}

// A full station turns away, and what it took it serves.
func TestAFullStation(t *testing.T) {
	core := &Core{}
	s := NewStation(core, 2)
	s.Waiting = 3
	done, taken := 0, 0
	for range 10 {
		if s.Take(model.Millisecond, func() { done++ }) {
			taken++
		}
	}
	core.Run(model.Second)
	if taken != 5 || done != 5 || s.Turned != 5 || s.Here() != 0 {
		t.Errorf("%d taken, %d done, %d turned away, %d here", taken, done, s.Turned, s.Here())
	}
}

// BenchmarkEvents is a pair choice among 2,000 stations: two events an invocation.
func BenchmarkEvents(b *testing.B) {
	events := uint64(0)
	for b.Loop() {
		_, s := run(1, 2000, 2, 0.8, 2, Pair)
		events += s.Core.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

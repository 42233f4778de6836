package simulation

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

func TestEventsAtTheSameTimeRunInSchedulingOrder(t *testing.T) {
	const events = 10_000
	simulator := &Simulator{}
	random := NewRandomStream(1, "order")
	lastEvent := -1
	lastTime := model.Microseconds(-1)
	for i := range events {
		due := model.Microseconds(random.IntN(50))
		simulator.Schedule(due, func() {
			isOutOfOrder := due < lastTime || due == lastTime && i < lastEvent
			if simulator.Now() != due || isOutOfOrder {
				t.Fatalf("event %d, due at %d, ran at %d after event %d", i, due, simulator.Now(), lastEvent)
			}
			lastEvent = i
			lastTime = due
		})
	}
	simulator.RunUntil(model.Second)
	if simulator.Processed() != events || simulator.Now() != model.Second {
		t.Errorf("%d events ran, the clock is at %d µs, want all events and the end of the run",
			simulator.Processed(), simulator.Now())
	}
}

func TestRunIsDeterminedByItsSeed(t *testing.T) {
	summary := func(seed uint64) string {
		source := simulate(workload{
			seed: seed, stations: 10, coresPerStation: 2, loadPerCore: 0.9, seconds: 20, policy: TwoChoices,
		})
		return fmt.Sprint(source.totalResponseTime, source.measuredJobs, source.Simulator.Processed())
	}
	first, again, other := summary(1), summary(1), summary(2)
	if first != again || first == other {
		t.Errorf("two runs with seed 1: %s and %s, want equal; seed 2: %s, want a different result", first, again, other)
	}
}

func TestRandomStreamDrawsAreUnchangedByOtherStreams(t *testing.T) {
	want := NewRandomStream(1, "a").Uint64()
	_ = NewRandomStream(1, "b").Uint64()
	if got := NewRandomStream(1, "a").Uint64(); got != want {
		t.Error("the draws of a stream depend on another stream")
	}
}

func TestStationRejectsJobsWhenItsQueueIsFull(t *testing.T) {
	simulator := &Simulator{}
	station := NewStation(simulator, 2)
	station.QueueLimit = 3
	completed, accepted := 0, 0
	for range 10 {
		if station.Submit(model.Millisecond, func() { completed++ }) {
			accepted++
		}
	}
	simulator.RunUntil(model.Second)
	if accepted != 5 || completed != 5 || station.Rejected() != 5 || station.Jobs() != 0 {
		t.Errorf("%d accepted, %d completed, %d rejected, %d left; want 5, 5, 5, 0",
			accepted, completed, station.Rejected(), station.Jobs())
	}
}

// BenchmarkEvents measures the rate of events. Each job takes two events.
func BenchmarkEvents(b *testing.B) {
	events := uint64(0)
	for b.Loop() {
		source := simulate(workload{
			seed: 1, stations: 2000, coresPerStation: 2, loadPerCore: 0.8, seconds: 2, policy: TwoChoices,
		})
		events += source.Simulator.Processed()
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

package benchmark

import (
	"slices"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

func streamOpenedEvent(at model.Microseconds, proxy, instance string) invariants.StreamChanged {
	return invariants.StreamChanged{At: at, Proxy: proxy, Instance: instance, Up: true}
}

func streamLostEvent(at model.Microseconds, proxy, instance string) invariants.StreamChanged {
	return invariants.StreamChanged{At: at, Proxy: proxy, Instance: instance}
}

func TestStreamObserverMeasuresGapsBetweenStreams(t *testing.T) {
	observer := newStreamObserver()
	for _, event := range []invariants.StreamChanged{
		streamLostEvent(1, "never connected", "a"),
		streamOpenedEvent(10, "p", "a"),
		streamOpenedEvent(10, "q", "a"),
		streamLostEvent(20, "p", "a"),
		streamLostEvent(25, "p", "a"), // a failed attempt to connect
		streamOpenedEvent(50, "p", "a"),
		streamLostEvent(60, "q", "a"),
	} {
		observer.observe(event)
	}
	if connected, streams := observer.count(); connected != 1 || streams != 3 {
		t.Errorf("%d connected proxies and %d opened streams, want 1 and 3", connected, streams)
	}
	if gaps := observer.sortedGaps(); !slices.Equal(gaps, []model.Microseconds{30}) {
		t.Errorf("gaps of %v µs, want one gap of 30 µs", gaps)
	}
}

func TestTakeoverObserverMeasuresOnlyProxiesOfTheKilledInstance(t *testing.T) {
	observer := newTakeoverObserver()
	observer.observe(streamOpenedEvent(1, "displaced", "killed"))
	observer.observe(streamOpenedEvent(1, "other", "survivor"))
	observer.beginRound("killed", 100)
	if observer.allDisplacedBound() {
		t.Error("the displaced proxy counts as bound before it has applied any message")
	}
	bind := &pubsubmsg.Message{Bound: true}
	observer.observe(streamLostEvent(101, "displaced", "killed"))
	observer.observe(streamLostEvent(102, "other", "survivor"))
	observer.messageApplied(105, "displaced", "killed", bind) // sent before the kill
	observer.messageApplied(110, "other", "survivor", bind)
	observer.messageApplied(130, "displaced", "survivor", &pubsubmsg.Message{})
	observer.messageApplied(150, "displaced", "survivor", bind)
	observer.messageApplied(170, "displaced", "survivor", bind)
	if !observer.allDisplacedBound() {
		t.Error("the displaced proxy does not count as bound after a message that binds it")
	}
	if !slices.Equal(observer.firstMessageTimes, []model.Microseconds{30}) {
		t.Errorf("first messages applied after %v µs, want one after 30 µs", observer.firstMessageTimes)
	}
	if !slices.Equal(observer.firstBindTimes, []model.Microseconds{50}) {
		t.Errorf("proxies bound after %v µs, want one after 50 µs", observer.firstBindTimes)
	}
	if observer.otherStreamsBroken != 1 {
		t.Errorf("%d broken streams to other instances, want 1", observer.otherStreamsBroken)
	}
	observer.endRound()
	observer.observe(streamLostEvent(200, "other", "survivor"))
	if observer.otherStreamsBroken != 1 {
		t.Error("a stream that broke between two rounds was counted")
	}
	if count := observer.proxyCount("survivor"); count != 1 {
		t.Errorf("the survivor has %d proxies, want 1", count)
	}
}

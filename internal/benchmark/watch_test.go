package benchmark

import (
	"slices"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

func opened(at model.Microseconds, proxy, instance string) invariants.StreamChanged {
	return invariants.StreamChanged{At: at, Proxy: proxy, Instance: instance, Up: true}
}

func lost(at model.Microseconds, proxy, instance string) invariants.StreamChanged {
	return invariants.StreamChanged{At: at, Proxy: proxy, Instance: instance}
}

func TestStreamWatchMeasuresGapsBetweenStreams(t *testing.T) {
	watch := newStreamWatch()
	for _, event := range []invariants.StreamChanged{
		lost(1, "never connected", "a"),
		opened(10, "p", "a"),
		opened(10, "q", "a"),
		lost(20, "p", "a"),
		lost(25, "p", "a"), // a failed attempt to connect
		opened(50, "p", "a"),
		lost(60, "q", "a"),
	} {
		watch.observe(event)
	}
	if connected, streams := watch.count(); connected != 1 || streams != 3 {
		t.Errorf("%d connected proxies and %d opened streams, want 1 and 3", connected, streams)
	}
	if gaps := watch.sortedGaps(); !slices.Equal(gaps, []model.Microseconds{30}) {
		t.Errorf("gaps %v, want one gap of 30", gaps)
	}
}

func TestTakeoverWatchMeasuresOnlyProxiesOfTheKilledInstance(t *testing.T) {
	watch := newTakeoverWatch()
	watch.observe(opened(1, "displaced", "killed"))
	watch.observe(opened(1, "other", "survivor"))
	watch.beginRound("killed", 100)
	if watch.allDisplacedBound() {
		t.Error("the displaced proxy counts as bound before it has applied any message")
	}
	bind := &pubsubmsg.Message{Bound: true}
	watch.observe(lost(101, "displaced", "killed"))
	watch.observe(lost(102, "other", "survivor"))
	watch.messageApplied(105, "displaced", "killed", bind) // sent before the kill
	watch.messageApplied(110, "other", "survivor", bind)
	watch.messageApplied(130, "displaced", "survivor", &pubsubmsg.Message{})
	watch.messageApplied(150, "displaced", "survivor", bind)
	watch.messageApplied(170, "displaced", "survivor", bind)
	if !watch.allDisplacedBound() {
		t.Error("the displaced proxy does not count as bound after a message that binds it")
	}
	if !slices.Equal(watch.firstMessageTimes, []model.Microseconds{30}) {
		t.Errorf("first messages applied after %v, want one after 30", watch.firstMessageTimes)
	}
	if !slices.Equal(watch.firstBindTimes, []model.Microseconds{50}) {
		t.Errorf("proxies bound after %v, want one after 50", watch.firstBindTimes)
	}
	if watch.otherStreamsBroken != 1 {
		t.Errorf("%d broken streams to other instances, want 1", watch.otherStreamsBroken)
	}
	watch.endRound()
	watch.observe(lost(200, "other", "survivor"))
	if watch.otherStreamsBroken != 1 {
		t.Error("a stream that breaks between two rounds is counted")
	}
	if count := watch.proxiesOf("survivor"); count != 1 {
		t.Errorf("the survivor has %d proxies, want 1", count)
	}
}

package pubsub

import (
	"sync/atomic"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// joinHolding connects a proxy of the second zone that holds a version of an incarnation, and sends its JOIN.
func (h *testHarness) joinHolding(t *testing.T, name string, incarnation, version uint64) *testClient {
	t.Helper()
	client := h.dial(t)
	client.Send(pubsubmsg.AppendJoin(helloCommand(), pubsubmsg.Join{
		Name: name, Zone: "kelvin", ExpectedRate: 2, Incarnation: incarnation, Version: version,
	}))
	if value, _ := client.Next(); value.Kind != resp.Map {
		t.Fatalf("the reply to HELLO is %v, want a map", value)
	}
	return client
}

// expectJoined checks that the next value answers JOIN with an incarnation.
func (c *testClient) expectJoined(incarnation uint64) {
	c.t.Helper()
	value, _ := c.Next()
	if value.Kind != resp.Map || len(value.Items) < 2 || value.Items[1].Int != int64(incarnation) {
		c.t.Fatalf("the reply to JOIN is %v, want a map with life %d", value, incarnation)
	}
}

// expectIncarnation checks the next message's incarnation and returns the message.
func (c *testClient) expectIncarnation(incarnation uint64) *pubsubmsg.Message {
	c.t.Helper()
	message := c.message()
	if message.Incarnation != incarnation {
		c.t.Fatalf("received %+v, want incarnation %d", message, incarnation)
	}
	return message
}

// Guards against an incarnation that is used twice (review/7): an instance that lost its state directory calls itself
// by an earlier number again, and its proxies drop all that it sends as older than what they hold.
func TestIncarnationIsRaisedAboveOneThatProxyShows(t *testing.T) {
	var raised atomic.Uint64
	harness := startServer(t, func(config *Config) { config.IncarnationRaised = raised.Store })
	fresh, first := harness.join(t, "fresh")
	if first.Incarnation != 3 {
		t.Fatalf("incarnation %d at the start, want 3", first.Incarnation)
	}
	former := harness.joinHolding(t, "former", 3, 47)
	former.expectJoined(4)
	former.expectIncarnation(4)
	if snapshot := fresh.expectIncarnation(4); !snapshot.Full {
		t.Errorf("a proxy that had joined before received %+v, want a snapshot", snapshot)
	}
	harness.publish(1, bindProxy(0), bindProxy(1), setWeight(1, 1))
	former.expectIncarnation(4)
	fresh.expectIncarnation(4)
	former.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 3, Version: 1, Sequence: 1}))
	fresh.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 4, Version: 1, Sequence: 1}))
	harness.waitForEvent("acknowledged 0 1")
	former.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 4, Version: 1, Sequence: 2}))
	harness.waitForEvent("acknowledged 1 2")
	for _, event := range harness.recordedEvents() {
		if event == "acknowledged 1 1" {
			t.Error("an acknowledgement of the former incarnation was reported")
		}
	}
	if raised.Load() != 4 || harness.server.Stats().IncarnationsRaised != 1 {
		t.Errorf("incarnation %d was reported, raised %d times, want 4 and once", raised.Load(),
			harness.server.Stats().IncarnationsRaised)
	}
}

// Messages that wait for the channel's pace when the incarnation is raised belong to the new one: a proxy would take a
// snapshot of the former one for that of another start, and go back to it.
func TestQueuedMessagesGetRaisedIncarnation(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.EntriesPerSecond = 100 })
	fresh, _ := harness.join(t, "fresh")
	harness.publish(1, bindProxy(0), setWeight(1, 1))
	harness.joinHolding(t, "former", 8, 0).expectJoined(9)
	if snapshot := fresh.expectIncarnation(9); !snapshot.Full {
		t.Errorf("received %+v, want a snapshot", snapshot)
	}
	if bind := fresh.expectIncarnation(9); bind.AckSequence != 1 || !bind.Bound {
		t.Errorf("received %+v, want the queued bind", bind)
	}
}

// Peers cannot raise the incarnation at will: once in raiseInterval, and not beyond what leaves room for later starts.
func TestRaisesOfIncarnationAreBounded(t *testing.T) {
	harness := startServer(t, nil)
	harness.joinHolding(t, "beyond the limit", maxIncarnation+1, 0).expectJoined(3)
	harness.joinHolding(t, "first", 7, 1).expectJoined(8)
	harness.server.mu.Lock()
	harness.server.raisedAt += model.Second * 1000 // however long the test takes
	harness.server.mu.Unlock()
	second := harness.joinHolding(t, "second", 20, 1)
	second.expectError("LATER 1000 milliseconds, then join again")
	second.expectClosed()
	harness.joinHolding(t, "of the former incarnation", 7, 1).expectJoined(8)
	if raised := harness.server.Stats().IncarnationsRaised; raised != 1 {
		t.Errorf("the incarnation was raised %d times, want once", raised)
	}
}

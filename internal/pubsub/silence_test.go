package pubsub

import (
	"testing"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// checkSilenceFor checks the streams as if a time passed in which nothing arrived, once each silenceCheckInterval.
func (h *testHarness) checkSilenceFor(span time.Duration) {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	end := h.server.silenceCheckedAt + model.MicrosecondsOf(span)
	for h.server.silenceCheckedAt < end {
		h.server.endSilentStreams(h.server.silenceCheckedAt + model.MicrosecondsOf(silenceCheckInterval))
	}
}

// Guards against a stream that stays open for good although its proxy neither acknowledges nor sends anything
// (review/6): it ends, and the proxy gets a snapshot when it is back.
func TestStreamOfSilentProxyEnds(t *testing.T) {
	harness := startServer(t, nil)
	silent, _ := harness.join(t, "silent")
	sound, _ := harness.join(t, "sound")
	harness.publish(1, bindProxy(0), bindProxy(1), setWeight(1, 1))
	silent.receiveUntil(1)
	sound.receiveUntil(1)
	sound.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 3, Version: 1, Sequence: 1}))
	harness.waitForEvent("acknowledged 1 1")
	harness.checkSilenceFor(DefaultLimits.SilenceTimeout - time.Second)
	if ended := harness.server.Stats().Silent; ended != 0 {
		t.Fatalf("%d streams have ended before the time limit", ended)
	}
	harness.checkSilenceFor(3 * time.Second)
	silent.expectError("LATER 1 milliseconds, then join again")
	silent.expectClosed()
	harness.waitForEvent("disconnected 0")
	sound.Send(pingCommand())
	sound.expectPong()
	if ended := harness.server.Stats().Silent; ended != 1 {
		t.Errorf("%d streams have ended as silent, want 1", ended)
	}
	if _, message := harness.join(t, "silent"); !message.Full {
		t.Errorf("received %+v after the proxy is back, want a snapshot", message)
	}
}

// A stream stays open when no acknowledgement is due, and when the instance itself did not run.
func TestQuietStreamStaysOpen(t *testing.T) {
	harness := startServer(t, nil)
	harness.join(t, "without any message")
	client, _ := harness.join(t, "acknowledges")
	harness.publish(1, bindProxy(1), setWeight(1, 1))
	client.receiveUntil(1)
	client.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 3, Version: 1, Sequence: 1}))
	harness.waitForEvent("acknowledged 1 1")
	harness.checkSilenceFor(5 * DefaultLimits.SilenceTimeout)
	if ended := harness.server.Stats().Silent; ended != 0 {
		t.Errorf("%d streams without a due acknowledgement have ended", ended)
	}
	suspended, _ := harness.join(t, "while the instance is suspended")
	harness.publish(2, bindProxy(2))
	suspended.receiveUntil(2)
	harness.server.mu.Lock()
	harness.server.endSilentStreams(harness.server.silenceCheckedAt + model.MicrosecondsOf(5*DefaultLimits.SilenceTimeout))
	harness.server.mu.Unlock()
	if ended := harness.server.Stats().Silent; ended != 0 {
		t.Errorf("%d streams have ended after the instance did not run", ended)
	}
}

func TestSilentFor(t *testing.T) {
	const second = model.Second
	for name, tt := range map[string]struct {
		silence                   silenceState
		receivedAt, resumedAt     model.Microseconds
		acknowledged, wantSeconds int // acknowledged: sequence acknowledged at 25 s; -1: none
	}{
		"nothing due":                    {silenceState{}, 10 * second, 0, -1, 0},
		"due, and silent before":         {silenceState{7, 20 * second}, 10 * second, 0, -1, 10},
		"due, but load reports arrive":   {silenceState{7, 20 * second}, 28 * second, 0, -1, 2},
		"due, but the instance was held": {silenceState{7, 20 * second}, 10 * second, 29 * second, -1, 1},
		"newest acknowledged":            {silenceState{7, 20 * second}, 10 * second, 0, 7, 0},
		"older acknowledged":             {silenceState{7, 20 * second}, 10 * second, 0, 6, 5},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &connection{stream: stream{silence: tt.silence}}
			conn.lastReceivedAt.Store(int64(tt.receivedAt))
			if tt.acknowledged >= 0 {
				conn.stream.silence.recordAcknowledged(tt.acknowledged, 25*second)
			}
			if got := conn.silentFor(30*second, tt.resumedAt); got != model.Microseconds(tt.wantSeconds)*second {
				t.Errorf("silent for %d us, want %d s", got, tt.wantSeconds)
			}
		})
	}
}

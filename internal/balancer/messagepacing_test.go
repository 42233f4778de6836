package balancer

import (
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// Guards against a message limit that is used up at once: whatever is sent when, a proxy gets no more messages within
// the window than the limit leaves beside a repeated request, and an urgent one waits for one interval at most.
func TestMessagePacingKeepsLimitAndBoundsWait(t *testing.T) {
	const window = 10 * model.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		pacing := newMessagePacing(model.Config{MessageLimit: limit, MessageWindow: window})
		recipient := &proxy{}
		var sentAt []model.Microseconds
		now := model.Microseconds(0)
		for range rapid.IntRange(1, 200).Draw(t, "tries") {
			now += model.Microseconds(rapid.IntRange(0, 1500).Draw(t, "pause")) * model.Millisecond
			keepsMessage := rapid.Bool().Draw(t, "keeps a message")
			if !pacing.allow(now, []*proxy{recipient}, keepsMessage) {
				continue
			}
			pacing.recordSent(now, recipient)
			sentAt = append(sentAt, now)
			if !pacing.allow(now+pacing.interval, []*proxy{recipient}, false) {
				t.Fatalf("no message is allowed %d us after one at %d", pacing.interval, now)
			}
			if keepsMessage && pacing.burst > 1 && !pacing.allow(now, []*proxy{recipient}, false) {
				t.Fatalf("a message that keeps one left none at %d", now)
			}
		}
		allowed := max(limit-repeatedAckRequests, 1)
		for k := allowed; k < len(sentAt); k++ {
			if span := sentAt[k] - sentAt[k-allowed]; span < window {
				t.Fatalf("%d messages within %d us, want at most %d", allowed+1, span, allowed)
			}
		}
	})
}

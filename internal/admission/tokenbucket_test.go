package admission

import (
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// A peer does not exceed its rate and burst, and a command that is retried after the Retry-After is accepted.
func TestTokenBucketAcceptsAtMostRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{
			PerSecond: float64(rapid.IntRange(1, 1000).Draw(t, "rate")),
			Burst:     rapid.IntRange(2, 100).Draw(t, "burst"),
		}
		var bucket TokenBucket
		var now model.Microseconds
		taken := 0
		for range rapid.IntRange(1, 500).Draw(t, "commands") {
			now += model.Microseconds(rapid.IntRange(0, 20_000).Draw(t, "pause"))
			ok, retryAfter := bucket.Take(now, rate)
			if !ok {
				now += retryAfter + 1
				if ok, _ = bucket.Take(now, rate); !ok {
					t.Fatalf("a retry after %d us was rejected again", retryAfter)
				}
			}
			taken++
			elapsed := float64(now) / float64(model.Second)
			if limit := float64(rate.Burst) + rate.PerSecond*elapsed + 1; float64(taken) > limit {
				t.Fatalf("%d commands were accepted in %d us, want at most %g", taken, now, limit)
			}
		}
	})
}

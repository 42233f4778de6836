package admission

import "peppervale/internal/model"

// Rate is the limit of a TokenBucket: PerSecond commands in the long run and Burst commands at once. A PerSecond of 0
// or less allows all commands.
type Rate struct {
	PerSecond float64
	Burst     int // at least 1 is allowed
}

// TokenBucket limits the commands of one peer. The zero TokenBucket is full. It belongs to one goroutine at a time.
type TokenBucket struct {
	used       float64 // tokens of the burst that are in use
	refilledAt model.Microseconds
}

// Take takes the token for a command and reports whether one was available. If not, retryAfter is the time until half
// of the burst is available again: after a shorter delay the peer would soon exceed its rate again.
func (b *TokenBucket) Take(now model.Microseconds, rate Rate) (ok bool, retryAfter model.Microseconds) {
	if rate.PerSecond <= 0 {
		return true, 0
	}
	burst := float64(max(rate.Burst, 1))
	refilled := float64(now-b.refilledAt) / float64(model.Second) * rate.PerSecond
	b.used = max(0, b.used-refilled)
	b.refilledAt = now
	if b.used+1 > burst {
		return false, model.Microseconds((b.used - burst/2) / rate.PerSecond * float64(model.Second))
	}
	b.used++
	return true, 0
}

package admission

import "peppervale/internal/model"

// Rate is what a TokenBucket is held to: PerSecond commands in the long run and Burst at once. A PerSecond of 0 or less
// allows all.
type Rate struct {
	PerSecond float64
	Burst     int // at least 1 is allowed
}

// TokenBucket limits the commands of one peer. The zero TokenBucket is full. It belongs to one goroutine at a time.
type TokenBucket struct {
	used       float64 // tokens of the burst
	refilledAt model.Microseconds
}

// Take takes the token of a command and reports whether there was one. If not, retryAfter is the time until half of the
// burst is available again: after a shorter wait the next command would soon have to wait again.
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

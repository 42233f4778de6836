package replica

import "peppervale/internal/model"

// DeduplicationGroup is a group of replicas that drop repeats of requests with an idempotency key among themselves for
// a while.
type DeduplicationGroup struct {
	firstAt map[string]model.Microseconds // by idempotency key
}

// rememberedKeys is how many keys a group remembers before it forgets what is older than the window.
const rememberedKeys = 10_000

// NewDeduplicationGroup makes an empty group.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{firstAt: map[string]model.Microseconds{}}
}

// repeated notes a key and reports whether it was seen within the window before.
func (b *DeduplicationGroup) repeated(key string, now, window model.Microseconds) bool {
	if len(b.firstAt) > rememberedKeys {
		b.forget(now - window)
	}
	at, known := b.firstAt[key]
	if known && now-at <= window {
		return true
	}
	b.firstAt[key] = now
	return false
}

func (b *DeduplicationGroup) forget(before model.Microseconds) {
	for key, at := range b.firstAt {
		if at < before {
			delete(b.firstAt, key)
		}
	}
}

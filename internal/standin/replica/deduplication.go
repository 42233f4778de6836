package replica

import "peppervale/internal/model"

// DeduplicationGroup is a group of replicas that drop repeats of requests with an idempotency key among themselves for
// a while.
type DeduplicationGroup struct {
	firstAt map[string]model.Microseconds // by idempotency key
}

// rememberedKeys is how many keys a group remembers before it drops those that are older than the window.
const rememberedKeys = 10_000

// NewDeduplicationGroup makes an empty group.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{firstAt: map[string]model.Microseconds{}}
}

// repeated reports whether a key was first seen within the window before now, and remembers it otherwise.
func (g *DeduplicationGroup) repeated(key string, now, window model.Microseconds) bool {
	if len(g.firstAt) > rememberedKeys {
		g.forget(now - window)
	}
	at, known := g.firstAt[key]
	if known && now-at <= window {
		return true
	}
	g.firstAt[key] = now
	return false
}

func (g *DeduplicationGroup) forget(before model.Microseconds) {
	for key, at := range g.firstAt {
		if at < before {
			delete(g.firstAt, key)
		}
	}
}

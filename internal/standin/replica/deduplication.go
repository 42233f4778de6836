package replica

import "peppervale/internal/model"

// DeduplicationGroup is a group of replicas that execute a request with an idempotency key only once within a window.
type DeduplicationGroup struct {
	firstAt map[string]model.Microseconds // by idempotency key
}

// rememberedKeys is the number of keys above which a group removes keys that are older than the window.
const rememberedKeys = 10_000

// NewDeduplicationGroup creates an empty group.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{firstAt: map[string]model.Microseconds{}}
}

// repeated reports whether a key was first seen within the window before now. If not, it stores the key.
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

package replica

import "peppervale/internal/model"

// DeduplicationGroup is a group of replicas that execute a request with an idempotency key only once within a window.
type DeduplicationGroup struct {
	firstSeenAt map[string]model.Microseconds // by idempotency key
}

// maxKeysBeforeExpiry is the number of keys above which a group removes keys that are older than the window.
const maxKeysBeforeExpiry = 10_000

// NewDeduplicationGroup creates an empty group.
func NewDeduplicationGroup() *DeduplicationGroup {
	return &DeduplicationGroup{firstSeenAt: map[string]model.Microseconds{}}
}

// isRepeat reports whether a key was first seen within the window before now. If not, it stores the key.
func (g *DeduplicationGroup) isRepeat(key string, now, window model.Microseconds) bool {
	if len(g.firstSeenAt) > maxKeysBeforeExpiry {
		g.removeOlderThan(now - window)
	}
	firstSeen, known := g.firstSeenAt[key]
	if known && now-firstSeen <= window {
		return true
	}
	g.firstSeenAt[key] = now
	return false
}

func (g *DeduplicationGroup) removeOlderThan(before model.Microseconds) {
	for key, at := range g.firstSeenAt {
		if at < before {
			delete(g.firstSeenAt, key)
		}
	}
}

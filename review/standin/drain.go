package main

import (
	"sync"
	"time"
)

// drainRule checks that joined proxies stop sending to a replica within the grace after the instance was told by
// discovery that it drains or is gone. The time runs from the proxy's joining, and no sooner than 1 s after the instance
// first answered, if that is later.
type drainRule struct {
	w        *world
	lists    *discovery
	grace    time.Duration
	answered time.Time

	mu     sync.Mutex
	late   int
	latest time.Duration
}

func newDrainRule(w *world, f *fleet, lists *discovery, grace time.Duration) *drainRule {
	rule := &drainRule{w: w, lists: lists, grace: grace, answered: time.Now()}
	f.onSend = rule.sent
	return rule
}

func (r *drainRule) sent(p *proxy, class, replica string, at time.Time) {
	if replica == "" {
		return
	}
	r.lists.mu.Lock()
	health, from := r.lists.hosts[replica].Health, r.lists.told[replica]
	r.lists.mu.Unlock()
	p.mu.Lock()
	joined, away := p.joinedAt, p.away
	p.mu.Unlock()
	if health == "ready" || from.IsZero() || away {
		return
	}
	if drained := r.lists.drainedAt(replica); health == "gone" && !drained.IsZero() {
		from = drained // it was told to drain before, and the time runs from then
	}
	for _, later := range []time.Time{joined, r.answered.Add(time.Second)} {
		if later.After(from) {
			from = later
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	after := at.Sub(from)
	r.latest = max(r.latest, after)
	if after <= r.grace {
		return
	}
	r.late++
	if r.late <= 30 {
		r.w.logf("BROKEN: proxy %d sends %s to %s, which is %s, %.2f s after the instance was told; %.2f s are allowed", p.id,
			class, replica, health, after.Seconds(), r.grace.Seconds())
	}
}

// held reports whether the rule held, and records the figures.
func (r *drainRule) held() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.logf("attempts at draining or removed replicas after the grace: %d, latest %.2f s after the instance was told", r.late,
		r.latest.Seconds())
	return r.late == 0
}

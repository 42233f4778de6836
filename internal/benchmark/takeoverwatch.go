package benchmark

import (
	"slices"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// takeoverWatch records when proxies that lost their instance are served again. It may be used from any goroutine.
type takeoverWatch struct {
	mu           sync.Mutex
	observations []invariants.Event
	instances    map[string]string // a proxy's instance
	brokenOthers int               // streams to other instances than the killed one that broke

	killed       string // instance; "": no round
	killedAt     model.Microseconds
	orphans      map[string]bool // proxies of the killed instance; true: another one's message was applied
	bound        map[string]bool // orphans that are bound again
	firstMessage []model.Microseconds
	firstBound   []model.Microseconds
}

func newTakeoverWatch() *takeoverWatch {
	return &takeoverWatch{instances: map[string]string{}}
}

func (w *takeoverWatch) observe(observation invariants.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observations = append(w.observations, observation)
	event, ok := observation.(invariants.StreamChanged)
	if !ok {
		return
	}
	if event.Up {
		w.instances[event.Proxy] = event.Instance
	} else if w.killed != "" && event.Instance != w.killed {
		w.brokenOthers++
	}
}

// messageApplied records that a proxy has applied an instance's message.
func (w *takeoverWatch) messageApplied(
	now model.Microseconds, proxy, instance string, message *pubsubmsg.Message,
) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hadMessage, isOrphan := w.orphans[proxy]
	if !isOrphan || instance == w.killed {
		return
	}
	if !hadMessage {
		w.orphans[proxy] = true
		w.firstMessage = append(w.firstMessage, now-w.killedAt)
	}
	if message.Bound && !w.bound[proxy] {
		w.bound[proxy] = true
		w.firstBound = append(w.firstBound, now-w.killedAt)
	}
}

// beginRound is called right before an instance is killed.
func (w *takeoverWatch) beginRound(killed string, now model.Microseconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = killed
	w.killedAt = now
	w.orphans = map[string]bool{}
	w.bound = map[string]bool{}
	for proxy, instance := range w.instances {
		if instance == killed {
			w.orphans[proxy] = false
		}
	}
}

func (w *takeoverWatch) allOrphansBound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.bound) == len(w.orphans)
}

// endRound is called before the killed instance is restarted.
func (w *takeoverWatch) endRound() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = ""
	w.orphans = nil
}

// proxiesOf counts the proxies of an instance.
func (w *takeoverWatch) proxiesOf(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, instance := range w.instances {
		if instance == name {
			count++
		}
	}
	return count
}

// summarize enters the times and the violations of invariants into the result.
func (w *takeoverWatch) summarize(result *TakeoverResult, end model.Microseconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.firstMessage)
	slices.Sort(w.firstBound)
	result.Median = quantile(w.firstMessage, 0.5)
	result.P99 = quantile(w.firstMessage, 0.99)
	result.Worst = quantile(w.firstMessage, 1)
	result.BoundMedian = quantile(w.firstBound, 0.5)
	result.BoundWorst = quantile(w.firstBound, 1)
	result.OtherStreamsBroken = w.brokenOthers
	for _, verdict := range invariants.Check(w.observations, takeoverInvariants(), end) {
		result.Violations = append(result.Violations, verdict.Violations...)
	}
}

func takeoverInvariants() invariants.Limits {
	limits := invariants.Limits{
		MaxEmptyTime:   2600 * model.Millisecond,
		DrainGrace:     2500 * model.Millisecond,
		WarmUpPeriod:   10 * model.Second,
		OverloadFactor: 4,
		OverloadWindow: 3 * model.Second,
		QueueLimit:     1 << 30,
	}
	for k := range takeoverMembers {
		limits.Zones = append(limits.Zones, zoneName(k))
	}
	return limits
}

package benchmark

import (
	"slices"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// takeoverWatch records when the proxies of a killed instance are served again. It is safe for concurrent use.
type takeoverWatch struct {
	mu                 sync.Mutex
	observations       []invariants.Event
	instances          map[string]string // by proxy
	otherStreamsBroken int               // streams to instances other than the killed one that broke

	killed            string // name of the instance; "": no round is in progress
	killedAt          model.Microseconds
	displaced         map[string]bool // proxies of the killed instance; true: the proxy has applied another one's message
	bound             map[string]bool // displaced proxies that are bound again
	firstMessageTimes []model.Microseconds
	firstBindTimes    []model.Microseconds
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
		w.otherStreamsBroken++
	}
}

// messageApplied records that a proxy has applied a message of an instance.
func (w *takeoverWatch) messageApplied(
	now model.Microseconds, proxy, instance string, message *pubsubmsg.Message,
) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hadMessage, isDisplaced := w.displaced[proxy]
	if !isDisplaced || instance == w.killed {
		return
	}
	if !hadMessage {
		w.displaced[proxy] = true
		w.firstMessageTimes = append(w.firstMessageTimes, now-w.killedAt)
	}
	if message.Bound && !w.bound[proxy] {
		w.bound[proxy] = true
		w.firstBindTimes = append(w.firstBindTimes, now-w.killedAt)
	}
}

// beginRound begins a round. It is called right before an instance is killed.
func (w *takeoverWatch) beginRound(killed string, now model.Microseconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = killed
	w.killedAt = now
	w.displaced = map[string]bool{}
	w.bound = map[string]bool{}
	for proxy, instance := range w.instances {
		if instance == killed {
			w.displaced[proxy] = false
		}
	}
}

func (w *takeoverWatch) allDisplacedBound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.bound) == len(w.displaced)
}

// endRound ends the round. It is called before the killed instance is restarted.
func (w *takeoverWatch) endRound() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = ""
	w.displaced = nil
}

// proxiesOf returns the number of an instance's proxies.
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

// summarize sets the times and the violated invariants of the result.
func (w *takeoverWatch) summarize(result *TakeoverResult, end model.Microseconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.firstMessageTimes)
	slices.Sort(w.firstBindTimes)
	result.Median = quantile(w.firstMessageTimes, 0.5)
	result.P99 = quantile(w.firstMessageTimes, 0.99)
	result.Worst = quantile(w.firstMessageTimes, 1)
	result.BoundMedian = quantile(w.firstBindTimes, 0.5)
	result.BoundWorst = quantile(w.firstBindTimes, 1)
	result.OtherStreamsBroken = w.otherStreamsBroken
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

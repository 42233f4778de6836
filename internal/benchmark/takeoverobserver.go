package benchmark

import (
	"slices"
	"sync"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// takeoverObserver records when the proxies of a killed instance apply the first messages of another instance. It is
// safe for concurrent use.
type takeoverObserver struct {
	mu                 sync.Mutex
	observations       []invariants.Event
	instances          map[string]string // instance of each proxy's newest stream, by proxy
	otherStreamsBroken int               // broken streams to instances other than the killed one

	killed            string // name of the instance; "": no round is in progress
	killedAt          model.Microseconds
	displaced         map[string]bool // proxies of the killed instance; true: it has applied another instance's message
	bound             map[string]bool // displaced proxies that are bound again
	firstMessageTimes []model.Microseconds
	firstBindTimes    []model.Microseconds
}

func newTakeoverObserver() *takeoverObserver {
	return &takeoverObserver{instances: map[string]string{}}
}

func (o *takeoverObserver) observe(observation invariants.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations = append(o.observations, observation)
	event, ok := observation.(invariants.StreamChanged)
	if !ok {
		return
	}
	if event.Up {
		o.instances[event.Proxy] = event.Instance
	} else if o.killed != "" && event.Instance != o.killed {
		o.otherStreamsBroken++
	}
}

// messageApplied records that a proxy has applied a message of an instance.
func (o *takeoverObserver) messageApplied(
	now model.Microseconds, proxy, instance string, message *pubsubmsg.Message,
) {
	o.mu.Lock()
	defer o.mu.Unlock()
	hadMessage, isDisplaced := o.displaced[proxy]
	if !isDisplaced || instance == o.killed {
		return
	}
	if !hadMessage {
		o.displaced[proxy] = true
		o.firstMessageTimes = append(o.firstMessageTimes, now-o.killedAt)
	}
	if message.Bound && !o.bound[proxy] {
		o.bound[proxy] = true
		o.firstBindTimes = append(o.firstBindTimes, now-o.killedAt)
	}
}

// beginRound begins a round. It is called right before an instance is killed.
func (o *takeoverObserver) beginRound(killed string, now model.Microseconds) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.killed = killed
	o.killedAt = now
	o.displaced = map[string]bool{}
	o.bound = map[string]bool{}
	for proxy, instance := range o.instances {
		if instance == killed {
			o.displaced[proxy] = false
		}
	}
}

// allDisplacedBound reports whether all proxies of the killed instance are bound again.
func (o *takeoverObserver) allDisplacedBound() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.bound) == len(o.displaced)
}

// endRound ends the round. It is called before the killed instance is restarted.
func (o *takeoverObserver) endRound() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.killed = ""
	o.displaced = nil
}

// proxyCount returns the number of proxies whose newest stream was opened to an instance.
func (o *takeoverObserver) proxyCount(name string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, instance := range o.instances {
		if instance == name {
			count++
		}
	}
	return count
}

// summarize sets the times, the number of broken streams and the violated invariants of the result.
func (o *takeoverObserver) summarize(result *TakeoverResult, end model.Microseconds) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.Sort(o.firstMessageTimes)
	slices.Sort(o.firstBindTimes)
	result.Median = quantile(o.firstMessageTimes, 0.5)
	result.P99 = quantile(o.firstMessageTimes, 0.99)
	result.Worst = quantile(o.firstMessageTimes, 1)
	result.BoundMedian = quantile(o.firstBindTimes, 0.5)
	result.BoundWorst = quantile(o.firstBindTimes, 1)
	result.OtherStreamsBroken = o.otherStreamsBroken
	for _, verdict := range invariants.Check(o.observations, takeoverLimits(), end) {
		result.Violations = append(result.Violations, verdict.Violations...)
	}
}

func takeoverLimits() invariants.Limits {
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

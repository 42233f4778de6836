package invariants

import (
	"maps"
	"slices"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// informed reports whether the proxy could know, when it sent the work, that the replica had just started. This is the
// case if its instance has sent it an update after being notified of the start, or was notified of the start longer
// than the drain grace ago.
func (c *checker) informed(e WorkArrived) bool {
	p := c.proxies[e.Proxy]
	if p == nil || p.instance == nil {
		return false
	}
	notifiedAt, notified := p.instance.startNotifiedAt[e.Replica]
	return notified && (p.lastPublishedAt > notifiedAt || e.At-notifiedAt > c.limits.DrainGrace)
}

// checkColdStarts checks every cold start of a replica: the work that arrives within any window must not overload the
// warming replica.
func (c *checker) checkColdStarts() {
	byReplica := map[model.ReplicaID][]arrival{}
	for _, a := range c.arrivals {
		byReplica[a.Replica] = append(byReplica[a.Replica], a)
	}
	ids := slices.SortedFunc(maps.Keys(c.replicas), func(a, b model.ReplicaID) int {
		return strings.Compare(pubsubmsg.FormatAddress(a), pubsubmsg.FormatAddress(b))
	})
	for _, id := range ids {
		for _, start := range c.replicas[id].starts {
			if start.InitialShare < 1 && start.WarmUpPeriod > 0 {
				c.checkColdStart(id, start, byReplica[id])
			}
		}
	}
}

// workWindow holds the work that arrived within the last OverloadWindow.
type workWindow struct {
	arrivals []arrival
	total    float64
	informed float64
	largest  float64 // largest work of one arrival since the replica's start
}

func (w *workWindow) add(a arrival) {
	w.arrivals = append(w.arrivals, a)
	w.total += a.Work
	if a.informed {
		w.informed += a.Work
	}
	w.largest = max(w.largest, a.Work)
}

// removeArrivedBy removes the work that arrived at the given time or earlier.
func (w *workWindow) removeArrivedBy(at model.Microseconds) {
	for len(w.arrivals) > 0 && w.arrivals[0].At <= at {
		a := w.arrivals[0]
		w.arrivals = w.arrivals[1:]
		w.total -= a.Work
		if a.informed {
			w.informed -= a.Work
		}
	}
}

// mostlyInformed reports whether at least two thirds of the work came from informed proxies. Otherwise an overload is
// caused by proxies that could not know of the start yet, and is no violation.
func (w *workWindow) mostlyInformed() bool { return w.informed >= w.total*2/3 }

// checkColdStart checks the windows during one warm-up that end with an arrival. The largest request is not counted, as
// only a part of it may belong to the window.
func (c *checker) checkColdStart(id model.ReplicaID, start ReplicaStarted, arrivals []arrival) {
	window := &workWindow{}
	for _, last := range arrivals {
		if last.At < start.At || last.At > start.At+start.WarmUpPeriod {
			window = &workWindow{}
			continue
		}
		window.add(last)
		window.removeArrivedBy(last.At - c.limits.OverloadWindow)
		capacity := c.capacity(start, last.At)
		ratio := (window.total - window.largest) / (c.limits.OverloadFactor * capacity)
		if ratio > 1 && !window.mostlyInformed() {
			continue
		}
		c.results[ColdOverload].record(ratio,
			"%s: %s, up for %s, was sent %.1f times what it can do within %s, %.1f are allowed",
			c.sinceStart(last.At), pubsubmsg.FormatAddress(id), formatSeconds(last.At-start.At),
			window.total/capacity, formatSeconds(c.limits.OverloadWindow), c.limits.OverloadFactor)
	}
}

// capacity returns the work that a warming replica can complete in the window that ends at the given time. As capacity
// rises linearly, its mean is its value in the middle of the window.
func (c *checker) capacity(start ReplicaStarted, end model.Microseconds) float64 {
	from := max(start.At, end-c.limits.OverloadWindow)
	middle := float64((from+end)/2-start.At) / float64(start.WarmUpPeriod)
	return start.Capacity * (start.InitialShare + (1-start.InitialShare)*middle) * float64(c.limits.OverloadWindow)
}

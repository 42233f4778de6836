package invariants

import (
	"maps"
	"slices"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// informed reports whether the proxy could know, when it sent the request, that the replica had just started. A proxy
// could know if its instance was notified of the start and has sent the proxy an update since. If the notification is
// older than the drain grace, the instance must have sent an update, so the proxy counts as informed too.
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
	arrivals     []arrival
	totalWork    float64 // in microseconds of a core of speed 1, like the next two fields
	informedWork float64 // part of totalWork from informed proxies
	largestWork  float64 // largest work of one arrival in this warm-up
}

func (w *workWindow) add(a arrival) {
	w.arrivals = append(w.arrivals, a)
	w.totalWork += a.Work
	if a.informed {
		w.informedWork += a.Work
	}
	w.largestWork = max(w.largestWork, a.Work)
}

// removeArrivedUntil removes the work that arrived at the given time or earlier.
func (w *workWindow) removeArrivedUntil(at model.Microseconds) {
	for len(w.arrivals) > 0 && w.arrivals[0].At <= at {
		a := w.arrivals[0]
		w.arrivals = w.arrivals[1:]
		w.totalWork -= a.Work
		if a.informed {
			w.informedWork -= a.Work
		}
	}
}

// mostlyInformed reports whether at least two thirds of the work came from informed proxies. Otherwise an overload is
// caused by proxies that could not know of the start yet, and is no violation.
func (w *workWindow) mostlyInformed() bool { return w.informedWork >= w.totalWork*2/3 }

// checkColdStart checks, for each arrival during one warm-up, the window that ends with it. The work of the largest
// arrival of the warm-up is subtracted, as only a part of that work may belong to the window. The description of a
// result counts it.
func (c *checker) checkColdStart(id model.ReplicaID, start ReplicaStarted, arrivals []arrival) {
	window := &workWindow{}
	for _, last := range arrivals {
		if last.At < start.At || last.At > start.At+start.WarmUpPeriod {
			window = &workWindow{}
			continue
		}
		window.add(last)
		window.removeArrivedUntil(last.At - c.limits.OverloadWindow)
		capacity := c.capacity(start, last.At)
		ratio := (window.totalWork - window.largestWork) / (c.limits.OverloadFactor * capacity)
		if ratio > 1 && !window.mostlyInformed() {
			continue
		}
		c.results[ColdOverload].record(ratio,
			"%s: %s, up for %s, was sent %.1f times what it can do within %s, %.1f are allowed",
			c.sinceStart(last.At), pubsubmsg.FormatAddress(id), formatSeconds(last.At-start.At),
			window.totalWork/capacity, formatSeconds(c.limits.OverloadWindow), c.limits.OverloadFactor)
	}
}

// capacity returns the work that a warming replica can complete within OverloadWindow at its mean capacity in the
// window that ends at the given time. If the window begins before the start, the mean is that since the start. As the
// capacity rises linearly, its mean is its value in the middle of the window.
func (c *checker) capacity(start ReplicaStarted, end model.Microseconds) float64 {
	from := max(start.At, end-c.limits.OverloadWindow)
	middle := float64((from+end)/2-start.At) / float64(start.WarmUpPeriod)
	return start.Capacity * (start.InitialShare + (1-start.InitialShare)*middle) * float64(c.limits.OverloadWindow)
}

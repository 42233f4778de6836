package replica

import "peppervale/internal/model"

// loadMeter measures the share of the cores that is in use. Its reading is refreshed at most once per
// Config.ReportInterval.
type loadMeter struct {
	coreTime    float64 // core time used since measuredAt, in microseconds
	lastReading float64
	measuredAt  model.Microseconds
}

// idleUtilization is the utilization that a replica reports while ReportsIdle is set.
const idleUtilization = 0.02

// utilization returns the utilization that the replica reports.
func (r *Replica) utilization() float64 {
	now := r.loop.Now()
	span := now - r.load.measuredAt
	if span >= max(r.ReportInterval, model.Millisecond) {
		r.load.lastReading = min(1, r.load.coreTime/float64(span)/float64(r.Cores))
		r.load.coreTime = 0
		r.load.measuredAt = now
	}
	if r.ReportsIdle {
		return idleUtilization
	}
	return r.load.lastReading
}

// overloadMeter sums the work that a warming replica has received within its overload window.
type overloadMeter struct {
	recent []arrival
}

type arrival struct {
	at   model.Microseconds
	work float64 // in microseconds
}

// addArrival adds an arrival and returns the work received within the span that ends with it.
func (m *overloadMeter) addArrival(a arrival, span model.Microseconds) float64 {
	m.recent = append(m.recent, a)
	for len(m.recent) > 0 && m.recent[0].at <= a.at-span {
		m.recent = m.recent[1:]
	}
	total := 0.0
	for _, earlier := range m.recent {
		total += earlier.work
	}
	return total
}

// recordWork records new work and reports whether the replica has failed because of overload. Only work that arrived
// earlier within the overload window counts, not the new work itself.
func (r *Replica) recordWork(now model.Microseconds, work float64) bool {
	if r.availableShare(now) >= 1 || r.OverloadFactor <= 0 {
		return false
	}
	total := r.overload.addArrival(arrival{now, work}, r.OverloadWindow)
	if total-work > r.OverloadFactor*r.capacity()*r.availableShare(now)*float64(r.OverloadWindow) {
		r.Overloaded = true
	}
	return r.Overloaded
}

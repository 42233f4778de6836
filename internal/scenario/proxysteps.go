package scenario

import (
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

func (r *runner) crashProxies(step Step) {
	for _, target := range r.targetProxies(step) {
		r.crashProxy(target, step.Duration)
	}
}

// crashProxy stops a proxy and restarts it after the given time with a new standing table.
func (r *runner) crashProxy(target *managedProxy, downtime model.Microseconds) {
	target.Kill()
	r.loop.After(downtime, func() { target.Start(r.standingTable(target)) })
}

// stallProxies stalls the targets repeatedly. Between two stalls they run for as long as a stall lasts.
func (r *runner) stallProxies(step Step) {
	duration := seconds(step.Size)
	for _, target := range r.targetProxies(step) {
		for k := range max(step.Number, 1) {
			r.loop.After(model.Microseconds(2*k)*duration, func() { target.Stall(duration) })
		}
	}
}

func (r *runner) breakStreams(step Step) {
	for _, target := range r.targetProxies(step) {
		target.BreakStream()
	}
}

func (r *runner) partitionProxies(step Step) {
	for _, target := range r.targetProxies(step) {
		unreachable := target.Instances[0].Name
		target.Unreachable[unreachable] = true
		target.BreakStream()
		r.loop.After(step.Duration, func() { delete(target.Unreachable, unreachable) })
	}
}

func (r *runner) delayLoadReports(step Step) {
	for _, target := range r.proxies {
		target.ReportDelay = seconds(step.Size)
		r.loop.After(step.Duration, func() { target.ReportDelay = 0 })
	}
}

func (r *runner) stopAcknowledging(step Step) {
	for _, target := range r.targetProxies(step) {
		target.Misbehavior.NeverAcks = true
		r.loop.After(step.Duration, func() { target.Misbehavior.NeverAcks = false })
	}
}

func (r *runner) makeProxiesMisbehave(step Step) {
	for _, target := range r.targetProxies(step) {
		target.Misbehavior = misbehaviorOf(step.Group)
		r.loop.After(step.Duration, func() { target.Misbehavior = proxy.Misbehavior{} })
	}
}

func (r *runner) injectHeavyTail(step Step) {
	r.heavyTail = heavyTail{fraction: step.Fraction, factor: step.Size}
	r.loop.After(step.Duration, func() { r.heavyTail.fraction = 0 })
}

func (r *runner) injectRegistryFault(step Step, fault registry.Faults) {
	r.registry.Faults = fault
	r.loop.After(step.Duration, func() { r.registry.Faults = registry.Faults{} })
}

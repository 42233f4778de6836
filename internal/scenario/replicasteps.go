package scenario

import "peppervale/internal/model"

const (
	toggleInterval  = model.Second
	agingInterval   = 500 * model.Millisecond
	restartDelay    = 50 * model.Millisecond
	maxStartRetries = 20
)

// injectReplicaFault starts a fault on the targets of a step. When the step is over, it ends the fault on the targets
// that no later fault affects.
//
// Caveat: end does not cancel the actions that begin has scheduled. The recurring faults (toggleFault and
// increaseSlowdown) continue after their step until a later fault affects the replica, so the effect of end is soon
// undone. Changing this behavior changes the results of scenarios with such steps.
func (r *runner) injectReplicaFault(step Step, begin, end func(target *managedReplica)) {
	for _, target := range r.targetReplicas(step) {
		begin(target)
		r.afterUnlessNewFault(target, step.Duration, end)
	}
}

// afterUnlessNewFault calls action after a delay unless a later fault has affected the replica by then.
func (r *runner) afterUnlessNewFault(target *managedReplica, delay model.Microseconds, action func(*managedReplica)) {
	faultCount := target.faultCount
	r.loop.After(delay, func() {
		if target.faultCount == faultCount {
			action(target)
		}
	})
}

// setSlowdown returns a fault that multiplies the processing time of all work of a replica by factor.
func setSlowdown(factor float64) func(*managedReplica) {
	return func(target *managedReplica) { target.Slowdown = factor }
}

func (r *runner) slowAllReplicas(step Step) {
	step.Fraction = 1
	r.injectReplicaFault(step, setSlowdown(step.Size), setSlowdown(1))
}

func (r *runner) toggleSlowdown(step Step) {
	begin := func(target *managedReplica) { r.toggleFault(target, true, setSlowdown(step.Size), setSlowdown(1)) }
	r.injectReplicaFault(step, begin, setSlowdown(1))
}

func (r *runner) flapReplicas(step Step) {
	silence := func(target *managedReplica) { target.Silent = true }
	answer := func(target *managedReplica) { target.Silent = false }
	begin := func(target *managedReplica) { r.toggleFault(target, true, silence, answer) }
	r.injectReplicaFault(step, begin, answer)
}

// toggleFault toggles a fault every toggleInterval until a later fault affects the replica, also after the end of its
// step.
func (r *runner) toggleFault(target *managedReplica, active bool, begin, end func(*managedReplica)) {
	if active {
		begin(target)
	} else {
		end(target)
	}
	r.afterUnlessNewFault(target, toggleInterval, func(*managedReplica) {
		r.toggleFault(target, !active, begin, end)
	})
}

func (r *runner) ageReplicas(step Step) {
	startedAt := r.now()
	begin := func(target *managedReplica) { r.increaseSlowdown(target, step, startedAt) }
	end := func(target *managedReplica) {
		target.Slowdown = 1
		target.Stop()
		r.restartCold(target)
	}
	r.injectReplicaFault(step, begin, end)
}

// increaseSlowdown slows a replica down linearly until its slowdown reaches the size of the step. It repeats until a
// later fault affects the replica, also after the end of its step: the replica has restarted by then, and is slowed
// down by the step's size again.
func (r *runner) increaseSlowdown(target *managedReplica, step Step, startedAt model.Microseconds) {
	progress := float64(r.now()-startedAt) / float64(max(step.Duration, 1))
	target.Slowdown = 1 + (step.Size-1)*min(1, progress)
	r.afterUnlessNewFault(target, agingInterval, func(*managedReplica) { r.increaseSlowdown(target, step, startedAt) })
}

func (r *runner) failOperation(step Step) {
	operation := r.script.operationIndex(step.Group)
	begin := func(target *managedReplica) { target.FailingOperations = map[int]bool{operation: true} }
	end := func(target *managedReplica) { target.FailingOperations = nil }
	r.injectReplicaFault(step, begin, end)
}

func (r *runner) limitConnections(step Step) {
	step.Fraction = 1
	begin := func(target *managedReplica) { target.MaxConnections = step.Number }
	end := func(target *managedReplica) { target.MaxConnections = r.script.Replicas.MaxConnections }
	r.injectReplicaFault(step, begin, end)
}

func (r *runner) slowHandshakes(step Step) {
	step.Fraction = 1
	normalWork := float64(r.script.Replicas.HandshakeWork)
	begin := func(target *managedReplica) { target.HandshakeWork = normalWork * step.Size }
	end := func(target *managedReplica) { target.HandshakeWork = normalWork }
	r.injectReplicaFault(step, begin, end)
}

func (r *runner) falsifyReports(step Step) {
	begin := func(target *managedReplica) { target.ReportsIdle = true }
	end := func(target *managedReplica) { target.ReportsIdle = false }
	r.injectReplicaFault(step, begin, end)
}

// silenceReplica makes a replica accept connections without answering requests. The registry removes it after its
// SilentDelay.
func (r *runner) silenceReplica(target *managedReplica) {
	target.Silent = true
	r.deregister(target, r.script.Registry.SilentDelay)
}

// restartCold restarts a replica at its previous address, cold.
func (r *runner) restartCold(target *managedReplica) {
	target.Stop()
	r.startCold(target, maxStartRetries)
}

// startCold starts a replica. It retries, as the port of the previous process may still be in use.
func (r *runner) startCold(target *managedReplica, retriesLeft int) {
	r.loop.After(restartDelay, func() {
		err := target.Start(true)
		switch {
		case err == nil:
			r.register(target, r.script.Registry.AddDelay)
		case retriesLeft == 0:
			r.failures = append(r.failures, err)
		default:
			r.startCold(target, retriesLeft-1)
		}
	})
}

// deployReplicas replaces the targets in batches. Each target is drained, registered as draining, and then restarted
// cold.
func (r *runner) deployReplicas(step Step) {
	targets := r.targetReplicas(step)
	batchSize := max(step.Number, 1)
	batches := (len(targets) + batchSize - 1) / batchSize
	for batch := range batches {
		delay := step.Duration * model.Microseconds(batch) / model.Microseconds(batches)
		for _, target := range targets[batch*batchSize : min(len(targets), (batch+1)*batchSize)] {
			r.loop.After(delay, func() { r.replaceReplica(target, seconds(step.Size)) })
		}
	}
}

// replaceReplica drains a replica for the given time and then restarts it cold.
func (r *runner) replaceReplica(target *managedReplica, drainTime model.Microseconds) {
	if !target.Running {
		return
	}
	r.drainReplica(target)
	r.loop.After(drainTime, func() { r.restartCold(target) })
}

// drainReplica makes a replica reject new work and finish the work that it has accepted. The registry lists the replica
// as draining after its AddDelay. Until then, proxies still send new work to it.
func (r *runner) drainReplica(target *managedReplica) {
	target.Draining = true
	r.register(target, r.script.Registry.AddDelay)
}

func (r *runner) undrainReplica(target *managedReplica) {
	target.Draining = false
	r.register(target, r.script.Registry.AddDelay)
}

func (r *runner) drainReplicas(step Step) {
	if step.Group == groupAllButOne {
		r.drainAllButLast(step)
		return
	}
	r.injectReplicaFault(step, r.drainReplica, r.undrainReplica)
}

// drainAllButLast drains all replicas but the last one, which is in the last zone.
func (r *runner) drainAllButLast(step Step) {
	excluded := r.replicas[len(r.replicas)-1]
	for _, target := range r.replicas {
		if target != excluded && target.Running {
			r.drainReplica(target)
		}
	}
	r.loop.After(step.Duration, func() {
		for _, target := range r.replicas {
			r.undrainReplica(target)
		}
	})
}

func (r *runner) addReplicasToZones(step Step) {
	for zone := range r.script.Zones {
		for range max(step.Number, 1) {
			if err := r.addReplica(zone, r.replicasIn(zone), true); err != nil {
				r.failures = append(r.failures, err)
			}
		}
	}
}

// replicasIn counts the replicas of a zone, including those that are down.
func (r *runner) replicasIn(zone int) int {
	count := 0
	for _, candidate := range r.replicas {
		if candidate.Zone == r.script.Zones[zone] {
			count++
		}
	}
	return count
}

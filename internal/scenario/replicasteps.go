package scenario

import "peppervale/internal/model"

const (
	alternationPeriod  = model.Second
	agingPeriod        = 500 * model.Millisecond
	restartDelay       = 50 * model.Millisecond
	restartMaxAttempts = 20
)

// disturbReplicas starts a fault on the targets of a step. When the step is over, it ends the fault on the targets that
// no later fault affects.
//
// Caveat: end does not stop the actions that begin scheduled. The recurring faults (alternate and age) continue after
// their step until a later fault affects the replica, so the effect of end is soon undone. Changing this behavior
// changes the results of scenarios with such steps.
func (r *runner) disturbReplicas(step Step, begin, end func(target *managedReplica)) {
	for _, target := range r.targetReplicas(step) {
		begin(target)
		r.whenStillFaulty(target, step.Duration, end)
	}
}

// whenStillFaulty calls do after a delay unless a later fault has affected the replica by then.
func (r *runner) whenStillFaulty(target *managedReplica, delay model.Microseconds, do func(*managedReplica)) {
	fault := target.fault
	r.loop.After(delay, func() {
		if target.fault == fault {
			do(target)
		}
	})
}

// slowdown returns a fault that multiplies the processing time of all work of a replica by factor.
func slowdown(factor float64) func(*managedReplica) {
	return func(target *managedReplica) { target.Slowdown = factor }
}

func (r *runner) slowAllReplicas(step Step) {
	step.Fraction = 1
	r.disturbReplicas(step, slowdown(step.Size), slowdown(1))
}

func (r *runner) alternateSpeed(step Step) {
	begin := func(target *managedReplica) { r.alternate(target, true, slowdown(step.Size), slowdown(1)) }
	r.disturbReplicas(step, begin, slowdown(1))
}

func (r *runner) flapReplicas(step Step) {
	silence := func(target *managedReplica) { target.Silent = true }
	answer := func(target *managedReplica) { target.Silent = false }
	begin := func(target *managedReplica) { r.alternate(target, true, silence, answer) }
	r.disturbReplicas(step, begin, answer)
}

// alternate toggles a fault every alternationPeriod until a later fault affects the replica, also after the end of its
// step.
func (r *runner) alternate(target *managedReplica, active bool, begin, end func(*managedReplica)) {
	if active {
		begin(target)
	} else {
		end(target)
	}
	r.whenStillFaulty(target, alternationPeriod, func(*managedReplica) {
		r.alternate(target, !active, begin, end)
	})
}

func (r *runner) ageReplicas(step Step) {
	started := r.now()
	begin := func(target *managedReplica) { r.age(target, step, started) }
	end := func(target *managedReplica) {
		target.Slowdown = 1
		target.Stop()
		r.restartCold(target)
	}
	r.disturbReplicas(step, begin, end)
}

// age slows a replica down linearly until its slowdown reaches the size of the step. It repeats until a later fault
// affects the replica, also after the end of its step: the replica has restarted by then, and is slowed down by the
// step's size again.
func (r *runner) age(target *managedReplica, step Step, started model.Microseconds) {
	progress := float64(r.now()-started) / float64(max(step.Duration, 1))
	target.Slowdown = 1 + (step.Size-1)*min(1, progress)
	r.whenStillFaulty(target, agingPeriod, func(*managedReplica) { r.age(target, step, started) })
}

func (r *runner) failOperation(step Step) {
	operation := r.script.operationIndex(step.Group)
	begin := func(target *managedReplica) { target.FailingOperations = map[int]bool{operation: true} }
	end := func(target *managedReplica) { target.FailingOperations = nil }
	r.disturbReplicas(step, begin, end)
}

func (r *runner) limitConnections(step Step) {
	step.Fraction = 1
	begin := func(target *managedReplica) { target.MaxConnections = step.Number }
	end := func(target *managedReplica) { target.MaxConnections = r.script.Replicas.MaxConnections }
	r.disturbReplicas(step, begin, end)
}

func (r *runner) slowHandshakes(step Step) {
	step.Fraction = 1
	normalWork := float64(r.script.Replicas.HandshakeWork)
	begin := func(target *managedReplica) { target.HandshakeWork = normalWork * step.Size }
	end := func(target *managedReplica) { target.HandshakeWork = normalWork }
	r.disturbReplicas(step, begin, end)
}

func (r *runner) falsifyReports(step Step) {
	begin := func(target *managedReplica) { target.ReportsIdle = true }
	end := func(target *managedReplica) { target.ReportsIdle = false }
	r.disturbReplicas(step, begin, end)
}

// silence makes a replica accept connections without answering requests. The registry removes it after its SilentDelay.
func (r *runner) silence(target *managedReplica) {
	target.Silent = true
	r.deregister(target, r.script.Registry.SilentDelay)
}

// restartCold restarts a replica at its previous address, cold.
func (r *runner) restartCold(target *managedReplica) {
	target.Stop()
	r.startCold(target, restartMaxAttempts)
}

// startCold starts a replica. It retries, as the port of the previous process may still be in use.
func (r *runner) startCold(target *managedReplica, retries int) {
	r.loop.After(restartDelay, func() {
		err := target.Start(true)
		switch {
		case err == nil:
			r.register(target, r.script.Registry.AddDelay)
		case retries == 0:
			r.failures = append(r.failures, err)
		default:
			r.startCold(target, retries-1)
		}
	})
}

// deploy replaces the targets in batches. Each target is drained, registered as draining, and then restarted cold.
func (r *runner) deploy(step Step) {
	targets := r.targetReplicas(step)
	batchSize := max(step.Number, 1)
	batches := (len(targets) + batchSize - 1) / batchSize
	for batch := range batches {
		start := step.Duration * model.Microseconds(batch) / model.Microseconds(batches)
		for _, target := range targets[batch*batchSize : min(len(targets), (batch+1)*batchSize)] {
			r.loop.After(start, func() { r.replace(target, seconds(step.Size)) })
		}
	}
}

// replace drains a replica for the given time and then restarts it cold.
func (r *runner) replace(target *managedReplica, drainFor model.Microseconds) {
	if !target.Running {
		return
	}
	r.drain(target)
	r.loop.After(drainFor, func() { r.restartCold(target) })
}

// drain makes a replica reject new work and finish the work that it has accepted. The registry lists the replica as
// draining after its AddDelay. Until then, proxies still send new work to it.
func (r *runner) drain(target *managedReplica) {
	target.Draining = true
	r.register(target, r.script.Registry.AddDelay)
}

func (r *runner) undrain(target *managedReplica) {
	target.Draining = false
	r.register(target, r.script.Registry.AddDelay)
}

func (r *runner) drainReplicas(step Step) {
	if step.Group == groupAllButOne {
		r.drainAllButLast(step)
		return
	}
	r.disturbReplicas(step, r.drain, r.undrain)
}

// drainAllButLast drains all replicas but the last one, which is in the last zone.
func (r *runner) drainAllButLast(step Step) {
	spared := r.replicas[len(r.replicas)-1]
	for _, target := range r.replicas {
		if target != spared && target.Running {
			r.drain(target)
		}
	}
	r.loop.After(step.Duration, func() {
		for _, target := range r.replicas {
			r.undrain(target)
		}
	})
}

func (r *runner) grow(step Step) {
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

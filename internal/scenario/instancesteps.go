package scenario

import (
	"syscall"
	"time"

	"peppervale/internal/model"
)

const (
	killTimeout     = time.Second
	shutdownTimeout = 5 * time.Second

	// The time between repeated crashes, in seconds, is the step's size times a factor drawn uniformly from this range.
	minCrashIntervalFactor = 0.7
	maxCrashIntervalFactor = 1.3
)

// crashInstances kills randomly drawn instances step.Number times, about step.Size seconds apart.
func (r *runner) crashInstances(step Step) {
	if step.Number > 1 {
		next := step
		next.Number--
		delay := model.Microseconds(
			r.random.Between(minCrashIntervalFactor, maxCrashIntervalFactor) * float64(seconds(step.Size)))
		r.loop.After(delay, func() { r.crashInstances(next) })
	}
	targets, _ := r.targetInstances(step)
	for _, target := range targets {
		r.crashInstance(target, step.Duration)
	}
}

// crashInstance kills an instance and restarts it after the given time. Only its state directory is preserved.
func (r *runner) crashInstance(target *instance, downtime model.Microseconds) {
	target.stop(syscall.SIGKILL, killTimeout)
	r.loop.After(downtime, func() { r.restartInstance(target) })
}

func (r *runner) restartInstance(target *instance) {
	if err := target.start(); err != nil {
		r.failures = append(r.failures, err)
	}
}

func (r *runner) stallInstances(step Step) {
	targets, _ := r.targetInstances(step)
	for _, target := range targets {
		target.signal(syscall.SIGSTOP)
		r.loop.After(step.Duration, func() { target.signal(syscall.SIGCONT) })
	}
}

// rollInstances restarts the targets one after the other within the duration of the step.
func (r *runner) rollInstances(step Step) {
	targets, candidateCount := r.targetInstances(step)
	for k, target := range targets {
		delay := step.Duration * model.Microseconds(k) / model.Microseconds(candidateCount)
		r.loop.After(delay, func() { r.restartGracefully(target) })
	}
}

// restartGracefully shuts an instance down gracefully and starts it again. A separate goroutine waits for the process
// to exit, so that the loop is not blocked.
func (r *runner) restartGracefully(target *instance) {
	wait := target.terminate(syscall.SIGTERM, shutdownTimeout)
	go func() {
		cpuTime := wait()
		r.loop.Post(func() {
			target.cpuTime += cpuTime
			r.restartInstance(target)
		})
	}()
}

// failZone stops all replicas, proxies and instances of a zone and restarts them when the step is over. If the step is
// Silent, the replicas keep running but do not answer. A replica that a later fault affects is not
// restarted by this step.
func (r *runner) failZone(step Step) {
	for _, target := range r.replicas {
		if target.Zone == step.Zone && target.Running {
			r.failReplica(target, step)
		}
	}
	for _, target := range r.proxies {
		if target.Zone == step.Zone {
			r.crashProxy(target, step.Duration)
		}
	}
	for _, target := range r.instances {
		if target.zone == step.Zone {
			r.crashInstance(target, step.Duration)
		}
	}
}

func (r *runner) failReplica(target *managedReplica, step Step) {
	target.faultCount++
	if step.Silent {
		r.silenceReplica(target)
	} else {
		target.Stop()
		r.deregister(target, r.script.Registry.ExitDelay)
	}
	r.afterUnlessNewFault(target, step.Duration, r.restartCold)
}

package server

import (
	"sync"

	"peppervale/internal/controller"
)

// controllerRunner starts a controller at most once, and stops it if it was started.
type controllerRunner struct {
	controller *controller.Controller
	run        func() // runs the controller until it is stopped

	mu    sync.Mutex
	state runnerState
}

type runnerState int

const (
	runnerIdle runnerState = iota // not started yet
	runnerRunning
	runnerStopped // cannot be started again
)

// start starts the controller unless it was started or stopped before. It reports whether it started the controller.
func (r *controllerRunner) start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != runnerIdle {
		return false
	}
	r.state = runnerRunning
	go r.run()
	return true
}

// isIdle reports whether the controller may still be started.
func (r *controllerRunner) isIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == runnerIdle
}

// stop stops the controller, if it runs, and waits for its end. The controller cannot be started afterwards.
func (r *controllerRunner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == runnerRunning {
		r.controller.Stop()
	}
	r.state = runnerStopped
}

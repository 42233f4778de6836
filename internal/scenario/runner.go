package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/standin/replica"
)

// Options are the settings of a run that are not part of the scenario.
type Options struct {
	Program       []string  // the command that runs an instance; --config FILE is appended to it
	Directory     string    // for configuration files and logs; "": a temporary directory, removed at the end
	KeepDirectory bool      // do not remove a temporary directory
	Progress      io.Writer // receives a line for each event; nil: no lines are written
}

// Run runs a scenario until its end or until ctx is done. An error means that the scenario could not be run to its end.
// Violated invariants are listed in the report and are no error.
func Run(ctx context.Context, script *Script, options Options) (*Report, error) {
	run := &runner{
		script:  script,
		options: options,
		now:     controller.NewClock(),
		random:  standin.NewRandom(script.Seed, "day"),
	}
	defer run.close()
	if err := run.prepare(); err != nil {
		return nil, err
	}
	return run.runToEnd(ctx)
}

// runner runs a scenario. The fields from startedAt on are accessed on the goroutine of loop, except by prepare, by
// close and at the end of runToEnd.
type runner struct {
	script           *Script
	options          Options
	now              func() model.Microseconds
	random           *standin.Random
	directory        string
	removeDirectory  bool
	network          loopbackNetwork
	engine           *netpoll.Engine
	loop             *standin.Loop
	instances        []*instance
	faultyController *faultyController // nil: the scenario runs real instances

	startedAt           model.Microseconds // when the load started; before that, when the stand-ins were started
	observations        []invariants.Event
	registry            *registry.Registry
	replicas            []*managedReplica
	proxies             []*managedProxy
	deduplicationGroups map[string]*replica.DeduplicationGroup
	totalShare          float64 // sum of the operations' shares of the load
	lastRequestNumber   uint64
	heavyTail           heavyTail // set by HeavyTail steps
	statistics          *statistics
	failures            []error // errors of steps
}

// observe records an observation of a stand-in for the check of the invariants.
func (r *runner) observe(observation invariants.Event) {
	r.observations = append(r.observations, observation)
}

// writeProgress writes a line with the time since startedAt and a message.
func (r *runner) writeProgress(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	elapsed := float64(r.now()-r.startedAt) / float64(model.Second)
	_, _ = fmt.Fprintf(r.options.Progress, "%7.3f s  %s\n", elapsed, fmt.Sprintf(format, args...))
}

// prepare creates the directory, the stand-ins and the configuration of the instances.
func (r *runner) prepare() error {
	if err := r.openDirectory(); err != nil {
		return err
	}
	var err error
	if r.network, err = findFreeNetwork(); err != nil {
		return err
	}
	if r.engine, err = proxy.NewEngine(); err != nil {
		return err
	}
	r.loop = standin.NewLoop(r.now)
	r.startedAt = r.now()
	r.deduplicationGroups = map[string]*replica.DeduplicationGroup{}
	r.statistics = newStatistics(r.script)
	r.loop.Do(func() { err = r.startStandIns() })
	return err
}

func (r *runner) openDirectory() error {
	if r.options.Directory != "" {
		r.directory = r.options.Directory
		return os.MkdirAll(r.directory, 0o755)
	}
	directory, err := os.MkdirTemp("", "peppervale-day-")
	if err != nil {
		return err
	}
	r.directory = directory
	r.removeDirectory = !r.options.KeepDirectory
	return nil
}

// startStandIns starts the registry and the replicas, and creates the proxies and the instances without starting them.
func (r *runner) startStandIns() error {
	if err := r.addRegistry(); err != nil {
		return err
	}
	if err := r.addReplicas(); err != nil {
		return err
	}
	for _, operation := range r.script.Load.Operations {
		r.totalShare += operation.Share
	}
	r.addProxies()
	if r.script.FaultyController != noFaultyController {
		var err error
		r.faultyController, err = newFaultyController(r)
		return err
	}
	return r.configureInstances()
}

// runToEnd starts the instances and the load, waits for the end of the scenario and returns the report.
func (r *runner) runToEnd(ctx context.Context) (*Report, error) {
	if err := r.startInstances(ctx); err != nil {
		return nil, err
	}
	r.loop.Do(r.startLoad)
	if err := r.waitFor(ctx, r.script.Length); err != nil {
		return nil, err
	}
	// Requests that were sent before the end still complete, and the invariants apply to them too.
	if err := r.waitFor(ctx, r.longestTimeout()); err != nil {
		return nil, err
	}
	var report *Report
	r.loop.Do(func() {
		end := r.now()
		report = r.buildReport(invariants.Check(r.observations, r.script.invariantLimits(), end))
	})
	for _, instance := range r.instances {
		// An InstanceStall step may have suspended the process, which then cannot handle SIGTERM.
		instance.signal(syscall.SIGCONT)
		instance.stop(syscall.SIGTERM, shutdownTimeout)
		report.Channel.InstanceCPUSeconds += instance.cpuTime.Seconds()
	}
	return report, errors.Join(r.failures...)
}

// startInstances starts all instances and waits until each accepts connections.
func (r *runner) startInstances(ctx context.Context) error {
	for _, instance := range r.instances {
		if err := instance.start(); err != nil {
			return err
		}
	}
	for _, instance := range r.instances {
		if err := awaitListener(ctx, instance.address); err != nil {
			return fmt.Errorf("instance %s does not accept connections: %w\n%s", instance.name, err, instance.logTail())
		}
	}
	return nil
}

// startLoad starts the proxies and their load, and schedules the steps.
func (r *runner) startLoad() {
	r.startedAt = r.now()
	for _, instance := range r.instances {
		r.writeProgress("console of %s: http://%s", instance.name, instance.console)
	}
	r.writeProgress("day %s begins: %d forwarders, %d replicas, %d governors",
		r.script.Name, len(r.proxies), len(r.replicas), r.instanceCount())
	for i, target := range r.proxies {
		target.Instances = r.instanceAddresses(target, i)
		target.Start(r.standingTable(target))
		r.scheduleRequest(target)
	}
	for _, step := range r.script.Steps {
		r.loop.At(r.startedAt+step.At, func() {
			r.writeProgress("%s %s", step.Kind, step.Zone)
			stepActions[step.Kind](r, step)
		})
	}
}

// instanceCount returns the number of instances. A faulty controller counts as one.
func (r *runner) instanceCount() int { return max(len(r.instances), 1) }

// waitFor waits for the given duration. It returns an error if ctx is done before then.
func (r *runner) waitFor(ctx context.Context, duration model.Microseconds) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("scenario %s was stopped before its end: %w", r.script.Name, ctx.Err())
	case <-time.After(duration.Duration()):
		return nil
	}
}

func (r *runner) longestTimeout() model.Microseconds {
	var longest model.Microseconds
	for _, operation := range r.script.Operations {
		longest = max(longest, operation.Timeout)
	}
	return longest
}

// close stops everything that was started, also after a start that failed.
func (r *runner) close() {
	for _, instance := range r.instances {
		instance.signal(syscall.SIGCONT)
		instance.stop(syscall.SIGKILL, killTimeout)
	}
	if r.faultyController != nil {
		r.faultyController.close()
	}
	if r.loop != nil {
		r.loop.Do(r.stopStandIns)
		if r.registry != nil {
			r.registry.Close()
		}
	}
	if r.engine != nil {
		r.engine.Stop()
	}
	if r.loop != nil {
		r.loop.Stop()
	}
	if r.removeDirectory {
		_ = os.RemoveAll(r.directory)
	}
}

func (r *runner) stopStandIns() {
	for _, target := range r.proxies {
		target.Kill()
	}
	for _, target := range r.replicas {
		target.Stop()
	}
}

package scenario

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"peppervale/internal/config"
)

const (
	listenTimeout      = 10 * time.Second
	listenPollInterval = 20 * time.Millisecond
	logTailBytes       = 2000
)

// instance is an instance of the control plane that runs in a separate process.
type instance struct {
	name       string
	zone       string
	address    string // of the publish-subscribe channel
	console    string // listen address of the console
	configPath string
	logPath    string
	program    []string

	command *exec.Cmd // nil: not running
	log     *os.File
	cpuTime time.Duration // of the instance's processes that have exited
}

// start starts the process if it is not running.
func (i *instance) start() error {
	if i.command != nil {
		return nil
	}
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	arguments := append(slices.Clone(i.program[1:]), "--config", i.configPath)
	command := exec.Command(i.program[0], arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("instance %s: %w", i.name, err)
	}
	i.command = command
	i.log = log
	return nil
}

// signal sends a signal to the process if it is running.
func (i *instance) signal(signal syscall.Signal) {
	if i.command != nil {
		_ = i.command.Process.Signal(signal)
	}
}

// terminate sends a signal that terminates the process and marks the instance as not running. The returned function
// waits for the process to exit and returns its CPU time. It kills a process that is still running after the timeout.
func (i *instance) terminate(signal syscall.Signal, timeout time.Duration) (wait func() time.Duration) {
	if i.command == nil {
		return func() time.Duration { return 0 }
	}
	command, log := i.command, i.log
	i.command, i.log = nil, nil
	_ = command.Process.Signal(signal)
	return func() time.Duration {
		killTimer := time.AfterFunc(timeout, func() { _ = command.Process.Kill() })
		_ = command.Wait()
		killTimer.Stop()
		_ = log.Close()
		return command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	}
}

// stop terminates the process and waits for it to exit.
func (i *instance) stop(signal syscall.Signal, timeout time.Duration) {
	i.cpuTime += i.terminate(signal, timeout)()
}

// logTail returns the last logTailBytes bytes of the process's log.
func (i *instance) logTail() string {
	text, _ := os.ReadFile(i.logPath)
	return string(text[max(0, len(text)-logTailBytes):])
}

// configureInstances writes the configuration file of each instance and checks that it is valid.
func (r *runner) configureInstances() error {
	for i, zone := range r.script.InstanceZones {
		instance := r.newInstance(i, zone)
		settings := instanceSettings{
			index:    i,
			name:     instance.name,
			listen:   instance.address,
			console:  instance.console,
			state:    filepath.Join(r.directory, instance.name+".state"),
			registry: r.registry.Addr(),
			seed:     r.script.Seed*100 + uint64(i),
			network:  r.network,
		}
		if err := os.WriteFile(instance.configPath, r.script.instanceConfig(settings), 0o644); err != nil {
			return err
		}
		if _, err := config.LoadServer(instance.configPath); err != nil {
			return fmt.Errorf("the generated instance configuration is invalid:\n%w", err)
		}
		r.instances = append(r.instances, instance)
	}
	return nil
}

func (r *runner) newInstance(index int, zone string) *instance {
	name := instanceName(zone, index)
	return &instance{
		name:       name,
		zone:       zone,
		address:    r.network.instanceAddress(index, channelPort),
		console:    r.network.instanceAddress(index, consolePort),
		configPath: filepath.Join(r.directory, name+".hcl"),
		logPath:    filepath.Join(r.directory, name+".log"),
		program:    r.options.Program,
	}
}

// awaitListener waits until the address accepts a connection. It gives up after listenTimeout or when ctx is done.
func awaitListener(ctx context.Context, address string) error {
	deadline := time.Now().Add(listenTimeout)
	for {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return connection.Close()
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(listenPollInterval)
	}
}

package benchmark

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout  = 20 * time.Second
	servingRecord = `"message":"serving"` // part of the log line that an instance writes when it is ready
)

// listenFDCommand passes a listening socket to the program as systemd does. The shell sets LISTEN_PID because the
// process ID is not known before the process is started.
const listenFDCommand = `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0" "$@"`

// instanceProcess is an instance of the control plane that runs in a separate process.
type instanceProcess struct {
	program    []string // the command line up to the subcommand
	configPath string
	socket     *os.File  // a listening socket that is passed to each process; nil: none
	command    *exec.Cmd // nil: the process is not running
}

// start starts the process and returns when the process logs that it is serving.
func (p *instanceProcess) start(ctx context.Context) error {
	arguments := append(slices.Clone(p.program), instanceCommand, "--config", p.configPath)
	if p.socket != nil {
		arguments = append([]string{"/bin/sh", "-c", listenFDCommand}, arguments...)
	}
	command := exec.CommandContext(ctx, arguments[0], arguments[1:]...)
	if p.socket != nil {
		command.ExtraFiles = []*os.File{p.socket}
	}
	serving := make(chan struct{})
	command.Stdout = &textWatcher{text: []byte(servingRecord), found: serving}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	select {
	case <-serving:
		return nil
	case <-time.After(startTimeout):
		p.stop(syscall.SIGKILL)
		return &TimeoutError{Condition: "the instance is serving"}
	}
}

// stop ends the process, if it is running, with a signal and waits for its exit.
func (p *instanceProcess) stop(signal syscall.Signal) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(signal)
	_ = p.command.Wait()
	p.command = nil
}

// textWatcher is a writer that closes a channel when a single write contains a text.
type textWatcher struct {
	text  []byte
	found chan struct{}
	once  sync.Once
}

func (w *textWatcher) Write(data []byte) (int, error) {
	if bytes.Contains(data, w.text) {
		w.once.Do(func() { close(w.found) })
	}
	return len(data), nil
}

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
	servingRecord = `"message":"serving"` // in the log line that an instance writes once it serves
)

// listenFDCommand hands a listening socket over as systemd does. Only the process itself knows its number before it
// begins.
const listenFDCommand = `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0" "$@"`

// instanceProcess is an instance of the control plane in a process of its own.
type instanceProcess struct {
	program    []string // the command line up to the subcommand
	configPath string
	socket     *os.File  // a listening socket that is handed to each process; nil: none
	command    *exec.Cmd // nil: it does not run
}

// start starts the process and returns once its log says that it serves.
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
		p.end(syscall.SIGKILL)
		return &TimeoutError{Condition: "the instance serves"}
	}
}

// end sends a signal that ends the process and waits for it.
func (p *instanceProcess) end(signal syscall.Signal) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Signal(signal)
	_ = p.command.Wait()
	p.command = nil
}

// textWatcher closes a channel once a text is written to it, in one write.
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

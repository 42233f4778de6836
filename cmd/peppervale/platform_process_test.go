package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"peppervale/internal/testaddr"
)

const (
	// runProgramVariable is the environment variable that makes the test binary run as peppervale.
	runProgramVariable = "PEPPERVALE_TEST_PROGRAM"

	processTimeout = 20 * time.Second

	// maxShutdownTime limits the duration of a shutdown: the platform kills a process this long after SIGTERM.
	maxShutdownTime = 700 * time.Millisecond
)

// TestMain runs peppervale instead of the tests if runProgramVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// programCommand returns the command `peppervale platform` with a configuration file.
func programCommand(file string) *exec.Cmd {
	command := exec.Command(os.Args[0], "platform")
	command.Env = append(os.Environ(), runProgramVariable+"=1", "LB_CONFIG="+file)
	return command
}

// platformProcess is `peppervale platform` in a separate process.
type platformProcess struct {
	t       *testing.T
	command *exec.Cmd
	address string
	file    string
	ended   chan struct{}
}

// startOnFreeAddress starts a process on a free address, with a discovery address on which no process listens.
func startOnFreeAddress(t *testing.T) *platformProcess {
	t.Helper()
	return startPlatform(t, testaddr.Address(t), testaddr.Address(t))
}

// startPlatform writes a configuration file and starts a process with it.
func startPlatform(t *testing.T, address, discovery string) *platformProcess {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(platformFile(address, discovery)), 0o644); err != nil {
		t.Fatal(err)
	}
	return startWithFile(t, address, file)
}

// startWithFile starts a process with a configuration file. If the process still runs when the test ends, it is killed.
func startWithFile(t *testing.T, address, file string) *platformProcess {
	t.Helper()
	process := &platformProcess{
		t:       t,
		command: programCommand(file),
		address: address,
		file:    file,
		ended:   make(chan struct{}),
	}
	if err := process.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = process.command.Wait() // expectExit reads the exit status from ProcessState
		close(process.ended)
	}()
	t.Cleanup(func() {
		_ = process.command.Process.Kill() // the process may have ended
		<-process.ended
	})
	return process
}

// platformFile returns the content of the platform's configuration file for an instance.
func platformFile(address, discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"settings":{"zones":["govan"],"membership_mode":"subscribe",
"classes":[{"name":"read","on_time":500,"credit":1}],"extra":{"admission":"ratio","default_size":6,"overhead":6,
"pending_max":2000,"period":1000,"proxies":8,"push_delay_max":300}}}`, address, discovery)
}

// waitUntilReady waits until the process answers a ping.
func (p *platformProcess) waitUntilReady() {
	p.t.Helper()
	for deadline := time.Now().Add(processTimeout); !p.answersPing(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatal("the process did not answer a ping in time")
		}
	}
}

// answersPing reports whether the process answers a ping.
func (p *platformProcess) answersPing() bool {
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return false
	}
	_, _ = conn.Write([]byte("*1\r\n$4\r\nping\r\n")) // the answer shows whether it was written
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		p.t.Error(err)
	}
	line, _ := bufio.NewReader(conn).ReadString('\n')
	if err := conn.Close(); err != nil {
		p.t.Error(err)
	}
	return line == "*1\r\n"
}

// waitUntilTryingToListen waits until the process tries to listen on its address. By then it catches signals and has
// opened the discovery client, whose poller is the process's second one, after the Go runtime's.
func (p *platformProcess) waitUntilTryingToListen() {
	p.t.Helper()
	for deadline := time.Now().Add(processTimeout); p.countPollers() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatal("the process did not try to listen on its address in time")
		}
	}
}

// countPollers counts the process's epoll descriptors.
func (p *platformProcess) countPollers() int {
	directory := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	descriptors, _ := os.ReadDir(directory) // the directory does not exist before the process runs
	count := 0
	for _, descriptor := range descriptors {
		target, _ := os.Readlink(filepath.Join(directory, descriptor.Name())) // the descriptor may be closed already
		if strings.Contains(target, "eventpoll") {
			count++
		}
	}
	return count
}

// signal sends a signal to the process.
func (p *platformProcess) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Error(err)
	}
}

// terminate sends SIGTERM and checks that the process ends in time with status 0.
func (p *platformProcess) terminate() {
	p.t.Helper()
	signalledAt := time.Now()
	p.signal(syscall.SIGTERM)
	p.expectExit(signalledAt)
}

// expectExit checks that the process ends with status 0, within maxShutdownTime after it was signalled.
func (p *platformProcess) expectExit(signalledAt time.Time) {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(processTimeout):
		p.t.Fatal("the process did not end")
	}
	if status := p.command.ProcessState.ExitCode(); status != 0 {
		p.t.Errorf("exit status %d, want 0", status)
	}
	if duration := time.Since(signalledAt); duration > maxShutdownTime {
		p.t.Errorf("the process took %s to end, longer than the platform's limit for a shutdown", duration)
	}
}

// openForWriting opens a named pipe for writing. It returns when the process has opened the pipe for reading.
func openForWriting(t *testing.T, pipe string) {
	t.Helper()
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, writer)
}

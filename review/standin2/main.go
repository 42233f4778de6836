//go:build review2

// Command review2 plays the cases of the second review. It starts instances of the control plane as processes, holds the
// endpoint registry and the proxies itself, and judges what went over the sockets.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld     = 0
	statusBroken   = 1
	statusCouldNot = 2
)

// testbed is what a case runs on: a record, a temporary folder and the processes that were started.
type testbed struct {
	trouble bool
	began   time.Time
	folder  string
	program string

	mu         sync.Mutex
	record     *os.File
	started    []*process
	breaches   int
	answeredAt time.Duration // when the instance that was started last first answered
}

type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// longestRun ends a case that does not end by itself.
const longestRun = 116 * time.Second

// The main goroutine starts the processes, and they end with the thread that started them.
func init() { runtime.LockOSThread() }

// couldNot ends a case that cannot run.
type couldNot struct{ reason string }

func main() {
	cases := map[string]func(*testbed){
		"hung-proxy":     hungProxy,
		"governor-lost":  governorLost,
		"platform-lost":  platformLost,
		"two-halves":     twoHalves,
		"silent-hall":    silentHall,
		"corrected-file": correctedFile,
		"same-life":      sameLife,
		"raised-span":    raisedSpan,
		"dead-stream":    deadStream,
		"restart-bare":   restartBare,
		"all-to-one":     allToOne,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE, in the folder of the case")
		os.Exit(statusCouldNot)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(run func(*testbed)) (status int) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	defer func() { _ = record.Close() }()
	executable, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCouldNot
	}
	bed := &testbed{
		trouble: os.Getenv("TROUBLE") != "0",
		began:   time.Now(),
		folder:  folder,
		program: filepath.Join(filepath.Dir(executable), "peppervale"),
		record:  record,
	}
	time.AfterFunc(longestRun, func() {
		bed.note("could not run: it has taken %s", longestRun)
		_ = os.RemoveAll(folder)
		os.Exit(statusCouldNot) // the instances end with this process
	})
	defer bed.endAll()
	defer func() {
		if reason := recover(); reason != nil {
			failure, ok := reason.(couldNot)
			if !ok {
				panic(reason)
			}
			bed.note("could not run: %s", failure.reason)
			status = statusCouldNot
		}
	}()
	bed.note("trouble: %v", bed.trouble)
	run(bed)
	if bed.breaches > 0 {
		bed.note("verdict: broken, %d times", bed.breaches)
		return statusBroken
	}
	bed.note("verdict: held")
	return statusHeld
}

// now is the time since the start of the case.
func (b *testbed) now() time.Duration { return time.Since(b.began) }

// note writes a line to the record and to standard output.
func (b *testbed) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", b.now().Seconds()) + fmt.Sprintf(format, values...)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintln(b.record, line)
	fmt.Println(line)
}

// log writes a line to the record alone.
func (b *testbed) log(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", b.now().Seconds()) + fmt.Sprintf(format, values...)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintln(b.record, line)
}

// breach records that the rule was broken.
func (b *testbed) breach(format string, values ...any) {
	b.note("BROKEN: "+format, values...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaches++
}

// sleepUntil waits until a time since the start of the case.
func (b *testbed) sleepUntil(at time.Duration) { time.Sleep(at - b.now()) }

// Ports below those that systems usually give to outgoing connections, which could take a free one before its listener.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

// freeAddress returns an address on which nobody listens, for TCP and UDP.
func freeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
	panic(couldNot{"no free port"})
}

// write writes a file of the temporary folder and returns its path.
func (b *testbed) write(name, text string) string {
	path := filepath.Join(b.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		panic(couldNot{err.Error()})
	}
	return path
}

// serve starts an instance with a configuration file and waits until its address accepts connections.
func (b *testbed) serve(name, config, listen string) *process {
	return b.start(name, exec.Command(b.program, "serve", "--config", config), listen)
}

// platform starts an instance on the platform, as the line `run` of the deploy file does.
func (b *testbed) platform(name, config, listen string) *process {
	cmd := exec.Command(b.program, "platform")
	cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_NAME="+name, "LB_LISTEN="+listen)
	return b.start(name, cmd, listen)
}

// start starts an instance and waits until its address accepts connections.
func (b *testbed) start(name string, cmd *exec.Cmd, listen string) *process {
	started := b.run(name, cmd)
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err == nil {
			_ = conn.Close()
			b.answeredAt = b.now()
			return started
		}
		select {
		case <-started.done:
			panic(couldNot{"instance " + name + " ended: " + b.logOf(name)})
		case <-time.After(20 * time.Millisecond):
		}
	}
	panic(couldNot{"instance " + name + " does not listen: " + b.logOf(name)})
}

// logOf returns the log of an instance.
func (b *testbed) logOf(name string) string {
	text, _ := os.ReadFile(filepath.Join(b.folder, name+".log"))
	return string(text)
}

// copyLog copies the lines of an instance's log that contain one of the words to the record.
func (b *testbed) copyLog(name string, words ...string) {
	for _, line := range strings.Split(b.logOf(name), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				b.log("log of %s: %s", name, line)
				break
			}
		}
	}
}

// run starts a process, with its output in the temporary folder.
func (b *testbed) run(name string, cmd *exec.Cmd) *process {
	logFile, err := os.OpenFile(filepath.Join(b.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(couldNot{err.Error()})
	}
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(couldNot{err.Error()})
	}
	_ = logFile.Close()
	started := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(started.done)
	}()
	b.mu.Lock()
	b.started = append(b.started, started)
	b.mu.Unlock()
	b.note("%s started, process %d: %s", name, cmd.Process.Pid, filepath.Base(cmd.Path)+" "+cmd.Args[1])
	return started
}

// kill ends a process by SIGKILL and waits for its end.
func (b *testbed) kill(p *process) {
	b.note("instance %s: SIGKILL", p.name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// terminate ends a process by SIGTERM and waits for its end.
func (b *testbed) terminate(p *process) {
	b.note("instance %s: SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(15 * time.Second):
		panic(couldNot{"instance " + p.name + " does not end"})
	}
}

func (b *testbed) endAll() {
	for _, p := range b.started {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

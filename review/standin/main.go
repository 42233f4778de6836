// Command standin plays the platform around one instance: discovery, proxies, collectors and replicas. Each case of the
// review is one function. It writes what happened to a record and exits with 0 (the rule held), 1 (it was broken) or
// 2 (the case could not run).
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what all parts of a case share.
type world struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the case as one that could not run.
func (w *world) fail(format string, args ...any) {
	w.logf("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	panic(notRun{})
}

type notRun struct{}

var cases = map[string]func(*world) bool{
	"watch-end":    caseWatchEnd,
	"shut-out":     caseShutOut,
	"shut-out-new": caseShutOutNew,
	"span":         caseSpan,
	"budget":       caseBudget,
}

func main() {
	root := flag.String("root", "", "root of the repository")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	os.Exit(run(*root, *record, flag.Arg(0)))
}

func run(root, recordPath, name string) (status int) {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(folder)
	w := &world{
		root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record,
	}
	w.logf("case %s, trouble %v", name, w.trouble)
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	defer func() {
		if problem := recover(); problem != nil {
			if _, expected := problem.(notRun); !expected {
				fmt.Fprintln(os.Stderr, problem)
			}
			status = exitNotRun
		}
	}()
	if play(w) {
		w.logf("verdict: the rule held")
		fmt.Println("held")
		return exitHeld
	}
	w.logf("verdict: the rule was broken")
	fmt.Println("broken")
	return exitBroken
}

// governor is one instance, started as the deploy file says.
type governor struct {
	w       *world
	name    string
	listen  string
	config  string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	stopped bool
}

// runLine returns the line `run` of the deploy file.
func (w *world) runLine() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		w.fail("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	w.fail("no run line in the deploy file")
	return ""
}

// startGovernor starts an instance with a configuration and waits until it answers ping.
func (w *world) startGovernor(name, listen, discovery, config string) *governor {
	g := &governor{w: w, name: name, listen: listen, exited: make(chan struct{})}
	g.config = filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(g.config, []byte(config), 0o644); err != nil {
		w.fail("%v", err)
	}
	private := filepath.Join(w.folder, name+"-tmp")
	os.MkdirAll(private, 0o755)
	log, err := os.OpenFile(filepath.Join(w.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		w.fail("%v", err)
	}
	g.log = log
	g.command = exec.Command("/bin/sh", "-c", w.runLine())
	g.command.Dir = w.root
	g.command.Stdout = log
	g.command.Stderr = log
	g.command.Env = append(os.Environ(), "LB_NAME="+name, "LB_LISTEN="+listen, "LB_DISCOVERY="+discovery,
		"LB_CONFIG="+g.config, "TMPDIR="+private)
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		w.fail("%v", err)
	}
	go func() {
		g.command.Wait()
		close(g.exited)
	}()
	w.logf("%s started, process %d", name, g.command.Process.Pid)
	deadline := time.Now().Add(25 * time.Second)
	for !ping(listen) {
		select {
		case <-g.exited:
			w.fail("%s ended before it was ready", name)
		default:
		}
		if time.Now().After(deadline) {
			w.fail("%s not ready", name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.logf("%s answered ping", name)
	return g
}

func (g *governor) signal(s syscall.Signal) {
	g.w.logf("%s gets signal %v", g.name, s)
	g.command.Process.Signal(s)
}

// end kills the instance and copies its log into the record.
func (g *governor) end() {
	select {
	case <-g.exited:
		g.w.logf("%s had ended before", g.name)
	default:
		g.command.Process.Kill()
		<-g.exited
	}
	g.log.Close()
	text, _ := os.ReadFile(g.log.Name())
	g.w.mu.Lock()
	fmt.Fprintf(g.w.record, "--- log of %s\n%s---\n", g.name, text)
	g.w.mu.Unlock()
}

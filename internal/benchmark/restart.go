package benchmark

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// RestartWay is how a governor is restarted under its forwarders.
type RestartWay struct {
	Name   string
	signal syscall.Signal
	held   bool // its listening socket outlives it
}

// RestartWays are all of them.
var RestartWays = []RestartWay{{"killed", syscall.SIGKILL, false}, {"killed, socket held", syscall.SIGKILL, true}, {"ended", syscall.SIGTERM, false},
	{"ended, socket held", syscall.SIGTERM, true}}

// RestartFigures are of one way: how long each forwarder was without a stream.
type RestartFigures struct {
	Way            string
	Forwarders     int
	Rounds         int
	Down           time.Duration // median, from the signal to the new process's log line "serving"
	P50, P99, Most time.Duration
	Streams        float64 // opened for each forwarder and restart; 1 is the least
}

// gaps notes when each forwarder has a stream.
type gaps struct {
	mu   sync.Mutex
	lost map[string]model.Microseconds
	all  []model.Microseconds
	ups  int
	up   map[string]bool
}

func (g *gaps) seen(s invariants.Seen) {
	one, ok := s.(invariants.Stream)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case one.Up:
		if at, known := g.lost[one.Forwarder]; known {
			g.all = append(g.all, one.At-at)
			delete(g.lost, one.Forwarder)
		}
		g.ups++
		g.up[one.Forwarder] = true
	case g.up[one.Forwarder]:
		g.lost[one.Forwarder], g.up[one.Forwarder] = one.At, false
	}
}

func (g *gaps) joined() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, up := range g.up {
		if up {
			n++
		}
	}
	return n
}

// awaitFor is longer than anything that is waited for takes on a machine that does anything at all.
const awaitFor = 60 * time.Second

// await waits until something is so.
func await(ctx context.Context, what string, is func() bool) error {
	for until := time.Now().Add(awaitFor); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) || ctx.Err() != nil {
			return fmt.Errorf("measure: never: %s", what)
		}
	}
	return nil
}

// Restart restarts a governor's process so many times under n forwarders that have no other; program is the command that runs one.
func Restart(ctx context.Context, program []string, way RestartWay, n, rounds int) (*RestartFigures, error) {
	now := controller.Clock()
	dir, err := os.MkdirTemp("", "peppervale-restart-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	loop := standin.NewLoop(now)
	defer loop.Stop()
	list, err := registry.New(loop, "127.0.0.1:0", "recipe", func(invariants.Seen) {})
	if err != nil {
		return nil, err
	}
	defer list.Close()
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := socket.Addr().String()
	r := &restarted{program: program, config: filepath.Join(dir, "governor.hcl")}
	if way.held {
		if r.held, err = socket.(*net.TCPListener).File(); err != nil {
			return nil, err
		}
		defer r.held.Close()
	}
	socket.Close()
	if err := os.WriteFile(r.config, fmt.Appendf(nil, restartFile, address, list.Addr()), 0o644); err != nil {
		return nil, err
	}
	engine, err := proxy.NewEngine()
	if err != nil {
		return nil, err
	}
	defer engine.Stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.end(syscall.SIGKILL)
	g := &gaps{lost: map[string]model.Microseconds{}, up: map[string]bool{}}
	_, kill := listeners(loop, engine, n, address, 150*model.Millisecond, g.seen)
	defer kill()
	everybody := func() error {
		return await(ctx, "all forwarders have a stream", func() bool { return g.joined() >= n })
	}
	if err := everybody(); err != nil {
		return nil, err
	}
	first := g.ups
	var downs []time.Duration
	for range rounds {
		began := time.Now()
		r.end(way.signal)
		if err := r.start(ctx); err != nil {
			return nil, err
		}
		downs = append(downs, time.Since(began))
		if err := everybody(); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.Sort(g.all)
	slices.Sort(downs)
	at := func(p float64) time.Duration { return g.all[int(p*float64(len(g.all)-1))].Duration() }
	return &RestartFigures{Way: way.Name, Forwarders: n, Rounds: rounds, Down: downs[len(downs)/2], P50: at(0.5), P99: at(0.99), Most: at(1),
		Streams: float64(g.ups-first) / float64(n*rounds)}, nil
}

const restartFile = `governor "g" {
  listen = %q
  state = "state"
  farewell = "500ms"
}
zones = ["zone"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = 1000
}
rules {
}
channel {
  pace = 100000
}
machine_list "consul" {
  address = %q
  service = "recipe"
}
`

// restarted is the governor's process of now.
type restarted struct {
	program []string
	config  string
	held    *os.File // the listening socket, handed to each process
	cmd     *exec.Cmd
}

// start returns once the process says that it serves.
func (r *restarted) start(ctx context.Context) error {
	line := append(slices.Clone(r.program), "governor", "--config", r.config)
	if r.held != nil { // only the process itself knows its number before it begins
		line = append([]string{"/bin/sh", "-c", `LISTEN_FDS=1 LISTEN_PID=$$ exec "$0" "$@"`}, line...)
	}
	r.cmd = exec.CommandContext(ctx, line[0], line[1:]...)
	if r.held != nil {
		r.cmd.ExtraFiles = []*os.File{r.held}
	}
	serving := make(chan struct{})
	r.cmd.Stdout = &word{what: []byte(`"message":"serving"`), found: serving}
	r.cmd.Stderr = os.Stderr
	if err := r.cmd.Start(); err != nil {
		return err
	}
	select {
	case <-serving:
		return nil
	case <-time.After(20 * time.Second):
		r.end(syscall.SIGKILL)
		return fmt.Errorf("measure: the governor does not serve")
	}
}

func (r *restarted) end(signal syscall.Signal) {
	_ = r.cmd.Process.Signal(signal)
	_ = r.cmd.Wait()
}

// word waits for a word in what is written, a line a write.
type word struct {
	what  []byte
	found chan struct{}
	once  sync.Once
}

func (w *word) Write(p []byte) (int, error) {
	if bytes.Contains(p, w.what) {
		w.once.Do(func() { close(w.found) })
	}
	return len(p), nil
}

// PrintRestarts writes a table.
func PrintRestarts(w io.Writer, all []*RestartFigures) {
	fmt.Fprintf(w, "| restarted | forwarders | restarts | process down | without a stream: p50 | p99 | most | streams for each |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range all {
		fmt.Fprintf(w, "| %s | %d | %d | %s | %s | %s | %s | %.2f |\n", f.Way, f.Forwarders, f.Rounds, f.Down.Round(time.Millisecond), f.P50.Round(time.Millisecond),
			f.P99.Round(time.Millisecond), f.Most.Round(time.Millisecond), f.Streams)
	}
}

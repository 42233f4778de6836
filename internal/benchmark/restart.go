package benchmark

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// RestartMode is how an instance is restarted while proxies are connected.
type RestartMode struct {
	Name       string
	signal     syscall.Signal
	keepSocket bool // its listening socket outlives the process
}

// RestartModes are all modes of restarting an instance.
var RestartModes = []RestartMode{
	{Name: "killed", signal: syscall.SIGKILL},
	{Name: "killed, socket held", signal: syscall.SIGKILL, keepSocket: true},
	{Name: "ended", signal: syscall.SIGTERM},
	{Name: "ended, socket held", signal: syscall.SIGTERM, keepSocket: true},
}

// RestartResult is the result of Restart for one mode: for how long each proxy had no stream.
type RestartResult struct {
	Mode              string
	Proxies           int
	Rounds            int
	Downtime          time.Duration // median, from the signal until the new process logs that it serves
	Median            time.Duration
	P99               time.Duration
	Longest           time.Duration
	StreamsPerRestart float64 // streams opened for each proxy and restart, 1 at least
}

// Restart restarts an instance so many times while proxies are connected that know no other. program is the command
// that runs an instance.
func Restart(
	ctx context.Context, program []string, mode RestartMode, proxies, rounds int,
) (*RestartResult, error) {
	directory, removeDirectory, err := makeDirectory("restart")
	if err != nil {
		return nil, err
	}
	defer removeDirectory()
	bed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer bed.close()
	if err := bed.addRegistry(ignore); err != nil {
		return nil, err
	}
	restarted := &instanceProcess{program: program, configPath: filepath.Join(directory, "governor.hcl")}
	address, closeSocket, err := restarted.configure(mode, bed.registry.Addr())
	if err != nil {
		return nil, err
	}
	defer closeSocket()
	if err := restarted.start(ctx); err != nil {
		return nil, err
	}
	defer restarted.end(syscall.SIGKILL)
	streams := newStreamWatch()
	bed.addListeners(proxies, address, redialInterval, streams.observe)
	defer bed.stopProxies()
	experiment := &restartExperiment{instance: restarted, mode: mode, proxies: proxies, streams: streams}
	return experiment.run(ctx, rounds)
}

// configure writes the configuration file for an address with a free port. If the mode asks for it, the listening
// socket stays open until closeSocket is called.
func (p *instanceProcess) configure(mode RestartMode, registry string) (address string, closeSocket func(), err error) {
	listener, err := net.Listen("tcp4", loopbackAnyPort)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = listener.Close() }()
	address = listener.Addr().String()
	closeSocket = func() {}
	if mode.keepSocket {
		socket, err := listener.(*net.TCPListener).File()
		if err != nil {
			return "", nil, err
		}
		p.socket = socket
		closeSocket = func() { _ = socket.Close() }
	}
	text := fmt.Appendf(nil, restartConfigFormat, address, registry)
	if err := os.WriteFile(p.configPath, text, 0o644); err != nil {
		closeSocket()
		return "", nil, err
	}
	return address, closeSocket, nil
}

const restartConfigFormat = `governor "g" {
  listen = %q
  state = "state"
  farewell = "` + gracefulShutdown + `"
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
  service = "` + serviceName + `"
}
`

// restartExperiment restarts an instance whose proxies are connected.
type restartExperiment struct {
	instance *instanceProcess
	mode     RestartMode
	proxies  int
	streams  *streamWatch
}

func (e *restartExperiment) run(ctx context.Context, rounds int) (*RestartResult, error) {
	if err := e.awaitStreams(ctx); err != nil {
		return nil, err
	}
	_, opened := e.streams.count()
	var downtimes []time.Duration
	for range rounds {
		started := time.Now()
		e.instance.end(e.mode.signal)
		if err := e.instance.start(ctx); err != nil {
			return nil, err
		}
		downtimes = append(downtimes, time.Since(started))
		if err := e.awaitStreams(ctx); err != nil {
			return nil, err
		}
	}
	_, openedAtEnd := e.streams.count()
	slices.Sort(downtimes)
	gaps := e.streams.sortedGaps()
	return &RestartResult{
		Mode:              e.mode.Name,
		Proxies:           e.proxies,
		Rounds:            rounds,
		Downtime:          downtimes[len(downtimes)/2],
		Median:            quantile(gaps, 0.5),
		P99:               quantile(gaps, 0.99),
		Longest:           quantile(gaps, 1),
		StreamsPerRestart: float64(openedAtEnd-opened) / float64(e.proxies*rounds),
	}, nil
}

func (e *restartExperiment) awaitStreams(ctx context.Context) error {
	return await(ctx, "all proxies have a stream", func() bool {
		connected, _ := e.streams.count()
		return connected >= e.proxies
	})
}

// streamWatch records when each proxy has a stream. It may be used from any goroutine.
type streamWatch struct {
	mu        sync.Mutex
	connected map[string]bool
	lostAt    map[string]model.Microseconds
	gaps      []model.Microseconds // between the loss of a stream and the next one
	opened    int
}

func newStreamWatch() *streamWatch {
	return &streamWatch{connected: map[string]bool{}, lostAt: map[string]model.Microseconds{}}
}

func (w *streamWatch) observe(observation invariants.Event) {
	event, ok := observation.(invariants.StreamChanged)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if event.Up {
		w.streamOpened(event)
	} else if w.connected[event.Proxy] {
		w.lostAt[event.Proxy] = event.At
		w.connected[event.Proxy] = false
	}
}

func (w *streamWatch) streamOpened(event invariants.StreamChanged) {
	if lostAt, wasLost := w.lostAt[event.Proxy]; wasLost {
		w.gaps = append(w.gaps, event.At-lostAt)
		delete(w.lostAt, event.Proxy)
	}
	w.opened++
	w.connected[event.Proxy] = true
}

// count gives how many proxies have a stream, and how many streams were opened so far.
func (w *streamWatch) count() (connected, opened int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, isConnected := range w.connected {
		if isConnected {
			connected++
		}
	}
	return connected, w.opened
}

func (w *streamWatch) sortedGaps() []model.Microseconds {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(slices.Values(w.gaps))
}

// PrintRestarts writes a table of the results of Restart.
func PrintRestarts(out io.Writer, results []*RestartResult) {
	printf(out, "| restarted | forwarders | restarts | process down | without a stream: p50 | p99 | most | "+
		"streams for each |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		printf(out, "| %s | %d | %d | %s | %s | %s | %s | %.2f |\n",
			result.Mode, result.Proxies, result.Rounds, roundMilliseconds(result.Downtime),
			roundMilliseconds(result.Median), roundMilliseconds(result.P99), roundMilliseconds(result.Longest),
			result.StreamsPerRestart)
	}
}

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

// RestartMode describes how an instance is restarted while proxies are connected.
type RestartMode struct {
	Name       string
	signal     syscall.Signal
	keepSocket bool // the listening socket stays open while the process is restarted
}

// RestartModes lists all modes of restarting an instance.
var RestartModes = []RestartMode{
	{Name: "killed", signal: syscall.SIGKILL},
	{Name: "killed, socket held", signal: syscall.SIGKILL, keepSocket: true},
	{Name: "ended", signal: syscall.SIGTERM},
	{Name: "ended, socket held", signal: syscall.SIGTERM, keepSocket: true},
}

// RestartResult is the result of Restart for one mode. Median, P99 and Longest are times during which a proxy had no
// stream.
type RestartResult struct {
	Mode              string
	Proxies           int
	Rounds            int
	Downtime          time.Duration // median time from the signal until the new process logs that it is serving
	Median            time.Duration
	P99               time.Duration
	Longest           time.Duration
	StreamsPerRestart float64 // streams opened per proxy and restart, at least 1
}

// Restart restarts an instance in each round while proxies are connected that know no other instance. program is the
// command line that runs an instance.
func Restart(
	ctx context.Context, program []string, mode RestartMode, proxies, rounds int,
) (*RestartResult, error) {
	directory, removeDirectory, err := makeDirectory("restart")
	if err != nil {
		return nil, err
	}
	defer removeDirectory()
	testbed, err := newTestbed()
	if err != nil {
		return nil, err
	}
	defer testbed.close()
	if err := testbed.addRegistry(ignoreEvent); err != nil {
		return nil, err
	}
	instance := &instanceProcess{program: program, configPath: filepath.Join(directory, "governor.hcl")}
	address, closeSocket, err := instance.configure(mode, testbed.registry.Addr())
	if err != nil {
		return nil, err
	}
	defer closeSocket()
	if err := instance.start(ctx); err != nil {
		return nil, err
	}
	defer instance.stop(syscall.SIGKILL)
	streams := newStreamObserver()
	testbed.addIdleProxies(proxies, address, redialInterval, streams.observe)
	defer testbed.stopProxies()
	experiment := &restartExperiment{instance: instance, mode: mode, proxies: proxies, streams: streams}
	return experiment.run(ctx, rounds)
}

// configure writes the configuration file with a listening address whose port is free, and returns the address. If the
// mode keeps the listening socket, the socket stays open until closeSocket is called.
func (p *instanceProcess) configure(
	mode RestartMode, registryAddress string,
) (address string, closeSocket func(), err error) {
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
	text := fmt.Appendf(nil, restartConfigFormat, address, registryAddress)
	if err := os.WriteFile(p.configPath, text, 0o644); err != nil {
		closeSocket()
		return "", nil, err
	}
	return address, closeSocket, nil
}

const restartConfigFormat = `governor "g" {
  listen = %q
  state = "state"
  farewell = "` + gracefulShutdownPeriod + `"
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

// restartExperiment restarts an instance while proxies are connected to it.
type restartExperiment struct {
	instance *instanceProcess
	mode     RestartMode
	proxies  int
	streams  *streamObserver
}

func (e *restartExperiment) run(ctx context.Context, rounds int) (*RestartResult, error) {
	if err := e.awaitStreams(ctx); err != nil {
		return nil, err
	}
	_, openedAtStart := e.streams.count()
	var downtimes []time.Duration
	for range rounds {
		started := time.Now()
		e.instance.stop(e.mode.signal)
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
		StreamsPerRestart: float64(openedAtEnd-openedAtStart) / float64(e.proxies*rounds),
	}, nil
}

func (e *restartExperiment) awaitStreams(ctx context.Context) error {
	return await(ctx, "all proxies have a stream", func() bool {
		connected, _ := e.streams.count()
		return connected >= e.proxies
	})
}

// streamObserver records the times during which proxies have no stream. It is safe for concurrent use.
type streamObserver struct {
	mu          sync.Mutex
	connected   map[string]bool
	lostAt      map[string]model.Microseconds
	gaps        []model.Microseconds // from the loss of a proxy's stream to its next stream
	openedCount int
}

func newStreamObserver() *streamObserver {
	return &streamObserver{connected: map[string]bool{}, lostAt: map[string]model.Microseconds{}}
}

func (o *streamObserver) observe(observation invariants.Event) {
	event, ok := observation.(invariants.StreamChanged)
	if !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if event.Up {
		o.streamOpened(event)
	} else if o.connected[event.Proxy] {
		o.lostAt[event.Proxy] = event.At
		o.connected[event.Proxy] = false
	}
}

func (o *streamObserver) streamOpened(event invariants.StreamChanged) {
	if lostAt, wasLost := o.lostAt[event.Proxy]; wasLost {
		o.gaps = append(o.gaps, event.At-lostAt)
		delete(o.lostAt, event.Proxy)
	}
	o.openedCount++
	o.connected[event.Proxy] = true
}

// count returns the number of proxies that have a stream and the number of streams opened so far.
func (o *streamObserver) count() (connected, opened int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, isConnected := range o.connected {
		if isConnected {
			connected++
		}
	}
	return connected, o.openedCount
}

func (o *streamObserver) sortedGaps() []model.Microseconds {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(slices.Values(o.gaps))
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

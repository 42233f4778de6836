package benchmark

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

const (
	// awaitTimeout is longer than anything that is awaited takes on a machine that makes any progress.
	awaitTimeout      = 60 * time.Second
	awaitPollInterval = 5 * time.Millisecond
	serviceName       = "recipe"
	loopbackAnyPort   = "127.0.0.1:0"
	redialInterval    = 150 * model.Millisecond
	gracefulShutdown  = "500ms"
	instanceCommand   = "governor" // the subcommand that runs an instance
)

// testbed holds what the experiments with stand-ins have in common. close ends all of it.
type testbed struct {
	now      func() model.Microseconds
	engine   *netpoll.Engine
	loop     *standin.Loop
	registry *registry.Registry // nil: none
	proxies  []*proxy.Proxy
}

func newTestbed() (*testbed, error) {
	engine, err := proxy.NewEngine()
	if err != nil {
		return nil, err
	}
	now := controller.NewClock()
	return &testbed{now: now, engine: engine, loop: standin.NewLoop(now)}, nil
}

// addRegistry starts an endpoint registry.
func (b *testbed) addRegistry(observe func(invariants.Event)) error {
	var err error
	b.registry, err = registry.New(b.loop, loopbackAnyPort, serviceName, observe)
	return err
}

// addListeners starts proxies that carry no requests and know one instance only.
func (b *testbed) addListeners(
	count int, address string, redial model.Microseconds, observe func(invariants.Event),
) {
	b.loop.Do(func() {
		for k := range count {
			settings := proxy.Config{
				Name:            listenerName(k),
				Zone:            "zone",
				RedialInterval:  redial,
				DialTimeout:     10 * model.Second,
				OmitLoadReports: true,
				Instances:       []proxy.Instance{{Name: "g", Address: address}},
			}
			b.startProxy(settings, 1, nil, observe)
		}
	})
}

// startProxy starts a proxy with a standing table; on the loop only.
func (b *testbed) startProxy(
	settings proxy.Config, seed uint64, standing []invariants.TableEntry, observe func(invariants.Event),
) {
	started := proxy.New(b.loop, b.engine, settings, seed, observe)
	started.Start(standing)
	b.proxies = append(b.proxies, started)
}

// stopProxies ends the proxies; a second call does nothing.
func (b *testbed) stopProxies() {
	b.loop.Do(func() {
		for _, running := range b.proxies {
			running.Kill()
		}
	})
	b.proxies = nil
}

func (b *testbed) close() {
	b.stopProxies()
	if b.registry != nil {
		b.registry.Close()
	}
	b.engine.Stop()
	b.loop.Stop()
}

func listenerName(index int) string { return fmt.Sprint("listener-", index) }

// ignore is for stand-ins whose observations do not matter.
func ignore(invariants.Event) {}

func replicaID(index int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 1, byte(index / 200), byte(index%200 + 1)}, Port: 8080}
}

// makeDirectory makes a temporary directory for an experiment and gives what removes it.
func makeDirectory(experiment string) (path string, remove func(), err error) {
	path, err = os.MkdirTemp("", "peppervale-"+experiment+"-")
	if err != nil {
		return "", nil, err
	}
	return path, func() { _ = os.RemoveAll(path) }, nil
}

// await waits until a condition holds. condition names it in the error.
func await(ctx context.Context, condition string, holds func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !holds() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return &TimeoutError{Condition: condition}
		}
		time.Sleep(awaitPollInterval)
	}
	return nil
}

// TimeoutError says what an experiment awaited in vain.
type TimeoutError struct {
	Condition string
}

func (e *TimeoutError) Error() string { return "benchmark: timed out: " + e.Condition }

// reserveAddresses returns distinct loopback addresses whose ports were free a moment ago. All are held until the last
// one is found, so that no two are the same; another process may take one before it is used.
func reserveAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", loopbackAnyPort)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

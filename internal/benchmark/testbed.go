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
	// awaitTimeout exceeds the duration of every awaited step, also on a slow machine.
	awaitTimeout           = 60 * time.Second
	awaitPollInterval      = 5 * time.Millisecond
	serviceName            = "recipe"
	loopbackAnyPort        = "127.0.0.1:0"
	redialInterval         = 150 * model.Millisecond
	gracefulShutdownPeriod = "500ms"
	instanceCommand        = "governor" // the subcommand that runs an instance
)

// testbed holds the stand-ins of an experiment. close stops all of them.
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

// addIdleProxies starts proxies that handle no requests and know only one instance.
func (b *testbed) addIdleProxies(
	count int, address string, redial model.Microseconds, observe func(invariants.Event),
) {
	b.loop.Do(func() {
		for k := range count {
			settings := proxy.Config{
				Name:            proxyName(k),
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

// startProxy starts a proxy with a standing table. It must be called on the loop.
func (b *testbed) startProxy(
	settings proxy.Config, seed uint64, standing []invariants.TableEntry, observe func(invariants.Event),
) {
	p := proxy.New(b.loop, b.engine, settings, seed, observe)
	p.Start(standing)
	b.proxies = append(b.proxies, p)
}

// stopProxies stops all proxies. A second call does nothing.
func (b *testbed) stopProxies() {
	b.loop.Do(func() {
		for _, p := range b.proxies {
			p.Kill()
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

func proxyName(index int) string { return fmt.Sprint("listener-", index) }

// ignoreEvent ignores a stand-in's observation.
func ignoreEvent(invariants.Event) {}

func replicaID(index int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 1, byte(index / 200), byte(index%200 + 1)}, Port: 8080}
}

// makeDirectory creates a temporary directory for an experiment and returns a function that removes it.
func makeDirectory(experiment string) (path string, remove func(), err error) {
	path, err = os.MkdirTemp("", "peppervale-"+experiment+"-")
	if err != nil {
		return "", nil, err
	}
	return path, func() { _ = os.RemoveAll(path) }, nil
}

// await polls until a condition holds. It returns a TimeoutError that names the condition if the timeout elapses or the
// context is canceled first.
func await(ctx context.Context, condition string, isTrue func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !isTrue() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return &TimeoutError{Condition: condition}
		}
		time.Sleep(awaitPollInterval)
	}
	return nil
}

// TimeoutError reports a condition that did not hold within the timeout.
type TimeoutError struct {
	Condition string
}

func (e *TimeoutError) Error() string { return "benchmark: timed out waiting until: " + e.Condition }

// reserveAddresses returns distinct loopback addresses with free ports. It keeps all ports open until the last one is
// found, so that no two addresses are equal. Another process may take a port before it is used.
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

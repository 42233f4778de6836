package server

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/config"
	"peppervale/internal/console"
	"peppervale/internal/controller"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

const (
	statisticsInterval = 10 * time.Second

	// savePublishedInterval is how often the published state is stored if it changed. The console of the next
	// incarnation shows it until that one has published its own; five seconds old is recent enough for that.
	savePublishedInterval = 5 * time.Second
)

// instance is one running instance. start opens its parts in order, close releases them in reverse order.
type instance struct {
	settings *activeSettings
	balancer model.Config // with this incarnation's seed, once the store is open
	outside  Environment
	log      zerolog.Logger
	now      func() model.Microseconds

	recovered  *statestore.Recovered
	controller *controller.Controller
	runner     *controllerRunner
	recorder   *recorder
	membership *membership // nil: it is in no cluster
	proxies    *pubsub.Server
	discovery  *discovery.ConsulClient

	closers []func() error // of the parts that are open, in the order of opening
}

func newInstance(settings *config.Server, outside Environment, log zerolog.Logger) *instance {
	return &instance{
		settings: &activeSettings{current: settings},
		balancer: settings.Balancer,
		outside:  outside,
		log:      log,
		now:      controller.NewClock(),
	}
}

// start opens the parts in order. After an error the caller closes those that are open.
func (inst *instance) start() error {
	settings := inst.settings.get()
	store, err := inst.openStore(settings)
	if err != nil {
		return err
	}
	inst.createController(settings, store)
	if settings.Cluster != nil {
		inst.membership = newMembership(settings, inst.runner)
	}
	if err := inst.listen(settings); err != nil {
		return err
	}
	if err := inst.openDiscovery(settings); err != nil {
		return err
	}
	inst.runner.run = func() { inst.controller.Run(inst.proxies, inst.discovery, inst.recovered.Endpoints) }
	inst.log.Info().
		Str("instance", settings.Name).
		Str("listen", inst.proxies.Addr()).
		Uint64("incarnation", inst.recovered.Incarnation).
		Int("endpoints", len(inst.recovered.Endpoints)).
		Msg("serving")
	if err := inst.startController(settings); err != nil {
		return err
	}
	return inst.openConsole(settings)
}

// openStore opens the state store and counts an incarnation.
func (inst *instance) openStore(settings *config.Server) (*statestore.Store, error) {
	store, recovered, err := statestore.Open(settings.StateDir, uint64(inst.now()/model.Second))
	if err != nil {
		return nil, err
	}
	inst.closeAtEnd(func() error {
		if err := store.Close(); err != nil {
			return fmt.Errorf("closing the state store: %w", err)
		}
		return nil
	})
	inst.recovered = recovered
	logRecovery(inst.log, recovered)
	return store, nil
}

// createController makes the controller and the recorder of its decisions. The balancer's seed differs at each start
// and is the same for the same incarnation.
func (inst *instance) createController(settings *config.Server, store *statestore.Store) {
	inst.balancer.Seed += inst.recovered.Incarnation << 32
	inst.controller = controller.New(inst.balancer, settings.ReportLimit, inst.now, inst.log)
	inst.runner = &controllerRunner{controller: inst.controller}
	inst.recorder = newRecorder(inst.controller, store, inst.recovered.Incarnation, inst.log)
	inst.releaseAtEnd(inst.recorder.writer.Close)
}

// listen opens the address for proxies. They may connect from here on.
func (inst *instance) listen(settings *config.Server) error {
	serverConfig := pubsub.Config{
		Listen:           settings.ListenAddress,
		Incarnation:      inst.recovered.Incarnation,
		Zones:            settings.Zones,
		ReportPeriod:     inst.balancer.ReportPeriod,
		MessageOverhead:  inst.balancer.MessageOverhead,
		EntriesPerSecond: settings.ChannelRate,
		Now:              inst.now,
		JoinLimits:       joinLimits(settings, inst.balancer.Seed),
		Log:              inst.log,
		Limits:           peerLimits(settings),
	}
	if inst.membership != nil {
		serverConfig.Leases = inst.membership
	}
	proxies, err := pubsub.Listen(serverConfig, inst.controller)
	if err != nil {
		return &ListenError{Address: settings.ListenAddress, Err: err}
	}
	inst.proxies = proxies
	inst.releaseAtEnd(proxies.Close)
	return nil
}

// openDiscovery makes the client of the endpoint list; it polls once the controller subscribes.
func (inst *instance) openDiscovery(settings *config.Server) error {
	client, err := discovery.NewConsulClient(discovery.ConsulConfig{
		Address:   settings.Discovery.Address,
		Service:   settings.Discovery.Service,
		Zones:     settings.Zones,
		UserAgent: "peppervale/" + settings.Name,
		Wait:      settings.Discovery.Wait,
		Timeout:   settings.Discovery.Timeout,
		Log:       inst.log,
	}, inst.recorder)
	if err != nil {
		return err
	}
	inst.discovery = client
	inst.releaseAtEnd(client.Close)
	return nil
}

// startController starts the controller, or joins the cluster, where it starts with the first lease.
func (inst *instance) startController(settings *config.Server) error {
	if inst.membership == nil {
		inst.runner.start()
		return nil
	}
	err := inst.membership.open(memberOptions{
		settings:    settings,
		incarnation: inst.recovered.Incarnation,
		proxies:     inst.proxies,
		now:         inst.now,
		links:       inst.outside.Links,
		log:         inst.log,
	})
	if err != nil {
		return err
	}
	inst.releaseAtEnd(inst.membership.close)
	return nil
}

// openConsole opens the console, if one is configured.
func (inst *instance) openConsole(settings *config.Server) error {
	if settings.ConsoleAddress == "" {
		return nil
	}
	about := console.Instance{
		Name:             settings.Name,
		Incarnation:      inst.recovered.Incarnation,
		Zones:            settings.Zones,
		Settings:         inst.settings.list,
		QueueLimit:       inst.balancer.QueueLimit,
		Now:              inst.now,
		PreviousSnapshot: inst.recovered.Published,
	}
	for _, operation := range settings.Operations {
		about.Operations = append(about.Operations, operation.Name)
	}
	if inst.membership != nil {
		about.Cluster = inst.membership.cluster.Load().Status
	}
	source := consoleSource{inst.controller, inst.proxies, inst.recorder}
	pages, err := console.Listen(settings.ConsoleAddress, about, source)
	if err != nil {
		return err
	}
	inst.releaseAtEnd(pages.Close)
	inst.log.Info().Str("url", "http://"+pages.Addr()).Msg("console is available")
	return nil
}

// operate does the periodic work and reloads until the context is done.
func (inst *instance) operate(ctx context.Context) {
	statistics := time.NewTicker(statisticsInterval)
	defer statistics.Stop()
	save := time.NewTicker(savePublishedInterval)
	defer save.Stop()
	for {
		select {
		case <-statistics.C:
			logStatistics(inst.log, inst.controller, inst.proxies)
		case <-save.C:
			inst.recorder.savePublished(inst.proxies)
		case <-inst.outside.Reload:
			inst.reload()
		case <-ctx.Done():
			return
		}
	}
}

// shutDown is the graceful shutdown: the published state is stored, leases go to other members, proxies are notified to
// connect elsewhere, and the controller stops.
func (inst *instance) shutDown() {
	gracePeriod := inst.settings.get().ShutdownGracePeriod
	inst.log.Info().Dur("grace_period_ms", gracePeriod).Msg("graceful shutdown begins: proxies are notified")
	inst.recorder.savePublished(inst.proxies)
	if inst.membership != nil {
		inst.membership.transferLeases(gracePeriod)
	}
	inst.proxies.Shutdown(gracePeriod)
	inst.runner.stop()
	logStatistics(inst.log, inst.controller, inst.proxies)
}

// closeAtEnd notes how a part that was just opened is closed.
func (inst *instance) closeAtEnd(closePart func() error) {
	inst.closers = append(inst.closers, closePart)
}

// releaseAtEnd is closeAtEnd for a part whose closing cannot fail.
func (inst *instance) releaseAtEnd(release func()) {
	inst.closeAtEnd(func() error {
		release()
		return nil
	})
}

// close stops the controller and releases all open parts, the newest first. It joins their errors.
func (inst *instance) close() error {
	if inst.runner != nil {
		inst.runner.stop()
	}
	var errs []error
	for _, closePart := range slices.Backward(inst.closers) {
		errs = append(errs, closePart())
	}
	return errors.Join(errs...)
}

// consoleSource is what the console reads.
type consoleSource struct {
	controller *controller.Controller
	proxies    *pubsub.Server
	recorder   *recorder
}

// View implements console.Source.
func (s consoleSource) View() *controller.View { return s.controller.View() }

// DetailedView implements console.Source.
func (s consoleSource) DetailedView() *controller.View { return s.controller.DetailedView() }

// Stats implements console.Source.
func (s consoleSource) Stats() pubsub.Stats { return s.proxies.Stats() }

// Decisions implements console.Source.
func (s consoleSource) Decisions(limit int, match func(*controller.Decision) bool) []controller.Decision {
	return s.recorder.Decisions(limit, match)
}

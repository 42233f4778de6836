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
	"peppervale/internal/console/httpserver"
	"peppervale/internal/controller"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

const (
	statisticsInterval = 10 * time.Second

	// savePublishedInterval is the interval at which the published state is stored if it changed. After a restart, the
	// console shows the stored state until the new incarnation publishes its own. The stored state may be up to 5 s older
	// than the last published state.
	savePublishedInterval = 5 * time.Second
)

// instance is one running instance. start opens its components in order, close releases them in reverse order.
type instance struct {
	settings       *activeSettings
	balancerConfig model.Config // has this incarnation's seed once createController has run
	environment    Environment
	log            zerolog.Logger
	now            func() model.Microseconds

	recovered   *statestore.Recovered
	controller  *controller.Controller
	runner      *controllerRunner
	recorder    *recorder
	membership  *membership // nil if the instance is in no cluster
	proxyServer *pubsub.Server
	discovery   *discovery.ConsulClient

	closers []func() error // of the open components, in the order of opening
}

func newInstance(settings *config.Server, environment Environment, log zerolog.Logger) *instance {
	return &instance{
		settings:       &activeSettings{current: settings},
		balancerConfig: settings.Balancer,
		environment:    environment,
		log:            log,
		now:            controller.NewClock(),
	}
}

// start opens the components in order. After an error, the caller calls close to release the open ones.
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
	inst.runner.run = func() { inst.controller.Run(inst.proxyServer, inst.discovery, inst.recovered.Endpoints) }
	inst.log.Info().
		Str("instance", settings.Name).
		Str("listen", inst.proxyServer.Addr()).
		Uint64("incarnation", inst.recovered.Incarnation).
		Int("endpoints", len(inst.recovered.Endpoints)).
		Msg("serving")
	if err := inst.startController(settings); err != nil {
		return err
	}
	return inst.openConsole(settings)
}

// openStore opens the state store, which assigns the next incarnation number. If the previous number is lost, the next
// one is at least the Unix time in seconds.
func (inst *instance) openStore(settings *config.Server) (*statestore.Store, error) {
	store, recovered, err := statestore.Open(settings.StateDir, uint64(inst.now()/model.Second))
	if err != nil {
		return nil, err
	}
	inst.addCloser(func() error {
		if err := store.Close(); err != nil {
			return fmt.Errorf("closing the state store: %w", err)
		}
		return nil
	})
	inst.recovered = recovered
	logRecovery(inst.log, recovered)
	return store, nil
}

// createController creates the controller and the recorder of its decisions. The incarnation is added to the upper 32
// bits of the configured seed, so that the balancer's seed differs at each start and can be reproduced.
func (inst *instance) createController(settings *config.Server, store *statestore.Store) {
	inst.balancerConfig.Seed += inst.recovered.Incarnation << 32
	inst.controller = controller.New(inst.balancerConfig, settings.ReportLimit, inst.now, inst.log)
	inst.runner = &controllerRunner{controller: inst.controller}
	inst.recorder = newRecorder(inst.controller, store, inst.recovered.Incarnation, inst.log)
	inst.addReleaser(inst.recorder.writer.Close)
}

// listen opens the address for proxies. Proxies can connect from then on.
func (inst *instance) listen(settings *config.Server) error {
	serverConfig := pubsub.Config{
		Listen:            settings.ListenAddress,
		Incarnation:       inst.recovered.Incarnation,
		Zones:             settings.Zones,
		IncarnationRaised: inst.recorder.writer.SetIncarnation,
		ReportPeriod:      inst.balancerConfig.ReportPeriod,
		MessageOverhead:   inst.balancerConfig.MessageOverhead,
		EntriesPerSecond:  settings.ChannelRate,
		Now:               inst.now,
		JoinLimits:        joinLimits(settings, inst.balancerConfig.Seed),
		Log:               inst.log,
		Limits:            peerLimits(settings),
	}
	if inst.membership != nil {
		serverConfig.Leases = inst.membership
	}
	proxyServer, err := pubsub.Listen(serverConfig, inst.controller)
	if err != nil {
		return &ListenError{Address: settings.ListenAddress, Err: err}
	}
	inst.proxyServer = proxyServer
	inst.addReleaser(proxyServer.Close)
	return nil
}

// openDiscovery creates the client of the endpoint list. The client starts to poll when the controller subscribes.
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
	inst.addReleaser(client.Close)
	return nil
}

// startController starts the controller, or joins the cluster if one is configured. In a cluster, LeaseGained starts
// the controller at the first lease.
func (inst *instance) startController(settings *config.Server) error {
	if inst.membership == nil {
		inst.runner.start()
		return nil
	}
	err := inst.membership.open(memberOptions{
		settings:    settings,
		incarnation: inst.recovered.Incarnation,
		proxyServer: inst.proxyServer,
		now:         inst.now,
		links:       inst.environment.Links,
		log:         inst.log,
	})
	if err != nil {
		return err
	}
	inst.addReleaser(inst.membership.close)
	return nil
}

// openConsole opens the console if one is configured.
func (inst *instance) openConsole(settings *config.Server) error {
	if settings.ConsoleAddress == "" {
		return nil
	}
	consoleInstance := console.Instance{
		Name:             settings.Name,
		Incarnation:      inst.recovered.Incarnation,
		Zones:            settings.Zones,
		Settings:         inst.settings.namesAndValues,
		QueueLimit:       inst.balancerConfig.QueueLimit,
		Limits:           httpserver.Limits{Connections: settings.ConsoleConnections, Log: inst.log},
		Now:              inst.now,
		PreviousSnapshot: inst.recovered.Published,
	}
	for _, operation := range settings.Operations {
		consoleInstance.Operations = append(consoleInstance.Operations, operation.Name)
	}
	if inst.membership != nil {
		consoleInstance.Cluster = inst.membership.cluster.Load().Status
	}
	source := consoleSource{inst.controller, inst.proxyServer, inst.recorder}
	consoleServer, err := console.Listen(settings.ConsoleAddress, consoleInstance, source)
	if err != nil {
		return err
	}
	inst.addReleaser(consoleServer.Close)
	inst.log.Info().Str("url", "http://"+consoleServer.Addr()).Msg("console listening")
	return nil
}

// runPeriodicTasks performs periodic tasks and configuration reloads until the context is done.
func (inst *instance) runPeriodicTasks(ctx context.Context) {
	statisticsTicker := time.NewTicker(statisticsInterval)
	defer statisticsTicker.Stop()
	saveTicker := time.NewTicker(savePublishedInterval)
	defer saveTicker.Stop()
	for {
		select {
		case <-statisticsTicker.C:
			logStatistics(inst.log, inst.controller, inst.proxyServer)
		case <-saveTicker.C:
			inst.recorder.savePublished(inst.proxyServer)
		case <-inst.environment.Reload:
			inst.reload()
		case <-ctx.Done():
			return
		}
	}
}

// shutDown performs the graceful shutdown: it stores the published state, transfers leases to other members, notifies
// proxies to connect to another instance, and stops the controller.
func (inst *instance) shutDown() {
	gracePeriod := inst.settings.get().ShutdownGracePeriod
	inst.log.Info().Dur("grace_period_ms", gracePeriod).Msg("graceful shutdown started")
	inst.recorder.savePublished(inst.proxyServer)
	if inst.membership != nil {
		inst.membership.transferLeases(gracePeriod)
	}
	inst.proxyServer.Shutdown(gracePeriod)
	inst.runner.stop()
	logStatistics(inst.log, inst.controller, inst.proxyServer)
}

// addCloser registers the function that closes a newly opened component.
func (inst *instance) addCloser(closeComponent func() error) {
	inst.closers = append(inst.closers, closeComponent)
}

// addReleaser is addCloser for a component whose close function returns no error.
func (inst *instance) addReleaser(release func()) {
	inst.addCloser(func() error {
		release()
		return nil
	})
}

// close stops the controller and releases all open components in reverse order of opening. It joins their errors.
func (inst *instance) close() error {
	if inst.runner != nil {
		inst.runner.stop()
	}
	var errs []error
	for _, closeComponent := range slices.Backward(inst.closers) {
		errs = append(errs, closeComponent())
	}
	return errors.Join(errs...)
}

// consoleSource provides the console with data of the instance.
type consoleSource struct {
	controller  *controller.Controller
	proxyServer *pubsub.Server
	recorder    *recorder
}

// View implements console.Source.
func (s consoleSource) View() *controller.View { return s.controller.View() }

// DetailedView implements console.Source.
func (s consoleSource) DetailedView() *controller.View { return s.controller.DetailedView() }

// Stats implements console.Source.
func (s consoleSource) Stats() pubsub.Stats { return s.proxyServer.Stats() }

// Decisions implements console.Source.
func (s consoleSource) Decisions(limit int, match func(*controller.Decision) bool) []controller.Decision {
	return s.recorder.Decisions(limit, match)
}

package server

import (
	"context"
	"errors"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/platform"
)

const (
	// reservedDescriptors is the number of file descriptors that are not available for connections of proxies and
	// collectors: standard streams, pollers, the listening socket, the discovery connection and the connection that
	// replaces it, and a second descriptor for each connection that is being accepted.
	reservedDescriptors = 40

	// greetingTimeout limits the time from a connection's start to its join. The platform allows an instance to close a
	// connection that has not joined after 1 s, and requires it within 3 s. The extra 0.5 s is for joins that arrive in
	// several segments while the CPU core is busy.
	greetingTimeout = 1500 * time.Millisecond

	// maxUnsentBytes limits the bytes queued for one stream. The platform resets a connection with 128 KiB of unread data,
	// including data in the kernel's buffers.
	maxUnsentBytes = 64 << 10

	// platformReportLimit is above any rate that occurs in operation, in load reports per second. The platform's
	// collectors have their own limit, and the controller's mailbox merges reports into one for each zone and replica.
	platformReportLimit = 100_000

	platformStatisticsInterval = 5 * time.Second

	// Listening on an address that an earlier process still uses is retried for listenTimeout: the platform restarts
	// instances with the same addresses, and gives them 30 s to become ready.
	listenRetryInterval = 20 * time.Millisecond
	listenTimeout       = 20 * time.Second

	maxPlatformProcs      = 4 // for GOMAXPROCS: two pollers, an acceptor, the controller; more adds idle stacks
	platformGCPercent     = 50
	retransmissionTimeout = 3 * model.Second // a lost segment is sent again after 1 s, and after 2 s more (RFC 6298)

	maxSilentReportPeriods = 3 // report periods without a message after which a proxy counts as silent
	lostAckFactor          = 3 // silence timeouts after which a missing acknowledgement counts as lost
)

// PlatformEnvironment contains what the process provides to an instance on the platform.
type PlatformEnvironment struct {
	Reload     <-chan struct{}                  // requests a reload of the configuration
	LoadConfig func() (*config.Platform, error) // loads the configuration; required with Reload
}

// platformInstance is one running instance on the operators' platform.
type platformInstance struct {
	settings    *config.Platform
	environment PlatformEnvironment
	log         zerolog.Logger
	controller  *controller.Controller
	discovery   *discovery.Watcher
	proxyServer *platform.Server
}

// ServePlatform runs one instance on the operators' platform until the context is done. The instance has no state
// store, console or cluster: the platform keeps no disk of an ended instance, and the resource limits leave no room for
// a console or a cluster. ServePlatform returns an error if the balancer rejects the settings, or if the discovery
// client or the address cannot be opened.
func ServePlatform(
	ctx context.Context, settings *config.Platform, environment PlatformEnvironment, log zerolog.Logger,
) error {
	if err := controller.CheckConfig(settings.Balancer); err != nil {
		return err
	}
	limitRuntime(settings)
	now := controller.NewClock()
	inst := &platformInstance{settings: settings, environment: environment, log: log}
	inst.controller = controller.New(settings.Balancer, platformReportLimit, now, log)
	inst.controller.DisableDecisionLog()

	names := platformmsg.NewReplicaNames()
	if err := inst.openDiscovery(names); err != nil {
		return err
	}
	defer inst.discovery.Close()
	if err := inst.listen(ctx, names, now); err != nil {
		canceledWhileWaiting := errors.Is(err, ctx.Err())
		if canceledWhileWaiting {
			return nil
		}
		return err
	}
	defer inst.proxyServer.Close()
	inst.startController()
	defer inst.controller.Stop()
	inst.runPeriodicTasks(ctx)
	return nil
}

// limitRuntime sets the Go runtime's limits from the instance's limits. The instance's memory limit covers the whole
// process; a third of it is reserved for memory that the runtime does not count: kernel stacks and the program's code.
func limitRuntime(settings *config.Platform) {
	debug.SetMemoryLimit(settings.MemoryLimit / 3 * 2)
	debug.SetGCPercent(platformGCPercent)
	runtime.GOMAXPROCS(min(runtime.NumCPU(), maxPlatformProcs))
}

// openDiscovery creates the watcher of the endpoint list. The watch starts with Subscribe.
func (inst *platformInstance) openDiscovery(names *platformmsg.ReplicaNames) error {
	watcher, err := discovery.NewWatcher(discovery.WatchConfig{
		Address:          inst.settings.DiscoveryAddress,
		Zones:            inst.settings.Zones,
		Names:            names,
		InitialEndpoints: inst.settings.InitialEndpoints,
		Seed:             inst.settings.Balancer.Seed,
		Log:              inst.log,
	}, inst.controller)
	if err != nil {
		return err
	}
	inst.discovery = watcher
	return nil
}

// listen opens the address for proxies and collectors. While another process uses the address, listen retries until
// listenTimeout has passed. It returns the last error of platform.Listen, or ctx.Err() if the context is done first.
func (inst *platformInstance) listen(
	ctx context.Context, names *platformmsg.ReplicaNames, now func() model.Microseconds,
) error {
	serverConfig := inst.serverConfig(names, now)
	deadline := time.Now().Add(listenTimeout)
	for {
		proxyServer, err := platform.Listen(serverConfig, inst.controller)
		if err == nil {
			inst.proxyServer = proxyServer
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
		select {
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// serverConfig returns the configuration of the server for proxies and collectors.
//
// A proxy sends a message in each report period. It counts as silent after a time without a message: the longer of
// maxSilentReportPeriods and retransmissionTimeout, plus the maximum delivery delay. A missing acknowledgement is
// requested again after lostAckFactor times that time, and at most once per message window: the balancer leaves room
// for one additional message in each window.
func (inst *platformInstance) serverConfig(
	names *platformmsg.ReplicaNames, now func() model.Microseconds,
) platform.Config {
	settings := inst.settings
	silenceWithoutDelay := max(maxSilentReportPeriods*settings.Balancer.ReportPeriod, retransmissionTimeout)
	silenceTimeout := (silenceWithoutDelay + settings.MaxDeliveryDelay).Duration()
	return platform.Config{
		Listen:          settings.ListenAddress,
		Zones:           settings.Zones,
		Operations:      settings.Operations,
		LoadFields:      settings.LoadReportFields,
		ProxyCount:      settings.Balancer.ProxyCount,
		MessageOverhead: settings.Balancer.MessageOverhead,
		ReplicaNames:    names,
		Now:             now,
		Log:             inst.log,
		Limits: platform.Limits{
			Connections:      settings.SocketLimit - reservedDescriptors,
			GreetingTimeout:  greetingTimeout,
			UnsentBytes:      maxUnsentBytes,
			SilenceTimeout:   silenceTimeout,
			AckRetryInterval: max(lostAckFactor*silenceTimeout, settings.Balancer.MessageWindow.Duration()),
		},
	}
}

// startController starts the controller with the endpoint list that the platform provided at the start.
func (inst *platformInstance) startController() {
	endpoints := inst.discovery.Endpoints()
	inst.log.Info().
		Str("instance", inst.settings.Name).
		Str("listen", inst.proxyServer.Addr()).
		Int("endpoints", len(endpoints)).
		Int64("memory_mb", inst.settings.MemoryLimit/mebibyte).
		Int("sockets", inst.settings.SocketLimit).
		Msg("serving")
	go inst.controller.Run(inst.proxyServer, inst.discovery, endpoints)
	if !inst.settings.Balancer.SubscriptionRequired {
		inst.discovery.Subscribe() // without SubscriptionRequired the balancer expects the list without subscribing
	}
}

// runPeriodicTasks performs periodic tasks and configuration reloads until the context is done.
func (inst *platformInstance) runPeriodicTasks(ctx context.Context) {
	statisticsTicker := time.NewTicker(platformStatisticsInterval)
	defer statisticsTicker.Stop()
	for {
		select {
		case <-statisticsTicker.C:
			logPlatformStatistics(inst.log, inst.controller, inst.proxyServer)
		case <-inst.environment.Reload:
			inst.reload()
		case <-ctx.Done():
			inst.log.Info().Msg("shutdown started")
			logPlatformStatistics(inst.log, inst.controller, inst.proxyServer)
			return
		}
	}
}

// reload loads the configuration again and applies its discovery address. The other settings need a restart.
func (inst *platformInstance) reload() {
	next, err := inst.environment.LoadConfig()
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected: loading the file failed; the active settings are unchanged")
		return
	}
	inst.log.Info().Str("discovery", next.DiscoveryAddress).Msg("configuration reloaded")
	inst.discovery.SetAddress(next.DiscoveryAddress)
}

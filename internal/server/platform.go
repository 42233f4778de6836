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
	// reservedDescriptors is how many of its descriptors an instance on the platform keeps for itself: standard streams,
	// pollers, the listening socket, the watch of discovery and its successor, and one more for each connection while it
	// is accepted.
	reservedDescriptors = 40

	// joinTimeout is how long a connection may take to join. The platform lets it be closed after 1 s and asks for that
	// within 3 s; the half second more is for joins that come in pieces while the core is shared.
	joinTimeout = 1500 * time.Millisecond

	// maxUnsentBytes is what may wait for one stream: the platform resets a connection with 128 KiB unread, the kernel's
	// part included.
	maxUnsentBytes = 64 << 10

	// platformReportLimit is no limit in operation: the platform's collectors keep to their own, and the mailbox holds a
	// report for each zone and replica.
	platformReportLimit = 100_000

	platformStatisticsInterval = 5 * time.Second

	// An address that an earlier process still holds is tried again for listenTimeout: the platform restarts instances
	// under the same addresses, and gives them 30 s to be ready.
	listenRetryInterval = 20 * time.Millisecond
	listenTimeout       = 20 * time.Second

	maxPlatformProcs      = 4 // two pollers, an acceptor, the controller: more only adds idle stacks
	platformGCPercent     = 50
	retransmissionTimeout = 3 * model.Second // a lost segment comes again after a second, and after two more (RFC 6298)

	silentReportPeriods = 3 // without a message, after which a proxy is taken as silent
	lostAckFactor       = 3 // an acknowledgement that is late by that many silence timeouts is taken as lost
)

// PlatformEnvironment is what an instance on the platform is handed by the process that it runs in.
type PlatformEnvironment struct {
	Reload     <-chan struct{}                  // asks for the configuration to be read again
	LoadConfig func() (*config.Platform, error) // reads it; needed with Reload
}

// platformInstance is one running instance on the operators' platform.
type platformInstance struct {
	settings   *config.Platform
	outside    PlatformEnvironment
	log        zerolog.Logger
	controller *controller.Controller
	discovery  *discovery.Watcher
	proxies    *platform.Server
}

// ServePlatform runs one instance on the operators' platform until the context is done. It has no state store, console
// or cluster: there is no disk that outlives it, and no room for them in its limits. Errors are those of settings that
// the balancer rejects, of the discovery client and of the address.
func ServePlatform(
	ctx context.Context, settings *config.Platform, outside PlatformEnvironment, log zerolog.Logger,
) error {
	if err := controller.CheckConfig(settings.Balancer); err != nil {
		return err
	}
	limitProcess(settings)
	now := controller.NewClock()
	inst := &platformInstance{settings: settings, outside: outside, log: log}
	inst.controller = controller.New(settings.Balancer, platformReportLimit, now, log)
	inst.controller.DisableDecisionLog()

	names := platformmsg.NewReplicaNames()
	if err := inst.openDiscovery(names); err != nil {
		return err
	}
	defer inst.discovery.Close()
	if err := inst.listen(ctx, names, now); err != nil {
		endedWhileWaiting := errors.Is(err, ctx.Err())
		if endedWhileWaiting {
			return nil
		}
		return err
	}
	defer inst.proxies.Close()
	inst.startController()
	defer inst.controller.Stop()
	inst.operate(ctx)
	return nil
}

// limitProcess has the Go runtime keep to the instance's limits. The memory limit counts the whole process; a third is
// left for what the runtime's own limit does not count: the kernel's stacks, the program's text.
func limitProcess(settings *config.Platform) {
	debug.SetMemoryLimit(settings.MemoryLimit / 3 * 2)
	debug.SetGCPercent(platformGCPercent)
	runtime.GOMAXPROCS(min(runtime.NumCPU(), maxPlatformProcs))
}

// openDiscovery makes the watch of the endpoint list; it begins once it is subscribed.
func (inst *platformInstance) openDiscovery(names *platformmsg.ReplicaNames) error {
	watcher, err := discovery.NewWatcher(discovery.WatchConfig{
		Address:          inst.settings.Discovery,
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

// listen opens the address for proxies and collectors. It tries again while another process holds the address, until
// listenTimeout has passed. Errors are those of the address, and that of a context which is done before.
func (inst *platformInstance) listen(
	ctx context.Context, names *platformmsg.ReplicaNames, now func() model.Microseconds,
) error {
	serverConfig := inst.serverConfig(names, now)
	deadline := time.Now().Add(listenTimeout)
	for {
		proxies, err := platform.Listen(serverConfig, inst.controller)
		if err == nil {
			inst.proxies = proxies
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
// A proxy sends a message in each report period. It is silent after silentReportPeriods without one, or after the time
// that a lost segment may take if that is longer, plus the longest delivery delay. An acknowledgement is asked for
// again once it counts as lost rather than late, and at most once a message window: the balancer leaves room for one
// more message in each.
func (inst *platformInstance) serverConfig(
	names *platformmsg.ReplicaNames, now func() model.Microseconds,
) platform.Config {
	settings := inst.settings
	quietPeriod := max(silentReportPeriods*settings.Balancer.ReportPeriod, retransmissionTimeout)
	silence := (quietPeriod + settings.MaxDeliveryDelay).Duration()
	return platform.Config{
		Listen:          settings.Listen,
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
			GreetingTimeout:  joinTimeout,
			UnsentBytes:      maxUnsentBytes,
			SilenceTimeout:   silence,
			AckRetryInterval: max(lostAckFactor*silence, settings.Balancer.MessageWindow.Duration()),
		},
	}
}

// startController starts the controller on the endpoint list that the platform handed over.
func (inst *platformInstance) startController() {
	known := inst.discovery.Endpoints()
	inst.log.Info().
		Str("instance", inst.settings.Name).
		Str("listen", inst.proxies.Addr()).
		Int("endpoints", len(known)).
		Int64("memory_mb", inst.settings.MemoryLimit/mebibyte).
		Int("sockets", inst.settings.SocketLimit).
		Msg("serving")
	go inst.controller.Run(inst.proxies, inst.discovery, known)
	if !inst.settings.Balancer.SubscriptionRequired {
		inst.discovery.Subscribe() // the balancer does not subscribe where it expects the list unasked
	}
}

// operate does the periodic work and reloads until the context is done.
func (inst *platformInstance) operate(ctx context.Context) {
	statistics := time.NewTicker(platformStatisticsInterval)
	defer statistics.Stop()
	for {
		select {
		case <-statistics.C:
			logPlatformStatistics(inst.log, inst.controller, inst.proxies)
		case <-inst.outside.Reload:
			inst.reload()
		case <-ctx.Done():
			inst.log.Info().Msg("shutdown begins")
			logPlatformStatistics(inst.log, inst.controller, inst.proxies)
			return
		}
	}
}

// reload reads the configuration again and follows its discovery address; nothing else of it changes in operation.
func (inst *platformInstance) reload() {
	next, err := inst.outside.LoadConfig()
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected: the file cannot be read; the settings in force stay")
		return
	}
	inst.log.Info().Str("discovery", next.Discovery).Msg("reloaded")
	inst.discovery.SetAddress(next.Discovery)
}

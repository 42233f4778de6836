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

// What a governor on the platform keeps for itself of its descriptors: standard streams, pollers, the listening socket, the watch of
// discovery and its successor, and one more for each connection while it is taken in.
const ownDescriptors = 40

// greeting is how long a connection may take to join. The platform lets it be closed after 1 s and asks for that within 3 s; the
// half second more is for joins that come in pieces while the core is shared.
const greeting = 1500 * time.Millisecond

// unsentMost is what may wait for one stream: the platform resets a connection with 128 KiB unread, the kernel's part included.
const unsentMost = 64 << 10

// PlatformOutside is what a governor on the platform is handed of its process.
type PlatformOutside struct {
	Reload <-chan struct{}                  // asks that the file is read again
	Read   func() (*config.Platform, error) // reads it
}

// ServePlatform runs one governor on the operators' platform until the context ends. It has no state folder, console or group: there
// is no disk that outlives it, and no room for them in its limits. Errors are those of the address.
func ServePlatform(ctx context.Context, p *config.Platform, out PlatformOutside, log zerolog.Logger) error {
	if err := controller.Check(p.Balancer); err != nil {
		return err
	}
	// The limit counts the whole process; a third is left for what Go's own limit does not see: stacks of the kernel, the text.
	debug.SetMemoryLimit(p.Memory / 3 * 2)
	debug.SetGCPercent(50)
	runtime.GOMAXPROCS(min(runtime.NumCPU(), 4)) // two pollers, an acceptor, the host: more only adds idle stacks
	now := controller.Clock()
	host := controller.New(p.Balancer, intakeMost, now, log)
	host.DisableDecisionLog()
	names := platformmsg.NewReplicaNames()
	list, err := discovery.NewWatcher(discovery.WatchConfig{Address: p.Discovery, Zones: p.Zones, Names: names, Known: p.Known,
		Seed: p.Balancer.Seed, Log: log}, host)
	if err != nil {
		return err
	}
	defer list.Close()
	// Proxies speak each report period; three without a word, and the way of a message, are silence. A segment that is lost comes again
	// after a second, and after two more (RFC 6298): no less than that, however short the period.
	silence := (max(3*p.Balancer.ReportPeriod, 3*model.Second) + p.MaxDeliveryDelay).Duration()
	// An answer that is three times as late is lost, not slow; and one more message a span is what the module leaves free.
	server, err := listen(ctx, platform.Config{Listen: p.Listen, Zones: p.Zones, Operations: p.Operations, LoadFields: p.LoadFields,
		Proxies: p.Balancer.ProxyCount, MessageOverhead: p.Balancer.MessageOverhead, Names: names, Now: now, Log: log, Limits: platform.Limits{
			Connections: p.Sockets - ownDescriptors, Greeting: greeting, Unsent: unsentMost, Silence: silence,
			AskAgain: max(3*silence, p.Balancer.MessageWindow.Duration())}}, host)
	if err != nil || server == nil { // nil: ended while the address was waited for
		return err
	}
	defer server.Close()
	known := list.Endpoints()
	log.Info().Str("governor", p.Name).Str("listen", server.Addr()).Int("known", len(known)).Int64("memory_mb", p.Memory>>20).Int("sockets", p.Sockets).Msg("serving")
	go host.Run(server, list, known)
	defer host.Stop()
	if !p.Balancer.SubscriptionRequired {
		list.Subscribe() // the module does not ask where the platform tells unasked; here nobody tells
	}
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	for {
		select {
		case <-tell.C:
			tellPlatform(log, host, server)
		case <-out.Reload:
			fresh, err := out.Read()
			if err != nil {
				log.Error().Err(err).Msg("reload: the file cannot be used; going on with what is in force")
				continue
			}
			log.Info().Str("discovery", fresh.Discovery).Msg("reload")
			list.SetAddress(fresh.Discovery)
		case <-ctx.Done():
			log.Info().Msg("ending")
			tellPlatform(log, host, server)
			return nil
		}
	}
}

// An address that an earlier process still holds is tried again each bindPause for up to bindMost: the platform restarts governors under
// their addresses, and gives them 30 s to be ready.
const (
	bindPause = 20 * time.Millisecond
	bindMost  = 20 * time.Second
)

func listen(ctx context.Context, line platform.Config, host *controller.Controller) (*platform.Server, error) {
	for late := time.Now().Add(bindMost); ; {
		server, err := platform.Listen(line, host)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(late) {
			return server, err
		}
		select {
		case <-time.After(bindPause):
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// intakeMost is no bound in service: the platform's collectors keep to their own, and the mailbox holds a sum for each zone and replica.
const intakeMost = 100_000

// tellEvery is how often the figures go to the log.
const tellEvery = 5 * time.Second

func tellPlatform(log zerolog.Logger, host *controller.Controller, server *platform.Server) {
	st, v := server.Stats(), host.DetailedView()
	if v == nil {
		return
	}
	e := log.Info().Interface("figures", st).Bool("gate_open", v.SafeModeEnded).Int("ready", v.ReadyReplicas).Uint64("steps", v.Steps).Int64("worst_step_us", int64(v.LongestStep))
	if v.Detail != nil {
		m := v.Detail.Balancer
		e = e.Float64("stress", m.Saturation).Float64("pace", m.NormalizedLatency).Int("unacked", m.UnackedEntries).Floats64("shares", m.Quotas).Int("waits", len(m.UnreportedReplicas))
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	e.Uint64("heap_mb", mem.HeapAlloc>>20).Uint64("sys_mb", mem.Sys>>20).Int("goroutines", runtime.NumGoroutine()).Msg("figures")
}

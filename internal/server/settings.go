package server

import (
	"sync"

	"peppervale/internal/admission"
	"peppervale/internal/config"
	"peppervale/internal/pubsub"
)

// activeSettings holds the active configuration, which is only replaced as a whole.
type activeSettings struct {
	mu      sync.Mutex
	current *config.Server
}

func (s *activeSettings) get() *config.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *activeSettings) set(settings *config.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = settings
}

// namesAndValues returns the names and values of the active settings, for the console.
func (s *activeSettings) namesAndValues() [][2]string { return s.get().Settings() }

// reload loads the configuration again and applies it if a running instance can adopt it. A rejected configuration is
// logged and changes nothing.
func (inst *instance) reload() {
	next, err := inst.environment.LoadConfig()
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected: loading the file failed; the active settings are unchanged")
		return
	}
	changed, err := config.Reload(inst.settings.get(), next)
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected: a changed setting needs a restart; the active settings are unchanged")
		return
	}
	inst.controller.SetReportLimit(next.ReportLimit)
	inst.proxyServer.SetLimits(peerLimits(next), joinLimits(next, inst.balancerConfig.Seed))
	if inst.environment.LogLevel != nil {
		_ = inst.environment.LogLevel.Set(next.LogLevel) // the level's name was checked when the file was loaded
	}
	inst.settings.set(next)
	inst.log.Info().Strs("changed", changed).Msg("configuration reloaded")
}

// peerLimits returns the limits of connections to the address for proxies.
func peerLimits(settings *config.Server) pubsub.Limits {
	limits := settings.PeerLimits
	return pubsub.Limits{
		Connections:      limits.Connections,
		Observers:        limits.Observers,
		UnsentBytes:      limits.UnsentBytes,
		TotalUnsentBytes: limits.TotalUnsentBytes,
		GreetingTimeout:  limits.GreetingTimeout,
		HeldBytes:        limits.HeldBytes,
		TotalHeldBytes:   limits.TotalHeldBytes,
		CommandTimeout:   limits.CommandTimeout,
		SilenceTimeout:   limits.SilenceTimeout,
		ProxyNames:       limits.ProxyNames,
		CommandRate:      admission.Rate{PerSecond: limits.CommandRate, Burst: limits.CommandBurst},
	}
}

// joinLimits returns the limits on joining proxies. The seed determines the jitter of their Retry-After values.
func joinLimits(settings *config.Server, seed uint64) admission.Limits {
	limits := settings.PeerLimits
	return admission.Limits{
		Rate:       limits.JoinRate,
		Burst:      limits.JoinBurst,
		MaxProxies: limits.MaxProxies,
		Jitter:     1,
		Seed:       seed,
	}
}

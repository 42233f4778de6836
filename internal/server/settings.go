package server

import (
	"sync"

	"peppervale/internal/admission"
	"peppervale/internal/config"
	"peppervale/internal/pubsub"
)

// activeSettings is the configuration in force; it is replaced as a whole.
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

// list returns the names and values in force, for the console.
func (s *activeSettings) list() [][2]string { return s.get().Settings() }

// reload reads the configuration again and applies it if a running instance can; a rejected one is logged and changes
// nothing.
func (inst *instance) reload() {
	next, err := inst.outside.LoadConfig()
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected: the file cannot be read; the settings in force stay")
		return
	}
	changed, err := config.Reload(inst.settings.get(), next)
	if err != nil {
		inst.log.Error().Err(err).Msg("reload rejected; the settings in force stay")
		return
	}
	inst.controller.SetReportLimit(next.ReportLimit)
	inst.proxies.SetLimits(peerLimits(next), joinLimits(next, inst.balancer.Seed))
	if inst.outside.LogLevel != nil {
		_ = inst.outside.LogLevel.Set(next.LogLevel) // its name was checked as the file was read
	}
	inst.settings.set(next)
	inst.log.Info().Strs("changed", changed).Msg("reloaded")
}

// peerLimits returns what a connection to the address for proxies may use.
func peerLimits(settings *config.Server) pubsub.Limits {
	limits := settings.PeerLimits
	return pubsub.Limits{
		Connections:      limits.Connections,
		Observers:        limits.Observers,
		UnsentBytes:      limits.UnsentBytes,
		TotalUnsentBytes: limits.TotalUnsentBytes,
		GreetingTimeout:  limits.GreetingTimeout,
		CommandRate:      admission.Rate{PerSecond: limits.CommandRate, Burst: limits.CommandBurst},
	}
}

// joinLimits returns how many proxies may join. The seed is that of the jitter in their Retry-After.
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

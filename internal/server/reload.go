package server

import (
	"sync"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/pubsub"
)

// inForce is the file that holds now; it is replaced as a whole.
type inForce struct {
	mu   sync.Mutex
	file *config.Server
}

func (f *inForce) get() *config.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.file
}

// Settings tells what is in force, for a reader.
func (f *inForce) Settings() [][2]string { return f.get().InForce() }

// reload reads the file again and takes it if a running governor can; a refusal is told and changes nothing.
func (f *inForce) reload(read func() (*config.Server, error), host *controller.Controller, server *pubsub.Server, seed uint64, threshold *Threshold, log zerolog.Logger) {
	next, err := read()
	if err != nil {
		log.Error().Err(err).Msg("reload refused: the file cannot be read; the old settings stay in force")
		return
	}
	changed, err := config.Reload(f.get(), next)
	if err != nil {
		log.Error().Err(err).Msg("reload refused")
		return
	}
	host.SetReportLimit(next.ReportLimit)
	server.SetLimits(limits(next), joins(next, seed))
	if threshold != nil {
		_ = threshold.Set(next.LogLevel) // its name was checked as the file was read
	}
	f.mu.Lock()
	f.file = next
	f.mu.Unlock()
	log.Info().Strs("changed", changed).Msg("reloaded")
}

func limits(g *config.Server) pubsub.Limits {
	p := g.Limits
	return pubsub.Limits{Connections: p.Connections, Observers: p.Observers, Unsent: p.Unsent, UnsentAll: p.UnsentAll, Greeting: p.Greeting,
		Commands: admission.Rate{PerSecond: p.CommandRate, Burst: p.CommandBurst}}
}

func joins(g *config.Server, seed uint64) admission.Limits {
	return admission.Limits{Rate: g.Limits.JoinRate, Burst: g.Limits.JoinBurst, MaxProxies: g.Limits.JoinMost, Jitter: 1, Seed: seed}
}

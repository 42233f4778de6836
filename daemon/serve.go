// Package daemon puts a governor together: state folder, host, channel, machine list and console, from one file, and takes
// it apart again in order.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"peppervale/admission"
	"peppervale/channel"
	"peppervale/console"
	"peppervale/fleet"
	"peppervale/governor"
	"peppervale/roster"
	"peppervale/site"
	"peppervale/store"
)

// Serve runs one governor until the context ends; then forwarders are told to go elsewhere within the file's
// farewell, and nothing is left open. Errors are those of starting: the state folder, the address.
func Serve(ctx context.Context, g *site.Governor, log zerolog.Logger) error {
	if err := governor.Check(g.Terms); err != nil {
		return err
	}
	state, err := store.Open(g.State)
	if err != nil {
		return err
	}
	defer state.Close()
	now := governor.Clock()
	life, lost, err := state.NextLife(uint64(now() / fleet.Second))
	if err != nil {
		return err
	}
	if lost != nil {
		log.Warn().Err(lost).Uint64("life", life).Msg("the life's number was lost; going on above the list's and the clock's")
	}
	cached, _, err := state.List()
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		log.Warn().Err(err).Msg("the last list cannot be used; starting without one")
	}
	terms := g.Terms
	terms.Seed += life << 32 // a fresh one at each start, the same for the same start
	host := governor.New(terms, g.Intake, now, log)
	server, err := channel.Listen(channel.Line{Listen: g.Listen, Life: life, Zones: g.Zones, Period: terms.Period,
		Overhead: terms.Overhead, Pace: g.Pace, Now: now,
		Joins: admission.Bounds{Rate: g.Peers.JoinRate, Burst: g.Peers.JoinBurst, Most: g.Peers.JoinMost, Spread: 1, Seed: terms.Seed}, Log: log, Limits: channel.Limits{
			Connections: g.Peers.Connections, Observers: g.Peers.Observers, Unsent: g.Peers.Unsent, Greeting: g.Peers.Greeting}}, host)
	if err != nil {
		return fmt.Errorf("%w; another process may have the address", err)
	}
	defer server.Close()
	list, err := roster.NewConsul(roster.Query{Address: g.List.Address, Service: g.List.Service, Zones: g.Zones,
		Caller: "peppervale/" + g.Name, Wait: g.List.Wait, Slack: g.List.Slack, Log: log}, &keeper{host: host, state: state, life: life, log: log})
	if err != nil {
		return err
	}
	defer list.Close()
	log.Info().Str("governor", g.Name).Str("listen", server.Addr()).Uint64("life", life).Int("listed", len(cached)).Msg("serving")
	go host.Run(server, list, cached)
	if g.Console != "" {
		about := console.About{Name: g.Name, Life: life, Zones: g.Zones, Settings: g.InForce(), QueueMost: terms.QueueMost, Now: now}
		for _, o := range g.Operations {
			about.Operations = append(about.Operations, o.Name)
		}
		pages, err := console.Listen(g.Console, about, struct {
			*governor.Host
			*channel.Server
		}{host, server})
		if err != nil {
			host.Stop()
			return err
		}
		defer pages.Close()
		log.Info().Str("console", "http://"+pages.Addr()).Msg("console")
	}
	tell := time.NewTicker(10 * time.Second)
	defer tell.Stop()
	for {
		select {
		case <-tell.C:
			report(log, host, server)
		case <-ctx.Done():
			log.Info().Msg("ending: forwarders are told to go elsewhere")
			server.Farewell(g.FarewellSpan)
			host.Stop()
			report(log, host, server)
			return nil
		}
	}
}

func report(log zerolog.Logger, host *governor.Host, server *channel.Server) {
	st, v := server.Stats(), host.View()
	if v == nil {
		return
	}
	log.Info().Int("forwarders", st.Forwarders).Uint64("version", st.Version).Bool("gate_open", v.GateOpen).
		Int("ready", v.Ready).Int("queue_most", st.QueueMost).Uint64("messages", st.Messages).Uint64("lines", st.Lines).
		Uint64("snapshot_folds", st.Folds).Uint64("resyncs", st.Resyncs).Uint64("sum_folds", v.Folds).Uint64("faults", st.Faults).
		Int64("worst_step_us", int64(v.WorstStep)).Msg("figures")
}

// keeper passes the list on and keeps each whole one on disk first, so that a restart knows what the module knew.
type keeper struct {
	host  *governor.Host
	state *store.Folder
	life  uint64
	log   zerolog.Logger
}

func (k *keeper) Listed(scope fleet.Scope, entries []fleet.Listing) {
	if scope == fleet.Whole {
		if err := k.state.SaveList(k.life, entries); err != nil {
			k.log.Error().Err(err).Msg("the list could not be kept on disk; a restart will know an older one")
		}
	}
	k.host.Listed(scope, entries)
}

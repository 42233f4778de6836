package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/console"
	"peppervale/internal/controller"
	"peppervale/internal/discovery"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

// Outside is what a governor is handed of the process that it runs in. All of it may be missing.
type Outside struct {
	Reload    <-chan struct{}                // asks that the file is read again
	Read      func() (*config.Server, error) // reads it
	Threshold *Threshold                     // of the log
	Links     cluster.Links                  // between members of its group; tests cut them
}

// publishedEvery is how often what stands published is put down, if it changed: the console of a successor shows it until it has
// orders of its own, and five seconds old is new enough for that.
const publishedEvery = 5 * time.Second

// Serve runs one governor until the context ends; then forwarders are told to go elsewhere within the file's
// farewell, and nothing is left open. Errors are those of starting: the state folder, the address.
func Serve(ctx context.Context, g *config.Server, out Outside, log zerolog.Logger) error {
	if err := controller.Check(g.Balancer); err != nil {
		return err
	}
	now := controller.Clock()
	folder, found, err := statestore.Open(g.State, uint64(now()/model.Second))
	if err != nil {
		return err
	}
	defer folder.Close()
	tellFound(log, found)
	terms := g.Balancer
	terms.Seed += found.Incarnation << 32 // a fresh one at each start, the same for the same start
	host := controller.New(terms, g.ReportLimit, now, log)
	kept := newArchive(host, folder, found.Incarnation, log)
	defer kept.writer.Close()
	var shared *sharing
	var leases pubsub.Leases
	if g.Cluster != nil {
		shared = newSharing(g)
		leases = shared
	}
	server, err := pubsub.Listen(pubsub.Config{Listen: g.Listen, Leases: leases, Incarnation: found.Incarnation, Zones: g.Zones, ReportPeriod: terms.ReportPeriod,
		MessageOverhead: terms.MessageOverhead, Pace: g.Pace, Now: now, Joins: joins(g, terms.Seed), Log: log, Limits: limits(g)}, host)
	if err != nil {
		return fmt.Errorf("%w; another process may have the address", err)
	}
	defer server.Close()
	list, err := discovery.NewConsulClient(discovery.ConsulConfig{Address: g.Discovery.Address, Service: g.Discovery.Service, Zones: g.Zones,
		UserAgent: "peppervale/" + g.Name, Wait: g.Discovery.Wait, Timeout: g.Discovery.Timeout, Log: log}, kept)
	if err != nil {
		return err
	}
	defer list.Close()
	log.Info().Str("governor", g.Name).Str("listen", server.Addr()).Uint64("life", found.Incarnation).Int("listed", len(found.Endpoints)).Msg("serving")
	if shared == nil {
		go host.Run(server, list, found.Endpoints)
	} else {
		shared.host = host
		shared.begin = func() { go host.Run(server, list, found.Endpoints) }
		if err := shared.open(g, found.Incarnation, server, now, out.Links, log); err != nil {
			return err
		}
		defer shared.close()
	}
	file := &inForce{file: g}
	if g.Console != "" {
		about := console.Instance{Name: g.Name, Incarnation: found.Incarnation, Zones: g.Zones, Settings: file.Settings, QueueLimit: terms.QueueLimit, Now: now,
			PreviousSnapshot: found.Published}
		for _, o := range g.Operations {
			about.Operations = append(about.Operations, o.Name)
		}
		if shared != nil {
			about.Cluster = shared.group.Load().Status
		}
		pages, err := console.Listen(g.Console, about, desk{host, server, kept})
		if err != nil {
			shared.stop(host)
			return err
		}
		defer pages.Close()
		log.Info().Str("console", "http://"+pages.Addr()).Msg("console")
	}
	tell, put := time.NewTicker(10*time.Second), time.NewTicker(publishedEvery)
	defer tell.Stop()
	defer put.Stop()
	var down uint64 // version put down last
	for {
		select {
		case <-tell.C:
			report(log, host, server)
		case <-put.C:
			down = kept.published(server, down)
		case <-out.Reload:
			file.reload(out.Read, host, server, terms.Seed, out.Threshold, log)
		case <-ctx.Done():
			log.Info().Msg("ending: forwarders are told to go elsewhere")
			kept.published(server, down)
			shared.giveAway(file.get().ShutdownGracePeriod)
			server.Shutdown(file.get().ShutdownGracePeriod)
			shared.stop(host)
			report(log, host, server)
			return nil
		}
	}
}

// desk is what the console reads.
type desk struct {
	host    *controller.Controller
	channel *pubsub.Server
	archive *archive
}

func (d desk) View() *controller.View         { return d.host.View() }
func (d desk) DetailedView() *controller.View { return d.host.DetailedView() }
func (d desk) Stats() pubsub.Stats            { return d.channel.Stats() }
func (d desk) Decisions(most int, match func(*controller.Decision) bool) []controller.Decision {
	return d.archive.Causes(most, match)
}

func tellFound(log zerolog.Logger, f *statestore.Recovered) {
	for _, lost := range f.Damage {
		log.Warn().Err(lost).Msg("of the state this cannot be trusted; going on with the rest")
	}
	if f.MigratedFrom > 0 {
		log.Info().Int("form", f.MigratedFrom).Msg("an older form of the state was carried over")
	}
	if f.PreviousIncarnation == 0 && !f.Empty {
		log.Warn().Uint64("life", f.Incarnation).Msg("the life's number was lost; going on above the journal's and the clock's")
	}
}

// published puts down what stands published, unless the version put down last still stands.
func (a *archive) published(server *pubsub.Server, down uint64) uint64 {
	version := server.Stats().Version
	if version == down {
		return down
	}
	picture := server.Snapshot()
	if body, err := json.Marshal(picture); err == nil {
		a.writer.SetPublished(body)
	}
	return picture.Version
}

func report(log zerolog.Logger, host *controller.Controller, server *pubsub.Server) {
	st, v := server.Stats(), host.View()
	if v == nil {
		return
	}
	log.Info().Int("forwarders", st.Forwarders).Uint64("version", st.Version).Bool("gate_open", v.SafeModeEnded).
		Int("ready", v.ReadyReplicas).Int("queue_most", st.QueueMost).Uint64("messages", st.Messages).Uint64("lines", st.Lines).
		Uint64("snapshot_folds", st.Folds).Uint64("resyncs", st.Resyncs).Uint64("sum_folds", v.MergedReports).Uint64("faults", st.Faults).
		Uint64("put_off", st.PutOff).Int64("unsent_bytes", st.Unsent).Int64("worst_step_us", int64(v.LongestStep)).Msg("figures")
}

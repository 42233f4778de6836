package server

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

// recorder writes an instance's state to the store asynchronously, so that no decision waits for the disk. It searches
// decisions in memory and in the store.
type recorder struct {
	controller  *controller.Controller
	store       *statestore.Store
	writer      *statestore.Writer
	incarnation uint64
	log         zerolog.Logger

	savedVersion uint64 // of the published state that was stored last
}

// newRecorder makes the recorder of a controller that does not run yet. The caller closes its writer.
func newRecorder(
	source *controller.Controller, store *statestore.Store, incarnation uint64, log zerolog.Logger,
) *recorder {
	rec := &recorder{controller: source, store: store, incarnation: incarnation, log: log}
	rec.writer = statestore.NewWriter(store, rec.logWriteState)
	source.PersistDecisions(rec.saveDecision)
	return rec
}

// logWriteState logs that writing fails, or that it succeeds again.
func (r *recorder) logWriteState(err error, droppedDecisions uint64) {
	if err != nil {
		r.log.Error().Err(err).Msg("state store: write failed; retrying, a restart would begin with older state")
		return
	}
	r.log.Info().Uint64("dropped_decisions", droppedDecisions).Msg("state store: writes succeed again")
}

// saveDecision queues a decision for the store.
func (r *recorder) saveDecision(decision *controller.Decision) {
	body, err := json.Marshal(decision)
	if err != nil {
		return
	}
	r.writer.AddDecision(statestore.DecisionRecord{Incarnation: r.incarnation, Number: decision.Number, Body: body})
}

// EndpointsChanged passes an endpoint list on to the controller, and then queues a full one for the store: a
// withdrawal does not wait for the disk.
func (r *recorder) EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint) {
	r.controller.EndpointsChanged(update, endpoints)
	if update == model.FullList {
		r.writer.SetEndpoints(endpoints)
	}
}

// savePublished queues the published state for the store, unless its version was stored before.
func (r *recorder) savePublished(proxies *pubsub.Server) {
	if proxies.Stats().Version == r.savedVersion {
		return
	}
	snapshot := proxies.Snapshot()
	if body, err := json.Marshal(snapshot); err == nil {
		r.writer.SetPublished(body)
	}
	r.savedVersion = snapshot.Version
}

// Decisions returns the newest decisions that match, limit at most: those in memory, and then those in the store, of
// earlier incarnations too, which carry their incarnation's number. A nil match takes all.
func (r *recorder) Decisions(limit int, match func(*controller.Decision) bool) []controller.Decision {
	oldest := r.controller.OldestDecision()
	found := r.controller.Decisions(limit, match)
	if len(found) >= limit {
		return found
	}
	_, err := r.store.Decisions(r.incarnation, oldest, limit-len(found), func(record statestore.DecisionRecord) bool {
		var decision controller.Decision
		if json.Unmarshal(record.Body, &decision) != nil {
			return false
		}
		if match != nil && !match(&decision) {
			return false
		}
		if record.Incarnation != r.incarnation {
			decision.Incarnation = record.Incarnation
		}
		found = append(found, decision)
		return true
	})
	if err != nil {
		r.log.Warn().Err(err).Msg("state store: the decision log cannot be read")
	}
	return found
}

// logRecovery logs what a start found in the store, as far as it needs attention.
func logRecovery(log zerolog.Logger, recovered *statestore.Recovered) {
	for _, damage := range recovered.Damage {
		log.Warn().Err(damage).Msg("state store: damaged data is ignored")
	}
	if recovered.MigratedFrom > 0 {
		log.Info().Int("from_schema_version", recovered.MigratedFrom).Msg("state store: migrated")
	}
	if recovered.PreviousIncarnation == 0 && !recovered.Empty {
		log.Warn().Uint64("incarnation", recovered.Incarnation).
			Msg("state store: the incarnation number is lost; chosen above the decision log's and the clock's")
	}
}

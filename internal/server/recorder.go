package server

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

// recorder writes an instance's state to the store asynchronously, so that no decision waits for the disk. It also
// searches decisions in memory and in the store.
type recorder struct {
	controller  *controller.Controller
	store       *statestore.Store
	writer      *statestore.Writer
	incarnation uint64
	log         zerolog.Logger

	savedVersion uint64 // version of the published state that was last queued, or that could not be encoded
}

// newRecorder returns the recorder of a controller that has not been started. The caller closes the writer.
func newRecorder(
	source *controller.Controller, store *statestore.Store, incarnation uint64, log zerolog.Logger,
) *recorder {
	rec := &recorder{controller: source, store: store, incarnation: incarnation, log: log}
	rec.writer = statestore.NewWriter(store, rec.logStoreHealth)
	source.PersistDecisions(rec.saveDecision)
	return rec
}

// logStoreHealth logs an error of a write, or, with a nil error, that writes succeed again.
func (r *recorder) logStoreHealth(err error, droppedDecisions uint64) {
	if err != nil {
		r.log.Error().Err(err).Msg("state store write failed, retrying; a restart would recover older state")
		return
	}
	r.log.Info().Uint64("dropped_decisions", droppedDecisions).Msg("state store writes succeed again")
}

// saveDecision queues a decision for the store.
func (r *recorder) saveDecision(decision *controller.Decision) {
	body, err := json.Marshal(decision)
	if err != nil {
		return // not reached: a Decision contains only numbers and strings
	}
	r.writer.AddDecision(statestore.DecisionRecord{Incarnation: r.incarnation, Number: decision.Number, Body: body})
}

// EndpointsChanged passes an endpoint update to the controller and then, if it is a full list, queues it for the store.
// The controller comes first so that a withdrawal does not wait for the disk.
func (r *recorder) EndpointsChanged(update model.EndpointUpdate, endpoints []model.Endpoint) {
	r.controller.EndpointsChanged(update, endpoints)
	if update == model.FullList {
		r.writer.SetEndpoints(endpoints)
	}
}

// savePublished queues the published state for the store, unless this version was queued before. A state that cannot be
// encoded is not queued.
func (r *recorder) savePublished(proxyServer *pubsub.Server) {
	if proxyServer.Stats().Version == r.savedVersion {
		return
	}
	snapshot := proxyServer.Snapshot()
	if body, err := json.Marshal(snapshot); err == nil {
		r.writer.SetPublished(body)
	}
	r.savedVersion = snapshot.Version
}

// Decisions returns the newest matching decisions, at most limit: first those in memory, then those in the store.
// Stored decisions of earlier incarnations carry their incarnation number. A nil match selects all decisions.
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
		r.log.Warn().Err(err).Msg("reading the decision log from the state store failed")
	}
	return found
}

// logRecovery logs damage, a migration and a lost incarnation number found when the store was opened.
func logRecovery(log zerolog.Logger, recovered *statestore.Recovered) {
	for _, damage := range recovered.Damage {
		log.Warn().Err(damage).Msg("state store data is damaged and was not loaded")
	}
	if recovered.MigratedFrom > 0 {
		log.Info().Int("from_schema_version", recovered.MigratedFrom).Msg("state store migrated to the current schema")
	}
	if recovered.PreviousIncarnation == 0 && !recovered.Empty {
		log.Warn().Uint64("incarnation", recovered.Incarnation).
			Msg("state store lost the incarnation number; the new one is above the decision log's and at least the Unix time")
	}
}

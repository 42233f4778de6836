package server

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/statestore"
)

// archive keeps on disk what the host says and answers from it what is no longer in memory.
type archive struct {
	host   *controller.Controller
	folder *statestore.Store
	writer *statestore.Writer
	life   uint64
	log    zerolog.Logger
}

func newArchive(host *controller.Controller, folder *statestore.Store, life uint64, log zerolog.Logger) *archive {
	a := &archive{host: host, folder: folder, life: life, log: log}
	a.writer = statestore.NewWriter(folder, func(err error, leftOut uint64) {
		if err != nil {
			log.Error().Err(err).Msg("the state cannot be put down; a restart will know an older one. It is tried again")
			return
		}
		log.Info().Uint64("causes_left_out", leftOut).Msg("the state can be put down again")
	})
	host.PersistDecisions(a.keep)
	return a
}

func (a *archive) keep(c *controller.Decision) {
	if body, err := json.Marshal(c); err == nil {
		a.writer.AddDecision(statestore.Record{Incarnation: a.life, Number: c.Number, Body: body})
	}
}

// EndpointsChanged passes the list on, and puts a whole one down behind it: a drain does not wait for the disk.
func (a *archive) EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint) {
	a.host.EndpointsChanged(scope, entries)
	if scope == model.FullList {
		a.writer.SetEndpoints(entries)
	}
}

// Causes gives the newest entries that match: those in memory, and then those on disk, of earlier lives too.
func (a *archive) Causes(most int, match func(*controller.Decision) bool) []controller.Decision {
	oldest := a.host.OldestDecision()
	found := a.host.Decisions(most, match)
	if len(found) >= most {
		return found
	}
	_, err := a.folder.Decisions(a.life, oldest, most-len(found), func(r statestore.Record) bool {
		var one controller.Decision
		if json.Unmarshal(r.Body, &one) != nil || match != nil && !match(&one) {
			return false
		}
		if r.Incarnation != a.life {
			one.Incarnation = r.Incarnation
		}
		found = append(found, one)
		return true
	})
	if err != nil {
		a.log.Warn().Err(err).Msg("the journal of causes on disk cannot be read")
	}
	return found
}

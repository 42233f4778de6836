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
	host   *controller.Host
	folder *statestore.Folder
	writer *statestore.Writer
	life   uint64
	log    zerolog.Logger
}

func newArchive(host *controller.Host, folder *statestore.Folder, life uint64, log zerolog.Logger) *archive {
	a := &archive{host: host, folder: folder, life: life, log: log}
	a.writer = statestore.NewWriter(folder, func(err error, leftOut uint64) {
		if err != nil {
			log.Error().Err(err).Msg("the state cannot be put down; a restart will know an older one. It is tried again")
			return
		}
		log.Info().Uint64("causes_left_out", leftOut).Msg("the state can be put down again")
	})
	host.KeepCauses(a.keep)
	return a
}

func (a *archive) keep(c *controller.Cause) {
	if body, err := json.Marshal(c); err == nil {
		a.writer.Cause(statestore.Record{Life: a.life, Number: c.Number, Body: body})
	}
}

// Listed passes the list on, and puts a whole one down behind it: a drain does not wait for the disk.
func (a *archive) Listed(scope model.EndpointUpdate, entries []model.Endpoint) {
	a.host.Listed(scope, entries)
	if scope == model.FullList {
		a.writer.List(entries)
	}
}

// Causes gives the newest entries that match: those in memory, and then those on disk, of earlier lives too.
func (a *archive) Causes(most int, match func(*controller.Cause) bool) []controller.Cause {
	oldest := a.host.OldestCause()
	found := a.host.Causes(most, match)
	if len(found) >= most {
		return found
	}
	_, err := a.folder.Causes(a.life, oldest, most-len(found), func(r statestore.Record) bool {
		var one controller.Cause
		if json.Unmarshal(r.Body, &one) != nil || match != nil && !match(&one) {
			return false
		}
		if r.Life != a.life {
			one.Life = r.Life
		}
		found = append(found, one)
		return true
	})
	if err != nil {
		a.log.Warn().Err(err).Msg("the journal of causes on disk cannot be read")
	}
	return found
}

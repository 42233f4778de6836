package cli

import (
	"context"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

const (
	// maxStandInDuration is the maximum of the durations in a stand-in's file.
	maxStandInDuration = 3600 * model.Second

	standInStatisticsInterval = 5 * time.Second
)

// StandIn is the command `peppervale standin`. It runs one stand-in, to try an instance by hand.
type StandIn struct {
	Replica  StandInReplica  `cmd:"" help:"Serve requests like a replica."`
	Proxy    StandInProxy    `cmd:"" aliases:"forwarder" help:"Connect to an instance and send requests by its tables."`
	Registry StandInRegistry `cmd:"" help:"Serve an endpoint list; the file is reread each second."`
}

// ignoreObservation discards a stand-in's observation, as no invariant is checked.
func ignoreObservation(invariants.Event) {}

// openStandInFile reads a stand-in's file. The error is an InputError.
func openStandInFile[T any](path string, read func(top *config.Block) T) (settings T, err error) {
	reader, top := config.Open(path)
	if top != nil {
		settings = read(top)
		top.RejectUnknown()
	}
	if err := reader.Err(); err != nil {
		return settings, fileError(err)
	}
	return settings, nil
}

// readReplicaID reads a setting of the form address:port as a replica's id.
func readReplicaID(block *config.Block, name string) model.ReplicaID {
	text := block.Address(name, false)
	id, err := pubsubmsg.ParseAddress(text)
	if err != nil && text != "" { // block.Address has already reported an empty text
		block.AddError(name, "%s: %v", name, err)
	}
	return id
}

// callPeriodically calls an action at an interval until the context is done.
func callPeriodically(ctx context.Context, interval time.Duration, action func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			action()
		}
	}
}

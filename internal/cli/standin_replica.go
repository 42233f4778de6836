package cli

import (
	"context"
	"io"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/replica"
)

// StandInReplica is peppervale standin replica.
type StandInReplica struct {
	Config string `help:"The stand-in's file, HCL." required:"" type:"existingfile"`
}

// replicaSettings is the file of a replica.
type replicaSettings struct {
	replica    replica.Facts
	windows    []model.Microseconds // in which a repeated request is dropped, by operation
	startsCold bool
}

func readReplica(top *config.Block) replicaSettings {
	var settings replicaSettings
	for _, operation := range config.Operations(top) {
		settings.windows = append(settings.windows, operation.Window)
	}
	block := top.One("replica", 0, true)
	settings.replica = replica.Facts{
		ID:          readReplicaID(block, "listen"),
		Zone:        block.Text("zone", ""),
		Bay:         block.Text("bay", "bay"),
		Cores:       block.Whole("cores", 2, 1, 1000),
		Speed:       block.Number("speed", 1, 0.01, 100),
		Waiting:     block.Whole("waiting", 20, 0, 1_000_000),
		Connections: block.Whole("connections", 200, 1, 1_000_000),
		ColdShare:   block.Number("cold_share", 0.25, 0.01, 1),
		ColdSpan:    block.Span("cold_span", 8*model.Second, 0, maxStandInDuration),
		ReportEvery: block.Span("report_every", 500*model.Millisecond, 0, maxStandInDuration),
	}
	settings.startsCold = block.Yes("cold", true)
	block.Done()
	return settings
}

// Run serves requests until the context is done.
func (c *StandInReplica) Run(ctx context.Context, out io.Writer) error {
	settings, err := openStandInFile(c.Config, readReplica)
	if err != nil {
		return err
	}
	loop := standin.NewLoop(controller.Clock())
	defer loop.Stop()
	var server *replica.Replica
	loop.Do(func() {
		server = replica.New(loop, settings.replica, replica.NewBay(), settings.windows, ignoreObservation)
		err = server.Start(settings.startsCold)
	})
	if err != nil {
		return err
	}
	defer loop.Do(server.Stop)
	printf(out, "replica %s serves\n", pubsubmsg.Address(settings.replica.ID))
	repeat(ctx, standInStatisticsInterval, func() {
		loop.Do(func() { printf(out, "served %d\n", server.Served) })
	})
	return nil
}

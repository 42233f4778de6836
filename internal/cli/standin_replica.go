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

// StandInReplica is the command `peppervale standin replica`.
type StandInReplica struct {
	Config string `help:"Configuration file of the stand-in replica (HCL)." required:"" type:"existingfile"`
}

// replicaSettings is the content of a replica's file.
type replicaSettings struct {
	replica              replica.Config
	deduplicationWindows []model.Microseconds // by operation
	startsCold           bool
}

func readReplica(top *config.Block) replicaSettings {
	var settings replicaSettings
	for _, operation := range config.ReadOperations(top) {
		settings.deduplicationWindows = append(settings.deduplicationWindows, operation.IdempotencyWindow)
	}
	block := top.SingleBlock("replica", 0, true)
	settings.replica = replica.Config{
		ID:                 readReplicaID(block, "listen"),
		Zone:               block.String("zone", ""),
		DeduplicationGroup: block.String("bay", "bay"),
		Cores:              block.Int("cores", 2, 1, 1000),
		Speed:              block.Float("speed", 1, 0.01, 100),
		QueueLimit:         block.Int("waiting", 20, 0, 1_000_000),
		MaxConnections:     block.Int("connections", 200, 1, 1_000_000),
		InitialShare:       block.Float("cold_share", 0.25, 0.01, 1),
		WarmUpPeriod:       block.Duration("cold_span", 8*model.Second, 0, maxStandInDuration),
		ReportInterval:     block.Duration("report_every", 500*model.Millisecond, 0, maxStandInDuration),
	}
	settings.startsCold = block.Bool("cold", true)
	block.RejectUnknown()
	return settings
}

// Run serves requests until the context is done.
func (c *StandInReplica) Run(ctx context.Context, out io.Writer) error {
	settings, err := openStandInFile(c.Config, readReplica)
	if err != nil {
		return err
	}
	loop := standin.NewLoop(controller.NewClock())
	defer loop.Stop()
	var server *replica.Replica
	loop.Do(func() {
		server = replica.New(loop, settings.replica, replica.NewDeduplicationGroup(), settings.deduplicationWindows,
			ignoreObservation)
		err = server.Start(settings.startsCold)
	})
	if err != nil {
		return err
	}
	defer loop.Do(server.Stop)
	printf(out, "replica %s serves\n", pubsubmsg.FormatAddress(settings.replica.ID))
	callPeriodically(ctx, standInStatisticsInterval, func() {
		loop.Do(func() { printf(out, "served %d\n", server.Served) })
	})
	return nil
}

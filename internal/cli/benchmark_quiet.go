package cli

import (
	"context"
	"io"
	"time"

	"peppervale/internal/benchmark"
)

// BenchmarkQuiet is the command `peppervale benchmark quiet`.
type BenchmarkQuiet struct {
	Members       int           `help:"Number of members." default:"3"`
	Shards        int           `name:"parts" help:"Shards in each member's zone." default:"4"`
	LeaseDuration time.Duration `name:"span" help:"Duration of a lease." default:"2s"`
	Duration      time.Duration `name:"while" help:"Duration of the measurement." default:"20s"`
}

// Run runs the benchmark.
func (c *BenchmarkQuiet) Run(ctx context.Context, out io.Writer) error {
	if !c.isWithinLimits() {
		return inputErrorf("sizes out of range: --members is 1 to 9, --parts 1 to 256, --span 300ms to 1m, --while 1s to 1h")
	}
	result, err := benchmark.IdleCluster(ctx, c.Members, c.Shards, c.LeaseDuration, c.Duration)
	if err != nil {
		return err
	}
	benchmark.PrintIdleCluster(out, result)
	return nil
}

// isWithinLimits reports whether the sizes are within the limits.
func (c *BenchmarkQuiet) isWithinLimits() bool {
	return c.Members >= 1 && c.Members <= maxClusterMembers &&
		c.Shards >= 1 && c.Shards <= maxShardsPerZone &&
		c.LeaseDuration >= minLeaseDuration &&
		c.Duration >= minIdleDuration && c.Duration <= maxIdleDuration
}

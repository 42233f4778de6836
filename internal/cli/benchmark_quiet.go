package cli

import (
	"context"
	"io"
	"time"

	"peppervale/internal/benchmark"
)

// BenchmarkQuiet is peppervale benchmark quiet.
type BenchmarkQuiet struct {
	Members       int           `help:"Number of members." default:"3"`
	Shards        int           `name:"parts" help:"Shards in each member's zone." default:"4"`
	LeaseDuration time.Duration `name:"span" help:"Duration of a lease." default:"2s"`
	Duration      time.Duration `name:"while" help:"How long to count." default:"20s"`
}

// Run runs the benchmark.
func (c *BenchmarkQuiet) Run(ctx context.Context, out io.Writer) error {
	if !c.isUsable() {
		return inputErrorf("1 to 9 members, 1 to 256 parts, a lease of 300ms at least and 1s to 1h are wanted")
	}
	result, err := benchmark.IdleCluster(ctx, c.Members, c.Shards, c.LeaseDuration, c.Duration)
	if err != nil {
		return err
	}
	benchmark.PrintIdleCluster(out, result)
	return nil
}

// isUsable reports whether the sizes are within their limits.
func (c *BenchmarkQuiet) isUsable() bool {
	return c.Members >= 1 && c.Members <= maxClusterMembers &&
		c.Shards >= 1 && c.Shards <= maxShardsPerZone &&
		c.LeaseDuration >= minLeaseDuration &&
		c.Duration >= minIdleDuration && c.Duration <= maxIdleDuration
}

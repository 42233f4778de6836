package cli

import (
	"context"
	"io"
	"os"
	"time"

	"peppervale/internal/benchmark"
	"peppervale/internal/model"
)

// BenchmarkTakeover is the command `peppervale benchmark takeover`.
type BenchmarkTakeover struct {
	Proxies       int           `name:"forwarders" help:"Number of proxies." default:"400"`
	Rounds        int           `help:"Number of kills." default:"20"`
	LeaseDuration time.Duration `name:"span" help:"Duration of a lease." default:"2s"`
	Seed          uint64        `help:"Random seed for the choice and the times of the kills." default:"1"`
	Only          string        `help:"With a cluster, without one, or both." enum:"shared,alone,both" default:"both"`
}

// Run runs the benchmark, with a cluster and without one.
func (c *BenchmarkTakeover) Run(ctx context.Context, out io.Writer) error {
	if !c.isWithinLimits() {
		return inputErrorf("sizes out of range: --forwarders is 3 to 5000, --rounds 1 to 1000, --span 300ms to 1m")
	}
	program, err := childCommand()
	if err != nil {
		return err
	}
	leaseDuration := model.MicrosecondsOf(c.LeaseDuration)
	var results []*benchmark.TakeoverResult
	for _, inCluster := range c.clusterVariants() {
		result, err := benchmark.Takeover(ctx, program, c.Proxies, c.Rounds, leaseDuration, inCluster, c.Seed, os.Stderr)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	benchmark.PrintTakeovers(out, results)
	return nil
}

// clusterVariants returns, for each run of the benchmark, whether the instances are in a cluster.
func (c *BenchmarkTakeover) clusterVariants() []bool {
	switch c.Only {
	case "shared":
		return []bool{true}
	case "alone":
		return []bool{false}
	}
	return []bool{true, false}
}

// isWithinLimits reports whether the sizes are within the limits.
func (c *BenchmarkTakeover) isWithinLimits() bool {
	return c.Proxies >= minTakeoverProxies && c.Proxies <= maxRestartProxies &&
		c.Rounds >= 1 && c.Rounds <= maxRounds &&
		c.LeaseDuration >= minLeaseDuration && c.LeaseDuration <= maxLeaseDuration
}

package cli

import (
	"context"
	"io"

	"peppervale/internal/benchmark"
)

// BenchmarkRestart is the command `peppervale benchmark restart`.
type BenchmarkRestart struct {
	Proxies int `name:"forwarders" help:"Number of proxies." default:"400"`
	Rounds  int `help:"Number of restarts in each mode." default:"5"`
}

// Run runs the benchmark for each restart mode.
func (c *BenchmarkRestart) Run(ctx context.Context, out io.Writer) error {
	if !c.isWithinLimits() {
		return inputErrorf("sizes out of range: --forwarders is 1 to 5000, --rounds 1 to 1000")
	}
	program, err := childCommand()
	if err != nil {
		return err
	}
	var results []*benchmark.RestartResult
	for _, mode := range benchmark.RestartModes {
		result, err := benchmark.Restart(ctx, program, mode, c.Proxies, c.Rounds)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	benchmark.PrintRestarts(out, results)
	return nil
}

// isWithinLimits reports whether the sizes are within the limits.
func (c *BenchmarkRestart) isWithinLimits() bool {
	return c.Proxies >= 1 && c.Proxies <= maxRestartProxies && c.Rounds >= 1 && c.Rounds <= maxRounds
}

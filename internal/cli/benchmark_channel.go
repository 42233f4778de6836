package cli

import (
	"io"

	"peppervale/internal/benchmark"
)

// BenchmarkChannel is the command `peppervale benchmark channel`.
type BenchmarkChannel struct {
	Proxies []int `name:"forwarders" help:"Numbers of proxies; the benchmark runs once for each." default:"40,400,2000"`
	Entries int   `name:"lines" help:"Entries changed per round." default:"20"`
	Rounds  int   `help:"Number of rounds." default:"50"`
}

// Run runs the benchmark for each number of proxies.
func (c *BenchmarkChannel) Run(out io.Writer) error {
	var results []*benchmark.ChannelResult
	for _, proxies := range c.Proxies {
		if !c.isWithinLimits(proxies) {
			return inputErrorf("sizes out of range: --forwarders and --lines are 1 to 10000, --rounds at least 1")
		}
		result, err := benchmark.Channel(proxies, c.Entries, c.Rounds)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	benchmark.PrintChannels(out, results)
	return nil
}

// isWithinLimits reports whether the sizes are within the limits, for one number of proxies.
func (c *BenchmarkChannel) isWithinLimits(proxies int) bool {
	return proxies >= 1 && proxies <= maxBenchmarkProxies &&
		c.Entries >= 1 && c.Entries <= maxBenchmarkEntries &&
		c.Rounds >= 1
}

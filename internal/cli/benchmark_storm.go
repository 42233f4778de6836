package cli

import (
	"io"

	"peppervale/internal/benchmark"
)

// BenchmarkStorm is the command `peppervale benchmark storm`.
type BenchmarkStorm struct {
	Proxies int       `name:"forwarders" help:"Number of proxies." default:"2000"`
	Rates   []float64 `help:"Proxies admitted per second; 0 admits all." default:"0,200,500"`
}

// Run runs the benchmark for each rate.
func (c *BenchmarkStorm) Run(out io.Writer) error {
	if c.Proxies < 1 || c.Proxies > maxBenchmarkProxies {
		return inputErrorf("sizes out of range: --forwarders is 1 to 10000")
	}
	var results []*benchmark.ConnectionStormResult
	for _, rate := range c.Rates {
		result, err := benchmark.ConnectionStorm(c.Proxies, rate)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	benchmark.PrintConnectionStorms(out, results)
	return nil
}

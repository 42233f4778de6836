package cli

import (
	"io"

	"peppervale/internal/benchmark"
)

// BenchmarkStorm is peppervale benchmark storm.
type BenchmarkStorm struct {
	Proxies int       `name:"forwarders" help:"Number of proxies." default:"2000"`
	Rates   []float64 `help:"Proxies admitted a second; 0: all." default:"0,200,500"`
}

// Run runs the benchmark for each rate.
func (c *BenchmarkStorm) Run(out io.Writer) error {
	if c.Proxies < 1 || c.Proxies > maxBenchmarkProxies {
		return inputErrorf("1 to 10000 forwarders are wanted")
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

package cli

import "time"

// Benchmark is peppervale benchmark.
type Benchmark struct {
	Channel  BenchmarkChannel  `cmd:"" help:"Time updates up to the last acknowledgement, beside plain sockets."`
	Restart  BenchmarkRestart  `cmd:"" help:"Restart an instance with proxies connected, in four modes."`
	Takeover BenchmarkTakeover `cmd:"" help:"Kill one of three instances over and over, with and without a cluster."`
	Quiet    BenchmarkQuiet    `cmd:"" help:"Count the messages of an idle cluster."`
	Storm    BenchmarkStorm    `cmd:"" help:"Let many proxies connect at once, with and without admission control."`
}

// Limits of the benchmarks' sizes.
const (
	maxBenchmarkProxies = 10_000
	maxBenchmarkEntries = 10_000
	maxRestartProxies   = 5000 // of benchmarks that start processes
	maxRounds           = 1000
	maxClusterMembers   = 9
	maxShardsPerZone    = 256

	minTakeoverProxies = 3 // one for each instance

	minLeaseDuration = 300 * time.Millisecond
	maxLeaseDuration = time.Minute
	minIdleDuration  = time.Second
	maxIdleDuration  = time.Hour
)

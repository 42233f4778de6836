package cli

import "time"

// Benchmark is the command `peppervale benchmark`.
type Benchmark struct {
	Channel  BenchmarkChannel  `cmd:"" help:"Time updates to the last acknowledgement; compare with plain sockets."`
	Restart  BenchmarkRestart  `cmd:"" help:"Restart an instance with proxies connected, in four modes."`
	Takeover BenchmarkTakeover `cmd:"" help:"Kill one of three instances repeatedly, with and without a cluster."`
	Quiet    BenchmarkQuiet    `cmd:"" help:"Count the messages of an idle cluster."`
	Storm    BenchmarkStorm    `cmd:"" help:"Let many proxies connect at once, with and without admission control."`
}

// Limits of the benchmark sizes.
const (
	maxBenchmarkProxies = 10_000
	maxBenchmarkEntries = 10_000
	maxRestartProxies   = 5000 // for benchmarks that start processes
	maxRounds           = 1000
	maxClusterMembers   = 9
	maxShardsPerZone    = 256

	minTakeoverProxies = 3 // one per instance

	minLeaseDuration = 300 * time.Millisecond
	maxLeaseDuration = time.Minute
	minIdleDuration  = time.Second
	maxIdleDuration  = time.Hour
)

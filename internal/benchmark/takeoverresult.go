package benchmark

import (
	"fmt"
	"io"
	"time"
)

// TakeoverResult is the result of Takeover. Median, P99 and Worst are times from the kill until a proxy of the killed
// instance has applied another instance's first message. BoundMedian and BoundWorst are times from the kill until such
// a proxy has applied the first message that binds it to a table. The displaced proxies are those of the killed
// instance.
type TakeoverResult struct {
	InCluster          bool // the instances form a cluster; otherwise each serves every proxy that connects
	Proxies            int
	Rounds             int
	LeaseDuration      time.Duration
	Median             time.Duration
	P99                time.Duration
	Worst              time.Duration
	BoundMedian        time.Duration
	BoundWorst         time.Duration
	OtherStreamsBroken int     // broken streams to instances other than the killed one, in all rounds
	MeanShardsMoved    float64 // leases granted per round from the kill until the displaced proxies were bound again
	MinShardsMoved     float64 // theoretical minimum of MeanShardsMoved: the number of shards of the killed instance
	MeanShardsReturned float64 // leases granted per round from the restart until the proxies had returned
	Violations         []string
}

// PrintTakeovers writes a table of the results of Takeover.
func PrintTakeovers(out io.Writer, results []*TakeoverResult) {
	printf(out, "| governors | forwarders | kills | lease | first order p50 | p99 | worst | bound p50 | worst | "+
		"other streams broken | parts moved a kill, fewest | moved a return | rules |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		printf(out, "| %s | %d | %d | %s | %s | %s | %s | %s | %s | %d | %.2f, %.2f | %.2f | %s |\n",
			result.modeText(), result.Proxies, result.Rounds, result.LeaseDuration,
			roundMilliseconds(result.Median), roundMilliseconds(result.P99), roundMilliseconds(result.Worst),
			roundMilliseconds(result.BoundMedian), roundMilliseconds(result.BoundWorst),
			result.OtherStreamsBroken, result.MeanShardsMoved, result.MinShardsMoved, result.MeanShardsReturned,
			result.verdict())
	}
}

func (r *TakeoverResult) modeText() string {
	if r.InCluster {
		return "share the fleet"
	}
	return "share nothing"
}

func (r *TakeoverResult) verdict() string {
	if len(r.Violations) == 0 {
		return "kept"
	}
	return fmt.Sprintf("%d breaks: %s", len(r.Violations), r.Violations[0])
}

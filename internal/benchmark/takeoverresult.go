package benchmark

import (
	"fmt"
	"io"
	"time"
)

// TakeoverResult is the result of Takeover. Times are from the kill until each proxy of the killed instance has
// applied another instance's first message, or the first one that binds it to a table.
type TakeoverResult struct {
	Shared             bool // the instances share the zones; else each serves whichever proxy connects
	Proxies            int
	Rounds             int
	LeaseDuration      time.Duration
	Median             time.Duration
	P99                time.Duration
	Worst              time.Duration
	BoundMedian        time.Duration
	BoundWorst         time.Duration
	OtherStreamsBroken int     // streams to other instances than the killed one that broke, in all rounds
	ShardsMoved        float64 // leases granted for each kill, until all shards were held again
	MinShardsMoved     float64 // shards of the killed instance
	ShardsReturned     float64 // leases granted until a killed instance was back
	Violations         []string
}

// PrintTakeovers writes a table of the results of Takeover.
func PrintTakeovers(out io.Writer, results []*TakeoverResult) {
	printf(out, "| governors | forwarders | kills | lease | first order p50 | p99 | worst | bound p50 | worst | "+
		"other streams broken | parts moved a kill, fewest | moved a return | rules |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, result := range results {
		printf(out, "| %s | %d | %d | %s | %s | %s | %s | %s | %s | %d | %.2f, %.2f | %.2f | %s |\n",
			result.kind(), result.Proxies, result.Rounds, result.LeaseDuration,
			roundMilliseconds(result.Median), roundMilliseconds(result.P99), roundMilliseconds(result.Worst),
			roundMilliseconds(result.BoundMedian), roundMilliseconds(result.BoundWorst),
			result.OtherStreamsBroken, result.ShardsMoved, result.MinShardsMoved, result.ShardsReturned, result.verdict())
	}
}

func (r *TakeoverResult) kind() string {
	if r.Shared {
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

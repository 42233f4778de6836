package scenario

import (
	"fmt"
	"io"
	"strings"

	"peppervale/internal/invariants"
)

// Report is the result of a scenario. Service is the billed value of the requests that were served within the latency
// objective, as a share of the billed value of all requests. WorstService is the lowest service of any ten consecutive
// seconds.
type Report struct {
	Scenario           string              `json:"day"`
	Seconds            float64             `json:"seconds"`
	Proxies            int                 `json:"forwarders"`
	Replicas           int                 `json:"replicas"`
	Instances          int                 `json:"governors"`
	Service            float64             `json:"service"`
	WorstService       float64             `json:"service_worst_10s"`
	Operations         []OperationReport   `json:"operations"`
	Attempts           AttemptReport       `json:"tries"`
	Channel            ChannelReport       `json:"channel"`
	Invariants         []invariants.Result `json:"rules"`
	OverloadedReplicas int                 `json:"replicas_tipped"` // replicas that failed from overload
}

// OperationReport counts the requests of one operation. Latencies are in milliseconds, of successful requests only.
type OperationReport struct {
	Name        string  `json:"name"`
	Requests    int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	RateLimited int     `json:"rate_limited"`
	Failed      int     `json:"failed"`
	P50         float64 `json:"p50_ms"`
	P95         float64 `json:"p95_ms"`
	P99         float64 `json:"p99_ms"`
}

// AttemptReport counts the proxies' attempts by outcome. Errored counts error responses and lost connections.
type AttemptReport struct {
	Sent          int `json:"sent"`
	Retries       int `json:"again"`
	Rejected      int `json:"refused"`
	ConnectFailed int `json:"connect_failed"`
	Errored       int `json:"errored"`
	TimedOut      int `json:"timed_out"`
	CrossZone     int `json:"cross_zone"`
}

// ChannelReport holds the proxies' statistics of the publish-subscribe channel and the instances' CPU time in seconds.
// Bound is the number of proxies that are bound at the end.
type ChannelReport struct {
	Messages           int     `json:"messages"`
	Entries            int     `json:"lines"`
	Bytes              int     `json:"bytes"`
	Joins              int     `json:"joins"`
	Resyncs            int     `json:"resyncs"`
	Bound              int     `json:"bound_at_the_end"`
	InstanceCPUSeconds float64 `json:"governor_cpu_s"`
}

// Violated reports whether an invariant was violated.
func (r *Report) Violated() bool {
	for _, verdict := range r.Invariants {
		if len(verdict.Violations) > 0 {
			return true
		}
	}
	return false
}

// Print writes the report as text. It ignores errors of the writer.
func (r *Report) Print(out io.Writer) {
	var text strings.Builder
	r.writeSummary(&text)
	r.writeOperations(&text)
	r.writeCounts(&text)
	for _, verdict := range r.Invariants {
		writeVerdict(&text, verdict)
	}
	_, _ = io.WriteString(out, text.String())
}

func (r *Report) writeSummary(text *strings.Builder) {
	fmt.Fprintf(text, "day %s: %.0f s, %d forwarders, %d replicas, %d governors\n",
		r.Scenario, r.Seconds, r.Proxies, r.Replicas, r.Instances)
	fmt.Fprintf(text, "service %.3f, worst 10 s %.3f "+
		"(billed value within the latency objective, over value asked for)\n\n",
		r.Service, r.WorstService)
}

func (r *Report) writeOperations(text *strings.Builder) {
	fmt.Fprintf(text, "%-16s %8s %8s %6s %12s %7s %8s %8s %8s\n",
		"operation", "asked", "in time", "late", "rate-limited", "failed", "p50 ms", "p95 ms", "p99 ms")
	for _, operation := range r.Operations {
		fmt.Fprintf(text, "%-16s %8d %8d %6d %12d %7d %8.0f %8.0f %8.0f\n",
			operation.Name, operation.Requests, operation.InTime, operation.Late, operation.RateLimited,
			operation.Failed, operation.P50, operation.P95, operation.P99)
	}
}

func (r *Report) writeCounts(text *strings.Builder) {
	attempts := r.Attempts
	fmt.Fprintf(text, "\ntries %d: %d followed another, %d refused, %d not connected, %d errored, %d timed out, "+
		"%d across zones; %d replicas fell over\n",
		attempts.Sent, attempts.Retries, attempts.Rejected, attempts.ConnectFailed, attempts.Errored,
		attempts.TimedOut, attempts.CrossZone, r.OverloadedReplicas)
	channel := r.Channel
	fmt.Fprintf(text, "channel: %d messages of %d lines and %d bytes, %d joins, %d snapshots asked for; "+
		"%d forwarders bound at the end; governors used %.2f s of CPU\n\n",
		channel.Messages, channel.Entries, channel.Bytes, channel.Joins, channel.Resyncs, channel.Bound,
		channel.InstanceCPUSeconds)
}

func writeVerdict(text *strings.Builder, verdict invariants.Result) {
	state := "kept"
	if len(verdict.Violations) > 0 {
		state = "BROKEN"
	}
	fmt.Fprintf(text, "%-6s %-28s nearest %.2f of the limit", state, verdict.Invariant, verdict.MaxRatio)
	if verdict.Where != "" {
		fmt.Fprintf(text, " (%s)", verdict.Where)
	}
	text.WriteString("\n")
	for _, violation := range verdict.Violations {
		fmt.Fprintf(text, "       %s\n", strings.TrimSpace(violation))
	}
}

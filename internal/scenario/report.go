package scenario

import (
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin/proxy"
)

// Report is what a day came to. Service is billed value answered within the latency objective over the value asked for.
type Report struct {
	Day        string               `json:"day"`
	Seconds    float64              `json:"seconds"`
	Forwarders int                  `json:"forwarders"`
	Replicas   int                  `json:"replicas"`
	Governors  int                  `json:"governors"`
	Service    float64              `json:"service"`
	WorstTen   float64              `json:"service_worst_10s"`
	Operations []OperationReport    `json:"operations"`
	Tries      TryReport            `json:"tries"`
	Channel    ChannelReport        `json:"channel"`
	Rules      []invariants.Verdict `json:"rules"`
	Tipped     int                  `json:"replicas_tipped"`
}

// OperationReport is one operation's; latencies are milliseconds of those that succeeded.
type OperationReport struct {
	Name        string  `json:"name"`
	Asked       int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	RateLimited int     `json:"rate_limited"`
	Failed      int     `json:"failed"`
	P50         float64 `json:"p50_ms"`
	P95         float64 `json:"p95_ms"`
	P99         float64 `json:"p99_ms"`
}

// TryReport counts tries by how they ended.
type TryReport struct {
	Sent      int `json:"sent"`
	Again     int `json:"again"` // that followed another
	Refused   int `json:"refused"`
	Connect   int `json:"connect_failed"`
	Errored   int `json:"errored"`
	TimedOut  int `json:"timed_out"`
	CrossZone int `json:"cross_zone"`
}

// ChannelReport is what forwarders saw of the channel, and the governors' CPU.
type ChannelReport struct {
	Messages    int     `json:"messages"`
	Lines       int     `json:"lines"`
	Bytes       int     `json:"bytes"`
	Joins       int     `json:"joins"`
	Resyncs     int     `json:"resyncs"`
	Bound       int     `json:"bound_at_the_end"`
	GovernorCPU float64 `json:"governor_cpu_s"`
}

// Broken tells whether a rule broke.
func (r *Report) Broken() bool {
	for _, v := range r.Rules {
		if len(v.Breaks) > 0 {
			return true
		}
	}
	return false
}

// Print writes the report for a reader.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "day %s: %.0f s, %d forwarders, %d replicas, %d governors\n", r.Day, r.Seconds, r.Forwarders, r.Replicas, r.Governors)
	fmt.Fprintf(w, "service %.3f, worst 10 s %.3f (billed value within the latency objective, over value asked for)\n\n", r.Service, r.WorstTen)
	fmt.Fprintf(w, "%-16s %8s %8s %6s %12s %7s %8s %8s %8s\n", "operation", "asked", "in time", "late", "rate-limited", "failed", "p50 ms", "p95 ms", "p99 ms")
	for _, o := range r.Operations {
		fmt.Fprintf(w, "%-16s %8d %8d %6d %12d %7d %8.0f %8.0f %8.0f\n", o.Name, o.Asked, o.InTime, o.Late, o.RateLimited, o.Failed, o.P50, o.P95, o.P99)
	}
	t, c := r.Tries, r.Channel
	fmt.Fprintf(w, "\ntries %d: %d followed another, %d refused, %d not connected, %d errored, %d timed out, %d across zones; %d replicas fell over\n",
		t.Sent, t.Again, t.Refused, t.Connect, t.Errored, t.TimedOut, t.CrossZone, r.Tipped)
	fmt.Fprintf(w, "channel: %d messages of %d lines and %d bytes, %d joins, %d snapshots asked for; %d forwarders bound at the end; governors used %.2f s of CPU\n\n",
		c.Messages, c.Lines, c.Bytes, c.Joins, c.Resyncs, c.Bound, c.GovernorCPU)
	for _, v := range r.Rules {
		state := "kept"
		if len(v.Breaks) > 0 {
			state = "BROKEN"
		}
		fmt.Fprintf(w, "%-6s %-28s nearest %.2f of the limit", state, v.Rule, v.Nearest)
		if v.Where != "" {
			fmt.Fprintf(w, " (%s)", v.Where)
		}
		fmt.Fprintln(w)
		for _, b := range v.Breaks {
			fmt.Fprintf(w, "       %s\n", strings.TrimSpace(b))
		}
	}
}

// tally counts invocations by operation, and billed value by second of asking.
type tally struct {
	of      []config.Operation
	ops     []opTally
	seconds []value
}

type opTally struct {
	asked, inTime, late, limited, failed int
	latency                              *hdrhistogram.Histogram
}

type value struct{ asked, served float64 }

func newTally(s *Script) *tally {
	t := &tally{of: s.Operations, seconds: make([]value, int(s.Length/model.Second)+1)}
	for range s.Operations {
		t.ops = append(t.ops, opTally{latency: hdrhistogram.New(1, int64(hour), 3)})
	}
	return t
}

// count takes an invocation's end: how long it took from its first asking, and when that was in the day.
func (t *tally) count(op int, r proxy.Result, took, at model.Microseconds) {
	o, of := &t.ops[op], t.of[op]
	sec := &t.seconds[min(max(int(at/model.Second), 0), len(t.seconds)-1)]
	o.asked++
	sec.asked += of.Value
	switch {
	case r == proxy.Succeeded:
		_ = o.latency.RecordValue(max(1, int64(took)))
		if took <= of.Objective {
			o.inTime++
			sec.served += of.Value
		} else {
			o.late++
		}
	case r == proxy.RateLimited:
		o.limited++
	default:
		o.failed++
	}
}

// service is that of all, and of the worst ten seconds.
func (t *tally) service() (all, worst float64) {
	var sum value
	worst = 1
	for i, s := range t.seconds {
		sum.asked, sum.served = sum.asked+s.asked, sum.served+s.served
		if i < 9 {
			continue
		}
		var ten value
		for _, s := range t.seconds[i-9 : i+1] {
			ten.asked, ten.served = ten.asked+s.asked, ten.served+s.served
		}
		if ten.asked > 0 {
			worst = min(worst, ten.served/ten.asked)
		}
	}
	return sum.served / math.Max(sum.asked, 1), worst
}

func (d *play) report(verdicts []invariants.Verdict) *Report {
	r := &Report{Day: d.Name, Seconds: float64(d.Length) / float64(model.Second), Forwarders: len(d.forwarders), Replicas: len(d.replicas),
		Governors: max(len(d.governors), 1), Rules: verdicts}
	r.Service, r.WorstTen = d.tally.service()
	for i, o := range d.tally.ops {
		ms := func(q float64) float64 { return float64(o.latency.ValueAtQuantile(q)) / 1000 }
		r.Operations = append(r.Operations, OperationReport{Name: d.Operations[i].Name, Asked: o.asked, InTime: o.inTime, Late: o.late,
			RateLimited: o.limited, Failed: o.failed, P50: ms(50), P95: ms(95), P99: ms(99)})
	}
	zones := map[model.ReplicaID]string{}
	for _, m := range d.replicas {
		if zones[m.ID] = m.Zone; m.Tipped {
			r.Tipped++
		}
	}
	for _, c := range d.forwarders {
		r.Channel.Messages += c.Messages
		r.Channel.Lines += c.Lines
		r.Channel.Bytes += c.Bytes
		r.Channel.Joins += c.Joins
		r.Channel.Resyncs += c.Resyncs
		if c.Joined() != "" && c.Bound() {
			r.Channel.Bound++
		}
	}
	zoneOf := map[string]string{}
	for _, c := range d.forwarders {
		zoneOf[c.Name] = c.Zone
	}
	for _, s := range d.seen {
		switch e := s.(type) {
		case invariants.Tried:
			if r.Tries.Sent++; e.N > 1 {
				r.Tries.Again++
			}
			if zones[e.Replica] != zoneOf[e.Forwarder] {
				r.Tries.CrossZone++
			}
		case invariants.Ended:
			switch e.Outcome {
			case invariants.Refused:
				r.Tries.Refused++
			case invariants.ConnectFailed:
				r.Tries.Connect++
			case invariants.Errored, invariants.Broken:
				r.Tries.Errored++
			case invariants.TimedOut:
				r.Tries.TimedOut++
			}
		}
	}
	return r
}

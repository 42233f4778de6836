package balancer_test

import (
	"fmt"
	"testing"

	"peppervale/internal/balancer"
)

// stateCodes maps the states in ReplicaView.State to numbers, so that the hashes don't depend on the names of states.
var stateCodes = map[string]int{"away": 1, "draining": 2, "easing": 3, "serving": 4, "resting": 5}

// viewText returns every value of a View as text, in a fixed order, floats by their bits. The text is hashed, so it
// must not change.
func viewText(t *testing.T, view *balancer.View) (lines []string) {
	t.Helper()
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	add("fleet %t %s %s %s %d %d", view.SafeModeEnded, bits(view.Saturation), bits(view.NormalizedLatency),
		bits(view.WarmingFraction), view.UnackedEntries, int(view.RetryPolicy))
	for _, r := range view.UnreportedReplicas {
		add("waits %s", replicaText(r))
	}
	for _, quota := range view.Quotas {
		add("share %s", bits(quota))
	}
	for _, r := range view.Replicas {
		lines = append(lines, replicaViewText(t, &r)...)
	}
	for _, table := range view.Tables {
		add("table %d %d %s %d", int(table.ID), table.Zone, bits(table.ExpectedRate), table.Proxies)
		for _, entry := range table.Entries {
			add("line %s %s", replicaText(entry.Replica), bits(entry.Weight))
		}
	}
	for _, p := range view.Proxies {
		add("proxy %d %d %s %d %d %d", int(p.ID), p.Zone, bits(p.ExpectedRate), p.Table, p.UnackedMessages,
			int64(p.OldestUnackedAt))
	}
	return lines
}

func replicaViewText(t *testing.T, r *balancer.ReplicaView) []string {
	t.Helper()
	code, known := stateCodes[r.State]
	if !known {
		t.Fatalf("replica state %q is not in stateCodes", r.State)
	}
	return []string{
		fmt.Sprintf("replica %s %d %d %t %t", replicaText(r.ID), r.Zone, code, r.Withdrawn, r.WarmingUp),
		fmt.Sprintf("times %d %d %d %d %d", int64(r.WithdrawnAt), int64(r.ReportedAt), int64(r.UtilizationAt),
			int64(r.StartedAt), int64(r.SlowStartAt)),
		fmt.Sprintf("figures %s %s %s %s %s", bits(r.Utilization), bits(r.NormalizedLatency), bits(r.SlowStartFactor),
			bits(r.AttemptRate), bits(r.ErrorRate)),
		fmt.Sprintf("counts %d %d", r.Entries, r.Ejections),
	}
}

package scenario

import (
	"path/filepath"
	"strings"
	"testing"

	"peppervale/internal/invariants"
)

// Each faulty controller violates its own invariant and no other. The violation states its time, and its limit unless
// the invariant has no numeric limit (RepeatedEffect).
func TestEachFaultyControllerViolatesItsOwnInvariantOnly(t *testing.T) {
	for kind, invariant := range map[string]string{
		emptyTableFault:    invariants.EmptyTable,
		retryAnythingFault: invariants.RepeatedEffect,
		hiddenDrainsFault:  invariants.LateDrain,
		coldOverloadFault:  invariants.ColdOverload,
		messageFloodFault:  invariants.LongQueue,
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			report := runScript(t, openScript(t, filepath.Join("faulty", kind+".hcl")))
			for _, verdict := range report.Invariants {
				checkVerdict(t, verdict, invariant)
			}
		})
	}
}

// checkVerdict requires that a verdict has violations if it is that of the violated invariant, and none otherwise.
func checkVerdict(t *testing.T, verdict invariants.Result, violated string) {
	t.Helper()
	isViolated := len(verdict.Violations) > 0
	if isViolated != (verdict.Invariant == violated) {
		t.Errorf("%s: unexpected verdict: %.2f of the limit, violations %v",
			verdict.Invariant, verdict.MaxRatio, verdict.Violations)
		return
	}
	if !isViolated {
		return
	}
	violation := verdict.Violations[0]
	statesTime := strings.Contains(violation, " s: ")
	statesLimit := strings.Contains(violation, "allowed") || verdict.Invariant == invariants.RepeatedEffect
	if !statesTime || !statesLimit {
		t.Errorf("%s: violation without its time or limit: %s", verdict.Invariant, violation)
	}
}

func TestLateDrainIsViolatedWhenProxiesIgnoreWithdrawals(t *testing.T) {
	t.Parallel()
	script := openScript(t, zoneLossFile)
	script.Length = seconds(12)
	script.Steps = []Step{
		{Kind: ProxyMisbehavior, At: 0, Duration: seconds(12), Fraction: 0.5, Group: groupIgnoresWithdrawals},
		{Kind: Drain, At: seconds(3), Duration: seconds(9), Fraction: 0.4},
	}
	verdict := runScript(t, script).Invariants[2]
	if verdict.Invariant != invariants.LateDrain || len(verdict.Violations) == 0 {
		t.Errorf("got %+v, want violations of the drain invariant", verdict)
	}
}

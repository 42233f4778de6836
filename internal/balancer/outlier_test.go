package balancer

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

func TestOnlyFailingOrSilentReplicasAreEjected(t *testing.T) {
	t.Run("ejects a silent replica and readmits it later", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(4, fleet.goodReports(5))
		fleet.requireWithdrawn(t, 6, "no load report names it")
		fleet.advance(10, fleet.goodReports(5))
		fleet.requireNotWithdrawn(t, 6, "its ejection is over")
	})
	t.Run("ejects none while the reports of all replicas are late", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(5, nil)
		fleet.advance(3, fleet.goodReports(2))
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("ejects none when all replicas get less traffic", func(t *testing.T) {
		// Load shedding may leave so few attempts that some replicas get none.
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(4, fleet.reportsOf(1, 4, 1, 0, 100*model.Millisecond))
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("does not eject an overloaded replica", func(t *testing.T) {
		// After the loss of a third of the replicas, ejecting overloaded replicas would overload the remaining replicas one
		// after the other.
		fleet := startWarmFleet(t, 9, nil)
		fleet.advance(5, func() {
			fleet.reportsOf(1, 8, 10, 0, 230*model.Millisecond)()
			fleet.report(9, 20, 19, 900*model.Millisecond)
		})
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("ejects at most a third of the replicas", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(5, func() {
			fleet.goodReports(3)()
			fleet.reportsOf(4, 6, 10, 10, 0)()
		})
		require(t, len(fleet.withdrawn) <= 2, "withdrawn %v, want at most two replicas", fleet.withdrawn)
	})
	t.Run("ejects none when load reports cover several periods", func(t *testing.T) {
		fleet := startWideFleet(t)
		next := 0
		fleet.advance(20, func() {
			for range 12 {
				fleet.balancer.LoadReported(fleet.now, model.LoadReport{
					Replica: replicaID(1 + next%wideFleetReplicas), Attempts: 40,
					MeanLatency: 100 * model.Millisecond, Window: 4 * model.Second,
				})
				next++
			}
		})
		fleet.requireNeverWithdrawn(t)
	})
}

// The log message of an ejection has the measured error rates; the log message of a removal has no error rates.
func TestEjectionLogMessageHasErrorRates(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	fleet.advance(4, func() {
		fleet.report(1, 10, 10, 0)
		fleet.reportsOf(2, 8, 10, 0, 100*model.Millisecond)()
	})
	fleet.remove(2)
	all := strings.Join(fleet.logMessages, "\n")
	require(t, strings.Contains(all, "zone 0 ejected: ") && strings.Contains(all, "attempts errored, 0% elsewhere"),
		"log messages %s, want an ejection with both error rates", all)
	require(t, strings.Contains(all, "zone 0 gone\n") || strings.HasSuffix(all, "zone 0 gone"),
		"log messages %s, want the removal without figures", all)
}

package balancer

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

func TestEjection(t *testing.T) {
	t.Run("of a silent replica, which is tried again later", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(4, fleet.goodReports(5))
		fleet.requireWithdrawn(t, 6, "no report names it")
		fleet.run(10, fleet.goodReports(5))
		fleet.requireNotWithdrawn(t, 6, "it is to be tried again")
	})
	t.Run("of none while reports of all are late", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(5, nil)
		fleet.run(3, fleet.goodReports(2))
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("of none because all get less traffic", func(t *testing.T) {
		// Found by an incident: load shedding left so few attempts that replicas without one were withdrawn.
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(4, fleet.reportsOf(1, 4, 1, 0, 100*model.Millisecond))
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("not of a full replica", func(t *testing.T) {
		// Found by an incident: a third was lost, and full replicas were withdrawn one after the other.
		fleet := startWarmFleet(t, 9, nil)
		fleet.run(5, func() {
			fleet.reportsOf(1, 8, 10, 0, 230*model.Millisecond)()
			fleet.report(9, 20, 19, 900*model.Millisecond)
		})
		fleet.requireNeverWithdrawn(t)
	})
	t.Run("of a third at most", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(5, func() {
			fleet.goodReports(3)()
			fleet.reportsOf(4, 6, 10, 10, 0)()
		})
		require(t, len(fleet.withdrawn) <= 2, "withdrawn %v", fleet.withdrawn)
	})
	t.Run("of none because reports cover several periods", func(t *testing.T) {
		fleet := startWideFleet(t)
		next := 0
		fleet.run(20, func() {
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

// The log of an ejection has the figure that passed its bound; that of another change has none.
func TestEjectionLogHasItsFigure(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	fleet.run(4, func() {
		fleet.report(1, 10, 10, 0)
		fleet.reportsOf(2, 8, 10, 0, 100*model.Millisecond)()
	})
	fleet.remove(2)
	all := strings.Join(fleet.logged, "\n")
	require(t, strings.Contains(all, "zone 0 ejected: ") && strings.Contains(all, "attempts errored, 0% elsewhere"),
		"logged: %s", all)
	require(t, strings.Contains(all, "zone 0 gone\n") || strings.HasSuffix(all, "zone 0 gone"), "logged: %s", all)
}

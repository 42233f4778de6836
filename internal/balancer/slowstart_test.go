package balancer

import (
	"math"
	"testing"

	"peppervale/internal/model"
)

func TestStartedReplicaHasRisingWeight(t *testing.T) {
	t.Run("has a quarter of its weight at once and its full weight after thirty seconds", func(t *testing.T) {
		fleet := startWarmFleet(t, 8, nil)
		fleet.listAsStarted(1, 1)
		fleet.flush()
		first := fleet.weight(1)
		require(t, math.Abs(first-0.25) <= 0.01, "weight %v after the start, want 0.25", first)
		fleet.advance(15, fleet.goodReports(8))
		half := fleet.weight(1)
		fleet.advance(20, fleet.goodReports(8))
		require(t, half >= 0.4 && half <= 0.8 && fleet.weight(1) >= 0.8,
			"weight %v after 15 s, want 0.4 to 0.8; %v after 35 s, want at least 0.8", half, fleet.weight(1))
	})
	t.Run("has the weight for its own start time, not for the start of the balancer", func(t *testing.T) {
		// A balancer that restarts during a release must not treat replicas started three and ten seconds ago as equal: the
		// older ones would be nearly idle.
		fleet := startWarmFleet(t, 8, nil)
		fleet.listAsStarted(10*model.Second, 1)
		fleet.listAsStarted(model.Second, 2)
		fleet.flush()
		older, newer := fleet.weight(1), fleet.weight(2)
		require(t, math.Abs(older-0.5) <= 0.01 && math.Abs(newer-0.275) <= 0.01,
			"weights %v at 10 s and %v at 1 s, want 0.5 and 0.275", older, newer)
	})
}

// Guards against a weight below 0 while a start time lies ahead of the instance's clock: the slow start and the warm-up
// period begin when the replica is first listed with it.
func TestStartTimeAheadOfTheClockCountsAsNow(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	fleet.listAsStarted(-3600*model.Second, 1)
	fleet.flush()
	first := fleet.weight(1)
	require(t, math.Abs(first-0.25) <= 0.01, "weight %v after the start, want 0.25", first)
	started := fleet.balancer.replicasByID[replicaID(1)]
	require(t, fleet.balancer.isWarmingUp(started) && fleet.balancer.remainingWarmUp(started) == 1,
		"remaining warm-up %v after the start, want 1", fleet.balancer.remainingWarmUp(started))
	fleet.advance(35, fleet.goodReports(8))
	require(t, fleet.weight(1) >= 0.8, "weight %v after 35 s, want at least 0.8", fleet.weight(1))
	require(t, !fleet.balancer.isWarmingUp(started), "the replica warms up after 35 s")
}

func TestWarmingUpReplicaIsWithdrawnInAnOverloadIfProxiesAvoidFailing(t *testing.T) {
	for name, avoids := range map[string]bool{
		"withdrawn if proxies avoid failing replicas": true,
		"kept if proxies avoid no replicas":           false,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startWarmFleet(t, 8, func(config *model.Config) { config.ProxiesAvoidFailing = avoids })
			fleet.listAsStarted(1, 1)
			fleet.flush()
			fleet.advance(4, fleet.reportsOf(2, 8, 10, 7, 400*model.Millisecond))
			require(t, fleet.isWithdrawn(1) == avoids,
				"replica 1 warms up in an overloaded fleet: withdrawn is %v, want the opposite", fleet.isWithdrawn(1))
		})
	}
}

// A replica that started seconds ago is overloaded by a surge that a nearly warm replica can serve, so the newer a
// replica is, the lower the error rate of its table at which it is withdrawn (scenarios h27f5e4, h463155).
func TestNewerReplicaIsWithdrawnAtALowerErrorRate(t *testing.T) {
	for age, withdrawn := range map[model.Microseconds]bool{model.Second: true, 11 * model.Second: false} {
		fleet := startWarmFleet(t, 8, nil)
		fleet.listAsStarted(age, 1)
		fleet.flush()
		fleet.advance(4, fleet.reportsOf(2, 8, 100, 68, 100*model.Millisecond))
		require(t, fleet.isWithdrawn(1) == withdrawn,
			"replica 1, started %d us ago, two attempts in three fail: withdrawn is %v, want the opposite",
			age, fleet.isWithdrawn(1))
	}
}

// If most replicas refuse connections, all proxies may turn to the replica that has just started.
func TestStartedReplicaIsWithdrawnWhenItsTableFails(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	fleet.advance(3, fleet.reportsOf(2, 8, 10, 8, 100*model.Millisecond))
	fleet.listAsStarted(1, 1)
	fleet.flush()
	fleet.requireWithdrawn(t, 1, "all proxies may turn to it")
}

func TestStartedReplicaIsWithdrawnWhenItsTableHasOneProxy(t *testing.T) {
	// The single proxy of a table, which has much traffic, may turn to new replicas within a second.
	fleet := startFleet(t, 8, nil)
	fleet.disconnect(2)
	fleet.advance(5, fleet.goodReports(8))
	fleet.listAsStarted(1, 1)
	fleet.flush()
	fleet.requireWithdrawn(t, 1, "it warms up in a table with one proxy")
	// A proxy is not notified of a withdrawal that is sent before the replica gets its entry.
	fleet.listAsStarted(1, 9)
	fleet.advance(2, fleet.goodReports(8))
	require(t, fleet.weight(9) == 0, "new entry with weight %v for a withdrawn replica, want none", fleet.weight(9))
}

func TestOverloadedFleetUsesNewReplicasAndWithdrawsRestartedReplicas(t *testing.T) {
	for name, restarted := range map[string]bool{
		// A fleet that doubles during an overload needs its new replicas; if they are withdrawn it stays overloaded.
		"new replicas are used": false,
		// When half of the fleet restarts at once in an overload, the restarted replicas would be overloaded one after
		// another if they were used.
		"restarted replicas are withdrawn": true,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startFleet(t, 8, nil)
			added := []int{9, 10, 11, 12, 13, 14, 15, 16}
			if restarted {
				fleet.updateStatus(model.EndpointReady, 0, added...)
			}
			fleet.advance(5, fleet.goodReports(16))
			fleet.listAsStarted(model.Second, added...)
			fleet.advance(5, fleet.reportsOf(1, 8, 10, 7, 900*model.Millisecond))
			require(t, fleet.isWithdrawn(9) == restarted && fleet.isWithdrawn(16) == restarted,
				"replicas 9 and 16 must be withdrawn if and only if they restarted; withdrawn: %v",
				fleet.withdrawn)
		})
	}
}

package balancer

import "testing"

func TestSafeModeEnds(t *testing.T) {
	t.Run("once every listed replica is reported", func(t *testing.T) {
		fleet := startFleet(t, 3, nil)
		// Replicas 1 and 2 report five attempts each, without errors and with a latency of 100 ms; replica 3 does not.
		fleet.advance(2, fleet.reportsOf(1, 2, 5, 0, 100000))
		fleet.requireBound(t, 0, "with one replica unreported")
		require(t, len(fleet.tableWeights) == 0, "tables %v with one replica unreported, want none", fleet.tableWeights)
		fleet.advance(2, fleet.goodReports(3))
		require(t, fleet.binds[1] == 1 && fleet.binds[2] == 1,
			"binds %v with every replica reported, want one for each proxy", fleet.binds)
	})
	t.Run("at the end of the start window", func(t *testing.T) {
		fleet := startFleet(t, 3, nil)
		fleet.advance(2, nil)
		fleet.requireBound(t, 0, "within the start window")
		fleet.advance(2, nil)
		fleet.requireBound(t, 2, "after the start window")
	})
	t.Run("without waiting for a draining replica", func(t *testing.T) {
		fleet := startFleet(t, 3, nil)
		fleet.drain(3)
		fleet.advance(3, fleet.goodReports(2))
		fleet.requireBound(t, 2, "with the draining replica unreported")
	})
}

func TestDrainWithdrawalIsSentInSafeMode(t *testing.T) {
	fleet := startFleet(t, 8, nil)
	fleet.drain(2)
	fleet.requireWithdrawn(t, 2, "it is draining")
	fleet.requireBound(t, 0, "in safe mode")
}

func TestWarmingUpReplicaIsWithdrawnInSafeMode(t *testing.T) {
	fleet := startFleet(t, 8, nil)
	fleet.listAsStarted(1, 1) // replica 1, one microsecond ago
	fleet.flush()
	fleet.requireWithdrawn(t, 1, "standing tables may have replica 1 at full weight")
	fleet.advance(13, fleet.goodReports(8))
	fleet.requireNotWithdrawn(t, 1, "safe mode is over")
}

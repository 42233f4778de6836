package balancer

import (
	"math"
	"testing"

	"peppervale/internal/model"
)

func TestStartedReplica(t *testing.T) {
	t.Run("gets a quarter at once and its full weight after thirty seconds", func(t *testing.T) {
		fleet := startWarmFleet(t, 8, nil)
		fleet.start(1, 1)
		fleet.flush()
		first := fleet.weight(1)
		require(t, math.Abs(first-0.25) <= 0.01, "starts at %v", first)
		fleet.run(15, fleet.goodReports(8))
		half := fleet.weight(1)
		fleet.run(20, fleet.goodReports(8))
		require(t, half >= 0.4 && half <= 0.8 && fleet.weight(1) >= 0.8,
			"%v after 15 s, %v after 35 s", half, fleet.weight(1))
	})
	t.Run("is as old as its start, not as the balancer", func(t *testing.T) {
		// On sockets, balancers restarted amid a release took replicas of three and of ten seconds for equal: the old ones
		// idled.
		fleet := startWarmFleet(t, 8, nil)
		fleet.start(10*model.Second, 1)
		fleet.start(model.Second, 2)
		fleet.flush()
		older, newer := fleet.weight(1), fleet.weight(2)
		require(t, math.Abs(older-0.5) <= 0.01 && math.Abs(newer-0.275) <= 0.01,
			"weights %v at 10 s, %v at 1 s", older, newer)
	})
}

func TestWarmingUpReplicaIsWithdrawnFromAnOverload(t *testing.T) {
	for name, avoids := range map[string]bool{
		"where proxies avoid what fails": true,
		"not where they avoid nothing":   false,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startWarmFleet(t, 8, func(config *model.Config) { config.ProxiesAvoidFailing = avoids })
			fleet.start(1, 1)
			fleet.flush()
			fleet.run(4, fleet.reportsOf(2, 8, 10, 7, 400*model.Millisecond))
			require(t, fleet.isWithdrawn(1) == avoids,
				"withdrawn %v: proxies turn from full replicas to the one that warms up", fleet.isWithdrawn(1))
		})
	}
}

// Found by the search for broken invariants (h27f5e4, h463155): what a replica of some seconds can do is exceeded by a
// surge that a nearly warm one stands, so the newer it is the earlier it is withdrawn.
func TestNewerReplicaIsWithdrawnEarlier(t *testing.T) {
	for age, withdrawn := range map[model.Microseconds]bool{model.Second: true, 11 * model.Second: false} {
		fleet := startWarmFleet(t, 8, nil)
		fleet.start(age, 1)
		fleet.flush()
		fleet.run(4, fleet.reportsOf(2, 8, 100, 68, 100*model.Millisecond))
		require(t, fleet.isWithdrawn(1) == withdrawn,
			"started %d us ago, withdrawn %v, with two attempts in three unanswered", age, fleet.isWithdrawn(1))
	}
}

// Found by the search for broken invariants: most replicas refused connections, and all proxies turned to the one just
// started.
func TestStartedReplicaIsWithdrawnFromAnErringTable(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	fleet.run(3, fleet.reportsOf(2, 8, 10, 8, 100*model.Millisecond))
	fleet.start(1, 1)
	fleet.flush()
	fleet.requireWithdrawn(t, 1, "all proxies would turn to it")
}

func TestStartedReplicaIsWithdrawnFromATableWithOneProxy(t *testing.T) {
	// Found by the search for broken invariants: a table's one heavy proxy turned to its new replicas within a second.
	fleet := startFleet(t, 8, nil)
	fleet.disconnect(2)
	fleet.run(5, fleet.goodReports(8))
	fleet.start(1, 1)
	fleet.flush()
	fleet.requireWithdrawn(t, 1, "a replica that warms up stands in the table of one proxy")
	// Found by that search too: proxies were not notified of a withdrawal sent before its replica got the entry.
	fleet.start(1, 9)
	fleet.run(2, fleet.goodReports(8))
	require(t, fleet.weight(9) == 0, "a new entry with weight %v for what is withdrawn", fleet.weight(9))
}

func TestManyStartedReplicasInAnOverload(t *testing.T) {
	for name, known := range map[string]bool{
		// Found by an incident: a fleet that doubled in an overload had its new replicas withdrawn, and stayed overloaded.
		"new ones are used": false,
		// Found by an incident: half of the fleet restarted at once, and one after the other was overloaded.
		"restarted ones are withdrawn": true,
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startFleet(t, 8, nil)
			added := []int{9, 10, 11, 12, 13, 14, 15, 16}
			if known {
				fleet.change(model.EndpointReady, 0, added...)
			}
			fleet.run(5, fleet.goodReports(16))
			fleet.start(model.Second, added...)
			fleet.run(5, fleet.reportsOf(1, 8, 10, 7, 900*model.Millisecond))
			require(t, fleet.isWithdrawn(9) == known && fleet.isWithdrawn(16) == known, "withdrawn %v", fleet.withdrawn)
		})
	}
}

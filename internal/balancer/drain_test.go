package balancer

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

func TestReplicaIsWithdrawnWhenUnlistedAndReadmittedWhenListed(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	t.Run("withdrawn at once when an update removes it from the list", func(t *testing.T) {
		fleet.remove(2)
		fleet.requireWithdrawn(t, 2, "it was removed from the endpoint list")
	})
	t.Run("withdrawn when a full list does not name it", func(t *testing.T) {
		fleet.updateEndpoints(model.FullList, readyEndpoint(1, 0), readyEndpoint(4, 0))
		fleet.flush()
		require(t, fleet.isWithdrawn(3) && !fleet.isWithdrawn(4),
			"withdrawn %v, want replica 3 and not replica 4", fleet.withdrawn)
	})
	t.Run("not withdrawn when the poll fails, and the list is subscribed to again", func(t *testing.T) {
		before := fleet.subscriptions
		fleet.updateEndpoints(model.PollFailed)
		fleet.advance(1, nil)
		require(t, fleet.subscriptions == before+1 && !fleet.isWithdrawn(4),
			"%d new subscriptions, want 1; withdrawn %v", fleet.subscriptions-before, fleet.withdrawn)
	})
	t.Run("at a quarter of its weight when it returns at the same address", func(t *testing.T) {
		fleet.listAsStarted(model.Second, 2)
		fleet.advance(2, nil)
		require(t, !fleet.isWithdrawn(2) && fleet.weight(2) <= 0.4*fleet.weight(1),
			"replica 2: withdrawn %v, weight %v, want at most 0.4 of that of replica 1", fleet.isWithdrawn(2), fleet.weight(2))
	})
}

func TestWithdrawalIsRepeatedForAProxyThatConnectsInSafeMode(t *testing.T) {
	fleet := startFleet(t, 8, nil)
	fleet.remove(2)
	delete(fleet.withdrawn, replicaID(2))
	fleet.balancer.window.unackedEntries += 5000
	fleet.connect(3)
	fleet.advance(1, nil)
	fleet.requireNotWithdrawn(t, 2, "the send queue is full")
	fleet.balancer.window.unackedEntries -= 5000
	fleet.advance(1, nil)
	fleet.requireWithdrawn(t, 2, "the proxy that connected has not been notified")
}

func TestEjectionEndsWhenNoOtherReplicaIsLeft(t *testing.T) {
	fleet := startWarmFleet(t, 3, nil)
	fleet.advance(4, func() {
		fleet.report(1, 10, 0, 100000)
		fleet.report(2, 10, 0, 100000)
		fleet.report(3, 10, 10, 0)
	})
	fleet.requireWithdrawn(t, 3, "all attempts at it fail")
	fleet.remove(1, 2)
	fleet.advance(2, nil)
	fleet.requireNotWithdrawn(t, 3, "it is the last replica")
}

// Proxies of a failed balancer connect while replicas are lost one after the other. If each message has one
// withdrawal, the overhead keeps the queue full for seconds, and binds take the remaining capacity (scenario
// hc2f0b0).
func TestWithdrawalsAreSentTogetherWhenTheQueueWasFull(t *testing.T) {
	fleet := startWarmFleet(t, 12, func(config *model.Config) { config.QueueLimit = 1000 })
	fleet.connectMore(40)
	fleet.acknowledges = false
	fleet.messageTimes = nil
	for n := 1; n <= 7; n++ {
		fleet.drain(n)
	}
	require(t, fleet.isWithdrawn(1) && fleet.isWithdrawn(2) && !fleet.isWithdrawn(3),
		"the queue has capacity for two withdrawals; withdrawn: %v, want replicas 1 and 2, not 3", fleet.withdrawn)
	binds := len(fleet.binds)
	fleet.acknowledge(fleet.balancer.window.sequence - 1)
	fleet.advance(1, nil)
	require(t, !fleet.isWithdrawn(3) && len(fleet.binds) <= binds,
		"with capacity for one withdrawal: withdrawn %v and %d new binds, want none of either",
		fleet.withdrawn, len(fleet.binds)-binds)
	before := len(fleet.messageTimes)
	fleet.acknowledge(fleet.balancer.window.sequence)
	fleet.advance(1, nil)
	for n := 3; n <= 7; n++ {
		fleet.requireWithdrawn(t, n, "the queue has capacity for all withdrawals")
	}
	require(t, len(fleet.messageTimes) == before+1,
		"the withdrawals are sent in %d messages, want 1", len(fleet.messageTimes)-before)
}

// More replicas are withdrawn than fit one message while many proxies connect. If the small last message is sent
// first, it repeatedly takes the capacity that the full first message waits for, which delays withdrawals by four
// seconds (scenario hf41973).
func TestSmallWithdrawalMessageWaitsForTheLargeMessage(t *testing.T) {
	// The overhead of a message is 9 entries, so it contains up to 9 withdrawals. With the last drain, 14 withdrawals
	// are repeated, in messages of 9 and 5.
	const (
		drained   = 13
		remaining = 100 // entries that stay unacknowledged for longer
	)
	fleet := startWarmFleet(t, 30, func(config *model.Config) { config.QueueLimit = 850 })
	for n := 1; n <= drained; n++ {
		fleet.drain(n)
	}
	fleet.advance(20, fleet.goodReports(30))
	for n := 1; n <= drained; n++ {
		fleet.requireWithdrawn(t, n, "it is draining")
	}
	fleet.acknowledges = false
	fleet.updates = nil
	fleet.connectMore(40)
	fleet.drain(drained + 1)
	fleet.advance(1, nil)
	fleet.updates = nil
	fleet.acknowledge(fleet.balancer.window.sequence)
	fleet.balancer.window.unackedEntries += remaining
	fleet.advance(1, nil) // capacity for messages to 42 proxies with 5 withdrawals each, not with 9
	for _, update := range fleet.updates {
		require(t, !strings.HasSuffix(update, "true"),
			"updates sent while the large message waits: %v, want no withdrawal", fleet.updates)
	}
	fleet.balancer.window.unackedEntries -= remaining
	fleet.advance(1, nil)
	withdrawals := 0
	for _, update := range fleet.updates {
		if strings.HasSuffix(update, "true") {
			withdrawals++
		}
	}
	require(t, withdrawals == fleet.balancer.window.messageCost, "%d withdrawals are sent once the large message fits, "+
		"want %d", withdrawals, fleet.balancer.window.messageCost)
}

// Proxies that connect between two ticks are notified of earlier withdrawals together at the next tick. The
// withdrawals are not sent to every proxy again for each proxy that connects.
func TestProxiesConnectingBetweenTicksAreNotifiedTogether(t *testing.T) {
	fleet := startFleet(t, 12, func(config *model.Config) { config.QueueLimit = 100000 })
	fleet.listAsStarted(0, 1) // replica 1 warms up, so it is withdrawn in safe mode
	fleet.drain(2)
	require(t, fleet.isWithdrawn(1) && fleet.isWithdrawn(2), "withdrawn: %v, want replicas 1 and 2", fleet.withdrawn)
	fleet.updates = nil
	for p := range model.ProxyID(10) {
		fleet.connect(p + 3)
		fleet.flush()
	}
	require(t, len(fleet.updates) == 0, "updates sent between ticks: %v, want none", fleet.updates)
	fleet.advance(1, nil)
	counts := map[string]int{}
	for _, update := range fleet.updates {
		counts[update]++
	}
	first, second := withdrawalText(replicaID(1), true), withdrawalText(replicaID(2), true)
	require(t, counts[first] == 1 && counts[second] == 1, "updates at the tick: %v, want each withdrawal once", counts)
}

// If an operation stays in the zone, ejections of replicas end before the zone has no replica left.
func TestEjectionsEndWhenAZoneWithZoneLocalOperationsHasNoReplicaLeft(t *testing.T) {
	fleet := startFleet(t, 2, func(config *model.Config) {
		config.ZoneLocalOperations = 2
		config.MinReplicaConnections = 200
		config.ProxyCount = 2
	})
	for n := 3; n <= 12; n++ {
		fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(n, 1))
	}
	fleet.advance(12, fleet.goodReports(12))
	fleet.advance(10, func() {
		fleet.reportsOf(1, 2, 10, 10, 0)()
		fleet.reportsOf(3, 12, 10, 0, 100*model.Millisecond)()
	})
	require(t, !fleet.isWithdrawn(1) || !fleet.isWithdrawn(2), "both replicas of zone 0 are withdrawn, want at most one")
}

package balancer

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

func TestReplicaLeavesAndReturns(t *testing.T) {
	fleet := startWarmFleet(t, 8, nil)
	t.Run("withdrawn at once when removed from the list", func(t *testing.T) {
		fleet.remove(2)
		fleet.requireWithdrawn(t, 2, "it is gone")
	})
	t.Run("withdrawn when a full list lacks it", func(t *testing.T) {
		fleet.updateEndpoints(model.FullList, readyEndpoint(1, 0), readyEndpoint(4, 0))
		fleet.flush()
		require(t, fleet.isWithdrawn(3) && !fleet.isWithdrawn(4), "withdrawn %v", fleet.withdrawn)
	})
	t.Run("kept when the poll fails, and the list subscribed to again", func(t *testing.T) {
		before := fleet.subscribed
		fleet.updateEndpoints(model.PollFailed)
		fleet.run(1, nil)
		require(t, fleet.subscribed == before+1 && !fleet.isWithdrawn(4),
			"subscribed %d times, withdrawn %v", fleet.subscribed-before, fleet.withdrawn)
	})
	t.Run("at a quarter of its weight when it returns under its old address", func(t *testing.T) {
		fleet.start(model.Second, 2)
		fleet.run(2, nil)
		require(t, !fleet.isWithdrawn(2) && fleet.weight(2) <= 0.4*fleet.weight(1),
			"withdrawn %v at %v", fleet.isWithdrawn(2), fleet.weight(2))
	})
}

func TestWithdrawalIsRepeatedForAProxyThatConnectsInSafeMode(t *testing.T) {
	fleet := startFleet(t, 8, nil)
	fleet.remove(2)
	delete(fleet.withdrawn, replicaID(2))
	fleet.balancer.window.unackedEntries += 5000
	fleet.connect(3)
	fleet.run(1, nil)
	fleet.requireNotWithdrawn(t, 2, "the queue is full")
	fleet.balancer.window.unackedEntries -= 5000
	fleet.run(1, nil)
	fleet.requireWithdrawn(t, 2, "the proxy that connected was never notified")
}

func TestEjectedReplicaReturnsIfNoneIsLeft(t *testing.T) {
	fleet := startWarmFleet(t, 3, nil)
	fleet.run(4, func() {
		fleet.report(1, 10, 0, 100000)
		fleet.report(2, 10, 0, 100000)
		fleet.report(3, 10, 10, 0)
	})
	fleet.requireWithdrawn(t, 3, "all attempts at it err")
	fleet.remove(1, 2)
	fleet.run(2, nil)
	fleet.requireNotWithdrawn(t, 3, "it is the last one")
}

// Proxies come over from a lost balancer while replicas are lost one after the other (hc2f0b0): the overhead of one
// withdrawal a message kept the queue full for seconds, and binds took the capacity that there was.
func TestWithdrawalsLeaveTogether(t *testing.T) {
	fleet := startWarmFleet(t, 12, func(config *model.Config) { config.QueueLimit = 1000 })
	fleet.connectMore(40)
	fleet.acks = false
	fleet.messageTimes = nil
	for n := 1; n <= 7; n++ {
		fleet.drain(n)
	}
	require(t, fleet.isWithdrawn(1) && fleet.isWithdrawn(2) && !fleet.isWithdrawn(3),
		"the queue has capacity for two only: %v", fleet.withdrawn)
	binds := len(fleet.binds)
	fleet.acknowledge(fleet.balancer.window.sequence - 1)
	fleet.run(1, nil)
	require(t, !fleet.isWithdrawn(3) && len(fleet.binds) <= binds,
		"with capacity for one only something is sent: %v, %d binds", fleet.withdrawn, len(fleet.binds)-binds)
	before := len(fleet.messageTimes)
	fleet.acknowledge(fleet.balancer.window.sequence)
	fleet.run(1, nil)
	for n := 3; n <= 7; n++ {
		fleet.requireWithdrawn(t, n, "there is capacity for all")
	}
	require(t, len(fleet.messageTimes) == before+1, "they leave in %d messages", len(fleet.messageTimes)-before)
}

// More replicas are withdrawn than go into one message, and many proxies come over (hf41973): the small rest took the
// capacity that the first chunk of what they must be notified of waited for, over and over, for four seconds.
func TestSmallChunkOfWithdrawalsWaitsForTheLarge(t *testing.T) {
	const lost = 13 // a message costs 8 and takes as many: chunks of 8 and 5
	fleet := startWarmFleet(t, 30, func(config *model.Config) { config.QueueLimit = 772 })
	for n := 1; n <= lost; n++ {
		fleet.drain(n)
	}
	fleet.run(20, fleet.goodReports(30))
	for n := 1; n <= lost; n++ {
		fleet.requireWithdrawn(t, n, "it drains")
	}
	fleet.acks = false
	fleet.updates = nil
	fleet.connectMore(40)
	fleet.drain(lost + 1)
	fleet.run(1, nil)
	fleet.updates = nil
	fleet.acknowledge(fleet.balancer.window.sequence)
	fleet.run(1, nil) // capacity for the small chunk: messages to 43 and five entries each, not eight
	for _, update := range fleet.updates {
		require(t, !strings.HasSuffix(update, "true"), "while the large chunk waits %v is sent", fleet.updates)
	}
}

// Proxies that connect between two ticks are notified of what was withdrawn before with the next tick, all together:
// not everybody again for each of them.
func TestProxiesThatConnectTogetherAreNotifiedTogether(t *testing.T) {
	fleet := startFleet(t, 12, func(config *model.Config) { config.QueueLimit = 100000 })
	fleet.start(0, 1) // it warms up, so it is withdrawn in safe mode
	fleet.drain(2)
	require(t, fleet.isWithdrawn(1) && fleet.isWithdrawn(2), "withdrawn: %v", fleet.withdrawn)
	fleet.updates = nil
	for p := range model.ProxyID(10) {
		fleet.connect(p + 3)
		fleet.flush()
	}
	require(t, len(fleet.updates) == 0, "between ticks: %v", fleet.updates)
	fleet.run(1, nil)
	counts := map[string]int{}
	for _, update := range fleet.updates {
		counts[update]++
	}
	first, second := withdrawalText(replicaID(1), true), withdrawalText(replicaID(2), true)
	require(t, counts[first] == 1 && counts[second] == 1, "on the tick: %v", counts)
}

// Where an operation stays in the zone, the zone is not left without a replica while ejected ones could return.
func TestZoneOfZoneLocalOperationsKeepsAReplica(t *testing.T) {
	fleet := startFleet(t, 2, func(config *model.Config) {
		config.ZoneLocalOperations = 2
		config.MinReplicaConnections = 200
		config.ProxyCount = 2
	})
	for n := 3; n <= 12; n++ {
		fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(n, 1))
	}
	fleet.run(12, fleet.goodReports(12))
	fleet.run(10, func() {
		fleet.reportsOf(1, 2, 10, 10, 0)()
		fleet.reportsOf(3, 12, 10, 0, 100*model.Millisecond)()
	})
	require(t, !fleet.isWithdrawn(1) || !fleet.isWithdrawn(2), "both replicas of the zone are withdrawn")
}

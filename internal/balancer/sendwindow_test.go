package balancer

import (
	"testing"

	"peppervale/internal/model"
)

func TestSendWindowLimitsHold(t *testing.T) {
	t.Run("without acknowledgements no more than the queue limit is sent", func(t *testing.T) {
		fleet := startFleet(t, 8, func(config *model.Config) { config.QueueLimit = 300 })
		fleet.acknowledges = false
		fleet.advance(12, fleet.goodReports(8))
		for k := range 8 {
			draining := model.Endpoint{ID: replicaID(k + 1), Status: model.EndpointDraining}
			fleet.updateEndpoints(model.ChangedEntries, draining, readyEndpoint(20+k, 0))
			fleet.advance(1, fleet.goodReports(8))
		}
		fleet.requireUnacked(t, 300, "after eight drains")
	})
	t.Run("messages to a proxy stay within the message limit when weights are reduced at once", func(t *testing.T) {
		// Each start of a replica reduces its weight, which is sent at once; without the limit, 13 messages are sent where
		// 12 are allowed.
		fleet := startWarmFleet(t, 8, func(config *model.Config) {
			config.MessageLimit = 12
			config.MessageWindow = 10 * model.Second
		})
		for k := range 20 {
			fleet.listAsStarted(model.Second, 1+k%8)
			fleet.advance(1, fleet.goodReports(8))
		}
		for k := 12; k < len(fleet.messageTimes); k++ {
			span := fleet.messageTimes[k] - fleet.messageTimes[k-12]
			require(t, span >= 10*model.Second, "13 messages within %v us, want at most 12 in 10 s", span)
		}
	})
	t.Run("a broken stream releases its unacknowledged entries", func(t *testing.T) {
		fleet := startFleet(t, 8, nil)
		fleet.acknowledges = false
		fleet.advance(12, fleet.goodReports(8))
		fleet.disconnect(1)
		fleet.disconnect(2)
		fleet.requireUnacked(t, 0, "with no proxy connected")
	})
	t.Run("the limits hold when hundreds of proxies connect and disconnect in one step", func(t *testing.T) {
		fleet := startFleet(t, 200, func(config *model.Config) {
			config.QueueLimit = 900
			config.MessageLimit = 3
			config.MessageWindow = 10 * model.Second
		})
		fleet.acknowledges = false
		fleet.connectMore(398)
		fleet.remove(1, 2, 3)
		fleet.advance(6, fleet.goodReports(200))
		fleet.requireUnacked(t, 900, "with 400 proxies")
		for p := 1; p <= 400; p++ {
			fleet.disconnect(model.ProxyID(p))
		}
		fleet.advance(2, nil)
		fleet.requireUnacked(t, 0, "with no proxy connected")
	})
}

func TestSendWindowKeepsCapacityWhenAcknowledgementsAreMissing(t *testing.T) {
	t.Run("entries unacknowledged for seconds leave capacity for drains and none for weights", func(t *testing.T) {
		// Weights sent while the network is slow would delay withdrawals of draining replicas by 15 s.
		fleet := startWarmFleet(t, 8, nil)
		fleet.acknowledges = false
		fleet.remove(1)
		fleet.balancer.proxies[0].unacked[0].entries += 1000
		fleet.balancer.window.unackedEntries += 1000
		fleet.advance(4, nil)
		before := len(fleet.updates)
		fleet.advance(2, func() { fleet.report(2, 10, 0, 900*model.Millisecond) })
		require(t, len(fleet.updates) == before, "updates sent: %v, want none", fleet.updates[before:])
		fleet.remove(3)
		fleet.requireWithdrawn(t, 3, "withdrawals must not wait for the unacknowledged entries")
	})
	t.Run("entries for a withdrawal are reserved only for proxies with an entry of the replica", func(t *testing.T) {
		// Entries reserved for proxies that get no message would never be acknowledged.
		fleet := startWarmFleet(t, 8, nil)
		fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(20, 0))
		fleet.remove(20)
		fleet.requireUnacked(t, 0, "after the withdrawal of a replica without entries")
	})
}

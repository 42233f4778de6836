package balancer

import (
	"testing"

	"peppervale/internal/model"
)

func TestSendWindow(t *testing.T) {
	t.Run("a channel that acknowledges nothing gets no more than the queue limit", func(t *testing.T) {
		fleet := startFleet(t, 8, func(config *model.Config) { config.QueueLimit = 300 })
		fleet.acks = false
		fleet.run(12, fleet.goodReports(8))
		for k := range 8 {
			draining := model.Endpoint{ID: replicaID(k + 1), Status: model.EndpointDraining}
			fleet.updateEndpoints(model.ChangedEntries, draining, readyEndpoint(20+k, 0))
			fleet.run(1, fleet.goodReports(8))
		}
		fleet.requireUnacked(t, 300, "after eight drains")
	})
	t.Run("messages to a proxy stay within the limit, cut weights too", func(t *testing.T) {
		// Found by an incident: list changes every few hundred milliseconds wrote 13 messages where 12 were allowed.
		fleet := startWarmFleet(t, 8, func(config *model.Config) {
			config.MessageLimit = 12
			config.MessageWindow = 10 * model.Second
		})
		for k := range 20 {
			fleet.start(model.Second, 1+k%8)
			fleet.run(1, fleet.goodReports(8))
		}
		for k := 12; k < len(fleet.messageTimes); k++ {
			span := fleet.messageTimes[k] - fleet.messageTimes[k-12]
			require(t, span >= 10*model.Second, "13 messages within %v us", span)
		}
	})
	t.Run("a broken stream frees what it had not acknowledged", func(t *testing.T) {
		fleet := startFleet(t, 8, nil)
		fleet.acks = false
		fleet.run(12, fleet.goodReports(8))
		fleet.disconnect(1)
		fleet.disconnect(2)
		fleet.requireUnacked(t, 0, "by nobody")
	})
	t.Run("hundreds connect and disconnect in one step, messages limited", func(t *testing.T) {
		fleet := startFleet(t, 200, func(config *model.Config) {
			config.QueueLimit = 900
			config.MessageLimit = 3
			config.MessageWindow = 10 * model.Second
		})
		fleet.acks = false
		fleet.connectMore(398)
		fleet.remove(1, 2, 3)
		fleet.run(6, fleet.goodReports(200))
		fleet.requireUnacked(t, 900, "with 400 proxies")
		for p := 1; p <= 400; p++ {
			fleet.disconnect(model.ProxyID(p))
		}
		fleet.run(2, nil)
		fleet.requireUnacked(t, 0, "by nobody")
	})
}

func TestSlowChannel(t *testing.T) {
	t.Run("long-unacknowledged entries leave capacity for drains and none for weights", func(t *testing.T) {
		// Found by the search for broken invariants: entries written while the channel was slow delayed drains by 15 s.
		fleet := startWarmFleet(t, 8, nil)
		fleet.acks = false
		fleet.remove(1)
		fleet.balancer.proxies[0].unacked[0].entries += 1000
		fleet.balancer.window.unackedEntries += 1000
		fleet.run(4, nil)
		before := len(fleet.updates)
		fleet.run(2, func() { fleet.report(2, 10, 0, 900*model.Millisecond) })
		require(t, len(fleet.updates) == before, "updates %v", fleet.updates[before:])
		fleet.remove(3)
		fleet.requireWithdrawn(t, 3, "drains need not wait behind them")
	})
	t.Run("only proxies with an entry are charged for its withdrawal", func(t *testing.T) {
		// Found with it: entries charged to proxies that no message reached were never acknowledged.
		fleet := startWarmFleet(t, 8, nil)
		fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(20, 0))
		fleet.remove(20)
		fleet.requireUnacked(t, 0, "though nobody is to acknowledge any")
	})
}

package balancer

import (
	"testing"

	"peppervale/internal/model"
)

func TestProxyIsBoundInSafeModeIfItsStandingTableMayBeEmpty(t *testing.T) {
	fleet := startFleet(t, 8, nil)
	var drains []model.Endpoint
	for k := 1; k <= 3; k++ {
		drains = append(drains, model.Endpoint{ID: replicaID(k), Status: model.EndpointDraining})
	}
	fleet.updateEndpoints(model.ChangedEntries, drains...)
	fleet.flush()
	fleet.requireBound(t, 0, "with three replicas withdrawn from standing tables of four")
	fleet.drain(4)
	require(t, len(fleet.binds) == 2 && fleet.weight(5) > 0,
		"with all four replicas withdrawn: binds %v, want one of each proxy; weights %v, want replica 5 above 0",
		fleet.binds, fleet.weights)
}

// If few proxies are unbound, they are bound, and the bind contains the withdrawals. The withdrawals are not sent to
// every proxy again.
func TestFewUnboundProxiesAreBoundBeforeWithdrawalsRepeat(t *testing.T) {
	fleet := startWarmFleet(t, 12, func(config *model.Config) { config.QueueLimit = 100000 })
	fleet.connectMore(40)
	fleet.advance(3, fleet.goodReports(12))
	fleet.drain(1)
	fleet.drain(2)
	fleet.connect(50)
	fleet.updates = nil
	fleet.advance(1, fleet.goodReports(12))
	require(t, fleet.binds[50] == 1, "the new proxy 50 is not bound")
	for _, update := range fleet.updates {
		require(t, update != withdrawalText(replicaID(1), true), "an earlier withdrawal is sent to every proxy again")
	}
}

// If some operations stay in the zone of the proxy, they have tables with replicas of that zone only, and the other
// operations have tables of their own. If all operations stay in the zone, or none, a proxy uses one table.
func TestZoneLocalOperationsUseTablesOfTheirZone(t *testing.T) {
	for zoneLocal, bindsOfAProxy := range map[uint16][]uint16{0: {0}, 2: {1, 2}, 3: {0}} {
		fleet := startFleet(t, 4, func(config *model.Config) {
			config.ZoneLocalOperations = zoneLocal
			config.MinReplicaConnections = 200
			config.ProxyCount = 2
		})
		for n := 5; n <= 8; n++ {
			fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(n, 1))
		}
		fleet.advance(12, fleet.goodReports(8))
		for _, p := range fleet.connected {
			for _, operations := range bindsOfAProxy {
				fleet.requireTableOf(t, p, operations, zoneLocal)
			}
		}
		require(t, fleet.binds[1] == len(bindsOfAProxy),
			"zone-local %b: proxy 1 has %d binds, want one for each of its tables", zoneLocal, fleet.binds[1])
		// A proxy is notified of a drain once, even if both of its tables have an entry of the replica.
		before := fleet.balancer.window.unackedEntries
		fleet.acknowledges = false
		fleet.drain(1)
		require(t, fleet.isWithdrawn(1), "zone-local %b: replica 1 is not withdrawn", zoneLocal)
		reserved := fleet.balancer.window.unackedEntries - before
		require(t, reserved <= len(fleet.connected)*(6+1+2+1),
			"zone-local %b: %d entries reserved for one drain, want at most 10 for each proxy", zoneLocal, reserved)
	}
}

// requireTableOf checks the table that a proxy of zone 0 uses for some operations: it has all four replicas of the
// zone, and replicas of other zones if and only if the operations may leave the zone.
func (f *fakeFleet) requireTableOf(t *testing.T, p model.ProxyID, operations, zoneLocal uint16) {
	t.Helper()
	table, bound := f.boundTables[bindKey{p, operations}]
	require(t, bound,
		"zone-local %b: proxy %d is not bound for operations %b: %v", zoneLocal, p, operations, f.boundTables)
	sameZone, crossZone := 0, 0
	for n := 1; n <= 8; n++ {
		if f.tableWeights[table][replicaID(n)] <= 0 {
			continue
		}
		if n <= 4 {
			sameZone++
		} else {
			crossZone++
		}
	}
	stays := zoneLocal != 0 && (operations == 0 || operations&zoneLocal != 0)
	require(t, sameZone == 4 && stays == (crossZone == 0),
		"zone-local %b: table for operations %b has %d entries of its zone, want 4, and %d of other zones",
		zoneLocal, operations, sameZone, crossZone)
}

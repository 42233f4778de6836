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
	fleet.requireBound(t, 0, "with three withdrawn of standing tables of four")
	fleet.drain(4)
	require(t, len(fleet.binds) == 2 && fleet.weight(5) > 0, "bound %v on %v", fleet.binds, fleet.weights)
}

// A few unbound proxies are bound, and a bind lists all that is withdrawn, before everybody is notified of all again.
func TestFewNewProxiesAreBoundFirst(t *testing.T) {
	fleet := startWarmFleet(t, 12, func(config *model.Config) { config.QueueLimit = 100000 })
	fleet.connectMore(40)
	fleet.run(3, fleet.goodReports(12))
	fleet.drain(1)
	fleet.drain(2)
	fleet.connect(50)
	fleet.updates = nil
	fleet.run(1, fleet.goodReports(12))
	require(t, fleet.binds[50] == 1, "the new proxy is not bound")
	for _, update := range fleet.updates {
		require(t, update != withdrawalText(replicaID(1), true), "all are notified of an old withdrawal again")
	}
}

// Operations that stay in the proxy's zone have tables of its replicas only; the others have their own. Where all
// operations stay there, or none, there is one table.
func TestTablesOfZoneLocalOperations(t *testing.T) {
	for zoneLocal, bindsOfAProxy := range map[uint16][]uint16{0: {0}, 2: {1, 2}, 3: {0}} {
		fleet := startFleet(t, 4, func(config *model.Config) {
			config.ZoneLocalOperations = zoneLocal
			config.MinReplicaConnections = 200
			config.ProxyCount = 2
		})
		for n := 5; n <= 8; n++ {
			fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(n, 1))
		}
		fleet.run(12, fleet.goodReports(8))
		for _, p := range fleet.connected {
			for _, operations := range bindsOfAProxy {
				fleet.requireTableOf(t, p, operations, zoneLocal)
			}
		}
		require(t, fleet.binds[1] == len(bindsOfAProxy), "zone-local %b: %d binds", zoneLocal, fleet.binds[1])
		// A proxy is notified of a drain once, whichever of its tables has the entry.
		before := fleet.balancer.window.unackedEntries
		fleet.acks = false
		fleet.drain(1)
		require(t, fleet.isWithdrawn(1), "zone-local %b: not withdrawn", zoneLocal)
		charged := fleet.balancer.window.unackedEntries - before
		require(t, charged <= len(fleet.connected)*(6+1+2+1),
			"zone-local %b: %d entries are charged for one drain", zoneLocal, charged)
	}
}

// requireTableOf checks the table that a proxy of zone 0 uses for some operations: all four replicas of the zone, and
// others only if the operations may leave it.
func (f *fakeFleet) requireTableOf(t *testing.T, p model.ProxyID, operations, zoneLocal uint16) {
	t.Helper()
	table, bound := f.boundTables[bindKey{p, operations}]
	require(t, bound, "zone-local %b: proxy %d is not bound for %b: %v", zoneLocal, p, operations, f.boundTables)
	sameZone, others := 0, 0
	for n := 1; n <= 8; n++ {
		if f.tableWeights[table][replicaID(n)] <= 0 {
			continue
		}
		if n <= 4 {
			sameZone++
		} else {
			others++
		}
	}
	stays := zoneLocal != 0 && (operations == 0 || operations&zoneLocal != 0)
	require(t, sameZone == 4 && stays == (others == 0),
		"zone-local %b: table for %b has %d entries of the zone, %d others", zoneLocal, operations, sameZone, others)
}

package balancer

import (
	"slices"
	"testing"

	"peppervale/internal/model"
)

// A wide fleet has more replicas than a table has entries.
const (
	wideFleetReplicas = 48
	wideFleetProxies  = 30
)

func startWideFleet(t *testing.T) *fakeFleet {
	t.Helper()
	fleet := startFleet(t, wideFleetReplicas, func(config *model.Config) {
		config.ProxyCount = 100
		config.MinReplicaConnections = 100
	})
	fleet.connectMore(wideFleetProxies - 2)
	fleet.advance(5, fleet.goodReports(wideFleetReplicas))
	return fleet
}

func TestLargeZoneHasSeveralTablesAndEachReplicaIsInOne(t *testing.T) {
	fleet := startWideFleet(t)
	tables := fleet.balancer.subsets.tables
	placed := map[*replica]bool{}
	for _, table := range tables {
		require(t, len(table.entries) <= 24 && len(table.users) != 0,
			"table has %d entries, want at most 24, and %d users, want at least one", len(table.entries), len(table.users))
		for _, e := range table.entries {
			placed[e.replica] = true
		}
	}
	require(t, len(tables) >= 2 && len(placed) == wideFleetReplicas,
		"%d tables, want at least 2; %d replicas have an entry, want all 48", len(tables), len(placed))
}

func TestTableSlowerThanTheFleetGetsMoreEntries(t *testing.T) {
	fleet := startWideFleet(t)
	table := fleet.balancer.subsets.tables[0]
	before := len(table.entries)
	fleet.advance(4, func() {
		for n := 1; n <= wideFleetReplicas; n++ {
			latency := 100 * model.Millisecond
			isOfReplica := func(e *entry) bool { return e.replica.id == replicaID(n) }
			if slices.ContainsFunc(table.entries[:before], isOfReplica) {
				latency = 220 * model.Millisecond
			}
			fleet.report(n, 10, 0, latency)
		}
	})
	require(t, len(table.entries) > before, "table still has %d entries, want more", before)
}

func TestTablesHaveOpenEntriesAfterTheFleetGrowsAndShrinksInOneStep(t *testing.T) {
	fleet := startWideFleet(t)
	var added []model.Endpoint
	for k := range 144 {
		added = append(added, model.Endpoint{
			ID: replicaID(wideFleetReplicas + 1 + k), Status: model.EndpointReady, StartedAt: fleet.now - model.Second,
		})
	}
	fleet.updateEndpoints(model.ChangedEntries, added...)
	fleet.advance(6, fleet.goodReports(192))
	require(t, fleet.weight(150)+fleet.weight(151)+fleet.weight(152) != 0,
		"new replicas 150 to 152 have no weight in table 0, want at least one with a weight")
	fleet.updateEndpoints(model.FullList, added[:3]...)
	fleet.advance(2, fleet.goodReports(52))
	for _, table := range fleet.balancer.subsets.tables {
		require(t, table.openEntries() >= 3, "table has %d open entries, want at least 3", table.openEntries())
	}
}

// The preference for the own zone must not send two thirds of the traffic of a zone to its replicas that warm up.
func TestZoneThatWarmsUpGetsLessWeightThanOtherZones(t *testing.T) {
	fleet := startFleet(t, 24, func(config *model.Config) { config.ProxiesAvoidFailing = false })
	var endpoints []model.Endpoint
	for n := 1; n <= 24; n++ {
		endpoint := readyEndpoint(n, min(n/6, 1))
		if n < 6 {
			endpoint.StartedAt = fleet.now
		}
		endpoints = append(endpoints, endpoint)
	}
	fleet.updateEndpoints(model.FullList, endpoints...)
	fleet.advance(5, fleet.goodReports(24))
	require(t, fleet.weight(9) >= 2.5*fleet.weight(2),
		"weights: other zone %v, warming up %v, want a ratio of at least 2.5", fleet.weight(9), fleet.weight(2))
}

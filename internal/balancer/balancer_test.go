package balancer

import (
	"math"
	"reflect"
	"testing"

	"peppervale/internal/model"
)

// contradictoryReports returns load reports with figures that contradict each other, or with an unknown zone, an
// unknown replica or a reading that is not finite. The last report is valid.
func contradictoryReports() []model.LoadReport {
	return []model.LoadReport{
		{Replica: replicaID(1), Attempts: 5},
		{Replica: replicaID(1), Attempts: 5, Window: -1},
		{Replica: replicaID(1), Attempts: 2, Errors: 5, Window: 1},
		{Replica: replicaID(1), Attempts: -2, Window: 1},
		{Replica: replicaID(1), Attempts: 2, Errors: -1, Window: 1},
		{Replica: replicaID(1), Attempts: 2, MeanLatency: -1, Window: 1},
		{Replica: replicaID(1), Zone: 9, Attempts: 2, Window: 1},
		{Replica: replicaID(99), Attempts: 2, Window: 1},
		{Replica: replicaID(1), Attempts: 2, Window: 1, Readings: []float64{math.NaN()}},
		{Replica: replicaID(1), Attempts: 2, Window: 1, Readings: []float64{math.Inf(1)}},
		{Replica: replicaID(1), Attempts: 2, Window: 1},
	}
}

func TestWeightsAreFiniteAfterContradictoryEvents(t *testing.T) {
	for name, disturb := range map[string]func(fleet *fakeFleet){
		"no listed replica": func(fleet *fakeFleet) { fleet.updateEndpoints(model.FullList) },
		"every replica draining": func(fleet *fakeFleet) {
			for k := range 6 {
				fleet.drain(k + 1)
			}
		},
		"a zone without replicas and zones that are not configured": func(fleet *fakeFleet) {
			fleet.balancer.ProxyConnected(fleet.now, 8, 1, 10)
			fleet.balancer.ProxyConnected(fleet.now, 9, 77, 10)
			fleet.updateEndpoints(model.ChangedEntries, readyEndpoint(9, 55))
		},
		"contradictory load reports": func(fleet *fakeFleet) {
			for _, report := range contradictoryReports() {
				fleet.balancer.LoadReported(fleet.now, report)
			}
		},
		"unknown proxies and sequence numbers, a second connect": func(fleet *fakeFleet) {
			fleet.disconnect(77)
			fleet.balancer.Acknowledged(fleet.now, 77, 1)
			fleet.balancer.Acknowledged(fleet.now, 1, 60000)
			fleet.connect(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := startWarmFleet(t, 6, reportsUtilization)
			disturb(fleet)
			fleet.advance(5, fleet.goodReports(6))
			for r, weight := range fleet.weights {
				isNumber := !math.IsNaN(weight) && !math.IsInf(weight, 0) && weight >= 0
				require(t, isNumber, "replica %v has weight %v, want a finite number of at least 0", r, weight)
			}
		})
	}
}

func TestSameEventsGiveTheSameUpdates(t *testing.T) {
	var first []string
	for range 5 {
		fleet := startFleet(t, 12, nil)
		fleet.advance(15, fleet.goodReports(12))
		fleet.updateEndpoints(model.FullList, readyEndpoint(3, 0), readyEndpoint(5, 0), readyEndpoint(20, 1))
		fleet.advance(5, fleet.goodReports(5))
		if first == nil {
			first = fleet.updates
		}
		require(t, reflect.DeepEqual(first, fleet.updates), "updates differ between two runs of the same events")
	}
}

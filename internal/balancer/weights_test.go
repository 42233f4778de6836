package balancer

import (
	"testing"

	"peppervale/internal/model"
)

func TestWeightsFollowLatency(t *testing.T) {
	t.Run("follow the speed of a replica in steps of a tenth", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		last := fleet.weight(1)
		for range 20 {
			fleet.advance(1, func() {
				fleet.goodReports(6)()
				fleet.report(1, 10, 0, 600*model.Millisecond)
			})
			next := fleet.weight(1)
			require(t, next >= 0.899*last && next <= 1.101*last, "weight changed from %v to %v in one step", last, next)
			last = next
		}
		require(t, last <= 0.6*fleet.weight(2), "slow replica has weight %v, want at most 0.6 of %v", last, fleet.weight(2))
	})
	t.Run("do not grow without limit when the difference in speed lasts", func(t *testing.T) {
		fleet := startFleet(t, 6, nil)
		fleet.advance(60, func() {
			for n := 1; n <= 6; n++ {
				attempts := 10
				if weight := fleet.weight(n); weight > 0 {
					attempts = int(10*weight + 0.5)
				}
				fleet.report(n, max(attempts, 1), 0, model.Microseconds(90+10*min(n, 2))*model.Millisecond)
			}
		})
		ratio := fleet.weight(1) / fleet.weight(2)
		require(t, ratio <= 1.6, "a tenth more speed gives %v times the weight, want at most 1.6", ratio)
	})
	t.Run("prefer replicas of the own zone, unless they are slower", func(t *testing.T) {
		fleet := startFleet(t, 6, nil)
		var endpoints []model.Endpoint
		for n := 1; n <= 6; n++ {
			endpoints = append(endpoints, readyEndpoint(n, (n-1)/3))
		}
		fleet.updateEndpoints(model.FullList, endpoints...)
		fleet.advance(12, fleet.goodReports(6))
		first := fleet.weight(4)
		fleet.advance(30, func() {
			fleet.reportsOf(1, 3, 10, 0, 200*model.Millisecond)()
			fleet.reportsOf(4, 6, 10, 0, 100*model.Millisecond)()
		})
		require(t, first <= 0.6*fleet.weight(1) && fleet.weight(4) >= 2*first,
			"weight of the other zone is %v with equal latency, want at most 0.6 of the own zone; %v with half, want twice that",
			first, fleet.weight(4))
	})
}

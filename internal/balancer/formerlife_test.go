package balancer

import (
	"fmt"
	"testing"

	"peppervale/internal/model"
)

// answerExcuse is how much later the limits of the operators' rules begin after a start.
const answerExcuse = model.Second

// Guards against withdrawals of a former life that nothing ends in safe mode (review/10): an instance is lost while
// some replicas drain, and when it is back these are ready and others drain. Proxies that hold both withdrawals are
// bound at once, not after safe mode, and the replicas that are ready again are readmitted.
func TestProxiesAreReadmittedInSafeMode(t *testing.T) {
	for _, proxies := range []int{12, 150, 400} {
		for name, drains := range map[string]struct{ before, after func(n int) bool }{
			"the first half, then the second":  {func(n int) bool { return n <= 10 }, func(n int) bool { return n > 10 }},
			"the second half, then the first":  {func(n int) bool { return n > 10 }, func(n int) bool { return n <= 10 }},
			"two thirds, then the other third": {func(n int) bool { return n%3 > 0 }, func(n int) bool { return n%3 == 0 }},
			"one third, then the other two":    {func(n int) bool { return n%3 == 0 }, func(n int) bool { return n%3 > 0 }},
		} {
			t.Run(fmt.Sprintf("%d proxies, %s", proxies, name), func(t *testing.T) {
				t.Parallel()
				fleet := newLargeFleet(t, 4, proxies, 20, true)
				fleet.drainLimit += answerExcuse
				fleet.emptyLimit += answerExcuse
				fleet.startBalancer(fleet.allReplicas())
				fleet.connectAll(proxies)
				fleet.advanceFor(15 * model.Second)
				fleet.changeStatus(model.EndpointDraining, fleet.replicasWhere(drains.before)...)
				fleet.advanceFor(4 * model.Second)
				fleet.restartBalancer(fleet.allReplicas())
				fleet.flush()
				fleet.setStatus(model.EndpointReady, fleet.replicasWhere(drains.before)...)
				fleet.setStatus(model.EndpointDraining, fleet.replicasWhere(drains.after)...)
				fleet.connectAll(proxies)
				fleet.advanceWithReports(20*model.Second, fleet.replicasInUse)
				fleet.requireSettled()
			})
		}
	}
}

package balancer

import (
	"testing"

	"peppervale/internal/model"
)

// Operation 1 has the least value; its quota and that of the other are keyed by their bit.
const (
	lowValueOperation  = 1
	highValueOperation = 2
)

// requireAllAdmitted fails if a quota is below one.
func (f *fakeFleet) requireAllAdmitted(t *testing.T) {
	t.Helper()
	require(t, f.quotas[lowValueOperation] == 1 && f.quotas[highValueOperation] == 1, "quotas %v", f.quotas)
}

func reportsUtilization(config *model.Config) { config.UtilizationField = 0 }

func TestQuotas(t *testing.T) {
	overloaded := func(fleet *fakeFleet) func() { return fleet.reportsOf(1, 6, 10, 4, 400*model.Millisecond) }
	t.Run("fall for the operation with the least value, and rise again", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(4, overloaded(fleet))
		require(t, fleet.quotas[lowValueOperation] <= 0.7 && fleet.quotas[highValueOperation] == 1,
			"quotas %v", fleet.quotas)
		fleet.run(30, fleet.goodReports(6))
		require(t, fleet.quotas[lowValueOperation] == 1, "quotas %v after the overload", fleet.quotas)
	})
	t.Run("stay while attempts err but the good ones are quick", func(t *testing.T) {
		// Found by an incident: one operation went unanswered everywhere, and nine tenths of all were rejected.
		fleet := startWarmFleet(t, 6, nil)
		fleet.run(6, fleet.reportsOf(1, 6, 10, 6, 100*model.Millisecond))
		fleet.requireAllAdmitted(t)
	})
	t.Run("stay while attempts are slow but most cores idle", func(t *testing.T) {
		// Found by an incident: new connections took most of the objective, and shedding made each one new.
		fleet := startWarmFleet(t, 8, reportsUtilization)
		fleet.run(6, func() {
			fleet.reportUtilization(1, 2, 400*model.Millisecond, 1)
			fleet.reportUtilization(3, 8, 400*model.Millisecond, 0.2)
		})
		fleet.requireAllAdmitted(t)
	})
	t.Run("stay where proxies ignore them", func(t *testing.T) {
		fleet := startFleet(t, 6, func(config *model.Config) { config.AdmissionControl = false })
		fleet.run(12, overloaded(fleet))
		fleet.requireAllAdmitted(t)
	})
}

func TestQuotasFollowUtilization(t *testing.T) {
	const quick = 100 * model.Millisecond
	t.Run("when most cores are in use though some replicas idle", func(t *testing.T) {
		// Found by an incident: two in five answered nothing and idled, the others were full long before they were late.
		fleet := startFleet(t, 10, reportsUtilization)
		fleet.run(4, func() {
			fleet.reportUtilization(1, 6, quick, 0.97)
			fleet.reportUtilization(7, 10, quick, 0.2)
		})
		require(t, fleet.quotas[lowValueOperation] <= 0.95, "quotas %v", fleet.quotas)
	})
	t.Run("deeper where all cores are in use, and back while there is capacity", func(t *testing.T) {
		// On sockets a release left replicas full: their utilization cannot pass one, so quotas fell by a seventh each two
		// seconds while a third was late, and came back by hundredths once two fifths idled.
		fleet := startFleet(t, 10, reportsUtilization)
		fleet.run(4, func() { fleet.reportUtilization(1, 10, quick, 0.99) })
		require(t, fleet.quotas[lowValueOperation] <= 0.65, "quotas %v with all in use", fleet.quotas)
		fleet.run(10, func() { fleet.reportUtilization(1, 10, quick, 0.62) })
		require(t, fleet.quotas[lowValueOperation] >= 0.9, "quotas %v with two fifths idle", fleet.quotas)
	})
	t.Run("when a release takes capacity, before latency shows it", func(t *testing.T) {
		// Found by the search for broken invariants: four of nine drained, and the overload reached a replica that warmed up.
		fleet := startWarmFleet(t, 6, reportsUtilization)
		fleet.drain(4, 5, 6)
		fleet.run(2, fleet.goodReports(3))
		require(t, fleet.quotas[lowValueOperation] <= 0.95, "quotas %v with half the capacity", fleet.quotas)
	})
}

func TestRetryPolicy(t *testing.T) {
	fleet := startFleet(t, 6, func(config *model.Config) { config.AdmissionControl = false })
	t.Run("retries only on proof that the first attempt never ran", func(t *testing.T) {
		fleet.run(12, fleet.goodReports(6))
		require(t, len(fleet.policies) == 1 && fleet.policies[model.RetryIfNotExecuted],
			"policies %v: no other is safe for every effect", fleet.policies)
	})
	t.Run("retries nothing while the fleet is short of capacity, and again after", func(t *testing.T) {
		// Found by an incident: full replicas rejected attempts at once, and each came again elsewhere.
		fleet.run(4, fleet.reportsOf(1, 6, 10, 6, 300*model.Millisecond))
		unsafe := fleet.policies[model.RetryOnAnyFailure] || fleet.policies[model.RetryTwiceOnAnyFailure]
		require(t, !unsafe && fleet.policies[model.RetryNever], "policies %v", fleet.policies)
		clear(fleet.policies)
		fleet.run(10, fleet.goodReports(6))
		require(t, fleet.policies[model.RetryIfNotExecuted], "policies %v after the overload", fleet.policies)
	})
}

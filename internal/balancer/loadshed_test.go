package balancer

import (
	"testing"

	"peppervale/internal/model"
)

// Bits of the operations, by which quotas are keyed. The first operation has the lower value.
const (
	lowValueOperation  = 1
	highValueOperation = 2
)

// requireAllAdmitted fails if a quota is below 1.
func (f *fakeFleet) requireAllAdmitted(t *testing.T) {
	t.Helper()
	require(t, f.quotas[lowValueOperation] == 1 && f.quotas[highValueOperation] == 1, "quotas %v, want 1", f.quotas)
}

func reportsUtilization(config *model.Config) { config.UtilizationField = 0 }

func TestQuotasFollowLatency(t *testing.T) {
	overloaded := func(fleet *fakeFleet) func() { return fleet.reportsOf(1, 6, 10, 4, 400*model.Millisecond) }
	t.Run("fall for the operation with the least value, and rise after the overload", func(t *testing.T) {
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(4, overloaded(fleet))
		require(t, fleet.quotas[lowValueOperation] <= 0.7 && fleet.quotas[highValueOperation] == 1,
			"quotas %v in an overload, want at most 0.7 for the low value and 1 for the high value", fleet.quotas)
		fleet.advance(30, fleet.goodReports(6))
		require(t, fleet.quotas[lowValueOperation] == 1,
			"quotas %v after the overload, want 1 for the low value", fleet.quotas)
	})
	t.Run("stay at 1 while attempts fail but good attempts are quick", func(t *testing.T) {
		// When one operation gets no response from any replica, shedding load on errors alone rejects nine tenths of all
		// requests.
		fleet := startWarmFleet(t, 6, nil)
		fleet.advance(6, fleet.reportsOf(1, 6, 10, 6, 100*model.Millisecond))
		fleet.requireAllAdmitted(t)
	})
	t.Run("stay at 1 while attempts are slow but most cores are idle", func(t *testing.T) {
		// When setting up connections takes most of the latency objective, shedding leaves so few requests that every
		// connection is a new one, and the latency stays high.
		fleet := startWarmFleet(t, 8, reportsUtilization)
		fleet.advance(6, func() {
			fleet.reportUtilization(1, 2, 400*model.Millisecond, 1)
			fleet.reportUtilization(3, 8, 400*model.Millisecond, 0.2)
		})
		fleet.requireAllAdmitted(t)
	})
	t.Run("stay at 1 if proxies ignore quotas", func(t *testing.T) {
		fleet := startFleet(t, 6, func(config *model.Config) { config.AdmissionControl = false })
		fleet.advance(12, overloaded(fleet))
		fleet.requireAllAdmitted(t)
	})
}

func TestQuotasFollowUtilization(t *testing.T) {
	const quick = 100 * model.Millisecond
	t.Run("fall when most cores are in use though some replicas are idle", func(t *testing.T) {
		// When two replicas in five do not respond and are idle, the other replicas are full long before their latency
		// rises.
		fleet := startFleet(t, 10, reportsUtilization)
		fleet.advance(4, func() {
			fleet.reportUtilization(1, 6, quick, 0.97)
			fleet.reportUtilization(7, 10, quick, 0.2)
		})
		require(t, fleet.quotas[lowValueOperation] <= 0.95,
			"quotas %v with most cores in use, want at most 0.95 for the low value", fleet.quotas)
	})
	t.Run("fall further when all cores are in use, and rise when there is capacity", func(t *testing.T) {
		// A release leaves replicas with all cores in use. As utilization cannot exceed 1, a saturation proportional to it
		// lets quotas fall by only a seventh every two seconds while a third of the requests is late, and rise by
		// hundredths once two fifths of the cores are idle.
		fleet := startFleet(t, 10, reportsUtilization)
		fleet.advance(4, func() { fleet.reportUtilization(1, 10, quick, 0.99) })
		require(t, fleet.quotas[lowValueOperation] <= 0.65,
			"quotas %v with all cores in use, want at most 0.65 for the low value", fleet.quotas)
		fleet.advance(10, func() { fleet.reportUtilization(1, 10, quick, 0.62) })
		require(t, fleet.quotas[lowValueOperation] >= 0.9,
			"quotas %v with two fifths of the cores idle, want at least 0.9 for the low value", fleet.quotas)
	})
	t.Run("fall when a release removes capacity, before latency rises", func(t *testing.T) {
		// When four of nine replicas drain, the overload reaches a replica that warms up unless quotas fall in time.
		fleet := startWarmFleet(t, 6, reportsUtilization)
		fleet.drain(4, 5, 6)
		fleet.advance(2, fleet.goodReports(3))
		require(t, fleet.quotas[lowValueOperation] <= 0.95,
			"quotas %v with half of the capacity, want at most 0.95 for the low value", fleet.quotas)
	})
}

func TestRetriesStopWhileTheFleetIsShortOfCapacity(t *testing.T) {
	fleet := startFleet(t, 6, func(config *model.Config) { config.AdmissionControl = false })
	t.Run("retries only if the first attempt was provably not executed", func(t *testing.T) {
		fleet.advance(12, fleet.goodReports(6))
		require(t, len(fleet.publishedPolicies) == 1 && fleet.publishedPolicies[model.RetryIfNotExecuted],
			"policies %v, want RetryIfNotExecuted only: no other policy is safe for every effect", fleet.publishedPolicies)
	})
	t.Run("retries nothing while the fleet is short of capacity, and retries after that", func(t *testing.T) {
		// Full replicas reject attempts at once, and with retries each rejected attempt arrives at another replica.
		fleet.advance(4, fleet.reportsOf(1, 6, 10, 6, 300*model.Millisecond))
		unsafe := fleet.publishedPolicies[model.RetryOnAnyFailure] || fleet.publishedPolicies[model.RetryTwiceOnAnyFailure]
		require(t, !unsafe && fleet.publishedPolicies[model.RetryNever],
			"policies %v, want RetryNever and no retry on any failure", fleet.publishedPolicies)
		clear(fleet.publishedPolicies)
		fleet.advance(10, fleet.goodReports(6))
		require(t, fleet.publishedPolicies[model.RetryIfNotExecuted],
			"policies %v after the overload, want RetryIfNotExecuted", fleet.publishedPolicies)
	})
}

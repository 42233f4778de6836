package config

import (
	"slices"

	"peppervale/internal/model"
)

// Guarantees are what an instance knows of the fleet for the five invariants; the checker uses the same figures.
type Guarantees struct {
	Bare       model.Microseconds // longest time that a proxy may have no replica to pick
	Grace      model.Microseconds // within which draining and warming replicas must be withdrawn
	Cold       model.Microseconds // within which a started replica is warm
	ColdShare  float64            // fraction of its capacity that it has at least when it starts
	TipFactor  float64            // a replica fails under this multiple of its capacity...
	TipSpan    model.Microseconds // ...that lasts for so long
	MustAskIn  model.Microseconds // without a subscription, a change that old counts as notified
	QueueMost  int                // entries that may wait in the channel
	WriteMost  int                // messages to one proxy within WriteSpan; 0: no limit
	WriteSpan  model.Microseconds
	FirstWait  float64           // fraction of the latency objective that a first attempt waits before a retry
	DefaultWay model.RetryPolicy // of proxies without an order
}

// RetryPolicyNames are the names of the retry policies in files, in the order of model.RetryPolicy.
var RetryPolicyNames = []string{"never", "when-unrun", "any-failure", "two-more"}

// Values of the setting admits.
const (
	admitsQuota = "share"
	admitsAll   = "none"
)

// utilizationReading is the reading of a load report that the balancer uses.
const utilizationReading = "util"

// ReadTerms reads what an instance knows of the fleet: the blocks fleet { } and rules { }.
func ReadTerms(top *Block, seed uint64, zones []string, operations []Operation) (model.Config, Guarantees) {
	balancer := model.Config{
		Seed:                 seed,
		Zones:                len(zones),
		SubscriptionRequired: true,
		FullQuota:            1,
		UtilizationField:     -1,
	}
	for _, operation := range operations {
		balancer.Operations = append(balancer.Operations, model.Operation{
			LatencyObjective: operation.Objective,
			PriorityWeight:   operation.Value,
		})
	}
	var guarantees Guarantees
	readFleet(top.One("fleet", 0, true), &balancer, &guarantees)
	readRules(top.One("rules", 0, true), &guarantees)
	balancer.WarmUpPeriod = guarantees.Cold
	return balancer, guarantees
}

func readFleet(block *Block, balancer *model.Config, guarantees *Guarantees) {
	balancer.ProxyCount = block.Whole("forwarders", 0, 1, 65535)
	balancer.StandingTableSize = block.Whole("standing", 6, 1, maxCount)
	balancer.MinReplicaConnections = block.Whole("connections_least", 100, 1, maxCount)
	balancer.ProxiesAvoidFailing = block.Yes("avoids", false)
	balancer.AdmissionControl = block.Text("admits", admitsQuota, admitsQuota, admitsAll) == admitsQuota
	balancer.CrossZoneCost = block.Number("crossing_price", 0, 0, 1)
	balancer.PublishCost = block.Number("order_price", 0, 0, 1)
	balancer.UtilizationField = slices.Index(block.Texts("load_report", false), utilizationReading)
	policy := block.Text("usual_way", RetryPolicyNames[model.RetryIfNotExecuted], RetryPolicyNames...)
	guarantees.DefaultWay = model.RetryPolicy(max(0, slices.Index(RetryPolicyNames, policy)))
	guarantees.FirstWait = block.Number("first_wait", 0.8, 0.01, 10)
	block.Done()
}

func readRules(block *Block, guarantees *Guarantees) {
	guarantees.Bare = block.Span("bare", 2600*model.Millisecond, 0, maxDuration)
	guarantees.Grace = block.Span("drain_grace", 2500*model.Millisecond, 0, maxDuration)
	guarantees.Cold = block.Span("cold", 17*model.Second, 0, maxDuration)
	guarantees.ColdShare = block.Number("cold_share", 0.19, 0.01, 1)
	guarantees.TipFactor = block.Number("tip_factor", 4, 1, 1000)
	guarantees.TipSpan = block.Span("tip_span", 3*model.Second, model.Millisecond, maxDuration)
	guarantees.MustAskIn = block.Span("must_ask_in", 10*model.Second, 0, maxDuration)
	block.Done()
}

package config

import (
	"math"
	"slices"

	"peppervale/internal/model"
)

// Guarantees are the limits and the properties of the fleet that five of the invariants depend on. The invariant
// checker is configured with them.
type Guarantees struct {
	MaxTimeWithoutReplica model.Microseconds // maximum time that a proxy may have no replica to pick
	DrainGracePeriod      model.Microseconds // time to withdraw a draining or warming replica from all proxies
	WarmUpPeriod          model.Microseconds // time after which a started replica is warm
	ColdCapacity          float64            // minimum fraction of its full capacity that a replica has when it starts
	OverloadFactor        float64            // a warming replica fails under a load of this multiple of its capacity
	OverloadDuration      model.Microseconds // time for which the load must last
	MaxPollInterval       model.Microseconds // time after which a change counts as known without a subscription
	QueueLimit            int                // maximum number of queued entries in the channel
	MessageLimit          int                // maximum number of messages to one proxy within MessageWindow; 0: no limit
	MessageWindow         model.Microseconds
	FirstAttemptFraction  float64           // fraction of the latency objective that a first attempt waits before a retry
	DefaultRetryPolicy    model.RetryPolicy // of proxies without a quota
}

// RetryPolicyNames are the names of the retry policies in files, indexed by model.RetryPolicy.
var RetryPolicyNames = []string{"never", "when-unrun", "any-failure", "two-more"}

// Values of the setting admits.
const (
	admitsQuota = "share" // proxies apply admission quotas
	admitsAll   = "none"  // proxies admit every request
)

// utilizationReading is the name of the load report reading that the balancer uses.
const utilizationReading = "util"

// ReadBalancerConfig reads the configuration of the fleet from the blocks fleet { } and rules { }.
func ReadBalancerConfig(top *Block, seed uint64, zones []string, operations []Operation) (model.Config, Guarantees) {
	balancer := model.Config{
		Seed:                 seed,
		Zones:                len(zones),
		SubscriptionRequired: true,
		FullQuota:            1,
		UtilizationField:     -1,
	}
	for _, operation := range operations {
		balancer.Operations = append(balancer.Operations, model.Operation{
			LatencyObjective: operation.LatencyObjective,
			PriorityWeight:   operation.PriorityWeight,
		})
	}
	var guarantees Guarantees
	readFleet(top.SingleBlock("fleet", 0, true), &balancer, &guarantees)
	readRules(top.SingleBlock("rules", 0, true), &guarantees)
	balancer.WarmUpPeriod = guarantees.WarmUpPeriod
	return balancer, guarantees
}

func readFleet(block *Block, balancer *model.Config, guarantees *Guarantees) {
	balancer.ProxyCount = block.Int("forwarders", 0, 1, math.MaxUint16) // a model.ProxyID has 16 bits
	balancer.StandingTableSize = block.Int("standing", 6, 1, maxCount)
	balancer.MinReplicaConnections = block.Int("connections_least", 100, 1, maxCount)
	balancer.ProxiesAvoidFailing = block.Bool("avoids", false)
	balancer.AdmissionControl = block.String("admits", admitsQuota, admitsQuota, admitsAll) == admitsQuota
	balancer.CrossZoneCost = block.Float("crossing_price", 0, 0, 1)
	balancer.PublishCost = block.Float("order_price", 0, 0, 1)
	balancer.UtilizationField = slices.Index(block.Strings("load_report", false), utilizationReading)
	policy := block.String("usual_way", RetryPolicyNames[model.RetryIfNotExecuted], RetryPolicyNames...)
	guarantees.DefaultRetryPolicy = model.RetryPolicy(max(0, slices.Index(RetryPolicyNames, policy)))
	guarantees.FirstAttemptFraction = block.Float("first_wait", 0.8, 0.01, 10)
	block.RejectUnknown()
}

func readRules(block *Block, guarantees *Guarantees) {
	guarantees.MaxTimeWithoutReplica = block.Duration("bare", 2600*model.Millisecond, 0, maxDuration)
	guarantees.DrainGracePeriod = block.Duration("drain_grace", 2500*model.Millisecond, 0, maxDuration)
	guarantees.WarmUpPeriod = block.Duration("cold", 17*model.Second, 0, maxDuration)
	guarantees.ColdCapacity = block.Float("cold_share", 0.19, 0.01, 1)
	guarantees.OverloadFactor = block.Float("tip_factor", 4, 1, 1000)
	guarantees.OverloadDuration = block.Duration("tip_span", 3*model.Second, model.Millisecond, maxDuration)
	guarantees.MaxPollInterval = block.Duration("must_ask_in", 10*model.Second, 0, maxDuration)
	block.RejectUnknown()
}

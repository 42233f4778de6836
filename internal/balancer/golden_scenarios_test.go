package balancer_test

import (
	"testing"

	"peppervale/internal/model"
)

// tracedConfig returns the configuration that the scenarios start from.
func tracedConfig() model.Config {
	return model.Config{
		Seed: 11, Zones: 3, SubscriptionRequired: true, AdmissionControl: true, FullQuota: 1, ProxiesAvoidFailing: true,
		StandingTableSize: 4,
		Operations: []model.Operation{
			{LatencyObjective: 400_000, PriorityWeight: 1},
			{LatencyObjective: 500_000, PriorityWeight: 3},
			{LatencyObjective: 700_000, PriorityWeight: 2},
		},
		ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 5000, CrossZoneCost: 0.05, UtilizationField: -1,
		WarmUpPeriod: 17 * model.Second, ProxyCount: 40, MinReplicaConnections: 200,
	}
}

func constantLoad(load float64) func(int) float64 { return func(int) float64 { return load } }

// requireKinds fails if a trace lacks one of the given kinds of update, as the trace would not check that kind.
func requireKinds(t *testing.T, kinds map[string]int, names ...string) {
	t.Helper()
	for _, name := range names {
		if kinds[name] == 0 {
			t.Errorf("the trace has no update of kind %q", name)
		}
	}
}

func TestUpdatesMatchGoldenTraceOfSeveralZones(t *testing.T) {
	plan := scenario{
		name: "zones", seed: 1, config: tracedConfig(), replicas: 36, proxies: 48, ticks: 300, expectedRate: 20,
		attempts: 12, ackDelay: 300 * model.Millisecond, ackLoss: 0.01, load: func(tick int) float64 {
			return 0.2 + 0.15*float64(tick/60%3)
		},
	}
	plan.config.ProxyCount = 80 // so that a zone has several tables
	plan.config.MinReplicaConnections = 30
	plan.churn = churn{
		connect: 0.15, disconnect: 0.1, drain: 0.06, removed: 0.04, restarted: 0.06, readyAgain: 0.1, fullList: 0.02,
		cachedList: 0.02, failedPoll: 0.03, startFailing: 0.03, recover: 0.1, contradictory: 0.03,
	}
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt", "wake", "follow")
}

func TestUpdatesMatchGoldenTraceOfZoneLocalOperations(t *testing.T) {
	plan := scenario{
		name: "own-zone", seed: 2, config: tracedConfig(), replicas: 30, proxies: 36, ticks: 300, expectedRate: 15,
		attempts: 10, ackDelay: 500 * model.Millisecond, ackLoss: 0.01, load: constantLoad(0.3),
	}
	plan.config.ZoneLocalOperations = 0b010
	plan.config.ProxyCount = 80
	plan.config.MinReplicaConnections = 30
	plan.churn = churn{
		connect: 0.15, disconnect: 0.1, drain: 0.05, removed: 0.03, restarted: 0.08, readyAgain: 0.1, fullList: 0.02,
		failedPoll: 0.02, startFailing: 0.04, recover: 0.1, contradictory: 0.02,
	}
	// All replicas of zone 0 are removed, and restart later.
	plan.script = func(tr *trace, tick int) {
		var first []*tracedReplica
		for _, r := range tr.replicas {
			if r.zone == 0 {
				first = append(first, r)
			}
		}
		switch tick {
		case 150:
			tr.updateStatus("gone", model.EndpointGone, false, first...)
		case 190:
			tr.updateStatus("restart", model.EndpointReady, true, first...)
		}
	}
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestUpdatesMatchGoldenTraceOfASlowQueue(t *testing.T) {
	plan := scenario{
		name: "slow-queue", seed: 3, config: tracedConfig(), replicas: 20, proxies: 30, ticks: 350, expectedRate: 20,
		attempts: 12, ackDelay: 3 * model.Second, ackLoss: 0.05, load: func(tick int) float64 {
			return 0.25 + 0.3*float64(tick/70%2)
		},
	}
	plan.config.QueueLimit = 900
	plan.config.MessageLimit = 6
	plan.config.MessageWindow = 5 * model.Second
	plan.churn = churn{
		connect: 0.1, disconnect: 0.08, drain: 0.08, removed: 0.05, restarted: 0.08, readyAgain: 0.12, fullList: 0.02,
		failedPoll: 0.02, startFailing: 0.04, recover: 0.1, contradictory: 0.02,
	}
	// Replicas drain at each tick while no proxy is bound, until the queue is full. Later, proxies reconnect while
	// replicas drain.
	plan.script = func(tr *trace, tick int) {
		switch {
		case tick < 5:
			tr.updateStatus("drain", model.EndpointDraining, false, tr.replicas[4*tick-4:4*tick-1]...)
		case tick == 12:
			tr.updateStatus("ready", model.EndpointReady, false, tr.replicas...)
		case tick%90 == 0:
			tr.disconnect(tr.proxies[:10]...)
			tr.connect(tr.proxies[:10]...)
			tr.updateStatus("drain", model.EndpointDraining, false, tr.replicas[:6]...)
		case tick%90 == 40:
			tr.updateStatus("restart", model.EndpointReady, true, tr.replicas[:10]...)
		}
	}
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestUpdatesMatchGoldenTraceOfAnOverload(t *testing.T) {
	plan := scenario{
		name: "overload", seed: 4, config: tracedConfig(), replicas: 24, proxies: 24, ticks: 400, expectedRate: 25,
		attempts: 15, ackDelay: 200 * model.Millisecond, load: func(tick int) float64 {
			return []float64{0.2, 0.75, 1.1, 0.45, 0.15, 0.3, 0.9, 0.2}[tick/50%8]
		},
	}
	plan.config.UtilizationField = 1
	plan.churn = churn{
		connect: 0.05, disconnect: 0.04, restarted: 0.04, readyAgain: 0.05, failedPoll: 0.01,
		startFailing: 0.06, recover: 0.08, contradictory: 0.05,
	}
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestUpdatesMatchGoldenTraceOfManyReconnectingProxies(t *testing.T) {
	plan := scenario{
		name: "herd", seed: 5, config: tracedConfig(), replicas: 90, proxies: 150, ticks: 240, expectedRate: 20,
		attempts: 10, ackDelay: 600 * model.Millisecond, ackLoss: 0.01, load: constantLoad(0.25), allAtOnce: true,
	}
	plan.config.ProxyCount = 150
	plan.config.QueueLimit = 12000
	plan.config.StandingTableSize = 6
	plan.config.MinReplicaConnections = 40
	plan.churn = churn{
		connect: 0.1, disconnect: 0.05, restarted: 0.1, readyAgain: 0.1, failedPoll: 0.01, contradictory: 0.01,
	}
	plan.script = reconnectingProxiesScript
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

// reconnectingProxiesScript drains many replicas in safe mode, so that standing tables may be empty. Afterwards a
// part of the proxies reconnects at intervals while replicas drain.
func reconnectingProxiesScript(run *trace, tick int) {
	switch {
	case tick == 2:
		run.updateStatus("drain", model.EndpointDraining, false, run.replicas[:30]...)
	case tick == 12:
		run.updateStatus("ready", model.EndpointReady, false, run.replicas[:30]...)
	case tick >= 40 && tick%40 == 0:
		first := tick % 120
		run.disconnect(run.proxies[first : first+30]...)
		run.connect(run.proxies[first : first+30]...)
		run.updateStatus("drain", model.EndpointDraining, false, run.replicas[tick%60:tick%60+25]...)
	case tick >= 40 && tick%40 == 1:
		run.updateStatus("drain", model.EndpointDraining, false, run.replicas[60:70]...)
	case tick >= 40 && tick%40 == 20:
		run.updateStatus("restart", model.EndpointReady, true, run.replicas...)
	}
}

func TestUpdatesMatchGoldenTraceWithoutAvoidanceAndAdmission(t *testing.T) {
	plan := scenario{
		name: "plain-proxies", seed: 6, config: tracedConfig(), replicas: 8, proxies: 20, ticks: 250,
		expectedRate: 30, attempts: 12, ackDelay: 300 * model.Millisecond, ackLoss: 0.02, load: func(tick int) float64 {
			return 0.2 + 0.4*float64(tick/50%3)
		},
	}
	plan.config.ProxiesAvoidFailing = false
	plan.config.AdmissionControl = false
	plan.config.FullQuota = 5000
	plan.config.CrossZoneCost = 0
	plan.config.PublishCost = 0.02
	plan.config.SubscriptionRequired = false
	plan.churn = churn{
		connect: 0.1, disconnect: 0.1, drain: 0.05, removed: 0.05, restarted: 0.06, readyAgain: 0.1, fullList: 0.03,
		cachedList: 0.02, failedPoll: 0.02, startFailing: 0.04, recover: 0.08, contradictory: 0.03,
	}
	// Half of the replicas drain in safe mode; later all drain at once, and become ready again.
	plan.script = func(tr *trace, tick int) {
		switch tick {
		case 1:
			tr.updateStatus("drain", model.EndpointDraining, false, tr.replicas[:4]...)
		case 10:
			tr.updateStatus("ready", model.EndpointReady, false, tr.replicas[:4]...)
		case 120:
			tr.updateStatus("drain", model.EndpointDraining, false, tr.replicas...)
		case 140:
			tr.updateStatus("ready", model.EndpointReady, false, tr.replicas...)
		}
	}
	requireKinds(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

// The two traces of a full queue keep the queue near its limits, where a few entries change a decision: replicas
// restart (their reduced weights are sent at once), fail and are ejected, and quotas change with the load. With each of
// the two seeds, a change of any share of the queue limit (0.5, 0.7, 0.9) by a hundredth changes a trace.
func TestUpdatesMatchGoldenTraceOfAFullQueue(t *testing.T) {
	requireKinds(t, goldenTrace(t, fullQueueScenario("full-queue", 12)), "assign", "bind", "withdraw", "level", "receipt")
}

func TestUpdatesMatchGoldenTraceOfAnotherFullQueue(t *testing.T) {
	requireKinds(t, goldenTrace(t, fullQueueScenario("full-queue-2", 17)),
		"assign", "bind", "withdraw", "level", "receipt")
}

func fullQueueScenario(name string, seed uint64) scenario {
	plan := scenario{
		name: name, seed: seed, config: tracedConfig(), replicas: 24, proxies: 48, ticks: 600, expectedRate: 20,
		attempts: 12, ackDelay: 1500 * model.Millisecond, ackLoss: 0.005, allAtOnce: true, load: func(tick int) float64 {
			return 0.3 + 0.35*float64(tick/15%2)
		},
	}
	plan.config.QueueLimit = 900
	plan.config.ProxyCount = 80
	plan.config.MinReplicaConnections = 30
	plan.churn = churn{
		connect: 0.2, disconnect: 0.15, drain: 0.1, removed: 0.05, restarted: 0.2, readyAgain: 0.15, fullList: 0.01,
		failedPoll: 0.01, startFailing: 0.1, recover: 0.1, contradictory: 0.02,
	}
	return plan
}

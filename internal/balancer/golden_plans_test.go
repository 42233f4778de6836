package balancer_test

import (
	"testing"

	"peppervale/internal/model"
)

// tracedTerms are the start settings that the scenarios change.
func tracedTerms() model.Config {
	return model.Config{
		Seed: 11, Zones: 3, SubscriptionRequired: true, AdmissionControl: true, FullQuota: 1, ProxiesAvoidFailing: true, StandingTableSize: 4,
		Operations: []model.Operation{
			{LatencyObjective: 400_000, PriorityWeight: 1},
			{LatencyObjective: 500_000, PriorityWeight: 3},
			{LatencyObjective: 700_000, PriorityWeight: 2},
		},
		ReportPeriod: model.Second, MessageOverhead: 6, QueueLimit: 5000, CrossZoneCost: 0.05, UtilizationField: -1,
		WarmUpPeriod: 17 * model.Second, ProxyCount: 40, MinReplicaConnections: 200,
	}
}

func steady(load float64) func(int) float64 { return func(int) float64 { return load } }

// expect fails where a trace lacks a kind of order: it would not pin it.
func expect(t *testing.T, kinds map[string]int, names ...string) {
	t.Helper()
	for _, name := range names {
		if kinds[name] == 0 {
			t.Errorf("the trace has no order of the kind %q", name)
		}
	}
}

func TestGoldenTraceOfSeveralZones(t *testing.T) {
	plan := scenario{
		name: "zones", seed: 1, terms: tracedTerms(), replicas: 36, proxies: 48, beats: 300, usual: 20,
		tries: 12, ackDelay: 300 * model.Millisecond, ackLoss: 0.01, load: func(beat int) float64 {
			return 0.2 + 0.15*float64(beat/60%3)
		},
	}
	plan.terms.ProxyCount, plan.terms.MinReplicaConnections = 80, 30 // so that a zone has several tables
	plan.churn = churn{
		join: 0.15, leave: 0.1, drain: 0.06, gone: 0.04, restart: 0.06, ready: 0.1, whole: 0.02,
		cached: 0.02, failed: 0.03, fail: 0.03, mend: 0.1, contradict: 0.03,
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt", "wake", "follow")
}

func TestGoldenTraceOfZoneBoundOperations(t *testing.T) {
	plan := scenario{
		name: "own-zone", seed: 2, terms: tracedTerms(), replicas: 30, proxies: 36, beats: 300, usual: 15,
		tries: 10, ackDelay: 500 * model.Millisecond, ackLoss: 0.01, load: steady(0.3),
	}
	plan.terms.ZoneLocalOperations = 0b010
	plan.terms.ProxyCount, plan.terms.MinReplicaConnections = 80, 30
	plan.churn = churn{
		join: 0.15, leave: 0.1, drain: 0.05, gone: 0.03, restart: 0.08, ready: 0.1, whole: 0.02,
		failed: 0.02, fail: 0.04, mend: 0.1, contradict: 0.02,
	}
	// A zone whose replicas are all gone, and come back.
	plan.script = func(tr *trace, beat int) {
		var first []*tracedReplica
		for _, r := range tr.replicas {
			if r.zone == 0 {
				first = append(first, r)
			}
		}
		switch beat {
		case 150:
			tr.change("gone", model.EndpointGone, false, first...)
		case 190:
			tr.change("restart", model.EndpointReady, true, first...)
		}
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestGoldenTraceOfASlowQueue(t *testing.T) {
	plan := scenario{
		name: "slow-queue", seed: 3, terms: tracedTerms(), replicas: 20, proxies: 30, beats: 350, usual: 20,
		tries: 12, ackDelay: 3 * model.Second, ackLoss: 0.05, load: func(beat int) float64 {
			return 0.25 + 0.3*float64(beat/70%2)
		},
	}
	plan.terms.QueueLimit = 900
	plan.terms.MessageLimit, plan.terms.MessageWindow = 6, 5*model.Second
	plan.churn = churn{
		join: 0.1, leave: 0.08, drain: 0.08, gone: 0.05, restart: 0.08, ready: 0.12, whole: 0.02,
		failed: 0.02, fail: 0.04, mend: 0.1, contradict: 0.02,
	}
	// Drains beat by beat while no proxy is bound, until the queue is full; later proxies come over amid drains.
	plan.script = func(tr *trace, beat int) {
		switch {
		case beat < 5:
			tr.change("drain", model.EndpointDraining, false, tr.replicas[4*beat-4:4*beat-1]...)
		case beat == 12:
			tr.change("ready", model.EndpointReady, false, tr.replicas...)
		case beat%90 == 0:
			tr.leave(tr.proxies[:10]...)
			tr.join(tr.proxies[:10]...)
			tr.change("drain", model.EndpointDraining, false, tr.replicas[:6]...)
		case beat%90 == 40:
			tr.change("restart", model.EndpointReady, true, tr.replicas[:10]...)
		}
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestGoldenTraceOfAnOverload(t *testing.T) {
	plan := scenario{
		name: "overload", seed: 4, terms: tracedTerms(), replicas: 24, proxies: 24, beats: 400, usual: 25,
		tries: 15, ackDelay: 200 * model.Millisecond, load: func(beat int) float64 {
			return []float64{0.2, 0.75, 1.1, 0.45, 0.15, 0.3, 0.9, 0.2}[beat/50%8]
		},
	}
	plan.terms.UtilizationField = 1
	plan.churn = churn{
		join: 0.05, leave: 0.04, restart: 0.04, ready: 0.05, failed: 0.01, fail: 0.06, mend: 0.08,
		contradict: 0.05,
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestGoldenTraceOfAHerd(t *testing.T) {
	plan := scenario{
		name: "herd", seed: 5, terms: tracedTerms(), replicas: 90, proxies: 150, beats: 240, usual: 20,
		tries: 10, ackDelay: 600 * model.Millisecond, ackLoss: 0.01, load: steady(0.25), allAtOnce: true,
	}
	plan.terms.ProxyCount, plan.terms.QueueLimit, plan.terms.StandingTableSize = 150, 12000, 6
	plan.terms.MinReplicaConnections = 40
	plan.churn = churn{join: 0.1, leave: 0.05, restart: 0.1, ready: 0.1, failed: 0.01, contradict: 0.01}
	// Before the gate opens many drain, so that standing tables may be bare. Then, again and again, a part of the
	// proxies comes over while replicas drain.
	plan.script = func(tr *trace, beat int) {
		switch {
		case beat == 2:
			tr.change("drain", model.EndpointDraining, false, tr.replicas[:30]...)
		case beat == 12:
			tr.change("ready", model.EndpointReady, false, tr.replicas[:30]...)
		case beat >= 40 && beat%40 == 0:
			first := beat % 120
			tr.leave(tr.proxies[first : first+30]...)
			tr.join(tr.proxies[first : first+30]...)
			tr.change("drain", model.EndpointDraining, false, tr.replicas[beat%60:beat%60+25]...)
		case beat >= 40 && beat%40 == 1:
			tr.change("drain", model.EndpointDraining, false, tr.replicas[60:70]...)
		case beat >= 40 && beat%40 == 20:
			tr.change("restart", model.EndpointReady, true, tr.replicas...)
		}
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

func TestGoldenTraceWithoutAvoidanceAndAdmission(t *testing.T) {
	plan := scenario{
		name: "plain-proxies", seed: 6, terms: tracedTerms(), replicas: 8, proxies: 20, beats: 250,
		usual: 30, tries: 12, ackDelay: 300 * model.Millisecond, ackLoss: 0.02, load: func(beat int) float64 {
			return 0.2 + 0.4*float64(beat/50%3)
		},
	}
	plan.terms.ProxiesAvoidFailing, plan.terms.AdmissionControl, plan.terms.FullQuota = false, false, 5000
	plan.terms.CrossZoneCost, plan.terms.PublishCost, plan.terms.SubscriptionRequired = 0, 0.02, false
	plan.churn = churn{
		join: 0.1, leave: 0.1, drain: 0.05, gone: 0.05, restart: 0.06, ready: 0.1, whole: 0.03,
		cached: 0.02, failed: 0.02, fail: 0.04, mend: 0.08, contradict: 0.03,
	}
	// Half of the replicas drain before the gate opens; later all are lost at once, and come back.
	plan.script = func(tr *trace, beat int) {
		switch beat {
		case 1:
			tr.change("drain", model.EndpointDraining, false, tr.replicas[:4]...)
		case 10:
			tr.change("ready", model.EndpointReady, false, tr.replicas[:4]...)
		case 120:
			tr.change("drain", model.EndpointDraining, false, tr.replicas...)
		case 140:
			tr.change("ready", model.EndpointReady, false, tr.replicas...)
		}
	}
	expect(t, goldenTrace(t, plan), "assign", "bind", "withdraw", "level", "receipt")
}

// The two traces of a full queue hold it near its limits, where a decision turns on a few lines: replicas restart
// (their quarters are sent at once), fail and are ejected, and the load moves the admitted shares up and down. Their
// seeds were chosen among 20 so that a hundredth more in any of the queue's limits (0.5, 0.7, 0.9) changes a trace.
func TestGoldenTraceOfAFullQueue(t *testing.T) {
	expect(t, goldenTrace(t, fullQueue("full-queue", 12)), "assign", "bind", "withdraw", "level", "receipt")
}

func TestGoldenTraceOfAnotherFullQueue(t *testing.T) {
	expect(t, goldenTrace(t, fullQueue("full-queue-2", 17)), "assign", "bind", "withdraw", "level", "receipt")
}

func fullQueue(name string, seed uint64) scenario {
	plan := scenario{
		name: name, seed: seed, terms: tracedTerms(), replicas: 24, proxies: 48, beats: 600, usual: 20,
		tries: 12, ackDelay: 1500 * model.Millisecond, ackLoss: 0.005, allAtOnce: true, load: func(beat int) float64 {
			return 0.3 + 0.35*float64(beat/15%2)
		},
	}
	plan.terms.QueueLimit = 900
	plan.terms.ProxyCount, plan.terms.MinReplicaConnections = 80, 30
	plan.churn = churn{
		join: 0.2, leave: 0.15, drain: 0.1, gone: 0.05, restart: 0.2, ready: 0.15, whole: 0.01,
		failed: 0.01, fail: 0.1, mend: 0.1, contradict: 0.02,
	}
	return plan
}

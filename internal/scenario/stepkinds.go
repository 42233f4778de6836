package scenario

import (
	"maps"
	"slices"

	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// StepKind names what a step does, as scenario files spell it.
type StepKind string

// The kinds of steps; stepKinds says what each does.
const (
	ZoneLoss          StepKind = "zone_loss"
	InstanceCrash     StepKind = "governor_crash"
	InstanceRoll      StepKind = "governor_roll"
	InstanceStall     StepKind = "governor_stall"
	ProxyCrash        StepKind = "forwarder_crash"
	ProxyStall        StepKind = "forwarder_stall"
	ProxyReconnect    StepKind = "reconnect"
	ProxyPartition    StepKind = "one_sided"
	LoadReportsLate   StepKind = "sums_late"
	NeverAcknowledge  StepKind = "never_ack"
	ProxyMisbehaviour StepKind = "disobey"
	RegistryFails     StepKind = "list_down"
	RegistrySilent    StepKind = "list_silent"
	RegistryLate      StepKind = "list_late"
	RegistryTruncates StepKind = "list_half"
	RegistryIndexBack StepKind = "list_back"
	ReplicaVanish     StepKind = "vanish"
	ReplicaSlow       StepKind = "slow"
	NoisyNeighbor     StepKind = "neighbour"
	AllReplicasSlow   StepKind = "shared_slow"
	ReplicaAging      StepKind = "ageing"
	ReplicaFlapping   StepKind = "flapping"
	Deploy            StepKind = "deploy"
	Drain             StepKind = "drain"
	Grow              StepKind = "grow"
	HeavyTail         StepKind = "heavy_tail"
	OperationFails    StepKind = "class_fail"
	FewerConnections  StepKind = "conn_squeeze"
	SlowHandshake     StepKind = "handshake_slow"
	FalseReports      StepKind = "false_reports"
)

// The groups that narrow some kinds of steps down.
const (
	groupAllButOne          = "but-one" // Drain: the last replica is spared
	groupIgnoresWithdrawals = "shuts"   // ProxyMisbehaviour
	groupRetriesAnything    = "repeats" // ProxyMisbehaviour
)

// stepKind describes a kind of step and carries it out.
type stepKind struct {
	about string // what it does, and what Fraction, Size, Number and Group mean
	apply func(r *runner, step Step)
}

var stepKinds = map[StepKind]stepKind{
	ZoneLoss: {
		"the zone's replicas, proxies and instances end and come back cold (Silent: replicas stay but answer nothing)",
		(*runner).loseZone,
	},
	InstanceCrash: {
		"a fraction of the instances is killed and restarted, Number times, about Size seconds apart",
		(*runner).crashInstances,
	},
	InstanceRoll: {
		"a fraction of the instances restarts one after the other, by graceful shutdown",
		(*runner).rollInstances,
	},
	InstanceStall: {
		"a fraction of the instances is stopped and continued",
		(*runner).stallInstances,
	},
	ProxyCrash: {
		"a fraction of the proxies ends and starts again",
		(*runner).crashProxies,
	},
	ProxyStall: {
		"a fraction of the proxies stands still for Size seconds, Number times",
		(*runner).stallProxies,
	},
	ProxyReconnect: {
		"a fraction of the proxies loses its stream",
		(*runner).breakStreams,
	},
	ProxyPartition: {
		"a fraction of the proxies cannot reach its first instance",
		(*runner).partitionProxies,
	},
	LoadReportsLate: {
		"the proxies send their load reports Size seconds late",
		(*runner).delayLoadReports,
	},
	NeverAcknowledge: {
		"a fraction of the proxies acknowledges nothing",
		(*runner).stopAcknowledging,
	},
	ProxyMisbehaviour: {
		`a fraction of the proxies ignores withdrawals (Group "shuts") or retries any failure (Group "repeats")`,
		(*runner).misbehave,
	},
	RegistryFails: {
		"the registry answers 500",
		func(r *runner, step Step) { r.disturbRegistry(step, registry.Trouble{Fails: true}) },
	},
	RegistrySilent: {
		"the registry accepts requests and answers nothing",
		func(r *runner, step Step) { r.disturbRegistry(step, registry.Trouble{Silent: true}) },
	},
	RegistryLate: {
		"the registry answers Size seconds late",
		func(r *runner, step Step) { r.disturbRegistry(step, registry.Trouble{Late: seconds(step.Size)}) },
	},
	RegistryTruncates: {
		"the registry ends its answers halfway",
		func(r *runner, step Step) { r.disturbRegistry(step, registry.Trouble{Half: true}) },
	},
	RegistryIndexBack: {
		"the registry's index goes back",
		func(r *runner, step Step) { r.disturbRegistry(step, registry.Trouble{IndexBack: true}) },
	},
	ReplicaVanish: {
		"a fraction of the replicas answers nothing, then comes back cold",
		func(r *runner, step Step) { r.disturbReplicas(step, r.silence, r.restartCold) },
	},
	ReplicaSlow: {
		"a fraction of the replicas takes Size times as long",
		func(r *runner, step Step) { r.disturbReplicas(step, slowdown(step.Size), slowdown(1)) },
	},
	NoisyNeighbor: {
		"a fraction of the replicas takes Size times as long, on and off each second",
		(*runner).alternateSpeed,
	},
	AllReplicasSlow: {
		"all replicas take Size times as long",
		(*runner).slowAllReplicas,
	},
	ReplicaAging: {
		"a fraction of the replicas becomes slower up to Size times, then restarts cold",
		(*runner).ageReplicas,
	},
	ReplicaFlapping: {
		"a fraction of the replicas answers nothing every other second",
		(*runner).flapReplicas,
	},
	Deploy: {
		"a fraction of the replicas is replaced, Number at a time: drained for Size seconds, then restarted cold",
		(*runner).deploy,
	},
	Drain: {
		`a fraction of the replicas drains (Group "but-one": all but the last one)`,
		(*runner).drainReplicas,
	},
	Grow: {
		"each zone gets Number more replicas, cold",
		(*runner).grow,
	},
	HeavyTail: {
		"a fraction of the requests costs Size times the work",
		(*runner).makeTailHeavy,
	},
	OperationFails: {
		"a fraction of the replicas fails the operation that Group names",
		(*runner).failOperation,
	},
	FewerConnections: {
		"all replicas accept only Number connections",
		(*runner).limitConnections,
	},
	SlowHandshake: {
		"a new connection costs all replicas Size times the work",
		(*runner).slowHandshakes,
	},
	FalseReports: {
		"a fraction of the replicas reports that it is idle",
		(*runner).falsifyReports,
	},
}

// StepKinds gives the names of all kinds of steps, sorted.
func StepKinds() []StepKind { return slices.Sorted(maps.Keys(stepKinds)) }

// misbehaviourOf says what the proxies do wrong that a group of ProxyMisbehaviour names.
func misbehaviourOf(group string) proxy.Disobey {
	return proxy.Disobey{
		IgnoresShuts:    group == groupIgnoresWithdrawals,
		RepeatsAnything: group == groupRetriesAnything,
	}
}

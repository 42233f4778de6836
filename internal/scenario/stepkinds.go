package scenario

import (
	"maps"
	"slices"

	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// StepKind is the kind of a step, as written in scenario files.
type StepKind string

// Steps that affect instances of the control plane, or a whole zone.
const (
	// ZoneLoss stops the zone's replicas, proxies and instances, and restarts them cold at the end. With Silent, the
	// replicas keep running but do not answer.
	ZoneLoss StepKind = "zone_loss"
	// InstanceCrash kills a fraction of the instances and restarts them after Duration, Number times, about Size seconds
	// apart.
	InstanceCrash StepKind = "governor_crash"
	// InstanceRoll gracefully restarts a fraction of the instances one after the other within Duration.
	InstanceRoll StepKind = "governor_roll"
	// InstanceStall suspends a fraction of the instances (SIGSTOP) and resumes them at the end.
	InstanceStall StepKind = "governor_stall"
)

// Steps that affect proxies or the requests of their clients.
const (
	// ProxyCrash stops a fraction of the proxies and restarts them at the end.
	ProxyCrash StepKind = "forwarder_crash"
	// ProxyStall stalls a fraction of the proxies for Size seconds, Number times.
	ProxyStall StepKind = "forwarder_stall"
	// ProxyReconnect breaks the stream of a fraction of the proxies.
	ProxyReconnect StepKind = "reconnect"
	// ProxyPartition makes a fraction of the proxies unable to reach the first instance of their lists.
	ProxyPartition StepKind = "one_sided"
	// LoadReportsLate delays the load reports of all proxies by Size seconds.
	LoadReportsLate StepKind = "sums_late"
	// NeverAcknowledge makes a fraction of the proxies send no acknowledgments.
	NeverAcknowledge StepKind = "never_ack"
	// ProxyMisbehavior makes a fraction of the proxies ignore withdrawals (Group "shuts") or retry after any failure
	// (Group "repeats").
	ProxyMisbehavior StepKind = "disobey"
	// HeavyTail multiplies the work of a fraction of the requests by Size.
	HeavyTail StepKind = "heavy_tail"
)

// Steps that affect the endpoint registry.
const (
	// RegistryFails makes the registry answer with status 500.
	RegistryFails StepKind = "list_down"
	// RegistrySilent makes the registry accept requests without answering them.
	RegistrySilent StepKind = "list_silent"
	// RegistryLate delays the registry's answers by Size seconds.
	RegistryLate StepKind = "list_late"
	// RegistryTruncates makes the registry end its answers halfway through the body.
	RegistryTruncates StepKind = "list_half"
	// RegistryIndexBack makes the registry's index decrease.
	RegistryIndexBack StepKind = "list_back"
)

// Steps that affect replicas.
const (
	// ReplicaVanish makes a fraction of the replicas stop answering, and restarts them cold at the end.
	ReplicaVanish StepKind = "vanish"
	// ReplicaSlow multiplies the processing time of a fraction of the replicas by Size.
	ReplicaSlow StepKind = "slow"
	// NoisyNeighbor multiplies the processing time of a fraction of the replicas by Size every other second, also after
	// the step (see injectReplicaFault).
	NoisyNeighbor StepKind = "neighbour"
	// AllReplicasSlow multiplies the processing time of all replicas by Size.
	AllReplicasSlow StepKind = "shared_slow"
	// ReplicaAging slows a fraction of the replicas down gradually, to Size times the processing time, then restarts
	// them cold. Shortly after the restart they are as slow again (see injectReplicaFault).
	ReplicaAging StepKind = "ageing"
	// ReplicaFlapping makes a fraction of the replicas not answer every other second, also after the step (see
	// injectReplicaFault).
	ReplicaFlapping StepKind = "flapping"
	// Deploy drains a fraction of the replicas for Size seconds and restarts them cold, in batches of Number replicas.
	Deploy StepKind = "deploy"
	// Drain drains a fraction of the replicas, or all but the last one (Group "but-one").
	Drain StepKind = "drain"
	// Grow adds Number cold replicas to each zone.
	Grow StepKind = "grow"
	// OperationFails makes a fraction of the replicas fail all requests of the operation that Group names.
	OperationFails StepKind = "class_fail"
	// FewerConnections limits all replicas to Number connections.
	FewerConnections StepKind = "conn_squeeze"
	// SlowHandshake multiplies the work to accept a connection by Size on all replicas.
	SlowHandshake StepKind = "handshake_slow"
	// FalseReports makes a fraction of the replicas report that they are idle.
	FalseReports StepKind = "false_reports"
)

// The values of Step.Group for the kinds that have variants.
const (
	groupAllButOne          = "but-one" // Drain: all replicas but the last one
	groupIgnoresWithdrawals = "shuts"   // ProxyMisbehavior
	groupRetriesAnything    = "repeats" // ProxyMisbehavior
)

// stepActions maps each kind of step to the function that executes it.
var stepActions = map[StepKind]func(r *runner, step Step){
	ZoneLoss:         (*runner).failZone,
	InstanceCrash:    (*runner).crashInstances,
	InstanceRoll:     (*runner).rollInstances,
	InstanceStall:    (*runner).stallInstances,
	ProxyCrash:       (*runner).crashProxies,
	ProxyStall:       (*runner).stallProxies,
	ProxyReconnect:   (*runner).breakStreams,
	ProxyPartition:   (*runner).partitionProxies,
	LoadReportsLate:  (*runner).delayLoadReports,
	NeverAcknowledge: (*runner).stopAcknowledging,
	ProxyMisbehavior: (*runner).makeProxiesMisbehave,
	RegistryFails:    func(r *runner, step Step) { r.injectRegistryFault(step, registry.Faults{RespondsNoLeader: true}) },
	RegistrySilent:   func(r *runner, step Step) { r.injectRegistryFault(step, registry.Faults{Silent: true}) },
	RegistryLate: func(r *runner, step Step) {
		r.injectRegistryFault(step, registry.Faults{Delay: seconds(step.Size)})
	},
	RegistryTruncates: func(r *runner, step Step) { r.injectRegistryFault(step, registry.Faults{TruncatesBody: true}) },
	RegistryIndexBack: func(r *runner, step Step) { r.injectRegistryFault(step, registry.Faults{IndexGoesBack: true}) },
	ReplicaVanish:     func(r *runner, step Step) { r.injectReplicaFault(step, r.silenceReplica, r.restartCold) },
	ReplicaSlow:       func(r *runner, step Step) { r.injectReplicaFault(step, setSlowdown(step.Size), setSlowdown(1)) },
	NoisyNeighbor:     (*runner).toggleSlowdown,
	AllReplicasSlow:   (*runner).slowAllReplicas,
	ReplicaAging:      (*runner).ageReplicas,
	ReplicaFlapping:   (*runner).flapReplicas,
	Deploy:            (*runner).deployReplicas,
	Drain:             (*runner).drainReplicas,
	Grow:              (*runner).addReplicasToZones,
	HeavyTail:         (*runner).injectHeavyTail,
	OperationFails:    (*runner).failOperation,
	FewerConnections:  (*runner).limitConnections,
	SlowHandshake:     (*runner).slowHandshakes,
	FalseReports:      (*runner).falsifyReports,
}

// StepKinds returns all kinds of steps, sorted.
func StepKinds() []StepKind { return slices.Sorted(maps.Keys(stepActions)) }

// misbehaviorOf returns the misbehavior that the Group of a ProxyMisbehavior step names.
func misbehaviorOf(group string) proxy.Misbehavior {
	return proxy.Misbehavior{
		IgnoresWithdrawals: group == groupIgnoresWithdrawals,
		RetriesAnything:    group == groupRetriesAnything,
	}
}

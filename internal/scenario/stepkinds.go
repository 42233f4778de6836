package scenario

import (
	"maps"
	"slices"

	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// StepKind names what a step does, as scenario files spell it.
type StepKind string

// Steps that affect instances of the control plane, or a whole zone.
const (
	// ZoneLoss: the zone's replicas, proxies and instances end and come back cold. Silent: its replicas stay but answer
	// nothing.
	ZoneLoss StepKind = "zone_loss"
	// InstanceCrash: a fraction of the instances is killed and restarted, Number times, about Size seconds apart.
	InstanceCrash StepKind = "governor_crash"
	// InstanceRoll: a fraction of the instances restarts one after the other, by graceful shutdown.
	InstanceRoll StepKind = "governor_roll"
	// InstanceStall: a fraction of the instances is stopped and continued.
	InstanceStall StepKind = "governor_stall"
)

// Steps that affect proxies or the requests of their clients.
const (
	// ProxyCrash: a fraction of the proxies ends and starts again.
	ProxyCrash StepKind = "forwarder_crash"
	// ProxyStall: a fraction of the proxies stalls for Size seconds, Number times.
	ProxyStall StepKind = "forwarder_stall"
	// ProxyReconnect: a fraction of the proxies loses its stream.
	ProxyReconnect StepKind = "reconnect"
	// ProxyPartition: a fraction of the proxies cannot reach its first instance.
	ProxyPartition StepKind = "one_sided"
	// LoadReportsLate: the proxies send their load reports Size seconds late.
	LoadReportsLate StepKind = "sums_late"
	// NeverAcknowledge: a fraction of the proxies acknowledges nothing.
	NeverAcknowledge StepKind = "never_ack"
	// ProxyMisbehavior: a fraction of the proxies ignores withdrawals (Group "shuts") or retries any failure (Group
	// "repeats").
	ProxyMisbehavior StepKind = "disobey"
	// HeavyTail: a fraction of the requests costs Size times the work.
	HeavyTail StepKind = "heavy_tail"
)

// Steps that affect the endpoint registry.
const (
	// RegistryFails: the registry answers 500.
	RegistryFails StepKind = "list_down"
	// RegistrySilent: the registry accepts requests and answers nothing.
	RegistrySilent StepKind = "list_silent"
	// RegistryLate: the registry answers Size seconds late.
	RegistryLate StepKind = "list_late"
	// RegistryTruncates: the registry ends its answers halfway.
	RegistryTruncates StepKind = "list_half"
	// RegistryIndexBack: the registry's index goes back.
	RegistryIndexBack StepKind = "list_back"
)

// Steps that affect replicas.
const (
	// ReplicaVanish: a fraction of the replicas answers nothing, then comes back cold.
	ReplicaVanish StepKind = "vanish"
	// ReplicaSlow: a fraction of the replicas takes Size times as long.
	ReplicaSlow StepKind = "slow"
	// NoisyNeighbor: a fraction of the replicas takes Size times as long, on and off each second, also after the step
	// (see disturbReplicas).
	NoisyNeighbor StepKind = "neighbour"
	// AllReplicasSlow: all replicas take Size times as long.
	AllReplicasSlow StepKind = "shared_slow"
	// ReplicaAging: a fraction of the replicas becomes slower up to Size times, then restarts cold and, a moment later,
	// is as slow again (see disturbReplicas).
	ReplicaAging StepKind = "ageing"
	// ReplicaFlapping: a fraction of the replicas answers nothing every other second, also after the step (see
	// disturbReplicas).
	ReplicaFlapping StepKind = "flapping"
	// Deploy: a fraction of the replicas is replaced, Number at a time: drained for Size seconds, then restarted cold.
	Deploy StepKind = "deploy"
	// Drain: a fraction of the replicas drains (Group "but-one": all but the last one).
	Drain StepKind = "drain"
	// Grow: each zone gets Number more replicas, cold.
	Grow StepKind = "grow"
	// OperationFails: a fraction of the replicas fails the operation that Group names.
	OperationFails StepKind = "class_fail"
	// FewerConnections: all replicas accept only Number connections.
	FewerConnections StepKind = "conn_squeeze"
	// SlowHandshake: a new connection costs all replicas Size times the work.
	SlowHandshake StepKind = "handshake_slow"
	// FalseReports: a fraction of the replicas reports that it is idle.
	FalseReports StepKind = "false_reports"
)

// The values of Step.Group for kinds that have variants.
const (
	groupAllButOne          = "but-one" // Drain: the last replica is spared
	groupIgnoresWithdrawals = "shuts"   // ProxyMisbehavior
	groupRetriesAnything    = "repeats" // ProxyMisbehavior
)

// stepActions carry out the kinds of steps.
var stepActions = map[StepKind]func(r *runner, step Step){
	ZoneLoss:          (*runner).loseZone,
	InstanceCrash:     (*runner).crashInstances,
	InstanceRoll:      (*runner).rollInstances,
	InstanceStall:     (*runner).stallInstances,
	ProxyCrash:        (*runner).crashProxies,
	ProxyStall:        (*runner).stallProxies,
	ProxyReconnect:    (*runner).breakStreams,
	ProxyPartition:    (*runner).partitionProxies,
	LoadReportsLate:   (*runner).delayLoadReports,
	NeverAcknowledge:  (*runner).stopAcknowledging,
	ProxyMisbehavior:  (*runner).misbehave,
	RegistryFails:     func(r *runner, step Step) { r.disturbRegistry(step, registry.Faults{Fails: true}) },
	RegistrySilent:    func(r *runner, step Step) { r.disturbRegistry(step, registry.Faults{Silent: true}) },
	RegistryLate:      func(r *runner, step Step) { r.disturbRegistry(step, registry.Faults{Delay: seconds(step.Size)}) },
	RegistryTruncates: func(r *runner, step Step) { r.disturbRegistry(step, registry.Faults{TruncatesBody: true}) },
	RegistryIndexBack: func(r *runner, step Step) { r.disturbRegistry(step, registry.Faults{IndexGoesBack: true}) },
	ReplicaVanish:     func(r *runner, step Step) { r.disturbReplicas(step, r.silence, r.restartCold) },
	ReplicaSlow:       func(r *runner, step Step) { r.disturbReplicas(step, slowdown(step.Size), slowdown(1)) },
	NoisyNeighbor:     (*runner).alternateSpeed,
	AllReplicasSlow:   (*runner).slowAllReplicas,
	ReplicaAging:      (*runner).ageReplicas,
	ReplicaFlapping:   (*runner).flapReplicas,
	Deploy:            (*runner).deploy,
	Drain:             (*runner).drainReplicas,
	Grow:              (*runner).grow,
	HeavyTail:         (*runner).makeTailHeavy,
	OperationFails:    (*runner).failOperation,
	FewerConnections:  (*runner).limitConnections,
	SlowHandshake:     (*runner).slowHandshakes,
	FalseReports:      (*runner).falsifyReports,
}

// StepKinds gives the names of all kinds of steps, sorted.
func StepKinds() []StepKind { return slices.Sorted(maps.Keys(stepActions)) }

// misbehaviorOf returns the misbehavior that the Group of a ProxyMisbehavior step names.
func misbehaviorOf(group string) proxy.Misbehavior {
	return proxy.Misbehavior{
		IgnoresWithdrawals: group == groupIgnoresWithdrawals,
		RetriesAnything:    group == groupRetriesAnything,
	}
}

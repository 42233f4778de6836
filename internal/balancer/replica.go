package balancer

import (
	"fmt"
	"slices"

	"peppervale/internal/model"
)

// replicaState is a state of a replica's lifecycle.
type replicaState uint8

const (
	absent   replicaState = 1 << iota // not in the endpoint list
	draining                          // listed as draining
	warming                           // in use at a rising fraction of its weight
	serving                           // in use at its full weight
	ejected                           // listed as ready, withdrawn by outlier detection
)

// replicaEvent is an event of a replica's lifecycle.
type replicaEvent uint8

const (
	listedAsReady    replicaEvent = 1 << iota
	startReported                 // listed as ready, and started recently
	drainReported                 // listed as draining
	removedFromList               // not in the endpoint list any more
	failureDetected               // by outlier detection
	slowStartElapsed              // the slow start is over
	ejectionElapsed               // the ejection is over
)

var replicaTransitions = []transition[replicaState, replicaEvent, *replica]{
	{absent | draining, listedAsReady, serving, (*Balancer).endSlowStart},
	{absent | draining | warming | serving | ejected, startReported, warming, (*Balancer).beginSlowStart},
	{absent | warming | serving | ejected, drainReported, draining, (*Balancer).endSlowStart},
	{draining | warming | serving | ejected, removedFromList, absent, (*Balancer).endSlowStart},
	{warming | serving, failureDetected, ejected, (*Balancer).beginEjection},
	{warming, slowStartElapsed, serving, (*Balancer).endSlowStart},
	{ejected, ejectionElapsed, warming, (*Balancer).beginSlowStart},
}

// replicaEventMessages are the log messages of events. They are stored in the decision log, so they must not change.
var replicaEventMessages = map[replicaEvent]string{
	listedAsReady:    "listed",
	startReported:    "started",
	drainReported:    "draining",
	removedFromList:  "gone",
	failureDetected:  "ejected",
	slowStartElapsed: "warmed up",
	ejectionElapsed:  "ejection ended",
}

// replica is the state of one replica.
type replica struct {
	id      model.ReplicaID
	zone    int
	state   replicaState
	entries []*entry // its entries, at most one in each table

	startedAt   model.Microseconds // start time in the endpoint list; 0: not given
	warmUpFrom  model.Microseconds // startedAt, or when it was first listed with a start time that lay ahead
	slowStartAt model.Microseconds // when its slow start began
	restarted   bool               // it had load statistics when its slow start began
	generation  int                // raised to cancel pending deadlines, which hold an earlier generation
	ejections   int                // number of ejections in a row

	load             replicaLoad
	expectedRate     float64 // requests a second, by its entries' shares of the expected rates of their tables
	capacityEstimate float64 // load that it can serve; 1: as much as the average replica

	withdrawn              bool               // its withdrawal was sent, and no readmission since
	withdrawnAt            model.Microseconds // when a withdrawal or readmission was last sent
	withdrawnUrgently      bool               // its withdrawal was sent as that of a draining or unlisted replica
	maybeWithdrawnByOthers bool               // other balancers may have withdrawn the replica
	unavailableBefore      bool               // the cached list has it as draining or gone, or does not name it
}

// listedReady reports whether the endpoint list has a replica as ready. The replica may be withdrawn.
func (r *replica) listedReady() bool { return r.state&(warming|serving|ejected) != 0 }

// inUse reports whether a replica's state allows proxies to pick it. A replica in use may still be withdrawn while it
// warms up.
func (r *replica) inUse() bool { return r.state&(warming|serving) != 0 }

// countReplicas returns the number of replicas for which matches returns true.
func (b *Balancer) countReplicas(matches func(*replica) bool) (n int) {
	for _, r := range b.replicas {
		if matches(r) {
			n++
		}
	}
	return n
}

// findOrAddReplica returns the replica of an endpoint. A new replica is inserted at a random index, so that the
// tables of different balancers differ.
func (b *Balancer) findOrAddReplica(id model.ReplicaID) *replica {
	if existing := b.replicasByID[id]; existing != nil {
		return existing
	}
	added := &replica{id: id, state: absent, unavailableBefore: b.hasCachedList}
	b.replicasByID[id] = added
	b.replicas = slices.Insert(b.replicas, b.random.intn(len(b.replicas)+1), added)
	return added
}

// updateEndpoint updates a replica from its entry in the endpoint list.
func (b *Balancer) updateEndpoint(r *replica, endpoint model.Endpoint) {
	r.zone = endpoint.Zone % b.config.Zones
	event := b.endpointEvent(r, endpoint)
	if endpoint.Status == model.EndpointReady && endpoint.StartedAt != r.startedAt {
		r.startedAt = endpoint.StartedAt
		r.warmUpFrom = min(r.startedAt, b.now) // its machine's clock may be ahead
	}
	b.applyReplicaEvent(r, event, "")
}

func (b *Balancer) endpointEvent(r *replica, endpoint model.Endpoint) replicaEvent {
	switch {
	case endpoint.Status == model.EndpointDraining:
		return drainReported
	case endpoint.Status != model.EndpointReady:
		return removedFromList
	case b.isRecentStart(r, endpoint.StartedAt):
		return startReported
	default:
		return listedAsReady
	}
}

// isRecentStart reports whether a start time is new for a replica and within the span of a slow start.
func (b *Balancer) isRecentStart(r *replica, startedAt model.Microseconds) bool {
	return startedAt > 0 && startedAt != r.startedAt && b.now-startedAt < slowStartSpan
}

// recordAvailability records which replicas the former incarnation had available, as far as the cached list tells.
func (b *Balancer) recordAvailability() {
	b.hasCachedList = true
	for _, r := range b.replicas {
		r.unavailableBefore = !r.listedReady()
	}
}

// removeUnlisted applies removedFromList to every replica that a complete endpoint list does not name.
func (b *Balancer) removeUnlisted(listed map[*replica]bool) {
	for _, r := range b.replicas {
		if !listed[r] {
			b.applyReplicaEvent(r, removedFromList, "")
		}
	}
}

// applyReplicaEvent applies an event to a replica's state machine and logs a change of state; evidence, which may be
// empty, ends the log message. A first listing is not logged, as hundreds of them would flood the log after a start.
func (b *Balancer) applyReplicaEvent(r *replica, event replicaEvent, evidence string) {
	previousState := r.state
	applyEvent(b, replicaTransitions, &r.state, event, r)
	b.fleetChanged = true
	worthLogging := previousState != r.state && event != listedAsReady
	r.maybeWithdrawnByOthers = r.maybeWithdrawnByOthers || r.startedAt > 0 || worthLogging
	if worthLogging {
		b.logReplica(r, replicaEventMessages[event]+evidence)
	}
}

func (b *Balancer) logReplica(r *replica, message string) {
	b.publisher.Log(fmt.Sprintf("replica %v:%d zone %d %s", r.id.Addr, r.id.Port, r.zone, message))
}

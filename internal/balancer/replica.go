package balancer

import (
	"fmt"
	"slices"

	"peppervale/internal/model"
)

// replicaState is a state of a replica's life cycle.
type replicaState uint8

const (
	absent   replicaState = 1 << iota // not in the endpoint list
	draining                          // listed as draining
	warming                           // in use at a rising fraction of its weight
	serving                           // in use at its full weight
	ejected                           // listed as ready, withdrawn by outlier detection
)

// replicaEvent is an event of a replica's life cycle.
type replicaEvent uint8

const (
	listedAsReady    replicaEvent = 1 << iota
	startReported                 // listed as ready, and started recently
	drainReported                 // listed as draining
	removedFromList               // not in the endpoint list any more
	failureDetected               // by outlier detection
	slowStartElapsed              // it may have its full weight
	ejectionElapsed               // it is to be used again
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

// replicaEventMessages are the log messages of events. They are stored in the decision log.
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
	entries []*entry // its places in tables

	startedAt   model.Microseconds // as the endpoint list has it; 0: long ago
	slowStartAt model.Microseconds // when its slow start began
	restarted   bool               // it had statistics when its slow start began
	generation  int                // a deadline of an earlier generation has lapsed
	ejections   int                // in a row

	load             replicaLoad
	expectedRate     float64 // requests a second: the share of its entries in the tables' traffic
	capacityEstimate float64 // what it can take, relative to the average replica

	withdrawn          bool // its withdrawal was sent, last at withdrawnAt
	withdrawnAt        model.Microseconds
	withdrawnElsewhere bool // other balancers may have withdrawn it
}

// listedReady reports whether the endpoint list has a replica as ready; it may be withdrawn all the same.
func (r *replica) listedReady() bool { return r.state&(warming|serving|ejected) != 0 }

// inUse reports whether a replica's state lets proxies pick it. It may be withdrawn while warming up all the same.
func (r *replica) inUse() bool { return r.state&(warming|serving) != 0 }

// countReplicas counts the replicas that match.
func (b *Balancer) countReplicas(matches func(*replica) bool) (n int) {
	for _, r := range b.replicas {
		if matches(r) {
			n++
		}
	}
	return n
}

// findOrAddReplica returns the replica of an endpoint. A new one gets a random place in the order of replicas, so
// that balancers fill their tables differently.
func (b *Balancer) findOrAddReplica(id model.ReplicaID) *replica {
	if known := b.replicasByID[id]; known != nil {
		return known
	}
	added := &replica{id: id, state: absent}
	b.replicasByID[id] = added
	b.replicas = slices.Insert(b.replicas, b.random.intn(len(b.replicas)+1), added)
	return added
}

// updateEndpoint takes what the endpoint list says of a replica.
func (b *Balancer) updateEndpoint(r *replica, endpoint model.Endpoint) {
	r.zone = endpoint.Zone % b.config.Zones
	event := b.endpointEvent(r, endpoint)
	if endpoint.Status == model.EndpointReady {
		r.startedAt = endpoint.StartedAt
	}
	b.changeReplica(r, event, "")
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

// isRecentStart reports whether a start time is not yet known of a replica, and within the span of a slow start.
func (b *Balancer) isRecentStart(r *replica, startedAt model.Microseconds) bool {
	return startedAt > 0 && startedAt != r.startedAt && b.now-startedAt < slowStartSpan
}

// removeUnlisted handles the removal of every replica that a complete endpoint list does not name.
func (b *Balancer) removeUnlisted(named map[*replica]bool) {
	for _, r := range b.replicas {
		if !named[r] {
			b.changeReplica(r, removedFromList, "")
		}
	}
}

// changeReplica applies an event to a replica's state machine and logs a change of state; evidence, which may be empty,
// ends the log message. A first listing is not logged: hundreds of them would flood the log at the start.
func (b *Balancer) changeReplica(r *replica, event replicaEvent, evidence string) {
	before := r.state
	apply(b, replicaTransitions, &r.state, event, r)
	b.changed = true
	noteworthy := before != r.state && event != listedAsReady
	r.withdrawnElsewhere = r.withdrawnElsewhere || r.startedAt > 0 || noteworthy
	if noteworthy {
		b.logReplica(r, replicaEventMessages[event]+evidence)
	}
}

func (b *Balancer) logReplica(r *replica, message string) {
	b.publisher.Log(fmt.Sprintf("replica %v:%d zone %d %s", r.id.Addr, r.id.Port, r.zone, message))
}

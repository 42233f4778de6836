// Package replica is a stand-in for a server of requests over HTTP/1.1. It models cores, a queue, a warm-up, a limit on
// connections and draining. Each response carries a load report in the text form of the ORCA header. A header field
// states the work of a request. The replica waits for that time and uses no CPU for it, so that one machine can run
// many replicas.
package replica

import (
	"fmt"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Config holds the properties of a replica.
type Config struct {
	ID                       model.ReplicaID
	Zone, DeduplicationGroup string // the group's replicas deduplicate requests among themselves
	Cores                    int
	Speed                    float64 // of a core: microseconds of work per microsecond
	QueueLimit               int     // maximum number of waiting requests; requests above it are rejected
	MaxConnections           int     // open at the same time; connections above it are closed
	InitialShare             float64 // of the capacity, right after a cold start
	WarmUpPeriod             model.Microseconds
	OverloadFactor           float64            // a warming replica fails above this multiple of its current capacity
	OverloadWindow           model.Microseconds // window of OverloadFactor; only a restart ends the failure
	ReportInterval           model.Microseconds // between two refreshes of the load report
	HandshakeWork            float64            // work of accepting a connection, in microseconds
}

// Replica is a replica that can be started and stopped. Its fields and methods may be used on its loop only.
type Replica struct {
	Config
	Slowdown          float64      // factor on the duration of all work; 1: none
	Silent            bool         // accepts connections and requests, and sends no response
	Draining          bool         // rejects new work
	ReportsIdle       bool         // reports a low utilization at any load
	FailingOperations map[int]bool // by index of the operation; responds with status 500

	StartedAt  model.Microseconds // 0: the replica started warm
	Running    bool
	Overloaded bool // it has failed because of overload
	Served     int  // number of requests executed and answered, over all runs

	loop                 *standin.Loop
	group                *DeduplicationGroup
	deduplicationWindows []model.Microseconds // by operation; 0: the operation has no idempotency key
	observe              func(invariants.Event)
	engine               *netpoll.Engine
	generation           int // incremented at each start and stop; events of an earlier generation are ignored

	connections int
	queue       workQueue
	load        loadMeter
	overload    overloadMeter
}

// New creates a replica that is not running. deduplicationWindows holds the window of each operation, 0 for an
// operation without an idempotency key. observe is called on the loop.
func New(
	loop *standin.Loop, config Config, group *DeduplicationGroup,
	deduplicationWindows []model.Microseconds, observe func(invariants.Event),
) *Replica {
	return &Replica{
		Config:               config,
		Slowdown:             1,
		loop:                 loop,
		group:                group,
		deduplicationWindows: deduplicationWindows,
		observe:              observe,
	}
}

// Start listens on the replica's address, which stays the same over restarts. A replica that starts cold warms up over
// WarmUpPeriod. Start does nothing if the replica is running. It fails if it cannot listen on the address.
func (r *Replica) Start(cold bool) error {
	if r.Running {
		return nil
	}
	r.generation++
	engine, err := netpoll.Start(1, r.handlers(r.generation), pubsubmsg.FormatAddress(r.ID))
	r.engine = engine
	if err != nil {
		return fmt.Errorf("replica %s: %w", pubsubmsg.FormatAddress(r.ID), err)
	}
	now := r.loop.Now()
	r.Running = true
	r.Overloaded = false
	r.Silent = false
	r.Draining = false
	r.connections = 0
	r.queue = workQueue{}
	r.load = loadMeter{measuredAt: now}
	r.overload = overloadMeter{}
	r.StartedAt = 0
	started := invariants.ReplicaStarted{
		At:                 now,
		Replica:            r.ID,
		DeduplicationGroup: r.DeduplicationGroup,
		Capacity:           r.capacity(),
		InitialShare:       1,
	}
	if cold {
		r.StartedAt = now
		started.InitialShare = r.InitialShare
		started.WarmUpPeriod = r.WarmUpPeriod
	}
	r.observe(started)
	return nil
}

// Stop closes the replica's connections and drops all its work, as when a process is killed.
func (r *Replica) Stop() {
	if !r.Running {
		return
	}
	r.Running = false
	r.generation++
	engine := r.engine
	go engine.Stop() // Stop waits for handlers, which post to this loop
}

// capacity returns the capacity of the warm replica, in microseconds of work per microsecond.
func (r *Replica) capacity() float64 { return float64(r.Cores) * r.Speed }

// availableShare returns the share of the full capacity that is available now.
func (r *Replica) availableShare(now model.Microseconds) float64 {
	if r.StartedAt == 0 || now >= r.StartedAt+r.WarmUpPeriod {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*float64(now-r.StartedAt)/float64(r.WarmUpPeriod)
}

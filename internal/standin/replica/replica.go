// Package replica is a stand-in for a server of requests over HTTP/1.1. It has cores, a queue, a warm-up, a limit on
// connections, draining, and a load report in each response, in the text form of the ORCA header. The work of a request
// is one of its header fields and is served by waiting, not by burning cores, so that one machine can hold many
// replicas.
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
	Zone, DeduplicationGroup string // the group: replicas that drop repeats of a request among themselves
	Cores                    int
	Speed                    float64 // of a core: microseconds of work in a microsecond
	QueueLimit               int     // requests that may wait; more are rejected
	MaxConnections           int     // accepted at once
	InitialShare             float64 // of its capacity, right after a cold start
	WarmUpPeriod             model.Microseconds
	OverloadFactor           float64            // times its capacity: a warming replica that is sent more...
	OverloadWindow           model.Microseconds // ...within this window fails until it restarts
	ReportInterval           model.Microseconds // between two refreshes of its load report
	HandshakeWork            float64            // work that accepting a connection costs, in microseconds
}

// Replica is a replica that can be started and stopped. Its fields and methods belong to its loop.
type Replica struct {
	Config
	Slowdown          float64      // factor on the duration of all work; 1: none
	Silent            bool         // accepts connections and bytes, and answers nothing
	Draining          bool         // rejects new work
	ReportsIdle       bool         // reports that it is idle
	FailingOperations map[int]bool // by index of the operation: answers 500

	StartedAt  model.Microseconds // 0: before the scenario, warm
	Running    bool
	Overloaded bool // it failed of overload
	Served     int  // requests executed and answered, over all runs

	loop    *standin.Loop
	group   *DeduplicationGroup
	windows []model.Microseconds // by operation, in which repeats are dropped; 0: it has no idempotency key
	observe func(invariants.Event)
	engine  *netpoll.Engine
	run     int // grows with each start and stop, so that events of an earlier run can be told apart and ignored

	connections int
	queue       workQueue
	load        loadMeter
	overload    overloadMeter
}

// New makes a replica that is not running. windows gives for each operation how long the deduplication group remembers
// a request, 0 where it has no idempotency key. observe is called on the loop.
func New(
	loop *standin.Loop, config Config, group *DeduplicationGroup,
	windows []model.Microseconds, observe func(invariants.Event),
) *Replica {
	return &Replica{Config: config, Slowdown: 1, loop: loop, group: group, windows: windows, observe: observe}
}

// Start listens on the replica's address, which stays the same over restarts, and begins cold or warm. It does nothing
// if the replica runs. An error says that the address cannot be listened on.
func (r *Replica) Start(cold bool) error {
	if r.Running {
		return nil
	}
	r.run++
	engine, err := netpoll.Start(1, r.handlers(r.run), pubsubmsg.FormatAddress(r.ID))
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

// Stop closes the replica's connections and drops all its work, as the end of a process does.
func (r *Replica) Stop() {
	if !r.Running {
		return
	}
	r.Running = false
	r.run++
	engine := r.engine
	go engine.Stop() // Stop waits for handlers, which post to this loop
}

// capacity is that of the warm replica, in microseconds of work per microsecond.
func (r *Replica) capacity() float64 { return float64(r.Cores) * r.Speed }

// warmth is the share of its full capacity that it has now.
func (r *Replica) warmth(now model.Microseconds) float64 {
	if r.StartedAt == 0 || now >= r.StartedAt+r.WarmUpPeriod {
		return 1
	}
	return r.InitialShare + (1-r.InitialShare)*float64(now-r.StartedAt)/float64(r.WarmUpPeriod)
}

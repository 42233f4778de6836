package proxy

import (
	"github.com/lesismal/nbio"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Pick is the policy by which a proxy picks an entry of its table.
type Pick string

// The policies for picking an entry.
const (
	PickWeightedRandom Pick = "lottery" // at random, by weight
	PickRoundRobin     Pick = "wheel"   // smooth weighted round robin
	PickTwoChoices     Pick = "pair"    // of two drawn by weight, the one with fewer of the proxy's requests in flight
)

// Operation holds the time limits of an operation.
type Operation struct {
	LatencyObjective, Timeout model.Microseconds
}

// Config holds the properties of a proxy.
type Config struct {
	Name, Zone            string
	ZoneIndex             int
	Instances             []Instance // first the instance of the proxy's zone
	ExpectedRate          float64    // requests a second; the proxy reports it when it joins
	Pick                  Pick
	Operations            []Operation
	DefaultRetryPolicy    model.RetryPolicy  // applies until a quota sets a retry policy
	RetryableAttemptShare float64            // timeout of a retryable attempt, as a share of the latency objective
	EjectAfter            int                // consecutive failures until the proxy itself ejects a replica; 0: never
	EjectFor              model.Microseconds // duration of such an ejection
	RedialInterval        model.Microseconds // a reconnect waits for one to three times this, at random
	DialTimeout           model.Microseconds
	IdleTimeout           model.Microseconds // of connections to replicas; 0: no limit
	StallPerEntry         model.Microseconds // duration of the stall for each entry received
	// OnMessage is called with each message that the proxy has applied and the name of its sender. It may be nil.
	OnMessage       func(receiver *Proxy, instance string, message *pubsubmsg.Message)
	OmitLoadReports bool // the proxy sends no load reports; used to measure the channel
}

// Instance is an instance of the control plane that a proxy may join.
type Instance struct{ Name, Address string }

// Misbehavior selects the faults of a proxy in a scenario.
type Misbehavior struct {
	NeverAcks          bool
	IgnoresWithdrawals bool // keeps sending to replicas that are withdrawn or removed from its table
	RetriesAnything    bool // retries after any failure, regardless of the retry policy
}

// Proxy is a proxy that can be started and killed. Its fields and methods may be used on its loop only.
type Proxy struct {
	Config
	Misbehavior Misbehavior
	// ReportDelay is the time by which each load report is postponed.
	ReportDelay model.Microseconds
	// Unreachable holds the names of the instances that the proxy cannot dial, as if the link were down.
	Unreachable map[string]bool
	// Counters over all runs. Deferred counts joins that the instance deferred, Redirected joins that it redirected to
	// another instance. Fenced counts messages that were not applied because their sender had lost its lease.
	Messages, Bytes, EntriesReceived, Resyncs, Joins, Deferred, Redirected, Fenced int

	loop       *standin.Loop
	engine     *netpoll.Engine
	random     *standin.Random
	observe    func(invariants.Event)
	running    bool
	generation int // incremented at each start and kill; events of an earlier generation are ignored
	stall      stall

	table    table
	replicas map[model.ReplicaID]*replicaState

	stream          *stream
	nextInstance    int                       // index of the instance to dial next, modulo their number
	appliedVersions map[string]appliedVersion // version of the newest applied message, by the instance's name
	fence           lease.Fence
	// awaitsNewHolder is set while the shard's lease holder has changed and the new holder has sent no updates yet.
	awaitsNewHolder bool
}

// appliedVersion identifies the newest applied message of an instance.
type appliedVersion struct{ incarnation, version uint64 }

// New creates a proxy that is not running. engine is made by NewEngine. The seed and the proxy's name determine the
// proxy's random draws. observe is called on the loop.
func New(
	loop *standin.Loop, engine *netpoll.Engine, config Config, seed uint64, observe func(invariants.Event),
) *Proxy {
	return &Proxy{
		Config:      config,
		Unreachable: map[string]bool{},
		loop:        loop,
		engine:      engine,
		random:      standin.NewRandom(seed, config.Name),
		observe:     observe,
	}
}

// connectionEvents receives a connection's events on the engine's goroutines and posts them to the loop.
type connectionEvents interface {
	onData(data []byte)
	onClose()
}

// pollersPerEngine is the number of pollers of an engine.
const pollersPerEngine = 2

// NewEngine starts a poller engine, which any number of proxies can share.
func NewEngine() (*netpoll.Engine, error) {
	return netpoll.Start(pollersPerEngine, netpoll.Handlers{
		Data: func(conn *nbio.Conn, data []byte) {
			if s, ok := conn.Session().(connectionEvents); ok {
				s.onData(append([]byte(nil), data...))
			}
		},
		Close: func(conn *nbio.Conn, _ error) {
			if s, ok := conn.Session().(connectionEvents); ok {
				s.onClose()
			}
		},
	})
}

// Start starts the proxy with a standing table and discards the state of an earlier run. It does nothing if the proxy
// is running.
func (p *Proxy) Start(standing []invariants.TableEntry) {
	if p.running {
		return
	}
	p.generation++
	p.running = true
	p.stall = stall{}
	p.table = newTable(standing)
	p.replicas = map[model.ReplicaID]*replicaState{}
	p.appliedVersions = map[string]appliedVersion{}
	p.nextInstance = 0
	p.fence = lease.Fence{}
	p.awaitsNewHolder = false
	p.observe(invariants.ProxyStarted{At: p.loop.Now(), Proxy: p.Name, Zone: p.ZoneIndex, Standing: standing})
	p.dialAfter(0)
}

// Kill closes the proxy's stream and idle connections and abandons its requests, as when a process is killed.
func (p *Proxy) Kill() {
	if !p.running {
		return
	}
	p.running = false
	p.generation++
	p.observe(invariants.ProxyStopped{At: p.loop.Now(), Proxy: p.Name})
	if p.stream != nil {
		p.stream.close()
	}
	for _, r := range p.replicas {
		r.closeIdle()
	}
}

// BreakStream closes the proxy's connection to its instance. The proxy detects this at once and reconnects.
func (p *Proxy) BreakStream() {
	if p.stream != nil {
		_ = p.stream.conn.Close()
	}
}

// stall is a period in which the proxy does nothing, like a process that is not scheduled.
type stall struct {
	until   model.Microseconds
	pending []func() // actions that became due during the stall
}

// Stall suspends the proxy for a time span, which begins after any stall in progress. Received data and due actions
// are handled in order afterwards. Timers of requests in flight are not suspended.
func (p *Proxy) Stall(span model.Microseconds) {
	until := max(p.stall.until, p.loop.Now()) + span
	p.stall.until = until
	p.loop.At(until, func() {
		if p.stall.until > p.loop.Now() {
			return
		}
		pending := p.stall.pending
		p.stall.pending = nil
		for _, action := range pending {
			action()
		}
	})
}

// runAfterStall runs an action now or, if the proxy is stalled, after the stall. It drops the action if the proxy is
// killed during the stall.
func (p *Proxy) runAfterStall(action func()) {
	if p.stall.until <= p.loop.Now() {
		action()
		return
	}
	generation := p.generation
	p.stall.pending = append(p.stall.pending, func() {
		if p.generation == generation {
			action()
		}
	})
}

// JoinedInstance returns the name of the instance that the proxy has joined, or "" if there is none.
func (p *Proxy) JoinedInstance() string {
	if p.stream != nil && p.stream.joined {
		return p.stream.instance.Name
	}
	return ""
}

// acceptEpoch reports whether the proxy may apply a message of this epoch: it may if it has seen no newer epoch.
// After a change of the lease holder, a request that may have been executed is not retried until the new holder has
// sent updates, because the retry policies in force were set by the former holder.
func (p *Proxy) acceptEpoch(epoch uint64) bool {
	previousEpoch := p.fence.Epoch
	accepted, changed := p.fence.Accept(epoch)
	if changed && previousEpoch > 0 {
		p.awaitsNewHolder = true
	}
	return accepted
}

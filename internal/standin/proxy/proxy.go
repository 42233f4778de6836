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

// Pick says how a proxy picks an entry of its table.
type Pick string

// The policies for picking an entry.
const (
	PickWeightedRandom Pick = "lottery" // at random, by weight
	PickRoundRobin     Pick = "wheel"   // smooth weighted round robin
	PickTwoChoices     Pick = "pair"    // of two drawn by weight, the one with fewer of its own requests in flight
)

// Operation is what a proxy knows of an operation.
type Operation struct {
	LatencyObjective, Timeout model.Microseconds
}

// Config holds the properties of a proxy.
type Config struct {
	Name, Zone         string
	ZoneIndex          int
	Instances          []Instance // its own zone's first
	ExpectedRate       float64    // requests a second that it reports when it joins
	Pick               Pick
	Operations         []Operation
	DefaultRetryPolicy model.RetryPolicy // in force until a quota sets one
	FirstAttemptShare  float64           // of the latency objective: timeout of an attempt that may be retried
	EjectAfter         int               // consecutive failures after which it avoids a replica by itself; 0: never
	EjectFor           model.Microseconds
	RedialInterval     model.Microseconds // the wait before a dial is drawn from one to three times this
	DialTimeout        model.Microseconds
	IdleTimeout        model.Microseconds
	StallPerEntry      model.Microseconds // it stalls for this long for each entry that it receives
	// OnMessage is called with each message that the proxy applied and the name of its instance; nil: none.
	OnMessage       func(receiver *Proxy, instance string, message *pubsubmsg.Message)
	OmitLoadReports bool // for measuring the channel: it sends no load reports
}

// Instance is an instance of the control plane that a proxy may join.
type Instance struct{ Name, Address string }

// Misbehavior is what a scenario has a proxy do wrong.
type Misbehavior struct {
	NeverAcks          bool
	IgnoresWithdrawals bool // goes on sending to replicas that are withdrawn or removed from its table
	RetriesAnything    bool // retries after any failure, whatever its retry policy
}

// Proxy is a proxy that can be started and killed. Its fields and methods belong to its loop.
type Proxy struct {
	Config
	Misbehavior Misbehavior
	// ReportDelay is how much later than due its load reports are sent.
	ReportDelay model.Microseconds
	// Unreachable holds the names of the instances that it cannot dial, as if the link were down.
	Unreachable map[string]bool
	// Counters over all runs. Deferred and Redirected count joins that were answered with a later time or with another
	// instance's address; Fenced counts messages of a lost lease that were not applied.
	Messages, Bytes, EntriesReceived, Resyncs, Joins, Deferred, Redirected, Fenced int

	loop    *standin.Loop
	engine  *netpoll.Engine
	random  *standin.Random
	observe func(invariants.Event)
	running bool
	run     int // grows with each start and end, so that events of an earlier run can be told apart and ignored
	stall   stall

	table    table
	replicas map[model.ReplicaID]*replicaState

	stream       *stream
	nextInstance int                    // to dial
	versions     map[string]heldVersion // the newest message applied, by the instance's name
	fence        lease.Fence
	// awaitsNewHolder: the lease holder of its shard changed, and the new one has sent no updates yet.
	awaitsNewHolder bool
}

// heldVersion is the newest message of an instance that was applied.
type heldVersion struct{ incarnation, version uint64 }

// New makes a proxy that is not running, on an engine of NewEngine. seed and its name determine its random draws.
// observe is called on the loop.
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

// session takes a connection's events on the engine's goroutines and posts them to the loop.
type session interface {
	received(data []byte)
	closed()
}

// enginePollers is how many pollers the proxies of a process share.
const enginePollers = 2

// NewEngine makes the poller engine that any number of proxies share.
func NewEngine() (*netpoll.Engine, error) {
	return netpoll.Start(enginePollers, netpoll.Handlers{
		Data: func(conn *nbio.Conn, data []byte) {
			if s, ok := conn.Session().(session); ok {
				s.received(append([]byte(nil), data...))
			}
		},
		Close: func(conn *nbio.Conn, _ error) {
			if s, ok := conn.Session().(session); ok {
				s.closed()
			}
		},
	})
}

// Start starts the proxy with a standing table; the state of an earlier run is lost. It does nothing if the proxy runs.
func (p *Proxy) Start(standing []invariants.TableEntry) {
	if p.running {
		return
	}
	p.run++
	p.running = true
	p.stall = stall{}
	p.table = newTable(standing)
	p.replicas = map[model.ReplicaID]*replicaState{}
	p.versions = map[string]heldVersion{}
	p.nextInstance = 0
	p.fence = lease.Fence{}
	p.awaitsNewHolder = false
	p.observe(invariants.ProxyStarted{At: p.loop.Now(), Proxy: p.Name, Zone: p.ZoneIndex, Standing: standing})
	p.dialAfter(0)
}

// Kill closes the proxy's stream and idle connections and abandons its requests, as the end of a process does.
func (p *Proxy) Kill() {
	if !p.running {
		return
	}
	p.running = false
	p.run++
	p.observe(invariants.ProxyStopped{At: p.loop.Now(), Proxy: p.Name})
	if p.stream != nil {
		p.stream.end()
	}
	for _, r := range p.replicas {
		r.dropIdle()
	}
}

// BreakStream closes the proxy's connection to its instance. The proxy notices at once and dials again.
func (p *Proxy) BreakStream() {
	if p.stream != nil {
		_ = p.stream.conn.Close()
	}
}

// stall is a time in which the proxy does nothing, like a process that is not scheduled.
type stall struct {
	until   model.Microseconds
	pending []func() // actions that were due meanwhile
}

// Stall has the proxy do nothing for a while, after any stall that is in progress. What it receives and what is due
// meanwhile is handled in order afterwards. Timers of requests in flight run on.
func (p *Proxy) Stall(span model.Microseconds) {
	until := max(p.stall.until, p.loop.Now()) + span
	p.stall.until = until
	p.loop.At(until, func() {
		if p.stall.until > p.loop.Now() {
			return
		}
		pending := p.stall.pending
		p.stall.pending = nil
		for _, do := range pending {
			do()
		}
	})
}

// whenRunning runs an action now or, if the proxy is stalled, after the stall unless the proxy was killed by then.
func (p *Proxy) whenRunning(do func()) {
	if p.stall.until <= p.loop.Now() {
		do()
		return
	}
	run := p.run
	p.stall.pending = append(p.stall.pending, func() {
		if p.run == run {
			do()
		}
	})
}

// JoinedInstance is the name of the instance that the proxy is joined to; "" for none.
func (p *Proxy) JoinedInstance() string {
	if p.stream != nil && p.stream.joined {
		return p.stream.instance.Name
	}
	return ""
}

// acceptEpoch reports whether a message of this epoch may be applied: no newer epoch was seen. After a change of the
// lease holder, a request that may have been executed is not retried until the new holder has sent updates, as the
// retry policies in force were set by the former holder.
func (p *Proxy) acceptEpoch(epoch uint64) bool {
	before := p.fence.Epoch
	accepted, changed := p.fence.Accept(epoch)
	if changed && before > 0 {
		p.awaitsNewHolder = true
	}
	return accepted
}

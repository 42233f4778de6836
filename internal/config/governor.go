package config

import (
	"fmt"
	"math"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"peppervale/internal/model"
)

// Effect says what a repeat of an operation does; the names are the file's.
type Effect string

// The three effects of operations.
const (
	Idempotent    Effect = "idempotent"     // may run again
	Fingerprinted Effect = "fingerprinted"  // a repeat is dropped by its bay within the window
	SideEffecting Effect = "side-effecting" // must never run twice
)

// Operation is one kind of invocation as a file gives it.
type Operation struct {
	Name      string
	Objective model.Microseconds // latency objective
	Timeout   model.Microseconds // integration timeout
	Value     float64            // billed value
	Effect    Effect
	Window    model.Microseconds // fingerprinted: how long a bay remembers
}

// Guarantees are what a governor is told of the fleet for the rules; the checker judges by the same figures.
type Guarantees struct {
	Bare       model.Microseconds // longest time without a line to pick
	Grace      model.Microseconds // for drains and cold replicas
	Cold       model.Microseconds // within which a started replica is warm
	ColdShare  float64            // of its capacity that it starts with at least
	TipFactor  float64            // times its present capacity...
	TipSpan    model.Microseconds // ...for so long, and it falls over
	MustAskIn  model.Microseconds // without a subscription, news that old counts as told
	QueueMost  int                // lines
	WriteMost  int                // messages to one forwarder within WriteSpan; 0: no limit
	WriteSpan  model.Microseconds
	FirstWait  float64 // a try that may be followed waits that share of the objective
	DefaultWay model.RetryPolicy
}

// Server is a governor's whole file.
type Server struct {
	Name, Listen, State string
	Zones               []string
	Operations          []Operation
	Balancer            model.Config
	Guarantees          Guarantees
	ReportLimit         int
	Pace                float64
	Discovery           Discovery
	Limits              PeerLimits
	ShutdownGracePeriod time.Duration
	LogLevel            string
	Console             string   // address of its pages; "" for none
	Cluster             *Cluster // nil: it shares nothing
}

// PeerLimits is what peers of the channel may cost; zeros leave it to the channel.
type PeerLimits struct {
	Connections, Observers, Unsent int
	UnsentAll                      int     // bytes that wait for all peers together
	CommandRate                    float64 // of one peer, a second
	CommandBurst                   int
	Greeting                       time.Duration
	JoinRate                       float64 // joins a second; 0: all at once
	JoinBurst, JoinMost            int     // at once; forwarders joined in all, 0: no bound
}

// Discovery says where the list is.
type Discovery struct {
	Kind, Address, Service string
	Wait, Timeout          time.Duration
}

// Bounds of the file's figures; generous, they catch a slip of units or digits.
const (
	longest = 3600 * model.Second
	many    = 1_000_000
)

// LoadServer reads a governor's file; the error is Faults.
func LoadServer(path string) (*Server, error) {
	r, top := Open(path)
	if top == nil {
		return nil, r.Err()
	}
	g := readGovernor(top, filepath.Dir(path))
	return g, r.Err()
}

func readGovernor(top *Block, dir string) *Server {
	g := &Server{}
	b := top.One("governor", 1, true)
	g.Name = b.Labels[0]
	g.Listen = b.Address("listen", true)
	g.State = b.Text("state", "")
	if g.State != "" && !filepath.IsAbs(g.State) {
		g.State = filepath.Join(dir, g.State)
	}
	g.Balancer.Seed = uint64(b.Whole("seed", 1, 0, math.MaxInt32))
	g.LogLevel = b.Text("log", "info", "debug", "info", "warn", "error")
	g.ShutdownGracePeriod = b.Span("farewell", 2*model.Second, 0, longest).Duration()
	b.Done()
	g.Zones = top.Texts("zones", true)
	g.Operations = Operations(top)
	g.Balancer, g.Guarantees = ReadTerms(top, g.Balancer.Seed, g.Zones, g.Operations)

	c := top.One("channel", 0, true)
	g.Pace, g.ReportLimit = ReadChannel(c, &g.Balancer, &g.Guarantees)
	g.Limits = c.Peers()
	c.Done()

	if b := top.One("console", 0, false); b.Given() {
		g.Console = b.Address("listen", true)
		b.Done()
	}

	if b := top.One("group", 0, false); b.Given() {
		g.Cluster = readGroup(b, g)
	}
	l := top.One("machine_list", 1, true)
	if g.Discovery.Kind = l.Labels[0]; g.Discovery.Kind != "consul" && g.Discovery.Kind != "" {
		l.Fault("", "machine_list: %q is none of consul", g.Discovery.Kind)
	}
	g.Discovery.Address = l.Address("address", false)
	g.Discovery.Service = l.Text("service", "")
	g.Discovery.Wait = l.Span("wait", 10*model.Second, 10*model.Millisecond, 600*model.Second).Duration()
	g.Discovery.Timeout = l.Span("slack", 2*model.Second, 10*model.Millisecond, 600*model.Second).Duration()
	l.Done()
	top.Done()
	return g
}

// Peers reads the bounds on peers from the block channel { }.
func (b *Block) Peers() PeerLimits {
	return PeerLimits{Connections: b.Whole("connections", 0, 0, many), Observers: b.Whole("observers", 0, 0, many),
		UnsentAll: b.Whole("unsent_all_bytes", 0, 0, 1<<40), CommandRate: b.Number("commands", 0, 0, many), CommandBurst: b.Whole("commands_burst", 2000, 2, many),
		Unsent: b.Whole("unsent_bytes", 0, 0, 1<<30), Greeting: b.Span("greeting", 0, 0, longest).Duration(), JoinRate: b.Number("joins", 0, 0, many),
		JoinBurst: b.Whole("joins_burst", 50, 1, many), JoinMost: b.Whole("joined_most", 0, 0, many)}
}

// Address reads host:port on IPv4; port 0, any free one, only where that makes sense.
func (b *Block) Address(name string, any bool) string {
	text := b.Text(name, "")
	if text == "" {
		return text
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() {
		b.Fault(name, "%s: %q is no IPv4 address with a port, as 127.0.0.1:7700", name, text)
	} else if a.Port() == 0 && !any {
		b.Fault(name, "%s: a port above 0 is wanted", name)
	}
	return text
}

// Operations reads the blocks operation "name" { }.
func Operations(top *Block) (all []Operation) {
	for _, b := range top.Blocks("operation", 1) {
		o := Operation{Name: b.Labels[0]}
		o.Objective = b.Span("objective", -1, model.Millisecond, longest)
		o.Timeout = b.Span("timeout", -1, model.Millisecond, longest)
		if o.Timeout < o.Objective {
			b.Fault("timeout", "timeout: the integration timeout ends before the latency objective")
		}
		o.Value = b.Number("billed_value", 1, 0, 1e9)
		o.Effect = Effect(b.Text("effect", "", string(Idempotent), string(Fingerprinted), string(SideEffecting)))
		if o.Effect == Fingerprinted {
			o.Window = b.Span("window", -1, model.Millisecond, longest)
		}
		b.Done()
		all = append(all, o)
	}
	if len(all) == 0 || len(all) > 16 {
		top.Fault("", "%d blocks operation \"name\" { }; 1 to 16 are wanted", len(all))
	}
	return all
}

// RetryPolicyNames are the names of the four retry ways.
var RetryPolicyNames = []string{"never", "when-unrun", "any-failure", "two-more"}

// ReadTerms reads what a governor is told of the fleet: the blocks fleet { } and rules { }.
func ReadTerms(top *Block, seed uint64, zones []string, ops []Operation) (t model.Config, g Guarantees) {
	t = model.Config{Seed: seed, Zones: len(zones), SubscriptionRequired: true, FullQuota: 1, UtilizationField: -1}
	for _, o := range ops {
		t.Operations = append(t.Operations, model.Operation{LatencyObjective: o.Objective, PriorityWeight: o.Value})
	}
	f := top.One("fleet", 0, true)
	t.ProxyCount = f.Whole("forwarders", 0, 1, 65535)
	t.StandingTableSize = f.Whole("standing", 6, 1, many)
	t.MinReplicaConnections = f.Whole("connections_least", 100, 1, many)
	t.ProxiesAvoidFailing = f.Yes("avoids", false)
	t.AdmissionControl = f.Text("admits", "share", "share", "none") == "share"
	t.CrossZoneCost = f.Number("crossing_price", 0, 0, 1)
	t.PublishCost = f.Number("order_price", 0, 0, 1)
	t.UtilizationField = slices.Index(f.Texts("load_report", false), "util")
	g.DefaultWay = model.RetryPolicy(max(0, slices.Index(RetryPolicyNames, f.Text("usual_way", RetryPolicyNames[1], RetryPolicyNames...))))
	g.FirstWait = f.Number("first_wait", 0.8, 0.01, 10)
	f.Done()
	r := top.One("rules", 0, true)
	g.Bare = r.Span("bare", 2600*model.Millisecond, 0, longest)
	g.Grace = r.Span("drain_grace", 2500*model.Millisecond, 0, longest)
	g.Cold = r.Span("cold", 17*model.Second, 0, longest)
	g.ColdShare = r.Number("cold_share", 0.19, 0.01, 1)
	g.TipFactor = r.Number("tip_factor", 4, 1, 1000)
	g.TipSpan = r.Span("tip_span", 3*model.Second, model.Millisecond, longest)
	g.MustAskIn = r.Span("must_ask_in", 10*model.Second, 0, longest)
	r.Done()
	t.WarmUpPeriod = g.Cold
	return t, g
}

// ReadChannel reads the figures of the block channel { } that governors and checkers share.
func ReadChannel(c *Block, t *model.Config, g *Guarantees) (pace float64, intake int) {
	pace = c.Number("pace", 3000, 1, 1e9)
	t.QueueLimit = c.Whole("queue", int(max(1, min(2*pace, many))), 1, many)
	t.MessageOverhead = c.Whole("overhead", 6, 0, 10_000)
	t.ReportPeriod = c.Span("period", model.Second, 10*model.Millisecond, longest)
	t.MessageLimit = c.Whole("messages_most", 0, 0, many)
	t.MessageWindow = c.Span("messages_within", 10*model.Second, model.Millisecond, longest)
	intake = c.Whole("intake", 500, 1, many)
	g.QueueMost, g.WriteMost, g.WriteSpan = t.QueueLimit, t.MessageLimit, t.MessageWindow
	return pace, intake
}

// InForce tells the settings as they were read, usual values included, for a reader.
func (g *Server) InForce() [][2]string {
	t, r := g.Balancer, g.Guarantees
	all := [][2]string{{"governor", g.Name}, {"listen", g.Listen}, {"state", g.State}, {"console", g.Console}, {"zones", strings.Join(g.Zones, ", ")}}
	add := func(name string, value any) { all = append(all, [2]string{name, fmt.Sprint(value)}) }
	for _, o := range g.Operations {
		text := fmt.Sprintf("objective %s, timeout %s, billed value %g, %s", o.Objective.Duration(), o.Timeout.Duration(), o.Value, o.Effect)
		if o.Window > 0 {
			text += fmt.Sprintf(", window %s", o.Window.Duration())
		}
		add("operation "+o.Name, text)
	}
	add("forwarders", t.ProxyCount)
	add("standing", t.StandingTableSize)
	add("connections_least", t.MinReplicaConnections)
	add("avoids", t.ProxiesAvoidFailing)
	add("admits a share", t.AdmissionControl)
	add("crossing_price", t.CrossZoneCost)
	add("order_price", t.PublishCost)
	add("bare", r.Bare.Duration())
	add("drain_grace", r.Grace.Duration())
	add("cold", r.Cold.Duration())
	add("pace", fmt.Sprintf("%g lines a second", g.Pace))
	add("queue", fmt.Sprintf("%d lines", t.QueueLimit))
	add("overhead", fmt.Sprintf("%d lines a message", t.MessageOverhead))
	add("period", t.ReportPeriod.Duration())
	add("intake", fmt.Sprintf("%d sums a second", g.ReportLimit))
	add("messages_most", t.MessageLimit)
	if s := g.Cluster; s != nil {
		add("group", fmt.Sprintf("listen %s, gossip %s, zone %s, %d parts a zone, span %s, drift %s, settle %s, pace %s, limit %g", s.Listen, s.Gossip, s.Zone, s.ShardsPerZone,
			s.LeaseDuration.Duration(), s.MaxClockDrift.Duration(), s.StabilizationPeriod.Duration(), s.MoveInterval.Duration(), s.Capacity))
		for _, m := range s.Members {
			add("member "+m.Name, fmt.Sprintf("%s, gossip %s", m.Address, m.Gossip))
		}
	}
	add("machine list", fmt.Sprintf("%s at %s, service %s, wait %s", g.Discovery.Kind, g.Discovery.Address, g.Discovery.Service, g.Discovery.Wait))
	return all
}

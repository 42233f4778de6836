// Package day plays a scripted day on sockets: governors as processes of their own, stand-in replicas, forwarders and
// machine list on loopback, open-loop load, and troubles in time. Then it judges the rules from what the stand-ins
// saw and tells service, latency and the channel's figures.
//
// Guarantees: all a day starts it ends, also when it fails on the way; nothing listens on anything but loopback. The
// script's draws (work, arrivals, who is struck) follow from its seed; times on sockets do not, so two runs of a day
// differ a little.
package scenario

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// Script is a day as its file gives it.
type Script struct {
	Name       string
	About      string
	Length     model.Microseconds
	Seed       uint64
	Zones      []string
	Governors  []string // the zone of each
	Shared     *Shared  // nil: governors share nothing
	Rogue      string   // a governor of the stand's own that does something wrong; "" for the real ones
	Operations []config.Operation
	Terms      model.Config
	Guarantees config.Guarantees
	Replicas   Replicas
	Forwarders Forwarders
	List       List
	Load       Load
	Steps      []Step
	passedOn   []byte // blocks that stand in each governor's file as they stand here
}

// Shared says how the governors share the fleet out.
type Shared struct {
	Parts               int // of each zone
	Lease, Settle, Pace model.Microseconds
}

// Replicas says what each zone has.
type Replicas struct {
	EachZone, Cores, Waiting, Connections, BaySize int
	SpeedFrom, SpeedTo                             float64
	ColdShare                                      float64
	ColdSpan, ReportEvery, Handshake               model.Microseconds
}

// Forwarders says what each zone has.
type Forwarders struct {
	EachZone, Ejects, ClientTries int
	Pick                          string
	Redial, EjectFor, StallLine   model.Microseconds
	Backoff                       model.Microseconds
	RateSpread                    float64
}

// List says how late the machine list learns.
type List struct{ Notice, Silent, Add model.Microseconds }

// Load says what callers ask.
type Load struct {
	Rate  float64 // invocations a second of all
	Works []Work
}

// Work is an operation's.
type Work struct {
	Operation int
	Share     float64
	Mean      model.Microseconds
	Spread    float64
}

// Step is a trouble.
type Step struct {
	Kind   string
	At     model.Microseconds
	Lasts  model.Microseconds
	Zone   string
	Part   float64 // of what it strikes
	Size   float64 // how much, by kind
	Number int     // by kind
	Silent bool
	Group  string // of what it strikes, by kind
}

// Kinds of steps, with what Part, Size and Number mean.
var Kinds = map[string]string{
	"zone_loss":       "a zone's replicas, forwarders and governors die and come back cold (silent: replicas answer nothing instead)",
	"governor_crash":  "a part of the governors is killed outright and starts again (number times, about each size seconds)",
	"governor_roll":   "governors restart one after the other, orderly, within the time",
	"governor_stall":  "a part of the governors stands still (stopped and continued)",
	"forwarder_crash": "a part of the forwarders dies and starts again",
	"forwarder_stall": "a part of the forwarders stands still for size seconds, number times",
	"reconnect":       "a part of the streams breaks at once",
	"one_sided":       "a part of the forwarders cannot reach their first governor",
	"list_down":       "the machine list answers 500",
	"list_silent":     "the machine list takes calls and answers nothing",
	"list_late":       "the machine list answers size seconds late",
	"list_half":       "the machine list ends its answers half way",
	"list_back":       "the machine list's index goes back",
	"vanish":          "a part of the replicas answers nothing, then comes back cold",
	"slow":            "a part of the replicas takes size times longer",
	"neighbour":       "a part of the replicas takes size times longer, on and off each second",
	"shared_slow":     "all replicas take size times longer",
	"ageing":          "a part of the replicas gets slower up to size times, then restarts cold",
	"deploy":          "replicas are replaced number at a time: drained for size seconds, restarted cold",
	"drain":           "a part of the replicas drains for the time; group \"but-one\" spares one in another zone",
	"grow":            "number replicas more in each zone, cold",
	"sums_late":       "forwarders' sums leave size seconds late",
	"heavy_tail":      "a part of the invocations costs size times the work",
	"class_fail":      "a part of the replicas fails one operation (group names it)",
	"conn_squeeze":    "replicas accept number connections",
	"handshake_slow":  "a new connection costs a replica size times the work",
	"false_reports":   "a part of the replicas reports that it is idle",
	"flapping":        "a part of the replicas answers nothing every other second",
	"never_ack":       "a part of the forwarders acknowledges nothing",
	"disobey":         "a part of the forwarders ignores withdrawals (group \"shuts\") or repeats anything (group \"repeats\")",
}

// Open reads a script; the error is site.Faults.
func Open(path string) (*Script, error) {
	r, top := config.Open(path)
	if top == nil {
		return nil, r.Err()
	}
	return read(top, filepath.Dir(path)), r.Err()
}

// Parse reads a script from a text, as if it stood at path.
func Parse(path string, text []byte) (*Script, error) {
	r, top := config.Parse(path, text)
	if top == nil {
		return nil, r.Err()
	}
	return read(top, filepath.Dir(path)), r.Err()
}

const hour = 3600 * model.Second

func read(top *config.Block, dir string) *Script {
	s := &Script{}
	if base := top.Maybe("like"); base != "" { // a day of the same town
		top.Inherit(filepath.Join(dir, base), "day", "step")
	}
	d := top.One("day", 1, true)
	s.Name = d.Labels[0]
	s.About = d.Maybe("about")
	s.Length = d.Span("length", -1, model.Second, hour)
	s.Seed = uint64(d.Whole("seed", 1, 0, 1<<30))
	s.Governors = d.Governors()
	s.Rogue = d.Text("rogue", "none", append([]string{"none"}, RogueKinds...)...)
	if d.Yes("shared", false) {
		s.Shared = &Shared{Parts: d.Whole("parts", 2, 1, 64), Lease: d.Span("lease", 2*model.Second, 300*model.Millisecond, hour),
			Settle: d.Span("settle", 4*model.Second, 0, hour), Pace: d.Span("pace", model.Second, 0, hour)}
	}
	d.Done()
	s.Zones = top.Texts("zones", true)
	for _, z := range s.Governors {
		if !slices.Contains(s.Zones, z) {
			d.Fault("governors", "governors: %q is none of the zones", z)
		}
	}
	s.Operations = config.Operations(top)
	s.Terms, s.Guarantees = config.ReadTerms(top, s.Seed, s.Zones, s.Operations)
	c := top.One("channel", 0, true)
	_, _ = config.ReadChannel(c, &s.Terms, &s.Guarantees)
	c.Peers()
	c.Done()
	s.passedOn = top.Source("zones", "operation", "fleet", "rules", "channel")

	b := top.One("replicas", 0, true)
	s.Replicas = Replicas{EachZone: b.Whole("each_zone", 0, 1, 250), Cores: b.Whole("cores", 2, 1, 1000),
		Waiting: b.Whole("waiting", 20, 0, 1_000_000), Connections: b.Whole("connections", 200, 1, 1_000_000),
		BaySize: b.Whole("bay_size", 3, 1, 1000), SpeedFrom: b.Number("speed_from", 0.85, 0.01, 100),
		SpeedTo: b.Number("speed_to", 1.1, 0.01, 100), ColdShare: b.Number("cold_share", 0.25, 0.01, 1),
		ColdSpan: b.Span("cold_span", 8*model.Second, 0, hour), ReportEvery: b.Span("report_every", 500*model.Millisecond, 0, hour),
		Handshake: b.Span("handshake", 5*model.Millisecond, 0, hour)}
	b.Done()
	b = top.One("forwarders", 0, true)
	s.Forwarders = Forwarders{EachZone: b.Whole("each_zone", 0, 1, 10_000), Ejects: b.Whole("ejects", 0, 0, 1000),
		ClientTries: b.Whole("client_tries", 1, 1, 10), Pick: b.Text("pick", "pair", "lottery", "wheel", "pair"),
		Redial: b.Span("redial", 150*model.Millisecond, model.Millisecond, hour), EjectFor: b.Span("eject_for", 5*model.Second, 0, hour),
		Backoff:   b.Span("backoff", 100*model.Millisecond, 0, hour),
		StallLine: b.Span("stall_line", 0, 0, model.Second), RateSpread: b.Number("rate_spread", 0.5, 0, 5)}
	b.Done()
	b = top.One("list", 0, false)
	s.List = List{b.Span("notice", model.Second, 0, hour), b.Span("silent_notice", 6*model.Second, 0, hour), b.Span("add", 500*model.Millisecond, 0, hour)}
	b.Done()
	b = top.One("load", 0, true)
	s.Load.Rate = b.Number("rate", 0, 0, 100_000)
	for _, w := range b.Blocks("work", 1) {
		one := Work{Operation: slices.IndexFunc(s.Operations, func(o config.Operation) bool { return o.Name == w.Labels[0] }),
			Share: w.Number("share", 1, 0, 1e6), Mean: w.Span("mean", -1, 1, hour), Spread: w.Number("spread", 0.5, 0, 10)}
		if one.Operation < 0 {
			w.Fault("", "work: no operation %q", w.Labels[0])
		}
		w.Done()
		s.Load.Works = append(s.Load.Works, one)
	}
	if len(s.Load.Works) == 0 {
		b.Fault("", "load: a block work \"operation\" { } is missing")
	}
	b.Done()
	for _, b := range top.Repeated("step", 1) {
		s.Steps = append(s.Steps, s.step(b))
	}
	top.Done()
	return s
}

func (s *Script) step(b *config.Block) Step {
	t := Step{Kind: b.Labels[0], At: b.Span("at", -1, 0, hour), Lasts: b.Span("lasts", 5*model.Second, 0, hour),
		Zone: b.Maybe("zone"), Part: b.Number("part", 0.25, 0, 1), Size: b.Number("size", 3, 0, 1000),
		Number: b.Whole("number", 1, 0, 1000), Silent: b.Yes("silent", false), Group: b.Maybe("group")}
	if Kinds[t.Kind] == "" {
		known := make([]string, 0, len(Kinds))
		for k := range Kinds {
			known = append(known, k)
		}
		slices.Sort(known)
		b.Fault("", "step: no kind %q; there are %v", t.Kind, known)
	}
	if t.Zone != "" && !slices.Contains(s.Zones, t.Zone) {
		b.Fault("zone", "zone: %q is none of the zones", t.Zone)
	}
	if t.Kind == "zone_loss" && t.Zone == "" {
		b.Fault("", "step zone_loss: a zone is missing")
	}
	if t.At > s.Length {
		b.Fault("at", "at: the day has ended by then")
	}
	b.Done()
	return t
}

// figures are what the checker is given.
func (s *Script) figures() invariants.Figures {
	g := s.Guarantees
	f := invariants.Figures{Zones: s.Zones, Bare: g.Bare, Grace: g.Grace, Cold: g.Cold, TipFactor: g.TipFactor, TipSpan: g.TipSpan,
		QueueMost: g.QueueMost, WriteMost: g.WriteMost, WriteSpan: g.WriteSpan}
	effects := map[config.Effect]invariants.Effect{config.Idempotent: invariants.Idempotent, config.Fingerprinted: invariants.Fingerprinted, config.SideEffecting: invariants.SideEffecting}
	for _, o := range s.Operations {
		f.Operations = append(f.Operations, invariants.Operation{Name: o.Name, Effect: effects[o.Effect], Window: o.Window})
	}
	return f
}

// governorFile is the file that a governor of this day is started with.
func (s *Script) governorFile(name, listen, console, state, list string, seed uint64, octet int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# written by peppervale day run, %s\n", time.Now().Format(time.RFC3339))
	fmt.Fprintf(&b, "governor %q {\n  listen = %q\n  state = %q\n  seed = %d\n  farewell = \"500ms\"\n}\n", name, listen, state, seed)
	fmt.Fprintf(&b, "machine_list \"consul\" {\n  address = %q\n  service = %q\n  wait = \"5s\"\n  slack = \"1s\"\n}\n", list, serviceName)
	fmt.Fprintf(&b, "console {\n  listen = %q\n}\n", console)
	if s.Shared != nil {
		s.groupBlock(&b, name, octet)
	}
	b.Write(s.passedOn)
	return b.Bytes()
}

// groupBlock is a governor's place in the group.
func (s *Script) groupBlock(b *bytes.Buffer, name string, octet int) {
	at := func(i, port int) string { return fmt.Sprintf("127.%d.254.%d:%d", octet, i+1, port) }
	for i, zone := range s.Governors {
		if governorName(zone, i) == name {
			fmt.Fprintf(b, "group {\n  listen = %q\n  gossip = %q\n  zone = %q\n  parts = %d\n  span = %q\n  settle = %q\n  pace = %q\n", at(i, groupPort),
				at(i, gossipPort), zone, s.Shared.Parts, s.Shared.Lease.Duration(), s.Shared.Settle.Duration(), s.Shared.Pace.Duration())
		}
	}
	for i, zone := range s.Governors {
		fmt.Fprintf(b, "  member %q {\n    address = %q\n    gossip = %q\n  }\n", governorName(zone, i), at(i, groupPort), at(i, gossipPort))
	}
	fmt.Fprintln(b, "}")
}

// Ports of a day's governors; each has an address of its own.
const (
	groupPort  = 7710
	gossipPort = 7711
)

func governorName(zone string, i int) string { return fmt.Sprintf("%s-%d", zone, i+1) }

const serviceName = "replica"

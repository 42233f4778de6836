package balancer_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// The golden traces pin what the balancer orders, bit for bit: seeded event sequences are driven through its public
// methods, and after every step the orders given are hashed and compared with testdata/trace-*.txt. The traces know
// nothing of the balancer but its orders. Every float is hashed by its bits; the files were written on amd64, and an
// architecture whose compiler fuses multiplications with additions may round differently.

var updateTraces = flag.Bool("update", false, "rewrite testdata/trace-*.txt from the code as it is")

// viewEvery is the number of steps from one hash of the whole View to the next.
const viewEvery = 10

// tracedReplica is a replica of the simulated fleet.
type tracedReplica struct {
	id      model.ReplicaID
	zone    int
	life    model.EndpointStatus
	since   model.Microseconds
	slow    float64 // its latency relative to the fleet's
	failing bool    // answers every request with an error
	silent  bool    // is named in no load report
}

// tracedProxy is a proxy of the simulated fleet.
type tracedProxy struct {
	id     model.ProxyID
	zone   int
	joined bool
}

// pendingAck is an acknowledgement on its way to the balancer.
type pendingAck struct {
	at     model.Microseconds
	proxy  model.ProxyID
	number uint32
}

// trace drives one scenario, records what is ordered, and compares it with the golden lines.
type trace struct {
	t        *testing.T
	plan     scenario
	random   *rand.Rand
	balancer *balancer.Balancer
	now      model.Microseconds
	ring     model.Microseconds // when the timer fires next, as ordered by Wake
	beat     int
	follows  bool // a subscription was ordered and not answered yet
	replicas []*tracedReplica
	proxies  []*tracedProxy
	acks     []pendingAck

	text   []string // of the step: its single events and the orders, in the order given
	orders int      // of the step
	logs   int      // of the step
	want   []string // golden lines
	got    []string
	kinds  map[string]int // orders of the whole trace by kind
}

// scenario is a fleet, its start settings and the chances of what happens in it.
type scenario struct {
	name      string
	seed      uint64
	terms     model.Config
	replicas  int
	proxies   int
	beats     int
	usual     float64 // invocations a second of a proxy
	tries     int     // mean tries in a load report
	ackDelay  model.Microseconds
	ackLoss   float64
	churn     churn
	load      func(beat int) float64 // mean latency over the objective
	script    func(tr *trace, beat int)
	allAtOnce bool // every proxy joins at the start
}

// churn holds the chances for each beat that an event comes.
type churn struct{ join, leave, drain, gone, restart, ready, whole, cached, failed, fail, mend, contradict float64 }

func (tr *trace) record(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	kind, _, _ := strings.Cut(line, " ")
	tr.kinds[kind]++
	tr.orders++
	tr.text = append(tr.text, line)
}

// note puts a single event of a step into its text.
func (tr *trace) note(format string, args ...any) {
	tr.text = append(tr.text, "event "+fmt.Sprintf(format, args...))
}

func bits(f float64) string { return strconv.FormatUint(math.Float64bits(f), 16) }

func replicaText(r model.ReplicaID) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", r.Addr[0], r.Addr[1], r.Addr[2], r.Addr[3], r.Port)
}

func (tr *trace) SetWeight(t model.TableID, r model.ReplicaID, weight float64) {
	tr.record("assign %d %s %s", int(t), replicaText(r), bits(weight))
}

func (tr *trace) BindProxy(p model.ProxyID, t model.TableID, operations uint16, back []model.ReplicaID) {
	var names []string
	for _, r := range back {
		names = append(names, replicaText(r))
	}
	tr.record("bind %d %d %d [%s]", int(p), int(t), operations, strings.Join(names, ","))
}

func (tr *trace) SetWithdrawn(r model.ReplicaID, out bool) {
	tr.record("withdraw %s %t", replicaText(r), out)
}

func (tr *trace) SetQuota(operations uint16, share float64, w model.RetryPolicy) {
	tr.record("level %d %s %d", operations, bits(share), int(w))
}

// RequestAck has every joined proxy acknowledge later, or never: an answer to a message that a proxy did not get
// changes nothing.
func (tr *trace) RequestAck(number uint32, all bool) {
	tr.record("receipt %d %t", number, all)
	for _, p := range tr.proxies {
		if !p.joined || tr.random.Float64() < tr.plan.ackLoss {
			continue
		}
		delay := model.Microseconds(tr.random.Int64N(int64(tr.plan.ackDelay) + 1))
		tr.acks = append(tr.acks, pendingAck{tr.now + delay, p.id, number})
	}
}

func (tr *trace) SetTimer(after model.Microseconds) {
	tr.ring = tr.now + after
	tr.record("wake %d", int64(after))
}

func (tr *trace) Subscribe() {
	tr.follows = true
	tr.record("follow")
}

func (tr *trace) Log(string) { tr.logs++ }

func hashOf(lines []string) string {
	h := fnv.New64a()
	for _, line := range lines {
		h.Write([]byte(line))
		h.Write([]byte{'\n'})
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// step runs one step and compares its line with the golden one.
func (tr *trace) step(event string, run func()) {
	tr.t.Helper()
	tr.text, tr.orders, tr.logs = nil, 0, 0
	run()
	number := len(tr.got)
	line := fmt.Sprintf("%04d %d %s | orders %d logs %d %s", number, int64(tr.now), event, tr.orders, tr.logs,
		hashOf(tr.text))
	var view []string
	if number%viewEvery == 0 && tr.balancer != nil {
		view = viewText(tr.t, tr.balancer.View())
		line += " view " + hashOf(view)
	}
	tr.got = append(tr.got, line)
	if *updateTraces {
		return
	}
	want := "(the golden trace ends before)"
	if number < len(tr.want) {
		want = tr.want[number]
	}
	if line != want {
		tr.t.Fatalf("step %d differs, event: %s\nwant %s\ngot  %s\nevents and orders given:\n%s\nview:\n%s",
			number, event, want, line, strings.Join(tr.text, "\n"), strings.Join(view, "\n"))
	}
}

// stateCodes stands between the words for a replica's state and the hashes: a renamed word is renamed here.
var stateCodes = map[string]int{"away": 1, "draining": 2, "easing": 3, "serving": 4, "resting": 5}

// viewText writes every value of a View, in the order given, floats by their bits.
func viewText(t *testing.T, v *balancer.View) (lines []string) {
	t.Helper()
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	add("fleet %t %s %s %s %d %d", v.SafeModeEnded, bits(v.Saturation), bits(v.NormalizedLatency), bits(v.WarmingFraction), v.UnackedEntries, int(v.RetryPolicy))
	for _, r := range v.UnreportedReplicas {
		add("waits %s", replicaText(r))
	}
	for _, s := range v.Quotas {
		add("share %s", bits(s))
	}
	for _, r := range v.Replicas {
		code, known := stateCodes[r.State]
		if !known {
			t.Fatalf("the state %q is not in stateCodes", r.State)
		}
		add("replica %s %d %d %t %t", replicaText(r.ID), r.Zone, code, r.Withdrawn, r.WarmingUp)
		add("times %d %d %d %d %d", int64(r.WithdrawnAt), int64(r.ReportedAt), int64(r.UtilizationAt), int64(r.StartedAt), int64(r.SlowStartAt))
		add("figures %s %s %s %s %s", bits(r.Utilization), bits(r.NormalizedLatency), bits(r.SlowStartFactor), bits(r.RequestRate), bits(r.ErrorRate))
		add("counts %d %d", r.Entries, r.Ejections)
	}
	for _, table := range v.Tables {
		add("table %d %d %s %d", int(table.ID), table.Zone, bits(table.ExpectedRate), table.Proxies)
		for _, l := range table.Entries {
			add("line %s %s", replicaText(l.Replica), bits(l.Weight))
		}
	}
	for _, p := range v.Proxies {
		add("proxy %d %d %s %d %d %d", int(p.ID), p.Zone, bits(p.ExpectedRate), p.Table, p.UnackedMessages, int64(p.OldestUnackedAt))
	}
	return lines
}

// goldenTrace drives a scenario from its start to its end.
func goldenTrace(t *testing.T, plan scenario) map[string]int {
	tr := &trace{
		t: t, plan: plan, random: rand.New(rand.NewPCG(plan.seed, 0x9e3779b97f4a7c15)),
		now: 100 * model.Second, kinds: map[string]int{},
	}
	path := filepath.Join("testdata", "trace-"+plan.name+".txt")
	if !*updateTraces {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		tr.want = strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	}
	tr.start()
	for tr.beat = 1; tr.beat <= plan.beats; tr.beat++ {
		tr.between()
		tr.ringing()
	}
	tr.finish(path)
	return tr.kinds
}

func (tr *trace) finish(path string) {
	if len(tr.got) < 400 {
		tr.t.Fatalf("%d steps are too few for a trace", len(tr.got))
	}
	if *updateTraces {
		if err := os.WriteFile(path, []byte(strings.Join(tr.got, "\n")+"\n"), 0o644); err != nil {
			tr.t.Fatal(err)
		}
		return
	}
	if len(tr.got) != len(tr.want) {
		tr.t.Fatalf("the trace ends after %d steps, the golden one after %d", len(tr.got), len(tr.want))
	}
}

func (tr *trace) start() {
	for n := range tr.plan.replicas {
		tr.replicas = append(tr.replicas, &tracedReplica{
			zone: n % tr.plan.terms.Zones, life: model.EndpointReady,
			id:   model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 200), byte(n % 200)}, Port: uint16(5000 + n%3)},
			slow: 0.7 + 0.6*tr.random.Float64(),
		})
	}
	for n := range tr.plan.proxies {
		tr.proxies = append(tr.proxies, &tracedProxy{id: model.ProxyID(n + 1), zone: n % tr.plan.terms.Zones})
	}
	tr.step("new", func() { tr.balancer = balancer.New(tr.plan.terms, tr, tr.now) })
	tr.list("cached", model.CachedList, tr.replicas)
	count := len(tr.proxies)
	if !tr.plan.allAtOnce {
		count /= 2
	}
	tr.join(tr.proxies[:count]...)
	tr.settle()
}

// between is a moment between two rings of the timer.
func (tr *trace) between() {
	before := len(tr.got)
	tr.now += 1 + model.Microseconds(tr.random.Int64N(int64(tr.ring-tr.now-1)))
	tr.answerFollow()
	tr.deliver()
	tr.churnList()
	tr.churnProxies()
	if tr.plan.script != nil {
		tr.plan.script(tr, tr.beat)
	}
	if len(tr.got) > before {
		tr.settle()
	}
}

// ringing is the moment of the timer; load reports come with every fifth.
func (tr *trace) ringing() {
	tr.now = tr.ring
	tr.deliver()
	if tr.beat%5 == 0 {
		tr.report()
	}
	tr.step("timer", func() { tr.balancer.TimerFired(tr.now) })
	tr.settle()
}

func (tr *trace) settle() { tr.step("settle", func() { tr.balancer.Flush(tr.now) }) }

func (tr *trace) answerFollow() {
	if tr.follows && tr.random.Float64() < 0.5 {
		tr.follows = false
		tr.list("complete", model.FullList, tr.replicas)
	}
}

// deliver hands over the acknowledgements that are due.
func (tr *trace) deliver() {
	var due, later []pendingAck
	for _, a := range tr.acks {
		if a.at <= tr.now {
			due = append(due, a)
		} else {
			later = append(later, a)
		}
	}
	if tr.acks = later; len(due) == 0 {
		return
	}
	tr.step(fmt.Sprintf("acks %d", len(due)), func() {
		for _, a := range due {
			tr.note("ack %d %d", int(a.proxy), a.number)
			tr.balancer.Acknowledged(tr.now, a.proxy, a.number)
		}
	})
}

func (tr *trace) list(name string, scope model.EndpointUpdate, replicas []*tracedReplica) {
	var entries []model.Endpoint
	for _, r := range replicas {
		if scope == model.ChangedEntries || r.life != model.EndpointGone {
			entries = append(entries, model.Endpoint{ID: r.id, Zone: r.zone, Status: r.life, StartedAt: r.since})
		}
	}
	tr.step(fmt.Sprintf("list %s %d", name, len(entries)), func() { tr.balancer.EndpointsChanged(tr.now, scope, entries) })
}

// change gives some replicas a new life and tells of it; a ready one is restarted where restart is set.
func (tr *trace) change(name string, life model.EndpointStatus, restart bool, replicas ...*tracedReplica) {
	for _, r := range replicas {
		if r.life = life; restart {
			r.since, r.failing, r.silent = tr.now-model.Microseconds(tr.random.Int64N(int64(2*model.Second))), false, false
		}
	}
	tr.list(name, model.ChangedEntries, replicas)
}

func (tr *trace) anyReplica() *tracedReplica { return tr.replicas[tr.random.IntN(len(tr.replicas))] }

func (tr *trace) happens(chance float64) bool { return tr.random.Float64() < chance }

func (tr *trace) churnList() {
	c := tr.plan.churn
	if tr.happens(c.drain) {
		tr.change("drain", model.EndpointDraining, false, tr.anyReplica())
	}
	if tr.happens(c.gone) {
		tr.change("gone", model.EndpointGone, false, tr.anyReplica())
	}
	if tr.happens(c.restart) {
		tr.change("restart", model.EndpointReady, true, tr.anyReplica())
	}
	if tr.happens(c.ready) {
		tr.change("ready", model.EndpointReady, false, tr.anyReplica())
	}
	if tr.happens(c.whole) {
		tr.list("complete", model.FullList, tr.replicas)
	}
	if tr.happens(c.cached) {
		tr.list("cached", model.CachedList, tr.replicas[:len(tr.replicas)-1])
	}
	if tr.happens(c.failed) {
		tr.list("failed", model.PollFailed, nil)
	}
	if r := tr.anyReplica(); tr.happens(c.fail) {
		r.failing, r.silent = tr.happens(0.5), false
		r.silent = !r.failing
	}
	if r := tr.anyReplica(); tr.happens(c.mend) {
		r.failing, r.silent = false, false
	}
}

func (tr *trace) churnProxies() {
	p := tr.proxies[tr.random.IntN(len(tr.proxies))]
	if tr.happens(tr.plan.churn.join) {
		tr.join(p) // an old stream may still stand
	}
	p = tr.proxies[tr.random.IntN(len(tr.proxies))]
	if tr.happens(tr.plan.churn.leave) {
		tr.leave(p)
	}
}

func (tr *trace) join(proxies ...*tracedProxy) {
	tr.step(fmt.Sprintf("join %d from %d", len(proxies), int(proxies[0].id)), func() {
		for _, p := range proxies {
			usual := tr.plan.usual * (0.5 + tr.random.Float64())
			tr.note("join %d %d %s", int(p.id), p.zone, bits(usual))
			p.joined = true
			tr.balancer.ProxyConnected(tr.now, p.id, p.zone, usual)
		}
	})
}

func (tr *trace) leave(proxies ...*tracedProxy) {
	tr.step(fmt.Sprintf("leave %d from %d", len(proxies), int(proxies[0].id)), func() {
		for _, p := range proxies {
			tr.note("leave %d", int(p.id))
			p.joined = false
			tr.balancer.ProxyDisconnected(tr.now, p.id)
		}
	})
}

// report gives a load report for every replica and zone, some of them contradictory.
func (tr *trace) report() {
	load := tr.plan.load(tr.beat)
	tr.step("reports", func() {
		for _, r := range tr.replicas {
			for zone := range tr.plan.terms.Zones {
				if r.life != model.EndpointGone && !r.silent && tr.happens(0.95) {
					tr.heard(tr.loadReport(r, zone, load))
				}
			}
		}
	})
}

func (tr *trace) heard(s model.LoadReport) {
	tr.note("report %s %d %d %d %d %d", replicaText(s.Replica), s.Zone, s.Attempts, s.Errors, int64(s.MeanLatency),
		int64(s.Window))
	tr.balancer.LoadReported(tr.now, s)
}

func (tr *trace) loadReport(r *tracedReplica, zone int, load float64) model.LoadReport {
	objective := float64(tr.plan.terms.Operations[0].LatencyObjective)
	s := model.LoadReport{Zone: zone, Replica: r.id, Attempts: 1 + tr.random.IntN(2*tr.plan.tries), Window: model.Second}
	s.MeanLatency = model.Microseconds(objective * load * r.slow * (0.8 + 0.4*tr.random.Float64()))
	s.Errors = min(s.Attempts, int(float64(s.Attempts)*load*load*0.3*tr.random.Float64()))
	s.Readings = []float64{tr.random.Float64(), min(1.2, load*(0.8+0.4*tr.random.Float64()))}
	if r.failing {
		s.Errors, s.MeanLatency = s.Attempts, 0
	}
	if !tr.happens(tr.plan.churn.contradict) {
		return s
	}
	switch tr.random.IntN(7) {
	case 0:
		s.Attempts = 0
	case 1:
		s.Errors = s.Attempts + 1
	case 2:
		s.MeanLatency = -1
	case 3:
		s.Window = 0
	case 4:
		s.Replica = model.ReplicaID{Addr: [4]byte{192, 0, 2, 1}, Port: 1}
	case 5:
		s.Readings = s.Readings[:1]
	default:
		s.Readings[1] = -0.5
	}
	return s
}

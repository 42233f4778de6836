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

// The golden traces check the published updates bit for bit. Seeded event sequences are passed to the public methods
// of the balancer; after every step the published updates are hashed and compared with testdata/trace-*.txt. The
// traces use only the updates and the View of the balancer. Floats are hashed by their bits, which are the same on
// every kind of machine (see power.go); the files were written on arm64. The words for events and kinds of update are
// part of the hashed text, so they must not change.

var updateTraces = flag.Bool("update", false, "rewrite testdata/trace-*.txt from the current behaviour")

// viewIntervalSteps is the number of steps between two hashes of the View.
const viewIntervalSteps = 10

// tracedReplica is a replica of the simulated fleet.
type tracedReplica struct {
	id        model.ReplicaID
	zone      int
	status    model.EndpointStatus
	startedAt model.Microseconds
	slowness  float64 // its latency divided by the mean latency of the fleet
	isFailing bool    // answers every request with an error
	isSilent  bool    // is named in no load report
}

// tracedProxy is a proxy of the simulated fleet.
type tracedProxy struct {
	id        model.ProxyID
	zone      int
	connected bool
}

// pendingAck is an acknowledgement on its way to the balancer.
type pendingAck struct {
	at       model.Microseconds
	proxy    model.ProxyID
	sequence uint32
}

// trace runs one scenario, records the updates that the balancer publishes, and compares them with the golden lines.
type trace struct {
	t           *testing.T
	plan        scenario
	random      *rand.Rand
	balancer    *balancer.Balancer
	now         model.Microseconds
	timerAt     model.Microseconds // when the timer fires next, as set by SetTimer
	tick        int
	subscribed  bool // the balancer subscribed and has not received a list since
	replicas    []*tracedReplica
	proxies     []*tracedProxy
	pendingAcks []pendingAck

	stepText []string // events and updates of the step, in order
	updates  int      // number of updates in the step
	logs     int      // number of log messages in the step
	want     []string // golden lines
	got      []string
	kinds    map[string]int // number of updates in the whole trace, by kind
}

// scenario is a fleet, its configuration and the probabilities of its events.
type scenario struct {
	name         string
	seed         uint64
	config       model.Config
	replicas     int
	proxies      int
	ticks        int
	expectedRate float64 // requests a second of a proxy
	attempts     int     // mean attempts in a load report
	ackDelay     model.Microseconds
	ackLoss      float64 // probability that an acknowledgement is lost
	churn        churn
	load         func(tick int) float64 // mean latency over the objective
	script       func(tr *trace, tick int)
	allAtOnce    bool // every proxy connects at the start
}

// churn holds the probability of each event in a tick.
type churn struct {
	connect, disconnect                   float64 // of a proxy
	drain, removed, restarted, readyAgain float64 // of a replica, in the endpoint list
	startFailing, recover                 float64 // of a replica, not shown in the endpoint list
	fullList, cachedList, failedPoll      float64
	contradictory                         float64 // load report
}

func (tr *trace) recordUpdate(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	kind, _, _ := strings.Cut(line, " ")
	tr.kinds[kind]++
	tr.updates++
	tr.stepText = append(tr.stepText, line)
}

// recordEvent adds an event to the text of the step.
func (tr *trace) recordEvent(format string, args ...any) {
	tr.stepText = append(tr.stepText, "event "+fmt.Sprintf(format, args...))
}

func bits(f float64) string { return strconv.FormatUint(math.Float64bits(f), 16) }

func replicaText(r model.ReplicaID) string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", r.Addr[0], r.Addr[1], r.Addr[2], r.Addr[3], r.Port)
}

func (tr *trace) SetWeight(t model.TableID, r model.ReplicaID, weight float64) {
	tr.recordUpdate("assign %d %s %s", int(t), replicaText(r), bits(weight))
}

func (tr *trace) BindProxy(p model.ProxyID, t model.TableID, operations uint16, readmitted []model.ReplicaID) {
	var names []string
	for _, r := range readmitted {
		names = append(names, replicaText(r))
	}
	tr.recordUpdate("bind %d %d %d [%s]", int(p), int(t), operations, strings.Join(names, ","))
}

func (tr *trace) SetWithdrawn(r model.ReplicaID, withdrawn bool) {
	tr.recordUpdate("withdraw %s %t", replicaText(r), withdrawn)
}

func (tr *trace) SetQuota(operations uint16, quota float64, policy model.RetryPolicy) {
	tr.recordUpdate("level %d %s %d", operations, bits(quota), int(policy))
}

// RequestAck makes every connected proxy acknowledge later, or never. Proxies that did not get the message
// acknowledge too; these acknowledgements must change nothing.
func (tr *trace) RequestAck(sequence uint32, fromAll bool, _ []model.ProxyID) {
	tr.recordUpdate("receipt %d %t", sequence, fromAll)
	for _, p := range tr.proxies {
		if !p.connected || tr.random.Float64() < tr.plan.ackLoss {
			continue
		}
		delay := model.Microseconds(tr.random.Int64N(int64(tr.plan.ackDelay) + 1))
		tr.pendingAcks = append(tr.pendingAcks, pendingAck{tr.now + delay, p.id, sequence})
	}
}

func (tr *trace) SetTimer(after model.Microseconds) {
	tr.timerAt = tr.now + after
	tr.recordUpdate("wake %d", int64(after))
}

func (tr *trace) Subscribe() {
	tr.subscribed = true
	tr.recordUpdate("follow")
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

// step runs one step and compares its line with the golden line.
func (tr *trace) step(event string, run func()) {
	tr.t.Helper()
	tr.stepText = nil
	tr.updates = 0
	tr.logs = 0
	run()
	stepNumber := len(tr.got)
	line := fmt.Sprintf("%04d %d %s | orders %d logs %d %s", stepNumber, int64(tr.now), event, tr.updates, tr.logs,
		hashOf(tr.stepText))
	var view []string
	if stepNumber%viewIntervalSteps == 0 && tr.balancer != nil {
		view = viewText(tr.t, tr.balancer.View())
		line += " view " + hashOf(view)
	}
	tr.got = append(tr.got, line)
	if *updateTraces {
		return
	}
	want := "(the golden trace ends before this step)"
	if stepNumber < len(tr.want) {
		want = tr.want[stepNumber]
	}
	if line != want {
		tr.t.Fatalf("step %d differs, event: %s\nwant %s\ngot  %s\nevents and updates:\n%s\nview:\n%s",
			stepNumber, event, want, line, strings.Join(tr.stepText, "\n"), strings.Join(view, "\n"))
	}
}

// goldenTrace runs a scenario and returns the number of its updates by kind.
func goldenTrace(t *testing.T, plan scenario) map[string]int {
	run := &trace{
		t: t, plan: plan, random: rand.New(rand.NewPCG(plan.seed, 0x9e3779b97f4a7c15)),
		now: 100 * model.Second, kinds: map[string]int{},
	}
	path := filepath.Join("testdata", "trace-"+plan.name+".txt")
	if !*updateTraces {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		run.want = strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	}
	run.start()
	for run.tick = 1; run.tick <= plan.ticks; run.tick++ {
		run.betweenTimers()
		run.timerFires()
	}
	run.finish(path)
	return run.kinds
}

func (tr *trace) finish(path string) {
	if len(tr.got) < 400 {
		tr.t.Fatalf("the trace has %d steps, want at least 400", len(tr.got))
	}
	if *updateTraces {
		if err := os.WriteFile(path, []byte(strings.Join(tr.got, "\n")+"\n"), 0o644); err != nil {
			tr.t.Fatal(err)
		}
		return
	}
	if len(tr.got) != len(tr.want) {
		tr.t.Fatalf("the trace has %d steps, want %d as in the golden file", len(tr.got), len(tr.want))
	}
}

func (tr *trace) start() {
	for n := range tr.plan.replicas {
		tr.replicas = append(tr.replicas, &tracedReplica{
			zone: n % tr.plan.config.Zones, status: model.EndpointReady,
			id:       model.ReplicaID{Addr: [4]byte{10, 0, byte(n / 200), byte(n % 200)}, Port: uint16(5000 + n%3)},
			slowness: 0.7 + float64(0.6*tr.random.Float64()),
		})
	}
	for n := range tr.plan.proxies {
		tr.proxies = append(tr.proxies, &tracedProxy{id: model.ProxyID(n + 1), zone: n % tr.plan.config.Zones})
	}
	tr.step("new", func() { tr.balancer = balancer.New(tr.plan.config, tr, tr.now) })
	tr.updateEndpoints("cached", model.CachedList, tr.replicas)
	count := len(tr.proxies)
	if !tr.plan.allAtOnce {
		count /= 2
	}
	tr.connect(tr.proxies[:count]...)
	tr.flush()
}

// betweenTimers delivers acknowledgements and random events at a random time between two timer events.
func (tr *trace) betweenTimers() {
	before := len(tr.got)
	tr.now += 1 + model.Microseconds(tr.random.Int64N(int64(tr.timerAt-tr.now-1)))
	tr.answerSubscription()
	tr.deliverAcks()
	tr.churnReplicas()
	tr.churnProxies()
	if tr.plan.script != nil {
		tr.plan.script(tr, tr.tick)
	}
	if len(tr.got) > before {
		tr.flush()
	}
}

// timerFires fires the timer; load reports arrive with every fifth timer event.
func (tr *trace) timerFires() {
	tr.now = tr.timerAt
	tr.deliverAcks()
	if tr.tick%5 == 0 {
		tr.deliverReports()
	}
	tr.step("timer", func() { tr.balancer.TimerFired(tr.now) })
	tr.flush()
}

func (tr *trace) flush() { tr.step("settle", func() { tr.balancer.Flush(tr.now) }) }

func (tr *trace) answerSubscription() {
	if tr.subscribed && tr.random.Float64() < 0.5 {
		tr.subscribed = false
		tr.updateEndpoints("complete", model.FullList, tr.replicas)
	}
}

// deliverAcks passes the acknowledgements that are due to the balancer.
func (tr *trace) deliverAcks() {
	var due, later []pendingAck
	for _, a := range tr.pendingAcks {
		if a.at <= tr.now {
			due = append(due, a)
		} else {
			later = append(later, a)
		}
	}
	tr.pendingAcks = later
	if len(due) == 0 {
		return
	}
	tr.step(fmt.Sprintf("acks %d", len(due)), func() {
		for _, a := range due {
			tr.recordEvent("ack %d %d", int(a.proxy), a.sequence)
			tr.balancer.Acknowledged(tr.now, a.proxy, a.sequence)
		}
	})
}

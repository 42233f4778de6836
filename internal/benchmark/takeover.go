package benchmark

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"peppervale/internal/cluster"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

// TakeoverFigures are of governors that are killed one at a time at random moments, and come back.
type TakeoverFigures struct {
	Shared          bool // they share the fleet out; else each governs whoever joins it
	Forwarders      int
	Rounds          int
	Span            model.Microseconds
	P50, P99, Worst time.Duration // from the kill to a forwarder's first message of another governor, of each forwarder that lost its own
	Bound50         time.Duration // to the first that binds it to a table
	BoundWorst      time.Duration
	Untouched       int     // streams that broke though their governor was not the one killed, in all rounds
	Grants          float64 // parts that changed hands a kill, until all were held again
	Fewest          float64 // parts of the killed one
	Home            float64 // moves a return
	Breaks          []string
}

// watch notes when forwarders without a governor are ordered again.
type watch struct {
	mu      sync.Mutex
	killed  string
	at      model.Microseconds
	orphans map[string]bool // ordered already
	bound   map[string]bool
	firsts  []model.Microseconds
	binds   []model.Microseconds
	of      map[string]string // a forwarder's governor
	broke   int
	seen    []invariants.Seen
}

func (w *watch) saw(s invariants.Seen) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, s)
	one, ok := s.(invariants.Stream)
	switch {
	case !ok:
	case one.Up:
		w.of[one.Forwarder] = one.Governor
	default:
		if w.killed != "" && one.Governor != w.killed {
			w.broke++
		}
	}
}

func (w *watch) obeyed(now model.Microseconds, f, governor string, m *pubsubmsg.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ordered, orphan := w.orphans[f]
	if !orphan || governor == w.killed {
		return
	}
	if !ordered {
		w.orphans[f] = true
		w.firsts = append(w.firsts, now-w.at)
	}
	if m.Bound && !w.bound[f] {
		w.bound[f] = true
		w.binds = append(w.binds, now-w.at)
	}
}

// kill begins a round.
func (w *watch) kill(name string, now model.Microseconds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed, w.at, w.orphans, w.bound = name, now, map[string]bool{}, map[string]bool{}
	for f, g := range w.of {
		if g == name {
			w.orphans[f] = false
		}
	}
}

func (w *watch) allBound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.bound) == len(w.orphans)
}

func (w *watch) over() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed, w.orphans = "", nil
}

// members of the group, each at home in a zone of its own.
const takeoverMembers = 3

// Takeover kills one of three governors so many times under n forwarders, and waits each time until all are ordered again, and until the
// killed one has its parts back; program is the command that runs one.
func Takeover(ctx context.Context, program []string, n, rounds int, span model.Microseconds, shared bool, seed uint64, progress io.Writer) (*TakeoverFigures, error) {
	now := controller.Clock()
	chance := standin.NewChance(seed, "takeover")
	dir, err := os.MkdirTemp("", "peppervale-takeover-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	loop := standin.NewLoop(now)
	defer loop.Stop()
	w := &watch{of: map[string]string{}}
	list, err := registry.New(loop, "127.0.0.1:0", "recipe", w.saw)
	if err != nil {
		return nil, err
	}
	defer list.Close()
	loop.Do(func() {
		for k := range 4 * takeoverMembers {
			list.Set(registry.Entry{ID: replicaID(k), Zone: fmt.Sprint("zone-", k%takeoverMembers)})
		}
	})
	engine, err := proxy.NewEngine()
	if err != nil {
		return nil, err
	}
	defer engine.Stop()
	members, err := takeoverFiles(dir, list.Addr(), n, span, shared)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		m.program = program
		if err := m.start(ctx); err != nil {
			return nil, err
		}
		defer func() { m.end(syscall.SIGKILL) }()
	}
	var all []*proxy.Forwarder
	loop.Do(func() {
		for k := range n {
			zone := k % takeoverMembers
			facts := proxy.Facts{Name: fmt.Sprint("listener-", k), Zone: fmt.Sprint("zone-", zone), Rate: 1, Redial: 150 * model.Millisecond, ConnectFor: model.Second,
				StreamsOnly: true, Obeyed: func(f *proxy.Forwarder, governor string, m *pubsubmsg.Message) {
					w.obeyed(now(), f.Name, governor, m)
				}}
			for i := range takeoverMembers {
				m := members[(zone+i)%takeoverMembers]
				facts.Governors = append(facts.Governors, proxy.Governor{Name: m.name, Address: m.channel})
			}
			f := proxy.New(loop, engine, facts, seed, w.saw)
			f.Start([]invariants.Line{{Replica: replicaID(k % 12), Weight: 1}})
			all = append(all, f)
		}
	})
	defer loop.Do(func() {
		for _, f := range all {
			f.Kill()
		}
	})
	settled := func() bool { // each forwarder bound; in a group each also at home
		home := true
		loop.Do(func() {
			for k, f := range all {
				home = home && f.Bound() && f.Joined() != "" && (!shared || f.Joined() == members[k%takeoverMembers].name)
			}
		})
		return home
	}
	if err := await(ctx, "all forwarders bound", settled); err != nil {
		return nil, err
	}
	fig := &TakeoverFigures{Shared: shared, Forwarders: n, Rounds: rounds, Span: span}
	for round := range rounds {
		time.Sleep(time.Duration(chance.Float() * float64(span.Duration()))) // a moment of its own between two renewals
		k := chance.Below(takeoverMembers)
		if !shared { // nobody goes home: the one that has somebody
			for w.governs(members[k].name) == 0 {
				k = (k + 1) % takeoverMembers
			}
		}
		before := members[(k+1)%takeoverMembers].grants(shared)
		w.kill(members[k].name, now())
		members[k].end(syscall.SIGKILL)
		if err := await(ctx, "orphans bound", w.allBound); err != nil {
			return nil, err
		}
		between := members[(k+1)%takeoverMembers].grants(shared)
		w.over()
		if err := members[k].start(ctx); err != nil {
			return nil, err
		}
		if err := await(ctx, "all home", settled); err != nil {
			return nil, err
		}
		fig.Grants += float64(between - before)
		fig.Fewest += takeoverParts
		fig.Home += float64(members[(k+1)%takeoverMembers].grants(shared) - between)
		if progress != nil && round%10 == 9 {
			fmt.Fprintf(progress, "%d of %d\n", round+1, rounds)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.firsts)
	slices.Sort(w.binds)
	at := func(all []model.Microseconds, p float64) time.Duration {
		return all[int(p*float64(len(all)-1))].Duration()
	}
	fig.P50, fig.P99, fig.Worst = at(w.firsts, 0.5), at(w.firsts, 0.99), at(w.firsts, 1)
	fig.Bound50, fig.BoundWorst = at(w.binds, 0.5), at(w.binds, 1)
	fig.Untouched = w.broke
	fig.Grants, fig.Fewest, fig.Home = fig.Grants/float64(rounds), fig.Fewest/float64(rounds), fig.Home/float64(rounds)
	for _, v := range invariants.Judge(w.seen, invariants.Figures{Zones: []string{"zone-0", "zone-1", "zone-2"}, Bare: 2600 * model.Millisecond, Grace: 2500 * model.Millisecond,
		Cold: 10 * model.Second, TipFactor: 4, TipSpan: 3 * model.Second, QueueMost: 1 << 30}, now()) {
		fig.Breaks = append(fig.Breaks, v.Breaks...)
	}
	return fig, nil
}

func (w *watch) governs(name string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.of {
		if g == name {
			n++
		}
	}
	return n
}

// takeoverParts is how many parts a zone has, and so a member when all is quiet.
const takeoverParts = 4

// sharer is a governor's process with its addresses.
type sharer struct {
	restarted
	name, channel, group string
}

// grants counts the grants that a member knows to be agreed on.
func (s *sharer) grants(shared bool) (n uint64) {
	if !shared {
		return 0
	}
	text, err := cluster.Request(s.group, 5*time.Second, "STATUS")
	var status cluster.Status
	if err != nil || json.Unmarshal([]byte(text), &status) != nil {
		return 0
	}
	for _, p := range status.Shards {
		n += p.Epoch
	}
	return n
}

func takeoverFiles(dir, list string, n int, span model.Microseconds, shared bool) (members []*sharer, err error) {
	var names string
	var gossips []string
	for k := range takeoverMembers {
		s := &sharer{name: fmt.Sprint("g", k)}
		var at [3]string
		for i := range at {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			defer l.Close()
			at[i] = l.Addr().String()
		}
		s.channel, s.group = at[0], at[1]
		gossips = append(gossips, at[2])
		names += fmt.Sprintf("  member %q {\n    address = %q\n    gossip = %q\n  }\n", s.name, at[1], at[2])
		members = append(members, s)
	}
	for k, s := range members {
		text := fmt.Sprintf(takeoverFile, s.name, s.channel, s.name+".state", k+1, n, list)
		if shared {
			text += fmt.Sprintf("group {\n  listen = %q\n  gossip = %q\n  zone = %q\n  parts = %d\n  span = %q\n  settle = \"300ms\"\n  pace = \"50ms\"\n%s}\n", s.group, gossips[k],
				fmt.Sprint("zone-", k), takeoverParts, span.Duration(), names)
		}
		s.config = filepath.Join(dir, s.name+".hcl")
		if err := os.WriteFile(s.config, []byte(text), 0o644); err != nil {
			return nil, err
		}
	}
	return members, nil
}

const takeoverFile = `governor %q {
  listen = %q
  state = %q
  seed = %d
  farewell = "500ms"
}
zones = ["zone-0", "zone-1", "zone-2"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = %d
}
rules {
}
channel {
  pace = 100000
  period = "500ms"
}
machine_list "consul" {
  address = %q
  service = "recipe"
}
`

// PrintTakeovers writes a table.
func PrintTakeovers(w io.Writer, all []*TakeoverFigures) {
	fmt.Fprintf(w, "| governors | forwarders | kills | lease | first order p50 | p99 | worst | bound p50 | worst | other streams broken | parts moved a kill, fewest | moved a return | rules |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	for _, f := range all {
		kind, rules := "share nothing", "kept"
		if f.Shared {
			kind = "share the fleet"
		}
		if len(f.Breaks) > 0 {
			rules = fmt.Sprintf("%d breaks: %s", len(f.Breaks), f.Breaks[0])
		}
		fmt.Fprintf(w, "| %s | %d | %d | %s | %s | %s | %s | %s | %s | %d | %.2f, %.2f | %.2f | %s |\n", kind, f.Forwarders, f.Rounds, f.Span.Duration(), ms(f.P50), ms(f.P99), ms(f.Worst),
			ms(f.Bound50), ms(f.BoundWorst), f.Untouched, f.Grants, f.Fewest, f.Home, rules)
	}
}

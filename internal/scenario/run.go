package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/standin/replica"
)

// Setting is where a day is played.
type Setting struct {
	Program  []string  // starts a governor with --config FILE added: the program's own path and "governor"
	Folder   string    // for files and logs; empty: a temporary one, removed at the end unless Keep
	Keep     bool      // leave a temporary folder
	Progress io.Writer // what happens, a line each; nil: nothing
}

// Run plays a day; ctx cuts it off. An error means that the day could not be played, not that a rule broke.
func Run(ctx context.Context, s *Script, set Setting) (*Report, error) {
	d := &play{Script: s, set: set, now: controller.Clock(), chance: standin.NewChance(s.Seed, "day")}
	defer d.close()
	if err := d.open(); err != nil {
		return nil, err
	}
	return d.play(ctx)
}

// play is a day that is being played. Fields below loop are of its goroutine.
type play struct {
	*Script
	set       Setting
	now       func() model.Microseconds
	chance    *standin.Chance
	folder    string
	temporary bool
	engine    *netpoll.Engine
	loop      *standin.Loop
	governors []*process
	rogue     *rogue

	began      model.Microseconds
	seen       []invariants.Seen
	list       *registry.Registry
	replicas   []*machine
	forwarders []*caller
	bays       map[string]*replica.Bay
	works      float64 // sum of shares
	numbers    uint64
	heavy      float64 // share of invocations that cost...
	heavySize  float64 // ...so many times the work
	tally      *tally
	faults     []error
	octet      int
}

// machine is a replica with its place in the list.
type machine struct {
	*replica.Replica
	entry  registry.Entry
	strike int // of a trouble that is to end with it: a later one wins
}

// caller is a forwarder with the clients behind it.
type caller struct {
	*proxy.Forwarder
	zone int
	rate float64
}

// process is a governor of its own.
type process struct {
	name, zone, address, console, config, log string
	program                                   []string
	cmd                                       *exec.Cmd
	file                                      *os.File
	starts                                    int
	usage                                     time.Duration // of the processes that ended
}

func (p *process) start() error {
	if p.cmd != nil {
		return nil
	}
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program[0], append(slices.Clone(p.program[1:]), "--config", p.config)...)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		file.Close()
		return fmt.Errorf("governor %s: %w", p.name, err)
	}
	p.cmd, p.file = cmd, file
	p.starts++
	return nil
}

// signal ends a process, or stops and continues it.
func (p *process) signal(sig syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// leave signals the process and gives what waits for its end and tells its CPU; one that has not gone within the time
// is killed. The process counts as ended from now on.
func (p *process) leave(sig syscall.Signal, within time.Duration) func() time.Duration {
	if p.cmd == nil {
		return func() time.Duration { return 0 }
	}
	cmd, file := p.cmd, p.file
	p.cmd, p.file = nil, nil
	_ = cmd.Process.Signal(sig)
	return func() time.Duration {
		late := time.AfterFunc(within, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		late.Stop()
		file.Close()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
}

// end is leave, and waits.
func (p *process) end(sig syscall.Signal, within time.Duration) { p.usage += p.leave(sig, within)() }

func (d *play) see(s invariants.Seen) { d.seen = append(d.seen, s) }

func (d *play) say(format string, args ...any) {
	if d.set.Progress != nil {
		fmt.Fprintf(d.set.Progress, "%7.3f s  %s\n", float64(d.now()-d.began)/float64(model.Second), fmt.Sprintf(format, args...))
	}
}

// nets counts the days of this process, so that each begins its search elsewhere.
var nets atomic.Int64

// freeNet finds a 127.x net in which nobody listens, so that two days on one machine do not meet.
func freeNet() (int, error) {
	first := os.Getpid() + int(nets.Add(1))*41
	for k := range 100 {
		octet := 20 + (first+k*37)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:7699", octet))
		if err == nil {
			l.Close()
			return octet, nil
		}
	}
	return 0, errors.New("day: no free loopback net")
}

func (d *play) open() (err error) {
	d.folder = d.set.Folder
	if d.folder == "" {
		if d.folder, err = os.MkdirTemp("", "peppervale-day-"); err != nil {
			return err
		}
		d.temporary = !d.set.Keep
	} else if err = os.MkdirAll(d.folder, 0o755); err != nil {
		return err
	}
	if d.octet, err = freeNet(); err != nil {
		return err
	}
	if d.engine, err = proxy.NewEngine(); err != nil {
		return err
	}
	d.loop = standin.NewLoop(d.now)
	d.began = d.now()
	d.bays, d.tally = map[string]*replica.Bay{}, newTally(d.Script)
	var made error
	d.loop.Do(func() { made = d.make() })
	return made
}

// make starts the list and the replicas, and writes the governors' files.
func (d *play) make() error {
	var err error
	d.list, err = registry.New(d.loop, fmt.Sprintf("127.%d.255.1:0", d.octet), serviceName, d.see)
	if err != nil {
		return err
	}
	for zone := range d.Zones {
		for k := range d.Replicas.EachZone {
			if err := d.addReplica(zone, k, false); err != nil {
				return err
			}
		}
	}
	for _, w := range d.Load.Works {
		d.works += w.Share
	}
	d.makeForwarders()
	if d.Rogue != "none" {
		d.rogue, err = newRogue(d)
		return err
	}
	for i, zone := range d.Governors {
		name := governorName(zone, i)
		p := &process{name: name, zone: zone, address: fmt.Sprintf("127.%d.254.%d:7700", d.octet, i+1), program: d.set.Program,
			config: filepath.Join(d.folder, name+".hcl"), log: filepath.Join(d.folder, name+".log")}
		p.console = fmt.Sprintf("127.%d.254.%d:7780", d.octet, i+1)
		text := d.governorFile(name, p.address, p.console, filepath.Join(d.folder, name+".state"), d.list.Addr(), d.Seed*100+uint64(i), d.octet)
		if err := os.WriteFile(p.config, text, 0o644); err != nil {
			return err
		}
		if _, err := config.LoadServer(p.config); err != nil {
			return fmt.Errorf("the day's governors cannot be started:\n%w", err)
		}
		d.governors = append(d.governors, p)
	}
	return nil
}

func (d *play) addReplica(zone, k int, cold bool) error {
	id := model.ReplicaID{Addr: [4]byte{127, byte(d.octet), byte(zone + 1), byte(k + 1)}, Port: 8080}
	r := d.Replicas
	bay := fmt.Sprintf("%s-%d", d.Zones[zone], k/r.BaySize)
	if d.bays[bay] == nil {
		d.bays[bay] = replica.NewBay()
	}
	windows := make([]model.Microseconds, len(d.Operations))
	for i, o := range d.Operations {
		windows[i] = o.Window
	}
	f := replica.Facts{ID: id, Zone: d.Zones[zone], Bay: bay, Cores: r.Cores, Speed: d.chance.Between(r.SpeedFrom, r.SpeedTo),
		Waiting: r.Waiting, Connections: r.Connections, ColdShare: r.ColdShare, ColdSpan: r.ColdSpan, ReportEvery: r.ReportEvery,
		Handshake: float64(r.Handshake), TipFactor: d.Guarantees.TipFactor, TipSpan: d.Guarantees.TipSpan}
	m := &machine{Replica: replica.New(d.loop, f, d.bays[bay], windows, d.see),
		entry: registry.Entry{ID: id, Zone: f.Zone, Bay: bay, Kind: fmt.Sprintf("%d-core", f.Cores)}}
	d.replicas = append(d.replicas, m)
	if err := m.Start(cold); err != nil {
		return err
	}
	m.entry.Started = m.Started
	if cold {
		d.listed(m, d.List.Add)
	} else {
		d.list.Set(m.entry)
	}
	return nil
}

// listed puts a replica, as it is by then, into the list after a while.
func (d *play) listed(m *machine, after model.Microseconds) {
	life := m.Started
	d.loop.After(after, func() {
		if m.Up && m.Started == life {
			m.entry.Started, m.entry.Draining = m.Started, m.Draining
			d.list.Set(m.entry)
		}
	})
}

// unlisted takes a replica that is down out of the list after a while.
func (d *play) unlisted(m *machine, after model.Microseconds) {
	d.loop.After(after, func() {
		if !m.Up || m.Silent {
			d.list.Remove(m.ID)
		}
	})
}

func (d *play) makeForwarders() {
	f := d.Script.Forwarders
	n := f.EachZone * len(d.Zones)
	weights, sum := make([]float64, n), 0.0
	for i := range weights {
		weights[i] = d.chance.Spread(f.RateSpread)
		sum += weights[i]
	}
	var ops []proxy.Operation
	for _, o := range d.Operations {
		ops = append(ops, proxy.Operation{Objective: o.Objective, Timeout: o.Timeout})
	}
	for i := range n {
		zone := i % len(d.Zones)
		rate := d.Load.Rate * weights[i] / sum
		facts := proxy.Facts{Name: fmt.Sprintf("%s-till-%d", d.Zones[zone], i/len(d.Zones)+1), Zone: d.Zones[zone], ZoneIndex: zone,
			Rate: rate, Pick: proxy.Pick(f.Pick), Operations: ops, UsualWay: d.Guarantees.DefaultWay, FirstWait: d.Guarantees.FirstWait,
			Ejects: f.Ejects, EjectFor: f.EjectFor, Redial: f.Redial, ConnectFor: 250 * model.Millisecond, IdleFor: 15 * model.Second, StallFor: f.StallLine}
		d.forwarders = append(d.forwarders, &caller{Forwarder: proxy.New(d.loop, d.engine, facts, d.Seed, d.see), zone: zone, rate: rate})
	}
}

// addresses gives a forwarder's governors, its own zone's first, the rest dealt by its place.
func (d *play) addresses(c *caller, i int) (all []proxy.Governor) {
	if d.rogue != nil {
		return []proxy.Governor{{Name: d.rogue.name, Address: d.rogue.server.Addr()}}
	}
	n := len(d.governors)
	for k := range n {
		p := d.governors[(i+k)%n]
		all = append(all, proxy.Governor{Name: p.name, Address: p.address})
	}
	slices.SortStableFunc(all, func(a, b proxy.Governor) int { return d.near(a.Name, c) - d.near(b.Name, c) })
	return all
}

func (d *play) near(name string, c *caller) int {
	for _, p := range d.governors {
		if p.name == name && p.zone == d.Zones[c.zone] {
			return 0
		}
	}
	return 1
}

// standing draws a forwarder's first table from the list: in its zone if three are there.
func (d *play) standing(c *caller) (lines []invariants.Line) {
	var near, all []*machine
	for _, m := range d.replicas {
		if m.Up && !m.Draining {
			if all = append(all, m); m.Zone == d.Zones[c.zone] {
				near = append(near, m)
			}
		}
	}
	if len(near) < 3 {
		near = all
	}
	near = slices.Clone(near)
	for len(lines) < d.Terms.StandingTableSize && len(near) > 0 {
		k := d.chance.Below(len(near))
		lines = append(lines, invariants.Line{Replica: near[k].ID, Weight: 1})
		near = slices.Delete(near, k, k+1)
	}
	return lines
}

func (d *play) play(ctx context.Context) (*Report, error) {
	for _, p := range d.governors {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range d.governors {
		if err := reachable(ctx, p.address); err != nil {
			return nil, fmt.Errorf("governor %s does not listen: %w\n%s", p.name, err, tail(p.log))
		}
	}
	d.loop.Do(func() {
		d.began = d.now()
		for _, p := range d.governors {
			d.say("console of %s: http://%s", p.name, p.console)
		}
		d.say("day %s begins: %d forwarders, %d replicas, %d governors", d.Name, len(d.forwarders), len(d.replicas), max(len(d.governors), 1))
		for i, c := range d.forwarders {
			c.Governors = d.addresses(c, i)
			c.Start(d.standing(c))
			d.arrive(c)
		}
		for _, t := range d.Steps {
			d.loop.At(d.began+t.At, func() {
				d.say("%s %s", t.Kind, t.Zone)
				d.strike(t)
			})
		}
	})
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("day %s was cut off: %w", d.Name, ctx.Err())
	case <-time.After(d.Length.Duration()):
	}
	// What was asked before the end still ends, and rules still count.
	var longest model.Microseconds
	for _, o := range d.Operations {
		longest = max(longest, o.Timeout)
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("day %s was cut off: %w", d.Name, ctx.Err())
	case <-time.After(longest.Duration()):
	}
	var report *Report
	d.loop.Do(func() {
		end := d.now()
		report = d.report(invariants.Judge(d.seen, d.figures(), end))
	})
	for _, p := range d.governors {
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGTERM, 5*time.Second)
		report.Channel.GovernorCPU += p.usage.Seconds()
	}
	return report, errors.Join(d.faults...)
}

// arrive books a forwarder's next invocation; arrivals do not wait for answers.
func (d *play) arrive(c *caller) {
	if c.rate <= 0 {
		return
	}
	d.loop.After(model.Microseconds(d.chance.Wait(c.rate)*float64(model.Second)), func() {
		if d.now()-d.began < d.Length {
			d.ask(c)
			d.arrive(c)
		}
	})
}

func (d *play) ask(c *caller) {
	x := d.chance.Float() * d.works
	w := d.Load.Works[0]
	for _, o := range d.Load.Works {
		if w = o; x < o.Share {
			break
		}
		x -= o.Share
	}
	d.numbers++
	work := float64(w.Mean) * d.chance.Spread(w.Spread)
	if d.heavy > 0 && d.chance.Float() < d.heavy {
		work *= d.heavySize
	}
	d.invoke(c, &proxy.Invocation{Number: d.numbers, Operation: w.Operation, Work: work}, d.now())
}

// invoke asks, and asks again as clients do: idempotent work after any failure, the rest after a refusal.
func (d *play) invoke(c *caller, inv *proxy.Invocation, first model.Microseconds) {
	inv.Done = func(r proxy.Result, _ model.Microseconds) {
		o := d.Operations[inv.Operation]
		took := d.now() - first
		again := inv.Caller+1 < d.Script.Forwarders.ClientTries && took+d.Script.Forwarders.Backoff < o.Timeout &&
			(r == proxy.RateLimited || r == proxy.Failed && o.Effect == config.Idempotent)
		if r != proxy.Succeeded && again {
			d.loop.After(d.Script.Forwarders.Backoff, func() {
				next := *inv
				next.Caller++
				d.invoke(c, &next, first)
			})
			return
		}
		d.tally.count(inv.Operation, r, took, first-d.began)
	}
	c.Invoke(inv)
}

func reachable(ctx context.Context, address string) error {
	until := time.Now().Add(10 * time.Second)
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return c.Close()
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func tail(path string) string {
	text, _ := os.ReadFile(path)
	return string(text[max(0, len(text)-2000):])
}

func (d *play) close() {
	for _, p := range d.governors {
		p.signal(syscall.SIGCONT)
		p.end(syscall.SIGKILL, time.Second)
	}
	if d.rogue != nil {
		d.rogue.close()
	}
	if d.loop != nil {
		d.loop.Do(func() {
			for _, c := range d.forwarders {
				c.Kill()
			}
			for _, m := range d.replicas {
				m.Stop()
			}
		})
		if d.list != nil {
			d.list.Close()
		}
		d.engine.Stop()
		d.loop.Stop()
	} else if d.engine != nil {
		d.engine.Stop()
	}
	if d.temporary {
		os.RemoveAll(d.folder)
	}
}

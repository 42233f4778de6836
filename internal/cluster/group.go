package cluster

import (
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/rs/zerolog"

	"peppervale/internal/model"
)

// Peer is a member as a file names it.
type Peer struct {
	Name    string
	Address string // of its group port, as this member reaches it
	Gossip  string
}

// Config tells a member about itself and the group.
type Config struct {
	Name, Zone       string
	Channel          string // where forwarders join it
	Listen           string // group port: raft and requests
	Gossip           string // host:port, TCP and UDP
	Directory        string // of raft's log and snapshots
	Incarnation      uint64 // it grows with each start
	Join             bool   // asks to be taken in; else, where nothing is agreed yet, it founds the group with Peers
	Peers            []Peer // itself among them
	Settings         Settings
	Capacity         float64                // invocations a second that it governs at most; 0: any
	Loads            func() map[int]float64 // traffic that joined forwarders told, by part; nil: not known
	Now              func() model.Microseconds
	MisroutedProxies func() map[int]int // forwarders that ask here over and over, by part; nil: not known
	Links            Links              // nil: all reach all
	Handover         HandoverHooks
	full             func() error // of the disk, nil while it can be written; tests fill it
	knows            uint8        // newest form of commands that is understood, 0: form; tests let one member be newer
	Log              zerolog.Logger
}

func (l *Config) address(name, otherwise string) string {
	for _, p := range l.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return otherwise
}

func (l *Config) nameAt(address string) string {
	for _, p := range l.Peers {
		if p.Address == address {
			return p.Name
		}
	}
	return ""
}

// Events is told, from one goroutine, what this member holds from now on and what no longer. Lost returns once no order of this
// member for the part is under way any more.
type Events interface {
	LeaseGained(part int, epoch uint64)
	LeaseLost(part int)
}

// Cluster is one running member. Make it with Open.
type Cluster struct {
	line   *Config
	events Events
	port   *port
	engine *engine
	gossip *gossip
	poke   chan struct{}
	send   chan *Command
	done   chan struct{}
	wait   sync.WaitGroup

	mu      sync.Mutex
	member  *Member
	disk    error // votes cannot be written
	trouble string
	loads   map[int]float64
	strays  []MisroutedProxies
	moved   time.Time // it last gave up leading, as its settings are not the group's
}

// Open starts a member. Errors are those of addresses and of the folder; that others cannot be reached is none.
func Open(l Config, e Events) (_ *Cluster, err error) {
	if err := os.MkdirAll(l.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	g := &Cluster{line: &l, events: e, poke: make(chan struct{}, 1), send: make(chan *Command, 16), done: make(chan struct{})}
	record := MemberRecord{Zone: l.Zone, Channel: l.Channel, RequestAddress: l.address(l.Name, l.Listen), Capacity: l.Capacity}
	g.member = NewMember(l.Name, l.Incarnation, record, l.Settings, func(part int) float64 {
		if load, any := g.loads[part]; any {
			return load
		}
		return -1 // its forwarders are on their way here
	})
	g.member.strays = func() []MisroutedProxies { return g.strays }
	if l.knows > 0 {
		g.member.reg.knows = l.knows
	}
	started := make(chan struct{})
	if g.port, err = openPort(&l, func(words []string) ([]byte, error) {
		select {
		case <-started:
			return g.answerRequest(words)
		default:
			return nil, errors.New("this member starts")
		}
	}); err != nil {
		return nil, err
	}
	out := io.Writer(&lines{log: l.Log})
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: out, DisableTime: true})
	if g.engine, err = openEngine(&l, g.port.layer, g, logger, g.diskTold); err != nil {
		g.port.close()
		return nil, err
	}
	if g.gossip, err = openGossip(&l, stdlog.New(io.Discard, "", 0)); err != nil {
		g.engine.close()
		g.port.close()
		return nil, err
	}
	close(started)
	g.wait.Add(2)
	go g.run()
	go g.carry()
	return g, nil
}

// Close ends this member as a crash would for the others, but that gossip is told: its leases run out. To give everything away
// first, see Leave.
func (g *Cluster) Close() {
	close(g.done)
	g.wait.Wait()
	g.gossip.close(g.line.Settings.Lease.Duration.Duration() / 8)
	g.engine.close()
	g.port.close()
}

// run ticks: each time that something was agreed on, and a hundred times a lease.
func (g *Cluster) run() {
	defer g.wait.Done()
	every := g.line.Settings.Lease.Duration.Duration() / 100
	tick := time.NewTicker(max(every, time.Millisecond))
	defer tick.Stop()
	var weighed time.Time
	var loads map[int]float64
	var strays []MisroutedProxies
	for {
		select {
		case <-g.done:
			return
		case <-tick.C:
		case <-g.poke:
		}
		var alive map[string]bool
		leads := g.engine.isLeader()
		if leads {
			alive = g.gossip.alive()
		}
		// Asked for outside of the lock: who tells it may wait for this member's word on a lease.
		if now := time.Now(); g.line.Loads != nil && now.Sub(weighed) > 10*every {
			weighed, loads = now, g.line.Loads()
			strays = sorted(g.line.MisroutedProxies)
		}
		g.mu.Lock()
		g.loads, g.strays = loads, strays
		changes, proposals := g.member.Tick(g.line.Now(), leads, func(name string) bool { return alive[name] })
		g.tell()
		transfer := leads && g.member.OtherSettings() && time.Since(g.moved) > 10*time.Second
		if transfer {
			g.moved = time.Now()
		}
		g.mu.Unlock()
		for _, c := range changes {
			if c.Epoch == 0 {
				g.line.Log.Info().Int("part", c.Shard).Msg("part lost or given up")
				g.events.LeaseLost(c.Shard)
			} else {
				g.line.Log.Info().Int("part", c.Shard).Uint64("epoch", c.Epoch).Msg("part held")
				g.events.LeaseGained(c.Shard, c.Epoch)
			}
		}
		if transfer {
			go func() { _ = g.engine.raft.LeadershipTransfer().Error() }()
		}
		for _, p := range proposals {
			select {
			case g.send <- p:
			default: // asks and plans are made again; a release that is lost costs a lease's span
			}
		}
	}
}

func sorted(from func() map[int]int) (all []MisroutedProxies) {
	if from == nil {
		return nil
	}
	for part, n := range from() {
		all = append(all, MisroutedProxies{part, n})
	}
	slices.SortFunc(all, func(a, b MisroutedProxies) int { return a.Shard - b.Shard })
	return all
}

// tell logs what keeps this member from holding anything, once each time that it changes.
func (g *Cluster) tell() {
	trouble := g.why()
	if trouble == g.trouble {
		return
	}
	if g.trouble = trouble; trouble == "" {
		g.line.Log.Info().Msg("group: nothing is in the way any more")
	} else {
		g.line.Log.Warn().Str("why", trouble).Msg("group: this member cannot hold what it should")
	}
}

// why tells what is in the way; "" for nothing.
func (g *Cluster) why() string {
	m := g.member
	s := m.reg.Member(m.Name)
	switch {
	case m.reg.NewerSchemaVersion > 0:
		return fmt.Sprintf("the others have agreed on a command of form %d, this program knows up to %d: update it", m.reg.NewerSchemaVersion, form)
	case m.OtherSettings():
		return "span, drift, settle, pace, zones or parts differ from those that the group was begun with: make this member's file like the others'"
	case m.Outranked():
		return "another process runs under this name, and began later: end one of them"
	case g.disk != nil:
		return "votes cannot be written: " + g.disk.Error()
	case s == nil || s.Incarnation != m.Incarnation:
		return "not on the register: nobody leads the group, or a majority is not there, or this member has not been taken in"
	case s.Removed:
		return "this member was struck off the register"
	case m.agreed > 0 && g.line.Now()-m.agreed > m.terms.Lease.Duration:
		return "what it asks is not agreed on: nobody leads the group, or a majority is not there"
	}
	return ""
}

// carry brings proposals to the leader, one after the other. One that fails is not repeated here: who made it makes it again.
func (g *Cluster) carry() {
	defer g.wait.Done()
	to := &client{}
	defer func() { to.close() }()
	at := ""
	within := g.line.Settings.Lease.Duration.Duration() / 4
	for {
		select {
		case <-g.done:
			return
		case c := <-g.send:
			if c.Kind == ReleaseLeases {
				g.handOver(c, within)
			}
			if g.engine.isLeader() {
				g.failed(c, g.engine.propose(c))
				continue
			}
			name, address := g.engine.leader()
			if address == "" && g.line.Join {
				g.askIn(within)
			}
			if address == "" || c.Kind == SetPlacement || name == g.line.Name {
				g.failed(c, errNotLeader)
				continue
			}
			if address != at {
				to.close()
				at = address
				to = g.line.client(name, address)
			}
			if b, err := cbor.Marshal(c); err == nil {
				_, err = to.ask(within, "PROPOSE", string(b))
				g.failed(c, err)
			}
		}
	}
}

func (g *Cluster) failed(c *Command, err error) {
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.member.Failed(c, g.line.Now())
	}
}

// askIn asks the members that this one knows to take it in.
func (g *Cluster) askIn(within time.Duration) {
	for _, p := range g.line.Peers {
		if p.Name == g.line.Name {
			continue
		}
		c := g.line.client(p.Name, p.Address)
		_, err := c.ask(within, "ADD", g.line.Name, g.line.address(g.line.Name, g.line.Listen))
		c.close()
		if err == nil {
			return
		}
	}
}

// IsLeaseHolder tells whether this member may order for a part now, and in which epoch.
func (g *Cluster) IsLeaseHolder(part int) (epoch uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.IsLeaseHolder(part, g.line.Now())
}

// Holder gives the channel address of the member that should hold a part; "" if that is this one, or nobody that is here.
func (g *Cluster) Holder(part int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Elsewhere(part, g.line.Now())
}

// TransferLeases has this member's parts moved to others in planned moves, and waits until it holds none or the time is over.
func (g *Cluster) TransferLeases(within time.Duration) {
	end := time.Now().Add(within)
	words := []string{"LEAVE", g.line.Name, "ending"}
	for time.Now().Before(end) {
		if _, err := g.answerRequest(words); err == nil {
			break
		}
		time.Sleep(within / 20)
	}
	for time.Now().Before(end) && g.holdsAny() {
		time.Sleep(within / 100)
	}
}

func (g *Cluster) holdsAny() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for part := range g.member.claims {
		if _, ok := g.member.IsLeaseHolder(part, g.line.Now()); ok {
			return true
		}
	}
	return false
}

// The machine that raft drives.

func (g *Cluster) applied(c *Command, term uint64) {
	g.mu.Lock()
	g.member.Applied(c, term, g.line.Now())
	g.mu.Unlock()
	select {
	case g.poke <- struct{}{}:
	default:
	}
}

func (g *Cluster) lead() *Command {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Lead(g.line.Now())
}

func (g *Cluster) snapshot() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.reg.Bytes()
}

func (g *Cluster) restored(r *State) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.member.Restore(r)
	return nil
}

func (g *Cluster) diskTold(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disk = err
}

// lines takes raft's log lines; a burst is cut short, as raft repeats itself while a member is away.
type lines struct {
	log  zerolog.Logger
	mu   sync.Mutex
	left int
	at   time.Time
}

// linesEach bounds raft's lines within ten seconds.
const linesEach = 10

func (w *lines) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.at) > 10*time.Second {
		w.at, w.left = time.Now(), linesEach
	}
	if w.left > 0 {
		w.left--
		w.log.Debug().Str("from", "raft").Msg(string(b[:max(0, len(b)-1)]))
	}
	return len(b), nil
}

package pubsub

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/snapshot"
)

// Events is told what comes over the channel, from network goroutines: it must not block. A stream is one
// connection of one forwarder, numbered anew each time; a stream's events come in order.
type Events interface {
	ProxyConnected(p model.ProxyID, stream uint64, j pubsubmsg.Join, zone int)
	ProxyDisconnected(p model.ProxyID, stream uint64)
	Acknowledged(p model.ProxyID, stream uint64, receipt uint32)
	LoadReported(zone int, sums []model.LoadReport)
}

// Limits bounds what peers may cost. Zero fields take the values of Ordinary.
type Limits struct {
	Connections int            // open at once; more are closed with an error
	Observers   int            // of them
	Unsent      int            // bytes that wait for one peer before its changes fold into a snapshot
	UnsentAll   int            // bytes that wait for all peers before the slowest fold
	Greeting    time.Duration  // within which a peer joins or subscribes
	Commands    admission.Rate // that one peer may send; beyond it is told when to come back
}

// DefaultLimits bounds suit some thousand forwarders: 64 KiB is a table of 2,000 lines.
// All together may let a quarter of a gigabyte wait; a forwarder sends a report a period and a receipt a message, so that 200
// commands a second are twenty times what it needs.
var DefaultLimits = Limits{Connections: 8192, Observers: 256, Unsent: 64 << 10, UnsentAll: 256 << 20, Greeting: 5 * time.Second,
	Commands: admission.Rate{PerSecond: 200, Burst: 2000}}

// filled puts the values of Ordinary where there are none.
func (l Limits) filled() Limits {
	o := DefaultLimits
	for _, f := range []struct{ to, from *int }{{&l.Connections, &o.Connections}, {&l.Observers, &o.Observers}, {&l.Unsent, &o.Unsent}, {&l.UnsentAll, &o.UnsentAll}} {
		if *f.to <= 0 {
			*f.to = *f.from
		}
	}
	if l.Greeting <= 0 {
		l.Greeting = o.Greeting
	}
	if l.Commands.PerSecond <= 0 {
		l.Commands = o.Commands
	}
	return l
}

func (l Limits) budget() admission.Budget {
	return admission.Budget{PerPeer: int64(l.Unsent), InAll: int64(l.UnsentAll)}
}

// Config tells a server about itself.
type Config struct {
	Listen          string // host:port
	Incarnation     uint64
	Zones           []string
	ReportPeriod    model.Microseconds // in which forwarders gather their sums
	MessageOverhead int                // lines that a message costs beyond its own
	Pace            float64            // lines a second
	Limits          Limits
	Joins           admission.Limits // how many may join; zero: all
	Leases          Leases           // nil: this governor may order whoever joins
	Now             func() model.Microseconds
	Log             zerolog.Logger
}

// Leases says which forwarders a governor may order, where governors share the fleet out in parts. It is asked for each message as it
// leaves, under the server's lock: it must not call back.
type Leases interface {
	Shard(zone int, name string) int                // of a forwarder
	IsLeaseHolder(part int) (epoch uint64, ok bool) // now
	Holder(part int) (channel string)               // address of who should hold it; "": this one, or not known
}

// Stats are figures since the start, and of now.
type Stats struct {
	Forwarders  int    `json:"forwarders"`
	Observers   int    `json:"observers"`
	Connections int    `json:"connections"`
	Version     uint64 `json:"version"`
	Queue       int    `json:"queue_lines"`
	QueueMost   int    `json:"queue_most_lines"`
	Messages    uint64 `json:"messages"`
	Lines       uint64 `json:"lines"`
	Bytes       uint64 `json:"bytes"`
	Folds       uint64 `json:"snapshot_folds"`
	Resyncs     uint64 `json:"resyncs"`
	Faults      uint64 `json:"faults"`
	Replaced    uint64 `json:"replaced"`
	Deferred    uint64 `json:"joins_deferred"`
	Shed        uint64 `json:"joins_shed"`
	Storms      uint64 `json:"join_storms"`
	Unsent      int64  `json:"unsent_bytes"`
	PutOff      uint64 `json:"put_off"` // peers that sent more commands than they may
	Moved       uint64 `json:"moved"`   // peers told that another governor has their part
	Fenced      uint64 `json:"fenced"`  // messages that forwarders did not take, as their epoch was old
}

// Server is a governor's channel. Make it with Listen.
type Server struct {
	line   Config
	events Events
	engine *netpoll.Engine
	wake   chan struct{}
	done   chan struct{}
	wait   sync.WaitGroup

	mu        sync.Mutex
	gate      *admission.Controller
	board     *snapshot.State
	pacer     pacer
	peers     map[*nbio.Conn]*peer
	streams   map[model.ProxyID]*peer // joined, or waiting for Admit
	numbers   map[string]model.ProxyID
	observers int
	folded    map[*peer]bool
	strays    map[string]*stray // forwarders whose part another governor has, by name
	lastID    uint64
	stats     Stats
	closing   bool
	leaving   time.Time    // the farewell's end; zero: none has begun
	unsent    atomic.Int64 // bytes that wait for all peers
}

// Listen opens the socket and serves until Close. Errors are those of the address.
func Listen(line Config, events Events) (*Server, error) {
	line.Limits = line.Limits.filled()
	s := &Server{line: line, events: events, wake: make(chan struct{}, 1), done: make(chan struct{}),
		gate: admission.New(line.Joins, line.Now()), board: snapshot.New(line.Incarnation, line.MessageOverhead), pacer: pacer{perSecond: line.Pace},
		peers: map[*nbio.Conn]*peer{}, streams: map[model.ProxyID]*peer{}, numbers: map[string]model.ProxyID{},
		folded: map[*peer]bool{}, strays: map[string]*stray{}}
	var err error
	s.engine, err = netpoll.Start(2, netpoll.Handlers{Open: s.opened, Data: s.came, Close: s.closed, Wrote: func(c *nbio.Conn, n int) {
		if p, ok := c.Session().(*peer); ok && n > 0 {
			for { // no more than still counts: a peer that is gone was taken off as a whole
				waits := p.unsent.Load()
				less := min(waits, int64(n))
				if p.unsent.CompareAndSwap(waits, waits-less) {
					s.unsent.Add(-less)
					return
				}
			}
		}
	}}, line.Listen)
	if err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	s.wait.Add(1)
	go s.run()
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Close ends every connection and the socket.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return
	}
	s.closing = true
	s.mu.Unlock()
	close(s.done)
	s.wait.Wait()
	s.engine.Stop()
}

// backIn is when a governor that ends may be expected at its address again, after its farewell: a process is back in 20 ms
// (measure restart), a start with a full journal takes 0.15 s.
const backIn = 200 * time.Millisecond

// Shutdown tells forwarders to go elsewhere, in parts over the span, and waits for it to pass or for all to have
// gone. From its beginning nobody joins any more: who tries is told when this address may answer again. A forwarder that has no
// other governor may stay to the end. It leaves the sockets open.
func (s *Server) Shutdown(span time.Duration) {
	const parts = 10
	s.mu.Lock()
	s.leaving = time.Now().Add(span)
	s.mu.Unlock()
	for k := range parts {
		s.mu.Lock()
		for _, h := range s.board.Subscribers {
			if p := s.streams[h.Proxy]; p != nil && int(p.stream%parts) == k {
				b := resp.AppendHead(nil, resp.Push, 2)
				s.write(p, resp.AppendInt(resp.AppendBulk(b, "elsewhere"), s.back()))
			}
		}
		left := len(s.board.Subscribers)
		s.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-time.After(span / parts):
		case <-s.done:
			return
		}
	}
}

// back is in how many milliseconds a governor that ends may be here again.
func (s *Server) back() int64 {
	return int64((max(0, time.Until(s.leaving)) + backIn) / time.Millisecond)
}

// SetLimits changes what peers may cost while the channel is in use; zero limits take the values of Ordinary. Peers that are
// here stay, also beyond a smaller number.
func (s *Server) SetLimits(l Limits, joins admission.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Limits = l.filled()
	s.gate.SetLimits(joins, s.line.Now())
}

// AdmitProxy starts a joined forwarder's stream: it is sent its snapshot, and concerned by what is published from
// now on. It is to be called once for each Joined, before the next Publish.
func (s *Server) AdmitProxy(proxy model.ProxyID, stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.streams[proxy]
	if p == nil || p.stream != stream {
		return
	}
	p.holder = s.board.Subscribe(proxy, p.join.Name)
	s.sendSnapshot(p)
}

// Publish carries orders out: one message for each forwarder concerned, queued at the channel's pace.
func (s *Server) Publish(batch *snapshot.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := s.board.Apply(batch)
	for _, out := range made {
		if p := s.streams[out.To.Proxy]; p != nil && p.holder == out.To {
			s.pacer.put(batch.At, out, p.stream)
		}
	}
	if !batch.Empty() && s.observers > 0 {
		s.tellObservers(batch)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Stats gives the figures of now.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Forwarders, st.Observers, st.Connections = len(s.board.Subscribers), s.observers, len(s.peers)
	st.Deferred, st.Shed, st.Storms = s.gate.Stats.Deferred, s.gate.Stats.Rejected, s.gate.Stats.Storms
	st.Unsent = s.unsent.Load()
	st.Version, st.Queue, st.QueueMost = s.board.Version, s.pacer.lines, s.pacer.most
	return st
}

// run lets messages leave when they are due, and slow readers have their snapshot once they read again.
func (s *Server) run() {
	defer s.wait.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.line.Now()
		for w := s.pacer.take(now); w != nil; w = s.pacer.take(now) {
			if p := s.streams[w.out.To.Proxy]; p != nil && p.stream == w.stream {
				s.send(p, w.out.Message)
			}
		}
		for p := range s.folded {
			if p.unsent.Load() < int64(s.line.Limits.Unsent)/2 {
				delete(s.folded, p)
				if p.observer {
					s.observerSnapshot(p)
				} else {
					s.sendSnapshot(p)
				}
			}
		}
		pause := time.Hour
		if at, ok := s.pacer.next(); ok {
			pause = time.Duration(at-now) * time.Microsecond
		}
		if len(s.folded) > 0 {
			pause = min(pause, 10*time.Millisecond)
		}
		s.mu.Unlock()
		timer.Reset(max(pause, 50*time.Microsecond))
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.done:
			return
		}
	}
}

// send writes a message, or folds it into a later snapshot if the peer does not read.
func (s *Server) send(p *peer, m *pubsubmsg.Message) {
	if s.folded[p] {
		return
	}
	if s.tooMuch(p) {
		s.folded[p] = true
		s.stats.Folds++
		s.line.Log.Warn().Str("forwarder", p.join.Name).Msg("reads slowly: its changes fold into a snapshot")
		return
	}
	if s.line.Leases != nil {
		epoch, ok := s.line.Leases.IsLeaseHolder(p.part)
		if !ok {
			s.moved(p)
			return
		}
		m.Epoch = epoch
	}
	s.stats.Messages++
	s.stats.Lines += uint64(m.Cost)
	s.write(p, pubsubmsg.Append(nil, m))
}

// moved ends a peer whose part this governor does not hold, and says who should.
func (s *Server) moved(p *peer) {
	if p.ended.Load() {
		return
	}
	s.stats.Moved++
	s.strayed(p)
	if to := s.line.Leases.Holder(p.part); to != "" {
		s.refuse(p, fmt.Sprintf(movedTo+" %d %s: join there; keep what you hold", p.part, to))
	} else {
		s.refuse(p, fmt.Sprintf(movedTo+" %d - : nobody has it yet, ask again in %d milliseconds; keep what you hold", p.part, againIn/time.Millisecond))
	}
}

// againIn is when a part that nobody holds is worth asking for again: a lease changes hands in some multiples of it.
const againIn = 100 * time.Millisecond

// stray is a forwarder that asks here for a part of another governor.
type stray struct {
	part        int
	first, last model.Microseconds
}

// straysMost bounds those that are remembered; the rest is not counted.
const straysMost = 10_000

// strayFor is how long a stray is remembered after it asked: one that cannot reach its own governor is back within a dial's time-out and
// some waits.
const strayFor = 5 * model.Second

func (s *Server) strayed(p *peer) {
	now, name := s.line.Now(), p.join.Name
	if one := s.strays[name]; one != nil && now-one.last < strayFor && one.part == p.part {
		one.last = now
	} else if one != nil || len(s.strays) < straysMost {
		s.strays[name] = &stray{p.part, now, now}
	}
}

// MisroutedProxies counts the forwarders that went on asking here for at least so long, though they were told where to join, by part.
func (s *Server) MisroutedProxies(since model.Microseconds) map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, counts := s.line.Now(), map[int]int{}
	for name, one := range s.strays {
		if now-one.last >= strayFor {
			delete(s.strays, name)
		} else if one.last-one.first >= since {
			counts[one.part]++
		}
	}
	return counts
}

// LeaseLost ends the streams of a part that this governor holds no longer. When it returns no message for the part is under way.
func (s *Server) LeaseLost(part int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.streams {
		if p.part == part {
			s.moved(p)
		}
	}
}

// Loads gives the traffic that joined forwarders told, by part.
func (s *Server) Loads() map[int]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[int]float64{}
	for _, p := range s.streams {
		loads[p.part] += p.join.ExpectedRate
	}
	return loads
}

// tooMuch tells whether so much waits for a peer that it gets a snapshot later instead of the next message.
func (s *Server) tooMuch(p *peer) bool {
	return s.line.Limits.budget().Fold(p.unsent.Load(), s.unsent.Load(), len(s.peers))
}

func (s *Server) sendSnapshot(p *peer) {
	m := s.board.Snapshot(p.holder)
	m.UpdatedAt = s.line.Now()
	s.send(p, m)
}

func (s *Server) write(p *peer, b []byte) {
	if s.peers[p.conn] != p { // gone: what waits for it was taken off the count
		return
	}
	p.unsent.Add(int64(len(b)))
	s.unsent.Add(int64(len(b)))
	s.stats.Bytes += uint64(len(b))
	_, _ = p.conn.Write(b) // a broken one is told by OnClose
}

// Snapshot is the whole published state, as observers get it.
type Snapshot struct {
	Kind       string               `json:"kind"` // snapshot
	Life       uint64               `json:"life"`
	Version    uint64               `json:"version"`
	Tables     map[string][]LineOut `json:"tables"`
	Withdrawn  []string             `json:"withdrawn"`
	Levels     []LevelOut           `json:"levels"`
	Forwarders map[string]string    `json:"forwarders"` // name to table; empty: on its own
}

// LineOut is a table's line in JSON.
type LineOut struct {
	Replica string  `json:"replica"`
	Weight  float64 `json:"weight"`
}

// LevelOut is a level in JSON; Operations is a bit for each.
type LevelOut struct {
	Operations uint16  `json:"operations"`
	Share      float64 `json:"share"`
	Way        uint8   `json:"way"`
}

// Snapshot is what stands published.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picture()
}

func (s *Server) picture() Snapshot {
	b := s.board
	pic := Snapshot{Kind: "snapshot", Life: b.Incarnation, Version: b.Version, Tables: map[string][]LineOut{},
		Forwarders: map[string]string{}, Withdrawn: []string{}, Levels: []LevelOut{}}
	for id, t := range b.Tables {
		lines := make([]LineOut, 0, len(t.Entries))
		for _, l := range t.Entries {
			lines = append(lines, LineOut{pubsubmsg.Address(l.Replica), l.Weight})
		}
		pic.Tables[fmt.Sprint(id)] = lines
	}
	for _, r := range b.Withdrawn {
		pic.Withdrawn = append(pic.Withdrawn, pubsubmsg.Address(r))
	}
	for _, l := range b.Quotas {
		pic.Levels = append(pic.Levels, LevelOut{l.Operations, l.Share, uint8(l.RetryPolicy)})
	}
	for _, h := range b.Subscribers {
		at := ""
		if h.Table != nil {
			at = fmt.Sprint(h.Table.ID)
		}
		pic.Forwarders[h.Name] = at
	}
	return pic
}

// Step is one version's orders, as observers get it.
type Step struct {
	Kind    string    `json:"kind"` // change
	Life    uint64    `json:"life"`
	Version uint64    `json:"version"`
	Orders  []StepOne `json:"orders"`
}

// StepOne is one order in JSON; Do is assign, bind, withdraw, restore or level.
type StepOne struct {
	Do        string    `json:"do"`
	Table     string    `json:"table,omitempty"`
	Replica   string    `json:"replica,omitempty"`
	Weight    float64   `json:"weight,omitempty"`
	Forwarder string    `json:"forwarder,omitempty"`
	Level     *LevelOut `json:"level,omitempty"`
}

func (s *Server) step(batch *snapshot.Batch) Step {
	st := Step{Kind: "change", Life: s.board.Incarnation, Version: s.board.Version, Orders: []StepOne{}}
	for _, o := range batch.Updates {
		var one StepOne
		switch o.Kind {
		case snapshot.SetWeight:
			one = StepOne{Do: "assign", Table: fmt.Sprint(o.Table), Replica: pubsubmsg.Address(o.Replica), Weight: o.Weight}
		case snapshot.BindProxy:
			one = StepOne{Do: "bind", Table: fmt.Sprint(o.Table)}
			if h := s.board.ByProxy[o.Proxy]; h != nil {
				one.Forwarder = h.Name
			}
		case snapshot.SetWithdrawn:
			if one = (StepOne{Do: "restore", Replica: pubsubmsg.Address(o.Replica)}); o.Withdrawn {
				one.Do = "withdraw"
			}
		case snapshot.SetQuota:
			one = StepOne{Do: "level", Level: &LevelOut{o.Quota.Operations, o.Quota.Share, uint8(o.Quota.RetryPolicy)}}
		}
		st.Orders = append(st.Orders, one)
	}
	return st
}

func (s *Server) tellObservers(batch *snapshot.Batch) {
	text, err := json.Marshal(s.step(batch))
	if err != nil {
		return // weights are finite: the module's tests hold that
	}
	b := observed(string(text))
	for _, p := range s.peers {
		if !p.observer || s.folded[p] {
			continue
		}
		if s.tooMuch(p) {
			s.folded[p] = true
			s.stats.Folds++
			continue
		}
		s.write(p, b)
	}
}

func (s *Server) observerSnapshot(p *peer) {
	if text, err := json.Marshal(s.picture()); err == nil {
		s.write(p, observed(string(text)))
	}
}

// observed is a published message as Redis pushes it.
func observed(text string) []byte {
	b := resp.AppendHead(nil, resp.Push, 3)
	return resp.AppendBulk(resp.AppendBulk(resp.AppendBulk(b, "message"), topic), text)
}

// later begins the answer to a join that is put off, ending to one that comes during the farewell, movedTo to one of a part that is not
// held here.
const (
	later   = "LATER"
	ending  = "ENDING"
	movedTo = "MOVED"
)

// topic is what observers subscribe to.
const topic = "tables"

func (s *Server) opened(c *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	p := &peer{server: s, conn: c, id: s.lastID, reader: resp.NewReader(resp.Limits{})}
	c.SetSession(p)
	s.peers[c] = p
	if len(s.peers) > s.line.Limits.Connections {
		s.refuse(p, "ERR too many connections; come back later")
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(s.line.Limits.Greeting))
	_ = c.SetWriteBuffer(s.line.Limits.Unsent) // what the kernel keeps for a slow reader is bounded too
}

func (s *Server) came(c *nbio.Conn, data []byte) {
	p, ok := c.Session().(*peer)
	if !ok || p.ended.Load() {
		return
	}
	if err := p.reader.Feed(data, p.take); err != nil {
		s.mu.Lock()
		s.stats.Faults++
		s.refuse(p, "ERR "+err.Error())
		s.mu.Unlock()
	}
}

// refuse tells a peer why and ends it.
func (s *Server) refuse(p *peer, why string) {
	if p.ended.Swap(true) {
		return
	}
	level := zerolog.WarnLevel
	if strings.HasPrefix(why, later) || strings.HasPrefix(why, ending) || strings.HasPrefix(why, movedTo) { // no fault, and in a storm there are thousands
		level = zerolog.DebugLevel
	}
	s.line.Log.WithLevel(level).Str("peer", p.conn.RemoteAddr().String()).Str("forwarder", p.join.Name).Str("why", why).Msg("connection ended")
	s.write(p, resp.AppendLine(nil, resp.Failure, why))
	_ = p.conn.Close()
}

func (s *Server) closed(c *nbio.Conn, _ error) {
	s.mu.Lock()
	p := s.peers[c]
	if p == nil {
		s.mu.Unlock()
		return
	}
	delete(s.peers, c)
	delete(s.folded, p)
	s.unsent.Add(-p.unsent.Swap(0)) // what it never read
	p.ended.Store(true)
	if p.observer {
		s.observers--
	}
	joined := p.stream != 0 && s.streams[p.proxy] == p
	if joined {
		s.end(p)
	}
	s.mu.Unlock()
	if joined {
		s.events.ProxyDisconnected(p.proxy, p.stream)
	}
}

// end takes a stream off the board; what waits for it is dropped.
func (s *Server) end(p *peer) {
	delete(s.streams, p.proxy)
	if p.holder != nil {
		s.board.Unsubscribe(p.proxy)
	}
	s.pacer.drop(p.stream)
}

// peer is one connection.
type peer struct {
	server   *Server
	conn     *nbio.Conn
	id       uint64
	reader   *resp.Reader
	unsent   atomic.Int64
	ended    atomic.Bool
	greeted  bool
	observer bool
	join     pubsubmsg.Join
	zone     int
	part     int
	proxy    model.ProxyID
	stream   uint64               // 0: not joined
	holder   *snapshot.Subscriber // nil until admitted
	sums     uint64               // number of the newest report
	meter    admission.TokenBucket
	resyncAt model.Microseconds
}

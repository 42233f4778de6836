// Package platform is a governor's address on the operators' platform: proxies hold a stream each, a collector for each zone brings
// reports, anybody may ask for a sign of life, and some come to do harm.
//
// Guarantees: a connection that has not joined within Limits.Greeting is closed, and when there are too many of them the oldest goes
// first, so that strangers take no place from proxies. What cannot be read ends its connection; a sound message with a spoilt field
// is counted and dropped, and costs nothing else. What waits to be read by a peer is bounded. Everything that came on a stream is
// told in order, its join before all else and its end once, whatever crosses it: each is decided and told while s.mu is held.
//
// What a proxy is sent is the board's; this package puts it into the platform's words. It decides nothing about tables.
package platform

import (
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/snapshot"
)

// Events is told what comes, from network goroutines and in order: it must not block, nor call the server from within. A stream is one
// connection of one proxy, numbered anew each time.
type Events interface {
	ProxyConnected(p model.ProxyID, stream uint64, j pubsubmsg.Join, zone int)
	ProxyDisconnected(p model.ProxyID, stream uint64)
	Acknowledged(p model.ProxyID, stream uint64, receipt uint32)
	LoadReported(zone int, sums []model.LoadReport)
}

// Limits bounds what peers may cost.
type Limits struct {
	Connections int           // open at once
	Greeting    time.Duration // within which one joins
	Unsent      int           // bytes that wait for one peer; beyond, its connection ends
	Silence     time.Duration // a stream that owes an answer which has had its turn, and says nothing for so long, has ended
	AskAgain    time.Duration // a stream that owes an answer, or is silent, for so long is asked again; no sooner than Silence
}

// Config tells a server about itself.
type Config struct {
	Listen          string
	Zones           []string
	Operations      []string
	LoadFields      []string // of a load report, in the order of a sum's
	Proxies         int      // ids run from 0 to one less; 0: not told
	MessageOverhead int      // lines that a message costs beyond its own
	Names           *platformmsg.ReplicaNames
	Limits          Limits
	Now             func() model.Microseconds
	Log             zerolog.Logger
}

// collectorsMost is how many connections one zone's collector may hold: one, and a few whose end was not seen. Beyond them the one that
// has said nothing for longest goes, so that whoever speaks stays.
const collectorsMost = 3

// aloneFactor is how many times Silence a stream may say nothing while its channel moves nothing: the slowest that a channel was met is
// five times its pace.
const aloneFactor = 5

// looksPerGreeting is how often strangers and streams are looked at within Limits.Greeting: a limit is met late by a tenth of it.
const looksPerGreeting = 10

// ticketsMost bounds the answers that one stream may owe: hours of a calm fleet, beyond it the proxy answers nothing.
const ticketsMost = 4096

// Stats are figures since the start, and of now.
type Stats struct {
	Proxies, Collectors, Connections int
	Strangers                        uint64 // connections that ended without joining
	Refused                          uint64 // of them, told so
	Evicted                          uint64 // of them, ended early for want of room
	Spoilt                           uint64 // messages dropped
	Faults                           uint64 // joined connections that went on with what cannot be read
	Silent                           uint64 // streams ended because nothing came any more
	Slow                             uint64 // streams ended because nothing was read any more
	Replaced                         uint64 // streams whose proxy came with a newer one
	AskedAgain                       uint64 // answers that did not come, or signs of life, asked for once more
	Updates, Lines, Bytes            uint64
	Sums, Tries                      uint64 // reports taken
	Owed                             int    // answers that streams owe
	Usage                            uint64 // invocations that proxies told of
}

// Server is a governor's address. Make it with Listen.
type Server struct {
	line   Config
	events Events
	engine *netpoll.Engine
	done   chan struct{}
	wait   sync.WaitGroup

	looking    atomic.Bool // a look is due, and was not had yet
	mu         sync.Mutex
	board      *snapshot.State
	peers      map[*nbio.Conn]*peer
	strangers  *list.List // of *peer, the oldest first
	streams    map[model.ProxyID]*peer
	collectors map[int][]*peer // by zone, the oldest first
	lastID     uint64
	sent       uint64 // messages with a ticket
	passed     uint64 // the newest of them that was answered, by whomever
	stats      Stats
	closing    bool
}

// peer is one connection.
type peer struct {
	server   *Server
	conn     *nbio.Conn
	reader   *resp.Reader
	ended    atomic.Bool
	unsent   atomic.Int64
	heardAt  atomic.Int64 // when something came last
	openedAt model.Microseconds
	stranger *list.Element // nil once it has joined
	collects int           // zone whose reports it brings; -1: none
	proxy    model.ProxyID
	stream   uint64 // 0: none
	zone     int
	fresh    bool
	holder   *snapshot.Subscriber     // nil until admitted
	settled  map[model.ReplicaID]bool // what it was told out or back on this stream, or will be; only where it came with withdrawals of its own
	later    []model.ReplicaID        // of a bind's lines, those that are told back when there is room
	owed     []owed
	asked    uint32             // the newest ticket on this stream
	againAt  model.Microseconds // when it was last asked again, if ever
	again    uint32             // for that ticket
	passedAt model.Microseconds // when a message sent after the oldest that it owes was answered elsewhere; 0: not yet
}

// owed is an answer that a stream owes.
type owed struct {
	ticket uint32
	at     model.Microseconds
	sent   uint64 // its number among all that were sent
}

// Listen opens the address and serves until Close. Errors are those of the address.
func Listen(line Config, events Events) (*Server, error) {
	s := &Server{line: line, events: events, done: make(chan struct{}), board: snapshot.New(1, line.MessageOverhead), peers: map[*nbio.Conn]*peer{},
		strangers: list.New(), streams: map[model.ProxyID]*peer{}, collectors: map[int][]*peer{}}
	var err error
	s.mu.Lock() // whoever comes before the engine is known here waits
	defer s.mu.Unlock()
	s.engine, err = netpoll.Start(1, netpoll.Handlers{Open: s.opened, Data: s.came, Close: s.closed, Wrote: func(c *nbio.Conn, n int) {
		if p, ok := c.Session().(*peer); ok && n > 0 {
			p.unsent.Add(-int64(n))
		}
	}}, line.Listen)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
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

// Stats gives the figures of now.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Proxies, st.Connections = len(s.streams), len(s.peers)
	for _, all := range s.collectors {
		st.Collectors += len(all)
	}
	for _, p := range s.streams {
		st.Owed += len(p.owed)
	}
	return st
}

// run looks for strangers whose time has passed, and for streams that went silent: on the poller's goroutine, once it has read what was
// there to be read, so that a governor that gets no processor takes nobody for silent whose words wait in its own sockets.
func (s *Server) run() {
	defer s.wait.Done()
	tick := time.NewTicker(s.line.Limits.Greeting / looksPerGreeting)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if s.looking.CompareAndSwap(false, true) {
				s.engine.Between(func() { s.look(); s.looking.Store(false) })
			}
		case <-s.done:
			return
		}
	}
}

func span(d time.Duration) model.Microseconds { return model.Microseconds(d / time.Microsecond) }

// look ends strangers that did not join in time, and streams whose machine has vanished: TCP does not tell, but what they owe does not
// come, nor anything else. The platform's channel carries messages one after another at a pace of its own, so an answer is owed in earnest
// only once a message sent later was answered by somebody else; before that a stream would be ended for the queue that it stands in,
// unless it is silent for aloneFactor times as long. A stream that speaks and still owes an answer has lost it, and one that says nothing may be gone without
// owing any: of them one a look is asked, with a message that orders nothing. Its cost lies within the message, and the lines, that the
// module leaves free of each proxy's; an answer covers all that was asked before it, and frees nothing that waits.
func (s *Server) look() {
	s.mu.Lock()
	now := s.line.Now()
	limit, again := span(s.line.Limits.Silence), span(s.line.Limits.AskAgain)
	var over []*peer
	for e := s.strangers.Front(); e != nil; e = e.Next() {
		p := e.Value.(*peer)
		if now-p.openedAt < span(s.line.Limits.Greeting) {
			break
		}
		over = append(over, p)
	}
	var lost *peer
	for _, p := range s.streams {
		quiet, late := now-model.Microseconds(p.heardAt.Load()), model.Microseconds(0)
		if len(p.owed) > 0 && p.passedAt == 0 && s.passed > p.owed[0].sent {
			p.passedAt = now
		}
		if p.passedAt > 0 {
			late = now - p.passedAt
		}
		switch {
		case late > limit && quiet > limit, len(p.owed) > 0 && min(now-p.owed[0].at, quiet) > aloneFactor*limit:
			s.stats.Silent++
			s.line.Log.Warn().Int("proxy", int(p.proxy)).Msg("stream: nothing comes any more, ended")
			over = append(over, p)
		case p.holder == nil || now-p.againAt <= again || lost != nil && p.againAt >= lost.againAt:
		case late > again, len(p.owed) == 0 && quiet > again:
			lost = p
		}
	}
	if lost != nil {
		s.askAgain(lost, now)
	}
	s.forget(over...)
	s.mu.Unlock()
	s.close(over...)
}

// askAgain asks a stream for its newest answer once more; s.mu is held.
func (s *Server) askAgain(p *peer, now model.Microseconds) {
	p.againAt, p.again = now, p.asked
	s.stats.AskedAgain++
	if len(p.owed) == 0 {
		s.sent++
		p.owed = append(p.owed, owed{p.asked, now, s.sent})
	}
	b, _ := (&platformmsg.Update{AckSequence: int(p.asked)}).Append(nil)
	s.write(p, b)
}

func (s *Server) opened(c *nbio.Conn) {
	p := &peer{server: s, conn: c, reader: resp.NewReader(platformmsg.Limits), collects: -1}
	s.mu.Lock()
	p.openedAt = s.line.Now()
	p.heardAt.Store(int64(p.openedAt))
	c.SetSession(p)
	s.peers[c] = p
	p.stranger = s.strangers.PushBack(p)
	var oldest *peer
	if len(s.peers) > s.line.Limits.Connections {
		oldest = s.strangers.Front().Value.(*peer)
		s.stats.Evicted++
		s.forget(oldest)
	}
	s.mu.Unlock()
	if oldest != nil {
		s.close(oldest)
	}
}

// errEnded stops a reader whose connection has been ended; nobody is told.
var errEnded = errors.New("ended")

func (s *Server) came(c *nbio.Conn, data []byte) {
	p, ok := c.Session().(*peer)
	if !ok || p.ended.Load() {
		return
	}
	p.heardAt.Store(int64(s.line.Now()))
	err := p.reader.Feed(data, p.take)
	if err == nil || errors.Is(err, errEnded) {
		return
	}
	s.mu.Lock()
	joined := p.stranger == nil
	if joined {
		s.stats.Faults++
	}
	s.mu.Unlock()
	if joined {
		s.line.Log.Warn().Int("collects", p.collects).Int("proxy", int(p.proxy)).Err(err).Msg("connection ended: it went on with what cannot be read")
		s.end(p)
		return
	}
	s.refuse(p, err.Error())
}

// refuse tells a stranger why it is not served, and ends it.
func (s *Server) refuse(p *peer, why string) {
	s.mu.Lock()
	s.stats.Refused++
	s.write(p, platformmsg.AppendRefused(nil, why))
	s.mu.Unlock()
	s.end(p)
}

// end ends a connection; what follows from it follows at once, not when the engine has noticed.
func (s *Server) end(p *peer) {
	s.mu.Lock()
	s.forget(p)
	s.mu.Unlock()
	s.close(p)
}

func (s *Server) closed(c *nbio.Conn, _ error) {
	if p, ok := c.Session().(*peer); ok {
		s.mu.Lock()
		s.forget(p)
		s.mu.Unlock()
	}
}

// close has the poller close connections that are off the books.
func (s *Server) close(all ...*peer) {
	for _, p := range all {
		s.engine.End(p.conn)
	}
}

// forget takes connections off the books, each once; s.mu is held.
func (s *Server) forget(all ...*peer) {
	for _, p := range all {
		p.ended.Store(true)
		if s.peers[p.conn] != p {
			continue
		}
		delete(s.peers, p.conn)
		if p.stranger != nil {
			s.strangers.Remove(p.stranger)
			s.stats.Strangers++
		}
		if p.collects >= 0 {
			s.collectors[p.collects] = slices.DeleteFunc(s.collectors[p.collects], func(x *peer) bool { return x == p })
		}
		if p.stream != 0 && s.streams[p.proxy] == p {
			delete(s.streams, p.proxy)
			if p.holder != nil {
				s.board.Unsubscribe(p.proxy)
			}
			s.events.ProxyDisconnected(p.proxy, p.stream)
		}
	}
}

// take reads one message.
func (p *peer) take(v resp.Value) error {
	if p.ended.Load() {
		return errEnded
	}
	s := p.server
	m, err := platformmsg.Parse(v)
	s.mu.Lock()
	stranger := p.stranger != nil
	s.mu.Unlock()
	switch {
	case err == nil && m.Kind == platformmsg.Ping:
		return s.pong(p)
	case err == nil && stranger && m.Kind == platformmsg.Joined:
		err = s.join(p, m)
	case err == nil && stranger && m.Kind == platformmsg.Collector:
		err = s.collector(p, m)
	case stranger && err == nil:
		err = fmt.Errorf("%s: nothing has joined on this connection", m.Kind)
	case m.Kind == platformmsg.Applied && p.stream != 0:
		s.applied(p, m, err)
		err = nil
	case err == nil && m.Kind == platformmsg.Heard && p.collects >= 0:
		err = s.heard(m)
	case err == nil && m.Kind == platformmsg.Usage:
		s.mu.Lock()
		s.stats.Usage += uint64(m.Attempts)
		s.mu.Unlock()
	case err == nil:
		err = fmt.Errorf("%s: not from here", m.Kind)
	}
	if err == nil || errors.Is(err, errEnded) {
		return err
	}
	if stranger {
		return err // it is refused
	}
	s.mu.Lock()
	s.stats.Spoilt++
	first := s.stats.Spoilt <= spoiltTold
	s.mu.Unlock()
	if first {
		s.line.Log.Warn().Err(err).Msg("message dropped")
	}
	return nil
}

// spoiltTold is how many dropped messages have a log line of their own; the rest is counted.
const spoiltTold = 20

// pong answers a sign of life. Whoever asks and reads none is ended: the answers are bounded like all else that waits.
func (s *Server) pong(p *peer) error {
	s.mu.Lock()
	s.write(p, platformmsg.AppendPong(nil))
	slow := p.unsent.Load() > int64(s.line.Limits.Unsent)
	if slow {
		s.stats.Slow++
		s.forget(p)
	}
	s.mu.Unlock()
	if slow {
		s.close(p)
		return errEnded
	}
	return nil
}

func (s *Server) join(p *peer, m platformmsg.Message) error {
	zone := slices.Index(s.line.Zones, m.Zone)
	switch {
	case s.line.Proxies > 0 && m.Proxy >= s.line.Proxies:
		return fmt.Errorf("joined: there is no proxy %d", m.Proxy)
	case zone < 0:
		return fmt.Errorf("joined: there is no site %.40q", m.Zone)
	}
	id := model.ProxyID(m.Proxy)
	s.mu.Lock()
	if s.peers[p.conn] != p { // ended meanwhile
		s.mu.Unlock()
		return errEnded
	}
	old := s.streams[id]
	if old != nil {
		s.stats.Replaced++
		s.forget(old)
	}
	s.welcome(p)
	s.lastID++
	p.proxy, p.stream, p.zone, p.fresh = id, s.lastID, zone, m.OnStandingTable
	s.streams[id] = p
	s.events.ProxyConnected(id, p.stream, pubsubmsg.Join{Name: strconv.Itoa(m.Proxy), Zone: m.Zone, ExpectedRate: m.ExpectedRate, OnStandingTable: m.OnStandingTable}, zone)
	s.mu.Unlock()
	if old != nil {
		s.close(old)
	}
	return nil
}

// welcome takes a connection off the strangers; s.mu is held.
func (s *Server) welcome(p *peer) {
	s.strangers.Remove(p.stranger)
	p.stranger = nil
}

func (s *Server) collector(p *peer, m platformmsg.Message) error {
	zone := slices.Index(s.line.Zones, m.Zone)
	if zone < 0 {
		return fmt.Errorf("collector: there is no site %.40q", m.Zone)
	}
	s.mu.Lock()
	if s.peers[p.conn] != p {
		s.mu.Unlock()
		return errEnded
	}
	s.welcome(p)
	p.collects = zone
	var dumb []*peer
	if all := s.collectors[zone]; len(all) >= collectorsMost {
		dumb = append(dumb, slices.MinFunc(all, func(a, b *peer) int { return cmp.Compare(a.heardAt.Load(), b.heardAt.Load()) }))
		s.forget(dumb...)
	}
	s.collectors[zone] = append(s.collectors[zone], p)
	s.mu.Unlock()
	s.close(dumb...)
	return nil
}

// applied takes an answer. Answers come in the order in which they were asked for, so one that is spoilt is still known to be that to
// the oldest that is owed: without it what it covers would count in the queue until the next one.
func (s *Server) applied(p *peer, m platformmsg.Message, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[p.conn] != p { // ended meanwhile
		return
	}
	i := -1
	if fault == nil {
		i = slices.IndexFunc(p.owed, func(o owed) bool { return o.ticket == m.AckSequence })
	}
	if i < 0 && fault == nil && p.againAt > 0 && m.AckSequence == p.again { // the first answer came after all
		return
	}
	if i < 0 {
		if s.stats.Spoilt++; s.stats.Spoilt <= spoiltTold {
			s.line.Log.Warn().Err(fault).Int("proxy", int(p.proxy)).Uint32("ticket", m.AckSequence).Int("owed", len(p.owed)).Msg("spoilt answer")
		}
		if i = 0; len(p.owed) == 0 {
			return
		}
	}
	ticket := p.owed[i].ticket
	s.passed = max(s.passed, p.owed[i].sent)
	p.owed, p.passedAt = append(p.owed[:0], p.owed[i+1:]...), 0
	s.events.Acknowledged(p.proxy, p.stream, ticket)
}

func (s *Server) heard(m platformmsg.Message) error {
	zone := slices.Index(s.line.Zones, m.Zone)
	id, known := s.line.Names.ID(m.Replica)
	if zone < 0 || !known {
		return fmt.Errorf("heard: no site %.40q, or no replica %.40q", m.Zone, m.Replica)
	}
	sum := model.LoadReport{Zone: zone, Replica: id, Attempts: m.Attempts, Errors: m.Errors, MeanLatency: m.MeanLatency, Window: m.Window}
	if len(m.Readings) > 0 {
		sum.Readings = make([]float64, len(s.line.LoadFields))
		for i, name := range s.line.LoadFields {
			k := slices.IndexFunc(m.Readings, func(r platformmsg.Reading) bool { return r.Name == name })
			if sum.Readings[i] = -1; k >= 0 {
				sum.Readings[i] = m.Readings[k].Value
			}
		}
	}
	s.mu.Lock()
	s.stats.Sums++
	s.stats.Tries += uint64(m.Attempts)
	s.events.LoadReported(zone, []model.LoadReport{sum})
	s.mu.Unlock()
	return nil
}

// AdmitProxy puts a joined proxy on the board: it is concerned by what is published from now on. It is sent nothing for it.
func (s *Server) AdmitProxy(proxy model.ProxyID, stream uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.streams[proxy]
	if p == nil || p.stream != stream {
		return
	}
	p.holder = s.board.Subscribe(proxy, strconv.Itoa(int(proxy)))
	if !p.fresh {
		p.settled = map[model.ReplicaID]bool{}
	}
}

// Publish carries orders out: one message on each stream concerned.
func (s *Server) Publish(batch *snapshot.Batch) {
	s.mu.Lock()
	var slow []*peer
	for _, out := range s.board.Apply(batch) {
		if p := s.streams[out.To.Proxy]; p != nil && p.holder == out.To && !s.send(p, out) {
			slow = append(slow, p)
		}
	}
	s.stats.Slow += uint64(len(slow))
	for _, p := range slow {
		s.line.Log.Warn().Int("proxy", int(p.proxy)).Int64("unsent_bytes", p.unsent.Load()).Msg("stream: it reads or answers nothing, ended")
	}
	s.forget(slow...)
	s.mu.Unlock()
	s.close(slow...)
}

// send writes a message in the platform's words; false once too much waits there. s.mu is held.
func (s *Server) send(p *peer, out snapshot.Delivery) bool {
	m := out.Message
	u := platformmsg.Update{Full: m.Full, AckSequence: m.AckSequence}
	lines := func(of []pubsubmsg.Entry) (all []platformmsg.Entry) {
		for _, l := range of {
			all = append(all, platformmsg.Entry{Replica: s.line.Names.Name(l.Replica), Weight: l.Weight})
		}
		return all
	}
	if u.Entries = lines(m.Entries); len(out.OperationTables) > 0 {
		u.Full = false
	}
	for _, p := range out.OperationTables {
		u.OperationTables = append(u.OperationTables, platformmsg.OperationTable{Operations: s.named(p.Operations), Full: p.Full, Entries: lines(p.Entries)})
	}
	for _, x := range m.Withdrawals {
		if name := s.line.Names.Name(x.Replica); x.Withdrawn {
			u.Withdrawn = append(u.Withdrawn, name)
		} else {
			u.Readmitted = append(u.Readmitted, name)
		}
		if p.settled != nil {
			p.settled[x.Replica] = true
		}
	}
	s.tellBack(p, out, &u)
	for _, l := range m.Quotas {
		for _, name := range s.named(l.Operations) {
			u.Quotas = append(u.Quotas, platformmsg.Quota{Operation: name, Share: l.Share, RetryPolicy: l.RetryPolicy})
		}
	}
	b, err := u.Append(nil)
	if err != nil {
		s.line.Log.Error().Err(err).Msg("an order cannot be written")
		return true
	}
	if m.AckSequence >= 0 {
		p.asked = uint32(m.AckSequence)
		s.sent++
		p.owed = append(p.owed, owed{p.asked, s.line.Now(), s.sent})
	}
	s.stats.Updates++
	s.stats.Lines += uint64(m.Cost)
	s.write(p, b)
	return p.unsent.Load() <= int64(s.line.Limits.Unsent) && len(p.owed) <= ticketsMost
}

// named gives the names of operations, by 1 << their place; 0: all.
func (s *Server) named(operations uint16) (names []string) {
	for i, name := range s.line.Operations {
		if operations>>i&1 == 1 || operations == 0 {
			names = append(names, name)
		}
	}
	return names
}

// tellBack adds to an update what a proxy that came with withdrawals of others is told back. It keeps what it was told out on earlier
// streams, by whomever and through whole tables (measured, see docs/platform.md): a line that is laid takes effect for certain only once
// its replica is told back. A bind brings along those that the governor thinks may be out, and a new line its own, as both are charged for;
// the rest of a bind's follows in the place of the levels that every message is charged for and few have, where nothing waits behind it.
// s.mu is held.
func (s *Server) tellBack(p *peer, out snapshot.Delivery, u *platformmsg.Update) {
	if p.settled == nil {
		return
	}
	tell := func(r model.ReplicaID) {
		if !p.settled[r] {
			p.settled[r] = true
			u.Readmitted = append(u.Readmitted, s.line.Names.Name(r))
		}
	}
	for _, r := range out.Readmitted {
		tell(r)
	}
	for _, part := range append([]snapshot.OperationTable{{Entries: out.Message.Entries}}, out.OperationTables...) {
		for _, l := range part.Entries {
			if out.Message.Full && !p.settled[l.Replica] {
				p.settled[l.Replica], p.later = true, append(p.later, l.Replica)
			} else if l.Weight > 0 {
				tell(l.Replica)
			}
		}
	}
	if out.Message.Full || len(p.owed) > 0 {
		return
	}
	for room := len(s.line.Operations) - len(out.Message.Quotas); room > 0 && len(p.later) > 0; p.later = p.later[1:] {
		if r := p.later[0]; !out.To.IsWithdrawn(r) {
			u.Readmitted = append(u.Readmitted, s.line.Names.Name(r))
			room--
		}
	}
}

// write hands bytes to the engine, which keeps what the socket does not take. s.mu is held.
func (s *Server) write(p *peer, b []byte) {
	if s.peers[p.conn] != p {
		return
	}
	p.unsent.Add(int64(len(b)))
	s.stats.Bytes += uint64(len(b))
	_, _ = p.conn.Write(b) // a broken one is told by OnClose
}

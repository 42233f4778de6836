//go:build review2

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
)

// proxy is a sound proxy of docs/channel.md. It sends no requests over sockets: its load reports say what its requests
// would have met at replicas of the given speed.
type proxy struct {
	bed       *testbed
	name      string
	zone      string
	instances []string // addresses of the instances that it knows
	rate      float64  // requests a second
	latency   func(replica string, at time.Duration) time.Duration
	failing   func(replica string, at time.Duration) bool
	quiet     bool // its messages are not recorded one by one

	mu        sync.Mutex
	next      int // index of the instance to dial next
	conn      net.Conn
	hung      bool
	stopped   bool
	joined    bool
	joinedTo  string
	bound     bool
	applied   int // number of messages applied
	entries   map[string]float64
	withdrawn map[string]bool
	epoch     uint64
	versions  map[string]held // by the instance's address
	joins     []joining
	bare      []span // joined, without a usable entry
	bareFrom  time.Duration
	isBare    bool
	usedUntil map[string]time.Duration // by replica: when it could last be picked; the future while it can
	answers   []answer
	sent      []sending
	refused   int // requests that found no replica to pick while the proxy was joined
}

// sending is the requests that a proxy sent to a replica within the second from a time on.
type sending struct {
	from    time.Duration
	replica string
	count   int
}

// held is the newest message that was applied of an instance.
type held struct{ life, version uint64 }

// joining is a time at which the proxy joined or left.
type joining struct {
	at time.Duration
	to string // address; "": it left
}

type span struct{ from, to time.Duration }

// answer is an error by which an instance ended a connection.
type answer struct {
	at   time.Duration
	text string
}

const stillUsed = time.Duration(math.MaxInt64)

func newProxy(bed *testbed, name, zone string, instances []string, standing []string) *proxy {
	p := &proxy{
		bed: bed, name: name, zone: zone, instances: instances, rate: 5,
		latency:   func(string, time.Duration) time.Duration { return 100 * time.Millisecond },
		failing:   func(string, time.Duration) bool { return false },
		entries:   map[string]float64{},
		withdrawn: map[string]bool{},
		versions:  map[string]held{},
		usedUntil: map[string]time.Duration{},
	}
	for _, replica := range standing {
		p.entries[replica] = 1
		p.usedUntil[replica] = stillUsed
	}
	return p
}

func (p *proxy) start() { go p.run() }

// stop closes the stream for good.
func (p *proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

// hang stops the proxy as SIGSTOP does: it neither reads nor writes, and its connection stays open.
func (p *proxy) hang() {
	p.mu.Lock()
	p.hung = true
	conn := p.conn
	p.mu.Unlock()
	if conn != nil {
		_ = conn.SetReadDeadline(time.Now()) // wakes the read
	}
	p.bed.note("proxy %s hangs: it reads and writes nothing, its connection stays open", p.name)
}

// wake ends a hang.
func (p *proxy) wake() {
	p.mu.Lock()
	p.hung = false
	p.mu.Unlock()
	p.bed.note("proxy %s runs again", p.name)
}

func (p *proxy) isHung() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hung
}

func (p *proxy) waitWhileHung() {
	for p.isHung() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *proxy) run() {
	for {
		p.mu.Lock()
		ended := p.stopped
		address := p.instances[p.next%len(p.instances)]
		p.mu.Unlock()
		if ended {
			return
		}
		p.waitWhileHung()
		conn, err := net.DialTimeout("tcp", address, 250*time.Millisecond)
		wait := 150*time.Millisecond + rand.N(300*time.Millisecond)
		if err != nil {
			p.mu.Lock()
			p.next++
			p.mu.Unlock()
		} else if told, ok := p.stream(conn, address); ok {
			wait = told
		}
		time.Sleep(wait)
	}
}

// stream joins an instance and follows its messages until the connection ends. It returns the time to wait before the
// next dial, if the instance told one.
func (p *proxy) stream(conn net.Conn, address string) (wait time.Duration, told bool) {
	s := &stream{proxy: p, conn: conn, address: address, reader: resp.NewReader(resp.Limits{})}
	p.mu.Lock()
	p.conn = conn
	version := p.versions[address]
	join := resp.AppendCommand(nil, "HELLO", "3")
	join = pubsubmsg.AppendJoin(join, pubsubmsg.Join{
		Name: p.name, Zone: p.zone, ExpectedRate: p.rate, OnStandingTable: len(p.versions) == 0,
		Incarnation: version.life, Version: version.version, Epoch: p.epoch,
	})
	p.mu.Unlock()
	_, _ = conn.Write(join)
	done := make(chan struct{})
	go s.report(done)
	buffer := make([]byte, 64<<10)
	for !s.ended {
		n, err := conn.Read(buffer)
		if p.isHung() {
			p.waitWhileHung()
			_ = conn.SetReadDeadline(time.Time{})
			if err != nil {
				continue
			}
		}
		if err == nil {
			err = s.reader.Feed(buffer[:n], func(value resp.Value) error {
				s.handle(value)
				return nil
			})
		}
		if err != nil {
			break
		}
	}
	close(done)
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = nil
	p.leave()
	return s.wait, s.toldWait
}

// leave records that the proxy is joined to nobody; p.mu is held.
func (p *proxy) leave() {
	if !p.joined {
		return
	}
	p.joined = false
	p.joinedTo = ""
	p.joins = append(p.joins, joining{at: p.bed.now()})
	p.updateBare()
	if !p.quiet {
		p.bed.log("%s: stream ended", p.name)
	}
}

// usable returns the replicas that the proxy may pick; p.mu is held.
func (p *proxy) usable() (replicas []string) {
	for replica, weight := range p.entries {
		if weight > 0 && !p.withdrawn[replica] {
			replicas = append(replicas, replica)
		}
	}
	return replicas
}

// updateBare begins or ends a span without a usable entry, and notes which replicas can be picked; p.mu is held.
func (p *proxy) updateBare() {
	now := p.bed.now()
	usable := map[string]bool{}
	for _, replica := range p.usable() {
		usable[replica] = true
		p.usedUntil[replica] = stillUsed
	}
	for replica, until := range p.usedUntil {
		if until == stillUsed && !usable[replica] {
			p.usedUntil[replica] = now
		}
	}
	bare := p.joined && len(usable) == 0
	switch {
	case bare && !p.isBare:
		p.bareFrom = now
		p.bed.log("%s: joined, and no entry is left to pick", p.name)
	case !bare && p.isBare:
		p.bare = append(p.bare, span{p.bareFrom, now})
		p.bed.log("%s: has an entry to pick again, or left, after %.3f s", p.name, (now - p.bareFrom).Seconds())
	}
	p.isBare = bare
}

// bareSpans returns the spans in which the proxy was joined and had no entry to pick.
func (p *proxy) bareSpans() []span {
	p.mu.Lock()
	defer p.mu.Unlock()
	spans := append([]span(nil), p.bare...)
	if p.isBare {
		spans = append(spans, span{p.bareFrom, p.bed.now()})
	}
	return spans
}

// stream is one connection to an instance. Its reader's goroutine owns it.
type stream struct {
	proxy    *proxy
	conn     net.Conn
	address  string
	reader   *resp.Reader
	replies  int
	ended    bool
	wait     time.Duration
	toldWait bool

	writing sync.Mutex
	resync  time.Time
}

func (s *stream) write(command []byte) {
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = s.conn.Write(command)
}

func (s *stream) handle(value resp.Value) {
	p := s.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case value.Kind == resp.SimpleError:
		s.refused(value.Text)
	case value.Kind == resp.Map:
		s.replies++
		if s.replies == 2 { // the first answers HELLO
			s.accepted(value.Items)
		}
	case pubsubmsg.IsMessage(value):
		message, err := pubsubmsg.Parse(value)
		if err == nil {
			s.apply(message)
		}
	case value.Kind == resp.Push && len(value.Items) == 2 && value.Items[0].Text == "elsewhere":
		if len(p.instances) > 1 {
			p.next++
			s.ended = true
		}
	}
}

// refused handles an error that ends the connection; p.mu is held.
func (s *stream) refused(text string) {
	p := s.proxy
	s.ended = true
	p.answers = append(p.answers, answer{p.bed.now(), text})
	if !p.quiet {
		p.bed.log("%s: %s answers %q", p.name, s.address, text)
	}
	var milliseconds, part int
	var address string
	switch {
	case scan(text, "LATER %d milliseconds", &milliseconds):
		s.wait, s.toldWait = time.Duration(milliseconds)*time.Millisecond, true
	case strings.HasPrefix(text, "ENDING "):
		p.next++
	case strings.HasPrefix(text, "MOVED "):
		if n, _ := fmt.Sscanf(text, "MOVED %d %s", &part, &address); n == 2 {
			p.redirected(strings.TrimSuffix(address, ":"))
			s.wait, s.toldWait = 100*time.Millisecond+rand.N(50*time.Millisecond), true
		}
	default:
		p.next++
	}
}

func scan(text, format string, into *int) bool {
	n, _ := fmt.Sscanf(text, format, into)
	return n == 1
}

func (p *proxy) redirected(address string) {
	p.next++
	for i, instance := range p.instances {
		if instance == address {
			p.next = i
		}
	}
}

// accepted handles the answer to JOIN; p.mu is held.
func (s *stream) accepted(items []resp.Value) {
	p := s.proxy
	var epoch uint64
	for i := 0; i+1 < len(items); i += 2 {
		if items[i].Text == "epoch" {
			epoch = uint64(items[i+1].Int)
		}
	}
	if epoch < p.epoch {
		s.ended = true
		p.next++
		return
	}
	p.epoch = epoch
	p.joined = true
	p.joinedTo = s.address
	p.joins = append(p.joins, joining{p.bed.now(), s.address})
	if !p.quiet {
		p.bed.log("%s: joined %s, epoch %d", p.name, s.address, epoch)
	}
	p.updateBare()
}

// apply handles a table message; p.mu is held.
func (s *stream) apply(m *pubsubmsg.Message) {
	p := s.proxy
	if m.Epoch < p.epoch {
		version := p.versions[s.address]
		s.write(resp.AppendCommand(nil, "FENCED", strconv.FormatUint(p.epoch, 10),
			strconv.FormatUint(version.life, 10), strconv.FormatUint(version.version, 10)))
		return
	}
	p.epoch = m.Epoch
	version := p.versions[s.address]
	sameLife := version.life == m.Incarnation
	switch {
	case m.Full && sameLife && m.Version < version.version && p.bound:
		s.drop(m, version)
		return
	case !m.Full && sameLife && m.Version <= version.version:
		s.drop(m, version)
		return
	case !m.Full && (!sameLife || m.PreviousVersion != version.version):
		if time.Since(s.resync) > 1050*time.Millisecond {
			s.resync = time.Now()
			s.write(resp.AppendCommand(nil, "RESYNC"))
		}
		return
	}
	if m.Full && m.Bound {
		p.entries = map[string]float64{}
		p.withdrawn = map[string]bool{}
		p.bound = true
	}
	for _, entry := range m.Entries {
		replica := pubsubmsg.FormatAddress(entry.Replica)
		if entry.Weight > 0 {
			p.entries[replica] = entry.Weight
		} else {
			delete(p.entries, replica)
		}
	}
	var changes []string
	for _, withdrawal := range m.Withdrawals {
		replica := pubsubmsg.FormatAddress(withdrawal.Replica)
		if withdrawal.Withdrawn {
			p.withdrawn[replica] = true
			changes = append(changes, "-"+replica)
		} else {
			delete(p.withdrawn, replica)
			changes = append(changes, "+"+replica)
		}
	}
	p.versions[s.address] = held{m.Incarnation, m.Version}
	p.applied++
	p.updateBare()
	if !p.quiet {
		kind := "change"
		if m.Full {
			kind = fmt.Sprintf("snapshot, bound %v,", m.Bound)
		}
		p.bed.log("%s: %s version %d of life %d, %d entries, withdrawals %v, quotas %d, cost %d, receipt %d; %d usable now",
			p.name, kind, m.Version, m.Incarnation, len(m.Entries), changes, len(m.Quotas), m.Cost, m.AckSequence,
			len(p.usable()))
	}
	s.acknowledge(m)
}

// drop acknowledges a message of an older version and applies nothing of it; the proxy's mu is held.
func (s *stream) drop(m *pubsubmsg.Message, version held) {
	s.acknowledge(m)
	if !s.proxy.quiet {
		s.proxy.bed.log("%s: version %d of life %d acknowledged and dropped, as version %d of this life is held",
			s.proxy.name, m.Version, m.Incarnation, version.version)
	}
}

func (s *stream) acknowledge(m *pubsubmsg.Message) {
	if m.AckSequence >= 0 {
		s.write(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{
			Incarnation: m.Incarnation, Version: m.Version, Sequence: m.AckSequence,
		}))
	}
}

// report sends load reports each second.
func (s *stream) report(done <-chan struct{}) {
	p := s.proxy
	time.Sleep(rand.N(time.Second))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for number := uint64(1); ; number++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		if p.hung || !p.joined {
			p.mu.Unlock()
			number--
			continue
		}
		reports := p.loadReports()
		p.mu.Unlock()
		s.write(pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{
			Sequence: number, Window: 1_000_000, Reports: reports,
		}))
	}
}

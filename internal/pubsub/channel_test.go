package pubsub

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// host is a governor's side with no governor: it admits who joins and keeps what came.
type host struct {
	t      *testing.T
	server *Server
	mu     sync.Mutex
	events []string
	came   chan struct{}
	began  time.Time
}

func (h *host) note(format string, args ...any) {
	h.mu.Lock()
	h.events = append(h.events, fmt.Sprintf(format, args...))
	h.mu.Unlock()
	select {
	case h.came <- struct{}{}:
	default:
	}
}

func (h *host) ProxyConnected(p model.ProxyID, stream uint64, j pubsubmsg.Join, zone int) {
	h.server.AdmitProxy(p, stream)
	h.note("joined %s %d", j.Name, zone)
}
func (h *host) ProxyDisconnected(p model.ProxyID, _ uint64) { h.note("left %d", p) }
func (h *host) Acknowledged(p model.ProxyID, _ uint64, receipt uint32) {
	h.note("applied %d %d", p, receipt)
}
func (h *host) LoadReported(zone int, sums []model.LoadReport) {
	h.note("heard %d %d", zone, len(sums))
}

func (h *host) now() model.Microseconds {
	return model.Microseconds(time.Since(h.began) / time.Microsecond)
}

// wait blocks until an event came; the events of one forwarder come in order.
func (h *host) wait(event string) {
	h.t.Helper()
	late := time.After(10 * time.Second)
	for {
		h.mu.Lock()
		all := strings.Join(h.events, "\n")
		h.mu.Unlock()
		if strings.Contains("\n"+all+"\n", "\n"+event+"\n") {
			return
		}
		select {
		case <-h.came:
		case <-late:
			h.t.Fatalf("no event %q; there were\n%s", event, all)
		}
	}
}

func start(t *testing.T, change func(*Config)) *host {
	h := &host{t: t, came: make(chan struct{}, 1), began: time.Now()}
	line := Config{Listen: "127.0.0.1:0", Incarnation: 3, Zones: []string{"govan", "partick"}, ReportPeriod: model.Second, MessageOverhead: 6, Pace: 1e6,
		Now: h.now, Log: zerolog.Nop()}
	if change != nil {
		change(&line)
	}
	h.mu.Lock() // nobody joins before the server is known
	var err error
	if h.server, err = Listen(line, h); err != nil {
		t.Fatal(err)
	}
	h.mu.Unlock()
	t.Cleanup(h.server.Close)
	return h
}

func (h *host) publish(receipt int, orders ...snapshot.Update) {
	h.server.Publish(&snapshot.Batch{Updates: orders, AckSequence: receipt, At: h.now()})
}

// client is a forwarder by hand over a plain socket.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *resp.Reader
	got  []resp.Value
}

func dial(t *testing.T, h *host) *client {
	t.Helper()
	conn, err := net.Dial("tcp", h.server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &client{t: t, conn: conn, r: resp.NewReader(resp.Limits{})}
}

func (c *client) say(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// next gives the next value that came; ok is false once the peer has ended the connection.
func (c *client) next() (v resp.Value, ok bool) {
	c.t.Helper()
	buf := make([]byte, 4096)
	for len(c.got) == 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := c.conn.Read(buf)
		if e, timeout := err.(net.Error); timeout && e.Timeout() {
			c.t.Fatal("nothing came")
		}
		if err != nil {
			return v, false
		}
		if err := c.r.Feed(buf[:n], func(v resp.Value) error { c.got = append(c.got, v); return nil }); err != nil {
			c.t.Fatal(err)
		}
	}
	v, c.got = c.got[0], c.got[1:]
	return v, true
}

func (c *client) message() *pubsubmsg.Message {
	c.t.Helper()
	v, ok := c.next()
	if !ok {
		c.t.Fatal("the connection ended")
	}
	m, err := pubsubmsg.Parse(v)
	if err != nil {
		c.t.Fatalf("%v: %v", v, err)
	}
	return m
}

// join says hello and joins, and gives the snapshot that follows.
func join(t *testing.T, h *host, name string) (*client, *pubsubmsg.Message) {
	t.Helper()
	c := dial(t, h)
	c.say(pubsubmsg.AppendJoin(resp.AppendCommand(nil, "HELLO", "3"), pubsubmsg.Join{Name: name, Zone: "partick", ExpectedRate: 2, OnStandingTable: true}))
	for range 2 {
		if v, _ := c.next(); v.Kind != resp.Map {
			t.Fatalf("no answer to a join: %v", v)
		}
	}
	return c, c.message()
}

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

func line(r byte, weight float64) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: id(r), Weight: weight}
}

func shut(r byte, out bool) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: id(r), Withdrawn: out}
}

func TestAForwarderJoinsAndFollows(t *testing.T) {
	h := start(t, nil)
	c, first := join(t, h, "till")
	if !first.Full || first.Bound || first.Incarnation != 3 {
		t.Fatalf("the first message is %+v", first)
	}
	h.publish(7, line(1, 0.5), line(2, 1), snapshot.Update{Kind: snapshot.BindProxy, Proxy: 0, Table: 1}, shut(2, true))
	bound := c.message()
	if !bound.Full || !bound.Bound || len(bound.Entries) != 2 || len(bound.Withdrawals) != 1 || bound.AckSequence != 7 || bound.PreviousVersion != first.Version {
		t.Fatalf("bound by %+v", bound)
	}
	h.publish(8, line(1, 0.6), line(2, 0))
	m := c.message()
	if m.Full || len(m.Entries) != 2 || m.Entries[1].Weight != 0 || m.PreviousVersion != bound.Version || m.Cost != 6+2+1 {
		t.Fatalf("changed by %+v", m)
	}
	c.say(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 2, Version: m.Version, Sequence: 99})) // of an earlier life
	c.say(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 3, Version: m.Version, Sequence: 8}))
	c.say(pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{Sequence: 1, Window: model.Second, Reports: []model.LoadReport{{Replica: id(1), Attempts: 2}}}))
	c.say(pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{Sequence: 1, Window: model.Second, Reports: make([]model.LoadReport, 0)})) // came before
	h.wait("applied 0 8")
	h.wait("heard 1 1")
	c.conn.Close()
	h.wait("left 0")
	if all := strings.Join(h.events, " "); strings.Contains(all, "99") || strings.Contains(all, "heard 1 0") {
		t.Fatal("an old receipt or a report twice is taken: ", all)
	}
}

// A reconnect that lands between a snapshot and the first change starts from a snapshot of its own, and what was
// queued for the old stream does not reach the new one.
func TestReconnectBetweenSnapshotAndChange(t *testing.T) {
	h := start(t, func(l *Config) { l.Pace = 60 }) // a message of 6 + 2 lines waits 130 ms
	c, _ := join(t, h, "till")
	h.publish(1, line(1, 1), snapshot.Update{Kind: snapshot.BindProxy, Proxy: 0, Table: 1})
	c.conn.Close()
	h.wait("left 0")
	again, first := join(t, h, "till")
	if first.Bound || first.AckSequence != -1 {
		t.Fatalf("the new stream begins with %+v", first)
	}
	h.publish(2, snapshot.Update{Kind: snapshot.BindProxy, Proxy: 0, Table: 1})
	if m := again.message(); m.AckSequence != 2 || m.PreviousVersion != first.Version || !m.Bound {
		t.Fatalf("after it %+v", m)
	}
	if st := h.server.Stats(); st.Queue != 0 {
		t.Fatalf("%d lines still count for the stream that ended", st.Queue)
	}
}

func TestAGapBringsASnapshot(t *testing.T) {
	h := start(t, func(l *Config) { l.Now = func() model.Microseconds { return 5 * model.Second } })
	c, _ := join(t, h, "till")
	h.publish(1, line(1, 1), snapshot.Update{Kind: snapshot.BindProxy, Proxy: 0, Table: 1})
	bound := c.message()
	c.say(resp.AppendCommand(nil, "RESYNC"))
	if m := c.message(); !m.Full || !m.Bound || m.Version != bound.Version || m.AckSequence != 1 || len(m.Entries) != 1 {
		t.Fatalf("after a gap %+v", m)
	}
	// A forwarder in a loop gets no second one within the second.
	c.say(resp.AppendCommand(nil, "RESYNC"))
	c.say(resp.AppendCommand(nil, "PING"))
	if v, _ := c.next(); v.Text != "PONG" {
		t.Fatalf("a second snapshot at once: %v", v)
	}
}

// One slow reader delays nobody, and gets what it missed as one snapshot.
func TestASlowReaderFolds(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Unsent = 4096; l.Pace = 1e9 })
	slow, _ := join(t, h, "slow")
	quick, _ := join(t, h, "quick")
	_ = slow.conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	var bind []snapshot.Update
	for p := range model.ProxyID(2) {
		bind = append(bind, snapshot.Update{Kind: snapshot.BindProxy, Proxy: p, Table: 1})
	}
	h.publish(-1, append(bind, line(1, 1))...)
	last := 0
	for n := 1; h.server.Stats().Folds == 0; n++ {
		var orders []snapshot.Update
		for r := range byte(200) {
			orders = append(orders, line(r+1, float64(n)))
		}
		h.publish(n%65536, orders...)
		for quick.message().AckSequence != n { // it is served all the while
		}
		if last = n; n > 5000 {
			t.Fatal("nothing folds though nobody reads")
		}
	}
	for {
		if m := slow.message(); m.Full && len(m.Entries) == 200 && m.Entries[0].Weight == float64(last) && m.AckSequence == last {
			break
		}
	}
}

// An observer with a client that nobody here wrote: the whole state once, then each version once and in order.
func TestAnObserverByRedisClient(t *testing.T) {
	h := start(t, nil)
	join(t, h, "till")
	h.publish(-1, line(1, 1), snapshot.Update{Kind: snapshot.BindProxy, Proxy: 0, Table: 1})
	rdb := redis.NewClient(&redis.Options{Addr: h.server.Addr(), Protocol: 3, PoolSize: 2})
	defer rdb.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sub := rdb.Subscribe(ctx, "tables")
	defer sub.Close()
	first, err := sub.ReceiveMessage(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var pic Snapshot
	if err := json.Unmarshal([]byte(first.Payload), &pic); err != nil || pic.Kind != "snapshot" || pic.Version != 1 || pic.Life != 3 ||
		len(pic.Tables["1"]) != 1 || pic.Forwarders["till"] != "1" {
		t.Fatalf("%s, %v", first.Payload, err)
	}
	const changes = 200
	for n := range changes {
		h.publish(-1, line(byte(n+2), 0.5))
	}
	for n := range changes {
		m, err := sub.ReceiveMessage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		var step Step
		if err := json.Unmarshal([]byte(m.Payload), &step); err != nil || step.Kind != "change" || step.Version != uint64(n+2) || len(step.Orders) != 1 {
			t.Fatalf("change %d: %s, %v", n, m.Payload, err)
		}
	}
}

// What makes no sense ends that connection with one clear error and touches no other.
func TestHostilePeers(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Greeting = time.Minute })
	good, _ := join(t, h, "till")
	hello := string(resp.AppendCommand(nil, "HELLO", "3"))
	joined := hello + string(pubsubmsg.AppendJoin(nil, pubsubmsg.Join{Name: "other", Zone: "govan"}))
	for name, c := range map[string]struct{ bytes, why string }{
		"no RESP":                  {"GET / HTTP/1.1\r\n\r\n", "opens no value"},
		"a length of 2^62":         {"$4611686018427387904\r\n", "a string of"},
		"nesting":                  {strings.Repeat("*1\r\n", 1000), "nesting deeper"},
		"a value, not a command":   {":1\r\n", "a command is an array"},
		"a join without hello":     {string(pubsubmsg.AppendJoin(nil, pubsubmsg.Join{Name: "x", Zone: "govan"})), "HELLO 3 first"},
		"an unknown zone":          {hello + string(pubsubmsg.AppendJoin(nil, pubsubmsg.Join{Name: "x", Zone: "leith"})), "there are govan, partick"},
		"sums that contradict":     {joined + string(resp.AppendCommand(nil, "SUMS", "1", "1000000", "127.0.0.1:80", "1", "2", "0", "")), "tries"},
		"a receipt without join":   {hello + string(resp.AppendCommand(nil, "ACK", "1", "1", "1")), "JOIN first"},
		"a second join":            {joined + string(pubsubmsg.AppendJoin(nil, pubsubmsg.Join{Name: "y", Zone: "govan"})), "has joined as"},
		"a subscription unasked":   {string(resp.AppendCommand(nil, "SUBSCRIBE", "tables")), "HELLO 3 first"},
		"a join that is cut":       {hello + string(resp.AppendCommand(nil, "JOIN", "x")), "JOIN takes"},
		"sums over no time at all": {joined + string(resp.AppendCommand(nil, "SUMS", "1", "0")), "a span of"},
	} {
		t.Run(name, func(t *testing.T) {
			p := dial(t, h)
			p.t = t
			p.say([]byte(c.bytes))
			for {
				v, ok := p.next()
				if !ok {
					t.Fatalf("ended without the reason %q", c.why)
				}
				if v.Kind == resp.Failure && strings.Contains(v.Text, c.why) {
					break
				}
			}
			for ok := true; ok; {
				_, ok = p.next()
			}
		})
	}
	unknown := dial(t, h)
	unknown.say(resp.AppendCommand(nil, "FLUSHALL"))
	if v, _ := unknown.next(); v.Kind != resp.Failure || !strings.Contains(v.Text, "known are ACK") {
		t.Fatalf("an unknown command: %v", v)
	}
	h.publish(1, shut(1, true))
	if m := good.message(); m.AckSequence != 1 {
		t.Fatalf("the other forwarder got %+v", m)
	}
}

// A thousand connections that say nothing are ended; a forwarder that joins meanwhile is served.
func TestSilentConnections(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Greeting = 300 * time.Millisecond; l.Limits.Connections = 1000 })
	var silent []*client
	for range 990 {
		silent = append(silent, dial(t, h))
	}
	c, _ := join(t, h, "till")
	for _, s := range silent {
		if v, ok := s.next(); ok {
			t.Fatalf("a silent peer is sent %v", v)
		}
	}
	h.publish(1, shut(1, true))
	if m := c.message(); m.AckSequence != 1 {
		t.Fatalf("the forwarder got %+v", m)
	}
}

func TestTooManyConnections(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Connections = 2 })
	join(t, h, "a")
	join(t, h, "b")
	if v, _ := dial(t, h).next(); v.Kind != resp.Failure || !strings.Contains(v.Text, "too many connections") {
		t.Fatalf("a third is told %v", v)
	}
}

// The newer link of a name is the one that counts.
func TestANameJoinsTwice(t *testing.T) {
	h := start(t, nil)
	old, _ := join(t, h, "till")
	newer, _ := join(t, h, "till")
	if v, _ := old.next(); v.Kind != resp.Failure || !strings.Contains(v.Text, "replaced") {
		t.Fatalf("the older link is told %v", v)
	}
	h.publish(4, shut(1, true))
	if m := newer.message(); m.AckSequence != 4 {
		t.Fatalf("the newer link got %+v", m)
	}
	if st := h.server.Stats(); st.Forwarders != 1 || st.Replaced != 1 {
		t.Fatalf("%+v", st)
	}
}

// What waits is counted in lines and leaves at the pace; what waits for a stream that ended does not count.
func TestThePacer(t *testing.T) {
	p := pacer{perSecond: 1000}
	out := func(cost int) snapshot.Delivery { return snapshot.Delivery{Message: &pubsubmsg.Message{Cost: cost}} }
	p.put(0, out(100), 1)
	p.put(0, out(50), 2)
	p.put(0, out(50), 1)
	if p.lines != 200 || p.take(99_999) != nil {
		t.Fatal("a message leaves before its lines' time")
	}
	if w := p.take(100_000); w == nil || w.out.Message.Cost != 100 || p.lines != 100 {
		t.Fatalf("at its time: %+v", w)
	}
	p.drop(2)
	if at, _ := p.next(); p.lines != 50 || at != 150_000 {
		t.Fatalf("%d lines, next at %d", p.lines, at)
	}
	if w := p.take(200_000); w == nil || w.stream != 1 || p.most != 200 {
		t.Fatalf("%+v", w)
	}
}

func TestFarewell(t *testing.T) {
	h := start(t, nil)
	c, _ := join(t, h, "till")
	done := make(chan struct{})
	go func() { h.server.Shutdown(2 * time.Second); close(done) }()
	if v, _ := c.next(); v.Kind != resp.Push || v.Items[0].Text != "elsewhere" {
		t.Fatalf("at the end it is told %v", v)
	}
	// One that comes meanwhile is not taken in only to be sent away again: it is told when to come.
	late := dial(t, h)
	late.say(pubsubmsg.AppendJoin(resp.AppendCommand(nil, "HELLO", "3"), pubsubmsg.Join{Name: "late", Zone: "partick"}))
	late.next()
	if v, _ := late.next(); v.Kind != resp.Failure || !strings.HasPrefix(v.Text, "ENDING ") {
		t.Fatalf("during the farewell a join is answered by %v", v)
	}
	c.conn.Close()
	<-done
}

// A storm: hundreds of forwarders dial at once. They are put off once or twice each, with times that keep the rate, and
// all join; nobody is dropped without a time to come back, and nobody comes back as a storm.
func TestAStormOfJoinsSettles(t *testing.T) {
	const n, rate = 300, 150
	h := start(t, func(l *Config) { l.Joins = admission.Limits{Rate: rate, Burst: 30, Jitter: 1, Seed: 3} })
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	loop := standin.NewLoop(h.now)
	defer loop.Stop()
	var all []*proxy.Forwarder
	loop.Do(func() {
		for k := range n {
			f := proxy.New(loop, engine, proxy.Facts{Name: fmt.Sprint("till-", k), Zone: "govan", Redial: model.Second, ConnectFor: 5 * model.Second,
				StreamsOnly: true, Governors: []proxy.Governor{{Name: "g", Address: h.server.Addr()}}}, 1, func(invariants.Seen) {})
			f.Start(nil)
			all = append(all, f)
		}
	})
	defer loop.Do(func() {
		for _, f := range all {
			f.Kill()
		}
	})
	for until := time.Now().Add(20 * time.Second); h.server.Stats().Forwarders < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%+v", h.server.Stats())
		}
	}
	took := h.now()
	st := h.server.Stats()
	loop.Do(func() {
		for _, f := range all {
			if f.Joins != 1 || f.Deferred > 3 {
				t.Errorf("%s joined %d times and was put off %d times", f.Name, f.Joins, f.Deferred)
			}
		}
	})
	if st.Deferred < n/2 || st.Storms != 1 || took < (n-30)*model.Second/rate/2 {
		t.Errorf("all in after %d us: %+v", took, st)
	}
}

// A string that is begun and never ended costs no more than what came of it, and its peer is ended with the greeting's
// time; a forwarder that joins meanwhile is served.
func TestAStringNeverEnded(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Greeting = 300 * time.Millisecond })
	c := dial(t, h)
	c.say([]byte("*2\r\n$1000000\r\nbegun"))
	good, _ := join(t, h, "till")
	if v, ok := c.next(); ok {
		t.Fatalf("it is sent %v", v)
	}
	h.publish(1, shut(1, true))
	if m := good.message(); m.AckSequence != 1 {
		t.Fatalf("the forwarder got %+v", m)
	}
}

// A peer that sends more commands than it may is told when to come back, not dropped in silence, and nobody else notices; with the
// bound raised in service the same flood passes.
func TestAPeerThatAsksTooMuch(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Commands = admission.Rate{PerSecond: 10, Burst: 20} })
	calm := dial(t, h)
	calm.say([]byte("*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n"))
	if _, ok := calm.next(); !ok {
		t.Fatal("the calm one is ended")
	}
	flood := strings.Repeat("*1\r\n$4\r\nPING\r\n", 100)
	c := dial(t, h)
	c.say([]byte(flood))
	for pongs := 0; ; pongs++ {
		v, ok := c.next()
		if !ok {
			t.Fatalf("ended in silence after %d", pongs)
		}
		if v.Kind == resp.Failure {
			if !strings.HasPrefix(v.Text, "LATER ") || pongs != 20 {
				t.Fatalf("after %d: %q", pongs, v.Text)
			}
			break
		}
	}
	if st := h.server.Stats(); st.PutOff != 1 || st.Faults != 0 {
		t.Fatalf("%+v", st)
	}
	calm.say([]byte("*1\r\n$4\r\nPING\r\n"))
	if v, ok := calm.next(); !ok || v.Text != "PONG" {
		t.Fatalf("the calm one gets %v, %v", v, ok)
	}
	h.server.SetLimits(Limits{Commands: admission.Rate{PerSecond: 10, Burst: 200}}, admission.Limits{})
	c = dial(t, h)
	c.say([]byte(flood))
	for n := range 100 {
		if v, ok := c.next(); !ok || v.Text != "PONG" {
			t.Fatalf("the %d. answer is %v, %v", n, v, ok)
		}
	}
}

// Many peers that do not read share the bound in all: what waits stays under it, and the one that reads misses nothing.
func TestManySlowReadersShareTheBound(t *testing.T) {
	const slow, all = 20, 64 << 10
	h := start(t, func(l *Config) { l.Limits.Unsent, l.Pace = 4096, 1e9 }) // and as little in the kernel
	reader, _ := join(t, h, "reads")
	bind := []snapshot.Update{{Kind: snapshot.BindProxy, Proxy: 0, Table: 1}}
	for n := range slow {
		c, _ := join(t, h, fmt.Sprint("slow", n))
		_ = c.conn.(*net.TCPConn).SetReadBuffer(4096)
		bind = append(bind, snapshot.Update{Kind: snapshot.BindProxy, Proxy: model.ProxyID(n + 1), Table: 1})
	}
	h.server.SetLimits(Limits{Unsent: 1 << 20, UnsentAll: all}, admission.Limits{})
	h.publish(-1, bind...)
	var most int64
	for n := 1; h.server.Stats().Folds < slow; n++ {
		var orders []snapshot.Update
		for r := range byte(200) {
			orders = append(orders, line(r+1, float64(n)))
		}
		h.publish(n%65536, orders...)
		for reader.message().AckSequence != n%65536 { // it misses nothing
		}
		if most = max(most, h.server.Stats().Unsent); n > 20_000 {
			t.Fatalf("%d folds", h.server.Stats().Folds)
		}
	}
	if most < all/2 || most > all+(slow+1)*16<<10 {
		t.Fatalf("at most %d bytes waited of %d", most, all)
	}
}

package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
)

// yard stands for the operators' platform around one governor: discovery, collectors, proxies that try replicas by what they were
// told, and strangers. What went over the sockets is kept for the judge.
type yard struct {
	t      *testing.T
	listen string
	file   string
	now    func() model.Microseconds
	reload chan struct{}
	cancel context.CancelFunc
	ended  chan error

	mu      sync.Mutex
	seen    []invariants.Seen
	hosts   map[string]entry // by name
	version int
	changed chan struct{}
	met     map[string]int // tries at a replica since the last report
	proxies []*platformProxy
	calls   uint64
	wait    sync.WaitGroup
	over    chan struct{}
}

type entry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Health string `json:"health"`
	Born   int64  `json:"born_ms"`
}

// platformProxy is one of the yard's, with what it holds.
type platformProxy struct {
	id    int
	conn  net.Conn
	lines map[string]float64
	out   map[string]bool
	binds int
}

const spell = 200 * time.Millisecond // the report period

func openYard(t *testing.T, replicas int) *yard {
	y := &yard{t: t, listen: free(t), now: controller.Clock(), hosts: map[string]entry{}, changed: make(chan struct{}), met: map[string]int{},
		over: make(chan struct{}), reload: make(chan struct{}), ended: make(chan error, 1), file: filepath.Join(t.TempDir(), "config.json")}
	for n := range replicas {
		y.hosts[host(n+1)] = entry{host(n + 1), "127.0.0.1:1", zonesOf[n%2], "ready", 0}
	}
	return y
}

var zonesOf = []string{"govan", "partick"}

func host(n int) string { return fmt.Sprint("s-", n) }

// address is a name's id in the judge's books.
func address(name string) model.ReplicaID {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "s-"))
	return replica(byte(n))
}

func (y *yard) saw(s invariants.Seen) { y.seen = append(y.seen, s) }

// discovery serves the list at a new address until the test, or end, ends it.
func (y *yard) discovery() (at string, end func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		y.t.Fatal(err)
	}
	stop := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" || r.URL.Query().Get("follow") != "1" {
			w.WriteHeader(404)
			return
		}
		for last := -1; ; {
			y.mu.Lock()
			version, changed := y.version, y.changed
			body, _ := json.Marshal(map[string]any{"seq": version, "whole": true, "hosts": slices.Collect(maps.Values(y.hosts))})
			if version != last {
				y.told()
			}
			y.mu.Unlock()
			if version != last {
				_, _ = w.Write(append(body, '\n'))
			} else {
				_, _ = w.Write([]byte("\n"))
			}
			last = version
			w.(http.Flusher).Flush()
			select {
			case <-changed:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			case <-stop:
				return
			}
		}
	})}
	go func() { _ = server.Serve(l) }()
	once := sync.OnceFunc(func() { close(stop); server.Close() })
	y.t.Cleanup(once)
	return l.Addr().String(), once
}

// told notes the list as the judge reads it; y.mu is held.
func (y *yard) told() {
	var all []consulcatalog.Entry
	for _, e := range y.hosts {
		var l consulcatalog.Entry
		id := address(e.Host)
		l.Service.Address, l.Service.Port = net.IP(id.Addr[:]).String(), int(id.Port)
		l.Service.Meta = map[string]string{"zone": e.Site, "started": strconv.FormatInt(e.Born, 10)}
		if e.Health == "draining" {
			l.Checks = append(l.Checks, consulcatalog.Check{CheckID: "_service_maintenance"})
		}
		all = append(all, l)
	}
	body, _ := json.Marshal(all)
	y.saw(invariants.Told{At: y.now(), Governor: "n0", Body: body})
}

// change alters the list.
func (y *yard) change(n int, health string, born int64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, there := y.hosts[host(n)]
	if !there {
		e = entry{host(n), "127.0.0.1:1", zonesOf[(n-1)%2], "", 0}
	}
	e.Health, e.Born = health, born
	y.hosts[host(n)] = e
	y.version++
	close(y.changed)
	y.changed = make(chan struct{})
}

// write puts the governor's file down.
func (y *yard) write(discovery string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":256,"sockets":256},
"known":{"seq":0,"whole":true,"hosts":[]},"settings":{"zones":["govan","partick"],"membership_mode":"subscribe","classes":[
{"name":"read","on_time":500,"give_up":1200,"credit":1,"effect":"idempotent"},{"name":"log","on_time":750,"give_up":2000,"credit":3,"effect":"deduplicated"}],
"extra":{"admission":"ratio","bare":3100,"class_own_zone":[false,false],"default_size":6,"overhead":6,"pending_max":2000,"period":%d,"proxies":8,
"push_delay_max":300,"push_price":0.02,"slices":0,"smallest_conn_table":160},"guarantees":{"cold":17000},"stats":{"fields":["cpu_share"],"how":"piggyback"},
"prices":{"cross_zone":0.08}}}`, y.listen, discovery, spell.Milliseconds())
	if err := os.WriteFile(y.file, []byte(text), 0o644); err != nil {
		y.t.Fatal(err)
	}
}

// serve starts the governor.
func (y *yard) serve() {
	p, err := config.LoadPlatform(y.file)
	if err != nil {
		y.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	y.cancel = cancel
	go func() {
		y.ended <- ServePlatform(ctx, p, PlatformOutside{Reload: y.reload, Read: func() (*config.Platform, error) { return config.LoadPlatform(y.file) }}, zerolog.Nop())
	}()
	for late := time.Now().Add(20 * time.Second); ; {
		conn, err := net.Dial("tcp", y.listen)
		if err == nil {
			_, _ = conn.Write(resp.AppendCommand(nil, "ping"))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if line == "*1\r\n" {
				return
			}
		}
		if time.Now().After(late) {
			y.t.Fatal("no pong")
		}
	}
}

func (y *yard) dial(words ...string) net.Conn {
	conn, err := net.Dial("tcp", y.listen)
	if err != nil {
		y.t.Error(err)
		return nil
	}
	_, _ = conn.Write(resp.AppendCommand(nil, words...))
	return conn
}

// join connects a proxy, which answers and obeys until its connection ends.
func (y *yard) join(p *platformProxy, fresh string) {
	p.conn = y.dial("joined", "id", fmt.Sprint(p.id), "site", zonesOf[p.id%2], "rps", "20", "new", fresh)
	conn, name := p.conn, fmt.Sprint("proxy-", p.id)
	y.mu.Lock()
	y.saw(invariants.Stream{At: y.now(), Forwarder: name, Governor: "n0", Up: true})
	y.mu.Unlock()
	y.wait.Add(1)
	go func() {
		defer y.wait.Done()
		r, buf := resp.NewReader(resp.Limits{}), make([]byte, 64<<10)
		m := &pubsubmsg.Message{AckSequence: -1}
		for {
			n, err := conn.Read(buf)
			if err != nil {
				return
			}
			if err := r.Feed(buf[:n], func(v resp.Value) error {
				if y.obey(p, m, v) {
					y.mu.Lock()
					y.saw(invariants.Received{At: y.now(), Forwarder: name, Data: pubsubmsg.Append(nil, m)})
					y.mu.Unlock()
					if m.AckSequence >= 0 {
						_, _ = conn.Write(resp.AppendCommand(nil, "applied", "id", fmt.Sprint(p.id), "seq", fmt.Sprint(m.AckSequence), "ms", "3"))
					}
					m = &pubsubmsg.Message{AckSequence: -1}
				}
				return nil
			}); err != nil {
				y.t.Errorf("the governor wrote what cannot be read: %v", err)
				return
			}
		}
	}()
}

// obey takes one part of an update, and tells whether it was the last. m is the same message for the judge.
func (y *yard) obey(p *platformProxy, m *pubsubmsg.Message, v resp.Value) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	if v.Items[0].Text != "update" || len(v.Items)%2 == 0 {
		y.t.Errorf("no update: %v", v)
		return false
	}
	f := map[string]string{}
	for i := 1; i < len(v.Items); i += 2 {
		f[v.Items[i].Text] = v.Items[i+1].Text
	}
	list := func(name string) []string {
		if f[name] == "" {
			return nil
		}
		return strings.Split(f[name], ",")
	}
	if m.UpdatedAt == 0 {
		m.UpdatedAt, m.Cost = y.now(), 6
	}
	if f["whole"] == "1" {
		m.Full, m.Bound = true, true
		m.Cost++
		clear(p.lines)
		p.binds++
		for name := range p.out { // what others shut stays shut
			m.Withdrawals = append(m.Withdrawals, pubsubmsg.Withdrawal{Replica: address(name), Withdrawn: true})
		}
	}
	for _, pair := range list("lines") {
		name, weight, _ := strings.Cut(pair, ":")
		w, err := strconv.ParseFloat(weight, 64)
		if _, listed := y.hosts[name]; err != nil || w < 0 || !listed {
			y.t.Errorf("a line that no proxy can use: %q", pair)
		}
		if p.lines[name] = w; w == 0 {
			delete(p.lines, name)
		}
		m.Entries = append(m.Entries, pubsubmsg.Entry{Replica: address(name), Weight: w})
		m.Cost++
	}
	for word, out := range map[string]bool{"out": true, "back": false} {
		for _, name := range list(word) {
			if delete(p.out, name); out {
				p.out[name] = true
			}
			m.Withdrawals = append(m.Withdrawals, pubsubmsg.Withdrawal{Replica: address(name), Withdrawn: out})
			m.Cost++
		}
	}
	if f["level"] != "" {
		m.Cost++
		if share, err := strconv.ParseFloat(f["level"], 64); err != nil || share <= 0 || f["retry"] > "1" || f["classes"] != "read" && f["classes"] != "log" {
			y.t.Errorf("level %q, retry %q for %q", f["level"], f["retry"], f["classes"])
		}
	}
	if f["ticket"] != "" {
		m.AckSequence, _ = strconv.Atoi(f["ticket"])
		m.Cost++
	}
	return f["more"] != "1"
}

// load has each proxy try a replica every 20 ms by its table, and collectors report each period, until the yard ends.
func (y *yard) load() {
	y.wait.Add(1)
	go func() {
		defer y.wait.Done()
		var collectors []net.Conn
		for _, zone := range zonesOf {
			collectors = append(collectors, y.dial("collector", "site", zone))
		}
		chance := rand.New(rand.NewPCG(1, 2))
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
			case <-y.over:
				for _, c := range collectors {
					c.Close()
				}
				return
			}
			y.mu.Lock()
			for _, p := range y.proxies {
				y.try(p, chance)
			}
			if n%10 == 9 {
				for name, tries := range y.met {
					for k, zone := range zonesOf {
						_, _ = collectors[k].Write(resp.AppendCommand(nil, "heard", "site", zone, "target", name, "count", fmt.Sprint(tries/2+1), "fail", "0",
							"mean", "100", "over", "200", "util", "cpu_share:0.4"))
					}
				}
				clear(y.met)
			}
			y.mu.Unlock()
		}
	}()
}

func (y *yard) try(p *platformProxy, chance *rand.Rand) {
	var names []string
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.lines)) {
		if !p.out[name] {
			names, sum = append(names, name), sum+p.lines[name]
		}
	}
	at := chance.Float64() * sum
	for _, name := range names {
		if at -= p.lines[name]; at > 0 {
			continue
		}
		y.calls++
		who, now := fmt.Sprint("proxy-", p.id), y.now()
		y.saw(invariants.Tried{At: now, Forwarder: who, Replica: address(name), Operation: 1, Invocation: y.calls})
		y.saw(invariants.Arrived{At: now, Replica: address(name), Forwarder: who, Work: 10_000})
		y.saw(invariants.Ran{At: now, Replica: address(name), Operation: 1, Invocation: y.calls})
		y.saw(invariants.Ended{At: now, Invocation: y.calls, Outcome: invariants.Succeeded})
		y.met[name]++
		return
	}
}

// until waits until it holds of every proxy.
func (y *yard) until(what string, is func(p *platformProxy) bool) {
	y.t.Helper()
	for late := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		y.mu.Lock()
		all := true
		for _, p := range y.proxies {
			all = all && is(p)
		}
		y.mu.Unlock()
		if all {
			return
		}
		if time.Now().After(late) {
			y.mu.Lock()
			defer y.mu.Unlock()
			for _, p := range y.proxies {
				y.t.Logf("proxy %d: %v, out %v, %d binds", p.id, p.lines, p.out, p.binds)
			}
			y.t.Fatalf("not %s", what)
		}
	}
}

// end closes all, and judges.
func (y *yard) end() {
	y.cancel()
	if err := <-y.ended; err != nil {
		y.t.Fatal(err)
	}
	close(y.over)
	for _, p := range y.proxies {
		p.conn.Close()
	}
	y.wait.Wait()
	for _, v := range invariants.Judge(y.seen, invariants.Figures{Zones: zonesOf, Operations: []invariants.Operation{{Name: "read", Effect: invariants.Idempotent},
		{Name: "log", Effect: invariants.Fingerprinted, Window: 1200 * model.Millisecond}}, Bare: 3100 * model.Millisecond, Grace: 2800 * model.Millisecond,
		Cold: 17 * model.Second, TipFactor: 4, TipSpan: 3 * model.Second, QueueMost: 2000}, y.now()) {
		if len(v.Breaks) > 0 {
			y.t.Errorf("%s: %q", v.Rule, v.Breaks)
		}
	}
	if y.calls < 100 {
		y.t.Errorf("%d invocations only", y.calls)
	}
}

// A governor comes into service on the platform: it binds only once it heard of the fleet, carries a drain and a release, a stream that
// breaks, strangers, and a new discovery; and no rule breaks by what went over the sockets.
func TestAGovernorOnThePlatform(t *testing.T) {
	y := openYard(t, 8)
	first, endFirst := y.discovery()
	y.write(first)
	y.serve()
	for id := range 8 {
		p := &platformProxy{id: id, lines: map[string]float64{}, out: map[string]bool{}}
		var standing []invariants.Line
		for n := range 6 {
			p.lines[host(n+1)] = 1
			standing = append(standing, invariants.Line{Replica: address(host(n + 1)), Weight: 1})
		}
		y.mu.Lock()
		y.saw(invariants.Began{At: y.now(), Forwarder: fmt.Sprint("proxy-", id), Zone: id % 2, Standing: standing})
		y.proxies = append(y.proxies, p)
		y.mu.Unlock()
		y.join(p, "1")
	}
	y.load()
	y.until("bound to all eight", func(p *platformProxy) bool { return p.binds == 1 && len(p.lines) == 8 })

	strangers := []net.Conn{y.dial("update", "whole", "1"), y.dial("joined", "id", "99", "site", "govan", "rps", "1", "new", "1"), y.dial("ping")}
	y.change(1, "draining", 0)
	y.until("told of the drain", func(p *platformProxy) bool { return p.out[host(1)] || p.lines[host(1)] == 0 })
	y.change(9, "ready", time.Now().UnixMilli())
	y.until("given the new replica, at a quarter", func(p *platformProxy) bool {
		return p.lines[host(9)] > 0 && p.lines[host(9)] < 0.5*p.lines[host(3)] && // of the same zone
			!p.out[host(9)]
	})

	broken := y.proxies[3]
	broken.conn.Close()
	y.mu.Lock()
	y.saw(invariants.Stream{At: y.now(), Forwarder: "proxy-3", Governor: "n0"})
	broken.out[host(4)] = true // by another governor, that it met meanwhile
	y.mu.Unlock()
	y.join(broken, "0")
	y.until("bound anew after its stream broke, and back at what others shut", func(p *platformProxy) bool {
		return p != broken || p.binds == 2 && !p.out[host(4)] && p.lines[host(4)] > 0
	})

	second, _ := y.discovery()
	y.write("no address")
	y.reload <- struct{}{} // nothing is lost by a file that cannot be used
	y.write(second)
	y.reload <- struct{}{}
	endFirst()
	y.change(2, "draining", 0)
	y.until("told of the drain by the new discovery", func(p *platformProxy) bool { return p.out[host(2)] || p.lines[host(2)] == 0 })
	for _, c := range strangers {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if got, err := io.ReadAll(c); err != nil && len(got) == 0 && os.IsTimeout(err) {
			t.Errorf("a stranger is neither told nor closed")
		}
		c.Close()
	}
	y.end()
}

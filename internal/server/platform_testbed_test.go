package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/resp"
	"peppervale/internal/config"
	"peppervale/internal/controller"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/testaddr"
)

const (
	platformReportPeriod  = 200 * time.Millisecond
	platformRequestPeriod = 20 * time.Millisecond // interval between the requests of each proxy
	requestsPerReport     = 10
	platformWaitTimeout   = 30 * time.Second
	platformInstanceName  = "n0"
	minPlatformAttempts   = 100 // fewer attempts exercise the invariants too little
)

var platformZones = []string{"govan", "partick"}

// platformTestbed simulates the operators' platform around one instance: discovery, collectors, and proxies that send
// requests by their tables. It records the events on the sockets for the invariant checker.
type platformTestbed struct {
	t      *testing.T
	listen string
	file   string
	now    func() model.Microseconds
	reload chan struct{}

	watchesToEnd atomic.Int32 // so many of the next watches end right after the first list
	cancel       context.CancelFunc
	ended        chan error

	mu             sync.Mutex
	observations   []invariants.Event
	hosts          map[string]discoveryHost // by name
	version        int                      // version of hosts
	changed        chan struct{}            // closed when hosts change
	attempts       map[string]int           // attempts by replica since the last report
	proxies        []*platformProxy
	totalAttempts  uint64
	background     sync.WaitGroup
	stopBackground chan struct{}
}

// discoveryHost is a replica as discovery lists it.
type discoveryHost struct {
	Host      string `json:"host"`
	Dial      string `json:"dial"`
	Site      string `json:"site"`
	Health    string `json:"health"`
	StartedAt int64  `json:"born_ms"`
}

func newPlatformTestbed(t *testing.T, replicas int) *platformTestbed {
	t.Helper()
	bed := &platformTestbed{
		t:              t,
		listen:         testaddr.Address(t),
		file:           filepath.Join(t.TempDir(), "config.json"),
		now:            controller.NewClock(),
		reload:         make(chan struct{}),
		ended:          make(chan error, 1),
		hosts:          map[string]discoveryHost{},
		changed:        make(chan struct{}),
		attempts:       map[string]int{},
		stopBackground: make(chan struct{}),
	}
	for n := range replicas {
		bed.hosts[hostName(n+1)] = newHost(n+1, "ready", 0)
	}
	return bed
}

func newHost(number int, health string, startedAt int64) discoveryHost {
	zone := platformZones[(number-1)%len(platformZones)]
	return discoveryHost{Host: hostName(number), Dial: "127.0.0.1:1", Site: zone, Health: health, StartedAt: startedAt}
}

func hostName(number int) string { return fmt.Sprint("s-", number) }

// hostID returns a host's replica id for the invariant checker.
func hostID(name string) model.ReplicaID {
	number, _ := strconv.Atoi(strings.TrimPrefix(name, "s-")) // all names come from hostName
	return replicaID(byte(number))
}

// observe records an event on a socket for the invariant checker. The caller holds bed.mu.
func (bed *platformTestbed) observe(event invariants.Event) {
	bed.observations = append(bed.observations, event)
}

// startDiscovery serves the endpoint list on a new address until stop is called or the test ends.
func (bed *platformTestbed) startDiscovery() (address string, stop func()) {
	bed.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		bed.t.Fatal(err)
	}
	stopped := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/endpoints" || r.URL.Query().Get("follow") != "1" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		bed.streamEndpoints(w, r, stopped)
	})}
	go func() { _ = server.Serve(listener) }()
	stop = sync.OnceFunc(func() {
		close(stopped)
		if err := server.Close(); err != nil {
			bed.t.Error(err)
		}
	})
	bed.t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// streamEndpoints writes the list at once and at each change, and an empty line each second.
func (bed *platformTestbed) streamEndpoints(w http.ResponseWriter, r *http.Request, stopped <-chan struct{}) {
	flusher, ok := w.(http.Flusher)
	if !ok {
		bed.t.Error("the response cannot be flushed")
		return
	}
	writtenVersion := -1
	for {
		version, changed, body := bed.endpointList(writtenVersion)
		_, _ = w.Write(append(body, '\n')) // the request's context ends when the client disconnects
		writtenVersion = version
		flusher.Flush()
		if bed.watchesToEnd.Add(-1) >= 0 {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		case <-stopped:
			return
		}
	}
}

// endpointList returns the list, unless its version equals writtenVersion, and a channel that is closed when the list
// changes.
func (bed *platformTestbed) endpointList(writtenVersion int) (version int, changed <-chan struct{}, body []byte) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if bed.version == writtenVersion {
		return bed.version, bed.changed, nil
	}
	body, err := json.Marshal(map[string]any{
		"seq": bed.version, "whole": true, "hosts": slices.Collect(maps.Values(bed.hosts)),
	})
	if err != nil {
		bed.t.Error(err)
	}
	bed.observeEndpointList()
	return bed.version, bed.changed, body
}

// observeEndpointList records the list in the invariant checker's format. The caller holds bed.mu.
func (bed *platformTestbed) observeEndpointList() {
	var entries []consulcatalog.ServiceEntry
	for _, host := range bed.hosts {
		var entry consulcatalog.ServiceEntry
		id := hostID(host.Host)
		entry.Service.Address = net.IP(id.Addr[:]).String()
		entry.Service.Port = int(id.Port)
		entry.Service.Meta = map[string]string{"zone": host.Site, "started": strconv.FormatInt(host.StartedAt, 10)}
		if host.Health == "draining" {
			entry.Checks = append(entry.Checks, consulcatalog.Check{CheckID: "_service_maintenance"})
		}
		entries = append(entries, entry)
	}
	body, err := json.Marshal(entries)
	if err != nil {
		bed.t.Error(err)
	}
	bed.observe(invariants.EndpointsSent{At: bed.now(), Instance: platformInstanceName, Body: body})
}

// setHost adds a host to the endpoint list or replaces it.
func (bed *platformTestbed) setHost(number int, health string, startedAt int64) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.hosts[hostName(number)] = newHost(number, health, startedAt)
	bed.version++
	close(bed.changed)
	bed.changed = make(chan struct{})
}

// startWithProxies starts the instance with proxies that send requests, and waits until each is bound to a table of all
// replicas.
func (bed *platformTestbed) startWithProxies(count int) {
	bed.t.Helper()
	bed.start()
	for id := range count {
		bed.connect(bed.newProxy(id), "1")
	}
	bed.startLoad()
	replicas := len(bed.hosts)
	bed.waitForProxies(fmt.Sprintf("bound with a table of all %d replicas", replicas), func(p *platformProxy) bool {
		return p.fullTableCount == 1 && len(p.weights) == replicas
	})
}

// drainHost lists a host as draining and waits until no proxy may pick it.
func (bed *platformTestbed) drainHost(number int) {
	bed.t.Helper()
	name := hostName(number)
	bed.setHost(number, "draining", 0)
	bed.waitForProxies("notified of the withdrawal of "+name, func(p *platformProxy) bool {
		return p.withdrawn[name] || p.weights[name] == 0
	})
}

// writeConfiguration writes the instance's file.
func (bed *platformTestbed) writeConfiguration(discovery string) {
	bed.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":256,"sockets":256},"known":{"seq":0,"whole":true,"hosts":[]},
"settings":{"zones":["govan","partick"],"membership_mode":"subscribe","classes":[
{"name":"read","on_time":500,"give_up":1200,"credit":1,"effect":"idempotent"},
{"name":"log","on_time":750,"give_up":2000,"credit":3,"effect":"deduplicated"}],
"extra":{"admission":"ratio","bare":3100,"class_own_zone":[false,false],"default_size":6,"overhead":6,
"pending_max":2000,"period":%d,"proxies":8,"push_delay_max":300,"push_price":0.02,"slices":0,
"smallest_conn_table":160},"guarantees":{"cold":17000},"stats":{"fields":["cpu_share"],"how":"piggyback"},
"prices":{"cross_zone":0.08}}}`, bed.listen, discovery, platformReportPeriod.Milliseconds())
	if err := os.WriteFile(bed.file, []byte(text), 0o644); err != nil {
		bed.t.Fatal(err)
	}
}

// start starts the instance and waits until it answers a ping.
func (bed *platformTestbed) start() {
	bed.t.Helper()
	settings, err := config.LoadPlatform(bed.file)
	if err != nil {
		bed.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	bed.cancel = cancel
	environment := PlatformEnvironment{
		Reload:     bed.reload,
		LoadConfig: func() (*config.Platform, error) { return config.LoadPlatform(bed.file) },
	}
	go func() { bed.ended <- ServePlatform(ctx, settings, environment, zerolog.Nop()) }()
	for deadline := time.Now().Add(waitTimeout); !bed.answersPing(); {
		if time.Now().After(deadline) {
			bed.t.Fatal("the instance did not answer a ping in time")
		}
	}
}

// answersPing reports whether the instance answers a ping.
func (bed *platformTestbed) answersPing() bool {
	conn, err := net.Dial("tcp", bed.listen)
	if err != nil {
		return false
	}
	_, _ = conn.Write(resp.AppendCommand(nil, "ping")) // the answer shows whether it was written
	line, _ := bufio.NewReader(conn).ReadString('\n')
	if err := conn.Close(); err != nil {
		bed.t.Error(err)
	}
	return line == "*1\r\n"
}

// dial connects to the instance and sends a command.
func (bed *platformTestbed) dial(words ...string) net.Conn {
	bed.t.Helper()
	conn, err := net.Dial("tcp", bed.listen)
	if err != nil {
		bed.t.Error(err)
		return nil
	}
	_, _ = conn.Write(resp.AppendCommand(nil, words...)) // the instance may close the connection at once
	return conn
}

// startLoad makes each proxy send a request every platformRequestPeriod by its table, and the collectors send load
// reports every report period, until the testbed ends.
func (bed *platformTestbed) startLoad() {
	bed.background.Add(1)
	go func() {
		defer bed.background.Done()
		var collectors []net.Conn
		for _, zone := range platformZones {
			collectors = append(collectors, bed.dial("collector", "site", zone))
		}
		random := rand.New(rand.NewPCG(1, 2))
		tick := time.NewTicker(platformRequestPeriod)
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-tick.C:
			case <-bed.stopBackground:
				for _, conn := range collectors {
					bed.closeConn(conn)
				}
				return
			}
			bed.mu.Lock()
			for _, p := range bed.proxies {
				bed.tryReplica(p, random)
			}
			if n%requestsPerReport == 0 {
				bed.report(collectors)
			}
			bed.mu.Unlock()
		}
	}()
}

// report makes each of the two collectors report about half of the attempts since the last report. The caller holds
// bed.mu.
func (bed *platformTestbed) report(collectors []net.Conn) {
	for name, attempts := range bed.attempts {
		for k, zone := range platformZones {
			_, _ = collectors[k].Write(resp.AppendCommand(nil, "heard", "site", zone, "target", name,
				"count", fmt.Sprint(attempts/2+1), "fail", "0", "mean", "100", "over", "200", "util", "cpu_share:0.4"))
		}
	}
	clear(bed.attempts)
}

// tryReplica makes a proxy send a request to a replica of its table, chosen by weight. The caller holds bed.mu.
func (bed *platformTestbed) tryReplica(p *platformProxy, random *rand.Rand) {
	name := p.pick(random)
	if name == "" {
		return
	}
	bed.totalAttempts++
	now := bed.now()
	id, request := hostID(name), bed.totalAttempts
	bed.observe(invariants.AttemptStarted{At: now, Proxy: p.name(), Replica: id, Operation: 1, Request: request})
	bed.observe(invariants.WorkArrived{At: now, Replica: id, Proxy: p.name(), Work: 10_000})
	bed.observe(invariants.RequestExecuted{At: now, Replica: id, Operation: 1, Request: request})
	bed.observe(invariants.AttemptEnded{At: now, Request: request, Outcome: invariants.Succeeded})
	bed.attempts[name]++
}

// waitForProxies waits until a condition holds for every proxy.
func (bed *platformTestbed) waitForProxies(description string, condition func(p *platformProxy) bool) {
	bed.t.Helper()
	for deadline := time.Now().Add(platformWaitTimeout); ; time.Sleep(5 * time.Millisecond) {
		bed.mu.Lock()
		allHold := true
		for _, p := range bed.proxies {
			allHold = allHold && condition(p)
		}
		bed.mu.Unlock()
		if allHold {
			return
		}
		if time.Now().After(deadline) {
			bed.mu.Lock()
			defer bed.mu.Unlock()
			for _, p := range bed.proxies {
				bed.t.Logf("proxy %d: %v, withdrawn %v, %d full tables", p.id, p.weights, p.withdrawn, p.fullTableCount)
			}
			bed.t.Fatalf("some proxy is not %s", description)
		}
	}
}

// end ends the instance and the proxies, and checks the invariants.
func (bed *platformTestbed) end() {
	bed.t.Helper()
	bed.cancel()
	if err := <-bed.ended; err != nil {
		bed.t.Fatal(err)
	}
	close(bed.stopBackground)
	for _, p := range bed.proxies {
		bed.closeConn(p.conn)
	}
	bed.background.Wait()
	limits := invariants.Limits{
		Zones: platformZones,
		Operations: []invariants.Operation{
			{Name: "read", Effect: invariants.Idempotent},
			{Name: "log", Effect: invariants.IdempotencyKeyed, DeduplicationWindow: 1200 * model.Millisecond},
		},
		MaxEmptyTime:   3100 * model.Millisecond,
		DrainGrace:     2800 * model.Millisecond,
		WarmUpPeriod:   17 * model.Second,
		OverloadFactor: 4,
		OverloadWindow: 3 * model.Second,
		QueueLimit:     2000,
	}
	for _, verdict := range invariants.Check(bed.observations, limits, bed.now()) {
		if len(verdict.Violations) > 0 {
			bed.t.Errorf("%s: %q", verdict.Invariant, verdict.Violations)
		}
	}
	if bed.totalAttempts < minPlatformAttempts {
		bed.t.Errorf("%d attempts, too few to check the invariants", bed.totalAttempts)
	}
}

// closeConn closes a connection.
func (bed *platformTestbed) closeConn(conn net.Conn) {
	bed.t.Helper()
	if err := conn.Close(); err != nil {
		bed.t.Error(err)
	}
}

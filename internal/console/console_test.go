package console

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// desk is a governor's host with a channel by hand, and its console.
type desk struct {
	t     *testing.T
	host  *controller.Controller
	pages *Server
	now   func() model.Microseconds
	take  time.Duration // that each batch takes the channel
}

func (d *desk) AdmitProxy(model.ProxyID, uint64) {}
func (d *desk) Publish(b *snapshot.Batch) {
	time.Sleep(d.take)
	if b.AckSequence >= 0 {
		for p := range model.ProxyID(3) {
			d.host.Acknowledged(p, uint64(p)+1, uint32(b.AckSequence))
		}
	}
}
func (d *desk) Subscribe()          {}
func (d *desk) Stats() pubsub.Stats { return pubsub.Stats{Forwarders: 3, Version: 7, Queue: 12} }

func id(n int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, 0, byte(n / 200), byte(n%200 + 1)}, Port: 80}
}

const hostile = `<script>alert(1)</script>&"'`

const before = `{"life":2,"version":9,"withdrawn":["127.0.0.9:80"],"forwarders":{"till":"0","<script>alert(2)</script>":""},"tables":{"0":[{"replica":"127.0.0.1:80","weight":0.5}]}}`

// open starts a governor with that many replicas in two zones and three forwarders, one of a hostile name and one of a
// long one, and lets its gate open.
func open(t *testing.T, replicas int, take time.Duration) *desk {
	d := &desk{t: t, now: controller.Clock(), take: take}
	terms := model.Config{Seed: 1, Operations: []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}}, Zones: 2, SubscriptionRequired: true, AdmissionControl: true,
		FullQuota: 1, StandingTableSize: 4, ReportPeriod: 200 * model.Millisecond, MessageOverhead: 6, QueueLimit: 100_000, UtilizationField: -1, WarmUpPeriod: 17 * model.Second}
	d.host = controller.New(terms, 10_000, d.now, zerolog.Nop())
	var list []model.Endpoint
	var sums []model.LoadReport
	for n := range replicas {
		list = append(list, model.Endpoint{ID: id(n), Zone: n % 2, Status: model.EndpointReady})
		sums = append(sums, model.LoadReport{Replica: id(n), Attempts: 10, MeanLatency: 100_000, Window: model.Second})
	}
	go d.host.Run(d, d, list)
	t.Cleanup(d.host.Stop)
	for p, name := range []string{"till", hostile, strings.Repeat("long", 32)} {
		d.host.ProxyConnected(model.ProxyID(p), uint64(p)+1, pubsubmsg.Join{Name: name, ExpectedRate: 5}, p%2)
	}
	d.host.LoadReported(0, sums)
	about := Instance{Name: "govan-1", Incarnation: 3, Zones: []string{"govan", hostile}, Operations: []string{"recipe-read"}, QueueLimit: 100, Now: d.now,
		Settings: func() [][2]string { return [][2]string{{"state", hostile}} }, PreviousSnapshot: []byte(before)}
	var err error
	d.pages, err = Listen("127.0.0.1:0", about, struct {
		*controller.Controller
		*desk
	}{d.host, d})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.pages.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	for until := time.Now().Add(20 * time.Second); ; {
		if v := d.host.View(); v != nil && v.SafeModeEnded && v.ConnectedProxies == 3 {
			return d
		}
		if time.Now().After(until) {
			t.Fatal("the gate does not open")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// get asks for a page and gives its status, text and the time that it took.
func (d *desk) get(path string) (int, string, time.Duration) {
	d.t.Helper()
	began := time.Now()
	r, err := http.Get("http://" + d.pages.Addr() + path)
	if err != nil {
		d.t.Fatal(err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return r.StatusCode, string(text), time.Since(began)
}

var everyPage = []string{"/", "/zones", "/replicas", "/replicas/127.0.0.1:80", "/forwarders", "/forwarders/till", "/tables", "/tables/0", "/orders",
	"/orders?about=table", "/settings", "/before"}

// Every page reads as HTML and as JSON, says how old it is, and shows what is believed.
func TestEveryPage(t *testing.T) {
	d := open(t, 6, 0)
	for _, path := range everyPage {
		status, text, _ := d.get(path)
		if status != 200 || !strings.Contains(text, "as believed") || !strings.Contains(text, "</html>") {
			t.Errorf("%s: %d\n%s", path, status, text)
		}
		as := "?as=json"
		if strings.Contains(path, "?") {
			as = "&as=json"
		}
		status, text, _ = d.get(path + as)
		var p struct {
			Governor string
			Life     int
			Body     any
		}
		if err := json.Unmarshal([]byte(text), &p); status != 200 || err != nil || p.Governor != "govan-1" || p.Life != 3 || p.Body == nil {
			t.Errorf("%s as JSON: %d, %v\n%s", path, status, err, text)
		}
	}
	for name := range plots {
		if status, text, _ := d.get("/plot/" + name); status != 200 || !strings.Contains(text, "<svg") {
			t.Errorf("plot %s: %d", name, status)
		}
	}
	if status, text, _ := d.get("/replicas?as=json"); status != 200 || strings.Count(text, `"state": "serving"`) != 6 {
		t.Errorf("replicas: %s", text)
	}
	if status, text, _ := d.get("/forwarders/till?as=json"); status != 200 || !strings.Contains(text, "on table") || !strings.Contains(text, "joined till") {
		t.Errorf("how the forwarder's table came to be: %s", text)
	}
}

// What comes from outside is text, whatever it holds.
func TestHostileNames(t *testing.T) {
	d := open(t, 6, 0)
	for _, path := range append(everyPage, "/forwarders/"+"%3Cscript%3Ealert(1)%3C%2Fscript%3E&%22'", "/orders?about=%3Cscript%3E") {
		if _, text, _ := d.get(path); strings.Contains(text, "<script>alert") || strings.Contains(text, `value="<script>`) {
			t.Errorf("%s carries markup from outside", path)
		}
	}
	if status, text, _ := d.get("/forwarders"); status != 200 || !strings.Contains(text, "&lt;script&gt;") || !strings.Contains(text, strings.Repeat("long", 32)) {
		t.Errorf("a name is missing: %s", text)
	}
}

func TestAddressesThatDoNotExist(t *testing.T) {
	d := open(t, 6, 0)
	for path, want := range map[string]int{"/nope": 404, "/replicas/127.0.0.99:80": 404, "/replicas/../../etc/passwd": 404, "/forwarders/%2e%2e": 404, "/tables/x": 404,
		"/plot/x.svg": 404, "/zones/govan": 404, "/" + strings.Repeat("x", 2000): 414} {
		if status, text, _ := d.get(path); status != want || strings.Contains(text, "<html") {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
	r, err := http.Post("http://"+d.pages.Addr()+"/", "text/plain", strings.NewReader("x"))
	if err != nil || r.StatusCode != http.StatusMethodNotAllowed {
		t.Fatalf("a change is taken: %v, %v", r, err)
	}
	r.Body.Close()
}

// A governor that is handed ten times the sums and joins that it can take, whose every batch takes the channel 50 ms, and 200
// viewers of whom most never read: pages stay right and quick.
func TestReadableWhileOverloaded(t *testing.T) {
	d := open(t, 300, 50*time.Millisecond)
	stop := make(chan struct{})
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			var sums []model.LoadReport
			for k := range 300 {
				sums = append(sums, model.LoadReport{Replica: id(k), Attempts: 3, MeanLatency: 100_000, Window: model.Second})
			}
			d.host.LoadReported(n%2, sums)
			p := model.ProxyID(10 + n%500)
			d.host.ProxyConnected(p, uint64(1000+n), pubsubmsg.Join{Name: fmt.Sprint("flood-", p), ExpectedRate: 1}, n%2)
		}
	}()
	defer func() { close(stop); <-flooded }()
	for range 200 {
		c, err := net.Dial("tcp", d.pages.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /live HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	var worst time.Duration
	for range 3 {
		for _, path := range everyPage {
			status, text, took := d.get(path)
			if status != 200 || !strings.Contains(text, "as believed") {
				t.Fatalf("%s: %d\n%.300s", path, status, text)
			}
			worst = max(worst, took)
		}
	}
	t.Logf("slowest page %s; the host folded %d sums", worst, d.host.View().MergedReports)
	if worst > 3*time.Second {
		t.Fatalf("a page took %s", worst)
	}
}

// While nobody looks at a page, neither the time line nor a live stream nor readiness has the fleet copied.
func TestNobodyLooks(t *testing.T) {
	d := open(t, 6, 0)
	for range 3 {
		d.pages.sample()
		if status, _, _ := d.get("/ready"); status != 503 { // no whole list came in this life
			t.Fatalf("ready answers %d", status)
		}
	}
	began := d.host.View().Steps
	for until := time.Now().Add(10 * time.Second); d.host.View().Steps < began+5; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the governor takes no step")
		}
	}
	if d.host.View().Detail != nil {
		t.Fatal("the fleet is copied though nobody looks")
	}
	if status, _, _ := d.get("/"); status != 200 || d.host.View().Detail == nil {
		t.Fatal("a page does not ask for a look")
	}
}

// Live lines come, and streams beyond the bound are told to come back.
func TestLive(t *testing.T) {
	d := open(t, 6, 0)
	r, err := http.Get("http://" + d.pages.Addr() + "/live")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	buf := make([]byte, 300)
	n, err := r.Body.Read(buf)
	if err != nil || !strings.HasPrefix(string(buf[:n]), "data: 3 forwarders, version 7, 12 lines wait, gate open, 6 of 6 replicas ready") {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	d.pages.mu.Lock()
	d.pages.streams = streamsMost
	d.pages.mu.Unlock()
	if status, text, _ := d.get("/live"); status != 503 || !strings.Contains(text, "reload by hand") {
		t.Fatalf("%d %s", status, text)
	}
}

package console

import (
	"io"
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

const (
	// markupName is markup that must be shown as text.
	markupName = `<script>alert(1)</script>&"'`

	// previousSnapshot is the last snapshot of the previous incarnation, as it is stored.
	previousSnapshot = `{"life":2,"version":9,"withdrawn":["127.0.0.9:80"],` +
		`"forwarders":{"till":"0","<script>alert(2)</script>":""},` +
		`"tables":{"0":[{"replica":"127.0.0.1:80","weight":0.5}]}}`

	// fixtureProxyCount is the number of proxies that are connected.
	fixtureProxyCount = 3

	secondZone   = "partick"
	secondMember = "partick-1"

	startDeadline = 20 * time.Second
)

var longName = strings.Repeat("long", 32)

// pagePaths are the paths of pages, at least one of every kind.
var pagePaths = []string{
	"/", "/zones", "/replicas", "/replicas/127.0.0.1:80", "/forwarders", "/forwarders/till", "/tables", "/tables/0",
	"/orders", "/orders?about=table", "/settings", "/before",
}

// consoleFixture is a controller with its console. The fixture replaces the channel, and acknowledges each batch after
// publishDelay.
type consoleFixture struct {
	t            *testing.T
	controller   *controller.Controller
	console      *Server
	publishDelay time.Duration // of each batch on the channel
}

// AdmitProxy implements controller.ProxyServer.
func (f *consoleFixture) AdmitProxy(model.ProxyID, uint64) {}

// Publish implements controller.ProxyServer.
func (f *consoleFixture) Publish(batch *snapshot.Batch) {
	time.Sleep(f.publishDelay)
	if batch.AckSequence < 0 {
		return
	}
	for proxy := range model.ProxyID(fixtureProxyCount) {
		f.controller.Acknowledged(proxy, uint64(proxy)+1, uint32(batch.AckSequence))
	}
}

// Subscribe implements controller.Discovery.
func (f *consoleFixture) Subscribe() {}

// Stats implements Source.
func (f *consoleFixture) Stats() pubsub.Stats {
	return pubsub.Stats{Proxies: fixtureProxyCount, Version: 7, QueuedEntries: 12}
}

// fixtureSource is a Source of a fixture's controller and channel.
type fixtureSource struct {
	*controller.Controller
	*consoleFixture
}

// replicaID returns the ID of the nth replica of a fixture.
func replicaID(n int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, 0, byte(n / 200), byte(n%200 + 1)}, Port: 80}
}

func fixtureConfig() model.Config {
	return model.Config{
		Seed:                 1,
		Operations:           []model.Operation{{LatencyObjective: 500_000, PriorityWeight: 1}},
		Zones:                2,
		SubscriptionRequired: true,
		AdmissionControl:     true,
		FullQuota:            1,
		StandingTableSize:    4,
		ReportPeriod:         200 * model.Millisecond,
		MessageOverhead:      6,
		QueueLimit:           100_000,
		UtilizationField:     -1,
		WarmUpPeriod:         17 * model.Second,
	}
}

// startFixture starts a controller with replicas in two zones and three proxies, and waits until safe mode has ended.
// The name of one proxy is markup, and that of another is long.
func startFixture(t *testing.T, replicas int, publishDelay time.Duration) *consoleFixture {
	t.Helper()
	now := controller.NewClock()
	fixture := &consoleFixture{t: t, publishDelay: publishDelay}
	fixture.controller = controller.New(fixtureConfig(), 10_000, now, zerolog.Nop())
	var endpoints []model.Endpoint
	var reports []model.LoadReport
	for n := range replicas {
		endpoints = append(endpoints, model.Endpoint{ID: replicaID(n), Zone: n % 2, Status: model.EndpointReady})
		reports = append(reports, model.LoadReport{
			Replica: replicaID(n), Attempts: 10, MeanLatency: 100_000, Window: model.Second,
		})
	}
	go fixture.controller.Run(fixture, fixture, endpoints)
	t.Cleanup(fixture.controller.Stop)
	for proxy, name := range []string{"till", markupName, longName} {
		join := pubsubmsg.Join{Name: name, ExpectedRate: 5}
		fixture.controller.ProxyConnected(model.ProxyID(proxy), uint64(proxy)+1, join, proxy%2)
	}
	fixture.controller.LoadReported(0, reports)
	instance := Instance{
		Name:             "govan-1",
		Incarnation:      3,
		Zones:            []string{"govan", markupName},
		Operations:       []string{"recipe-read"},
		Settings:         func() [][2]string { return [][2]string{{"state", markupName}} },
		PreviousSnapshot: []byte(previousSnapshot),
		QueueLimit:       100,
		Now:              now,
	}
	var err error
	fixture.console, err = Listen("127.0.0.1:0", instance, fixtureSource{fixture.controller, fixture})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fixture.console.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	fixture.awaitStart()
	return fixture
}

// awaitStart waits until safe mode has ended and the proxies are connected.
func (f *consoleFixture) awaitStart() {
	f.t.Helper()
	for deadline := time.Now().Add(startDeadline); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		view := f.controller.View()
		if view != nil && view.SafeModeEnded && view.ConnectedProxies == fixtureProxyCount {
			return
		}
	}
	f.t.Fatal("safe mode has not ended, or not all proxies are connected, within startDeadline")
}

// get returns the status and text of a page, and the duration of the request.
func (f *consoleFixture) get(path string) (status int, text string, elapsed time.Duration) {
	f.t.Helper()
	start := time.Now()
	status, text = httpGet(f.t, "http://"+f.console.Addr()+path)
	return status, text, time.Since(start)
}

func httpGet(t *testing.T, url string) (status int, text string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(t, response)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func closeBody(t *testing.T, response *http.Response) {
	t.Helper()
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
}

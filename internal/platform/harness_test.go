package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/netpolltest"
	"peppervale/internal/snapshot"
)

// waitTimeout is how long a test waits for an expected event before it fails.
const waitTimeout = 20 * time.Second

// closedConnection is the result of testClient.nextMessage once the server has closed the connection.
const closedConnection = "closed"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHarness is a stand-in for the controller: it records the events, and admits each joined proxy on a separate
// goroutine, as the controller does.
type testHarness struct {
	t      *testing.T
	server *Server
	names  *platformmsg.ReplicaNames
	steps  chan func() // run one after another, like the controller's mailbox

	mu           sync.Mutex
	events       []string      // in the order in which the steps ran
	streamEvents []streamEvent // in the order in which the server reported them
	reports      []model.LoadReport
}

// streamEvent is one event of a stream.
type streamEvent struct {
	kind   streamEventKind
	proxy  model.ProxyID
	stream uint64
}

type streamEventKind int

const (
	streamConnected streamEventKind = iota + 1
	streamDisconnected
	streamAcknowledged
)

func (h *testHarness) recordStreamEvent(event streamEvent, step func()) {
	h.mu.Lock()
	h.streamEvents = append(h.streamEvents, event)
	h.mu.Unlock()
	h.steps <- step
}

func (h *testHarness) recordEvent(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf(format, args...))
}

// ProxyConnected admits the proxy and records the event in a later step.
func (h *testHarness) ProxyConnected(proxy model.ProxyID, stream uint64, join pubsubmsg.Join, zone int) {
	h.recordStreamEvent(streamEvent{streamConnected, proxy, stream}, func() {
		h.server.AdmitProxy(proxy, stream)
		h.recordEvent("connected %d zone %d rate %g standing %t", proxy, zone, join.ExpectedRate, join.OnStandingTable)
	})
}

// ProxyDisconnected records the end of a stream.
func (h *testHarness) ProxyDisconnected(proxy model.ProxyID, stream uint64) {
	h.recordStreamEvent(streamEvent{streamDisconnected, proxy, stream}, func() { h.recordEvent("disconnected %d", proxy) })
}

// Acknowledged records an acknowledgement.
func (h *testHarness) Acknowledged(proxy model.ProxyID, stream uint64, ackSequence uint32) {
	h.recordStreamEvent(streamEvent{streamAcknowledged, proxy, stream}, func() {
		h.recordEvent("acknowledged %d %d", proxy, ackSequence)
	})
}

// LoadReported records load reports.
func (h *testHarness) LoadReported(_ int, reports []model.LoadReport) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, reports...)
}

// awaitingJoinCount returns the number of connections that have not joined.
func (h *testHarness) awaitingJoinCount() int {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.awaitingJoin.Len()
}

// waitForAdmission waits until a proxy's stream is admitted and meets a condition.
func (h *testHarness) waitForAdmission(proxy model.ProxyID, isExpected func(*stream) bool) {
	h.t.Helper()
	h.waitUntil("admission", func() bool {
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		stream := h.server.streams[proxy]
		return stream != nil && stream.subscriber != nil && isExpected(stream)
	})
}

// reportCount returns the number of load reports received.
func (h *testHarness) reportCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reports)
}

// waitForEvent waits until an event is recorded.
func (h *testHarness) waitForEvent(want string) {
	h.t.Helper()
	h.waitUntil(want, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return slices.Contains(h.events, want)
	})
}

func (h *testHarness) waitUntil(condition string, isMet func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("not reached within the time limit: %s; events %q, stats %+v", condition, h.events, h.server.Stats())
		}
	}
}

// waitForNoConnections waits until the server has no connection.
func (h *testHarness) waitForNoConnections() {
	h.t.Helper()
	h.waitUntil("end of all connections", func() bool { return h.server.Stats().Connections == 0 })
}

// expectStreamOrder checks the events of each proxy: a stream's start, then its acknowledgements, then its end exactly
// once, and at most one open stream at a time. It returns the open streams.
func (h *testHarness) expectStreamOrder() map[model.ProxyID]uint64 {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	openStreams := map[model.ProxyID]uint64{}
	for i, event := range h.streamEvents {
		current := openStreams[event.proxy]
		switch {
		case event.kind == streamConnected && current == 0:
			openStreams[event.proxy] = event.stream
		case event.kind == streamDisconnected && current == event.stream:
			delete(openStreams, event.proxy)
		case event.kind == streamAcknowledged && current == event.stream:
		default:
			h.t.Fatalf("event %d is %+v while stream %d is open", i, event, current)
		}
	}
	return openStreams
}

// startServer starts a server with two zones, two operations, twenty proxies and nine listed replicas, s-1 to s-9.
func startServer(t *testing.T, change func(*Config)) *testHarness {
	t.Helper()
	harness := &testHarness{t: t, names: platformmsg.NewReplicaNames(), steps: make(chan func(), 100_000)}
	for n := range 9 {
		harness.names.Register(fmt.Sprint("s-", n+1))
	}
	config := Config{
		Listen:          "127.0.0.1:0",
		Zones:           []string{"govan", "kelvin"},
		Operations:      []string{"read", "log"},
		LoadFields:      []string{"busy", "cpu_share"},
		ProxyCount:      20,
		MessageOverhead: 6,
		ReplicaNames:    harness.names,
		Now:             controller.NewClock(),
		Log:             zerolog.Nop(),
		Limits: Limits{
			Connections:      100,
			GreetingTimeout:  20 * time.Second,
			UnsentBytes:      64 << 10,
			SilenceTimeout:   20 * time.Second,
			AckRetryInterval: time.Minute,
		},
	}
	if change != nil {
		change(&config)
	}
	var err error
	if harness.server, err = Listen(config, harness); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for step := range harness.steps {
			step()
		}
	}()
	t.Cleanup(func() {
		harness.server.Close()
		close(harness.steps)
		<-done
	})
	return harness
}

// testClock is a clock that the test advances.
type testClock struct {
	mu  sync.Mutex
	now model.Microseconds
}

func (c *testClock) read() model.Microseconds {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *testClock) advance(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += model.Microseconds(duration / time.Microsecond)
}

func (h *testHarness) replica(n int) model.ReplicaID {
	id, _ := h.names.ID(fmt.Sprint("s-", n))
	return id
}

// publish publishes updates; an acknowledgement sequence of -1 requests no acknowledgement.
func (h *testHarness) publish(ackSequence int, updates ...snapshot.Update) {
	h.server.Publish(&snapshot.Batch{Updates: updates, AckSequence: ackSequence})
}

// setWeight sets the weight of a replica in table 1.
func (h *testHarness) setWeight(n int, weight float64) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: h.replica(n), Weight: weight}
}

// setWithdrawn withdraws or readmits a replica.
func (h *testHarness) setWithdrawn(n int, withdrawn bool) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: h.replica(n), Withdrawn: withdrawn}
}

// bindProxy binds a proxy to table 1.
func bindProxy(proxy model.ProxyID) snapshot.Update {
	return snapshot.Update{Kind: snapshot.BindProxy, Proxy: proxy, Table: 1}
}

// setQuota sets the admitted share of the first operation.
func setQuota(share float64) snapshot.Update {
	return snapshot.Update{
		Kind:  snapshot.SetQuota,
		Quota: pubsubmsg.Quota{Operations: 1, Share: share, RetryPolicy: model.RetryIfNotExecuted},
	}
}

// testClient is the client's end of a connection.
type testClient struct {
	*netpolltest.Client
	t *testing.T
}

func (h *testHarness) dial(t *testing.T) *testClient {
	t.Helper()
	return &testClient{netpolltest.Dial(t, h.server.Addr(), waitTimeout), t}
}

// join connects a proxy of the first zone on its standing table and waits until it is admitted.
func (h *testHarness) join(t *testing.T, proxy int) *testClient {
	t.Helper()
	client := h.dial(t).send(joinMessage(proxy))
	h.waitForEvent(fmt.Sprintf("connected %d zone 0 rate 1 standing true", proxy))
	return client
}

// joinMessage returns the join message of a proxy of the first zone on its standing table.
func joinMessage(proxy int) string { return fmt.Sprintf("joined id %d site govan rps 1 new 1", proxy) }

// send sends messages, each given as words separated by spaces.
func (c *testClient) send(messages ...string) *testClient {
	c.t.Helper()
	c.SendCommands(messages...)
	return c
}

// nextMessage returns the words of the next message, or closedConnection once the connection has ended.
func (c *testClient) nextMessage() string {
	c.t.Helper()
	value, ok := c.Next()
	if !ok {
		return closedConnection
	}
	var words []string
	for _, item := range value.Items {
		words = append(words, item.Text)
	}
	return strings.Join(words, " ")
}

func (c *testClient) expectMessage(want string) {
	c.t.Helper()
	if got := c.nextMessage(); got != want {
		c.t.Fatalf("received:  %s\nwant:      %s", got, want)
	}
}

// ping sends a ping and waits for its answer: the server has then read everything sent before it.
func (c *testClient) ping() {
	c.t.Helper()
	c.send("ping")
	c.expectMessage("pong")
}

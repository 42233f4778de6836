package pubsub

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/netpolltest"
	"peppervale/internal/snapshot"
)

// waitTimeout is how long a test waits for an expected event before it fails.
const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// testHarness is a stand-in for the controller: it admits each joined proxy and records the events.
type testHarness struct {
	t       *testing.T
	server  *Server
	started time.Time

	beforeConnected func(stream uint64) // called at the begin of ProxyConnected; nil: nothing

	mu            sync.Mutex
	events        []string
	eventRecorded chan struct{} // signalled after each event
}

func (h *testHarness) recordEvent(format string, args ...any) {
	h.mu.Lock()
	h.events = append(h.events, fmt.Sprintf(format, args...))
	h.mu.Unlock()
	select {
	case h.eventRecorded <- struct{}{}:
	default:
	}
}

// ProxyConnected admits the proxy.
func (h *testHarness) ProxyConnected(proxy model.ProxyID, stream uint64, join pubsubmsg.Join, zone int) {
	if h.beforeConnected != nil {
		h.beforeConnected(stream)
	}
	h.server.AdmitProxy(proxy, stream)
	h.recordEvent("connected %s %d", join.Name, zone)
}

// ProxyDisconnected records the end of a stream.
func (h *testHarness) ProxyDisconnected(proxy model.ProxyID, _ uint64) {
	h.recordEvent("disconnected %d", proxy)
}

// Acknowledged records an acknowledgement.
func (h *testHarness) Acknowledged(proxy model.ProxyID, _ uint64, ackSequence uint32) {
	h.recordEvent("acknowledged %d %d", proxy, ackSequence)
}

// LoadReported records the number of load reports.
func (h *testHarness) LoadReported(zone int, reports []model.LoadReport) {
	h.recordEvent("reported %d %d", zone, len(reports))
}

func (h *testHarness) now() model.Microseconds {
	return model.Microseconds(time.Since(h.started) / time.Microsecond)
}

// waitForEvent waits until an event is recorded; the events of one proxy are in order.
func (h *testHarness) waitForEvent(event string) {
	h.t.Helper()
	deadline := time.After(waitTimeout)
	for {
		h.mu.Lock()
		all := strings.Join(h.events, "\n")
		h.mu.Unlock()
		if strings.Contains("\n"+all+"\n", "\n"+event+"\n") {
			return
		}
		select {
		case <-h.eventRecorded:
		case <-deadline:
			h.t.Fatalf("no event %q within the time limit; recorded events:\n%s", event, all)
		}
	}
}

func startServer(t *testing.T, change func(*Config)) *testHarness {
	t.Helper()
	harness := &testHarness{t: t, eventRecorded: make(chan struct{}, 1), started: time.Now()}
	config := Config{
		Listen:           "127.0.0.1:0",
		Incarnation:      3,
		Zones:            []string{"govan", "kelvin"},
		ReportPeriod:     model.Second,
		MessageOverhead:  6,
		EntriesPerSecond: 1e6,
		Now:              harness.now,
		Log:              zerolog.Nop(),
	}
	if change != nil {
		change(&config)
	}
	harness.mu.Lock() // no event is recorded before server is set
	var err error
	if harness.server, err = Listen(config, harness); err != nil {
		t.Fatal(err)
	}
	harness.mu.Unlock()
	t.Cleanup(harness.server.Close)
	return harness
}

// publish publishes updates; an acknowledgement sequence of -1 requests no acknowledgement.
func (h *testHarness) publish(ackSequence int, updates ...snapshot.Update) {
	h.server.Publish(&snapshot.Batch{Updates: updates, AckSequence: ackSequence, At: h.now()})
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

// join connects a proxy of the second zone on its standing table, and returns the snapshot that it receives.
func (h *testHarness) join(t *testing.T, name string) (*testClient, *pubsubmsg.Message) {
	t.Helper()
	client := h.dial(t)
	client.Send(pubsubmsg.AppendJoin(helloCommand(), pubsubmsg.Join{
		Name:            name,
		Zone:            "kelvin",
		ExpectedRate:    2,
		OnStandingTable: true,
	}))
	for range 2 {
		if value, _ := client.Next(); value.Kind != resp.Map {
			t.Fatalf("the reply to HELLO or JOIN is %v, want a map", value)
		}
	}
	return client, client.message()
}

// message returns the next message received.
func (c *testClient) message() *pubsubmsg.Message {
	c.t.Helper()
	value, ok := c.Next()
	if !ok {
		c.t.Fatal("the connection ended before a message")
	}
	message, err := pubsubmsg.Parse(value)
	if err != nil {
		c.t.Fatalf("message %v cannot be parsed: %v", value, err)
	}
	return message
}

// expectAckSequence checks the next message's acknowledgement sequence.
func (c *testClient) expectAckSequence(want int) {
	c.t.Helper()
	if message := c.message(); message.AckSequence != want {
		c.t.Fatalf("received %+v, want acknowledgement sequence %d", message, want)
	}
}

// expectPong checks that the next value answers a PING.
func (c *testClient) expectPong() {
	c.t.Helper()
	if value, ok := c.Next(); !ok || value.Text != "PONG" {
		c.t.Fatalf("received %v, %t, want PONG", value, ok)
	}
}

// expectError checks that the next value is an error that contains a text.
func (c *testClient) expectError(text string) {
	c.t.Helper()
	if value, _ := c.Next(); value.Kind != resp.SimpleError || !strings.Contains(value.Text, text) {
		c.t.Fatalf("received %v, want an error with %q", value, text)
	}
}

// expectClosed checks that the connection ends without another value.
func (c *testClient) expectClosed() {
	c.t.Helper()
	if value, ok := c.Next(); ok {
		c.t.Fatalf("received %v, want the end of the connection", value)
	}
}

func helloCommand() []byte { return resp.AppendCommand(nil, "HELLO", "3") }

func pingCommand() []byte { return resp.AppendCommand(nil, "PING") }

// replica returns a replica's id by the last byte of its address.
func replica(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

// setWeight sets the weight of a replica in table 1.
func setWeight(n byte, weight float64) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWeight, Table: 1, Replica: replica(n), Weight: weight}
}

// setWeights sets the weights of 200 replicas in table 1.
func setWeights(value float64) (updates []snapshot.Update) {
	for n := range byte(200) {
		updates = append(updates, setWeight(n+1, value))
	}
	return updates
}

// withdrawReplica withdraws a replica.
func withdrawReplica(n byte) snapshot.Update {
	return snapshot.Update{Kind: snapshot.SetWithdrawn, Replica: replica(n), Withdrawn: true}
}

// bindProxy binds a proxy to table 1.
func bindProxy(proxy model.ProxyID) snapshot.Update {
	return snapshot.Update{Kind: snapshot.BindProxy, Proxy: proxy, Table: 1}
}

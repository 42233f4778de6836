package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
	"peppervale/internal/testaddr"
)

// waitTimeout limits how long a test waits for an expected condition.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// testbed has an endpoint list of two replicas, proxies that connect to one address, and an instance that a test starts
// and ends at that address. The state directory is kept between starts.
type testbed struct {
	t              *testing.T
	directory      string
	listen         string
	consoleAddress string
	registry       *registry.Registry
	loop           *standin.Loop
	proxies        []*proxy.Proxy

	log    *logBuffer // log of the instance that was started last
	cancel context.CancelFunc
	ended  chan error
	reload chan struct{}
}

// logBuffer collects a log and notifies a waiting test of new lines.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func newLogBuffer() *logBuffer { return &logBuffer{written: make(chan struct{}, 1)} }

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(line)
	select {
	case l.written <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// replicaID returns the id of replica n.
func replicaID(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 9} }

// newLoop starts a loop for stand-ins. It stops when the test ends.
func newLoop(t *testing.T) *standin.Loop {
	t.Helper()
	startedAt := time.Now()
	loop := standin.NewLoop(func() model.Microseconds {
		return model.Microseconds(time.Since(startedAt) / time.Microsecond)
	})
	t.Cleanup(loop.Stop)
	return loop
}

// newRegistry starts a stand-in of the registry. It is closed when the test ends.
func newRegistry(t *testing.T, loop *standin.Loop) *registry.Registry {
	t.Helper()
	list, err := registry.New(loop, "127.0.0.1:0", "recipe", ignoreObservation)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	return list
}

func ignoreObservation(invariants.Event) {}

// killOnCleanup kills proxies when the test ends.
func killOnCleanup(t *testing.T, loop *standin.Loop, proxies *[]*proxy.Proxy) {
	t.Helper()
	t.Cleanup(func() {
		loop.Do(func() {
			for _, p := range *proxies {
				p.Kill()
			}
		})
	})
}

func newTestbed(t *testing.T, proxyCount int) *testbed {
	t.Helper()
	bed := &testbed{
		t:              t,
		directory:      t.TempDir(),
		listen:         testaddr.Address(t),
		consoleAddress: testaddr.Address(t),
		loop:           newLoop(t),
	}
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	bed.registry = newRegistry(t, bed.loop)
	bed.loop.Do(func() {
		for n := range byte(2) {
			bed.registry.Set(registry.Entry{ID: replicaID(n + 1), Zone: "govan"})
		}
		for k := range proxyCount {
			proxyConfig := proxy.Config{
				Name:            fmt.Sprint("till-", k),
				Zone:            "govan",
				ExpectedRate:    2,
				RedialInterval:  50 * model.Millisecond,
				DialTimeout:     model.Second,
				OmitLoadReports: true,
				Instances:       []proxy.Instance{{Name: "g", Address: bed.listen}},
			}
			p := proxy.New(bed.loop, engine, proxyConfig, uint64(k), ignoreObservation)
			p.Start(nil)
			bed.proxies = append(bed.proxies, p)
		}
	})
	killOnCleanup(t, bed.loop, &bed.proxies)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return bed
}

// configuration returns the content of the instance's file, with additional lines in its channel block.
func (bed *testbed) configuration(channel string) string {
	return fmt.Sprintf(`governor "govan-1" {
  listen = %q
  state = "state"
  farewell = "100ms"
}
console {
  listen = %q
}
zones = ["govan"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = 4
}
rules {
}
channel {
  period = "200ms"
  %s
}
machine_list "consul" {
  address = %q
  service = "recipe"
}
`, bed.listen, bed.consoleAddress, channel, bed.registry.Addr())
}

// writeConfiguration writes the instance's file and returns its path.
func (bed *testbed) writeConfiguration(text string) string {
	bed.t.Helper()
	path := filepath.Join(bed.directory, "governor.hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		bed.t.Fatal(err)
	}
	return path
}

// start starts an instance. It runs until end is called or the test ends.
func (bed *testbed) start() {
	bed.t.Helper()
	path := bed.writeConfiguration(bed.configuration(""))
	settings, err := config.LoadServer(path)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.log = newLogBuffer()
	log, level, err := NewLogger(bed.log, "info")
	if err != nil {
		bed.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	bed.cancel, bed.ended, bed.reload = cancel, ended, make(chan struct{})
	environment := Environment{
		Reload:     bed.reload,
		LogLevel:   level,
		LoadConfig: func() (*config.Server, error) { return config.LoadServer(path) },
	}
	go func() { ended <- Serve(ctx, settings, environment, log) }()
	bed.t.Cleanup(bed.end)
}

// end ends the instance if one runs, and waits for it.
func (bed *testbed) end() {
	bed.t.Helper()
	if bed.cancel == nil {
		return
	}
	bed.cancel()
	bed.cancel = nil
	if err := <-bed.ended; err != nil {
		bed.t.Error(err)
	}
}

// waitForLog waits until the instance's log contains a text.
func (bed *testbed) waitForLog(text string) {
	bed.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		logged := bed.log.String()
		if strings.Contains(logged, text) {
			return
		}
		select {
		case <-bed.log.written:
		case <-timeout:
			bed.t.Fatalf("the log does not contain %q:\n%s", text, logged)
		}
	}
}

// waitForPage reads a console page's JSON into body until isWanted returns true.
func (bed *testbed) waitForPage(path string, body any, isWanted func() bool) {
	bed.t.Helper()
	var text []byte
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + bed.consoleAddress + path)
		if err != nil {
			continue
		}
		text, _ = io.ReadAll(response.Body) // a partial page fails to unmarshal
		if err := response.Body.Close(); err != nil {
			bed.t.Error(err)
		}
		if json.Unmarshal(text, &struct{ Body any }{body}) == nil && isWanted() {
			return
		}
	}
	bed.t.Fatalf("console page %s does not have the wanted content: %s", path, text)
}

package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"peppervale/internal/config"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
	"peppervale/internal/standin/proxy"
	"peppervale/internal/standin/registry"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/lesismal/nbio/taskpool.(*IOTaskPool).Go"))
}

// house is a machine list of two replicas, forwarders that dial one address, and whatever governor is served there.
type house struct {
	t             *testing.T
	dir           string
	listen, pages string
	list          *registry.Registry
	loop          *standin.Loop
	forwarders    []*proxy.Forwarder
	log           *logLines
	cancel        context.CancelFunc
	ended         chan error
	reload        chan struct{}
}

// logLines keeps a log for a test to wait on.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
	more chan struct{}
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(p)
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(p), nil
}

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func replica(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 9} }

func build(t *testing.T, forwarders int) *house {
	h := &house{t: t, dir: t.TempDir(), listen: free(t), pages: free(t)}
	began := time.Now()
	h.loop = standin.NewLoop(func() model.Microseconds { return model.Microseconds(time.Since(began) / time.Microsecond) })
	t.Cleanup(h.loop.Stop)
	engine, err := proxy.NewEngine()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	if h.list, err = registry.New(h.loop, "127.0.0.1:0", "recipe", func(invariants.Seen) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.list.Close)
	h.loop.Do(func() {
		for n := range byte(2) {
			h.list.Set(registry.Entry{ID: replica(n + 1), Zone: "govan"})
		}
		for k := range forwarders {
			f := proxy.New(h.loop, engine, proxy.Facts{Name: fmt.Sprint("till-", k), Zone: "govan", Rate: 2, Redial: 50 * model.Millisecond,
				ConnectFor: model.Second, StreamsOnly: true, Governors: []proxy.Governor{{Name: "g", Address: h.listen}}}, uint64(k), func(invariants.Seen) {})
			f.Start(nil)
			h.forwarders = append(h.forwarders, f)
		}
	})
	t.Cleanup(func() {
		h.loop.Do(func() {
			for _, f := range h.forwarders {
				f.Kill()
			}
		})
	})
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return h
}

// file gives the governor's file with more lines in its block channel.
func (h *house) file(channel string) string {
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
`, h.listen, h.pages, channel, h.list.Addr())
}

func (h *house) write(text string) string {
	path := filepath.Join(h.dir, "governor.hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		h.t.Fatal(err)
	}
	return path
}

// serve starts a governor on the file; end ends it.
func (h *house) serve() {
	h.t.Helper()
	path := h.write(h.file(""))
	g, err := config.LoadServer(path)
	if err != nil {
		h.t.Fatal(err)
	}
	h.log = &logLines{more: make(chan struct{}, 1)}
	log, threshold, err := NewLog(h.log, "info")
	if err != nil {
		h.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.ended, h.reload = cancel, make(chan error, 1), make(chan struct{})
	go func() {
		h.ended <- Serve(ctx, g, Outside{Reload: h.reload, Threshold: threshold, Read: func() (*config.Server, error) { return config.LoadServer(path) }}, log)
	}()
	h.t.Cleanup(h.end)
}

func (h *house) end() {
	if h.cancel == nil {
		return
	}
	h.cancel()
	h.cancel = nil
	if err := <-h.ended; err != nil {
		h.t.Error(err)
	}
}

// told waits until the log holds a word.
func (h *house) told(word string) {
	h.t.Helper()
	late := time.After(20 * time.Second)
	for {
		h.log.mu.Lock()
		text := h.log.text.String()
		h.log.mu.Unlock()
		if strings.Contains(text, word) {
			return
		}
		select {
		case <-h.log.more:
		case <-late:
			h.t.Fatalf("the log does not tell %q:\n%s", word, text)
		}
	}
}

// page gets a console page as JSON into body, until ok.
func (h *house) page(path string, body any, ok func() bool) {
	h.t.Helper()
	var text []byte
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + h.pages + path)
		if err != nil {
			continue
		}
		text, _ = io.ReadAll(r.Body)
		r.Body.Close()
		if json.Unmarshal(text, &struct{ Body any }{body}) == nil && ok() {
			return
		}
	}
	h.t.Fatalf("%s does not come to say what is wanted: %s", path, text)
}

type orders struct {
	Causes []struct {
		Life   uint64
		Orders []string
		Said   []string
	}
}

// A governor is ended and started again: the next life knows what the one before published and still answers why it did.
func TestTheNextLifeKnows(t *testing.T) {
	h := build(t, 2)
	h.serve()
	h.told("gate open")
	var joined []struct{ Table int }
	h.page("/forwarders?as=json", &joined, func() bool { return len(joined) == 2 && joined[0].Table == 0 && joined[1].Table == 0 })
	var first orders
	h.page("/orders?about=on+table&as=json", &first, func() bool { return len(first.Causes) > 0 })
	h.end()
	h.serve()
	h.told(`"life":2,"listed":2`)
	var before struct {
		Known      bool
		Life       uint64
		Forwarders map[string]int `json:"forwarders_by_table"`
		Tables     []struct{ Lines []any }
	}
	h.page("/before?as=json", &before, func() bool { return before.Known })
	if before.Life != 1 || before.Forwarders["0"] != 2 || len(before.Tables) != 1 || len(before.Tables[0].Lines) != 2 {
		t.Errorf("what the life before published: %+v", before)
	}
	var again orders
	h.page("/orders?about=on+table&as=json", &again, func() bool {
		return len(again.Causes) > 0 && again.Causes[len(again.Causes)-1].Life == 1
	})
}

// A file that changes in service is taken, one that cannot be is refused with its reason, and a broken one too; after each the
// old settings or the new ones hold, as the page says.
func TestReloadInService(t *testing.T) {
	h := build(t, 1)
	h.serve()
	h.told(`"serving"`)
	for _, c := range []struct{ text, told, intake string }{
		{h.file("intake = 77"), "intake: 77, was 500", "77 sums a second"},
		{h.file("intake = 88\n  pace = 5"), "what waits was given its time by it", "77 sums a second"},
		{h.file("intake = "), "the file cannot be read", "77 sums a second"},
		{h.file("intake = 99"), "intake: 99, was 77", "99 sums a second"},
	} {
		h.write(c.text)
		h.reload <- struct{}{}
		h.told(c.told)
		var settings [][2]string
		h.page("/settings?as=json", &settings, func() bool {
			for _, s := range settings {
				if s[0] == "intake" {
					return s[1] == c.intake
				}
			}
			return false
		})
	}
}

// A second daemon on the same folder, and one on a folder of a later version, say so and touch nothing.
func TestAFolderThatCannotBeHad(t *testing.T) {
	h := build(t, 0)
	h.serve()
	h.told(`"serving"`)
	g, err := config.LoadServer(filepath.Join(h.dir, "governor.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	log, _, _ := NewLog(io.Discard, "error")
	if err := Serve(context.Background(), g, Outside{}, log); err == nil || !strings.Contains(err.Error(), "in use by another process; end that one") {
		t.Fatalf("a second daemon: %v", err)
	}
	h.end()
	db, err := bolt.Open(filepath.Join(g.State, "state.db"), 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	// Form 3, with the checksum that the store puts before each value.
	err = db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket([]byte("state")).Put([]byte("form"), []byte{0x9f, 0x78, 0x41, 0x7e, 0, 0, 0, 0, 0, 0, 0, 3})
	})
	db.Close()
	if err != nil {
		t.Fatal(err)
	}
	if err := Serve(context.Background(), g, Outside{}, log); err == nil || !strings.Contains(err.Error(), "of a newer form") {
		t.Fatalf("a later version's folder: %v", err)
	}
}

// The state is damaged while nobody runs: the next life says so, counts on above the clock, and serves.
func TestADamagedStateIsSaid(t *testing.T) {
	h := build(t, 1)
	h.serve()
	h.told("gate open")
	h.end()
	if err := os.WriteFile(filepath.Join(h.dir, "state", "state.db"), []byte("no store"), 0o644); err != nil {
		t.Fatal(err)
	}
	h.serve()
	h.told("of the state this cannot be trusted")
	h.told("the life's number was lost")
	h.told("gate open")
}

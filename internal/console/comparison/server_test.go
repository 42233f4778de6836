package comparison

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"peppervale/internal/controller"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// overviewDeadline bounds the wait for an overview.
	overviewDeadline = 20 * time.Second

	// maxReportTime bounds the time until the overview shows a failure.
	maxReportTime = 15 * time.Second
)

// failure is how a stub console fails.
type failure string

const (
	noFailure   failure = ""
	hangs       failure = "hangs"
	garbage     failure = "garbage"
	tooLarge    failure = "too large"
	unavailable failure = "unavailable"
)

// stubConsole is a substitute for the console of a controller with one replica and one proxy.
type stubConsole struct {
	name    string
	state   string        // of the replica
	failure atomic.Value  // a failure
	release chan struct{} // closed at the end of the test, to end requests that hang
}

func newStubConsole(t *testing.T, name, state string) (console *stubConsole, url string) {
	t.Helper()
	console = &stubConsole{name: name, state: state, release: make(chan struct{})}
	console.failure.Store(noFailure)
	server := httptest.NewServer(console)
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(console.release) })
	return console, server.URL
}

// ServeHTTP responds with a page of the console, or fails in the selected way.
func (c *stubConsole) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch c.failure.Load() {
	case hangs:
		select {
		case <-c.release:
		case <-r.Context().Done():
		}
	case garbage:
		respond(w, `{"governor": "x", "body": 7}`)
	case tooLarge:
		respond(w, strings.Repeat("x", maxPageBytes+10_000))
	case unavailable:
		http.Error(w, "the controller has not finished a step", http.StatusServiceUnavailable)
	default:
		respond(w, c.page(r.URL.Path))
	}
}

// respond writes a text. It ignores errors, as the poller may have cancelled the request.
func respond(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
}

func (c *stubConsole) page(path string) string {
	var body string
	switch path {
	case "/":
		body = `{"gate": "open", "forwarders_joined": 1, "listed_ready": 1, "list_age": "1.0 s ago"}`
	case "/replicas":
		body = fmt.Sprintf(`[{"address": "127.0.0.1:80", "listed": "ready", "state": %q, "withdrawn": %v, "part": 1}]`,
			c.state, c.state == "resting")
	case "/forwarders":
		body = fmt.Sprintf(`[{"name": "<b>%s</b>", "zone": "govan", "table": 0}]`, c.name)
	}
	return fmt.Sprintf(`{"governor": %q, "life": 3, "at_us": 5, "channel": {"version": 9, "queue_lines": 1}, "body": %s}`,
		c.name, body)
}

func get(t *testing.T, server *Server, path string) (status int, text string) {
	t.Helper()
	response, err := http.Get("http://" + server.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	return response.StatusCode, string(body)
}

// awaitOverview waits until the overview meets a condition, and returns the overview.
func awaitOverview(t *testing.T, server *Server, expectation string, condition func(overviewBody) bool) overviewBody {
	t.Helper()
	var text string
	for deadline := time.Now().Add(overviewDeadline); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		_, text = get(t, server, "/?as=json")
		var page struct{ Body overviewBody }
		if json.Unmarshal([]byte(text), &page) == nil && condition(page.Body) {
			return page.Body
		}
	}
	t.Fatalf("the overview does not show %s within overviewDeadline:\n%s", expectation, text)
	return overviewBody{}
}

func bothCompared(overview overviewBody) bool {
	return overview.ComparedCount == 2
}

// startComparison starts a server of two stub consoles and an address without a console. The first controller sends
// requests to a replica that the second controller has ejected.
func startComparison(t *testing.T) (server *Server, secondConsole *stubConsole) {
	t.Helper()
	_, firstURL := newStubConsole(t, "govan-1", "serving")
	secondConsole, secondURL := newStubConsole(t, "partick-1", "resting")
	consoles := []string{strings.TrimPrefix(firstURL, "http://"), secondURL + "/", "127.0.0.1:1"}
	server, err := Listen("127.0.0.1:0", consoles, controller.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	t.Cleanup(server.Close)
	return server, secondConsole
}

func TestOverviewShowsDisagreementAndUnreachableConsole(t *testing.T) {
	server, _ := startComparison(t)
	overview := awaitOverview(t, server, "a disagreement", func(overview overviewBody) bool {
		return bothCompared(overview) && len(overview.Disagreements) == 1
	})
	disagreement := overview.Disagreements[0]
	if disagreement.Kind != stateDiffers || disagreement.Subject != "127.0.0.1:80" {
		t.Errorf("want stateDiffers about 127.0.0.1:80, got %+v", disagreement)
	}
	if unreachable := overview.Controllers[2]; unreachable.ViewAge != "never" || unreachable.Error == "" {
		t.Errorf("controller that never responded: want no view and an error, got %+v", unreachable)
	}
}

func TestPagesAreServedWithNamesEscaped(t *testing.T) {
	server, _ := startComparison(t)
	awaitOverview(t, server, "a comparison of two controllers", bothCompared)
	for _, path := range []string{"/", "/replicas", "/forwarders", "/replicas?about=127", "/forwarders?as=json"} {
		status, text := get(t, server, path)
		wantHTML := !strings.Contains(path, "as=")
		if status != 200 || strings.Contains(text, "<b>govan") || wantHTML != strings.Contains(text, "</html>") {
			t.Errorf("%s: want a page with escaped names and status 200, got %d %s", path, status, text)
		}
	}
	_, text := get(t, server, "/replicas?as=json")
	if !strings.Contains(text, "resting, listed ready, withdrawn") || !strings.Contains(text, "serving, listed ready") {
		t.Errorf("replicas do not show both reported states: %s", text)
	}
	for path, want := range map[string]int{"/nope": 404, "/replicas/x": 404, "/" + strings.Repeat("x", 2000): 414} {
		if status, _ := get(t, server, path); status != want {
			t.Errorf("%s: unexpected status %d", path, status)
		}
	}
}

// TestLastViewOfFailingConsoleIsShown guards against failures of one console that delay the pages or the views of other
// controllers. The second console fails in every way in turn. Its last view is shown with the age and the error, and
// the first controller's view stays recent.
func TestLastViewOfFailingConsoleIsShown(t *testing.T) {
	server, secondConsole := startComparison(t)
	awaitOverview(t, server, "a comparison of two controllers", bothCompared)
	for failure, reason := range map[failure]string{
		garbage:     "is not a peppervale console's",
		tooLarge:    "more than",
		unavailable: "has not finished a step",
		hangs:       "Timeout exceeded",
	} {
		secondConsole.failure.Store(failure)
		start := time.Now()
		overview := awaitOverview(t, server, string(failure), func(overview overviewBody) bool {
			return strings.Contains(overview.Controllers[1].Error, reason)
		})
		failedController := overview.Controllers[1]
		if failedController.Name != "partick-1" || failedController.Incarnation != 3 || failedController.ViewAge == "never" {
			t.Errorf("failure %q: want the last view of the failed console, got %+v", failure, failedController)
		}
		if !overview.Controllers[0].Recent {
			t.Errorf("failure %q: the view of the other controller is not recent: %+v", failure, overview.Controllers[0])
		}
		if elapsed := time.Since(start); elapsed > maxReportTime {
			t.Errorf("failure %q: shown after %s, over maxReportTime", failure, elapsed)
		}
	}
	awaitOverview(t, server, "an old view that is not compared", func(overview overviewBody) bool {
		return !overview.Controllers[1].Recent && overview.ComparedCount == 1 && len(overview.Disagreements) == 0
	})
	secondConsole.failure.Store(noFailure)
	awaitOverview(t, server, "a recent view after the failures", func(overview overviewBody) bool {
		return overview.Controllers[1].Recent && bothCompared(overview)
	})
}

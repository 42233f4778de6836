package console

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"
)

// jsonPath returns the path of a page's JSON.
func jsonPath(path string) string {
	if strings.Contains(path, "?") {
		return path + "&as=json"
	}
	return path + "?as=json"
}

// TestEachPageIsServedAsHTMLAndJSON shows that every page is available as HTML and as JSON, and states the age of its
// view.
func TestEachPageIsServedAsHTMLAndJSON(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	for _, path := range pagePaths {
		status, text, _ := fixture.get(path)
		if status != 200 || !strings.Contains(text, "state as of") || !strings.Contains(text, "</html>") {
			t.Errorf("%s as HTML: want a page with status 200, got %d\n%s", path, status, text)
		}
		status, text, _ = fixture.get(jsonPath(path))
		var page struct {
			Name        string `json:"governor"`
			Incarnation int    `json:"life"`
			Body        any
		}
		err := json.Unmarshal([]byte(text), &page)
		if status != 200 || err != nil || page.Name != "govan-1" || page.Incarnation != 3 || page.Body == nil {
			t.Errorf("%s as JSON: status %d, error %v\n%s", path, status, err, text)
		}
	}
}

func TestEachPlotIsServedAsSVG(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	for name := range plots {
		if status, text, _ := fixture.get("/plot/" + name); status != 200 || !strings.Contains(text, "<svg") {
			t.Errorf("plot %s: want SVG with status 200, got %d", name, status)
		}
	}
}

func TestReplicaListShowsStates(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	status, text, _ := fixture.get("/replicas?as=json")
	if status != 200 || strings.Count(text, `"state": "serving"`) != 6 {
		t.Errorf("want status 200 and 6 serving replicas, got: %s", text)
	}
}

func TestProxyPageShowsDecisionsAboutItsTable(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	status, text, _ := fixture.get("/forwarders/till?as=json")
	if status != 200 || !strings.Contains(text, "on table") || !strings.Contains(text, "joined till") {
		t.Errorf("want status 200 and decisions about the proxy's join and its table, got: %s", text)
	}
}

// TestMarkupInNamesAndFiltersIsEscaped guards against script injection: a proxy's name or a filter may contain markup.
func TestMarkupInNamesAndFiltersIsEscaped(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	markupPaths := []string{
		"/forwarders/" + "%3Cscript%3Ealert(1)%3C%2Fscript%3E&%22'",
		"/orders?about=%3Cscript%3E",
	}
	for _, path := range append(markupPaths, pagePaths...) {
		_, text, _ := fixture.get(path)
		if strings.Contains(text, "<script>alert") || strings.Contains(text, `value="<script>`) {
			t.Errorf("%s contains unescaped markup of a name or filter", path)
		}
	}
	status, text, _ := fixture.get("/forwarders")
	if status != 200 || !strings.Contains(text, "&lt;script&gt;") || !strings.Contains(text, longName) {
		t.Errorf("want status 200, the escaped name and the long name, got: %s", text)
	}
}

func TestUnknownAndOverlongPathsAreRejected(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	for path, want := range map[string]int{
		"/nope":                         404,
		"/replicas/127.0.0.99:80":       404,
		"/replicas/../../etc/passwd":    404,
		"/forwarders/%2e%2e":            404,
		"/tables/x":                     404,
		"/plot/x.svg":                   404,
		"/zones/govan":                  404,
		"/" + strings.Repeat("x", 2000): 414,
	} {
		if status, text, _ := fixture.get(path); status != want || strings.Contains(text, "<html") {
			t.Errorf("%s: want an error status without a page, got %d %s", path, status, text)
		}
	}
}

func TestPostRequestIsRejected(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	response, err := http.Post("http://"+fixture.console.Addr()+"/", "text/plain", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(t, response)
	if response.StatusCode != http.StatusMethodNotAllowed {
		t.Fatalf("a POST request gets status %d, want 405", response.StatusCode)
	}
}

// TestDetailsAreCopiedOnlyForPages shows that samples and readiness checks do not request detailed views.
func TestDetailsAreCopiedOnlyForPages(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	for range 3 {
		fixture.console.takeSample()
		// No full endpoint list was received in this incarnation.
		if status, _, _ := fixture.get("/ready"); status != 503 {
			t.Fatalf("/ready responds with status %d, want 503", status)
		}
	}
	fixture.awaitSteps(5)
	if fixture.controller.View().Detail != nil {
		t.Fatal("details are copied although no page was requested")
	}
	if status, _, _ := fixture.get("/"); status != 200 || fixture.controller.View().Detail == nil {
		t.Fatal("details are not copied although a page was requested")
	}
}

// awaitSteps waits for a number of further steps of the event loop.
func (f *consoleFixture) awaitSteps(steps uint64) {
	f.t.Helper()
	target := f.controller.View().Steps + steps
	for deadline := time.Now().Add(10 * time.Second); f.controller.View().Steps < target; {
		if time.Now().After(deadline) {
			f.t.Fatal("the event loop has not taken enough steps within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

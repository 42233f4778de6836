package comparison

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/model"
)

var update = flag.Bool("update", false, "rewrite the golden pages in testdata")

// consolePage returns a golden page of package console. Both packages are tested with it, so that they agree on every
// key.
func consolePage(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func parseConsolePages(t *testing.T) *reportedView {
	t.Helper()
	view, err := parseView(consolePages{
		overview: consolePage(t, "overview.json"),
		replicas: consolePage(t, "replicas.json"),
		proxies:  consolePage(t, "forwarders.json"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// TestEachValueOfConsolePagesIsParsed checks every value that is read from a controller's console.
func TestEachValueOfConsolePagesIsParsed(t *testing.T) {
	want := &reportedView{
		name: "govan-1", incarnation: 26, version: 4, at: 99_500_000, safeMode: "shut", unreportedReplicas: 1,
		connectedProxies: 1, boundProxies: 1, readyReplicas: 82, endpointListAge: "13s ago", saturation: 0.31,
		queuedEntries: 5, queueLimit: 100,
		replicas: map[string]reportedReplica{
			"10.0.0.1:81": {
				Address: "10.0.0.1:81", Zone: "partick", ListedStatus: "ready", State: "resting", Withdrawn: true,
				SlowStartFactor: 0.43, ErrorRate: 0.45, ReportAge: "8.0 s ago",
			},
			"10.0.0.2:82": {
				Address: "10.0.0.2:82", Zone: "govan", ListedStatus: "draining", State: "serving",
				SlowStartFactor: 0.53, ErrorRate: 0.55, ReportAge: "2.0 s ago",
			},
		},
		proxies: map[string]reportedProxy{"till-1": {Name: "till-1", Zone: "partick", Table: 6}},
	}
	if got := parseConsolePages(t); !reflect.DeepEqual(got, want) {
		t.Errorf("parsed %+v; want %+v", got, want)
	}
}

// newIdleServer returns a server that neither polls nor listens.
func newIdleServer(now model.Microseconds, controllers []polledController, disagreements []disagreement) *Server {
	return &Server{
		now:           func() model.Microseconds { return now },
		poller:        &poller{controllers: controllers},
		disagreements: disagreements,
		comparedCount: 7,
	}
}

// goldenServer returns a server of one controller with the given number of disagreements.
func goldenServer(t *testing.T, count int) *Server {
	t.Helper()
	controllers := []polledController{{
		address: "http://127.0.0.1:7780", view: parseConsolePages(t), receivedAt: 199 * model.Second,
		lastError: "a try failed", polls: 3, failures: 2,
	}}
	disagreementList := make([]disagreement, count)
	for i := range disagreementList {
		disagreementList[i] = disagreement{
			Kind:    sendsToLeaving,
			Subject: "10.0.0.1:81",
			Sides:   []side{{"govan-1", "serving, listed ready"}},
			Since:   150 * model.Second,
		}
	}
	return newIdleServer(200*model.Second, controllers, disagreementList)
}

// TestEachPageMatchesItsGoldenJSON guards the JSON that programs parse: a changed key or value would break them.
func TestEachPageMatchesItsGoldenJSON(t *testing.T) {
	server := goldenServer(t, 1)
	for _, test := range []struct {
		file string
		path string
	}{
		{"overview.json", "/"},
		{"replicas.json", "/replicas"},
		{"forwarders.json", "/forwarders?about=till"},
	} {
		t.Run(test.file, func(t *testing.T) {
			checkGolden(t, filepath.Join("testdata", test.file), pageAsJSON(t, server, test.path))
		})
	}
}

// TestEachPageRendersAsHTML guards against templates that use a field that the page's body does not have, with and
// without omitted rows.
func TestEachPageRendersAsHTML(t *testing.T) {
	for _, server := range []*Server{
		goldenServer(t, 1), goldenServer(t, maxShownDisagreements+1), newIdleServer(0, nil, nil),
	} {
		for _, path := range []string{"/", "/replicas", "/forwarders"} {
			response := httptest.NewRecorder()
			server.serve(response, httptest.NewRequest(http.MethodGet, path, nil))
			if text := response.Body.String(); response.Code != http.StatusOK || !strings.Contains(text, "</html>") {
				t.Errorf("%s: want a whole page with status 200, got %d %s", path, response.Code, text)
			}
		}
	}
}

// TestOverviewJSONCountsOmittedDisagreements checks the key that is absent if all disagreements are shown.
func TestOverviewJSONCountsOmittedDisagreements(t *testing.T) {
	text := pageAsJSON(t, goldenServer(t, maxShownDisagreements+1), "/")
	if !bytes.Contains(text, []byte(`"disagreements_left_out": 1,`)) {
		t.Errorf("the overview does not count the disagreement beyond the limit: %.600s", text)
	}
}

// TestMatrixJSONCountsOmittedRows checks the key that is absent if all rows are shown.
func TestMatrixJSONCountsOmittedRows(t *testing.T) {
	view := &reportedView{name: "govan-1", proxies: map[string]reportedProxy{}}
	for n := range maxRows + 2 {
		view.proxies[string(rune(0x4e00+n))] = reportedProxy{}
	}
	server := newIdleServer(model.Second, []polledController{{
		address: "http://127.0.0.1:7780", view: view, receivedAt: model.Second,
	}}, nil)
	if text := pageAsJSON(t, server, "/forwarders"); !bytes.Contains(text, []byte(`"rows_left_out": 2`)) {
		t.Errorf("the matrix does not count the two rows beyond the limit: %.600s", text)
	}
}

func pageAsJSON(t *testing.T, server *Server, path string) []byte {
	t.Helper()
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Accept", "application/json")
	response := httptest.NewRecorder()
	server.serve(response, request)
	if response.Code != http.StatusOK || response.Header().Get("Content-Type") != "application/json" {
		t.Fatalf("%s: want JSON with status 200, got %d %s", path, response.Code, response.Body)
	}
	return response.Body.Bytes()
}

// checkGolden reports bytes that differ from the golden file. With -update it first writes them to the file.
func checkGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant the golden file\n%s", file, got, want)
	}
}

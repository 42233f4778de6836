package comparison

import (
	"bytes"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"peppervale/internal/model"
)

var update = flag.Bool("update", false, "write the golden pages in testdata anew")

// readGolden reads the pages that package console's own golden test fixes, so that both sides agree on every key.
func readGolden(t *testing.T) *Belief {
	t.Helper()
	var pages [3][]byte
	for i, name := range []string{"overview.json", "replicas.json", "forwarders.json"} {
		text, err := os.ReadFile(filepath.Join("..", "testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		pages[i] = text
	}
	belief, err := read(pages[0], pages[1], pages[2])
	if err != nil {
		t.Fatal(err)
	}
	return belief
}

// TestConsolePagesAreRead asserts every value that is taken from a governor's console.
func TestConsolePagesAreRead(t *testing.T) {
	want := &Belief{
		Name: "govan-1", Life: 26, Version: 4, At: 99_500_000, Gate: "shut", Waits: 1, Joined: 1, Bound: 1, Ready: 82, List: "13s ago", Stress: 0.31, Queue: 5,
		QueueMost: 100,
		Replicas: map[string]Replica{
			"10.0.0.1:81": {Address: "10.0.0.1:81", Zone: "partick", Listed: "ready", State: "resting", Withdrawn: true, Part: 0.43, Errors: 0.45, Heard: "8.0 s ago"},
			"10.0.0.2:82": {Address: "10.0.0.2:82", Zone: "govan", Listed: "draining", State: "serving", Part: 0.53, Errors: 0.55, Heard: "2.0 s ago"},
		},
		Forwarders: map[string]Forwarder{"till-1": {Name: "till-1", Zone: "partick", Table: 6}},
	}
	if got := readGolden(t); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v; want %+v", got, want)
	}
}

// TestPagesAsJSON compares each page's JSON with the bytes that programs read today: its keys must not change.
func TestPagesAsJSON(t *testing.T) {
	const now = 200 * model.Second
	disagreement := Disagreement{Kind: SendsToLeaving, About: "10.0.0.1:81", Sides: []Side{{"govan-1", "serving, listed ready"}}, Since: 150 * model.Second}
	compared := make([]Disagreement, rowsShown+1) // one more than are shown
	for i := range compared {
		compared[i] = disagreement
	}
	seen := []Seen{{Address: "http://127.0.0.1:7780", Belief: readGolden(t), At: 199 * model.Second, Error: "a try failed", Tries: 3, Fails: 2}}
	few := &Server{now: func() model.Microseconds { return now }, poller: &Poller{seen: seen}, compared: compared[:1], fresh: 7}
	many := &Server{now: few.now, poller: few.poller, compared: compared, fresh: 7}
	for _, c := range []struct {
		file   string
		server *Server
		path   string
	}{
		{"overview.json", few, "/"},
		{"replicas.json", few, "/replicas"},
		{"forwarders.json", few, "/forwarders?about=till"},
	} {
		t.Run(c.file, func(t *testing.T) { checkGolden(t, filepath.Join("testdata", c.file), pageAsJSON(t, c.server, c.path)) })
	}
	if text := pageAsJSON(t, many, "/"); !bytes.Contains(text, []byte(`"disagreements_left_out": 1,`)) {
		t.Errorf("an overview with one disagreement too many does not say so: %.600s", text)
	}
}

// TestRowsLeftOutAsJSON asserts the key that is absent from a table that is shown whole.
func TestRowsLeftOutAsJSON(t *testing.T) {
	belief := &Belief{Name: "govan-1", Forwarders: map[string]Forwarder{}}
	for n := range rowsMost + 2 {
		belief.Forwarders[string(rune(0x4e00+n))] = Forwarder{}
	}
	server := &Server{now: func() model.Microseconds { return model.Second }, poller: &Poller{seen: []Seen{{Address: "http://127.0.0.1:7780", Belief: belief, At: model.Second}}}}
	if text := pageAsJSON(t, server, "/forwarders"); !bytes.Contains(text, []byte(`"rows_left_out": 2`)) {
		t.Errorf("a table with two rows too many does not say so: %.600s", text)
	}
}

func pageAsJSON(t *testing.T, server *Server, path string) []byte {
	t.Helper()
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Accept", "application/json")
	answer := httptest.NewRecorder()
	server.serve(answer, request)
	if answer.Code != http.StatusOK || answer.Header().Get("Content-Type") != "application/json" {
		t.Fatalf("%s: %d %s", path, answer.Code, answer.Body)
	}
	return answer.Body.Bytes()
}

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
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
}

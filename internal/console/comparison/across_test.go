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

// stub speaks for a governor's console; what it does wrong can be set.
type stub struct {
	name, state string
	wrong       atomic.Value // string: "", "hangs", "garbage", "huge", "503"
	hang        chan struct{}
}

func (g *stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wrong, _ := g.wrong.Load().(string)
	switch wrong {
	case "hangs":
		select {
		case <-g.hang:
		case <-r.Context().Done():
		}
		return
	case "garbage":
		fmt.Fprint(w, `{"governor": "x", "body": 7}`)
		return
	case "huge":
		for range pageBytes/1000 + 10 {
			if _, err := w.Write(make([]byte, 1000)); err != nil {
				return
			}
		}
		return
	case "503":
		http.Error(w, "the governor has not finished a step", http.StatusServiceUnavailable)
		return
	}
	head := fmt.Sprintf(`{"governor": %q, "life": 3, "at_us": 5, "channel": {"version": 9, "queue_lines": 1}, "body": `, g.name)
	switch r.URL.Path {
	case "/":
		fmt.Fprint(w, head, `{"gate": "open", "forwarders_joined": 1, "listed_ready": 1, "list_age": "1.0 s ago"}}`)
	case "/replicas":
		fmt.Fprintf(w, `%s[{"address": "127.0.0.1:80", "listed": "ready", "state": %q, "withdrawn": %v, "part": 1}]}`, head, g.state, g.state == "resting")
	case "/forwarders":
		fmt.Fprintf(w, `%s[{"name": "<b>%s</b>", "zone": "govan", "table": 0}]}`, head, g.name)
	}
}

func get(t *testing.T, s *Server, path string) (int, string) {
	t.Helper()
	r, err := http.Get("http://" + s.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(text)
}

type overviewPage struct{ Body overview }

// until looks at the overview until it is as wanted.
func until(t *testing.T, s *Server, what string, ok func(o overview) bool) overview {
	t.Helper()
	var text string
	for late := time.Now().Add(20 * time.Second); time.Now().Before(late); time.Sleep(50 * time.Millisecond) {
		var p overviewPage
		if _, text = get(t, s, "/?as=json"); json.Unmarshal([]byte(text), &p) == nil && ok(p.Body) {
			return p.Body
		}
	}
	t.Fatalf("%s: it does not come to that:\n%s", what, text)
	return overview{}
}

// Two governors side by side, one of them in every kind of trouble in turn: its last known view stays with its age and the reason,
// the other's is fresh all the while, and pages do not wait.
func TestSideBySide(t *testing.T) {
	a, b := &stub{name: "govan-1", state: "serving"}, &stub{name: "partick-1", state: "resting", hang: make(chan struct{})}
	one, two := httptest.NewServer(a), httptest.NewServer(b)
	defer one.Close()
	defer two.Close()
	defer close(b.hang)
	s, err := Listen("127.0.0.1:0", []string{strings.TrimPrefix(one.URL, "http://"), two.URL + "/", "127.0.0.1:1"}, controller.Clock())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	o := until(t, s, "both answer", func(o overview) bool { return o.Compared == 2 && len(o.Disagreements) == 1 })
	if d := o.Disagreements[0]; d.Kind != BeliefDiffers || d.About != "127.0.0.1:80" || o.Governors[2].Age != "never" || o.Governors[2].Error == "" {
		t.Fatalf("%+v", o)
	}
	for _, path := range []string{"/", "/replicas", "/forwarders", "/replicas?about=127", "/forwarders?as=json"} {
		if status, text := get(t, s, path); status != 200 || strings.Contains(text, "<b>govan") || strings.Contains(path, "as=") == strings.Contains(text, "</html>") {
			t.Errorf("%s: %d %s", path, status, text)
		}
	}
	if _, text := get(t, s, "/replicas?as=json"); !strings.Contains(text, "resting, listed ready, withdrawn") || !strings.Contains(text, "serving, listed ready") {
		t.Errorf("replicas: %s", text)
	}
	for path, want := range map[string]int{"/nope": 404, "/replicas/x": 404, "/" + strings.Repeat("x", 2000): 414} {
		if status, _ := get(t, s, path); status != want {
			t.Errorf("%s: %d", path, status)
		}
	}
	for wrong, why := range map[string]string{"garbage": "is not a peppervale console's", "huge": "more than", "503": "has not finished a step", "hangs": "Timeout exceeded"} {
		b.wrong.Store(wrong)
		began := time.Now()
		o = until(t, s, wrong, func(o overview) bool { return strings.Contains(o.Governors[1].Error, why) })
		if g := o.Governors[1]; g.Name != "partick-1" || g.Life != 3 || g.Age == "never" || !o.Governors[0].Fresh {
			t.Errorf("%s: %+v", wrong, o.Governors)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Errorf("%s: told after %s", wrong, took)
		}
	}
	until(t, s, "old", func(o overview) bool { return !o.Governors[1].Fresh && o.Compared == 1 && len(o.Disagreements) == 0 })
	b.wrong.Store("")
	until(t, s, "back", func(o overview) bool { return o.Governors[1].Fresh && o.Compared == 2 })
}

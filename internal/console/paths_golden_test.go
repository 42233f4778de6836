package console

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// samePinned fails unless the text is that of the golden file.
func samePinned(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// goldenPaths are the console's paths as they were first published.
var goldenPaths = []string{
	"/", "/zones", "/replicas", "/replicas/127.0.0.1:80", "/forwarders", "/forwarders/till",
	"/tables", "/tables/0", "/orders", "/orders?about=table", "/settings", "/before", "/group",
	"/plot/joined.svg", "/plot/ready.svg", "/plot/queue.svg", "/plot/lines.svg", "/plot/messages.svg",
	"/plot/folds.svg", "/live", "/metrics", "/ready", "/nowhere",
}

// answer gives a path's status, kind of content and title. It reads no more than the head of a stream without an end.
func answer(t *testing.T, d *desk, path string) string {
	t.Helper()
	head, err := http.Get("http://" + d.pages.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	head.Body.Close()
	line := fmt.Sprintf("%s %d %s", path, head.StatusCode, head.Header.Get("Content-Type"))
	if path == "/live" {
		return line
	}
	_, text, _ := d.get(path)
	if title := regexp.MustCompile(`<title>(.*)</title>`).FindStringSubmatch(text); title != nil {
		line += " " + title[1]
	}
	return line
}

func TestGoldenPaths(t *testing.T) {
	d := open(t, 6, 0)
	var text strings.Builder
	for _, path := range goldenPaths {
		fmt.Fprintln(&text, answer(t, d, path))
	}
	samePinned(t, "paths.txt", text.String())
}

// TestGoldenMetrics pins the names, types, help texts and labels of /metrics; the figures change from run to run.
func TestGoldenMetrics(t *testing.T) {
	d := open(t, 6, 0)
	_, text, _ := d.get("/metrics")
	var lines []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndex(line, " ")] + "\n"
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	samePinned(t, "metrics.txt", strings.Join(lines, ""))
}

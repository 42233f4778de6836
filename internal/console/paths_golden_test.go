package console

import (
	"fmt"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func goldenFile(name string) string {
	return filepath.Join("testdata", "golden", name)
}

// goldenPaths are the paths of the console that clients rely on, and one that does not exist.
var goldenPaths = []string{
	"/", "/zones", "/replicas", "/replicas/127.0.0.1:80", "/forwarders", "/forwarders/till",
	"/tables", "/tables/0", "/orders", "/orders?about=table", "/settings", "/before", "/group",
	"/plot/joined.svg", "/plot/ready.svg", "/plot/queue.svg", "/plot/lines.svg", "/plot/messages.svg",
	"/plot/folds.svg", "/live", "/metrics", "/ready", "/nowhere",
}

var titleElement = regexp.MustCompile(`<title>(.*)</title>`)

// describeResponse returns a path's status, content type and title. It reads only the header of the live stream, which
// does not end.
func describeResponse(t *testing.T, fixture *consoleFixture, path string) string {
	t.Helper()
	response, err := http.Get("http://" + fixture.console.Addr() + path)
	if err != nil {
		t.Fatal(err)
	}
	closeBody(t, response)
	line := fmt.Sprintf("%s %d %s", path, response.StatusCode, response.Header.Get("Content-Type"))
	if path == "/live" {
		return line
	}
	_, text, _ := fixture.get(path)
	if title := titleElement.FindStringSubmatch(text); title != nil {
		line += " " + title[1]
	}
	return line
}

func TestResponsesOfPathsMatchGoldenFile(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	var text strings.Builder
	for _, path := range goldenPaths {
		fmt.Fprintln(&text, describeResponse(t, fixture, path))
	}
	compareGolden(t, goldenFile("paths.txt"), []byte(text.String()))
}

// TestMetricsMatchGoldenFile guards the names, types, help texts and labels of /metrics. It ignores the values, as they
// change from run to run.
func TestMetricsMatchGoldenFile(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	_, text, _ := fixture.get("/metrics")
	var lines []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "#") {
			line = line[:strings.LastIndex(line, " ")] + "\n"
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	compareGolden(t, goldenFile("metrics.txt"), []byte(strings.Join(lines, "")))
}

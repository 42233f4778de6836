package console

import (
	"net/http"
	"strings"
	"testing"
)

func TestLiveStreamStartsWithCurrentState(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	response, err := http.Get("http://" + fixture.console.Addr() + "/live")
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(t, response)
	buffer := make([]byte, 300)
	n, err := response.Body.Read(buffer)
	want := "data: 3 forwarders, version 7, 12 lines wait, gate open, 6 of 6 replicas ready"
	if err != nil || !strings.HasPrefix(string(buffer[:n]), want) {
		t.Fatalf("first line of the live stream: %q, error %v", buffer[:n], err)
	}
}

func TestLiveStreamBeyondLimitIsRejected(t *testing.T) {
	fixture := startFixture(t, 6, 0)
	fixture.console.mu.Lock()
	fixture.console.openStreams = maxStreams
	fixture.console.mu.Unlock()
	if status, text, _ := fixture.get("/live"); status != 503 || !strings.Contains(text, "reload by hand") {
		t.Fatalf("stream beyond maxStreams: want status 503, got %d %s", status, text)
	}
}

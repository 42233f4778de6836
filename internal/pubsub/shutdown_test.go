package pubsub

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/resp"
)

// TestGracefulShutdown: A proxy is asked to join another controller. One that joins meanwhile is not admitted only to
// be sent away again: it gets a Retry-After.
func TestGracefulShutdown(t *testing.T) {
	harness := startServer(t, nil)
	client, _ := harness.join(t, "till")
	done := make(chan struct{})
	go func() {
		harness.server.Shutdown(2 * time.Second)
		close(done)
	}()
	if value, _ := client.Next(); value.Kind != resp.Push || value.Items[0].Text != "elsewhere" {
		t.Fatalf("during a shutdown a proxy receives %v", value)
	}
	late := harness.dial(t)
	late.Send(append(helloCommand(), joinCommand("late", "kelvin")...))
	late.Next()
	if value, _ := late.Next(); value.Kind != resp.SimpleError || !strings.HasPrefix(value.Text, "ENDING ") {
		t.Fatalf("during a shutdown a join is answered by %v", value)
	}
	client.Close()
	<-done
}

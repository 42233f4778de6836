package pubsub

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/resp"
)

// TestGracefulShutdownMovesProxiesAndRejectsJoins: A connected proxy is asked to join another controller. A proxy that
// tries to join during the shutdown is rejected with a retry delay.
func TestGracefulShutdownMovesProxiesAndRejectsJoins(t *testing.T) {
	harness := startServer(t, nil)
	client, _ := harness.join(t, "till")
	done := make(chan struct{})
	go func() {
		harness.server.Shutdown(2 * time.Second)
		close(done)
	}()
	if value, _ := client.Next(); value.Kind != resp.Push || value.Items[0].Text != "elsewhere" {
		t.Fatalf("a proxy receives %v during a shutdown, want the push elsewhere", value)
	}
	lateClient := harness.dial(t)
	lateClient.Send(append(helloCommand(), joinCommand("late", "kelvin")...))
	lateClient.Next()
	if value, _ := lateClient.Next(); value.Kind != resp.SimpleError || !strings.HasPrefix(value.Text, "ENDING ") {
		t.Fatalf("the reply to a join during a shutdown is %v, want an error with ENDING", value)
	}
	client.Close()
	<-done
}

package platform

import (
	"slices"
	"testing"
)

// TestProxyJoinsAndReceivesUpdates: The server does not answer a join. Published updates reach the proxy as platform
// messages, and its acknowledgement reaches the controller.
func TestProxyJoinsAndReceivesUpdates(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.dial(t).send("ping", "joined id 7 site kelvin rps 21.5 new 1")
	client.expectMessage("pong")
	harness.waitForEvent("connected 7 zone 1 rate 21.5 standing true")
	harness.publish(3, harness.setWithdrawn(9, true))
	client.expectMessage("update out s-9 ticket 3")
	harness.publish(4, harness.setWeight(1, 0.5), harness.setWeight(2, 1),
		harness.setWithdrawn(2, true), bindProxy(7), setQuota(0.9))
	client.expectMessage("update whole 1 lines s-1:0.5,s-2:1 out s-2 more 1")
	client.expectMessage("update classes read level 0.9 retry 1 ticket 4")
	harness.publish(-1, harness.setWeight(1, 0.55), harness.setWeight(2, 0))
	client.expectMessage("update lines s-1:0.55,s-2:0")
	client.send("applied id 7 seq 4 ms 310.4")
	harness.waitForEvent("acknowledged 7 4")
	client.Close()
	harness.waitForEvent("disconnected 7")
}

// TestNewerStreamReplacesOlder: If a proxy joins again before the end of its old stream was detected, the old stream
// ends and the controller is notified of both events in order.
func TestNewerStreamReplacesOlder(t *testing.T) {
	harness := startServer(t, nil)
	oldClient := harness.join(t, 7)
	newerClient := harness.dial(t).send("joined id 7 site govan rps 2 new 0")
	oldClient.expectMessage(closedConnection)
	harness.waitForEvent("connected 7 zone 0 rate 2 standing false")
	harness.mu.Lock()
	want := []string{
		"connected 7 zone 0 rate 1 standing true",
		"disconnected 7",
		"connected 7 zone 0 rate 2 standing false",
	}
	if !slices.Equal(harness.events, want) {
		t.Fatalf("unexpected events: %q", harness.events)
	}
	harness.mu.Unlock()
	harness.publish(1, harness.setWithdrawn(1, true))
	newerClient.expectMessage("update out s-1 ticket 1")
}

// TestBytesThatCannotBeDecodedEndStream: A joined connection that sends bytes that cannot be decoded is closed.
func TestBytesThatCannotBeDecodedEndStream(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.join(t, 7)
	client.Send([]byte("\x00\x01\x02"))
	client.expectMessage(closedConnection)
	harness.waitForEvent("disconnected 7")
}

// TestDisconnectBeforeAdmissionLeavesNoSubscriber: A stream that ends before the controller admits it leaves no
// subscriber, and the proxy's next stream is admitted.
func TestDisconnectBeforeAdmissionLeavesNoSubscriber(t *testing.T) {
	harness := startServer(t, nil)
	release := make(chan struct{})
	blocked := make(chan struct{})
	harness.steps <- func() { close(blocked); <-release } // the controller is busy
	<-blocked
	first := harness.dial(t).send(joinMessage(7), "ping")
	first.expectMessage("pong")
	first.Close()
	harness.waitForNoConnections()
	second := harness.dial(t).send("joined id 7 site govan rps 2 new 1", "ping")
	second.expectMessage("pong")
	close(release)
	harness.waitForEvent("connected 7 zone 0 rate 2 standing true")
	harness.publish(1, harness.setWithdrawn(1, true))
	second.expectMessage("update out s-1 ticket 1")
	if len(harness.server.publishedState.Subscribers) != 1 {
		t.Fatalf("%d subscribers, want 1", len(harness.server.publishedState.Subscribers))
	}
	harness.expectStreamOrder()
}

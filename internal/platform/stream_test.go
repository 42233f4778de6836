package platform

import (
	"slices"
	"testing"
)

// TestProxyJoinsAndReceivesUpdates: The server does not answer a join. Published updates reach the proxy as platform
// messages, and its acknowledgement reaches the controller.
func TestProxyJoinsAndReceivesUpdates(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.dial(t).say("ping", "joined id 7 site kelvin rps 21.5 new 1")
	client.expect("pong")
	harness.waitForEvent("connected 7 zone 1 rate 21.5 standing true")
	harness.publish(3, harness.withdraw(9, true))
	client.expect("update out s-9 ticket 3")
	harness.publish(4, harness.weight(1, 0.5), harness.weight(2, 1), harness.withdraw(2, true), bind(7), admitQuota(0.9))
	client.expect("update whole 1 lines s-1:0.5,s-2:1 out s-2 more 1")
	client.expect("update classes read level 0.9 retry 1 ticket 4")
	harness.publish(-1, harness.weight(1, 0.55), harness.weight(2, 0))
	client.expect("update lines s-1:0.55,s-2:0")
	client.say("applied id 7 seq 4 ms 310.4")
	harness.waitForEvent("acknowledged 7 4")
	client.Close()
	harness.waitForEvent("disconnected 7")
}

// TestNewerStreamReplacesOlder: If a proxy joins again before the end of its old stream was detected, the old stream
// ends and the controller is notified of both events in order.
func TestNewerStreamReplacesOlder(t *testing.T) {
	harness := startServer(t, nil)
	old := harness.join(t, 7)
	newer := harness.dial(t).say("joined id 7 site govan rps 2 new 0")
	old.expect(closedConnection)
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
	harness.publish(1, harness.withdraw(1, true))
	newer.expect("update out s-1 ticket 1")
}

// TestUnreadableBytesEndStream: A joined connection that sends bytes that cannot be decoded is closed.
func TestUnreadableBytesEndStream(t *testing.T) {
	harness := startServer(t, nil)
	client := harness.join(t, 7)
	client.Send([]byte("\x00\x01\x02"))
	client.expect(closedConnection)
	harness.waitForEvent("disconnected 7")
}

// TestDisconnectBeforeAdmission: A stream that ends before the controller admits it leaves no subscriber, and the
// proxy's next stream is admitted.
func TestDisconnectBeforeAdmission(t *testing.T) {
	harness := startServer(t, nil)
	hold := make(chan struct{})
	held := make(chan struct{})
	harness.steps <- func() { close(held); <-hold } // the controller is busy
	<-held
	first := harness.dial(t).say(joinMessage(7), "ping")
	first.expect("pong")
	first.Close()
	harness.waitForNoConnections()
	second := harness.dial(t).say("joined id 7 site govan rps 2 new 1", "ping")
	second.expect("pong")
	close(hold)
	harness.waitForEvent("connected 7 zone 0 rate 2 standing true")
	harness.publish(1, harness.withdraw(1, true))
	second.expect("update out s-1 ticket 1")
	if len(harness.server.published.Subscribers) != 1 {
		t.Fatalf("%d subscribers, want 1", len(harness.server.published.Subscribers))
	}
	harness.expectStreamOrder()
}

package platform

import (
	"testing"
	"time"
)

// TestLostAcknowledgementIsAskedForAgain: An acknowledgement that was lost is asked for once more, with a message
// that changes nothing. Asking acknowledges nothing, and neither does the first acknowledgement if it comes late
// beside the second.
func TestLostAcknowledgementIsAskedForAgain(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) {
		config.Limits.AckRetryInterval = time.Minute
		config.Now = clock.read
	})
	proxy := harness.join(t, 7)
	other := harness.join(t, 8)
	harness.publish(3, harness.withdraw(1, true))
	proxy.expect("update out s-1 ticket 3")
	other.expect("update out s-1 ticket 3")
	other.say("applied id 8 seq 3 ms 1") // sent after the first one and acknowledged: the first one has had its turn
	harness.waitForEvent("acknowledged 8 3")
	harness.server.checkLiveness()
	clock.advance(time.Minute)
	proxy.say("usage id 7 lane read count 1 fail 0 over 1000") // it sends messages, and does not acknowledge
	proxy.ping()
	other.ping()
	harness.server.checkLiveness()
	clock.advance(time.Second)
	harness.server.checkLiveness()
	proxy.expect("update ticket 3")
	harness.server.checkLiveness() // not asked over and over
	if stats := harness.server.Stats(); stats.AckRetries != 1 || stats.PendingAcks != 1 || stats.Proxies != 2 {
		t.Fatalf("%+v", stats)
	}
	proxy.say("applied id 7 seq 3 ms 1")
	harness.waitForEvent("acknowledged 7 3")
	harness.publish(4, harness.withdraw(2, true))
	proxy.expect("update out s-2 ticket 4")
	proxy.say("applied id 7 seq 3 ms 1") // the first acknowledgement, late
	proxy.ping()
	if stats := harness.server.Stats(); stats.PendingAcks != 2 || stats.MalformedMessages != 0 {
		t.Fatalf("%+v", stats)
	}
	proxy.say("applied id 7 seq 4 ms 1")
	harness.waitForEvent("acknowledged 7 4")
}

// TestSilentStreamWithoutPendingAcksIsAsked: A proxy that vanishes while it owes nothing is found too: it is asked
// for an acknowledgement, and does not answer.
func TestSilentStreamWithoutPendingAcksIsAsked(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) {
		config.Limits.AckRetryInterval = time.Minute
		config.Now = clock.read
	})
	gone := harness.join(t, 1)
	quiet := harness.join(t, 2)
	clock.advance(time.Minute + time.Second)
	harness.server.checkLiveness()
	harness.server.checkLiveness() // one stream is asked in each check
	gone.expect("update ticket 0")
	quiet.expect("update ticket 0")
	quiet.say("applied id 2 seq 0 ms 1")
	harness.waitForEvent("acknowledged 2 0")
	harness.publish(1, harness.withdraw(1, true))
	quiet.expect("update out s-1 ticket 1")
	quiet.say("applied id 2 seq 1 ms 1")
	harness.waitForEvent("acknowledged 2 1")
	harness.server.checkLiveness() // what was sent after the other's message has been acknowledged
	clock.advance(21 * time.Second)
	quiet.ping()
	harness.server.checkLiveness()
	harness.waitForEvent("disconnected 1")
	if stats := harness.server.Stats(); stats.Proxies != 1 || stats.Silent != 1 || stats.PendingAcks != 0 {
		t.Fatalf("%+v", stats)
	}
}

// TestVanishedProxyIsDisconnected: The stream of a proxy whose host has vanished ends once another proxy has
// acknowledged what was sent after it, and what it owes counts no more. A stream that owes an acknowledgement and
// still sends messages stays, and so does one whose turn in the channel has not come: on a calm day 701 of 2,400
// streams were once ended for the queue that their messages waited in. Where no stream acknowledges anything, a stream
// ends for its silence, five times as late.
func TestVanishedProxyIsDisconnected(t *testing.T) {
	clock := &testClock{now: 1}
	harness := startServer(t, func(config *Config) {
		config.Limits.GreetingTimeout = 100 * time.Millisecond
		config.Limits.SilenceTimeout = 50 * time.Millisecond
		config.Now = clock.read
	})
	harness.join(t, 1)
	talks := harness.join(t, 2)
	harness.publish(1, harness.withdraw(1, true)) // to both; the first is sent before the second
	talks.expect("update out s-1 ticket 1")
	clock.advance(60 * time.Millisecond) // no stream has acknowledged: the channel may be slow
	harness.server.checkLiveness()
	if stats := harness.server.Stats(); stats.Proxies != 2 || stats.Silent != 0 {
		t.Fatalf("%+v", stats)
	}
	talks.say("applied id 2 seq 1 ms 1")
	talks.ping()
	waits := harness.join(t, 3)
	harness.publish(2, harness.withdraw(2, true))
	talks.expect("update out s-2 ticket 2") // it owes this one, and sends messages
	harness.server.checkLiveness()          // the acknowledgement has overtaken the first stream
	clock.advance(40 * time.Millisecond)
	talks.say("usage id 2 lane read count 0 fail 0 over 40")
	talks.ping()
	clock.advance(20 * time.Millisecond)
	harness.server.checkLiveness()
	harness.waitForEvent("disconnected 1")
	if stats := harness.server.Stats(); stats.Proxies != 2 || stats.Silent != 1 {
		t.Fatalf("%+v", stats)
	}
	waits.expect("update out s-2 ticket 2")
	clock.advance(250 * time.Millisecond) // nothing at all, from any stream
	harness.server.checkLiveness()
	harness.waitForEvent("disconnected 3")
	harness.waitForEvent("disconnected 2")
}

package pubsub

import (
	"strings"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// TestProxyJoinsAndReceivesChanges: A proxy that joins gets a snapshot, then each change; what it acknowledges and
// reports reaches the controller.
func TestProxyJoinsAndReceivesChanges(t *testing.T) {
	harness := startServer(t, nil)
	client, first := harness.join(t, "till")
	if !first.Full || first.Bound || first.Incarnation != 3 {
		t.Fatalf("the first message is %+v", first)
	}
	harness.publish(7, weight(1, 0.5), weight(2, 1), bind(0), withdraw(2))
	bound := client.message()
	if !bound.Full || !bound.Bound || len(bound.Entries) != 2 || len(bound.Withdrawals) != 1 {
		t.Fatalf("bound by %+v", bound)
	}
	if bound.AckSequence != 7 || bound.PreviousVersion != first.Version {
		t.Fatalf("bound by %+v", bound)
	}
	harness.publish(8, weight(1, 0.6), weight(2, 0))
	changed := client.message()
	expectRemoval(t, changed, bound.Version)
	acknowledgeAndReport(client, changed.Version)
	harness.waitForEvent("acknowledged 0 8")
	harness.waitForEvent("reported 1 1")
	client.Close()
	harness.waitForEvent("disconnected 0")
	all := strings.Join(harness.events, " ")
	if strings.Contains(all, "99") || strings.Contains(all, "reported 1 0") {
		t.Fatal("an acknowledgement of an earlier incarnation or a repeated load report is taken: ", all)
	}
}

// expectRemoval checks a change of two entries after a version, the second of which is removed.
func expectRemoval(t *testing.T, change *pubsubmsg.Message, previousVersion uint64) {
	t.Helper()
	if change.Full || change.PreviousVersion != previousVersion || change.Cost != 6+2+1 {
		t.Fatalf("changed by %+v", change)
	}
	if len(change.Entries) != 2 || change.Entries[1].Weight != 0 {
		t.Fatalf("changed by %+v", change)
	}
}

// acknowledgeAndReport sends an acknowledgement of an earlier incarnation and one of this, and a load report twice.
func acknowledgeAndReport(client *testClient, version uint64) {
	client.t.Helper()
	client.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 2, Version: version, Sequence: 99}))
	client.Send(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: 3, Version: version, Sequence: 8}))
	client.Send(pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{
		Sequence: 1,
		Window:   model.Second,
		Reports:  []model.LoadReport{{Replica: replica(1), Attempts: 2}},
	}))
	client.Send(pubsubmsg.AppendLoadReports(nil, pubsubmsg.LoadReports{
		Sequence: 1,
		Window:   model.Second,
		Reports:  []model.LoadReport{},
	}))
}

// TestReconnectBetweenSnapshotAndChange: A reconnect that falls between a snapshot and the first change starts from a
// snapshot of its own, and what was queued for the old stream does not reach the new one.
func TestReconnectBetweenSnapshotAndChange(t *testing.T) {
	// A message of 6 + 2 entries waits 130 ms.
	harness := startServer(t, func(config *Config) { config.EntriesPerSecond = 60 })
	client, _ := harness.join(t, "till")
	harness.publish(1, weight(1, 1), bind(0))
	client.Close()
	harness.waitForEvent("disconnected 0")
	again, first := harness.join(t, "till")
	if first.Bound || first.AckSequence != -1 {
		t.Fatalf("the new stream begins with %+v", first)
	}
	harness.publish(2, bind(0))
	bound := again.message()
	if bound.AckSequence != 2 || bound.PreviousVersion != first.Version || !bound.Bound {
		t.Fatalf("after it %+v", bound)
	}
	if stats := harness.server.Stats(); stats.QueuedEntries != 0 {
		t.Fatalf("%d entries still count for the stream that ended", stats.QueuedEntries)
	}
}

// TestResyncBringsSnapshot: A proxy that has missed a version gets a snapshot, and no second one within a second.
func TestResyncBringsSnapshot(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Now = func() model.Microseconds { return 5 * model.Second }
	})
	client, _ := harness.join(t, "till")
	harness.publish(1, weight(1, 1), bind(0))
	bound := client.message()
	client.Send(resp.AppendCommand(nil, "RESYNC"))
	resynced := client.message()
	isComplete := resynced.Full && resynced.Bound && len(resynced.Entries) == 1
	if !isComplete || resynced.Version != bound.Version || resynced.AckSequence != 1 {
		t.Fatalf("after a gap %+v", resynced)
	}
	client.Send(resp.AppendCommand(nil, "RESYNC"))
	client.Send(pingCommand())
	client.expectPong()
}

// TestNewerConnectionReplacesOlder: The newer connection of a name is the one that counts.
func TestNewerConnectionReplacesOlder(t *testing.T) {
	harness := startServer(t, nil)
	older, _ := harness.join(t, "till")
	newer, _ := harness.join(t, "till")
	older.expectError("replaced")
	harness.publish(4, withdraw(1))
	newer.expectAckSequence(4)
	if stats := harness.server.Stats(); stats.Proxies != 1 || stats.Replaced != 1 {
		t.Fatalf("%+v", stats)
	}
}

package pubsub

import (
	"strings"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// TestProxyJoinsAndReceivesChanges: A proxy that joins receives a snapshot, then each change. Its acknowledgements and
// load reports reach the controller.
func TestProxyJoinsAndReceivesChanges(t *testing.T) {
	harness := startServer(t, nil)
	client, first := harness.join(t, "till")
	if !first.Full || first.Bound || first.Incarnation != 3 {
		t.Fatalf("the first message is %+v", first)
	}
	harness.publish(7, setWeight(1, 0.5), setWeight(2, 1), bindProxy(0), withdrawReplica(2))
	bind := client.message()
	if !bind.Full || !bind.Bound || len(bind.Entries) != 2 || len(bind.Withdrawals) != 1 {
		t.Fatalf("the bind is %+v, want a full table of 2 entries with 1 withdrawal", bind)
	}
	if bind.AckSequence != 7 || bind.PreviousVersion != first.Version {
		t.Fatalf("the bind is %+v, want acknowledgement sequence 7 and the snapshot as previous version", bind)
	}
	harness.publish(8, setWeight(1, 0.6), setWeight(2, 0))
	change := client.message()
	expectChangeWithRemoval(t, change, bind.Version)
	acknowledgeAndReport(client, change.Version)
	harness.waitForEvent("acknowledged 0 8")
	harness.waitForEvent("reported 1 1")
	client.Close()
	harness.waitForEvent("disconnected 0")
	all := strings.Join(harness.events, " ")
	if strings.Contains(all, "99") || strings.Contains(all, "reported 1 0") {
		t.Fatal("an acknowledgement of an earlier incarnation or a repeated load report is not ignored: ", all)
	}
}

// expectChangeWithRemoval checks that a change follows a version and has two entries, the second of which is removed.
func expectChangeWithRemoval(t *testing.T, change *pubsubmsg.Message, previousVersion uint64) {
	t.Helper()
	if change.Full || change.PreviousVersion != previousVersion || change.Cost != 6+2+1 {
		t.Fatalf("the change is %+v, want one that follows the previous version and costs 9 entries", change)
	}
	if len(change.Entries) != 2 || change.Entries[1].Weight != 0 {
		t.Fatalf("the change is %+v, want 2 entries with the second removed", change)
	}
}

// acknowledgeAndReport sends an acknowledgement of an earlier incarnation, one of this incarnation, and a load report
// twice.
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

// TestReconnectDiscardsMessagesOfOldStream: If a proxy reconnects between its snapshot and the first change, the new
// stream starts with its own snapshot, and messages queued for the old stream do not reach the new one.
func TestReconnectDiscardsMessagesOfOldStream(t *testing.T) {
	// A message of 6 + 2 entries is queued for 130 ms.
	harness := startServer(t, func(config *Config) { config.EntriesPerSecond = 60 })
	client, _ := harness.join(t, "till")
	harness.publish(1, setWeight(1, 1), bindProxy(0))
	client.Close()
	harness.waitForEvent("disconnected 0")
	newerClient, first := harness.join(t, "till")
	if first.Bound || first.AckSequence != -1 {
		t.Fatalf("the new stream begins with %+v", first)
	}
	harness.publish(2, bindProxy(0))
	bind := newerClient.message()
	if bind.AckSequence != 2 || bind.PreviousVersion != first.Version || !bind.Bound {
		t.Fatalf("the message after the snapshot is %+v", bind)
	}
	if stats := harness.server.Stats(); stats.QueuedEntries != 0 {
		t.Fatalf("%d entries of the ended stream are still counted as queued", stats.QueuedEntries)
	}
}

// TestResyncSendsOneSnapshotPerSecond: A proxy that sends RESYNC receives a snapshot, and no second one within a
// second.
func TestResyncSendsOneSnapshotPerSecond(t *testing.T) {
	harness := startServer(t, func(config *Config) {
		config.Now = func() model.Microseconds { return 5 * model.Second }
	})
	client, _ := harness.join(t, "till")
	harness.publish(1, setWeight(1, 1), bindProxy(0))
	bind := client.message()
	client.Send(resp.AppendCommand(nil, "RESYNC"))
	snapshot := client.message()
	isComplete := snapshot.Full && snapshot.Bound && len(snapshot.Entries) == 1
	if !isComplete || snapshot.Version != bind.Version || snapshot.AckSequence != 1 {
		t.Fatalf("the reply to RESYNC is %+v, want a snapshot of the same version", snapshot)
	}
	client.Send(resp.AppendCommand(nil, "RESYNC"))
	client.Send(pingCommand())
	client.expectPong()
}

// TestNewerConnectionReplacesOlder: A newer connection with the same proxy name replaces the older one.
func TestNewerConnectionReplacesOlder(t *testing.T) {
	harness := startServer(t, nil)
	olderClient, _ := harness.join(t, "till")
	newerClient, _ := harness.join(t, "till")
	olderClient.expectError("replaced")
	harness.publish(4, withdrawReplica(1))
	newerClient.expectAckSequence(4)
	if stats := harness.server.Stats(); stats.Proxies != 1 || stats.Replaced != 1 {
		t.Fatalf("unexpected statistics: %+v", stats)
	}
}

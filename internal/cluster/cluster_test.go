package cluster

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A member is killed and restarted: its shards move to the other members, and back one by one.
func TestShardsMoveWhenMemberStopsAndReturnWhenItRestarts(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(2)
	cluster.awaitHeld(3, 3, 0)
	cluster.start(2)
	cluster.awaitHeld(2, 2, 2)
	cluster.await("m0 has applied ten grants and reports no fault", func() bool {
		status := cluster.members[0].Status()
		return len(status.Takeovers) >= 10 && status.Fault == ""
	})
}

func TestSingleMemberHoldsAllShardsWhenItRestarts(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	cluster.stop(0)
	cluster.start(0)
	cluster.awaitHeld(6)
}

// The leader is partitioned and, for a while, still considers itself the leader: the other members take over its
// shards, and no shard has two holders.
func TestOtherMembersTakeOverWhenLeaderIsPartitioned(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	name, _ := cluster.members[0].node.leader()
	oldLeader, known := cluster.leaderOf(0)
	if !known {
		t.Fatalf("leader known to m0 is %q, want a member", name)
	}
	cluster.isolate(true, name)
	want := []int{3, 3, 3}
	want[oldLeader] = 0
	cluster.awaitHeld(want...)
	cluster.await("the partitioned leader reports the fault", func() bool {
		return strings.Contains(cluster.members[oldLeader].Status().Fault, "majority")
	})
	cluster.isolate(false, name)
	cluster.awaitHeld(2, 2, 2)
}

// The links of a member are cut in one direction: it receives messages but cannot send any. Each shard still has
// exactly one holder.
func TestOtherMembersTakeOverWhenMemberCannotSend(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.links.setCut(true, "m1", "m0")
	cluster.links.setCut(true, "m1", "m2")
	cluster.awaitHeld(3, 0, 3)
	cluster.links.setCut(false, "m1", "m0")
	cluster.links.setCut(false, "m1", "m2")
	cluster.awaitHeld(2, 2, 2)
}

// Two of three members stop: the third holds its leases until they expire, and reports the fault. Then all members
// stop and restart.
func TestShardsAreHeldAgainWhenWholeClusterRestarts(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(0)
	cluster.stop(1)
	cluster.awaitHeld(0, 0, 0)
	cluster.await("the remaining member reports the fault", func() bool {
		return strings.Contains(cluster.members[2].Status().Fault, "majority")
	})
	cluster.stop(2)
	for k := range 3 {
		cluster.start(k)
	}
	cluster.awaitHeld(2, 2, 2)
}

// A member stops gracefully: its shards move to the other members in planned moves, and back to its next incarnation.
func TestShardsMoveAsPlannedWhenMemberTransfersItsLeases(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.members[1].TransferLeases(10 * time.Second)
	cluster.awaitHeld(3, 0, 3)
	for _, takeover := range cluster.members[0].Status().Takeovers[6:] {
		if !takeover.Planned || takeover.From != "m1" {
			t.Errorf("takeover %+v, want a planned move from m1", takeover)
		}
	}
	cluster.stop(1)
	cluster.start(1)
	cluster.awaitHeld(2, 2, 2)
}

// Two members request at the same time to join, and receive shards.
func TestMembersReceiveShardsWhenTwoJoinAtOnce(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	founder := cluster.configs[0].Peers[0]
	for k := 1; k < 3; k++ {
		config := cluster.configs[0]
		self := newTestPeer(t, k)
		config.Name = self.Name
		config.Zone = testSettings.Zones[k]
		config.ListenAddress = self.Address
		config.GossipAddress = self.GossipAddress
		config.Join = true
		config.Directory = filepath.Join(filepath.Dir(config.Directory), self.Name)
		config.Peers = []Peer{founder, self}
		cluster.configs = append(cluster.configs, config)
		cluster.members = append(cluster.members, nil)
	}
	cluster.start(1)
	cluster.start(2)
	cluster.awaitHeld(2, 2, 2)
}

// The log is truncated after a snapshot: a member that restarts loads the snapshot, and a member that was down for
// longer than the log covers receives it from the leader.
func TestMemberLoadsSnapshotWhenLogIsTruncated(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(2)
	cluster.awaitHeld(3, 3, 0)
	for n := range 2 * trailingEntries { // more than the log keeps from before a snapshot
		cluster.mustRequest(0, "LEAVE", "m0", []string{"off", "on"}[n%2])
	}
	cluster.mustRequest(0, "LEAVE", "m0", "off")
	for k := range 2 {
		if err := cluster.members[k].node.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	cluster.start(2)
	cluster.awaitHeld(2, 2, 2)
	if from := cluster.members[2].node.raft.Stats()["last_snapshot_index"]; from == "0" {
		t.Error("the restarted member received no snapshot")
	}
	for k := range 3 {
		cluster.stop(k)
		cluster.start(k)
		cluster.awaitHeld(2, 2, 2)
	}
	if n := len(cluster.members[0].Status().Takeovers); n < 8 {
		t.Errorf("m0 has %d takeovers in its status, want at least 8", n)
	}
}

// Two members run a newer program and commit an entry that the third does not support: the third holds no lease from
// then on, and reports the reason.
func TestMemberHoldsNothingWhenOthersCommitNewerSchemaVersion(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	for k := range 2 {
		cluster.stop(k)
		cluster.configs[k].supportedVersion = schemaVersion + 1
		cluster.start(k)
		cluster.awaitHeld(2, 2, 2)
	}
	newerEntry := LogEntry{SchemaVersion: schemaVersion + 1, Command: unknownCommand{storedKind: 99}}
	cluster.await("a member of the newer version leads and commits an entry", func() bool {
		k, known := cluster.leaderOf(2)
		if !known {
			return false
		}
		if k == 2 {
			_ = cluster.members[2].node.raft.LeadershipTransfer().Error()
			return false
		}
		return cluster.members[k].node.propose(newerEntry) == nil
	})
	cluster.awaitHeld(3, 3, 0)
	if fault := cluster.members[2].Status().Fault; !strings.Contains(fault, "update it") {
		t.Errorf("fault of m2 is %q, want one with \"update it\"", fault)
	}
}

package cluster

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A member is killed and comes back: its shards go to the others and, slowly, home again.
func TestMemberIsLostAndComesBack(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(2)
	cluster.awaitHeld(3, 3, 0)
	cluster.start(2)
	cluster.awaitHeld(2, 2, 2)
	cluster.await("m0 has applied all ten grants, and reports no fault", func() bool {
		status := cluster.members[0].Status()
		return len(status.Takeovers) >= 10 && status.Fault == ""
	})
}

func TestClusterOfOne(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	cluster.stop(0)
	cluster.start(0)
	cluster.awaitHeld(6)
}

// The leader is partitioned and goes on believing for a while that it leads: the others take over, and no shard has
// two holders.
func TestPartitionedLeader(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	name, _ := cluster.members[0].node.leader()
	old, known := cluster.leaderOf(0)
	if !known {
		t.Fatalf("the leader is %q", name)
	}
	cluster.isolate(true, name)
	want := []int{3, 3, 3}
	want[old] = 0
	cluster.awaitHeld(want...)
	cluster.await("it reports the fault", func() bool {
		return strings.Contains(cluster.members[old].Status().Fault, "majority")
	})
	cluster.isolate(false, name)
	cluster.awaitHeld(2, 2, 2)
}

// Links are cut one way only: what a member receives it may not answer. Whatever happens, a shard has one holder, and
// all are held.
func TestLinksCutOneWay(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.links.set(true, "m1", "m0")
	cluster.links.set(true, "m1", "m2")
	cluster.awaitHeld(3, 0, 3)
	cluster.links.set(false, "m1", "m0")
	cluster.links.set(false, "m1", "m2")
	cluster.awaitHeld(2, 2, 2)
}

// Two of three are gone: the third holds its leases until they expire, and says why. The whole cluster goes down and
// starts again.
func TestWholeClusterDown(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(0)
	cluster.stop(1)
	cluster.awaitHeld(0, 0, 0)
	cluster.await("it reports the fault", func() bool {
		return strings.Contains(cluster.members[2].Status().Fault, "majority")
	})
	cluster.stop(2)
	for k := range 3 {
		cluster.start(k)
	}
	cluster.awaitHeld(2, 2, 2)
}

// A member stops gracefully: its shards go to the others in planned moves, and come back to its next incarnation.
func TestMemberTransfersItsLeases(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.members[1].TransferLeases(10 * time.Second)
	cluster.awaitHeld(3, 0, 3)
	for _, e := range cluster.members[0].Status().Takeovers[6:] {
		if !e.Planned || e.From != "m1" {
			t.Errorf("%+v", e)
		}
	}
	cluster.stop(1)
	cluster.start(1)
	cluster.awaitHeld(2, 2, 2)
}

// Two more members ask at once to be added, and shards come to them.
func TestTwoMembersJoinAtOnce(t *testing.T) {
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

// The log is truncated to a snapshot: a member that restarts begins with it, and one that was away for longer than
// the log reaches back is sent it.
func TestSnapshots(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	cluster.stop(2)
	cluster.awaitHeld(3, 3, 0)
	for n := range 2 * trailingEntries { // more than the log keeps behind a snapshot
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
		t.Error("the member that was away was sent no snapshot")
	}
	for k := range 3 {
		cluster.stop(k)
		cluster.start(k)
		cluster.awaitHeld(2, 2, 2)
	}
	if n := len(cluster.members[0].Status().Takeovers); n < 8 {
		t.Errorf("%d takeovers are remembered", n)
	}
}

// Two members run a newer program and commit what the third does not support: it holds nothing any more and says why.
func TestNewerSchemaVersionOverSockets(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	for k := range 2 {
		cluster.stop(k)
		cluster.configs[k].supportedVersion = schemaVersion + 1
		cluster.start(k)
		cluster.awaitHeld(2, 2, 2)
	}
	newer := LogEntry{SchemaVersion: schemaVersion + 1, Command: unknownCommand{storedKind: 99}}
	cluster.await("one of the newer members leads and proposes", func() bool {
		k, known := cluster.leaderOf(2)
		if !known {
			return false
		}
		if k == 2 {
			_ = cluster.members[2].node.raft.LeadershipTransfer().Error()
			return false
		}
		return cluster.members[k].node.propose(newer) == nil
	})
	cluster.awaitHeld(3, 3, 0)
	if why := cluster.members[2].Status().Fault; !strings.Contains(why, "update it") {
		t.Errorf("its fault is %q", why)
	}
}

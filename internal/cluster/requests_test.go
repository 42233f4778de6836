package cluster

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
)

// Operators move a shard, drain a member and remove it by requests to any member. Invalid requests are rejected.
func TestOperatorRequestsSucceedAtAnyMember(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	invalidRequests := [][]string{
		{"MOVE", "6", "m1"}, {"MOVE", "0", "nobody"}, {"LEAVE", "m1", "perhaps"}, {"STRIKE"}, {"UNKNOWN"}, {"PROPOSE", "x"},
	}
	for _, words := range invalidRequests {
		var refusal *RemoteError
		if err := cluster.request(1, words...); !errors.As(err, &refusal) {
			t.Errorf("request %v: error %v, want a RemoteError", words, err)
		}
	}
	for k := range 3 {
		cluster.mustRequest(k, "MOVE", "0", fmt.Sprint("m", k))
		cluster.await("shard 0 is moved", func() bool {
			_, ok := cluster.members[k].IsLeaseHolder(0)
			return ok
		})
	}
	drainedMember := 0
	if leader, _ := cluster.members[0].node.leader(); leader == "m0" {
		drainedMember = 1
	}
	name := fmt.Sprint("m", drainedMember)
	cluster.mustRequest(2, "LEAVE", name, "on")
	cluster.await("the drained member holds no shard", func() bool { return cluster.held()[drainedMember] == 0 })
	cluster.stop(drainedMember)
	cluster.mustRequest(2, "STRIKE", name)
	cluster.await("the member is removed", func() bool {
		for _, member := range cluster.members[2].Status().Members {
			if member.Name == name {
				return member.Removed && !member.Voter
			}
		}
		return false
	})
}

// Guards against a member that was removed while it hung and adds itself again: it asks to be added as it knows no
// leader, and registers.
func TestRemovedMemberCannotAddItselfAgain(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	leader, known := cluster.leaderOf(0)
	if !known {
		t.Fatal("m0 knows no leader")
	}
	removed := (leader + 1) % 3
	name := cluster.configs[removed].Name
	cluster.isolate(true, name)
	cluster.mustRequest(leader, "STRIKE", name)
	registration := LogEntry{SchemaVersion: schemaVersion, Command: RegisterMember{
		Member: name, Incarnation: cluster.configs[removed].Incarnation, Record: &MemberRecord{},
	}}
	encoded, err := registration.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, words := range [][]string{
		{"ADD", name, cluster.configs[removed].ListenAddress}, {"PROPOSE", string(encoded)},
	} {
		if err := cluster.request(leader, words...); err == nil || !strings.Contains(err.Error(), "struck off for good") {
			t.Errorf("%s of the removed member: error %v, want one with \"struck off for good\"", words[0], err)
		}
	}
	status := cluster.members[leader].Status()
	for _, member := range status.Members {
		if member.Name == name && (!member.Removed || member.Voter) {
			t.Errorf("the removed member is %+v", member)
		}
	}
}

// A malformed request ends its connection; the port still answers requests on other connections.
func TestPortAnswersWhenOtherConnectionsAreMalformed(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	malformedInputs := []string{
		"", "GET / HTTP/1.1\r\n\r\n", "Q\x00*1\r\n$6\r\nSTATUS\r\n*x\r\n", "Q\xff", "R\x00\x09\x09\x09\x09",
	}
	for _, input := range malformedInputs {
		conn, err := net.Dial("tcp", cluster.configs[0].ListenAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(input))
		_ = conn.Close()
	}
	cluster.mustRequest(0, "STATUS")
}

package cluster

import (
	"errors"
	"fmt"
	"net"
	"testing"
)

// Operators move a shard, drain a member and remove it, by requests to any member; an invalid request is rejected.
func TestOperatorRequests(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	wrong := [][]string{
		{"MOVE", "6", "m1"}, {"MOVE", "0", "nobody"}, {"LEAVE", "m1", "perhaps"}, {"STRIKE"}, {"DANCE"}, {"PROPOSE", "x"},
	}
	for _, words := range wrong {
		var refusal *RemoteError
		if err := cluster.request(1, words...); !errors.As(err, &refusal) {
			t.Errorf("%v is not refused: %v", words, err)
		}
	}
	for k := range 3 {
		cluster.mustRequest(k, "MOVE", "0", fmt.Sprint("m", k))
		cluster.await("the shard is moved", func() bool {
			_, ok := cluster.members[k].IsLeaseHolder(0)
			return ok
		})
	}
	leaving := 0
	if leader, _ := cluster.members[0].node.leader(); leader == "m0" {
		leaving = 1
	}
	name := fmt.Sprint("m", leaving)
	cluster.mustRequest(2, "LEAVE", name, "on")
	cluster.await("it has given all shards away", func() bool { return cluster.held()[leaving] == 0 })
	cluster.stop(leaving)
	cluster.mustRequest(2, "STRIKE", name)
	cluster.await("it is removed", func() bool {
		for _, member := range cluster.members[2].Status().Members {
			if member.Name == name {
				return member.Removed && !member.Voter
			}
		}
		return false
	})
}

// A malformed request ends its connection and nothing else.
func TestMalformedConnections(t *testing.T) {
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	malformed := []string{
		"", "GET / HTTP/1.1\r\n\r\n", "Q\x00*1\r\n$6\r\nSTATUS\r\n*x\r\n", "Q\xff", "R\x00\x09\x09\x09\x09",
	}
	for _, bytes := range malformed {
		conn, err := net.Dial("tcp", cluster.configs[0].ListenAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(bytes))
		_ = conn.Close()
	}
	cluster.mustRequest(0, "STATUS")
}

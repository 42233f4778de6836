package cli

import (
	"os"
	"strings"
	"testing"

	"peppervale/internal/cluster"
)

// statusFixture is a status with members, shards and takeovers in every state.
var statusFixture = &cluster.Status{
	Member: "govan-1",
	Leader: "partick-1",
	Term:   3,
	Fault:  "no majority of members is reachable",
	Members: []cluster.MemberStatus{
		{
			Name: "govan-1", Zone: "govan", Channel: "127.0.0.1:7700", Shards: 2, ExpectedRate: 12.34,
			SeemsAlive: true, Voter: true,
		},
		{Name: "partick-1", Zone: "partick", Channel: "127.0.0.2:7700", SeemsAlive: true, Draining: true},
		{Name: "dalmarnock-1", Zone: "dalmarnock", Channel: "127.0.0.3:7700", Voter: true},
		{Name: "spare", Zone: "govan", Channel: "127.0.0.4:7700", Voter: true, SeemsAlive: true, Removed: true},
	},
	Shards: []cluster.ShardStatus{
		{Number: 0, Zone: "govan", Holder: "govan-1", Epoch: 4, ExpectedRate: 5, Target: "govan-1"},
		{
			Number: 1, Zone: "partick", Holder: "govan-1", Epoch: 12, ExpectedRate: 6.05,
			Target: "partick-1", Pinned: true, WaitReason: "it settles",
		},
	},
	Takeovers: takeoversFixture(),
}

// takeoversFixture returns one takeover more than is shown.
func takeoversFixture() []cluster.Takeover {
	fixture := []cluster.Takeover{
		{Shard: 9, Epoch: 1, To: "too-old"},
		{Shard: 0, Epoch: 1, To: "govan-1", Reason: "with nobody"},
		{Shard: 1, Epoch: 2, From: "govan-1", To: "partick-1", Planned: true, Reason: "home"},
	}
	for epoch := uint64(3); epoch <= 10; epoch++ {
		fixture = append(fixture, cluster.Takeover{Shard: 1, Epoch: epoch, From: "partick-1", To: "govan-1", Reason: "gone"})
	}
	return fixture
}

// TestClusterStatusOutputMatchesGoldenFile compares the output of cluster status with its golden file.
func TestClusterStatusOutputMatchesGoldenFile(t *testing.T) {
	want, err := os.ReadFile("testdata/cluster-status.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := writeStatus(&got, statusFixture); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

func TestClusterStatusNamesNoLeaderWhenNoneIsKnown(t *testing.T) {
	var got strings.Builder
	if err := writeStatus(&got, &cluster.Status{Member: "govan-1", Term: 2}); err != nil {
		t.Fatal(err)
	}
	want := "as govan-1 knows it; nobody that it knows of leads, term 2\n" +
		"\nmember  zone  channel  parts  usual rate  state\n" +
		"\npart  zone  holder  epoch  usual rate  wanted\n"
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

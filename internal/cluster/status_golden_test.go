package cluster

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
)

var updateStatus = flag.Bool("update-status", false, "rewrite the golden status in testdata")

// TestStatusJSONHasPinnedKeys compares the reply to STATUS with the golden file. Other programs read its keys, which
// must not change.
func TestStatusJSONHasPinnedKeys(t *testing.T) {
	const file = "testdata/status.json"
	status := Status{
		Member: "govan-1", Leader: "partick-1", Term: 4, AppliedIndex: 5, Fault: "no majority",
		LeaseDuration: 2_000_000, MaxClockDrift: 30_000,
		Members: []MemberStatus{
			{
				Name: "govan-1", Zone: "govan", Channel: "127.0.0.1:7701", Capacity: 100.5,
				Voter: true, SeemsAlive: true, Draining: true, Removed: true, Incarnation: 6, Shards: 7, ExpectedRate: 8.5,
			},
			{Name: "partick-1"},
		},
		Shards: []ShardStatus{
			{
				Number: 9, Zone: "govan", Holder: "govan-1", Target: "partick-1", Pinned: true, Epoch: 10, ExpectedRate: 11.5,
				HeldHere: true, LeaseRemaining: 1_200_000, WaitReason: "waits for partick-1",
			},
			{Number: 12},
		},
		Takeovers: []Takeover{{
			At: 13, Leader: "partick-1", Shard: 9, Epoch: 10, From: "partick-1", To: "govan-1", Planned: true,
			Reason: "its member leaves",
		}},
	}
	got, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	if *updateStatus {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: status is encoded as\n%s\nwant\n%s", file, got, want)
	}
	var decoded Status
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, status) {
		t.Errorf("%s: decoded as %+v, error %v; want %+v", file, decoded, err, status)
	}
}

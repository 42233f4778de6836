package cluster

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"testing"
)

var updateStatus = flag.Bool("update-status", false, "write the golden status in testdata anew")

// TestStatusAsJSON compares the answer to STATUS with the bytes that programs read today: its keys must not change.
func TestStatusAsJSON(t *testing.T) {
	const file = "testdata/status.json"
	status := Status{Member: "govan-1", Leader: "partick-1", Term: 4, Agreed: 5, Trouble: "no majority", SpanUs: 2_000_000, DriftUs: 30_000,
		Members: []MemberStatus{
			{Name: "govan-1", Zone: "govan", Channel: "127.0.0.1:7701", Limit: 100.5, Votes: true, Seems: true, Leaving: true, Struck: true, Life: 6, Parts: 7, Load: 8.5},
			{Name: "partick-1"},
		},
		Parts: []PartStatus{
			{Number: 9, Zone: "govan", Holder: "govan-1", Wanted: "partick-1", ByHand: true, Epoch: 10, Load: 11.5, Here: true, LeftUs: 1_200_000, Why: "waits for partick-1"},
			{Number: 12},
		},
		Events: []Event{{At: 13, Leader: "partick-1", Part: 9, Epoch: 10, From: "partick-1", To: "govan-1", Planned: true, Why: "its member leaves"}}}
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
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
	}
	var decoded Status
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, status) {
		t.Errorf("%s: read back as %+v, %v; want %+v", file, decoded, err, status)
	}
}

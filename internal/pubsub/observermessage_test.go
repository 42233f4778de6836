package pubsub

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

var updateGolden = flag.Bool("update", false, "write the current messages to the golden files in testdata")

// TestObserverMessagesMatchGoldenFiles: Messages to observers are byte for byte equal to golden files, because
// observers depend on their keys. Decoding gives the same message again.
func TestObserverMessagesMatchGoldenFiles(t *testing.T) {
	published := snapshot.New(3, 6, snapshot.UntilSnapshot)
	published.Subscribe(7, "till-1")
	published.Subscribe(8, "till-2")
	batch := &snapshot.Batch{AckSequence: -1, Updates: []snapshot.Update{
		{Kind: snapshot.SetWeight, Table: 5, Replica: replica(1), Weight: 0.25},
		{Kind: snapshot.SetWeight, Table: 5, Replica: replica(2), Weight: 0.75},
		{Kind: snapshot.BindProxy, Proxy: 7, Table: 5},
		{Kind: snapshot.SetWithdrawn, Replica: replica(3), Withdrawn: true},
		{Kind: snapshot.SetWithdrawn, Replica: replica(4), Withdrawn: true},
		{Kind: snapshot.SetWithdrawn, Replica: replica(4), Withdrawn: false},
		{Kind: snapshot.SetQuota, Quota: pubsubmsg.Quota{Operations: 3, Share: 0.5, RetryPolicy: model.RetryOnAnyFailure}},
	}}
	published.Apply(batch)
	server := &Server{publishedState: published}
	checkMessage(t, "change.json", server.changeMessage(batch), &Change{})
	checkMessage(t, "snapshot.json", server.snapshotMessage(), &Snapshot{})
}

// checkMessage compares a message's JSON with a golden file, decodes the file into empty and compares that with the
// message.
func checkMessage(t *testing.T, name string, message, decoded any) {
	t.Helper()
	got, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	file := filepath.Join("testdata", name)
	if *updateGolden {
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
	err = json.Unmarshal(want, decoded)
	if err != nil || !reflect.DeepEqual(reflect.ValueOf(decoded).Elem().Interface(), message) {
		t.Errorf("%s: decoded as %+v, %v; want %+v", file, decoded, err, message)
	}
}

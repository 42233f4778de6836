package statestore_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/statestore"
)

// The fixtures in testdata were written by the program: go test ./daemon -run TestArchiveReadsStoredState -update
// writes them anew, which is for a change of the stored form only.

// openFixture opens a copy of a fixture, as opening writes.
func openFixture(t *testing.T, names ...string) (*statestore.Store, *statestore.Recovered) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(name)), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	folder, found, err := statestore.Open(dir, 900)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { folder.Close() })
	return folder, found
}

// checkListing asserts the endpoint list of the fixtures, field by field.
func checkListing(t *testing.T, list []model.Endpoint) {
	t.Helper()
	want := []struct {
		address [4]byte
		port    uint16
		zone    int
		life    model.EndpointStatus
		since   model.Microseconds
	}{
		{[4]byte{10, 1, 2, 3}, 8081, 1, 1, 1_700_000_000_000_001},
		{[4]byte{10, 4, 5, 6}, 8082, 2, 2, 1_700_000_000_000_002},
		{[4]byte{10, 7, 8, 9}, 8083, 3, 0, 1_700_000_000_000_003},
	}
	if len(list) != len(want) {
		t.Fatalf("%d entries, want %d: %+v", len(list), len(want), list)
	}
	for i, entry := range list {
		if w := want[i]; entry.ID.Addr != w.address || entry.ID.Port != w.port || entry.Zone != w.zone || entry.Status != w.life || entry.StartedAt != w.since {
			t.Errorf("entry %d is %+v, want %+v", i, entry, w)
		}
	}
}

// The bytes of the fixture's published state and of its decision log, newest first.
const storedPublished = `{"kind":"snapshot","life":2,"version":34,"tables":{"5":[{"replica":"10.1.2.3:8081","weight":0.25},{"replica":"10.4.5.6:8082","weight":0.75}]},` +
	`"withdrawn":["10.7.8.9:8083"],"levels":[{"operations":3,"share":0.5,"way":2}],"forwarders":{"till-1":"5"}}`

var storedCauses = []struct {
	life, number uint64
	body         string
}{
	{2, 2, `{"At":202,"Number":2,"Life":77,"Came":["list change of 1"],"Said":["replica [10 4 5 6]:8082 zone 2 drains"],"Orders":["level of operations 0b11: share 0.25, way 2"],"Cut":10}`},
	{2, 1, `{"At":201,"Number":1,"Came":["timer","2 receipts"],"Said":["replica [10 1 2 3]:8081 zone 1 rested"],"Orders":["let back 10.1.2.3:8081"],"Cut":9}`},
	{1, 2, `{"At":102,"Number":2,"Came":["left till-1","4 sums"],"Said":["replica [10 1 2 3]:8081 zone 1 failing"],"Orders":["withdraw 10.1.2.3:8081","table 2: 10.4.5.6:8082 weighs 0.5"],"Cut":8}`},
	{1, 1, `{"At":101,"Number":1,"Came":["list whole of 3","joined till-1"],"Said":["gate open"],"Orders":["forwarder 1 on table 2"],"Cut":7}`},
}

// TestStoredStateIsRead opens a state file that an earlier version wrote.
func TestStoredStateIsRead(t *testing.T) {
	folder, found := openFixture(t, "state.db")
	if found.Incarnation != 3 || found.PreviousIncarnation != 2 || found.Empty || found.MigratedFrom != 0 || len(found.Damage) > 0 {
		t.Errorf("found %+v", found)
	}
	checkListing(t, found.Endpoints)
	if string(found.Published) != storedPublished {
		t.Errorf("published state %s; want %s", found.Published, storedPublished)
	}
	records, err := folder.Decisions(3, 1, 10, func(statestore.Record) bool { return true })
	if err != nil || len(records) != len(storedCauses) {
		t.Fatalf("%d records, %v; want %d", len(records), err, len(storedCauses))
	}
	for i, record := range records {
		if want := storedCauses[i]; record.Incarnation != want.life || record.Number != want.number || string(record.Body) != want.body {
			t.Errorf("record %d is %d/%d %s; want %+v", i, record.Incarnation, record.Number, record.Body, want)
		}
	}
	want := controller.Decision{At: 202, Number: 2, Incarnation: 77, Inputs: []string{"list change of 1"}, Reasons: []string{"replica [10 4 5 6]:8082 zone 2 drains"},
		Updates: []string{"level of operations 0b11: share 0.25, way 2"}, OmittedUpdates: 10}
	var newest controller.Decision
	if err := json.Unmarshal(records[0].Body, &newest); err != nil || !reflect.DeepEqual(newest, want) {
		t.Errorf("newest record is %+v, %v; want %+v", newest, err, want)
	}
}

// TestStoredFirstFormIsRead opens a folder of the first layout.
func TestStoredFirstFormIsRead(t *testing.T) {
	_, found := openFixture(t, "first/life", "first/list")
	if found.Incarnation != 7 || found.PreviousIncarnation != 6 || found.Empty || found.MigratedFrom != 1 || len(found.Damage) > 0 || found.Published != nil {
		t.Errorf("found %+v", found)
	}
	checkListing(t, found.Endpoints)
}

// TestWrittenListBytes asserts that a list that was read is written with the bytes that earlier versions read.
func TestWrittenListBytes(t *testing.T) {
	_, found := openFixture(t, "state.db")
	body, err := json.Marshal(found.Endpoints)
	const want = `[{"ID":{"Addr":[10,1,2,3],"Port":8081},"Zone":1,"Life":1,"Since":1700000000000001},` +
		`{"ID":{"Addr":[10,4,5,6],"Port":8082},"Zone":2,"Life":2,"Since":1700000000000002},` +
		`{"ID":{"Addr":[10,7,8,9],"Port":8083},"Zone":3,"Life":0,"Since":1700000000000003}]`
	if err != nil || string(body) != want {
		t.Errorf("written as %s, %v; want %s", body, err, want)
	}
}

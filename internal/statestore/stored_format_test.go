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

// The fixtures in testdata are files that the program wrote. go test ./internal/server -run StoredState -update
// rewrites them, which is only allowed with a change of the schema version.

// openFixture opens a copy of a fixture, because Open writes to the directory.
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
	store, recovered, err := statestore.Open(dir, 900)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	return store, recovered
}

// checkEndpoints asserts every field of the fixtures' endpoint list.
func checkEndpoints(t *testing.T, endpoints []model.Endpoint) {
	t.Helper()
	want := []struct {
		address   [4]byte
		port      uint16
		zone      int
		status    model.EndpointStatus
		startedAt model.Microseconds
	}{
		{[4]byte{10, 1, 2, 3}, 8081, 1, 1, 1_700_000_000_000_001},
		{[4]byte{10, 4, 5, 6}, 8082, 2, 2, 1_700_000_000_000_002},
		{[4]byte{10, 7, 8, 9}, 8083, 3, 0, 1_700_000_000_000_003},
	}
	if len(endpoints) != len(want) {
		t.Fatalf("%d endpoints, want %d: %+v", len(endpoints), len(want), endpoints)
	}
	for i, endpoint := range endpoints {
		wantEndpoint := want[i]
		if endpoint.ID.Addr != wantEndpoint.address || endpoint.ID.Port != wantEndpoint.port ||
			endpoint.Zone != wantEndpoint.zone || endpoint.Status != wantEndpoint.status ||
			endpoint.StartedAt != wantEndpoint.startedAt {
			t.Errorf("endpoint %d is %+v, want %+v", i, endpoint, wantEndpoint)
		}
	}
}

// storedPublished is the published state in the fixture state.db.
const storedPublished = `{"kind":"snapshot","life":2,"version":34,` +
	`"tables":{"5":[{"replica":"10.1.2.3:8081","weight":0.25},{"replica":"10.4.5.6:8082","weight":0.75}]},` +
	`"withdrawn":["10.7.8.9:8083"],"levels":[{"operations":3,"share":0.5,"way":2}],"forwarders":{"till-1":"5"}}`

// storedDecisions are the decision log entries in the fixture state.db, newest first.
var storedDecisions = []struct {
	incarnation, number uint64
	body                string
}{
	{2, 2, `{"At":202,"Number":2,"Life":77,"Came":["list change of 1"],` +
		`"Said":["replica [10 4 5 6]:8082 zone 2 drains"],` +
		`"Orders":["level of operations 0b11: share 0.25, way 2"],"Cut":10}`},
	{2, 1, `{"At":201,"Number":1,"Came":["timer","2 receipts"],` +
		`"Said":["replica [10 1 2 3]:8081 zone 1 rested"],"Orders":["let back 10.1.2.3:8081"],"Cut":9}`},
	{1, 2, `{"At":102,"Number":2,"Came":["left till-1","4 sums"],` +
		`"Said":["replica [10 1 2 3]:8081 zone 1 failing"],` +
		`"Orders":["withdraw 10.1.2.3:8081","table 2: 10.4.5.6:8082 weighs 0.5"],"Cut":8}`},
	{1, 1, `{"At":101,"Number":1,"Came":["list whole of 3","joined till-1"],` +
		`"Said":["gate open"],"Orders":["forwarder 1 on table 2"],"Cut":7}`},
}

// TestOpenReadsStoredState checks that a state file of an earlier program version is read completely.
func TestOpenReadsStoredState(t *testing.T) {
	store, recovered := openFixture(t, "state.db")
	if recovered.Incarnation != 3 || recovered.PreviousIncarnation != 2 || recovered.Empty ||
		recovered.MigratedFrom != 0 || len(recovered.Damage) > 0 {
		t.Errorf("recovered %+v, want incarnation 3 without damage or migration", recovered)
	}
	checkEndpoints(t, recovered.Endpoints)
	if string(recovered.Published) != storedPublished {
		t.Errorf("published state %s; want %s", recovered.Published, storedPublished)
	}
	records, err := store.Decisions(3, 1, 10, func(statestore.DecisionRecord) bool { return true })
	if err != nil || len(records) != len(storedDecisions) {
		t.Fatalf("%d records, error %v; want %d records", len(records), err, len(storedDecisions))
	}
	for i, record := range records {
		want := storedDecisions[i]
		if record.Incarnation != want.incarnation || record.Number != want.number || string(record.Body) != want.body {
			t.Errorf("record %d is %d/%d %s; want %+v", i, record.Incarnation, record.Number, record.Body, want)
		}
	}
	want := controller.Decision{
		At:             202,
		Number:         2,
		Incarnation:    77,
		Inputs:         []string{"list change of 1"},
		Reasons:        []string{"replica [10 4 5 6]:8082 zone 2 drains"},
		Updates:        []string{"level of operations 0b11: share 0.25, way 2"},
		OmittedUpdates: 10,
	}
	var newest controller.Decision
	if err := json.Unmarshal(records[0].Body, &newest); err != nil || !reflect.DeepEqual(newest, want) {
		t.Errorf("newest record is %+v, error %v; want %+v", newest, err, want)
	}
}

// TestOpenReadsFirstSchemaVersion checks that a directory of the first schema version is read completely.
func TestOpenReadsFirstSchemaVersion(t *testing.T) {
	_, recovered := openFixture(t, "first/life", "first/list")
	if recovered.Incarnation != 7 || recovered.PreviousIncarnation != 6 || recovered.Empty ||
		recovered.MigratedFrom != 1 || len(recovered.Damage) > 0 || recovered.Published != nil {
		t.Errorf("recovered %+v, want incarnation 7 migrated from version 1 without damage", recovered)
	}
	checkEndpoints(t, recovered.Endpoints)
}

// TestEndpointListKeepsStoredEncoding checks that an endpoint list is encoded with the bytes that earlier versions can
// read.
func TestEndpointListKeepsStoredEncoding(t *testing.T) {
	_, recovered := openFixture(t, "state.db")
	body, err := json.Marshal(recovered.Endpoints)
	const want = `[{"ID":{"Addr":[10,1,2,3],"Port":8081},"Zone":1,"Life":1,"Since":1700000000000001},` +
		`{"ID":{"Addr":[10,4,5,6],"Port":8082},"Zone":2,"Life":2,"Since":1700000000000002},` +
		`{"ID":{"Addr":[10,7,8,9],"Port":8083},"Zone":3,"Life":0,"Since":1700000000000003}]`
	if err != nil || string(body) != want {
		t.Errorf("endpoint list encoded as %s, error %v; want %s", body, err, want)
	}
}

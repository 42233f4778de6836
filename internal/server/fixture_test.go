package server

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

var update = flag.Bool("update", false, "write the state fixtures in store/testdata anew")

// The fixtures are shared with the tests of package store, which assert the same values below the archive.
const (
	stateFixture     = "../statestore/testdata/state.db"
	firstFormFixture = "../statestore/testdata/first"
)

// fixtureListing is the endpoint list of the fixtures.
var fixtureListing = []model.Endpoint{
	{ID: model.ReplicaID{Addr: [4]byte{10, 1, 2, 3}, Port: 8081}, Zone: 1, Status: model.EndpointReady, StartedAt: 1_700_000_000_000_001},
	{ID: model.ReplicaID{Addr: [4]byte{10, 4, 5, 6}, Port: 8082}, Zone: 2, Status: model.EndpointDraining, StartedAt: 1_700_000_000_000_002},
	{ID: model.ReplicaID{Addr: [4]byte{10, 7, 8, 9}, Port: 8083}, Zone: 3, Status: model.EndpointGone, StartedAt: 1_700_000_000_000_003},
}

// fixtureCauses are the decision log of the fixture, by the life that took the steps. The last one carries a life of its own,
// which the archive replaces by the life that it is stored under.
var fixtureCauses = map[uint64][]controller.Decision{
	1: {
		{At: 101, Number: 1, Inputs: []string{"list whole of 3", "joined till-1"}, Reasons: []string{"gate open"}, Updates: []string{"forwarder 1 on table 2"}, OmittedUpdates: 7},
		{At: 102, Number: 2, Inputs: []string{"left till-1", "4 sums"}, Reasons: []string{"replica [10 1 2 3]:8081 zone 1 failing"}, Updates: []string{"withdraw 10.1.2.3:8081", "table 2: 10.4.5.6:8082 weighs 0.5"}, OmittedUpdates: 8},
	},
	2: {
		{At: 201, Number: 1, Inputs: []string{"timer", "2 receipts"}, Reasons: []string{"replica [10 1 2 3]:8081 zone 1 rested"}, Updates: []string{"let back 10.1.2.3:8081"}, OmittedUpdates: 9},
		{At: 202, Number: 2, Incarnation: 77, Inputs: []string{"list change of 1"}, Reasons: []string{"replica [10 4 5 6]:8082 zone 2 drains"}, Updates: []string{"level of operations 0b11: share 0.25, way 2"}, OmittedUpdates: 10},
	},
}

// fixturePicture is the published state of the fixture.
var fixturePicture = pubsub.Snapshot{Kind: "snapshot", Life: 2, Version: 34,
	Tables:     map[string][]pubsub.LineOut{"5": {{Replica: "10.1.2.3:8081", Weight: 0.25}, {Replica: "10.4.5.6:8082", Weight: 0.75}}},
	Withdrawn:  []string{"10.7.8.9:8083"},
	Levels:     []pubsub.LevelOut{{Operations: 3, Share: 0.5, Way: 2}},
	Forwarders: map[string]string{"till-1": "5"}}

// openArchive opens a state folder as Serve does.
func openArchive(t *testing.T, dir string) (*archive, *statestore.Recovered) {
	t.Helper()
	folder, found, err := statestore.Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	host := controller.New(model.Config{Operations: []model.Operation{{LatencyObjective: 1, PriorityWeight: 1}}, Zones: 4, ReportPeriod: model.Second, QueueLimit: 1}, 1, controller.Clock(), zerolog.Nop())
	a := newArchive(host, folder, found.Incarnation, zerolog.Nop())
	t.Cleanup(func() {
		a.writer.Close()
		folder.Close()
	})
	return a, found
}

// writeFixtures lets the program write both fixtures.
func writeFixtures(t *testing.T) {
	dir := t.TempDir()
	for life := uint64(1); life <= 2; life++ {
		t.Run(fmt.Sprint("life ", life), func(t *testing.T) {
			a, found := openArchive(t, dir)
			if found.Incarnation != life {
				t.Fatalf("life %d, want %d", found.Incarnation, life)
			}
			a.EndpointsChanged(model.FullList, fixtureListing)
			for _, cause := range fixtureCauses[life] {
				a.keep(&cause)
			}
			body, err := json.Marshal(fixturePicture)
			if err != nil {
				t.Fatal(err)
			}
			a.writer.SetPublished(body)
		})
	}
	copyFile(t, filepath.Join(dir, "state.db"), stateFixture)

	list, err := json.Marshal(fixtureListing)
	if err != nil {
		t.Fatal(err)
	}
	// Of two different lives the higher one counts, so the list's is seen to be read.
	for name, body := range map[string]string{"life": `{"life":5}`, "list": fmt.Sprintf(`{"life":6,"entries":%s}`, list)} {
		text := fmt.Sprintf("peppervale-state-1 %08x\n%s\n", crc32.ChecksumIEEE([]byte(body)), body)
		if err := os.WriteFile(filepath.Join(firstFormFixture, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestArchiveReadsStoredState reads state that an earlier version wrote, by the path that a start takes and the archive's search.
func TestArchiveReadsStoredState(t *testing.T) {
	if *update {
		writeFixtures(t)
	}
	dir := t.TempDir()
	copyFile(t, stateFixture, filepath.Join(dir, "state.db"))
	a, found := openArchive(t, dir)
	if found.Incarnation != 3 || found.PreviousIncarnation != 2 || found.Empty || found.MigratedFrom != 0 || len(found.Damage) > 0 {
		t.Errorf("found %+v", found)
	}
	if !reflect.DeepEqual(found.Endpoints, fixtureListing) {
		t.Errorf("endpoint list %+v; want %+v", found.Endpoints, fixtureListing)
	}
	var picture pubsub.Snapshot
	if err := json.Unmarshal(found.Published, &picture); err != nil || !reflect.DeepEqual(picture, fixturePicture) {
		t.Errorf("published state %+v, %v; want %+v", picture, err, fixturePicture)
	}
	var want []controller.Decision // newest first, each with the life that it is stored under
	for _, life := range []uint64{2, 1} {
		for k := len(fixtureCauses[life]) - 1; k >= 0; k-- {
			cause := fixtureCauses[life][k]
			cause.Incarnation = life
			want = append(want, cause)
		}
	}
	if got := a.Causes(10, nil); !reflect.DeepEqual(got, want) {
		t.Errorf("decision log %+v; want %+v", got, want)
	}
	for word, number := range map[string]int{"joined till-1": 3, "zone 2 drains": 0, "let back 10.1.2.3:8081": 1} {
		got := a.Causes(1, func(c *controller.Decision) bool { return c.Mentions(word) })
		if len(got) != 1 || !reflect.DeepEqual(got[0], want[number]) {
			t.Errorf("search for %q found %+v; want %+v", word, got, want[number])
		}
	}
}

package server

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
	"peppervale/internal/statestore"
)

var update = flag.Bool("update", false, "overwrite the state fixtures in statestore/testdata")

// The fixtures are shared with the tests of package statestore, which check the same values without the recorder.
const (
	stateFixture        = "../statestore/testdata/state.db"
	firstVersionFixture = "../statestore/testdata/first"
)

// fixtureEndpoints is the endpoint list of the fixtures.
var fixtureEndpoints = []model.Endpoint{
	{
		ID: model.ReplicaID{Addr: [4]byte{10, 1, 2, 3}, Port: 8081}, Zone: 1,
		Status: model.EndpointReady, StartedAt: 1_700_000_000_000_001,
	},
	{
		ID: model.ReplicaID{Addr: [4]byte{10, 4, 5, 6}, Port: 8082}, Zone: 2,
		Status: model.EndpointDraining, StartedAt: 1_700_000_000_000_002,
	},
	{
		ID: model.ReplicaID{Addr: [4]byte{10, 7, 8, 9}, Port: 8083}, Zone: 3,
		Status: model.EndpointGone, StartedAt: 1_700_000_000_000_003,
	},
}

// fixtureDecisions is the decision log of the fixture, by the incarnation that made the decisions. The last decision
// has another incarnation in its body; the recorder replaces it with the incarnation under which the decision is
// stored.
var fixtureDecisions = map[uint64][]controller.Decision{
	1: {
		{
			At: 101, Number: 1,
			Inputs:         []string{"list whole of 3", "joined till-1"},
			Reasons:        []string{"gate open"},
			Updates:        []string{"forwarder 1 on table 2"},
			OmittedUpdates: 7,
		},
		{
			At: 102, Number: 2,
			Inputs:         []string{"left till-1", "4 sums"},
			Reasons:        []string{"replica [10 1 2 3]:8081 zone 1 failing"},
			Updates:        []string{"withdraw 10.1.2.3:8081", "table 2: 10.4.5.6:8082 weighs 0.5"},
			OmittedUpdates: 8,
		},
	},
	2: {
		{
			At: 201, Number: 1,
			Inputs:         []string{"timer", "2 receipts"},
			Reasons:        []string{"replica [10 1 2 3]:8081 zone 1 rested"},
			Updates:        []string{"let back 10.1.2.3:8081"},
			OmittedUpdates: 9,
		},
		{
			At: 202, Number: 2, Incarnation: 77,
			Inputs:         []string{"list change of 1"},
			Reasons:        []string{"replica [10 4 5 6]:8082 zone 2 drains"},
			Updates:        []string{"level of operations 0b11: share 0.25, way 2"},
			OmittedUpdates: 10,
		},
	},
}

// fixtureSnapshot is the published state of the fixture.
var fixtureSnapshot = pubsub.Snapshot{
	Kind:        "snapshot",
	Incarnation: 2,
	Version:     34,
	Tables: map[string][]pubsub.TableEntry{
		"5": {{Replica: "10.1.2.3:8081", Weight: 0.25}, {Replica: "10.4.5.6:8082", Weight: 0.75}},
	},
	Withdrawn: []string{"10.7.8.9:8083"},
	Quotas:    []pubsub.Quota{{Operations: 3, Share: 0.5, RetryPolicy: 2}},
	Proxies:   map[string]string{"till-1": "5"},
}

// openRecorder opens a state directory as Serve does. The store is closed when the test ends.
func openRecorder(t *testing.T, directory string) (*recorder, *statestore.Recovered) {
	t.Helper()
	store, recovered, err := statestore.Open(directory, 0)
	if err != nil {
		t.Fatal(err)
	}
	source := controller.New(model.Config{
		Operations:   []model.Operation{{LatencyObjective: 1, PriorityWeight: 1}},
		Zones:        4,
		ReportPeriod: model.Second,
		QueueLimit:   1,
	}, 1, controller.NewClock(), zerolog.Nop())
	rec := newRecorder(source, store, recovered.Incarnation, zerolog.Nop())
	t.Cleanup(func() {
		rec.writer.Close()
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	return rec, recovered
}

// writeFixtures writes both fixtures with the current code.
func writeFixtures(t *testing.T) {
	t.Helper()
	directory := t.TempDir()
	for incarnation := uint64(1); incarnation <= 2; incarnation++ {
		t.Run(fmt.Sprint("incarnation ", incarnation), func(t *testing.T) {
			writeIncarnation(t, directory, incarnation)
		})
	}
	copyFile(t, filepath.Join(directory, "state.db"), stateFixture)
	writeFirstVersionFixture(t)
}

// writeIncarnation writes the state that one incarnation of the fixture stores.
func writeIncarnation(t *testing.T, directory string, incarnation uint64) {
	t.Helper()
	rec, recovered := openRecorder(t, directory)
	if recovered.Incarnation != incarnation {
		t.Fatalf("incarnation %d, want %d", recovered.Incarnation, incarnation)
	}
	rec.EndpointsChanged(model.FullList, fixtureEndpoints)
	for _, decision := range fixtureDecisions[incarnation] {
		rec.saveDecision(&decision)
	}
	body, err := json.Marshal(fixtureSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	rec.writer.SetPublished(body)
}

// writeFirstVersionFixture writes the two files of the first schema version. The incarnation in the
// list is higher than the other one. The store uses the higher one, so a test can tell that the store reads the list.
func writeFirstVersionFixture(t *testing.T) {
	t.Helper()
	endpoints, err := json.Marshal(fixtureEndpoints)
	if err != nil {
		t.Fatal(err)
	}
	bodies := map[string]string{
		"life": `{"life":5}`,
		"list": fmt.Sprintf(`{"life":6,"entries":%s}`, endpoints),
	}
	for name, body := range bodies {
		text := fmt.Sprintf("peppervale-state-1 %08x\n%s\n", crc32.ChecksumIEEE([]byte(body)), body)
		if err := os.WriteFile(filepath.Join(firstVersionFixture, name), []byte(text), 0o644); err != nil {
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

// storedDecisions returns the fixture's decisions, newest first, each with the incarnation under which it is stored.
func storedDecisions() []controller.Decision {
	var all []controller.Decision
	for _, incarnation := range []uint64{2, 1} {
		for _, decision := range slices.Backward(fixtureDecisions[incarnation]) {
			decision.Incarnation = incarnation
			all = append(all, decision)
		}
	}
	return all
}

// TestRecorderReadsStoredState reads state that an earlier version wrote, as a start and the recorder's search do.
func TestRecorderReadsStoredState(t *testing.T) {
	if *update {
		writeFixtures(t)
	}
	directory := t.TempDir()
	copyFile(t, stateFixture, filepath.Join(directory, "state.db"))
	rec, recovered := openRecorder(t, directory)
	if recovered.Incarnation != 3 || recovered.PreviousIncarnation != 2 || recovered.Empty ||
		recovered.MigratedFrom != 0 || len(recovered.Damage) > 0 {
		t.Errorf("recovered %+v; want incarnation 3 after 2, without migration and damage", recovered)
	}
	if !reflect.DeepEqual(recovered.Endpoints, fixtureEndpoints) {
		t.Errorf("endpoint list %+v; want %+v", recovered.Endpoints, fixtureEndpoints)
	}
	var published pubsub.Snapshot
	err := json.Unmarshal(recovered.Published, &published)
	if err != nil || !reflect.DeepEqual(published, fixtureSnapshot) {
		t.Errorf("published state %+v, %v; want %+v", published, err, fixtureSnapshot)
	}
	want := storedDecisions()
	if got := rec.Decisions(10, nil); !reflect.DeepEqual(got, want) {
		t.Errorf("decision log %+v; want %+v", got, want)
	}
	for text, index := range map[string]int{"joined till-1": 3, "zone 2 drains": 0, "let back 10.1.2.3:8081": 1} {
		got := rec.Decisions(1, func(decision *controller.Decision) bool { return decision.Mentions(text) })
		if len(got) != 1 || !reflect.DeepEqual(got[0], want[index]) {
			t.Errorf("search for %q found %+v; want %+v", text, got, want[index])
		}
	}
}

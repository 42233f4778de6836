package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.uber.org/goleak"

	"peppervale/internal/model"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv(fullDiskEnv); dir != "" {
		if err := runOnFullDisk(dir); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// openStore opens a directory; the store is closed at the end of the test unless the test closed it.
func openStore(t *testing.T, dir string, floor uint64) (*Store, *Recovered) {
	t.Helper()
	store, recovered, err := Open(dir, floor)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() }) // returns an error if the test already closed it
	return store, recovered
}

// closeStore closes a store so that the test can use its file.
func closeStore(tb testing.TB, store *Store) {
	tb.Helper()
	if err := store.Close(); err != nil {
		tb.Fatal(err)
	}
}

// stateImage returns the content of a directory's state file.
func stateImage(t *testing.T, dir string) []byte {
	t.Helper()
	image, err := os.ReadFile(filepath.Join(dir, stateFile))
	if err != nil {
		t.Fatal(err)
	}
	return image
}

// endpointList returns a list of one endpoint with the given port.
func endpointList(port uint16) []model.Endpoint {
	return []model.Endpoint{{
		ID:        model.ReplicaID{Addr: [4]byte{127, 0, 0, 1}, Port: port},
		Zone:      2,
		Status:    model.EndpointReady,
		StartedAt: 5,
	}}
}

// decisionRecords returns records with the numbers [from, to).
func decisionRecords(incarnation uint64, from, to int) []DecisionRecord {
	var records []DecisionRecord
	for number := from; number < to; number++ {
		body := fmt.Appendf(nil, "step %d", number)
		records = append(records, DecisionRecord{Incarnation: incarnation, Number: uint64(number), Body: body})
	}
	return records
}

// TestOpenRecoversStateOfPreviousStart checks that each start recovers the state that the previous start wrote.
func TestOpenRecoversStateOfPreviousStart(t *testing.T) {
	dir := t.TempDir()
	for incarnation := uint64(1); incarnation < 4; incarnation++ {
		store, recovered := openStore(t, dir, 1000)
		if recovered.Incarnation != incarnation || recovered.PreviousIncarnation != incarnation-1 ||
			len(recovered.Damage) > 0 || recovered.Empty != (incarnation == 1) {
			t.Fatalf("start %d recovered %+v, want the next incarnation without damage", incarnation, recovered)
		}
		if incarnation > 1 {
			checkPreviousState(t, recovered, incarnation-1)
		}
		change := &Change{
			Endpoints: endpointList(uint16(incarnation)),
			Published: fmt.Append(nil, "tables of ", incarnation),
			Decisions: decisionRecords(incarnation, 1, 5),
		}
		if err := store.Write(change); err != nil {
			t.Fatal(err)
		}
		closeStore(t, store)
	}
	store, _ := openStore(t, dir, 0)
	records, err := store.Decisions(3, 3, 4, func(r DecisionRecord) bool { return r.Number != 1 || r.Incarnation == 2 })
	var got []string
	for _, r := range records {
		got = append(got, fmt.Sprintf("%d/%d %s", r.Incarnation, r.Number, r.Body))
	}
	want := []string{"3/2 step 2", "2/4 step 4", "2/3 step 3", "2/2 step 2"}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decisions %q, error %v; want 3/2 and 2/4 to 2/2", got, err)
	}
}

func checkPreviousState(t *testing.T, recovered *Recovered, previous uint64) {
	t.Helper()
	if !reflect.DeepEqual(recovered.Endpoints, endpointList(uint16(previous))) ||
		string(recovered.Published) != fmt.Sprint("tables of ", previous) {
		t.Fatalf("state after incarnation %d recovered as %+v, want the state that it wrote", previous, recovered)
	}
}

// TestWriteTrimsDecisionLogToItsLimits checks that the oldest entries are deleted when the log exceeds its count or
// size limit.
func TestWriteTrimsDecisionLogToItsLimits(t *testing.T) {
	store, _ := openStore(t, t.TempDir(), 0)
	if err := store.Write(&Change{Decisions: decisionRecords(1, 0, maxDecisions+500)}); err != nil {
		t.Fatal(err)
	}
	largeBody := bytes.Repeat([]byte("x"), maxDecisionBytes-1000)
	for _, tt := range []struct {
		name       string
		add        []DecisionRecord
		minEntries int
	}{
		{"by count", nil, maxDecisions},
		{"by size", []DecisionRecord{{Incarnation: 1, Number: 1 << 40, Body: largeBody}}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := store.Write(&Change{Decisions: tt.add}); err != nil {
				t.Fatal(err)
			}
			var found logSize
			countAll := func(r DecisionRecord) bool { found.addRecord(r); return false }
			if _, err := store.Decisions(2, 0, maxDecisions*2, countAll); err != nil {
				t.Fatal(err)
			}
			if found != store.logSize || found.exceedsLimits() || found.entries < tt.minEntries {
				t.Fatalf("the log has size %+v, the store recorded %+v; want equal sizes within the limits", found, store.logSize)
			}
		})
	}
}

func TestOpenFailsWhenDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	openStore(t, dir, 0)
	if _, _, err := Open(dir, 0); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
}

package statestore

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// raceDetectorEnabled is set in builds with the race detector. Its pointer checks abort the process when a damaged page
// makes bbolt follow an invalid pointer, so the tests that damage pages are skipped in these builds.
var raceDetectorEnabled bool

func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if raceDetectorEnabled {
		t.Skip("the race detector aborts when bbolt reads a damaged page")
	}
}

// openImage writes an image to a state file and opens the file so that single bytes can be changed.
func openImage(t *testing.T, image []byte) (path string, file *os.File) {
	t.Helper()
	path = filepath.Join(t.TempDir(), stateFile)
	if err := os.WriteFile(path, image, 0o644); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return path, file
}

func writeByte(t *testing.T, file *os.File, offset int, value byte) {
	t.Helper()
	if _, err := file.WriteAt([]byte{value}, int64(offset)); err != nil {
		t.Fatal(err)
	}
}

// changedBytes returns the offsets at which two images differ, in the order in which bbolt writes them: first the data
// pages, then one of the two meta pages at the start of the file.
func changedBytes(before, after []byte) []int {
	metaEnd := 2 * os.Getpagesize()
	var offsets []int
	for _, section := range [][2]int{{metaEnd, len(after)}, {0, metaEnd}} {
		for offset := section[0]; offset < section[1]; offset++ {
			if before[offset] != after[offset] {
				offsets = append(offsets, offset)
			}
		}
	}
	return offsets
}

// TestInterruptedWriteLeavesOldOrNewState simulates a crash at each byte of a write: the data pages are written partly,
// or they are complete and the meta page that makes them valid is written partly. A reader must find the complete
// previous state or the complete new state.
func TestInterruptedWriteLeavesOldOrNewState(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir, 0)
	older := Change{Endpoints: endpointList(1), Published: []byte("older"), Decisions: decisionRecords(1, 1, 20)}
	newer := Change{Endpoints: endpointList(2), Published: []byte("newer"), Decisions: decisionRecords(1, 20, 40)}
	if err := store.Write(&older); err != nil {
		t.Fatal(err)
	}
	before := stateImage(t, dir) // Write returns after the sync
	if err := store.Write(&newer); err != nil {
		t.Fatal(err)
	}
	after := stateImage(t, dir)
	closeStore(t, store)
	before = append(before, make([]byte, len(after)-len(before))...)

	path, file := openImage(t, before)
	wantDecisions := map[string]int{"older": 19, "newer": 39}
	statesFound := map[string]int{}
	offsets := changedBytes(before, after)
	for _, offset := range offsets {
		writeByte(t, file, offset, after[offset])
		stored, err := readStateFile(path)
		if err != nil || len(stored.damage) > 0 {
			t.Fatalf("interrupted after byte %d: read error %v, damage %v", offset, err, stored.damage)
		}
		published := string(stored.values["published"])
		if len(stored.decisions) != wantDecisions[published] || stored.incarnation() != 1 {
			t.Fatalf("interrupted after byte %d: tables %q, %d decisions, incarnation %d; want one complete state",
				offset, published, len(stored.decisions), stored.incarnation())
		}
		statesFound[published]++
	}
	if statesFound["older"] < 500 || statesFound["newer"] == 0 {
		t.Fatalf("%d interruptions found the states %v; want at least 500 older and 1 newer", len(offsets), statesFound)
	}
}

// TestDamagedByteNeverAltersValues checks that a changed byte anywhere in the file never yields a different state: each
// value is read as it was written or not at all, and lost values are reported as damage.
func TestDamagedByteNeverAltersValues(t *testing.T) {
	skipUnderRaceDetector(t)
	dir := t.TempDir()
	store, _ := openStore(t, dir, 0)
	change := &Change{Endpoints: endpointList(1), Published: []byte("tables"), Decisions: decisionRecords(1, 1, 10)}
	if err := store.Write(change); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	image := stateImage(t, dir)
	path, file := openImage(t, image)
	undamaged, err := readStateFile(path)
	if err != nil || len(undamaged.values) != 4 || len(undamaged.decisions) != 9 {
		t.Fatalf("undamaged file read as %+v, %v; want 4 values and 9 decisions", undamaged, err)
	}
	damageReports := 0
	for offset, original := range image {
		if original == 0 && offset%16 != 0 { // pages are mostly empty; test a sample of the empty bytes
			continue
		}
		writeByte(t, file, offset, original^0x21)
		stored, err := readStateFile(path)
		if err != nil {
			t.Fatalf("byte %d: read error %v", offset, err)
		}
		writeByte(t, file, offset, original)
		checkUnaltered(t, offset, stored, undamaged)
		if len(stored.damage) > 0 {
			damageReports++
		} else if len(stored.values) < 4 && stored.incarnation() != 1 {
			t.Fatalf("byte %d: values are missing and no damage is reported: %v", offset, stored.values)
		}
	}
	if damageReports < 100 {
		t.Fatalf("%d changed bytes were reported as damage, want at least 100", damageReports)
	}
}

// checkUnaltered asserts that each value read after a byte changed is the written one, and that each decision has the
// prefix of the written ones.
func checkUnaltered(t *testing.T, offset int, stored, undamaged *storedState) {
	t.Helper()
	for key, value := range stored.values {
		if !bytes.Equal(value, undamaged.values[key]) {
			t.Fatalf("byte %d: %s is read as %q, want the written value", offset, key, value)
		}
	}
	for _, record := range stored.decisions {
		if !strings.HasPrefix(string(record.Body), "step ") {
			t.Fatalf("byte %d: a decision is read as %q, want prefix \"step \"", offset, record.Body)
		}
	}
}

// TestOpenReportsAndKeepsDamagedFile checks that a truncated file or a file of another format is reported, kept under
// another name and not used, that the next incarnation is 2 if the previous number is readable and at least floor
// otherwise, and that later writes are stored.
func TestOpenReportsAndKeepsDamagedFile(t *testing.T) {
	skipUnderRaceDetector(t)
	metaSize := 2 * os.Getpagesize()
	for _, tt := range []struct {
		name   string
		damage func(image []byte) []byte
	}{
		{"truncated", func(image []byte) []byte { return image[:3*os.Getpagesize()+100] }},
		{"empty", func([]byte) []byte { return nil }},
		{"another format", func([]byte) []byte { return bytes.Repeat([]byte("not a store\n"), 5000) }},
		{"both meta pages zero", func(image []byte) []byte { return append(make([]byte, metaSize), image[metaSize:]...) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			store, _ := openStore(t, dir, 0)
			change := &Change{Endpoints: endpointList(1), Decisions: decisionRecords(1, 1, 2000)}
			if err := store.Write(change); err != nil {
				t.Fatal(err)
			}
			closeStore(t, store)
			damagedImage := tt.damage(stateImage(t, dir))
			if err := os.WriteFile(filepath.Join(dir, stateFile), damagedImage, 0o644); err != nil {
				t.Fatal(err)
			}
			checkDamagedFile(t, dir, damagedImage)
		})
	}
}

// checkDamagedFile opens a directory with a damaged state file, writes to the store, and opens the directory again.
func checkDamagedFile(t *testing.T, dir string, damaged []byte) {
	t.Helper()
	store, recovered := openStore(t, dir, 900)
	if len(recovered.Damage) == 0 || !errors.Is(recovered.Damage[0], ErrDamaged) || recovered.Empty ||
		recovered.Incarnation < 900 && recovered.Incarnation != 2 {
		t.Fatalf("recovered %+v, want damage and incarnation 2 or at least 900", recovered)
	}
	if kept, _ := os.ReadFile(filepath.Join(dir, damagedFile)); !bytes.Equal(kept, damaged) {
		t.Error("the damaged file was not kept unchanged")
	}
	if err := store.Write(&Change{Endpoints: endpointList(7)}); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	_, afterRestart := openStore(t, dir, 0)
	if afterRestart.Incarnation != recovered.Incarnation+1 || len(afterRestart.Damage) > 0 ||
		!reflect.DeepEqual(afterRestart.Endpoints, endpointList(7)) {
		t.Fatalf("second start recovered %+v, want the next incarnation and the endpoint list written before", afterRestart)
	}
}

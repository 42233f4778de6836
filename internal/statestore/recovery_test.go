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

// raceDetectorEnabled is set by the race detector's build. Its checks of pointers end the process where a damaged page
// leads bbolt astray, which is what the tests of damage cause; they run without it.
var raceDetectorEnabled bool

func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if raceDetectorEnabled {
		t.Skip("damaged pages cannot be read under the race detector")
	}
}

// openImage writes an image into a state file and opens that for single bytes to be changed.
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

// changedBytes returns the offsets at which two images differ, in the order in which bbolt writes them: the data pages,
// then one of the two meta pages at the start.
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

// TestWriteInterruptedAtEveryByte plays a crash at each byte of a write: the pages with the new state are on disk in
// part, or all of them are and so is a part of the page that makes them valid. A reader then finds the previous state
// completely, or the new one.
func TestWriteInterruptedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir, 0)
	older := Change{Endpoints: endpointList(1), Published: []byte("older"), Decisions: decisionRecords(1, 1, 20)}
	newer := Change{Endpoints: endpointList(2), Published: []byte("newer"), Decisions: decisionRecords(1, 20, 40)}
	if err := store.Write(&older); err != nil {
		t.Fatal(err)
	}
	before := stateImage(t, dir) // a written transaction is in the file, synced
	if err := store.Write(&newer); err != nil {
		t.Fatal(err)
	}
	after := stateImage(t, dir)
	closeStore(t, store)
	before = append(before, make([]byte, len(after)-len(before))...)

	path, file := openImage(t, before)
	wantDecisions := map[string]int{"older": 19, "newer": 39}
	seen := map[string]int{}
	offsets := changedBytes(before, after)
	for _, offset := range offsets {
		writeByte(t, file, offset, after[offset])
		stored, err := readStateFile(path)
		if err != nil || len(stored.damage) > 0 {
			t.Fatalf("interrupted after byte %d: %v, %v", offset, err, stored.damage)
		}
		published := string(stored.values["published"])
		if len(stored.decisions) != wantDecisions[published] || stored.incarnation() != 1 {
			t.Fatalf("interrupted after byte %d: %q with %d decisions, incarnation %d",
				offset, published, len(stored.decisions), stored.incarnation())
		}
		seen[published]++
	}
	if seen["older"] < 500 || seen["newer"] == 0 {
		t.Fatalf("of %d interruptions: %v", len(offsets), seen)
	}
}

// TestDamageAtEveryByte shows that a byte that changed anywhere never yields another state: each value is read as it
// was written or not at all, and what was lost is reported.
func TestDamageAtEveryByte(t *testing.T) {
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
	sound, err := readStateFile(path)
	if err != nil || len(sound.values) != 4 || len(sound.decisions) != 9 {
		t.Fatalf("%+v, %v", sound, err)
	}
	reported := 0
	for offset, original := range image {
		if original == 0 && offset%16 != 0 { // most of a page is empty; a sample of that will do
			continue
		}
		writeByte(t, file, offset, original^0x21)
		stored, err := readStateFile(path)
		if err != nil {
			t.Fatalf("byte %d: %v", offset, err)
		}
		writeByte(t, file, offset, original)
		checkPartOf(t, offset, stored, sound)
		if len(stored.damage) > 0 {
			reported++
		} else if len(stored.values) < 4 && stored.incarnation() != 1 {
			t.Fatalf("byte %d: values are missing and no damage is reported: %v", offset, stored.values)
		}
	}
	if reported < 100 {
		t.Fatalf("only %d of the changed bytes were reported", reported)
	}
}

// checkPartOf asserts that what was read after a byte changed was written so.
func checkPartOf(t *testing.T, offset int, stored, sound *storedState) {
	t.Helper()
	for key, value := range stored.values {
		if !bytes.Equal(value, sound.values[key]) {
			t.Fatalf("byte %d: %s is read as %q", offset, key, value)
		}
	}
	for _, record := range stored.decisions {
		if !strings.HasPrefix(string(record.Body), "step ") {
			t.Fatalf("byte %d: a decision is read as %q", offset, record.Body)
		}
	}
}

// TestDamagedFileIsKept shows that a file that is truncated or no state file at all is reported, kept aside and not
// used; the next incarnation is above the clock's figure, and what is written after it is stored.
func TestDamagedFileIsKept(t *testing.T) {
	skipUnderRaceDetector(t)
	metaSize := 2 * os.Getpagesize()
	for _, tt := range []struct {
		name   string
		damage func(image []byte) []byte
	}{
		{"truncated", func(image []byte) []byte { return image[:3*os.Getpagesize()+100] }},
		{"empty", func([]byte) []byte { return nil }},
		{"another format", func([]byte) []byte { return bytes.Repeat([]byte("not a store\n"), 5000) }},
		{"both metas zero", func(image []byte) []byte { return append(make([]byte, metaSize), image[metaSize:]...) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			store, _ := openStore(t, dir, 0)
			change := &Change{Endpoints: endpointList(1), Decisions: decisionRecords(1, 1, 2000)}
			if err := store.Write(change); err != nil {
				t.Fatal(err)
			}
			closeStore(t, store)
			damaged := tt.damage(stateImage(t, dir))
			if err := os.WriteFile(filepath.Join(dir, stateFile), damaged, 0o644); err != nil {
				t.Fatal(err)
			}
			checkDamagedFile(t, dir, damaged)
		})
	}
}

// checkDamagedFile opens a directory whose state file is damaged, writes, and opens it again.
func checkDamagedFile(t *testing.T, dir string, damaged []byte) {
	t.Helper()
	store, recovered := openStore(t, dir, 900)
	if len(recovered.Damage) == 0 || !errors.Is(recovered.Damage[0], ErrDamaged) || recovered.Empty ||
		recovered.Incarnation < 900 && recovered.Incarnation != 2 {
		t.Fatalf("%+v", recovered)
	}
	if kept, _ := os.ReadFile(filepath.Join(dir, damagedFile)); !bytes.Equal(kept, damaged) {
		t.Error("the damaged file was not kept")
	}
	if err := store.Write(&Change{Endpoints: endpointList(7)}); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	_, again := openStore(t, dir, 0)
	if again.Incarnation != recovered.Incarnation+1 || len(again.Damage) > 0 ||
		!reflect.DeepEqual(again.Endpoints, endpointList(7)) {
		t.Fatalf("afterwards: %+v", again)
	}
}

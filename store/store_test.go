package store

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"peppervale/fleet"
)

func open(t *testing.T, dir string) *Folder {
	t.Helper()
	f, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

var entries = []fleet.Listing{{ID: fleet.ReplicaID{Addr: [4]byte{127, 0, 0, 1}, Port: 80}, Zone: 2, Life: fleet.Ready, Since: 5}}

func TestLivesGrow(t *testing.T) {
	dir := t.TempDir()
	for want := uint64(1); want < 4; want++ {
		f, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		life, lost, err := f.NextLife(1000)
		if life != want || lost != nil || err != nil {
			t.Fatalf("life %d, lost %v, %v", life, lost, err)
		}
		f.Close()
	}
}

// A state cut at any byte, or with any byte turned, is never read for another state.
func TestDamageAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	f := open(t, dir)
	if _, _, err := f.NextLife(0); err != nil {
		t.Fatal(err)
	}
	if err := f.SaveList(1, entries); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, listFile)
	whole, _ := os.ReadFile(path)
	for n := range whole {
		for _, text := range [][]byte{whole[:n], append(append(append([]byte(nil), whole[:n]...), whole[n]^0x20), whole[n+1:]...)} {
			if err := os.WriteFile(path, text, 0o644); err != nil {
				t.Fatal(err)
			}
			if got, _, err := f.List(); err == nil && !reflect.DeepEqual(got, entries) {
				t.Fatalf("damage at byte %d is read as %v", n, got)
			} else if err != nil && !errors.Is(err, ErrDamaged) {
				t.Fatal(err)
			}
		}
	}
}

// A life's number never goes back, whatever of the folder is lost.
func TestALostLife(t *testing.T) {
	dir := t.TempDir()
	f := open(t, dir)
	for range 5 {
		if _, _, err := f.NextLife(0); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.SaveList(5, entries); err != nil {
		t.Fatal(err)
	}
	os.Remove(filepath.Join(dir, lifeFile))
	life, lost, err := f.NextLife(0)
	if life != 6 || lost == nil || err != nil {
		t.Fatalf("after a lost file: life %d, lost %v, %v", life, lost, err)
	}
	if err := os.WriteFile(filepath.Join(dir, lifeFile), []byte("nonsense"), 0o644); err != nil {
		t.Fatal(err)
	}
	if life, lost, _ = f.NextLife(900); life != 900 || !errors.Is(lost, ErrDamaged) {
		t.Fatalf("after a damaged file: life %d, lost %v", life, lost)
	}
}

func TestOneProcessAFolder(t *testing.T) {
	dir := t.TempDir()
	open(t, dir)
	if _, err := Open(dir); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
}

package statestore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"peppervale/internal/model"
)

func TestMain(m *testing.M) {
	if dir := os.Getenv("STORE_ON_A_FULL_DISK"); dir != "" {
		if err := onAFullDisk(dir); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

// start opens a folder; it is closed at the end unless that was done before.
func start(t *testing.T, dir string, floor uint64) (*Store, *Recovered) {
	t.Helper()
	f, found, err := Open(dir, floor)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f, found
}

func listing(port uint16) []model.Endpoint {
	return []model.Endpoint{{ID: model.ReplicaID{Addr: [4]byte{127, 0, 0, 1}, Port: port}, Zone: 2, Status: model.EndpointReady, StartedAt: 5}}
}

func records(life uint64, from, to int) (all []Record) {
	for n := from; n < to; n++ {
		all = append(all, Record{life, uint64(n), fmt.Appendf(nil, "step %d", n)})
	}
	return all
}

// One start after the other knows what the one before put down.
func TestAStateIsKept(t *testing.T) {
	dir := t.TempDir()
	for life := uint64(1); life < 4; life++ {
		f, found := start(t, dir, 1000)
		if found.Incarnation != life || found.PreviousIncarnation != life-1 || len(found.Damage) > 0 || found.Empty != (life == 1) {
			t.Fatalf("life %d: %+v", life, found)
		}
		if life > 1 && (!reflect.DeepEqual(found.Endpoints, listing(uint16(life-1))) || string(found.Published) != fmt.Sprint("tables of ", life-1)) {
			t.Fatalf("life %d finds %+v", life, found)
		}
		if err := f.Write(&Change{Endpoints: listing(uint16(life)), Published: fmt.Append(nil, "tables of ", life), Decisions: records(life, 1, 5)}); err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	f, _ := start(t, dir, 0)
	got, err := f.Decisions(3, 3, 4, func(r Record) bool { return r.Number != 1 || r.Incarnation == 2 })
	var told []string
	for _, r := range got {
		told = append(told, fmt.Sprintf("%d/%d %s", r.Incarnation, r.Number, r.Body))
	}
	if want := []string{"3/2 step 2", "2/4 step 4", "2/3 step 3", "2/2 step 2"}; err != nil || !reflect.DeepEqual(told, want) {
		t.Fatalf("%q, %v", told, err)
	}
}

// The journal is bounded, and the oldest go.
func TestTheJournalIsBounded(t *testing.T) {
	dir := t.TempDir()
	f, _ := start(t, dir, 0)
	if err := f.Write(&Change{Decisions: records(1, 0, causesMost+500)}); err != nil {
		t.Fatal(err)
	}
	big := Record{1, 1 << 40, bytes.Repeat([]byte("x"), causesBytes-1000)}
	for _, c := range []struct {
		add  []Record
		want int
	}{{nil, causesMost}, {[]Record{big}, 0}} {
		if err := f.Write(&Change{Decisions: c.add}); err != nil {
			t.Fatal(err)
		}
		count, size := 0, 0
		if _, err := f.Decisions(2, 0, causesMost*2, func(r Record) bool { count++; size += len(r.Body); return false }); err != nil {
			t.Fatal(err)
		}
		if count != f.count || size != f.bytes || count > causesMost || size > causesBytes || count < c.want {
			t.Fatalf("%d entries of %d bytes; counted %d, %d", count, size, f.count, f.bytes)
		}
	}
}

// underRace is set by the race detector's build. Its checks of pointers end the process where a damaged page leads bbolt astray, which
// is what the tests of damage cause; they run without it.
var underRace bool

func damaging(t *testing.T) {
	t.Helper()
	if underRace {
		t.Skip("damaged pages cannot be read under the race detector")
	}
}

// image is the file of a folder that is closed.
func image(t *testing.T, dir string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(dir, dbFile))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The machine may stop at any byte of a write: the pages that hold the new state are on disk in part, or all are and the
// page that makes them count is there in part. Whoever reads then finds the older state whole, or the newer.
func TestAWriteIsCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	f, _ := start(t, dir, 0)
	older, newer := Change{Endpoints: listing(1), Published: []byte("older"), Decisions: records(1, 1, 20)}, Change{Endpoints: listing(2), Published: []byte("newer"), Decisions: records(1, 20, 40)}
	if err := f.Write(&older); err != nil {
		t.Fatal(err)
	}
	before := image(t, dir) // a written transaction is in the file, synced
	if err := f.Write(&newer); err != nil {
		t.Fatal(err)
	}
	after := image(t, dir)
	f.Close()
	before = append(before, make([]byte, len(after)-len(before))...)

	cut := filepath.Join(t.TempDir(), dbFile)
	if err := os.WriteFile(cut, before, 0o644); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(cut, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	// bbolt writes the data in order, syncs, and then one of the two first pages, the metas.
	page := os.Getpagesize()
	var order []int
	for _, span := range [][2]int{{2 * page, len(after)}, {0, 2 * page}} {
		for n := span[0]; n < span[1]; n++ {
			if before[n] != after[n] {
				order = append(order, n)
			}
		}
	}
	seen := map[string]int{}
	for _, n := range order {
		if _, err := file.WriteAt(after[n:n+1], int64(n)); err != nil {
			t.Fatal(err)
		}
		c, err := read(cut)
		if err != nil || len(c.lost) > 0 {
			t.Fatalf("cut after byte %d: %v, %v", n, err, c.lost)
		}
		state := string(c.values["published"])
		if want := map[string]int{"older": 19, "newer": 39}[state]; len(c.causes) != want || number(c.values["life"]) != 1 {
			t.Fatalf("cut after byte %d: %q with %d causes, life %d", n, state, len(c.causes), number(c.values["life"]))
		}
		seen[state]++
	}
	if seen["older"] < 500 || seen["newer"] == 0 {
		t.Fatalf("of %d cuts: %v", len(order), seen)
	}
}

// A byte that was turned anywhere is never read for another state: each value comes back as it was written or not at all,
// and what was lost is said.
func TestDamageAtEveryByte(t *testing.T) {
	damaging(t)
	dir := t.TempDir()
	f, _ := start(t, dir, 0)
	if err := f.Write(&Change{Endpoints: listing(1), Published: []byte("tables"), Decisions: records(1, 1, 10)}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	whole := image(t, dir)
	path := filepath.Join(t.TempDir(), dbFile)
	if err := os.WriteFile(path, whole, 0o644); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	sound, err := read(path)
	if err != nil || len(sound.values) != 4 || len(sound.causes) != 9 {
		t.Fatalf("%+v, %v", sound, err)
	}
	wrong := 0
	for n, b := range whole {
		if b == 0 && n%16 != 0 { // most of a page is empty; a sample of that will do
			continue
		}
		_, _ = file.WriteAt([]byte{b ^ 0x21}, int64(n))
		c, err := read(path)
		if err != nil {
			t.Fatalf("byte %d: %v", n, err)
		}
		_, _ = file.WriteAt([]byte{b}, int64(n))
		for key, value := range c.values {
			if !bytes.Equal(value, sound.values[key]) {
				t.Fatalf("byte %d: %s is read as %q", n, key, value)
			}
		}
		for _, r := range c.causes {
			if !strings.HasPrefix(string(r.Body), "step ") {
				t.Fatalf("byte %d: a cause is read as %q", n, r.Body)
			}
		}
		if len(c.lost) > 0 {
			wrong++
		} else if len(c.values) < 4 && number(c.values["life"]) != 1 {
			t.Fatalf("byte %d: %v is missing and nothing was said", n, c.values)
		}
	}
	if wrong < 100 {
		t.Fatalf("only %d of the turned bytes were seen", wrong)
	}
}

// A file that ends early, or is no store at all, is said, kept aside and not used; the next life is above the clock's figure, and what
// was put down after it is kept.
func TestADamagedStoreIsSetAside(t *testing.T) {
	damaging(t)
	for name, spoil := range map[string]func([]byte) []byte{
		"cut short":       func(b []byte) []byte { return b[:3*os.Getpagesize()+100] },
		"empty":           func([]byte) []byte { return nil },
		"something else":  func([]byte) []byte { return bytes.Repeat([]byte("not a store\n"), 5000) },
		"both metas gone": func(b []byte) []byte { return append(make([]byte, 2*os.Getpagesize()), b[2*os.Getpagesize():]...) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			f, _ := start(t, dir, 0)
			if err := f.Write(&Change{Endpoints: listing(1), Decisions: records(1, 1, 2000)}); err != nil {
				t.Fatal(err)
			}
			f.Close()
			spoiled := spoil(image(t, dir))
			if err := os.WriteFile(filepath.Join(dir, dbFile), spoiled, 0o644); err != nil {
				t.Fatal(err)
			}
			f, found := start(t, dir, 900)
			if len(found.Damage) == 0 || !errors.Is(found.Damage[0], ErrDamaged) || found.Incarnation < 900 && found.Incarnation != 2 || found.Empty {
				t.Fatalf("%+v", found)
			}
			if kept, _ := os.ReadFile(filepath.Join(dir, badFile)); !bytes.Equal(kept, spoiled) {
				t.Error("the damaged file was not kept")
			}
			if err := f.Write(&Change{Endpoints: listing(7)}); err != nil {
				t.Fatal(err)
			}
			f.Close()
			if _, again := start(t, dir, 0); again.Incarnation != found.Incarnation+1 || len(again.Damage) > 0 || !reflect.DeepEqual(again.Endpoints, listing(7)) {
				t.Fatalf("afterwards: %+v", again)
			}
		})
	}
}

// The first layout, a file for each value, is carried over; a damaged part of it is said.
func TestTheFirstFormIsCarriedOver(t *testing.T) {
	first := func(body string) []byte {
		return fmt.Appendf(nil, "%s %08x\n%s\n", firstForm, crc32.ChecksumIEEE([]byte(body)), body)
	}
	const list = `{"life":6,"entries":[{"ID":{"Addr":[127,0,0,1],"Port":3},"Zone":2,"Life":0,"Since":5}]}`
	for _, c := range []struct {
		life, list []byte
		want       uint64
		lost       int
		listed     bool
	}{
		{first(`{"life":6}`), first(list), 7, 0, true},
		{first(`{"life":6}`), nil, 7, 0, false},
		{nil, first(list), 900, 1, true},
		{[]byte("nonsense"), first(list), 900, 1, true},
		{first(`{"life":6}`), first(list)[:60], 7, 1, false},
	} {
		dir := t.TempDir()
		for name, text := range map[string][]byte{"life": c.life, "list": c.list} {
			if text != nil {
				if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
		}
		_, found := start(t, dir, 900)
		if found.Incarnation != c.want || len(found.Damage) != c.lost || found.MigratedFrom != 1 || (found.Endpoints != nil) != c.listed {
			t.Errorf("%q: %+v", c.life, found)
		} else if c.listed && (len(found.Endpoints) != 1 || found.Endpoints[0].ID.Port != 3 || found.Endpoints[0].Zone != 2) {
			t.Errorf("%+v", found.Endpoints)
		}
	}
}

// A newer version's store is refused with the cure, and nothing of it is touched.
func TestANewerFormIsRefused(t *testing.T) {
	dir := t.TempDir()
	f, _ := start(t, dir, 0)
	err := f.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(stateBucket).Put(formKey, sealed(binary.BigEndian.AppendUint64(nil, form+1)))
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	before := image(t, dir)
	if _, _, err := Open(dir, 0); !errors.Is(err, ErrNewer) || !strings.Contains(err.Error(), "start the later version") {
		t.Fatal(err)
	}
	if !bytes.Equal(before, image(t, dir)) {
		t.Fatal("the newer store was written to")
	}
}

func TestOneProcessAFolder(t *testing.T) {
	dir := t.TempDir()
	start(t, dir, 0)
	if _, _, err := Open(dir, 0); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
}

// A disk that is full: the state on it stays, the failure is told once, what came meanwhile is put down once there is room, and no
// more is kept in memory than the bound.
func TestAFullDisk(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "STORE_ON_A_FULL_DISK="+t.TempDir())
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

// onAFullDisk runs in a process of its own, as the limit on a file's size, which stands in for the disk's end, is a process's.
func onAFullDisk(dir string) error {
	f, _, err := Open(dir, 0)
	if err != nil {
		return err
	}
	if err := f.Write(&Change{Endpoints: listing(1), Published: []byte("before")}); err != nil {
		return err
	}
	told := make(chan error, 100)
	w := NewWriter(f, func(err error, _ uint64) { told <- err })
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		return err
	}
	full := limit
	full.Cur = 1 // no file grows from here on
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		return err
	}
	big := bytes.Repeat([]byte("x"), 500)
	for n := range pendingMost + 100 {
		w.AddDecision(Record{1, uint64(n), big})
	}
	w.SetEndpoints(listing(2))
	select {
	case err := <-told:
		if err == nil {
			return errors.New("a full disk was not told")
		}
	case <-time.After(20 * time.Second):
		return errors.New("nothing was told of a full disk")
	}
	if out := w.Dropped(); out < 100 {
		return fmt.Errorf("%d causes were left out, and at least 100 had no room", out)
	}
	c := &content{values: map[string][]byte{}}
	if err := f.db.View(c.take); err != nil || string(c.values["published"]) != "before" || len(c.lost) > 0 {
		return fmt.Errorf("on the full disk: %v, %+v", err, c)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		return err
	}
	select {
	case err := <-told:
		if err != nil {
			return fmt.Errorf("told again: %w", err)
		}
	case <-time.After(60 * time.Second):
		return errors.New("it did not work again")
	}
	w.Close()
	f.Close()
	_, found, err := Open(dir, 0)
	if err != nil || !reflect.DeepEqual(found.Endpoints, listing(2)) || string(found.Published) != "before" {
		return fmt.Errorf("afterwards: %v, %+v", err, found)
	}
	return nil
}

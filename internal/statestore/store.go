package statestore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"

	"peppervale/internal/model"
)

// Errors of Open, told by errors.Is.
var (
	ErrDamaged = errors.New("damaged")                   // a value or a file that does not add up
	ErrLocked  = errors.New("in use by another process") // the folder
	ErrNewer   = errors.New("of a newer form")           // written by a later version
)

// form is the number of this layout. 1 was a file for each value.
const form = 2

const (
	dbFile   = "state.db"
	newFile  = "state.db.new"
	badFile  = "state.db.damaged"
	lockFile = "lock"
)

var (
	stateBucket  = []byte("state")
	causesBucket = []byte("causes")

	formKey, lifeKey, listKey, publishedKey = []byte("form"), []byte("life"), []byte("list"), []byte("published")
)

// Bounds of the journal: some 400 bytes an entry, at a kept step a second five hours. A start copies all of it, and forwarders wait for
// that: 24 MiB took 0.47 s, 8 MiB 0.15 s (BenchmarkStart, an ordinary disk).
const (
	causesMost  = 20_000
	causesBytes = 8 << 20
)

// Record is an entry of the journal of causes, as bytes.
type Record struct {
	Incarnation, Number uint64
	Body                []byte
}

// Recovered is what opening found.
type Recovered struct {
	Incarnation         uint64           // of this start, from 1
	Endpoints           []model.Endpoint // the last whole list; nil if there is none to trust
	Published           []byte           // what was last published, by the writer's own format; nil if there is none to trust
	PreviousIncarnation uint64           // the life that the folder told; 0 if it told none
	Empty               bool             // nothing was there
	MigratedFrom        int              // the form that was carried over; 0 if it was this one
	Damage              []error          // what could not be trusted, each with its place
}

// Store is an open state folder. Make it with Open and Close it.
type Store struct {
	dir  string
	lock *os.File
	db   *bolt.DB

	// Of the journal, kept by the one who writes.
	count, bytes int
}

// Open makes the folder if it is missing, locks it, reads what it holds and counts a life. If the number of the last life
// cannot be trusted the next one is above floor (say the clock's seconds), as nobody can tell how far the lost one had
// come. Errors: ErrLocked, ErrNewer, and those of the disk; damage is none, see Found.Lost.
func Open(dir string, floor uint64) (*Store, *Recovered, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := take(dir)
	if err != nil {
		return nil, nil, err
	}
	f := &Store{dir: dir, lock: lock}
	found, err := f.start(floor)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, found, nil
}

func take(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("state folder %s: %w; end that one, or name another folder", dir, ErrLocked)
	}
	return lock, nil
}

// Close gives the folder up.
func (f *Store) Close() error {
	var err error
	if f.db != nil {
		err = f.db.Close()
	}
	return errors.Join(err, f.lock.Close())
}

// content is what a folder holds, read whole.
type content struct {
	values map[string][]byte // of the state bucket, checked
	causes []Record          // in order
	lost   []error
}

func (f *Store) start(floor uint64) (*Recovered, error) {
	path, fresh := filepath.Join(f.dir, dbFile), filepath.Join(f.dir, newFile)
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) { // a start that was cut
		return nil, err
	}
	found := &Recovered{}
	old, err := read(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		if old = readFirstForm(f.dir); old == nil {
			old, found.Empty = &content{}, true
		} else {
			found.MigratedFrom = 1
		}
	case err != nil:
		return nil, err
	}
	found.Damage = old.lost
	found.PreviousIncarnation = number(old.values["life"])
	if found.Incarnation = found.PreviousIncarnation + 1; found.PreviousIncarnation == 0 && !found.Empty {
		found.Incarnation = max(floor, 1)
		if len(old.causes) > 0 {
			found.Incarnation = max(found.Incarnation, old.causes[len(old.causes)-1].Incarnation+1)
		}
	}
	if list, ok := old.values["list"]; ok {
		if err := json.Unmarshal(list, &found.Endpoints); err != nil {
			found.Damage, found.Endpoints = append(found.Damage, fmt.Errorf("list: %w: %w", ErrDamaged, err)), nil
		}
	}
	found.Published = old.values["published"]
	if err := f.renew(path, fresh, old, found); err != nil {
		return nil, err
	}
	return found, nil
}

// renew writes what was read into a new file and puts it in the old one's place.
func (f *Store) renew(path, fresh string, old *content, found *Recovered) error {
	db, err := bolt.Open(fresh, 0o644, &bolt.Options{Timeout: time.Second, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		causes, err := tx.CreateBucketIfNotExists(causesBucket)
		if err != nil {
			return err
		}
		causes.FillPercent = 0.95 // they come in order
		put := func(key, value []byte) { err = errors.Join(err, state.Put(key, sealed(value))) }
		put(formKey, binary.BigEndian.AppendUint64(nil, form))
		put(lifeKey, binary.BigEndian.AppendUint64(nil, found.Incarnation))
		if found.Endpoints != nil {
			put(listKey, old.values["list"])
		}
		if found.Published != nil {
			put(publishedKey, found.Published)
		}
		if err != nil {
			return err
		}
		for _, r := range old.causes {
			f.count++
			f.bytes += len(r.Body)
			if err := causes.Put(causeKey(r.Incarnation, r.Number), sealed(r.Body)); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && len(old.lost) > 0 && found.MigratedFrom == 0 {
		// A second name, not another one: a cut before the next line must not leave a folder that looks new.
		bad := filepath.Join(f.dir, badFile)
		_ = os.Remove(bad)
		_ = os.Link(path, bad) // a disk without links keeps no copy
	}
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err == nil {
		err = syncFolder(f.dir)
	}
	if err != nil {
		db.Close()
		return fmt.Errorf("state: %w", err)
	}
	f.db = db
	return nil
}

func syncFolder(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// read gives what can be trusted of a file. A page that is missing or makes no sense ends in a panic or a fault in
// bbolt; both are taken here as damage, in the goroutine that reads.
func read(path string) (c *content, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	c = &content{values: map[string][]byte{}}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			c.lost, err = append(c.lost, fmt.Errorf("state.db: %w: %v", ErrDamaged, p)), nil
		}
	}()
	db, err := bolt.Open(path, 0o644, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		c.lost = append(c.lost, fmt.Errorf("state.db: %w: %w", ErrDamaged, err))
		return c, nil
	}
	defer db.Close()
	tx, err := db.Begin(false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tx.Rollback() }()
	if err := c.take(tx); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *content) take(tx *bolt.Tx) error {
	state, causes := tx.Bucket(stateBucket), tx.Bucket(causesBucket)
	if state == nil || causes == nil {
		c.lost = append(c.lost, fmt.Errorf("state.db: %w: it lacks a part", ErrDamaged))
		return nil
	}
	for _, key := range [][]byte{formKey, lifeKey, listKey, publishedKey} {
		sealedValue := state.Get(key)
		if sealedValue == nil {
			continue
		}
		value, ok := unsealed(sealedValue)
		if !ok {
			c.lost = append(c.lost, fmt.Errorf("state.db: %s: %w: its checksum does not add up", key, ErrDamaged))
			continue
		}
		c.values[string(key)] = append([]byte{}, value...)
	}
	if n := number(c.values["form"]); n > form {
		return fmt.Errorf("state.db: %w: form %d, and this program reads up to %d; start the later version, or name another folder", ErrNewer, n, form)
	}
	if number(c.values["life"]) == 0 && len(c.lost) == 0 {
		c.lost = append(c.lost, fmt.Errorf("state.db: life: %w: it is missing", ErrDamaged))
	}
	bad := 0
	cursor := causes.Cursor()
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		body, ok := unsealed(v)
		if !ok || len(k) != 16 || len(c.causes) >= 2*causesMost {
			bad++
			continue
		}
		c.causes = append(c.causes, Record{binary.BigEndian.Uint64(k), binary.BigEndian.Uint64(k[8:]), append([]byte{}, body...)})
	}
	if bad > 0 {
		c.lost = append(c.lost, fmt.Errorf("state.db: %d entries of the journal of causes: %w", bad, ErrDamaged))
	}
	return nil
}

// Change is what one write puts down together.
type Change struct {
	Endpoints []model.Endpoint // nil: as it was
	Published []byte           // nil: as it was
	Decisions []Record
}

// Write puts a change down, synced, all of it or nothing. The oldest causes beyond the journal's bounds go with it.
func (f *Store) Write(c *Change) error {
	count, bytes := f.count, f.bytes
	err := f.db.Update(func(tx *bolt.Tx) error {
		state, causes := tx.Bucket(stateBucket), tx.Bucket(causesBucket)
		if c.Endpoints != nil {
			body, err := json.Marshal(c.Endpoints)
			if err != nil {
				return err
			}
			if err := state.Put(listKey, sealed(body)); err != nil {
				return err
			}
		}
		if c.Published != nil {
			if err := state.Put(publishedKey, sealed(c.Published)); err != nil {
				return err
			}
		}
		causes.FillPercent = 0.95
		for _, r := range c.Decisions {
			if err := causes.Put(causeKey(r.Incarnation, r.Number), sealed(r.Body)); err != nil {
				return err
			}
			count++
			bytes += len(r.Body)
		}
		for count > causesMost || bytes > causesBytes {
			k, v := causes.Cursor().First()
			if k == nil {
				break
			}
			bytes -= len(v) - 4
			count--
			if err := causes.Delete(k); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	f.count, f.bytes = count, bytes
	return nil
}

// Decisions gives the entries before (life, number) that match, newest first, most at most. It does not wait for writes nor
// hold them up.
func (f *Store) Decisions(life, number uint64, most int, match func(Record) bool) (found []Record, err error) {
	err = f.db.View(func(tx *bolt.Tx) error {
		cursor := tx.Bucket(causesBucket).Cursor()
		k, v := cursor.Seek(causeKey(life, number))
		if k == nil {
			k, v = cursor.Last()
		} else {
			k, v = cursor.Prev()
		}
		for ; k != nil && len(found) < most; k, v = cursor.Prev() {
			body, ok := unsealed(v)
			if !ok || len(k) != 16 {
				continue
			}
			r := Record{binary.BigEndian.Uint64(k), binary.BigEndian.Uint64(k[8:]), body}
			if match(r) {
				r.Body = append([]byte{}, body...)
				found = append(found, r)
			}
		}
		return nil
	})
	return found, err
}

func causeKey(life, number uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, life), number)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sealed(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), crc32.Checksum(body, castagnoli)), body...)
}

func unsealed(b []byte) ([]byte, bool) {
	if len(b) < 4 {
		return nil, false
	}
	return b[4:], binary.BigEndian.Uint32(b) == crc32.Checksum(b[4:], castagnoli)
}

// number reads a stored number; 0 if it is missing or of another length.
func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

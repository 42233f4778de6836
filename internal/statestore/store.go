package statestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	bolt "go.etcd.io/bbolt"

	"peppervale/internal/model"
)

// schemaVersion is the number of the layout that this program writes. Version 1 was a file for each value.
const schemaVersion = 2

// Files in the state directory.
const (
	stateFile   = "state.db"
	newFile     = "state.db.new"
	damagedFile = "state.db.damaged"
	lockFile    = "lock"
)

// Names in the state file; stored files hold them.
var (
	stateBucket     = []byte("state")
	decisionsBucket = []byte("causes")

	schemaVersionKey = []byte("form")
	incarnationKey   = []byte("life")
	endpointsKey     = []byte("list")
	publishedKey     = []byte("published")
)

// Store is an open state directory, locked for this process. Make it with Open and end it with Close. Write is called
// by one goroutine at a time; Decisions by any.
type Store struct {
	dir  string
	lock *os.File
	db   *bolt.DB

	logSize logSize // owned by the goroutine that writes
}

// Open makes the directory if it is missing, locks it, recovers what it holds and counts an incarnation. If the
// number of the last incarnation is not known, the next one is at least floor (say the clock's seconds), as it is
// not known how far the lost number had come. Errors: ErrLocked, ErrNewer, and those of the disk. Damage is no error,
// see Recovered.Damage.
func Open(dir string, floor uint64) (*Store, *Recovered, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, fmt.Errorf("state directory: %w", err)
	}
	lock, err := lockDirectory(dir)
	if err != nil {
		return nil, nil, err
	}
	store := &Store{dir: dir, lock: lock}
	recovered, err := store.recoverState(floor)
	if err != nil {
		return nil, nil, errors.Join(err, store.Close())
	}
	return store, recovered, nil
}

func lockDirectory(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(&LockedError{Dir: dir}, lock.Close())
	}
	return lock, nil
}

// Close closes the state file and releases the directory.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	return errors.Join(err, s.lock.Close())
}

// Change is what one write stores together.
type Change struct {
	Endpoints []model.Endpoint // nil: unchanged
	Published []byte           // nil: unchanged
	Decisions []DecisionRecord // appended to the decision log
}

func (c *Change) isEmpty() bool {
	return c.Endpoints == nil && c.Published == nil && len(c.Decisions) == 0
}

// Write stores a change durably, completely or not at all. The oldest decisions beyond the log's limits are deleted
// with it. The error is one of the disk or the database.
func (s *Store) Write(change *Change) error {
	size := s.logSize
	err := s.db.Update(func(tx *bolt.Tx) error {
		if err := putState(tx.Bucket(stateBucket), change); err != nil {
			return err
		}
		decisions := tx.Bucket(decisionsBucket)
		if err := appendDecisions(decisions, change.Decisions, &size); err != nil {
			return err
		}
		return trimDecisions(decisions, &size)
	})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	s.logSize = size
	return nil
}

// putState stores the single values of a change.
func putState(bucket *bolt.Bucket, change *Change) error {
	if change.Endpoints != nil {
		body, err := json.Marshal(change.Endpoints)
		if err != nil {
			return err
		}
		if err := bucket.Put(endpointsKey, withChecksum(body)); err != nil {
			return err
		}
	}
	if change.Published != nil {
		return bucket.Put(publishedKey, withChecksum(change.Published))
	}
	return nil
}

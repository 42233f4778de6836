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

// schemaVersion is the version of the layout that this program writes. Version 1 had a file for each value.
const schemaVersion = 2

// Files in the state directory.
const (
	stateFile   = "state.db"
	newFile     = "state.db.new"
	damagedFile = "state.db.damaged"
	lockFile    = "lock"
)

// Bucket names and keys of the state file. They are part of the stored format.
var (
	stateBucket     = []byte("state")
	decisionsBucket = []byte("causes")

	schemaVersionKey = []byte("form")
	incarnationKey   = []byte("life")
	endpointsKey     = []byte("list")
	publishedKey     = []byte("published")
)

// Store is an open state directory, locked for this process. Create it with Open and release it with Close. Only one
// goroutine may call Write at a time; any goroutine may call Decisions.
type Store struct {
	dir  string
	lock *os.File
	db   *bolt.DB

	logSize logSize // used only by the goroutine that calls Write
}

// Open creates the directory if it is missing, locks it, recovers the stored state and increments the incarnation. If
// the last incarnation number is lost, the next one is at least floor (for example the clock's seconds), which the
// caller chooses above every number that it may have used. Open returns an error that matches ErrLocked or
// ErrNewerSchema, or a disk error. Damage is not an error; see Recovered.Damage.
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

// Close closes the state file and unlocks the directory.
func (s *Store) Close() error {
	var err error
	if s.db != nil {
		err = s.db.Close()
	}
	return errors.Join(err, s.lock.Close())
}

// Change is the data that one write stores atomically.
type Change struct {
	Incarnation uint64           // higher one that this start uses from now on; 0: unchanged
	Endpoints   []model.Endpoint // nil: unchanged
	Published   []byte           // nil: unchanged
	Decisions   []DecisionRecord // appended to the decision log
}

func (c *Change) isEmpty() bool {
	return c.Incarnation == 0 && c.Endpoints == nil && c.Published == nil && len(c.Decisions) == 0
}

// Write stores a change durably, completely or not at all. It also deletes the oldest decisions beyond the log's
// limits. An error comes from the disk or the database.
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
		return fmt.Errorf("write state file: %w", err)
	}
	s.logSize = size
	return nil
}

// putState stores the incarnation, the endpoint list and the published tables of a change.
func putState(bucket *bolt.Bucket, change *Change) error {
	if change.Incarnation > 0 {
		if err := bucket.Put(incarnationKey, withChecksum(encodeUint64(change.Incarnation))); err != nil {
			return err
		}
	}
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

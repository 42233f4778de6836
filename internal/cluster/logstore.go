package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/raft"
	boltraft "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"
)

// logFile holds raft's log and votes; the snapshots lie beside it.
const logFile = "agreed.db"

// lockTimeout is how long another process may keep the log file locked.
const lockTimeout = time.Second

// openLogStore opens raft's store after a check of its pages. A damaged one is refused with a DamagedLogError and
// left as it is: a member that forgot its vote could vote twice, so nothing is repaired here.
func openLogStore(directory string) (*boltraft.BoltStore, error) {
	path := filepath.Join(directory, logFile)
	if _, err := os.Stat(path); err == nil {
		if err := checkPages(path); err != nil {
			return nil, &DamagedLogError{Path: path, Directory: directory, Cause: err}
		}
	}
	store, err := boltraft.New(boltraft.Options{Path: path, BoltOptions: &bolt.Options{Timeout: lockTimeout}})
	if err != nil {
		return nil, fmt.Errorf("cluster: %s: %w", path, err)
	}
	return store, nil
}

// checkPages reads every page. bbolt maps the file: one that was truncated shows as a memory fault, which becomes an
// error here.
func checkPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = &pageFaultError{fault}
		}
	}()
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		return errEmptyLogStore
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return &truncatedError{want: tx.Size(), got: info.Size()}
		}
		// bbolt's own Check reads in a goroutine of its own, where a damaged page would end the process.
		return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(_, _ []byte) error { return nil })
		})
	})
}

// faultyStore is a store whose disk tests make fail.
type faultyStore struct {
	*boltraft.BoltStore
	diskFault func() error // nil while the disk is writable
}

// StoreLog stores one entry.
func (s *faultyStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries.
func (s *faultyStore) StoreLogs(entries []*raft.Log) error {
	if err := s.diskFault(); err != nil {
		return err
	}
	return s.BoltStore.StoreLogs(entries)
}

// Set stores a value.
func (s *faultyStore) Set(key, value []byte) error {
	if err := s.diskFault(); err != nil {
		return err
	}
	return s.BoltStore.Set(key, value)
}

// SetUint64 stores a number.
func (s *faultyStore) SetUint64(key []byte, value uint64) error {
	if err := s.diskFault(); err != nil {
		return err
	}
	return s.BoltStore.SetUint64(key, value)
}

// retryingStore keeps votes and terms. raft ends the process if they cannot be written; this store retries until they
// can, so that the controller goes on until its leases expire, its console shows the fault, and it recovers with the
// disk.
type retryingStore struct {
	raft.StableStore
	interval time.Duration
	changed  func(error) // takes each failure, and nil once it is over
	done     <-chan struct{}
}

func (s *retryingStore) retry(write func() error) error {
	failed := false
	for {
		err := write()
		if err == nil {
			if failed {
				s.changed(nil)
			}
			return nil
		}
		failed = true
		s.changed(err)
		select {
		case <-time.After(s.interval):
		case <-s.done:
			return err
		}
	}
}

// Set stores a value.
func (s *retryingStore) Set(key, value []byte) error {
	return s.retry(func() error { return s.StableStore.Set(key, value) })
}

// SetUint64 stores a number.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	return s.retry(func() error { return s.StableStore.SetUint64(key, value) })
}

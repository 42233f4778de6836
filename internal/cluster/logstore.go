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

// logFile holds raft's log and votes; the snapshots are in the same directory.
const logFile = "agreed.db"

// lockTimeout is how long to wait for another process to unlock the log file.
const lockTimeout = time.Second

// openLogStore opens raft's store after a check of its pages. It refuses a damaged store with a DamagedLogError and
// does not repair it: a member that has lost its vote could vote twice.
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

// checkPages reads every page. bbolt maps the file into memory: reading a truncated file causes a memory fault, which
// is returned as an error.
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
		// bbolt's Check reads in a separate goroutine, where a damaged page would end the process.
		return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error {
			return bucket.ForEach(func(_, _ []byte) error { return nil })
		})
	})
}

// faultyStore is a store with disk faults that tests inject.
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

// retryingStore stores votes and terms. Raft ends the process if they cannot be written; this store retries until the
// write succeeds, so that the controller acts until its leases expire, its console shows the fault, and it recovers
// once the disk is writable.
type retryingStore struct {
	raft.StableStore
	interval    time.Duration
	reportState func(error) // called with each error, and with nil after recovery
	done        <-chan struct{}
}

func (s *retryingStore) retry(write func() error) error {
	failed := false
	for {
		err := write()
		if err == nil {
			if failed {
				s.reportState(nil)
			}
			return nil
		}
		failed = true
		s.reportState(err)
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

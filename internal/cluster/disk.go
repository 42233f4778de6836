package cluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/raft"
	boltraft "github.com/hashicorp/raft-boltdb/v2"
	bolt "go.etcd.io/bbolt"
)

// logFile holds raft's log and votes; beside it lie its snapshots.
const logFile = "agreed.db"

// openLog opens raft's store after a check of its pages. A damaged one is refused and left as it is: a member that forgot its vote
// could vote twice, so nothing is mended here.
func openLog(folder string) (*boltraft.BoltStore, error) {
	path := filepath.Join(folder, logFile)
	cure := fmt.Sprintf("what it had agreed on is not known any more, so it must come back as another: have the group strike it off "+
		"('peppervale group strike NAME'), move %s away and start it under a new name with join = true", folder)
	if _, err := os.Stat(path); err == nil {
		if err := checkPages(path); err != nil {
			return nil, fmt.Errorf("group: %s is damaged (%v); %s", path, err, cure)
		}
	}
	store, err := boltraft.New(boltraft.Options{Path: path, BoltOptions: &bolt.Options{Timeout: time.Second}})
	if err != nil {
		return nil, fmt.Errorf("group: %s: %w", path, err)
	}
	return store, nil
}

// checkPages reads every page. bbolt maps the file: one that was cut short shows as a fault of memory, which is made an error here.
func checkPages(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("%v", broken)
		}
	}()
	if info, err := os.Stat(path); err == nil && info.Size() == 0 {
		return errors.New("it is empty")
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		return err
	}
	defer db.Close()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("it should have %d bytes and has %d", tx.Size(), info.Size())
		}
		// bbolt's own Check reads in a goroutine of its own, where a damaged page would end the process.
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error { return nil })
		})
	})
}

// fillable is a store whose disk tests fill.
type fillable struct {
	*boltraft.BoltStore
	full func() error
}

func (f *fillable) StoreLog(l *raft.Log) error { return f.StoreLogs([]*raft.Log{l}) }

func (f *fillable) StoreLogs(all []*raft.Log) error {
	if err := f.full(); err != nil {
		return err
	}
	return f.BoltStore.StoreLogs(all)
}

func (f *fillable) Set(key, val []byte) error {
	if err := f.full(); err != nil {
		return err
	}
	return f.BoltStore.Set(key, val)
}

func (f *fillable) SetUint64(key []byte, val uint64) error {
	if err := f.full(); err != nil {
		return err
	}
	return f.BoltStore.SetUint64(key, val)
}

// patient keeps votes and terms. raft ends the process if they cannot be written; this one tries until they can, so that the governor goes
// on to the end of its leases, its console tells why, and it comes back with the disk.
type patient struct {
	raft.StableStore
	every time.Duration
	told  func(error) // each failure, and nil once it is over
	ended <-chan struct{}
}

func (p *patient) try(write func() error) error {
	failed := false
	for {
		err := write()
		if err == nil {
			if failed {
				p.told(nil)
			}
			return nil
		}
		failed = true
		p.told(err)
		select {
		case <-time.After(p.every):
		case <-p.ended:
			return err
		}
	}
}

func (p *patient) Set(key, val []byte) error {
	return p.try(func() error { return p.StableStore.Set(key, val) })
}

func (p *patient) SetUint64(key []byte, val uint64) error {
	return p.try(func() error { return p.StableStore.SetUint64(key, val) })
}

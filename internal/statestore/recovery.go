package statestore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"

	"peppervale/internal/model"
)

// databaseLockTimeout limits the wait for bbolt's own file lock.
const databaseLockTimeout = time.Second

// Recovered is the state that Open found.
type Recovered struct {
	Incarnation         uint64           // of this start; 1 in a directory without stored state
	Endpoints           []model.Endpoint // the last complete list; nil if none is usable
	Published           []byte           // the tables last published, in the caller's encoding; nil if none are usable
	PreviousIncarnation uint64           // the stored incarnation; 0 if none was usable
	Empty               bool             // the directory had no stored state
	MigratedFrom        int              // schema version that was migrated; 0 if the state had the current one
	Damage              []error          // one *DamageError or disk error for each unusable part
}

// storedState is the complete content of a state directory.
type storedState struct {
	values    map[string][]byte // of the state bucket, by key; checksums verified
	decisions []DecisionRecord  // in the order of their keys
	damage    []error
}

func newStoredState() *storedState {
	return &storedState{values: map[string][]byte{}}
}

func (st *storedState) addDamage(location string, cause error) {
	st.damage = append(st.damage, &DamageError{Location: location, Cause: cause})
}

// incarnation returns the stored incarnation, or 0 if there is none.
func (st *storedState) incarnation() uint64 {
	return decodeUint64(st.values[string(incarnationKey)])
}

// nextIncarnation returns the next incarnation when the previous number is lost: at least floor (see Open), and above
// every incarnation in the decision log.
func (st *storedState) nextIncarnation(floor uint64) uint64 {
	next := max(floor, 1)
	if len(st.decisions) > 0 {
		newest := st.decisions[len(st.decisions)-1]
		next = max(next, newest.Incarnation+1)
	}
	return next
}

// recoverState reads the stored state and replaces the state file with one for the next incarnation.
func (s *Store) recoverState(floor uint64) (*Recovered, error) {
	interruptedFile := filepath.Join(s.dir, newFile) // left by an interrupted start
	if err := os.Remove(interruptedFile); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	recovered := &Recovered{}
	stored, err := s.readStored(recovered)
	if err != nil {
		return nil, err
	}
	recovered.Damage = stored.damage
	recovered.PreviousIncarnation = stored.incarnation()
	recovered.Incarnation = recovered.PreviousIncarnation + 1
	if recovered.PreviousIncarnation == 0 && !recovered.Empty {
		recovered.Incarnation = stored.nextIncarnation(floor)
	}
	if list, ok := stored.values[string(endpointsKey)]; ok {
		if err := json.Unmarshal(list, &recovered.Endpoints); err != nil {
			recovered.Endpoints = nil
			recovered.Damage = append(recovered.Damage, &DamageError{Location: "endpoint list", Cause: err})
		}
	}
	recovered.Published = stored.values[string(publishedKey)]
	if err := s.replaceFile(stored, recovered); err != nil {
		return nil, fmt.Errorf("replace state file: %w", err)
	}
	return recovered, nil
}

// readStored reads the state file, or the files of the first schema version if there is no state file. It sets Empty or
// MigratedFrom of recovered accordingly.
func (s *Store) readStored(recovered *Recovered) (*storedState, error) {
	stored, err := readStateFile(filepath.Join(s.dir, stateFile))
	if !errors.Is(err, os.ErrNotExist) {
		return stored, err
	}
	stored = readFirstVersion(s.dir)
	if stored == nil {
		recovered.Empty = true
		return newStoredState(), nil
	}
	recovered.MigratedFrom = firstVersion
	return stored, nil
}

// readStateFile returns the usable part of a state file. A missing or invalid page causes a panic or a memory fault in
// bbolt; readStateFile recovers from both and reports them as damage.
func readStateFile(path string) (stored *storedState, err error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	stored = newStoredState()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if panicValue := recover(); panicValue != nil {
			stored.addDamage(stateFile, fmt.Errorf("%v", panicValue))
			err = nil
		}
	}()
	db, err := bolt.Open(path, 0o644, &bolt.Options{ReadOnly: true, Timeout: databaseLockTimeout})
	if err != nil {
		stored.addDamage(stateFile, err)
		return stored, nil
	}
	defer func() { _ = db.Close() }()
	tx, err := db.Begin(false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = tx.Rollback() }()
	if err := stored.load(tx); err != nil {
		return nil, err
	}
	return stored, nil
}

// load reads the buckets of a transaction. The only error it returns matches ErrNewerSchema; other problems are added
// as damage.
func (st *storedState) load(tx *bolt.Tx) error {
	state, decisions := tx.Bucket(stateBucket), tx.Bucket(decisionsBucket)
	if state == nil || decisions == nil {
		st.addDamage(stateFile, errMissingBucket)
		return nil
	}
	st.loadValues(state)
	if version := decodeUint64(st.values[string(schemaVersionKey)]); version > schemaVersion {
		return &NewerSchemaError{Stored: version, Supported: schemaVersion}
	}
	if st.incarnation() == 0 && len(st.damage) == 0 {
		st.addDamage(stateFile+": incarnation", errMissingIncarnation)
	}
	st.loadDecisions(decisions)
	return nil
}

func (st *storedState) loadValues(bucket *bolt.Bucket) {
	for _, key := range [][]byte{schemaVersionKey, incarnationKey, endpointsKey, publishedKey} {
		storedBytes := bucket.Get(key)
		if storedBytes == nil {
			continue
		}
		value, ok := verifyChecksum(storedBytes)
		if !ok {
			st.addDamage(fmt.Sprintf("%s: %s", stateFile, key), errChecksum)
			continue
		}
		st.values[string(key)] = bytes.Clone(value)
	}
}

// loadDecisions reads the decision log. It stops adding entries at 2*maxDecisions, because a damaged page may make the
// cursor return entries repeatedly.
func (st *storedState) loadDecisions(bucket *bolt.Bucket) {
	damaged := 0
	cursor := bucket.Cursor()
	for key, storedBytes := cursor.First(); key != nil; key, storedBytes = cursor.Next() {
		record, ok := parseDecision(key, storedBytes)
		if !ok || len(st.decisions) >= 2*maxDecisions { // only a damaged file has more
			damaged++
			continue
		}
		record.Body = bytes.Clone(record.Body)
		st.decisions = append(st.decisions, record)
	}
	if damaged > 0 {
		st.addDamage(fmt.Sprintf("%s: %d entries of the decision log", stateFile, damaged), nil)
	}
}

// replaceFile writes the recovered state to a new file and renames it over the old one. The store then uses the new
// file.
func (s *Store) replaceFile(stored *storedState, recovered *Recovered) error {
	currentPath, newPath := filepath.Join(s.dir, stateFile), filepath.Join(s.dir, newFile)
	options := &bolt.Options{Timeout: databaseLockTimeout, FreelistType: bolt.FreelistMapType}
	database, err := bolt.Open(newPath, 0o644, options)
	if err != nil {
		return err
	}
	if err := s.writeRecovered(database, stored, recovered); err != nil {
		return errors.Join(err, database.Close())
	}
	if len(stored.damage) > 0 && recovered.MigratedFrom == 0 {
		keepDamagedFile(currentPath, filepath.Join(s.dir, damagedFile))
	}
	if err := os.Rename(newPath, currentPath); err != nil {
		return errors.Join(err, database.Close())
	}
	if err := syncDirectory(s.dir); err != nil {
		return errors.Join(err, database.Close())
	}
	s.db = database
	return nil
}

// writeRecovered writes the recovered state to a new state file.
func (s *Store) writeRecovered(db *bolt.DB, stored *storedState, recovered *Recovered) error {
	return db.Update(func(tx *bolt.Tx) error {
		state, err := tx.CreateBucketIfNotExists(stateBucket)
		if err != nil {
			return err
		}
		decisions, err := tx.CreateBucketIfNotExists(decisionsBucket)
		if err != nil {
			return err
		}
		if err := putRecovered(state, stored, recovered); err != nil {
			return err
		}
		return appendDecisions(decisions, stored.decisions, &s.logSize)
	})
}

// putRecovered stores the values of the state bucket.
func putRecovered(bucket *bolt.Bucket, stored *storedState, recovered *Recovered) error {
	if err := bucket.Put(schemaVersionKey, withChecksum(encodeUint64(schemaVersion))); err != nil {
		return err
	}
	if err := bucket.Put(incarnationKey, withChecksum(encodeUint64(recovered.Incarnation))); err != nil {
		return err
	}
	if recovered.Endpoints != nil {
		list := stored.values[string(endpointsKey)]
		if err := bucket.Put(endpointsKey, withChecksum(list)); err != nil {
			return err
		}
	}
	if recovered.Published != nil {
		return bucket.Put(publishedKey, withChecksum(recovered.Published))
	}
	return nil
}

// keepDamagedFile keeps a damaged state file under a second name before the file is replaced. It makes a hard link
// instead of a rename, so that a crash before the replacement does not leave a directory that looks empty. On a file
// system without hard links the damaged file is not kept.
func keepDamagedFile(path, linkPath string) {
	_ = os.Remove(linkPath)
	_ = os.Link(path, linkPath)
}

func syncDirectory(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}

package statestore

import (
	"bytes"

	bolt "go.etcd.io/bbolt"
)

// Limits of the decision log: at some 400 bytes an entry and one entry a second it reaches back more than five hours.
// A start copies all of it, and proxies wait for that: 24 MiB took 0.47 s, 8 MiB 0.15 s (BenchmarkStart, an ordinary
// disk).
const (
	maxDecisions     = 20_000
	maxDecisionBytes = 8 << 20
)

// decisionFillPercent is how full bbolt fills the log's pages: high, as entries arrive in the order of their keys.
const decisionFillPercent = 0.95

// DecisionRecord is an entry of the decision log.
type DecisionRecord struct {
	Incarnation uint64 // of the instance that decided
	Number      uint64 // of the decision, within the incarnation
	Body        []byte // the caller's own encoding
}

// logSize is the size of the decision log.
type logSize struct {
	entries int
	bytes   int // of the bodies
}

func (s *logSize) add(record DecisionRecord) {
	s.entries++
	s.bytes += len(record.Body)
}

func (s *logSize) exceedsLimits() bool {
	return s.entries > maxDecisions || s.bytes > maxDecisionBytes
}

// appendDecisions adds records to the log and counts them in size.
func appendDecisions(bucket *bolt.Bucket, records []DecisionRecord, size *logSize) error {
	bucket.FillPercent = decisionFillPercent
	for _, record := range records {
		size.add(record)
		key := decisionKey(record.Incarnation, record.Number)
		if err := bucket.Put(key, withChecksum(record.Body)); err != nil {
			return err
		}
	}
	return nil
}

// trimDecisions deletes the oldest entries until size is within the limits.
func trimDecisions(bucket *bolt.Bucket, size *logSize) error {
	for size.exceedsLimits() {
		key, stored := bucket.Cursor().First()
		if key == nil {
			return nil
		}
		size.entries--
		size.bytes -= len(stored) - checksumSize
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Decisions returns the log entries before (incarnation, number) that match, newest first, up to limit. The record
// passed to match is valid during that call only. Damaged entries are left out. It neither waits for writes nor delays
// them. The error is one of the database.
func (s *Store) Decisions(
	incarnation, number uint64, limit int, match func(DecisionRecord) bool,
) ([]DecisionRecord, error) {
	var found []DecisionRecord
	err := s.db.View(func(tx *bolt.Tx) error {
		cursor := tx.Bucket(decisionsBucket).Cursor()
		key, stored := seekBefore(cursor, decisionKey(incarnation, number))
		for key != nil && len(found) < limit {
			record, ok := parseDecision(key, stored)
			if ok && match(record) {
				record.Body = bytes.Clone(record.Body)
				found = append(found, record)
			}
			key, stored = cursor.Prev()
		}
		return nil
	})
	return found, err
}

// seekBefore moves a cursor to the last entry before a key.
func seekBefore(cursor *bolt.Cursor, before []byte) (key, stored []byte) {
	if next, _ := cursor.Seek(before); next == nil {
		return cursor.Last()
	}
	return cursor.Prev()
}

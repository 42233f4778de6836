package statestore

import (
	"bytes"

	bolt "go.etcd.io/bbolt"
)

// Limits of the decision log. With about 400 bytes per entry and one entry per second it covers more than five hours.
// Open copies the whole log while proxies wait: 24 MiB take 0.47 s and 8 MiB take 0.15 s on an ordinary disk
// (BenchmarkStart).
const (
	maxDecisions     = 20_000
	maxDecisionBytes = 8 << 20
)

// decisionFillPercent is the fill level of the log's bbolt pages. It is high because entries are appended in key order.
const decisionFillPercent = 0.95

// DecisionRecord is an entry of the decision log.
type DecisionRecord struct {
	Incarnation uint64 // of the instance that made the decision
	Number      uint64 // sequence number of the decision within the incarnation
	Body        []byte // in the caller's encoding
}

// logSize is the size of the decision log.
type logSize struct {
	entries int
	bytes   int // total size of the bodies
}

func (s *logSize) addRecord(record DecisionRecord) {
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
		size.addRecord(record)
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
		key, storedBytes := bucket.Cursor().First()
		if key == nil {
			return nil
		}
		size.entries--
		size.bytes -= len(storedBytes) - checksumSize
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Decisions returns up to limit log entries before (incarnation, number) for which match returns true, newest first.
// The record passed to match is valid during that call only. Damaged entries are skipped. Decisions does not wait for
// writes and does not delay them. An error comes from the database.
func (s *Store) Decisions(
	incarnation, number uint64, limit int, match func(DecisionRecord) bool,
) ([]DecisionRecord, error) {
	var records []DecisionRecord
	err := s.db.View(func(tx *bolt.Tx) error {
		cursor := tx.Bucket(decisionsBucket).Cursor()
		key, storedBytes := seekBefore(cursor, decisionKey(incarnation, number))
		for key != nil && len(records) < limit {
			record, ok := parseDecision(key, storedBytes)
			if ok && match(record) {
				record.Body = bytes.Clone(record.Body)
				records = append(records, record)
			}
			key, storedBytes = cursor.Prev()
		}
		return nil
	})
	return records, err
}

// seekBefore moves a cursor to the last entry before a key.
func seekBefore(cursor *bolt.Cursor, bound []byte) (key, storedBytes []byte) {
	if next, _ := cursor.Seek(bound); next == nil {
		return cursor.Last()
	}
	return cursor.Prev()
}

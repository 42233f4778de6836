package statestore

import (
	"encoding/binary"
	"hash/crc32"
)

// Sizes of stored data, in bytes. All numbers are big-endian.
const (
	checksumSize    = 4 // the checksum precedes each value
	numberSize      = 8
	decisionKeySize = 2 * numberSize // incarnation and number
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// withChecksum returns the stored form of a value: its checksum followed by its bytes.
func withChecksum(value []byte) []byte {
	storedBytes := make([]byte, 0, checksumSize+len(value))
	storedBytes = binary.BigEndian.AppendUint32(storedBytes, crc32.Checksum(value, castagnoliTable))
	return append(storedBytes, value...)
}

// verifyChecksum returns the value part of stored bytes, without a copy, and whether its checksum matches.
func verifyChecksum(storedBytes []byte) (value []byte, ok bool) {
	if len(storedBytes) < checksumSize {
		return nil, false
	}
	value = storedBytes[checksumSize:]
	return value, binary.BigEndian.Uint32(storedBytes) == crc32.Checksum(value, castagnoliTable)
}

func encodeUint64(number uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, number)
}

// decodeUint64 decodes a stored number; it returns 0 if the number is missing or has another length.
func decodeUint64(value []byte) uint64 {
	if len(value) != numberSize {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// decisionKey returns the key of a log entry; keys sort by incarnation, then by number.
func decisionKey(incarnation, number uint64) []byte {
	return binary.BigEndian.AppendUint64(encodeUint64(incarnation), number)
}

// parseDecision decodes an entry of the decision log; the body is not copied from the stored bytes. ok is false if the
// entry is damaged.
func parseDecision(key, storedBytes []byte) (record DecisionRecord, ok bool) {
	body, ok := verifyChecksum(storedBytes)
	if !ok || len(key) != decisionKeySize {
		return DecisionRecord{}, false
	}
	record.Incarnation = binary.BigEndian.Uint64(key)
	record.Number = binary.BigEndian.Uint64(key[numberSize:])
	record.Body = body
	return record, true
}

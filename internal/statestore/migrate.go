package statestore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// The first schema version has one file for the incarnation and one for the endpoint list. Each file has a header line
// with a checksum and a line of JSON. The migration leaves the files in place so that the earlier version of the
// program can still start.
const (
	firstVersion         = 1
	firstVersionHeader   = "peppervale-state-1"
	firstIncarnationFile = "life"
	firstEndpointsFile   = "list"
)

// firstIncarnation is the JSON content of the incarnation file.
type firstIncarnation struct {
	Incarnation uint64 `json:"life"`
}

// firstEndpoints is the JSON content of the endpoint list file.
type firstEndpoints struct {
	Incarnation uint64          `json:"life"` // of the instance that wrote the list
	Entries     json.RawMessage `json:"entries"`
}

// readFirstVersion returns the state in a directory of the first schema version, or nil if the directory has none of
// its files.
func readFirstVersion(dir string) *storedState {
	var incarnation firstIncarnation
	var list firstEndpoints
	incarnationErr := readFirstVersionFile(dir, firstIncarnationFile, &incarnation)
	listErr := readFirstVersionFile(dir, firstEndpointsFile, &list)
	listMissing := errors.Is(listErr, os.ErrNotExist)
	if errors.Is(incarnationErr, os.ErrNotExist) && listMissing {
		return nil
	}
	stored := newStoredState()
	if incarnationErr != nil {
		stored.damage = append(stored.damage, incarnationErr)
	}
	if listErr != nil && !listMissing { // an instance may end before it receives a list
		stored.damage = append(stored.damage, listErr)
	}
	// Without the incarnation file the number is lost: the number in the list file may be much older.
	lastIncarnation := max(incarnation.Incarnation, list.Incarnation)
	if incarnationErr == nil && lastIncarnation > 0 {
		stored.values[string(incarnationKey)] = encodeUint64(lastIncarnation)
	}
	if listErr == nil {
		stored.values[string(endpointsKey)] = list.Entries
	}
	return stored
}

// readFirstVersionFile decodes one file. It returns a disk error or an error that matches ErrDamaged.
func readFirstVersionFile(dir, name string, target any) error {
	location := "state " + name
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("%s: %w", location, err)
	}
	header, rest, _ := bytes.Cut(text, []byte("\n"))
	body, complete := bytes.CutSuffix(rest, []byte("\n"))
	expectedHeader := fmt.Sprintf("%s %08x", firstVersionHeader, crc32.ChecksumIEEE(body))
	if !complete || string(header) != expectedHeader {
		return &DamageError{Location: location, Cause: errChecksum}
	}
	if err := json.Unmarshal(body, target); err != nil {
		return &DamageError{Location: location, Cause: err}
	}
	return nil
}

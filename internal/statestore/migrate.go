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

// The first schema version: one file for the incarnation and one for the endpoint list, each a line with a checksum
// and a line of JSON. They stay where they are after the migration, so that the earlier version of the program still
// starts.
const (
	firstVersion         = 1
	firstVersionHeader   = "peppervale-state-1"
	firstIncarnationFile = "life"
	firstEndpointsFile   = "list"
)

// firstIncarnation is the JSON of the incarnation's file.
type firstIncarnation struct {
	Incarnation uint64 `json:"life"`
}

// firstEndpoints is the JSON of the endpoint list's file.
type firstEndpoints struct {
	Incarnation uint64          `json:"life"` // that wrote the list
	Entries     json.RawMessage `json:"entries"`
}

// readFirstVersion returns what a directory of the first schema version holds, nil if it is none.
func readFirstVersion(dir string) *storedState {
	var incarnation firstIncarnation
	var list firstEndpoints
	incarnationErr := readFirstVersionFile(dir, firstIncarnationFile, &incarnation)
	listErr := readFirstVersionFile(dir, firstEndpointsFile, &list)
	noList := errors.Is(listErr, os.ErrNotExist)
	if errors.Is(incarnationErr, os.ErrNotExist) && noList {
		return nil
	}
	stored := newStoredState()
	if incarnationErr != nil {
		stored.damage = append(stored.damage, incarnationErr)
	}
	if listErr != nil && !noList { // an incarnation without a list ended before it received one
		stored.damage = append(stored.damage, listErr)
	}
	// Without the incarnation's file the number is lost: the one in the list may be long past.
	last := max(incarnation.Incarnation, list.Incarnation)
	if incarnationErr == nil && last > 0 {
		stored.values[string(incarnationKey)] = encodeUint64(last)
	}
	if listErr == nil {
		stored.values[string(endpointsKey)] = list.Entries
	}
	return stored
}

// readFirstVersionFile decodes one file. Errors: those of the disk, and ErrDamaged.
func readFirstVersionFile(dir, name string, into any) error {
	location := "state " + name
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return fmt.Errorf("%s: %w", location, err)
	}
	header, rest, _ := bytes.Cut(text, []byte("\n"))
	body, complete := bytes.CutSuffix(rest, []byte("\n"))
	wantHeader := fmt.Sprintf("%s %08x", firstVersionHeader, crc32.ChecksumIEEE(body))
	if !complete || string(header) != wantHeader {
		return &DamageError{Location: location, Cause: errChecksum}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &DamageError{Location: location, Cause: err}
	}
	return nil
}

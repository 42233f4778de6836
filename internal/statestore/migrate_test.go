package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"testing"

	bolt "go.etcd.io/bbolt"
)

// TestOpenMigratesFirstSchemaVersion checks that a directory of the first schema version, which has a file for each
// value, is migrated and that damage to one of its files is reported.
func TestOpenMigratesFirstSchemaVersion(t *testing.T) {
	file := func(body string) []byte {
		return fmt.Appendf(nil, "%s %08x\n%s\n", firstVersionHeader, crc32.ChecksumIEEE([]byte(body)), body)
	}
	incarnation := file(`{"life":6}`)
	list := file(`{"life":6,"entries":[{"ID":{"Addr":[127,0,0,1],"Port":3},"Zone":2,"Life":0,"Since":5}]}`)
	for _, tt := range []struct {
		name            string
		incarnation     []byte
		list            []byte
		wantIncarnation uint64
		wantDamageCount int
		wantList        bool
	}{
		{"both files", incarnation, list, 7, 0, true},
		{"missing list", incarnation, nil, 7, 0, false},
		{"missing incarnation", nil, list, 900, 1, true},
		{"damaged incarnation", []byte("nonsense"), list, 900, 1, true},
		{"truncated list", incarnation, list[:60], 7, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			writeFirstVersionFile(t, dir, firstIncarnationFile, tt.incarnation)
			writeFirstVersionFile(t, dir, firstEndpointsFile, tt.list)
			_, recovered := openStore(t, dir, 900)
			if recovered.Incarnation != tt.wantIncarnation || len(recovered.Damage) != tt.wantDamageCount ||
				recovered.MigratedFrom != 1 || (recovered.Endpoints != nil) != tt.wantList {
				t.Fatalf("recovered %+v, want the incarnation, damage and list of the test case", recovered)
			}
			if !tt.wantList {
				return
			}
			endpoints := recovered.Endpoints
			if len(endpoints) != 1 || endpoints[0].ID.Port != 3 || endpoints[0].Zone != 2 {
				t.Errorf("endpoints %+v, want one on port 3 in zone 2", endpoints)
			}
		})
	}
}

// writeFirstVersionFile writes a file of the first schema version, or no file if text is nil.
func writeFirstVersionFile(t *testing.T, dir, name string, text []byte) {
	t.Helper()
	if text == nil {
		return
	}
	if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestOpenRefusesNewerSchemaVersion checks that Open refuses a state file of a later schema version with an error that
// suggests a remedy, and that it does not write to the file.
func TestOpenRefusesNewerSchemaVersion(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir, 0)
	err := store.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(stateBucket).Put(schemaVersionKey, withChecksum(encodeUint64(schemaVersion+1)))
	})
	if err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	before := stateImage(t, dir)
	if _, _, err := Open(dir, 0); !errors.Is(err, ErrNewerSchema) ||
		!strings.Contains(err.Error(), "start the later version") {
		t.Fatal(err)
	}
	if !bytes.Equal(before, stateImage(t, dir)) {
		t.Fatal("Open changed the newer state file")
	}
}

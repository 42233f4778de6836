package server

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	bolt "go.etcd.io/bbolt"

	"peppervale/internal/config"
)

// decisionsPage is the JSON of the console's page of decisions.
type decisionsPage struct {
	Decisions []struct {
		Incarnation uint64   `json:"life"`
		Updates     []string `json:"orders"`
		Reasons     []string `json:"said"`
	} `json:"causes"`
}

// An instance is ended and started again: the next incarnation knows what the one before published, and still answers
// why it did.
func TestStateSurvivesRestart(t *testing.T) {
	bed := newTestbed(t, 2)
	bed.start()
	bed.waitForLog("safe mode ended")
	var proxies []struct{ Table int }
	bed.waitForPage("/forwarders?as=json", &proxies, func() bool {
		return len(proxies) == 2 && proxies[0].Table == 0 && proxies[1].Table == 0
	})
	var decisions decisionsPage
	const decisionsPath = "/orders?about=on+table&as=json"
	bed.waitForPage(decisionsPath, &decisions, func() bool { return len(decisions.Decisions) > 0 })
	bed.end()

	bed.start()
	bed.waitForLog(`"incarnation":2,"endpoints":2`)
	var previous struct {
		Known          bool
		Incarnation    uint64         `json:"life"`
		ProxiesByTable map[string]int `json:"forwarders_by_table"`
		Tables         []struct {
			Entries []any `json:"lines"`
		}
	}
	bed.waitForPage("/before?as=json", &previous, func() bool { return previous.Known })
	oneTable := len(previous.Tables) == 1 && len(previous.Tables[0].Entries) == 2
	if previous.Incarnation != 1 || previous.ProxiesByTable["0"] != 2 || !oneTable {
		t.Errorf("published by the previous incarnation: %+v", previous)
	}
	var found decisionsPage
	bed.waitForPage(decisionsPath, &found, func() bool {
		count := len(found.Decisions)
		return count > 0 && found.Decisions[count-1].Incarnation == 1
	})
}

// A second instance on the same state directory, and one on a directory of a later version, fail and touch nothing.
func TestStateDirectoryIsRejected(t *testing.T) {
	bed := newTestbed(t, 0)
	bed.start()
	bed.waitForLog(`"serving"`)
	settings, err := config.LoadServer(filepath.Join(bed.directory, "governor.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := NewLogger(io.Discard, "error")
	if err != nil {
		t.Fatal(err)
	}
	err = Serve(context.Background(), settings, Environment{}, log)
	if err == nil || !strings.Contains(err.Error(), "in use by another process; end that one") {
		t.Fatalf("a second instance: %v", err)
	}
	bed.end()
	writeLaterSchemaVersion(t, filepath.Join(settings.StateDir, "state.db"))
	err = Serve(context.Background(), settings, Environment{}, log)
	if err == nil || !strings.Contains(err.Error(), "of a newer form") {
		t.Fatalf("a later version's directory: %v", err)
	}
}

// writeLaterSchemaVersion puts schema version 3 into a state file, with the checksum that the store puts before each
// value.
func writeLaterSchemaVersion(t *testing.T, path string) {
	t.Helper()
	db, err := bolt.Open(path, 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	value := []byte{0x9f, 0x78, 0x41, 0x7e, 0, 0, 0, 0, 0, 0, 0, 3}
	err = db.Update(func(tx *bolt.Tx) error { return tx.Bucket([]byte("state")).Put([]byte("form"), value) })
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
}

// The state is damaged while no instance runs: the next incarnation says so, counts on above the clock, and serves.
func TestDamagedStateIsLogged(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.start()
	bed.waitForLog("safe mode ended")
	bed.end()
	if err := os.WriteFile(filepath.Join(bed.directory, "state", "state.db"), []byte("no store"), 0o644); err != nil {
		t.Fatal(err)
	}
	bed.start()
	bed.waitForLog("state store: damaged data is ignored")
	bed.waitForLog("state store: the incarnation number is lost")
	bed.waitForLog("safe mode ended")
}

// An address that is in use is a ListenError, and everything that was open is closed again: the next instance starts on
// the same state directory.
func TestListenErrorReleasesTheStore(t *testing.T) {
	bed := newTestbed(t, 0)
	bed.start()
	bed.waitForLog(`"serving"`)
	path := bed.writeConfiguration(strings.Replace(bed.configuration(""), `"state"`, `"other-state"`, 1))
	settings, err := config.LoadServer(path)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := NewLogger(io.Discard, "error")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // a store that stayed open would be in use at the second
		var listenError *ListenError
		err := Serve(context.Background(), settings, Environment{}, log)
		if !errors.As(err, &listenError) || listenError.Address != bed.listen {
			t.Fatalf("got %v, want a ListenError of %s", err, bed.listen)
		}
	}
}

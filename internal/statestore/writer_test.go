package statestore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"reflect"
	"syscall"
	"testing"
	"time"
)

// fullDiskEnv is the environment variable that passes the directory to the process that TestWriterRecoversFromFullDisk
// starts.
const fullDiskEnv = "STORE_ON_A_FULL_DISK"

// TestWriterRecoversFromFullDisk checks that a full disk does not change the stored state, that the failure is reported
// once, that pending changes are written when space is available again, and that the pending decisions stay within
// their limit.
func TestWriterRecoversFromFullDisk(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fullDiskEnv+"="+t.TempDir())
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

// runOnFullDisk runs in a separate process, because the file size limit that simulates a full disk applies to the whole
// process.
func runOnFullDisk(dir string) error {
	store, _, err := Open(dir, 0)
	if err != nil {
		return err
	}
	if err := store.Write(&Change{Endpoints: endpointList(1), Published: []byte("before")}); err != nil {
		return err
	}
	reports := make(chan error, 100)
	writer := NewWriter(store, func(err error, _ uint64) { reports <- err })
	restoreLimit, err := forbidFileGrowth()
	if err != nil {
		return err
	}
	if err := checkWritesOnFullDisk(store, writer, reports); err != nil {
		return err
	}
	if err := restoreLimit(); err != nil {
		return err
	}
	select {
	case err := <-reports:
		if err != nil {
			return fmt.Errorf("a second failure was reported: %w", err)
		}
	case <-time.After(60 * time.Second):
		return errors.New("no recovery was reported")
	}
	writer.Close()
	if err := store.Close(); err != nil {
		return err
	}
	return checkAfterFullDisk(dir)
}

// forbidFileGrowth sets the file size limit so low that no file can grow, and returns a function that restores it.
func forbidFileGrowth() (restore func() error, err error) {
	var originalLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &originalLimit); err != nil {
		return nil, err
	}
	reducedLimit := originalLimit
	reducedLimit.Cur = 1
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &reducedLimit); err != nil {
		return nil, err
	}
	return func() error { return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &originalLimit) }, nil
}

// checkWritesOnFullDisk gives the writer more decisions than it may queue and waits for its report.
func checkWritesOnFullDisk(store *Store, writer *Writer, reports <-chan error) error {
	body := bytes.Repeat([]byte("x"), 500)
	for number := range maxPendingDecisions + 100 {
		writer.AddDecision(DecisionRecord{Incarnation: 1, Number: uint64(number), Body: body})
	}
	writer.SetEndpoints(endpointList(2))
	select {
	case err := <-reports:
		if err == nil {
			return errors.New("a recovery was reported on a full disk")
		}
	case <-time.After(20 * time.Second):
		return errors.New("no failure was reported")
	}
	if dropped := writer.DroppedDecisions(); dropped < 100 {
		return fmt.Errorf("%d decisions were dropped, want at least 100", dropped)
	}
	stored := newStoredState()
	err := store.db.View(stored.load)
	if err != nil || string(stored.values["published"]) != "before" || len(stored.damage) > 0 {
		return fmt.Errorf("stored state on the full disk: %w, %+v; want it unchanged", err, stored)
	}
	return nil
}

func checkAfterFullDisk(dir string) error {
	store, recovered, err := Open(dir, 0)
	if err != nil {
		return err
	}
	if !reflect.DeepEqual(recovered.Endpoints, endpointList(2)) || string(recovered.Published) != "before" {
		return fmt.Errorf("state after space was available again: %+v; want the pending list", recovered)
	}
	return store.Close()
}

// The next start uses a higher incarnation than one that was raised at run time, also if a write fails in between.
func TestNextStartExceedsRaisedIncarnation(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir, 0)
	writer := NewWriter(store, func(error, uint64) {})
	writer.SetIncarnation(41)
	writer.requeue(&Change{Incarnation: 40})
	writer.SetPublished([]byte("tables"))
	writer.Close()
	closeStore(t, store)
	store, recovered := openStore(t, dir, 0)
	closeStore(t, store)
	if recovered.Incarnation != 42 {
		t.Errorf("incarnation %d at the next start, want 42", recovered.Incarnation)
	}
}

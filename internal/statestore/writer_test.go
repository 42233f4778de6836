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

// fullDiskEnv names the directory in the environment of the process that TestWriterOnFullDisk starts.
const fullDiskEnv = "STORE_ON_A_FULL_DISK"

// TestWriterOnFullDisk shows that the state on a full disk stays, that the failure is reported once, that what arrived
// meanwhile is written once there is space, and that no more is kept in memory than the limit.
func TestWriterOnFullDisk(t *testing.T) {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fullDiskEnv+"="+t.TempDir())
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}

// runOnFullDisk runs in a process of its own: the limit on a file's size, which stands in for a full disk, is a
// process's.
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
	if err := writeOnFullDisk(store, writer, reports); err != nil {
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

// forbidFileGrowth sets the limit on a file's size so low that no file grows, and gives a function that restores it.
func forbidFileGrowth() (restore func() error, err error) {
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &original); err != nil {
		return nil, err
	}
	full := original
	full.Cur = 1
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		return nil, err
	}
	return func() error { return syscall.Setrlimit(syscall.RLIMIT_FSIZE, &original) }, nil
}

// writeOnFullDisk gives the writer more than it may keep and waits for its report.
func writeOnFullDisk(store *Store, writer *Writer, reports <-chan error) error {
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
	if dropped := writer.Dropped(); dropped < 100 {
		return fmt.Errorf("%d decisions were dropped, and at least 100 exceed the limit", dropped)
	}
	stored := newStoredState()
	err := store.db.View(stored.load)
	if err != nil || string(stored.values["published"]) != "before" || len(stored.damage) > 0 {
		return fmt.Errorf("on the full disk: %w, %+v", err, stored)
	}
	return nil
}

func checkAfterFullDisk(dir string) error {
	store, recovered, err := Open(dir, 0)
	if err != nil {
		return err
	}
	if !reflect.DeepEqual(recovered.Endpoints, endpointList(2)) || string(recovered.Published) != "before" {
		return fmt.Errorf("after the full disk: %+v", recovered)
	}
	return store.Close()
}

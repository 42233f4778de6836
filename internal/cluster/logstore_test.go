package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// raceEnabled reports whether the race detector is on: its pointer checks end the process when bbolt reads a damaged
// page.
var raceEnabled bool

// The log file of a member is truncated: it is refused with an error that states the remedy, and is not changed.
func TestOpenFailsAndKeepsFileWhenLogIsTruncated(t *testing.T) {
	if raceEnabled {
		t.Skip("damaged pages cannot be read under the race detector")
	}
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	cluster.stop(0)
	path := filepath.Join(cluster.configs[0].Directory, logFile)
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 100, 4096, 9000, 12288} {
		if err := os.WriteFile(path, content[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		member, err := Open(cluster.configs[0], cluster.listener(0))
		if err == nil {
			member.Close()
		}
		var damaged *DamagedLogError
		if !errors.As(err, &damaged) || !strings.Contains(err.Error(), "group strike") {
			t.Errorf("truncated at %d bytes: error %v, want a DamagedLogError with the remedy", size, err)
		}
		if contentAfter, err := os.ReadFile(path); err != nil || !bytes.Equal(contentAfter, content[:size]) {
			t.Errorf("truncated at %d bytes: the file was changed; read error %v", size, err)
		}
	}
}

// The disk of a member is full: it cannot write log entries, its leases expire and the other members take over its
// shards. Its process does not end, and it receives its shards again once the disk has space.
func TestOtherMembersTakeOverWhenDiskIsFull(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	leaderName, _ := cluster.members[0].node.leader()
	followerIndex := 0
	if leaderName == "m0" {
		followerIndex = 1
	}
	cluster.checkTakeoverWhileDiskIsFull(followerIndex)
	leaderIndex, known := cluster.leaderOf(0)
	if !known {
		t.Fatal("m0 knows no leader")
	}
	cluster.checkTakeoverWhileDiskIsFull(leaderIndex)
}

// checkTakeoverWhileDiskIsFull fills a member's disk until the other members hold its shards, then frees it and waits
// until the member holds them again.
func (c *testCluster) checkTakeoverWhileDiskIsFull(k int) {
	c.t.Helper()
	c.diskFull[k].Store(true)
	want := []int{3, 3, 3}
	want[k] = 0
	c.awaitHeld(want...)
	c.await("the member with the full disk reports a fault", func() bool { return c.members[k].Status().Fault != "" })
	c.diskFull[k].Store(false)
	c.awaitHeld(2, 2, 2)
}

// Votes cannot be written for a while: the store reports each failure, retries, and reports the recovery.
func TestRetryingStoreRetriesWhenWritesFail(t *testing.T) {
	done := make(chan struct{})
	var states []string
	remainingFailures := 3
	store := &retryingStore{
		interval:    time.Millisecond,
		done:        done,
		reportState: func(err error) { states = append(states, fmt.Sprint(err)) },
	}
	if err := store.retry(func() error {
		if remainingFailures--; remainingFailures >= 0 {
			return fmt.Errorf("no space")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(states, ","); got != "no space,no space,no space,<nil>" {
		t.Errorf("reported states are %s, want three failures and a recovery", got)
	}
	close(done)
	if err := store.retry(func() error { return fmt.Errorf("no space") }); err == nil {
		t.Error("no error from a store that is closed while writes fail")
	}
}

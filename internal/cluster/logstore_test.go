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

// underRace is set by the race detector's build, whose checks of pointers end the process where bbolt reads a damaged
// page.
var underRace bool

// The log file of a member is truncated: it is refused with the way back, and nothing in it is changed.
func TestTruncatedLogIsRefused(t *testing.T) {
	if underRace {
		t.Skip("damaged pages cannot be read under the race detector")
	}
	cluster := newTestCluster(t, 1)
	cluster.awaitHeld(6)
	cluster.stop(0)
	path := filepath.Join(cluster.configs[0].Directory, logFile)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 100, 4096, 9000, 12288} {
		if err := os.WriteFile(path, whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		member, err := Open(cluster.configs[0], cluster.events(0))
		if err == nil {
			member.Close()
		}
		var damaged *DamagedLogError
		if !errors.As(err, &damaged) || !strings.Contains(err.Error(), "group strike") {
			t.Errorf("truncated at %d: %v", size, err)
		}
		if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, whole[:size]) {
			t.Errorf("truncated at %d: the file is changed, %v", size, err)
		}
	}
}

// The disk of a member is full: it can agree on nothing, its leases expire and others take its shards over; with
// space again it goes on, and its process did not end meanwhile.
func TestMemberWithFullDisk(t *testing.T) {
	cluster := newTestCluster(t, 3)
	cluster.awaitHeld(2, 2, 2)
	leader, _ := cluster.members[0].node.leader()
	follower := 0
	if leader == "m0" {
		follower = 1
	}
	cluster.fillDisk(follower)
	k, known := cluster.leaderOf(0)
	if !known {
		t.Fatal("no leader is known")
	}
	cluster.fillDisk(k)
}

// fillDisk has a member's disk full until others hold its shards, and then free again until they are home.
func (c *testCluster) fillDisk(k int) {
	c.t.Helper()
	c.diskFull[k].Store(true)
	want := []int{3, 3, 3}
	want[k] = 0
	c.awaitHeld(want...)
	c.await("it reports a fault", func() bool { return c.members[k].Status().Fault != "" })
	c.diskFull[k].Store(false)
	c.awaitHeld(2, 2, 2)
}

// Votes cannot be written for a while: nothing ends, the fault is reported, and it goes on when they can.
func TestRetryingStoreWaitsForDisk(t *testing.T) {
	done := make(chan struct{})
	var changes []string
	full := 3
	store := &retryingStore{
		interval: time.Millisecond,
		done:     done,
		changed:  func(err error) { changes = append(changes, fmt.Sprint(err)) },
	}
	if err := store.retry(func() error {
		if full--; full >= 0 {
			return fmt.Errorf("no space")
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(changes, ","); got != "no space,no space,no space,<nil>" {
		t.Errorf("changes %s", got)
	}
	close(done)
	if err := store.retry(func() error { return fmt.Errorf("no space") }); err == nil {
		t.Error("a member that stops waits for its disk")
	}
}

package cluster

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
	"peppervale/internal/testaddr"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSettings are the settings of tests over sockets, with a lease of a second.
var testSettings = Settings{
	Lease:         lease.Config{Duration: model.Second, MaxClockDrift: 50 * model.Millisecond},
	Placement:     placement.Config{StabilizationPeriod: 2 * model.Second, MoveInterval: 200 * model.Millisecond},
	Zones:         []string{"govan", "partick", "dalmarnock"},
	ShardsPerZone: 2,
}

// leaseRecorder records the lease events of all members in the order of arrival. It fails the test if a shard's epoch
// decreases or an epoch has two holders. A member that lost a lease may gain it again in the same epoch and the same
// incarnation: its renewal was committed late, and no other member was granted the lease meanwhile.
type leaseRecorder struct {
	t            *testing.T
	mu           sync.Mutex
	newestLeases map[int]recordedLease // by shard
}

type recordedLease struct {
	holder memberListener // of the newest epoch
	epoch  uint64
	held   bool
}

// memberListener records the lease events of one incarnation of a member.
type memberListener struct {
	recorder    *leaseRecorder
	name        string
	incarnation uint64
}

func (l memberListener) LeaseGained(shard int, epoch uint64) {
	recorder := l.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	newest := recorder.newestLeases[shard]
	switch {
	case epoch > newest.epoch:
	case epoch < newest.epoch:
		recorder.t.Errorf("%s gains shard %d in epoch %d, want an epoch of at least %d", l.name, shard, epoch, newest.epoch)
		return
	case newest.holder != l:
		recorder.t.Errorf("%s, incarnation %d, gains shard %d in epoch %d, which %s, incarnation %d, held",
			l.name, l.incarnation, shard, epoch, newest.holder.name, newest.holder.incarnation)
	case newest.held:
		recorder.t.Errorf("%s gains shard %d in epoch %d twice without a loss", l.name, shard, epoch)
	}
	recorder.newestLeases[shard] = recordedLease{holder: l, epoch: epoch, held: true}
}

func (l memberListener) LeaseLost(shard int) {
	recorder := l.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if newest := recorder.newestLeases[shard]; newest.holder == l {
		newest.held = false
		recorder.newestLeases[shard] = newest
	}
}

// testLinks are links that tests cut, by the names of sender and receiver.
type testLinks struct {
	mu  sync.Mutex
	cut map[[2]string]bool
}

func (l *testLinks) Open(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut[[2]string{from, to}]
}

func (l *testLinks) setCut(cut bool, from, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{from, to}] = cut
}

// testCluster is a cluster over sockets in one process.
type testCluster struct {
	t            *testing.T
	links        *testLinks
	leases       *leaseRecorder
	now          func() model.Microseconds
	configs      []Config
	members      []*Cluster    // nil: stopped
	diskFull     []atomic.Bool // by member
	incarnations uint64
}

// newTestPeer returns a member with addresses that no other process takes while the member is stopped.
func newTestPeer(t *testing.T, k int) Peer {
	t.Helper()
	return Peer{Name: fmt.Sprint("m", k), Address: testaddr.Address(t), GossipAddress: testaddr.Address(t)}
}

func newTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	cluster := prepareTestCluster(t, size)
	for k := range size {
		cluster.start(k)
	}
	return cluster
}

// prepareTestCluster returns a cluster with no member started.
func prepareTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	startedAt := time.Now()
	cluster := &testCluster{
		t:      t,
		links:  &testLinks{cut: map[[2]string]bool{}},
		leases: &leaseRecorder{t: t, newestLeases: map[int]recordedLease{}},
		now: func() model.Microseconds {
			return model.Second + model.Microseconds(time.Since(startedAt)/time.Microsecond)
		},
		members:  make([]*Cluster, size),
		diskFull: make([]atomic.Bool, size),
	}
	var peers []Peer
	for k := range size {
		peers = append(peers, newTestPeer(t, k))
	}
	directory := t.TempDir()
	for k, peer := range peers {
		config := cluster.config(k, peer, filepath.Join(directory, peer.Name))
		config.Peers = peers
		cluster.configs = append(cluster.configs, config)
	}
	t.Cleanup(cluster.stopAll)
	return cluster
}

func (c *testCluster) config(k int, self Peer, directory string) Config {
	return Config{
		Name:           self.Name,
		Zone:           testSettings.Zones[k%len(testSettings.Zones)],
		ChannelAddress: fmt.Sprint("127.0.0.1:", 7700+k),
		ListenAddress:  self.Address,
		GossipAddress:  self.GossipAddress,
		Directory:      directory,
		Settings:       testSettings,
		ShardLoads: func() map[int]float64 {
			return map[int]float64{0: 10, 1: 10, 2: 10, 3: 10, 4: 10, 5: 10}
		},
		Now:   c.now,
		Links: c.links,
		Log:   zerolog.Nop(),
		diskFault: func() error {
			if c.diskFull[k].Load() {
				return errors.New("no space left on device")
			}
			return nil
		},
	}
}

func (c *testCluster) start(k int) {
	c.t.Helper()
	c.incarnations++
	c.configs[k].Incarnation = c.incarnations
	member, err := Open(c.configs[k], c.listener(k))
	if err != nil {
		c.t.Fatal(err)
	}
	c.members[k] = member
}

func (c *testCluster) stop(k int) {
	member := c.members[k]
	if member == nil {
		return
	}
	c.members[k] = nil
	member.Close()
}

// listener returns a listener for the newest incarnation of a member.
func (c *testCluster) listener(k int) memberListener {
	return memberListener{recorder: c.leases, name: c.configs[k].Name, incarnation: c.configs[k].Incarnation}
}

func (c *testCluster) stopAll() {
	var wait sync.WaitGroup
	for k := range c.members {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.stop(k)
		}()
	}
	wait.Wait()
}

// isolate cuts, or restores, all links of a member.
func (c *testCluster) isolate(cut bool, name string) {
	for _, config := range c.configs {
		c.links.setCut(cut, name, config.Name)
		c.links.setCut(cut, config.Name, name)
	}
}

// leaderOf returns the number of the leader that a member knows; known is false if there is none.
func (c *testCluster) leaderOf(k int) (leader int, known bool) {
	name, _ := c.members[k].node.leader()
	_, err := fmt.Sscanf(name, "m%d", &leader)
	return leader, err == nil
}

// request sends an operator's request to a member.
func (c *testCluster) request(k int, words ...string) error {
	_, err := Request(c.configs[k].ListenAddress, 5*time.Second, words...)
	return err
}

// mustRequest fails the test if an operator's request fails.
func (c *testCluster) mustRequest(k int, words ...string) {
	c.t.Helper()
	if err := c.request(k, words...); err != nil {
		c.t.Fatal(err)
	}
}

// await waits until a condition is true, and fails the test after a timeout.
func (c *testCluster) await(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, member := range c.members {
				if member != nil {
					c.t.Logf("%+v", member.Status())
				}
			}
			c.t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// held returns how many shards each member holds now, by its own clock and leases.
func (c *testCluster) held() (counts []int) {
	for _, member := range c.members {
		count := 0
		if member != nil {
			for shard := range testSettings.shardCount() {
				if _, ok := member.IsLeaseHolder(shard); ok {
					count++
				}
			}
		}
		counts = append(counts, count)
	}
	return counts
}

func (c *testCluster) awaitHeld(counts ...int) {
	c.t.Helper()
	c.await(fmt.Sprint("members hold this many shards: ", counts), func() bool { return slices.Equal(c.held(), counts) })
}

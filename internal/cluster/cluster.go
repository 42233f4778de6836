package cluster

import (
	"fmt"
	"io"
	stdlog "log"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Timing of a member: the lease duration is divided by ticksPerLease and by each divisor.
const (
	ticksPerLease             = 100
	ticksPerLoadReading       = 10 // ticks between two readings of the shards' loads
	requestTimeoutDivisor     = 4  // timeout of a request to another member
	gossipLeaveTimeoutDivisor = 8  // timeout for leaving the gossip
)

// leadershipTransferInterval is the time between two attempts to transfer leadership from a leader whose settings
// differ from the cluster's.
const leadershipTransferInterval = 10 * time.Second

// proposalQueueLength bounds the proposals that wait to be sent to the leader; further ones are dropped.
const proposalQueueLength = 16

// Cluster is one running member. Create it with Open and stop it with Close. Its methods are safe for concurrent use.
type Cluster struct {
	config    *Config
	listener  LeaseListener
	server    *portServer
	node      *raftNode
	gossip    *gossip
	wake      chan struct{} // signals that an entry was applied
	proposals chan Command
	done      chan struct{}
	wait      sync.WaitGroup

	mu          sync.Mutex
	member      *Member
	storeError  error  // error of the newest write of votes; nil if it succeeded
	loggedFault string // the fault that was logged last
	shardLoads  map[int]float64
	misrouted   []MisroutedProxies

	// leadershipTransferredAt is when this member last transferred leadership because its settings differ from the
	// cluster's.
	leadershipTransferredAt time.Time
}

// Open starts a member. It fails if its addresses or its directory cannot be used, but not if other members cannot be
// reached.
func Open(config Config, listener LeaseListener) (*Cluster, error) {
	if err := os.MkdirAll(config.Directory, 0o755); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	cluster := &Cluster{
		config:    &config,
		listener:  listener,
		wake:      make(chan struct{}, 1),
		proposals: make(chan Command, proposalQueueLength),
		done:      make(chan struct{}),
	}
	cluster.member = cluster.newMember()
	started := make(chan struct{})
	if err := cluster.openComponents(started); err != nil {
		return nil, err
	}
	close(started)
	cluster.wait.Add(2)
	go cluster.runTicks()
	go cluster.runProposals()
	return cluster, nil
}

func (c *Cluster) newMember() *Member {
	config := c.config
	record := MemberRecord{
		Zone:           config.Zone,
		Channel:        config.ChannelAddress,
		RequestAddress: config.addressOf(config.Name, config.ListenAddress),
		Capacity:       config.Capacity,
	}
	loadOf := func(shard int) float64 {
		if load, known := c.shardLoads[shard]; known {
			return load
		}
		return -1 // unknown: its proxies have not connected yet
	}
	member := NewMember(config.Name, config.Incarnation, record, config.Settings, loadOf)
	member.misroutedProxies = func() []MisroutedProxies { return c.misrouted }
	if config.supportedVersion > 0 {
		member.state.supportedVersion = config.supportedVersion
	}
	return member
}

// openComponents opens the port, raft and gossip, in this order. If one fails, it closes those that are open. Requests
// are refused until started is closed.
func (c *Cluster) openComponents(started <-chan struct{}) (err error) {
	answer := func(words []string) ([]byte, error) {
		select {
		case <-started:
			return c.answerRequest(words)
		default:
			return nil, errStarting
		}
	}
	if c.server, err = openPortServer(c.config, answer); err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:        "raft",
		Level:       hclog.Error,
		Output:      &raftLog{log: c.config.Log},
		DisableTime: true,
	})
	if c.node, err = openRaftNode(c.config, c.server.streams, c, logger); err != nil {
		c.server.close()
		return err
	}
	if c.gossip, err = openGossip(c.config, stdlog.New(io.Discard, "", 0)); err != nil {
		c.node.close()
		c.server.close()
		return err
	}
	return nil
}

// Close stops this member. Its leases are not released but expire, as after a crash; only its gossip peers are
// notified. To move its shards to other members first, call TransferLeases.
func (c *Cluster) Close() {
	close(c.done)
	c.wait.Wait()
	c.gossip.close(c.leaseDuration() / gossipLeaveTimeoutDivisor)
	c.node.close()
	c.server.close()
}

func (c *Cluster) leaseDuration() time.Duration { return c.config.Settings.Lease.Duration.Duration() }

// requestTimeout is the timeout of a request to another member.
func (c *Cluster) requestTimeout() time.Duration { return c.leaseDuration() / requestTimeoutDivisor }

// runTicks calls tick after each applied entry, and at a fixed interval.
func (c *Cluster) runTicks() {
	defer c.wait.Done()
	interval := c.leaseDuration() / ticksPerLease
	ticker := time.NewTicker(max(interval, time.Millisecond))
	defer ticker.Stop()
	readings := loadReadings{config: c.config, interval: ticksPerLoadReading * interval}
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		case <-c.wake:
		}
		c.tick(&readings)
	}
}

// loadReadings holds the latest results of Config.ShardLoads and Config.MisroutedProxies. Both are called without the
// cluster's lock, as they may call IsLeaseHolder, which takes it.
type loadReadings struct {
	config     *Config
	interval   time.Duration
	readAt     time.Time
	shardLoads map[int]float64
	misrouted  []MisroutedProxies
}

func (r *loadReadings) refresh() {
	now := time.Now()
	if r.config.ShardLoads == nil || now.Sub(r.readAt) <= r.interval {
		return
	}
	r.readAt = now
	r.shardLoads = r.config.ShardLoads()
	r.misrouted = sortedMisrouted(r.config.MisroutedProxies)
}

func sortedMisrouted(read func() map[int]int) (sorted []MisroutedProxies) {
	if read == nil {
		return nil
	}
	for shard, proxies := range read() {
		sorted = append(sorted, MisroutedProxies{shard, proxies})
	}
	slices.SortFunc(sorted, func(a, b MisroutedProxies) int { return a.Shard - b.Shard })
	return sorted
}

// tick asks the member for its decisions, notifies the listener of the changed leases, and only then queues the
// commands to propose.
func (c *Cluster) tick(readings *loadReadings) {
	var alive map[string]bool
	leads := c.node.isLeader()
	if leads {
		alive = c.gossip.alive()
	}
	readings.refresh()
	changes, proposals, transfer := c.decide(readings, leads, alive)
	for _, change := range changes {
		c.notify(change)
	}
	if transfer {
		go c.node.transferLeadership()
	}
	for _, proposal := range proposals {
		select {
		case c.proposals <- proposal:
		default: // later ticks repeat renewals and placements; a lease that is not released expires
		}
	}
}

// decide is the part of a tick that needs the lock. transfer reports whether to transfer leadership to another member.
func (c *Cluster) decide(readings *loadReadings, leads bool, alive map[string]bool) (
	changes []LeaseChange, proposals []Command, transfer bool,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shardLoads = readings.shardLoads
	c.misrouted = readings.misrouted
	seemsAlive := func(name string) bool { return alive[name] }
	changes, proposals = c.member.Tick(c.config.Now(), leads, seemsAlive)
	c.logFault()
	mayTransfer := time.Since(c.leadershipTransferredAt) > leadershipTransferInterval
	transfer = leads && c.member.HasOtherSettings() && mayTransfer
	if transfer {
		c.leadershipTransferredAt = time.Now()
	}
	return changes, proposals, transfer
}

func (c *Cluster) notify(change LeaseChange) {
	if change.Epoch == 0 {
		c.config.Log.Info().Int("shard", change.Shard).Msg("lease lost or released")
		c.listener.LeaseLost(change.Shard)
		return
	}
	c.config.Log.Info().Int("shard", change.Shard).Uint64("epoch", change.Epoch).Msg("lease gained")
	c.listener.LeaseGained(change.Shard, change.Epoch)
}

// IsLeaseHolder reports whether this member holds a shard's lease now, and in which epoch.
func (c *Cluster) IsLeaseHolder(shard int) (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.IsLeaseHolder(shard, c.config.Now())
}

// TargetAddress returns the address at which proxies connect to the member that a shard is placed on. It returns "" if
// the shard is placed on this member, on no member, or on a member without a recent heartbeat.
func (c *Cluster) TargetAddress(shard int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.TargetAddress(shard, c.config.Now())
}

// TransferLeases requests that this member's shards are moved to other members in planned moves, and waits until it
// holds none or the timeout has passed.
func (c *Cluster) TransferLeases(timeout time.Duration) {
	const (
		maxRequests = 20  // attempts to commit the request, spread over the timeout
		maxChecks   = 100 // checks of the leases, spread over the timeout
	)
	deadline := time.Now().Add(timeout)
	words := []string{requestLeave, c.config.Name, leaveStopping}
	for time.Now().Before(deadline) {
		if _, err := c.answerRequest(words); err == nil {
			break
		}
		time.Sleep(timeout / maxRequests)
	}
	for time.Now().Before(deadline) && c.holdsAnyLease() {
		time.Sleep(timeout / maxChecks)
	}
}

func (c *Cluster) holdsAnyLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard := range c.member.leases {
		if _, ok := c.member.IsLeaseHolder(shard, c.config.Now()); ok {
			return true
		}
	}
	return false
}

// The following methods implement stateMachine, which the raft node calls.

func (c *Cluster) applyEntry(entry LogEntry, term uint64) {
	c.mu.Lock()
	c.member.ApplyEntry(entry, term, c.config.Now())
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Cluster) announcement() Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.member.Announcement(c.config.Now())
}

func (c *Cluster) snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.member.mayWriteSnapshot() {
		return nil, errForeignShape
	}
	return c.member.state.Encode()
}

func (c *Cluster) restore(state *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.Restore(state)
}

func (c *Cluster) storeChanged(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeError = err
}

var _ stateMachine = (*Cluster)(nil)

package cluster

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltraft "github.com/hashicorp/raft-boltdb/v2"
)

// The log and its snapshots are small: an entry has some hundred bytes and a member commits three entries per lease, so
// a thousand entries cover some minutes of a cluster of three members.
const (
	snapshotThreshold = 1024 // entries
	snapshotInterval  = 30 * time.Second
	trailingEntries   = 256 // entries from before a snapshot that the log keeps
	retainedSnapshots = 2
)

// Timing of raft. The lease duration is divided by Divisor and PerLease constants. A failed leader must be replaced
// while the leases of the other members are valid. The timing allows two elections: a third of a second each at the
// default lease of 2 s.
const (
	electionTimeoutDivisor  = 6
	leaderLeaseDivisor      = 8
	transportTimeoutDivisor = 4
	storeRetriesPerLease    = 2
	commitTimeout           = 10 * time.Millisecond
	configurationTimeout    = 5 * time.Second
	leadershipQueueLength   = 16
	raftConnectionPool      = 2
	// raftRequestsInFlight of one request disables raft's replication pipeline. In raft 1.7.3 the pipeline may block
	// forever after a follower refuses an entry (its disk is full), and raft's shutdown then blocks too.
	raftRequestsInFlight = 1
)

// stateMachine is the replicated state machine that the raft node calls.
type stateMachine interface {
	// applyEntry applies a committed entry.
	applyEntry(entry LogEntry, term uint64)
	// announcement returns the first command that this member commits as a new leader.
	announcement() Command
	snapshot() ([]byte, error)
	restore(state *State)
	// storeChanged is called with each failure to write votes, and with nil once a write succeeds again.
	storeChanged(err error)
}

// raftNode replicates entries to every member's state in one order.
type raftNode struct {
	config     *Config
	machine    stateMachine
	raft       *raft.Raft
	store      *boltraft.BoltStore
	transport  *raft.NetworkTransport
	leadership chan bool
	done       chan struct{}
	watchDone  chan struct{} // closed when watchLeadership has ended

	mu        sync.Mutex
	announced bool // this member leads, and its announcement precedes its other entries in the log
}

// raftStores are raft's persistent stores.
type raftStores struct {
	logs      raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

func openRaftNode(config *Config, streams raft.StreamLayer, machine stateMachine, logger hclog.Logger) (
	_ *raftNode, err error,
) {
	node := &raftNode{
		config:     config,
		machine:    machine,
		leadership: make(chan bool, leadershipQueueLength),
		done:       make(chan struct{}),
		watchDone:  make(chan struct{}),
	}
	defer func() {
		if err != nil {
			node.closeResources()
		}
	}()
	stores, err := node.openStores(logger)
	if err != nil {
		return nil, err
	}
	node.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:                streams,
		MaxPool:               raftConnectionPool,
		MaxRPCsInFlight:       raftRequestsInFlight,
		Timeout:               node.leaseDuration() / transportTimeoutDivisor,
		Logger:                logger,
		ServerAddressProvider: peerAddresses{config},
	})
	settings := node.raftConfig(logger)
	if err := node.bootstrap(settings, stores); err != nil {
		return nil, err
	}
	node.raft, err = raft.NewRaft(settings, fsm{machine}, stores.logs, stores.stable, stores.snapshots, node.transport)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	go node.watchLeadership()
	return node, nil
}

func (n *raftNode) openStores(logger hclog.Logger) (stores raftStores, err error) {
	if n.store, err = openLogStore(n.config.Directory); err != nil {
		return stores, err
	}
	snapshotDirectory := filepath.Join(n.config.Directory, "snapshots")
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(snapshotDirectory, retainedSnapshots, logger)
	if err != nil {
		return stores, fmt.Errorf("cluster: %w", err)
	}
	stores.snapshots = snapshots
	stores.logs = n.store
	var votes raft.StableStore = n.store
	if n.config.diskFault != nil {
		faulty := &faultyStore{n.store, n.config.diskFault}
		stores.logs = faulty
		votes = faulty
	}
	stores.stable = &retryingStore{
		StableStore: votes,
		interval:    n.leaseDuration() / storeRetriesPerLease,
		reportState: n.machine.storeChanged,
		done:        n.done,
	}
	return stores, nil
}

func (n *raftNode) raftConfig(logger hclog.Logger) *raft.Config {
	duration := n.leaseDuration()
	settings := raft.DefaultConfig()
	settings.LocalID = raft.ServerID(n.config.Name)
	settings.HeartbeatTimeout = duration / electionTimeoutDivisor
	settings.ElectionTimeout = duration / electionTimeoutDivisor
	settings.LeaderLeaseTimeout = duration / leaderLeaseDivisor
	settings.CommitTimeout = commitTimeout
	settings.SnapshotThreshold = snapshotThreshold
	settings.SnapshotInterval = snapshotInterval
	settings.TrailingLogs = trailingEntries
	settings.Logger = logger
	settings.NotifyCh = n.leadership
	return settings
}

// bootstrap starts a new cluster of the configured peers, unless this member joins one or has a log already.
func (n *raftNode) bootstrap(settings *raft.Config, stores raftStores) error {
	if n.config.Join {
		return nil
	}
	hasState, err := raft.HasExistingState(stores.logs, stores.stable, stores.snapshots)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if hasState {
		return nil
	}
	var initialMembers raft.Configuration
	for _, peer := range n.config.Peers {
		initialMember := raft.Server{ID: raft.ServerID(peer.Name), Address: raft.ServerAddress(peer.Address)}
		initialMembers.Servers = append(initialMembers.Servers, initialMember)
	}
	err = raft.BootstrapCluster(settings, stores.logs, stores.stable, stores.snapshots, n.transport, initialMembers)
	if err != nil {
		return fmt.Errorf("cluster: bootstrap: %w", err)
	}
	return nil
}

func (n *raftNode) leaseDuration() time.Duration { return n.config.Settings.Lease.Duration.Duration() }

// watchLeadership commits an announcement each time that this member is elected leader.
func (n *raftNode) watchLeadership() {
	defer close(n.watchDone)
	for {
		select {
		case <-n.done:
			return
		case leads := <-n.leadership:
			n.mu.Lock()
			n.announced = leads
			if leads {
				n.append(LogEntry{SchemaVersion: schemaVersion, Command: n.machine.announcement()})
			}
			n.mu.Unlock()
		}
	}
}

// append stamps an entry and appends it to the log, in the order of the stamps. The caller holds n.mu.
func (n *raftNode) append(entry LogEntry) raft.ApplyFuture {
	entry.At = n.config.Now()
	data, err := entry.Encode()
	if err != nil {
		panic(err) // plain values can always be encoded
	}
	return n.raft.Apply(data, n.leaseDuration()/transportTimeoutDivisor)
}

// propose appends an entry to the log, if this member leads, and waits until it is applied. Otherwise it fails with
// ErrNotLeader.
func (n *raftNode) propose(entry LogEntry) error {
	n.mu.Lock()
	if !n.announced {
		n.mu.Unlock()
		return ErrNotLeader
	}
	future := n.append(entry)
	n.mu.Unlock()
	return future.Error()
}

func (n *raftNode) isLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.announced
}

// leader returns the leader that this member knows; "" for none.
func (n *raftNode) leader() (name, address string) {
	knownAddress, id := n.raft.LeaderWithID()
	if id == "" {
		return "", ""
	}
	return string(id), n.config.addressOf(string(id), string(knownAddress))
}

// voters returns the members that vote, by name, with their addresses; nil if they are not known.
func (n *raftNode) voters() map[string]string {
	future := n.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	voters := map[string]string{}
	for _, server := range future.Configuration().Servers {
		voters[string(server.ID)] = string(server.Address)
	}
	return voters
}

func (n *raftNode) addVoter(name, address string) error {
	future := n.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, configurationTimeout)
	return future.Error()
}

func (n *raftNode) removeVoter(name string) error {
	return n.raft.RemoveServer(raft.ServerID(name), 0, configurationTimeout).Error()
}

// transferLeadership transfers leadership to another member, and waits for raft. After a failure a later tick retries.
func (n *raftNode) transferLeadership() { _ = n.raft.LeadershipTransfer().Error() }

func (n *raftNode) close() {
	close(n.done)
	_ = n.raft.Shutdown().Error()
	<-n.watchDone
	n.closeResources()
}

func (n *raftNode) closeResources() {
	if n.transport != nil {
		_ = n.transport.Close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
}

// peerAddresses resolves members' names by this member's own configuration file.
type peerAddresses struct{ config *Config }

// ServerAddr returns the address of a member by its name.
func (p peerAddresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if address := p.config.addressOf(string(id), ""); address != "" {
		return raft.ServerAddress(address), nil
	}
	return "", &noAddressError{string(id)}
}

package cluster

import (
	"github.com/rs/zerolog"

	"peppervale/internal/model"
)

// Peer is a member as a configuration file names it.
type Peer struct {
	Name          string
	Address       string // of its cluster port, as this member reaches it
	GossipAddress string // its gossip address, host:port
}

// Config describes one member and its cluster.
type Config struct {
	Name           string // unique in the cluster
	Zone           string // one of Settings.Zones
	ChannelAddress string // address at which proxies connect to this member
	ListenAddress  string // address of the cluster port: raft and requests
	GossipAddress  string // host:port, TCP and UDP
	Directory      string // of raft's log and snapshots
	Incarnation    uint64 // grows with each start
	Join           bool   // ask the peers to be added; otherwise, with an empty log, bootstrap the cluster with Peers
	Peers          []Peer // this member among them
	Settings       Settings
	Capacity       float64 // requests a second that this member controls at most; 0: unlimited

	// ShardLoads gives the reported requests a second of the connected proxies, by shard; nil: not known.
	ShardLoads func() map[int]float64
	// Now is this member's clock. It must go on while the process runs or is stopped.
	Now func() model.Microseconds
	// MisroutedProxies counts, by shard, the proxies that connect repeatedly to this member for a shard it does not
	// hold; nil: not known.
	MisroutedProxies func() map[int]int
	// Links lets tests and benchmarks cut links between members; nil: all are open.
	Links Links
	// Handover connects planned moves to the controller.
	Handover HandoverCallbacks
	Log      zerolog.Logger

	diskFault        func() error // set by tests: the error of each write to the log store, nil while it is writable
	supportedVersion uint8        // set by tests: newest supported schema version; 0: schemaVersion
}

// addressOf returns the address of a member by this member's own file, or the fallback if the file does not name it.
func (c *Config) addressOf(name, fallback string) string {
	for _, peer := range c.Peers {
		if peer.Name == name {
			return peer.Address
		}
	}
	return fallback
}

// nameAt returns the peer with a cluster address; "" for none.
func (c *Config) nameAt(address string) string {
	for _, peer := range c.Peers {
		if peer.Address == address {
			return peer.Name
		}
	}
	return ""
}

// LeaseListener is notified, from one goroutine, of the leases that this member gains and loses.
type LeaseListener interface {
	// LeaseGained says that this member holds a shard's lease from now on. A lease that was lost because its renewal
	// came back late may be gained again in the same epoch: no other member held it meanwhile.
	LeaseGained(shard int, epoch uint64)
	// LeaseLost returns once no message of this member for the shard is in flight any more.
	LeaseLost(shard int)
}

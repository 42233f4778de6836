package cluster

import (
	"github.com/rs/zerolog"

	"peppervale/internal/model"
)

// Peer is a member as listed in the configuration file.
type Peer struct {
	Name          string
	Address       string // of its cluster port, as this member connects to it
	GossipAddress string // its gossip address, host:port
}

// Config describes one member and its cluster.
type Config struct {
	Name           string // unique in the cluster
	Zone           string // one of Settings.Zones
	ChannelAddress string // address at which proxies connect to this member
	ListenAddress  string // address of the cluster port: raft and requests
	GossipAddress  string // host:port, TCP and UDP
	Directory      string // for raft's log and snapshots
	Incarnation    uint64 // increases with each start
	Join           bool   // ask the peers to be added; otherwise, with an empty log, bootstrap the cluster with Peers
	Peers          []Peer // including this member
	Settings       Settings
	Capacity       float64 // most requests a second of the shards placed on this member; 0: unlimited

	// ShardLoads returns the reported requests a second of the connected proxies, by shard; nil: not known.
	ShardLoads func() map[int]float64
	// Now reads this member's clock, which must also advance while the process is suspended.
	Now func() model.Microseconds
	// MisroutedProxies counts, by shard, the proxies that connect repeatedly to this member for a shard it does not
	// hold; nil: not known.
	MisroutedProxies func() map[int]int
	// Links lets tests and benchmarks cut links between members; nil: all are open.
	Links Links
	// Handover passes the controller's measurements on at planned moves.
	Handover   HandoverCallbacks
	PortLimits PortLimits // zero fields: DefaultPortLimits
	Log        zerolog.Logger

	diskFault        func() error // set by tests: the error of each write to the log store, nil while it is writable
	supportedVersion uint8        // set by tests: newest supported schema version; 0: schemaVersion
}

// addressOf returns the address of a member from this member's configuration, or the fallback if it is not listed.
func (c *Config) addressOf(name, fallback string) string {
	for _, peer := range c.Peers {
		if peer.Name == name {
			return peer.Address
		}
	}
	return fallback
}

// nameAt returns the name of the peer with this cluster address; "" for none.
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
	// LeaseGained is called when this member gains a shard's lease. A lease that was lost because the response to its
	// renewal was late may be gained again in the same epoch: no other member held it meanwhile.
	LeaseGained(shard int, epoch uint64)
	// LeaseLost is called when this member loses a shard's lease. It must not return before all messages of this
	// member for the shard have been delivered or dropped.
	LeaseLost(shard int)
}

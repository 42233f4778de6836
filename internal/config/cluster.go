package config

import (
	"slices"
	"time"

	"peppervale/internal/model"
)

const (
	maxClusterMembers = 9
	maxShardsPerZone  = 256
	maxShards         = 4096
)

// Limits of a lease. The default of 2 s allows for four missed raft heartbeats and three renewals. With less than 300
// ms, a busy machine loses leases without a failure. The default clock drift of 5% of a lease is a thousand times the
// drift of quartz clocks, which also covers a machine that is paused briefly.
const (
	defaultLease        = 2 * model.Second
	minLease            = 300 * model.Millisecond
	maxLease            = 600 * model.Second
	defaultDriftDivisor = 20 // the default drift is the lease divided by this
)

// Cluster is the block group { }: the cluster of instances that share the fleet and take over each other's shards.
// ShardsPerZone and the durations must be the same on all members.
type Cluster struct {
	ListenAddress       string             // address for raft and commands
	GossipAddress       string             // address for gossip
	Zone                string             // zone of this member
	Join                bool               // join a running cluster rather than form one
	ShardsPerZone       int                // number of shards in each zone
	LeaseDuration       model.Microseconds // of a shard's lease
	MaxClockDrift       model.Microseconds // between the clocks of two members during a lease
	StabilizationPeriod model.Microseconds // time that a returned member must be alive before shards move back to it
	MoveInterval        model.Microseconds // minimum time between two migrations that are not urgent
	Capacity            float64            // maximum requests per second that this member handles; 0: no limit
	Members             []ClusterMember

	// Limits on peers of the cluster port; 0: the port's own default.
	Connections    int           // open connections
	HeldBytes      int           // memory of one peer's request that has not arrived completely
	TotalHeldBytes int           // the same of all peers in total
	RequestTimeout time.Duration // time within which a request must arrive completely
}

// ClusterMember is the name and the addresses of a member.
type ClusterMember struct {
	Name          string
	Address       string // for raft and commands
	GossipAddress string // address for gossip
}

// readCluster reads the block group { }; server's name and zones must have been read.
func readCluster(block *Block, server *Server) *Cluster {
	cluster := &Cluster{
		ListenAddress: block.Address("listen", false),
		GossipAddress: block.Address("gossip", false),
		Zone:          block.String("zone", "", server.Zones...),
		Join:          block.Bool("join", false),
		ShardsPerZone: block.Int("parts", 4, 1, maxShardsPerZone),
		LeaseDuration: block.Duration("span", defaultLease, minLease, maxLease),
	}
	defaultDrift := cluster.LeaseDuration / defaultDriftDivisor
	cluster.MaxClockDrift = block.Duration("drift", defaultDrift, model.Millisecond, maxLease)
	cluster.StabilizationPeriod = block.Duration("settle", 10*model.Second, 0, maxDuration)
	cluster.MoveInterval = block.Duration("pace", 2*model.Second, 0, maxDuration)
	cluster.Capacity = block.Float("limit", 0, 0, maxRate)
	cluster.Connections = block.Int("connections", 0, 0, maxCount)
	cluster.HeldBytes = block.Int("held_bytes", 0, 0, maxHeldBytes)
	cluster.TotalHeldBytes = block.Int("held_all_bytes", 0, 0, maxTotalHeldBytes)
	cluster.RequestTimeout = block.Duration("unfinished", 0, 0, maxDuration).Duration()
	if cluster.MaxClockDrift >= cluster.LeaseDuration {
		block.AddError("drift", "drift: must be shorter than span")
	}
	if len(server.Zones)*cluster.ShardsPerZone > maxShards {
		block.AddError("parts", "parts: %d zones with %d parts each; at most %d parts are supported in total",
			len(server.Zones), cluster.ShardsPerZone, maxShards)
	}
	cluster.readMembers(block, server.Name)
	block.RejectUnknown()
	return cluster
}

// readMembers reads the blocks member "NAME" { }; ownName is the name of this instance.
func (c *Cluster) readMembers(block *Block, ownName string) {
	for _, memberBlock := range block.Blocks("member", 1) {
		member := ClusterMember{
			Name:          memberBlock.Labels[0],
			Address:       memberBlock.Address("address", false),
			GossipAddress: memberBlock.Address("gossip", false),
		}
		if slices.ContainsFunc(c.Members, member.conflictsWith) {
			memberBlock.AddError("", "member %q: another member has the same name or address", member.Name)
		}
		memberBlock.RejectUnknown()
		c.Members = append(c.Members, member)
	}
	if len(c.Members) > maxClusterMembers {
		block.AddError("", "group: %d members; at most %d are supported, 3 or 5 are usual", len(c.Members), maxClusterMembers)
	}
	hasOwnName := func(member ClusterMember) bool { return member.Name == ownName }
	if !slices.ContainsFunc(c.Members, hasOwnName) {
		block.AddError("", "group: a block member %q for this instance itself is missing", ownName)
	}
}

func (m ClusterMember) conflictsWith(other ClusterMember) bool {
	return m.Name == other.Name || m.Address == other.Address
}

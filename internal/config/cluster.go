package config

import (
	"slices"

	"peppervale/internal/model"
)

const (
	maxClusterMembers = 9
	maxShardsPerZone  = 256
	maxShards         = 4096
)

// Limits of a lease. One of 2 s, the default, is four raft heartbeats that may be missed and three renewals; under
// 300 ms a busy machine loses leases without cause. The default clock drift of 5% of a lease is a thousand times what
// quartz clocks drift, and leaves room for a machine that was paused for a moment.
const (
	defaultLease        = 2 * model.Second
	minLease            = 300 * model.Millisecond
	maxLease            = 600 * model.Second
	defaultDriftDivisor = 20 // the default drift is this part of a lease
)

// Cluster is the block group { }: the cluster of instances that divide the fleet among them and take over from each
// other. ShardsPerZone and the durations must be alike at all members.
type Cluster struct {
	ListenAddress       string // address for raft and commands
	GossipAddress       string // address for gossip
	Zone                string
	Join                bool               // join a running cluster rather than form one
	ShardsPerZone       int                // of the fleet
	LeaseDuration       model.Microseconds // of a shard's lease
	MaxClockDrift       model.Microseconds // that a clock may lose against another's within a lease
	StabilizationPeriod model.Microseconds // that a returned member must have been alive before shards move back to it
	MoveInterval        model.Microseconds // between two migrations that nothing forces
	Capacity            float64            // requests a second that this member handles at most; 0: any
	Members             []ClusterMember
}

// ClusterMember is a member as this one reaches it.
type ClusterMember struct {
	Name          string
	Address       string // for raft and commands
	GossipAddress string // address for gossip
}

// readCluster reads the block of an instance whose name and zones have been read.
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
	if cluster.MaxClockDrift >= cluster.LeaseDuration {
		block.AddError("drift", "drift: must be shorter than span")
	}
	if len(server.Zones)*cluster.ShardsPerZone > maxShards {
		block.AddError("parts", "parts: %d zones of %d parts; %d parts are handled in all",
			len(server.Zones), cluster.ShardsPerZone, maxShards)
	}
	cluster.readMembers(block, server.Name)
	block.RejectUnknown()
	return cluster
}

// readMembers reads the blocks member "NAME" { }; ownName is the name of the instance itself.
func (c *Cluster) readMembers(block *Block, ownName string) {
	for _, memberBlock := range block.Blocks("member", 1) {
		member := ClusterMember{
			Name:          memberBlock.Labels[0],
			Address:       memberBlock.Address("address", false),
			GossipAddress: memberBlock.Address("gossip", false),
		}
		if slices.ContainsFunc(c.Members, member.conflictsWith) {
			memberBlock.AddError("", "member %q: its name or address is that of another", member.Name)
		}
		memberBlock.RejectUnknown()
		c.Members = append(c.Members, member)
	}
	if len(c.Members) > maxClusterMembers {
		block.AddError("", "group: %d members; %d are handled, 3 or 5 are usual", len(c.Members), maxClusterMembers)
	}
	hasOwnName := func(member ClusterMember) bool { return member.Name == ownName }
	if !slices.ContainsFunc(c.Members, hasOwnName) {
		block.AddError("", "group: no block member %q: each member names itself too", ownName)
	}
}

func (m ClusterMember) conflictsWith(other ClusterMember) bool {
	return m.Name == other.Name || m.Address == other.Address
}

package cluster

import (
	"fmt"
	"hash/fnv"

	"peppervale/internal/lease"
	"peppervale/internal/placement"
)

// Settings are the settings that must be the same at all members of a cluster.
type Settings struct {
	Lease         lease.Config
	Placement     placement.Config
	Zones         []string
	ShardsPerZone int
}

// Digest is a hash of the settings. A member whose digest differs from the cluster's holds no lease.
func (s Settings) Digest() uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %v %v %q %d", schemaVersion, s.Lease, s.Placement, s.Zones, s.ShardsPerZone)
	return hash.Sum64()
}

// ShardOf returns the shard of a proxy: one of its zone's shards, by a hash of its name.
func (s Settings) ShardOf(zone int, name string) int {
	const multiplier = 0x45d9f3b // of a common 32-bit integer hash; another one would move proxies to other shards
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	mixed := hash.Sum32()
	mixed ^= mixed >> 16 // names that differ only in the last digit differ in few low bits of the hash
	mixed *= multiplier
	mixed ^= mixed >> 16
	return zone*s.ShardsPerZone + int(mixed%uint32(s.ShardsPerZone))
}

// shardCount is the number of shards of all zones.
func (s Settings) shardCount() int { return len(s.Zones) * s.ShardsPerZone }

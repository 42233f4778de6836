package benchmark

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"peppervale/internal/cluster"
)

const (
	addressesPerTakeoverMember = 3 // channel, raft and gossip
	statusTimeout              = 5 * time.Second
)

// takeoverMember is the process of an instance and its addresses.
type takeoverMember struct {
	instanceProcess
	index          int
	name           string
	channelAddress string
	raftAddress    string
	gossipAddress  string
}

// newTakeoverMembers creates the members, which are not running, and writes their configuration files.
func newTakeoverMembers(directory, registryAddress string, settings takeoverSettings) ([]*takeoverMember, error) {
	addresses, err := reserveAddresses(takeoverMembers * addressesPerTakeoverMember)
	if err != nil {
		return nil, err
	}
	var members []*takeoverMember
	for k := range takeoverMembers {
		memberAddresses := addresses[k*addressesPerTakeoverMember:]
		member := &takeoverMember{
			index:          k,
			name:           memberName(k),
			channelAddress: memberAddresses[0],
			raftAddress:    memberAddresses[1],
			gossipAddress:  memberAddresses[2],
		}
		member.program = settings.program
		member.configPath = filepath.Join(directory, member.name+".hcl")
		members = append(members, member)
	}
	for _, member := range members {
		text := fmt.Sprintf(takeoverConfigFormat, member.name, member.channelAddress, member.name+".state",
			member.index+1, settings.proxies, registryAddress)
		if settings.inCluster {
			text += member.clusterConfig(members, settings)
		}
		if err := os.WriteFile(member.configPath, []byte(text), 0o644); err != nil {
			return nil, err
		}
	}
	return members, nil
}

const takeoverConfigFormat = `governor %q {
  listen = %q
  state = %q
  seed = %d
  farewell = "` + gracefulShutdownPeriod + `"
}
zones = ["zone-0", "zone-1", "zone-2"]
operation "recipe-read" {
  objective = "500ms"
  timeout = "1200ms"
  effect = "idempotent"
}
fleet {
  forwarders = %d
}
rules {
}
channel {
  pace = 100000
  period = "500ms"
}
machine_list "consul" {
  address = %q
  service = "` + serviceName + `"
}
`

const takeoverClusterFormat = `group {
  listen = %q
  gossip = %q
  zone = %q
  parts = %d
  span = %q
  settle = "300ms"
  pace = "50ms"
`

const takeoverMemberFormat = `  member %q {
    address = %q
    gossip = %q
  }
`

// clusterConfig returns the part of the member's configuration that describes the cluster.
func (m *takeoverMember) clusterConfig(members []*takeoverMember, settings takeoverSettings) string {
	var text strings.Builder
	fmt.Fprintf(&text, takeoverClusterFormat,
		m.raftAddress, m.gossipAddress, zoneName(m.index), takeoverShards, settings.leaseDuration.Duration())
	for _, member := range members {
		fmt.Fprintf(&text, takeoverMemberFormat, member.name, member.raftAddress, member.gossipAddress)
	}
	text.WriteString("}\n")
	return text.String()
}

// leaseGrants returns the number of leases granted so far: the sum of the shards' epochs in the member's status. It
// returns 0 if the member does not answer or the instances form no cluster.
func (m *takeoverMember) leaseGrants(inCluster bool) uint64 {
	if !inCluster {
		return 0
	}
	text, err := cluster.Request(m.raftAddress, statusTimeout, "STATUS")
	if err != nil {
		return 0
	}
	var status cluster.Status
	if json.Unmarshal([]byte(text), &status) != nil {
		return 0
	}
	var grants uint64
	for _, shard := range status.Shards {
		grants += shard.Epoch
	}
	return grants
}

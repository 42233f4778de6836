package cli

import (
	"time"

	"peppervale/internal/cluster"
)

// Cluster is peppervale cluster.
type Cluster struct {
	Status       ClusterStatus       `cmd:"" help:"Show members, shards and takeovers, as one member knows them."`
	Move         ClusterMove         `cmd:"" help:"Move a shard to a member; it stays there until that one leaves."`
	DrainMember  ClusterDrainMember  `cmd:"" name:"drain-member" help:"Drain a member of its shards, or end that."`
	RemoveMember ClusterRemoveMember `cmd:"" name:"remove-member" aliases:"strike" help:"Remove a member for good."`
}

// member is the cluster member that a command sends its request to. It forwards to the leader what only the leader can
// do.
type member struct {
	At   string        `help:"Cluster address of any member, host:port." required:""`
	Wait time.Duration `help:"How long to wait for an answer." default:"5s"`
}

// request sends a request and returns the answer.
func (m member) request(words ...string) (string, error) {
	return cluster.Request(m.At, m.Wait, words...)
}

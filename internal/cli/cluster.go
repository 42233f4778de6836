package cli

import (
	"time"

	"peppervale/internal/cluster"
)

// Cluster is the command `peppervale cluster`.
type Cluster struct {
	Status       ClusterStatus       `cmd:"" help:"Show members, shards and takeovers, as known to one member."`
	Move         ClusterMove         `cmd:"" help:"Move a shard to a member; it stays until that member leaves."`
	DrainMember  ClusterDrainMember  `cmd:"" name:"drain-member" help:"Move all shards off a member, or end that drain."`
	RemoveMember ClusterRemoveMember `cmd:"" name:"remove-member" aliases:"strike" help:"Remove a member permanently."`
}

// targetMember is the cluster member that a command sends its request to. The member forwards requests that only the
// leader can carry out.
type targetMember struct {
	At   string        `help:"Cluster address of any member, host:port." required:""`
	Wait time.Duration `help:"How long to wait for an answer." default:"5s"`
}

// request sends a request and returns the answer.
func (m targetMember) request(words ...string) (string, error) {
	return cluster.Request(m.At, m.Wait, words...)
}

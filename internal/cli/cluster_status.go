package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"peppervale/internal/cluster"
)

// maxDisplayedTakeovers is the maximum number of takeovers that are printed: the latest ones.
const maxDisplayedTakeovers = 10

// ClusterStatus is the command `peppervale cluster status`.
type ClusterStatus struct {
	targetMember
	JSON bool `name:"json" help:"Write the status as JSON."`
}

// Run requests the status and writes it.
func (c *ClusterStatus) Run(out io.Writer) error {
	text, err := c.request("STATUS")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintln(out, text)
		return err
	}
	var status cluster.Status
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return fmt.Errorf("%s: %w", c.At, err)
	}
	return writeStatus(out, &status)
}

// writeStatus writes a status as text: a headline and one table each for members, shards and the last takeovers.
func writeStatus(out io.Writer, status *cluster.Status) error {
	leader := status.Leader
	if leader == "" {
		leader = "nobody that it knows of"
	}
	printf(out, "as %s knows it; %s leads, term %d\n", status.Member, leader, status.Term)
	if status.Fault != "" {
		printf(out, "%s cannot hold what it should: %s\n", status.Member, status.Fault)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeMembers(table, status.Members)
	writeShards(table, status.Shards)
	writeTakeovers(table, status.Takeovers)
	return table.Flush()
}

func writeMembers(table io.Writer, members []cluster.MemberStatus) {
	printf(table, "\nmember\tzone\tchannel\tparts\tusual rate\tstate\n")
	for i := range members {
		m := &members[i]
		printf(table, "%s\t%s\t%s\t%d\t%.1f\t%s\n", m.Name, m.Zone, m.Channel, m.Shards, m.ExpectedRate, memberState(m))
	}
}

func writeShards(table io.Writer, shards []cluster.ShardStatus) {
	printf(table, "\npart\tzone\tholder\tepoch\tusual rate\twanted\n")
	for i := range shards {
		shard := &shards[i]
		printf(table, "%d\t%s\t%s\t%d\t%.1f\t%s\n",
			shard.Number, shard.Zone, shard.Holder, shard.Epoch, shard.ExpectedRate, shardTarget(shard))
	}
}

// writeTakeovers writes the last takeovers, if there were any.
func writeTakeovers(table io.Writer, takeovers []cluster.Takeover) {
	if len(takeovers) == 0 {
		return
	}
	printf(table, "\nlast takeovers\tepoch\tfrom\tto\thow\twhy\n")
	newest := takeovers[max(0, len(takeovers)-maxDisplayedTakeovers):]
	for i := range newest {
		takeover := &newest[i]
		printf(table, "part %d\t%d\t%s\t%s\t%s\t%s\n",
			takeover.Shard, takeover.Epoch, takeover.From, takeover.To, takeoverKind(takeover), takeover.Reason)
	}
}

// memberState describes a member's state.
func memberState(m *cluster.MemberStatus) string {
	if m.Removed {
		return "struck off"
	}
	state := "seems gone"
	if m.SeemsAlive {
		state = "seems alive"
	}
	if !m.Voter {
		state += ", no vote"
	}
	if m.Draining {
		state += ", leaving"
	}
	return state
}

// shardTarget describes which member should hold a shard, and the reason if the move to that member is delayed.
func shardTarget(shard *cluster.ShardStatus) string {
	target := shard.Target
	if shard.Pinned {
		target += ", by hand"
	}
	if shard.WaitReason != "" {
		target += ": " + shard.WaitReason
	}
	return target
}

// takeoverKind describes how a shard's holder got the lease.
func takeoverKind(takeover *cluster.Takeover) string {
	switch {
	case takeover.From == "":
		return "first"
	case takeover.Planned:
		return "planned"
	}
	return "lease ran out"
}

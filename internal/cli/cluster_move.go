package cli

import (
	"io"
	"strconv"
)

// ClusterMove is the command `peppervale cluster move`.
type ClusterMove struct {
	targetMember
	Shard int    `arg:"" name:"part" help:"The shard's number, as status shows it."`
	To    string `arg:"" help:"The member's name."`
}

// Run requests the move and returns before the move is complete.
func (c *ClusterMove) Run(out io.Writer) error {
	if _, err := c.request("MOVE", strconv.Itoa(c.Shard), c.To); err != nil {
		return err
	}
	printf(out, "part %d is to go to %s; status shows when it is there\n", c.Shard, c.To)
	return nil
}

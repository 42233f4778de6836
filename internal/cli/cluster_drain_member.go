package cli

import "io"

// ClusterDrainMember is the command `peppervale cluster drain-member`.
type ClusterDrainMember struct {
	targetMember
	Name string `arg:"" help:"The member's name."`
	Off  bool   `help:"End the drain: the member may take shards again."`
}

// Run requests that a member starts or stops draining. It returns before the member's shards have moved.
func (c *ClusterDrainMember) Run(out io.Writer) error {
	state, message := "on", "%s gives its parts away, one at a time; status shows when it has none\n"
	if c.Off {
		state, message = "off", "%s may take parts again\n"
	}
	if _, err := c.request("LEAVE", c.Name, state); err != nil {
		return err
	}
	printf(out, message, c.Name)
	return nil
}

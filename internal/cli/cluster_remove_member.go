package cli

import "io"

// ClusterRemoveMember is the command `peppervale cluster remove-member`.
type ClusterRemoveMember struct {
	targetMember
	Name string `arg:"" help:"The member's name."`
}

// Run removes a member and its vote from the cluster.
func (c *ClusterRemoveMember) Run(out io.Writer) error {
	if _, err := c.request("STRIKE", c.Name); err != nil {
		return err
	}
	printf(out, "%s is struck off\n", c.Name)
	return nil
}

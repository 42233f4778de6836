package cluster

import "fmt"

// fault describes what prevents this member from holding leases, and the remedy; "" if nothing does. The caller holds
// c.mu.
func (c *Cluster) fault() string {
	member := c.member
	state := member.state
	registered := state.Member(member.Name)
	switch {
	case state.NewerSchemaVersion > 0:
		return fmt.Sprintf("the others have agreed on a command of form %d, this program knows up to %d: update it",
			state.NewerSchemaVersion, schemaVersion)
	case member.HasOtherSettings():
		return "span, drift, settle, pace, zones or parts differ from those that the group was begun with: " +
			"make this member's file like the others'"
	case member.misshapen:
		return "its copy of what the group agreed on was written with other settings by a former version: remove this " +
			"member, move its state directory away and start it under a new name with join = true"
	case member.IsSuperseded():
		return "another process runs under this name, and began later: end one of them"
	case c.storeError != nil:
		return "votes cannot be written: " + c.storeError.Error()
	case registered == nil || registered.Incarnation != member.Incarnation:
		return "not on the register: nobody leads the group, or a majority is not there, or this member has not been taken in"
	case registered.Removed:
		return "this member was struck off the register"
	case member.isUnconfirmed(c.config.Now()):
		return "what it asks is not agreed on: nobody leads the group, or a majority is not there"
	}
	return ""
}

// logFault logs the fault whenever it changes. The caller holds c.mu.
func (c *Cluster) logFault() {
	fault := c.fault()
	if fault == c.loggedFault {
		return
	}
	c.loggedFault = fault
	if fault == "" {
		c.config.Log.Info().Msg("cluster member can hold leases again")
		return
	}
	c.config.Log.Warn().Str("fault", fault).Msg("cluster member cannot hold leases")
}

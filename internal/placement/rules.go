package placement

// Reasons of migrations. They are part of the replicated state and its log, so they must not change.
const (
	reasonUnplaced     = "with nobody"
	reasonNotAlive     = "its member is gone"
	reasonUnreachable  = "its forwarders do not reach its member"
	reasonStopping     = "its member is ending"
	reasonDraining     = "its member is leaving"
	reasonPinned       = "moved by hand"
	reasonOverCapacity = "its member is beyond its limit"
	reasonForeignZone  = "back to its zone"
	reasonUneven       = "evener"
)

// rule is a row of the package's decision table.
type rule struct {
	reason  string
	applies func(r *round, shard *weightedShard, target *memberLoad) bool // target is nil if the shard has none

	staysOnTarget   bool // the shard does not migrate
	rateLimited     bool // one migration each move interval
	needsStable     bool // only to a member that has been alive for the stabilization period
	sameZone        bool // only to the shard's own zone
	toReachable     bool // only to the member that the shard's proxies connect to
	mustBalanceLoad bool // only if it reduces the difference between the two members' loads
}

// rules are in the order of precedence.
var rules = []rule{
	{reason: reasonUnplaced, applies: isUnplaced},
	{reason: reasonNotAlive, applies: isTargetLost},
	{reason: reasonUnreachable, applies: isTargetUnreachable, toReachable: true},
	{reason: reasonStopping, applies: isTargetStopping},
	{reason: reasonDraining, applies: isTargetDraining, rateLimited: true},
	{reason: reasonPinned, applies: isPinned, staysOnTarget: true},
	{reason: reasonOverCapacity, applies: isTargetOverCapacity, rateLimited: true},
	{reason: reasonForeignZone, applies: isInForeignZone, rateLimited: true, needsStable: true, sameZone: true},
	{reason: reasonUneven, applies: alwaysApplies, rateLimited: true, needsStable: true, mustBalanceLoad: true},
}

func isUnplaced(_ *round, _ *weightedShard, target *memberLoad) bool       { return target == nil }
func isTargetLost(_ *round, _ *weightedShard, target *memberLoad) bool     { return !target.Alive }
func isTargetStopping(_ *round, _ *weightedShard, target *memberLoad) bool { return target.Stopping }

func isTargetDraining(_ *round, _ *weightedShard, target *memberLoad) bool { return target.Draining }
func isPinned(_ *round, shard *weightedShard, _ *memberLoad) bool          { return shard.Pinned }
func alwaysApplies(*round, *weightedShard, *memberLoad) bool               { return true }

// isTargetUnreachable does not apply while the member that the proxies reach cannot take the shard: a target that is
// stopping or draining gives it up to another member then.
func isTargetUnreachable(r *round, shard *weightedShard, target *memberLoad) bool {
	if shard.ReachableMember == "" || shard.ReachableMember == target.Name {
		return false
	}
	reachable := r.byName[shard.ReachableMember]
	return reachable != nil && reachable.accepts(shard.Load)
}

func isTargetOverCapacity(_ *round, _ *weightedShard, target *memberLoad) bool {
	return target.Capacity > 0 && target.load > target.Capacity
}

// isInForeignZone does not apply while no member of the shard's zone can take it: members of other zones share its
// load evenly then.
func isInForeignZone(r *round, shard *weightedShard, target *memberLoad) bool {
	return target.Zone != shard.Zone && r.hasZoneMember(shard)
}

// firstApplicableRule returns the first rule that applies; the last one always does.
func (r *round) firstApplicableRule(shard *weightedShard) *rule {
	target := r.target(shard)
	for i := range rules {
		if rules[i].applies(r, shard, target) {
			return &rules[i]
		}
	}
	return nil
}

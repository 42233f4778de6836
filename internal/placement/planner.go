package placement

import (
	"cmp"
	"slices"

	"peppervale/internal/model"
)

// returnDelay is how long a shard does not migrate back without need to a member that its proxies did not reach. While
// the link stays down, each return leaves them without updates for a lease's duration: a minute between returns keeps
// that to a few percent of the time.
const returnDelay = 60 * model.Second

// Planner remembers its recent migrations. The zero Planner has planned none; a new leader starts with one. It belongs
// to one goroutine at a time.
type Planner struct {
	lastMoveAt    map[string]model.Microseconds // by member: its last rate-limited migration
	unreachableAt map[shardOnMember]model.Microseconds
}

// shardOnMember names a shard that migrated away from a member that its proxies did not reach.
type shardOnMember struct {
	shard  int
	member string
}

// Plan returns the migrations that are due. It also enters them in shards: each migrated shard gets its new Target
// and is no longer pinned or ReachableMember for at another member.
func (p *Planner) Plan(config Config, now model.Microseconds, members []Member, shards []Shard) []Migration {
	if p.lastMoveAt == nil {
		p.lastMoveAt = map[string]model.Microseconds{}
		p.unreachableAt = map[shardOnMember]model.Microseconds{}
	}
	round := newRound(p, config, now, members, shards)
	heaviestFirst := sortedByLoad(shards)
	var migrations []Migration
	for i := range rules { // forced migrations of all shards come first, and may use up the capacity
		for _, shard := range heaviestFirst {
			if firstRule(shard, round.target(shard)) != &rules[i] {
				continue
			}
			if destination := round.bestMember(&rules[i], shard); destination != nil {
				migrations = append(migrations, round.migrate(&rules[i], shard, destination))
			}
		}
	}
	return migrations
}

// sortedByLoad puts the heaviest shards first, so that those left at the end are small enough to balance the loads.
func sortedByLoad(shards []Shard) []*Shard {
	sorted := make([]*Shard, len(shards))
	for i := range shards {
		sorted[i] = &shards[i]
	}
	slices.SortStableFunc(sorted, func(a, b *Shard) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Number, b.Number))
	})
	return sorted
}

// memberLoad is a member with the load of the shards placed on it so far.
type memberLoad struct {
	*Member
	load   float64
	shards int
}

func (m *memberLoad) add(shard *Shard) {
	m.load += shard.Load
	m.shards++
}

func (m *memberLoad) remove(shard *Shard) {
	m.load -= shard.Load
	m.shards--
}

// accepts reports whether a member may get a shard of some load at all.
func (m *memberLoad) accepts(load float64) bool {
	isLeaving := m.Draining || m.Stopping
	hasCapacity := m.Capacity <= 0 || m.load+load <= m.Capacity
	return m.Alive && !isLeaving && hasCapacity
}

// distance returns 0 for a member of the shard's zone and 1 for any other.
func (m *memberLoad) distance(shard *Shard) int {
	if m.Zone == shard.Zone {
		return 0
	}
	return 1
}

// balancesLoad reports whether a migration brings the loads of two members closer together. Shards without load count
// by their number.
func balancesLoad(from, to *memberLoad, shard *Shard) bool {
	if shard.Load > 0 {
		return to.load+shard.Load < from.load
	}
	return from.load == 0 && to.load == 0 && to.shards+1 < from.shards
}

// round is one call of Plan.
type round struct {
	Config
	planner *Planner
	now     model.Microseconds
	members []*memberLoad // by name
	byName  map[string]*memberLoad
}

func newRound(
	planner *Planner, config Config, now model.Microseconds, members []Member, shards []Shard,
) *round {
	result := &round{Config: config, planner: planner, now: now, byName: map[string]*memberLoad{}}
	for i := range members {
		member := &memberLoad{Member: &members[i]}
		result.members = append(result.members, member)
		result.byName[member.Name] = member
	}
	slices.SortFunc(result.members, func(a, b *memberLoad) int { return cmp.Compare(a.Name, b.Name) })
	for i := range shards {
		if target := result.target(&shards[i]); target != nil {
			target.add(&shards[i])
		}
	}
	return result
}

// target returns nil for a shard without target, or with one that is no member.
func (r *round) target(shard *Shard) *memberLoad { return r.byName[shard.Target] }

// bestMember returns where a rule has a shard migrate to: a member of the shard's zone if one is eligible, and among
// those the one with the least load. It returns nil if the shard stays.
func (r *round) bestMember(rule *rule, shard *Shard) *memberLoad {
	target := r.target(shard)
	if rule.staysOnTarget || rule.rateLimited && !r.mayMove(target) {
		return nil
	}
	var best *memberLoad
	for _, member := range r.members {
		if member == target || !r.isEligible(rule, shard, member) {
			continue
		}
		if best == nil || isBetter(member, best, shard) {
			best = member
		}
	}
	return best
}

// isEligible reports whether a rule lets a shard migrate to a member other than its target.
func (r *round) isEligible(rule *rule, shard *Shard, member *memberLoad) bool {
	switch {
	case !member.accepts(shard.Load):
		return false
	case rule.needsStable && !r.isStableFor(rule, shard, member):
		return false
	case rule.sameZone && member.Zone != shard.Zone:
		return false
	case rule.toReachable && member.Name != shard.ReachableMember:
		return false
	case rule.mustBalanceLoad:
		target := r.target(shard)
		return member.distance(shard) <= target.distance(shard) && balancesLoad(target, member, shard)
	}
	return true
}

// isStableFor reports whether a member may get a shard that need not migrate.
func (r *round) isStableFor(rule *rule, shard *Shard, member *memberLoad) bool {
	isStable := r.now-member.AliveSince >= r.StabilizationPeriod
	mayMove := !rule.rateLimited || r.mayMove(member)
	return isStable && mayMove && !r.wasUnreachable(shard, member)
}

// isBetter compares two eligible members for a shard.
func isBetter(a, b *memberLoad, shard *Shard) bool {
	return cmp.Or(
		cmp.Compare(a.distance(shard), b.distance(shard)),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.shards, b.shards),
	) < 0
}

// wasUnreachable reports whether a shard migrated away from a member recently because its proxies did not reach it.
func (r *round) wasUnreachable(shard *Shard, member *memberLoad) bool {
	at, found := r.planner.unreachableAt[shardOnMember{shard.Number, member.Name}]
	return found && r.now-at < returnDelay
}

// mayMove reports whether the move interval has passed for a member.
func (r *round) mayMove(member *memberLoad) bool {
	at, found := r.planner.lastMoveAt[member.Name]
	return !found || r.now-at >= r.MoveInterval
}

// migrate enters a migration in the round, in the planner and in the shard.
func (r *round) migrate(rule *rule, shard *Shard, destination *memberLoad) Migration {
	migration := Migration{Shard: shard.Number, From: shard.Target, To: destination.Name, Reason: rule.reason}
	if from := r.target(shard); from != nil {
		from.remove(shard)
		if rule.rateLimited {
			r.planner.lastMoveAt[from.Name] = r.now
		}
		if rule.toReachable {
			r.planner.unreachableAt[shardOnMember{shard.Number, from.Name}] = r.now
		}
	}
	if rule.rateLimited && rule.needsStable {
		r.planner.lastMoveAt[destination.Name] = r.now
	}
	destination.add(shard)
	shard.Target = destination.Name
	shard.Pinned = false
	shard.ReachableMember = ""
	return migration
}

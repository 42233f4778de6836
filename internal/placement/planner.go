package placement

import (
	"cmp"
	"slices"

	"peppervale/internal/model"
)

// returnDelay is the minimum time before a shard migrates back, without need, to a member that its proxies did not
// reach. If the link is still down, each return leaves the proxies without updates for the duration of a lease. A
// minute between returns limits this to a few percent of the time.
const returnDelay = 60 * model.Second

// Planner plans migrations and records the recent ones. The zero Planner has no recorded migrations; a new leader
// starts with it. A Planner belongs to one goroutine at a time.
type Planner struct {
	lastMoveAt    map[string]model.Microseconds // time of the last rate-limited migration, by member
	unreachableAt map[shardOnMember]model.Microseconds
}

// shardOnMember identifies a shard and a member that its proxies did not reach.
type shardOnMember struct {
	shard  int
	member string
}

// Plan returns the migrations that are due. It also applies them to shards: each migrated shard gets its new Target,
// Pinned is reset to false and ReachableMember to "".
func (p *Planner) Plan(config Config, now model.Microseconds, members []Member, shards []Shard) []Migration {
	if p.lastMoveAt == nil {
		p.lastMoveAt = map[string]model.Microseconds{}
		p.unreachableAt = map[shardOnMember]model.Microseconds{}
	}
	weighted := withWeights(shards)
	round := newRound(p, config, now, members, weighted)
	heaviestFirst := sortedByWeight(weighted)
	var migrations []Migration
	for i := range rules { // forced migrations of all shards come first and may use up the capacity
		for _, shard := range heaviestFirst {
			if round.firstApplicableRule(shard) != &rules[i] {
				continue
			}
			if destination := round.bestMember(&rules[i], shard); destination != nil {
				migrations = append(migrations, round.migrate(&rules[i], shard, destination))
			}
		}
	}
	return migrations
}

// weightedShard is a shard with the load by which members are compared: its own, or an estimate where it is unknown. An
// estimate never counts towards the capacity of a member, so it leaves no shard without a target.
type weightedShard struct {
	*Shard
	weight float64
}

// withWeights estimates an unknown load by the mean of the known ones; 0 if none is known.
func withWeights(shards []Shard) []weightedShard {
	total, known := 0.0, 0
	for i := range shards {
		if !shards[i].LoadUnknown {
			total += shards[i].Load
			known++
		}
	}
	mean := total / float64(max(known, 1))
	weighted := make([]weightedShard, len(shards))
	for i := range shards {
		weighted[i] = weightedShard{Shard: &shards[i], weight: shards[i].Load}
		if shards[i].LoadUnknown {
			weighted[i].weight = mean
		}
	}
	return weighted
}

// sortedByWeight returns the shards with the highest weight first, so that the last ones are small enough to balance
// the loads of the members.
func sortedByWeight(shards []weightedShard) []*weightedShard {
	sorted := make([]*weightedShard, len(shards))
	for i := range shards {
		sorted[i] = &shards[i]
	}
	slices.SortStableFunc(sorted, func(a, b *weightedShard) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Number, b.Number))
	})
	return sorted
}

// memberLoad is a member with the total load, weight and number of the shards placed on it so far.
type memberLoad struct {
	*Member
	load       float64
	weight     float64
	shardCount int
}

func (m *memberLoad) addShard(shard *weightedShard) {
	m.load += shard.Load
	m.weight += shard.weight
	m.shardCount++
}

func (m *memberLoad) removeShard(shard *weightedShard) {
	m.load -= shard.Load
	m.weight -= shard.weight
	m.shardCount--
}

// accepts reports whether a member may get a shard of some load under any rule.
func (m *memberLoad) accepts(load float64) bool {
	isLeaving := m.Draining || m.Stopping
	hasCapacity := m.Capacity <= 0 || m.load+load <= m.Capacity
	return m.Alive && !isLeaving && hasCapacity
}

// distance returns 0 for a member of the shard's zone and 1 for any other.
func (m *memberLoad) distance(shard *weightedShard) int {
	if m.Zone == shard.Zone {
		return 0
	}
	return 1
}

// balancesLoad reports whether a migration reduces the difference between the loads of two members. For a shard without
// load the numbers of shards are compared instead.
func balancesLoad(from, to *memberLoad, shard *weightedShard) bool {
	if shard.weight > 0 {
		return to.weight+shard.weight < from.weight
	}
	return from.weight == 0 && to.weight == 0 && to.shardCount+1 < from.shardCount
}

// round is the state of one call of Plan.
type round struct {
	Config
	planner *Planner
	now     model.Microseconds
	members []*memberLoad // sorted by name
	byName  map[string]*memberLoad
}

func newRound(
	planner *Planner, config Config, now model.Microseconds, members []Member, shards []weightedShard,
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
			target.addShard(&shards[i])
		}
	}
	return result
}

// target returns nil if a shard has no target, or its target is not a member.
func (r *round) target(shard *weightedShard) *memberLoad { return r.byName[shard.Target] }

// bestMember returns the member that a rule migrates a shard to: an eligible member of the shard's zone if there is
// one, else any eligible member, and of several the one with the least load. It returns nil if the shard stays.
func (r *round) bestMember(rule *rule, shard *weightedShard) *memberLoad {
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

// isEligible reports whether a rule allows a shard to migrate to a member that is not its target.
func (r *round) isEligible(rule *rule, shard *weightedShard, member *memberLoad) bool {
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

// isStableFor reports whether a member may get a shard under a rule that needs a stable member.
func (r *round) isStableFor(rule *rule, shard *weightedShard, member *memberLoad) bool {
	isStable := r.now-member.AliveSince >= r.StabilizationPeriod
	mayMove := !rule.rateLimited || r.mayMove(member)
	return isStable && mayMove && !r.wasUnreachable(shard, member)
}

// isBetter reports whether the eligible member a is preferred to b for a shard.
func isBetter(a, b *memberLoad, shard *weightedShard) bool {
	return cmp.Or(
		cmp.Compare(a.distance(shard), b.distance(shard)),
		cmp.Compare(a.weight, b.weight),
		cmp.Compare(a.shardCount, b.shardCount),
	) < 0
}

// wasUnreachable reports whether a shard migrated away from a member within returnDelay because its proxies did not
// reach the member.
func (r *round) wasUnreachable(shard *weightedShard, member *memberLoad) bool {
	at, found := r.planner.unreachableAt[shardOnMember{shard.Number, member.Name}]
	return found && r.now-at < returnDelay
}

// hasZoneMember reports whether a member of the shard's zone, other than its target, accepts the shard now or once it
// is stable.
func (r *round) hasZoneMember(shard *weightedShard) bool {
	return slices.ContainsFunc(r.members, func(member *memberLoad) bool {
		return member.Zone == shard.Zone && member.accepts(shard.Load)
	})
}

// mayMove reports whether the move interval has passed since a member's last rate-limited migration.
func (r *round) mayMove(member *memberLoad) bool {
	at, found := r.planner.lastMoveAt[member.Name]
	return !found || r.now-at >= r.MoveInterval
}

// migrate applies a migration to the loads of the round, to the planner and to the shard.
func (r *round) migrate(rule *rule, shard *weightedShard, destination *memberLoad) Migration {
	migration := Migration{Shard: shard.Number, From: shard.Target, To: destination.Name, Reason: rule.reason}
	if from := r.target(shard); from != nil {
		from.removeShard(shard)
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
	destination.addShard(shard)
	shard.Target = destination.Name
	shard.Pinned = false
	shard.ReachableMember = ""
	return migration
}

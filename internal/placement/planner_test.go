package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

var testConfig = Config{StabilizationPeriod: 10 * model.Second, MoveInterval: 2 * model.Second}

// testCluster is a cluster with one member and some shards in each zone.
type testCluster struct {
	members []Member
	shards  []Shard
	planner Planner
	now     model.Microseconds
}

func newTestCluster(zones, shardsPerZone int, load float64) *testCluster {
	cluster := &testCluster{now: 100 * model.Second}
	for z := range zones {
		name := fmt.Sprint("zone", z)
		cluster.members = append(cluster.members, Member{Name: "member-" + name, Zone: name, Alive: true})
		for range shardsPerZone {
			cluster.shards = append(cluster.shards, Shard{Number: len(cluster.shards), Zone: name, Load: load})
		}
	}
	return cluster
}

// planAfter advances the time, then plans and applies migrations.
func (c *testCluster) planAfter(span model.Microseconds) []Migration {
	c.now += span
	return c.planner.Plan(testConfig, c.now, c.members, c.shards)
}

func (c *testCluster) shardCount(member string) int {
	count := 0
	for _, shard := range c.shards {
		if shard.Target == member {
			count++
		}
	}
	return count
}

func (c *testCluster) load(member string) float64 {
	load := 0.0
	for _, shard := range c.shards {
		if shard.Target == member {
			load += shard.Load
		}
	}
	return load
}

// member returns nil if no member has the name.
func (c *testCluster) member(name string) *Member {
	for i := range c.members {
		if c.members[i].Name == name {
			return &c.members[i]
		}
	}
	return nil
}

func TestShardsArePlacedInTheirZoneWhenClusterStarts(t *testing.T) {
	cluster := newTestCluster(3, 4, 10)
	if migrations := cluster.planAfter(0); len(migrations) != 12 {
		t.Fatalf("got %d migrations at the start, want 12", len(migrations))
	}
	for _, shard := range cluster.shards {
		if shard.Target != "member-"+shard.Zone {
			t.Errorf("shard %d of %s is on %s", shard.Number, shard.Zone, shard.Target)
		}
	}
	if migrations := cluster.planAfter(testConfig.StabilizationPeriod); len(migrations) != 0 {
		t.Errorf("got migrations %v of placed shards, want none", migrations)
	}
}

// When a member is lost, its own shards migrate at once and evenly. When it has returned, it gets no shard within the
// stabilization period, then one shard at a time.
func TestReturnedMemberGetsOneShardEachMoveInterval(t *testing.T) {
	cluster := newTestCluster(3, 4, 10)
	cluster.planAfter(0)
	lostMember := &cluster.members[0]
	lostMember.Alive = false
	if migrations := cluster.planAfter(model.Second); len(migrations) != 4 {
		t.Fatalf("got %d migrations, want one of each of 4 shards", len(migrations))
	}
	if a, b := cluster.shardCount("member-zone1"), cluster.shardCount("member-zone2"); a != 6 || b != 6 {
		t.Fatalf("the remaining members have %d and %d shards, want 6 each", a, b)
	}
	lostMember.Alive, lostMember.AliveSince = true, cluster.now
	for cluster.now-lostMember.AliveSince < testConfig.StabilizationPeriod-model.Second {
		if migrations := cluster.planAfter(model.Second); len(migrations) != 0 {
			t.Fatalf("%v us after the return: got migrations %v, want none", cluster.now-lostMember.AliveSince, migrations)
		}
	}
	lastMigrationAt := model.Microseconds(0)
	for cluster.shardCount("member-zone0") < 4 {
		migrations := cluster.planAfter(100 * model.Millisecond)
		isTooEarly := lastMigrationAt > 0 && cluster.now-lastMigrationAt < testConfig.MoveInterval
		if len(migrations) > 1 || len(migrations) == 1 && isTooEarly {
			t.Fatalf("migrations %v only %d us after the previous one", migrations, cluster.now-lastMigrationAt)
		}
		if len(migrations) == 1 {
			lastMigrationAt = cluster.now
		}
		if cluster.now > 1000*model.Second {
			t.Fatalf("%d shards have migrated back after 1000 s, want 4", cluster.shardCount("member-zone0"))
		}
	}
}

// The shards of a lost member go evenly to the others although the loads of one of these are not known yet. An unknown
// load was taken as 0, and that member got all of them.
func TestUnknownLoadsCountAsMeanOfKnownOnes(t *testing.T) {
	cluster := newTestCluster(3, 2, 10)
	cluster.planAfter(0)
	for i := range cluster.shards {
		if cluster.shards[i].Target == "member-zone1" {
			cluster.shards[i].Load, cluster.shards[i].LoadUnknown = 0, true
		}
	}
	cluster.members[0].Alive = false
	cluster.planAfter(model.Second)
	if a, b := cluster.shardCount("member-zone1"), cluster.shardCount("member-zone2"); a != 3 || b != 3 {
		t.Errorf("the remaining members have %d and %d shards, want 3 each", a, b)
	}
}

// An unknown load takes up no capacity: a shard whose load nobody has reported yet is placed wherever there is a
// member.
func TestUnknownLoadIsPlacedWithoutCapacity(t *testing.T) {
	cluster := newTestCluster(2, 2, 10)
	cluster.members[0].Capacity, cluster.members[1].Capacity = 20, 20
	cluster.shards[3].Load, cluster.shards[3].LoadUnknown = 0, true
	cluster.planAfter(0)
	cluster.members[0].Alive = false
	cluster.shards[3].Target = ""
	cluster.planAfter(model.Second)
	if target := cluster.shards[3].Target; target != "member-zone1" {
		t.Errorf("the shard of unknown load is placed on %q, want member-zone1", target)
	}
}

// While no member of a shard's zone lives, the shards of that zone are spread evenly over the others, one each move
// interval. The rule that brings shards back to their zone held them where they were, for as long as the zone was lost.
func TestShardsOfLostZoneAreSpreadEvenly(t *testing.T) {
	cluster := newTestCluster(3, 2, 10)
	cluster.planAfter(0)
	cluster.members[2].Alive = false
	for i := range cluster.shards {
		if cluster.shards[i].Target == "member-zone2" {
			cluster.shards[i].Target = "member-zone0"
		}
	}
	if migrations := cluster.planAfter(testConfig.MoveInterval); len(migrations) != 1 {
		t.Errorf("got migrations %v, want one", migrations)
	}
	if a, b := cluster.shardCount("member-zone0"), cluster.shardCount("member-zone1"); a != 3 || b != 3 {
		t.Errorf("the remaining members have %d and %d shards, want 3 each", a, b)
	}
	if migrations := cluster.planAfter(testConfig.StabilizationPeriod); len(migrations) != 0 {
		t.Errorf("got migrations %v of balanced shards, want none", migrations)
	}
}

// While a returned member of the zone waits for the stabilization period, its shards wait too: a move to another member
// would be one move too many.
func TestShardWaitsForReturnedMemberOfItsZone(t *testing.T) {
	cluster := newTestCluster(3, 2, 10)
	cluster.planAfter(0)
	for i := range cluster.shards {
		if cluster.shards[i].Target == "member-zone2" {
			cluster.shards[i].Target = "member-zone0"
		}
	}
	cluster.members[2].AliveSince = cluster.now
	if migrations := cluster.planAfter(testConfig.MoveInterval); len(migrations) != 0 {
		t.Errorf("got migrations %v, want none before the member is stable", migrations)
	}
}

// A stopping member gives up a shard although the member that the shard's proxies reach cannot take it. The rule for
// unreachable members held the shard, and the process that is about to end waited for it.
func TestStoppingMemberGivesUpShardWhenReachableMemberCannotTakeIt(t *testing.T) {
	cluster := newTestCluster(3, 1, 10)
	cluster.planAfter(0)
	cluster.shards[0].ReachableMember = "member-zone1"
	cluster.members[1].Draining = true
	cluster.members[0].Stopping = true
	migrations := cluster.planAfter(model.Second)
	if len(migrations) == 0 || migrations[0].Shard != 0 || migrations[0].To != "member-zone2" {
		t.Errorf("got migrations %v, want shard 0 on member-zone2 first", migrations)
	}
}

// A shard stays unplaced while no member has capacity for it, and is placed once a member has.
func TestShardStaysUnplacedWhenNoMemberHasCapacity(t *testing.T) {
	cluster := newTestCluster(2, 2, 10)
	cluster.members[0].Capacity, cluster.members[1].Capacity = 20, 30
	cluster.planAfter(0)
	cluster.members[0].Alive = false
	if migrations := cluster.planAfter(model.Second); len(migrations) != 1 {
		t.Fatalf("got migrations %v, want one as there is capacity for one shard", migrations)
	}
	cluster.members[1].Capacity = 40
	migrations := cluster.planAfter(model.Second)
	if len(migrations) != 1 || cluster.shardCount("member-zone1") != 4 {
		t.Fatalf("got migrations %v, want one as there is capacity for the last shard", migrations)
	}
}

// A pinned shard stays on its member unless the member drains. A draining member gives up one shard at a time.
func TestPinnedShardStaysUntilMemberDrains(t *testing.T) {
	cluster := newTestCluster(2, 3, 10)
	cluster.planAfter(0)
	cluster.shards[5].Target, cluster.shards[5].Pinned = "member-zone0", true
	if migrations := cluster.planAfter(model.Second); len(migrations) != 0 {
		t.Fatalf("got migrations %v of a pinned shard, want none", migrations)
	}
	cluster.members[0].Draining = true
	for k := range 4 {
		if migrations := cluster.planAfter(testConfig.MoveInterval); len(migrations) != 1 {
			t.Fatalf("interval %d of a draining member: got migrations %v, want one", k, migrations)
		}
	}
	if n := cluster.shardCount("member-zone0"); n != 0 {
		t.Fatalf("%d shards are left on the drained member", n)
	}
}

// If a shard's proxies reach another member and not their target, the shard migrates there and does not return before
// returnDelay has passed.
func TestShardMigratesToReachableMemberWhenTargetIsUnreachable(t *testing.T) {
	cluster := newTestCluster(2, 2, 10)
	cluster.planAfter(0)
	cluster.shards[0].ReachableMember = "member-zone1"
	migrations := cluster.planAfter(model.Second)
	if len(migrations) != 1 || migrations[0].Shard != 0 || migrations[0].To != "member-zone1" {
		t.Fatalf("got migrations %v, want shard 0 on the reachable member", migrations)
	}
	for span := model.Microseconds(0); span < returnDelay-testConfig.MoveInterval; span += testConfig.MoveInterval {
		for _, migration := range cluster.planAfter(testConfig.MoveInterval) {
			if migration.Shard == 0 {
				t.Fatalf("shard 0 migrated back after %d us: %+v", span, migration)
			}
		}
	}
	cluster.planAfter(2 * testConfig.MoveInterval)
	cluster.planAfter(2 * testConfig.MoveInterval)
	if cluster.shards[0].Target != "member-zone0" {
		t.Errorf("shard 0 is on %s after returnDelay, want member-zone0", cluster.shards[0].Target)
	}
}

// A stopping member gives up all shards at once.
func TestStoppingMemberGivesUpAllShards(t *testing.T) {
	cluster := newTestCluster(3, 4, 10)
	cluster.planAfter(0)
	cluster.members[0].Stopping = true
	if migrations := cluster.planAfter(model.Second); len(migrations) != 4 || cluster.shardCount("member-zone0") != 0 {
		t.Fatalf("got migrations %v, want all 4 shards", migrations)
	}
}

// In any sequence of events, no member that is lost, draining or at its capacity gets a shard; no more shards migrate
// from lost members than they had; and migrations end once no more events occur.
func TestMigrationsFollowRulesInAnySequenceOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		cluster := newTestCluster(zones, rapid.IntRange(1, 6).Draw(t, "shards"), 0)
		for i := range cluster.shards {
			cluster.shards[i].Load = float64(rapid.IntRange(0, 30).Draw(t, "load"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "additional members") {
			name := fmt.Sprint("more", len(cluster.members))
			cluster.members = append(cluster.members, Member{Name: name, Zone: "zone0", Alive: true})
		}
		for range rapid.IntRange(1, 15).Draw(t, "events") {
			cluster.drawEvent(t)
			lost := cluster.lostShards()
			span := model.Microseconds(rapid.IntRange(0, 3).Draw(t, "seconds")) * model.Second
			fromLostMembers := cluster.checkMigrations(t, cluster.planAfter(span))
			if fromLostMembers > lost {
				t.Fatalf("got %d migrations of %d shards whose members are lost", fromLostMembers, lost)
			}
		}
		for k := 0; ; k++ {
			migrations := cluster.planAfter(testConfig.StabilizationPeriod)
			if len(migrations) == 0 {
				break
			}
			if k > 10*len(cluster.shards)+10 {
				t.Fatalf("migrations do not end without events: %v", migrations)
			}
		}
		cluster.checkBalance(t)
	})
}

// drawEvent changes a randomly chosen member, or none.
func (c *testCluster) drawEvent(t *rapid.T) {
	member := &c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, "member")]
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		member.Alive = !member.Alive
		if member.Alive {
			member.AliveSince = c.now
		}
	case 1:
		member.Draining = !member.Draining
	case 2:
		member.Capacity = float64(rapid.IntRange(0, 100).Draw(t, "capacity"))
	}
}

// lostShards counts the shards that have no target or whose target is not alive.
func (c *testCluster) lostShards() int {
	lost := 0
	for _, shard := range c.shards {
		if member := c.member(shard.Target); member == nil || !member.Alive {
			lost++
		}
	}
	return lost
}

// checkMigrations checks the destinations of migrations and returns the number of migrations from lost members.
func (c *testCluster) checkMigrations(t *rapid.T, migrations []Migration) int {
	fromLostMembers := 0
	for _, migration := range migrations {
		to := c.member(migration.To)
		isFull := to.Capacity > 0 && c.load(migration.To) > to.Capacity
		if !to.Alive || to.Draining || isFull {
			t.Fatalf("migration %+v to member %+v, which then has load %v", migration, *to, c.load(migration.To))
		}
		if migration.Reason == "its member is gone" {
			fromLostMembers++
		}
	}
	return fromLostMembers
}

// checkBalance fails the test if one migration between living members would lessen the difference of their loads. Only
// members that may get the shard count, and no shard leaves its zone for balance.
func (c *testCluster) checkBalance(t *rapid.T) {
	for _, shard := range c.shards {
		from := c.member(shard.Target)
		if from == nil || !from.Alive || shard.Load == 0 {
			continue
		}
		for _, to := range c.members {
			isFull := to.Capacity > 0 && c.load(to.Name)+shard.Load > to.Capacity
			leavesZone := from.Zone == shard.Zone && to.Zone != shard.Zone
			if !to.Alive || to.Draining || isFull || leavesZone {
				continue
			}
			if c.load(to.Name)+shard.Load < c.load(from.Name) {
				t.Fatalf("shard %+v stays on %s with load %v, though %s has %v",
					shard, from.Name, c.load(from.Name), to.Name, c.load(to.Name))
			}
		}
	}
}

package cluster

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// Members that start within half a lease of each other get the shards of their own zones at once, and no shard is moved
// later.
func TestMembersHoldShardsOfTheirZonesWhenStartedTogether(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.members[2].partitioned = true
	sim.runFor(200 * model.Millisecond)
	sim.members[2].partitioned = false
	sim.runFor(20 * model.Second)
	sim.wantHeld(2, 2, 2)
	if n := len(sim.members[0].state.Events); n != 6 {
		t.Errorf("%d grants for 6 shards, want 6", n)
	}
}

func TestAllShardsAreHeldAtAnyClusterSize(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		sim := newSimulation(t, n)
		sim.runFor(2 * model.Second)
		held := 0
		for k := range n {
			held += sim.heldShards(k)
		}
		if held != 6 {
			t.Errorf("%d members hold %d of 6 shards, want all", n, held)
		}
	}
}

// A member is lost: the other members hold its shards after its leases have expired, not before, and keep their own
// leases.
func TestShardsAreTakenOverAfterLeaseExpiryWhenMemberIsLost(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.wantHeld(2, 2, 2)
	sim.members[2].up = false
	sim.runFor(simulationSettings.Lease.Duration/2 + simulationSettings.Lease.MaxClockDrift)
	sim.wantHeld(2, 2)
	sim.runFor(2 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 3)
	if takeovers := sim.members[0].state.Events; takeovers[len(takeovers)-1].Planned ||
		takeovers[len(takeovers)-1].From != "m2" {
		t.Errorf("newest takeover is %+v, want an unplanned one from m2", takeovers[len(takeovers)-1])
	}
	sim.start(2)
	sim.runFor(simulationSettings.Placement.StabilizationPeriod - model.Second)
	sim.wantHeld(3, 3, 0)
	sim.runFor(5 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// The leader is lost: a new leader measures all leases, and the other members keep theirs without interruption.
func TestOtherMembersKeepLeasesWhenLeaderIsLost(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.members[0].up = false
	for range 100 {
		sim.runTick()
		if sim.heldShards(1) < 2 || sim.heldShards(2) < 2 {
			t.Fatal("a member lost a lease when the leader was lost")
		}
	}
	sim.runFor(3 * model.Second)
	sim.wantHeld(0, 3, 3)
}

// The leader is lost right after the first grants, and the new one has not received the load of every shard: the lost
// member's shards still go to both remaining members. A load that is not known yet was taken as 0, so that one member
// got all of them.
func TestLostShardsAreSpreadWhenLoadsAreNotReportedYet(t *testing.T) {
	sim := newSimulation(t, 3)
	for ticks := 0; sim.heldShards(0)+sim.heldShards(1)+sim.heldShards(2) < 6; ticks++ {
		if sim.runTick(); ticks > 1000 {
			t.Fatal("the shards are not held")
		}
	}
	sim.wantHeld(2, 2, 2)
	sim.members[0].up = false
	sim.members[2].losesProposals = true // its first renewal, which reports the loads
	for sim.members[1].state.Shards[0].Target == "m0" {
		sim.runTick()
	}
	counts := map[string]int{}
	for _, shard := range sim.members[1].state.Shards {
		counts[shard.Target]++
	}
	if counts["m1"] != 3 || counts["m2"] != 3 {
		t.Errorf("shards are placed on members as %v, want 3 on m1 and on m2", counts)
	}
}

// The leader is lost: its shards are taken over about as soon as those of another member would be, as the new leader
// has seen their renewals.
func TestShardsAreTakenOverInOneLeaseWhenLeaderIsLost(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.members[0].up = false
	sim.runFor(simulationSettings.Lease.Duration + simulationSettings.Lease.MaxClockDrift + 400*model.Millisecond)
	sim.wantHeld(0, 3, 3)
}

// A lagging member is elected: it has not applied the newest renewals yet, so the last renewals that it knows are older
// than the real ones. It must not grant those leases too early.
func TestNoShardHasTwoHoldersWhenLaggingMemberIsElected(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	laggingMember := sim.members[1]
	laggingMember.partitioned = true // the other two members are a quorum
	sim.runFor(simulationSettings.Lease.Duration / 2)
	laggingMember.partitioned = false
	sim.elect(1)                      // before it has applied the entries committed meanwhile
	sim.members[2].partitioned = true // it holds the leases that were committed until then
	sim.runFor(3 * simulationSettings.Lease.Duration)
	if sim.heldShards(0)+sim.heldShards(1) != 6 || sim.heldShards(2) > 0 {
		t.Fatalf("m0, m1, m2 hold %d, %d, %d shards; want 6 in all, none at m2",
			sim.heldShards(0), sim.heldShards(1), sim.heldShards(2))
	}
}

// Proxies of a shard that is placed on a failed member are not redirected to that member.
func TestTargetChannelIsEmptyWhenMemberFailed(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	if at := sim.members[0].TargetAddress(2, sim.now); at != "127.0.0.1:7701" {
		t.Fatalf("target channel of shard 2 is %q, want that of m1", at)
	}
	sim.members[1].up = false
	sim.runFor(simulationSettings.Lease.Duration/2 + 20*model.Millisecond)
	if at := sim.members[0].TargetAddress(2, sim.now); at != "" {
		t.Fatalf("target channel of shard 2 is %q after its member failed, want none", at)
	}
}

// A member is partitioned: it acts until its leases expire, which is before any other member is granted them. During
// the partition the two sides have different views of the lease holders.
func TestMemberHoldsNothingAfterLeaseExpiryWhenPartitioned(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.members[1].partitioned = true
	sim.runFor(simulationSettings.Lease.Duration / 2)
	sim.wantHeld(2, 2, 2)
	sim.runFor(2 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 0, 3)
	sim.members[1].partitioned = false
	sim.runFor(10 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// A member's requests reach the leader, but the member receives no entries (its disk is full, or a link works in one
// direction only): its renewals must have no effect, so that other members take over. If they had, its shards would
// have no holder.
func TestOtherMembersTakeOverWhenMemberReceivesNoEntries(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.members[1].receivesNoEntries = true
	sim.runFor(5 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 0, 3)
	sim.members[1].receivesNoEntries = false
	sim.runFor(10 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// The quorum is lost: the remaining member holds its leases until they expire. When the quorum returns, all shards are
// held again.
func TestLeasesExpireWhenQuorumIsLost(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.members[0].up, sim.members[1].up = false, false
	sim.runFor(simulationSettings.Lease.Duration / 2)
	sim.wantHeld(0, 0, 2)
	sim.runFor(simulationSettings.Lease.Duration)
	sim.wantHeld(0, 0, 0)
	sim.start(0)
	sim.start(1)
	sim.runFor(15 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// Guards against a member without shards after its restart: the request of its former incarnation to take its shards,
// as it was about to stop, is agreed on only when the next incarnation is registered. It concerns the former one alone.
func TestLateStopOfFormerIncarnationHasNoEffect(t *testing.T) {
	for name, incarnation := range map[string]uint64{"of this version": 1, "of a former version": 0} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.runFor(5 * model.Second)
			sim.wantHeld(2, 2, 2)
			sim.start(1)
			sim.runFor(model.Second)
			sim.commit(DrainMember{Member: "m1", Incarnation: incarnation, Drain: true}, sim.now)
			sim.runFor(20 * model.Second)
			stopping := sim.members[0].state.Member("m1").Stopping
			if isFormerVersion := incarnation == 0; stopping != isFormerVersion {
				t.Errorf("m1 counts as stopping: %t, want %t", stopping, isFormerVersion)
			}
			if incarnation > 0 {
				sim.wantHeld(2, 2, 2)
			}
		})
	}
}

// A process is suspended for longer than a lease: its clock advances meanwhile, so it finds its leases expired before
// it acts.
func TestLeasesAreExpiredWhenProcessWasSuspended(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	suspendedMember := sim.members[2]
	suspendedMember.up = false
	sim.runFor(3 * simulationSettings.Lease.Duration)
	suspendedMember.up = true
	sim.checkHolders()
	sim.wantHeld(3, 3, 0)
	sim.runFor(15 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// The clock of a partitioned member falls behind by the whole permitted drift. The partition begins at different times
// between two renewals.
func TestNoShardHasTwoHoldersWhenPartitionedClockDriftsToLimit(t *testing.T) {
	for phase := range 40 {
		sim := newSimulation(t, 3)
		sim.runFor(5*model.Second + model.Microseconds(phase)*20*model.Millisecond)
		sim.members[1].partitioned = true
		sim.runFor(simulationSettings.Lease.Duration / 4)
		sim.members[1].clockLoss += simulationSettings.Lease.MaxClockDrift
		sim.runFor(3 * model.Second)
		sim.wantHeld(3, 0, 3)
	}
}

// A member's renewals are committed, but it applies them only after its lease has expired: it loses the lease and gains
// it again in the same epoch, as no other member was granted it.
func TestLeaseIsGainedInSameEpochWhenRenewalIsLate(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	lateMember := sim.members[1]
	lateMember.changes = nil
	lateMember.receivesNoEntries = true
	for len(lateMember.changes) < 2 && sim.now < 1010*model.Second {
		sim.runTick()
	}
	lateMember.receivesNoEntries = false
	sim.runFor(100 * model.Millisecond)
	want := []LeaseChange{{Shard: 2}, {Shard: 3}, {Shard: 2, Epoch: 1}, {Shard: 3, Epoch: 1}}
	if !slices.Equal(lateMember.changes, want) {
		t.Errorf("lease changes of m1 are %v, want %v", lateMember.changes, want)
	}
	sim.wantHeld(2, 2, 2)
	if grants := len(sim.members[0].state.Events); grants != 6 {
		t.Errorf("%d grants for 6 shards, want 6", grants)
	}
}

// An operator drains a member: each shard is moved in a planned move, and is without a holder only for the time of two
// log entries.
func TestShardsMoveOneByOneWhenMemberIsDrained(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(10 * model.Second)
	sim.commit(DrainMember{Member: "m1", Drain: true, ByOperator: true}, sim.now)
	timeWithoutHolder := model.Microseconds(0)
	for sim.heldShards(1) > 0 || timeWithoutHolder == 0 {
		sim.runTick()
		if sim.heldShards(0)+sim.heldShards(1)+sim.heldShards(2) < 6 {
			timeWithoutHolder += simulationTick
		}
		if sim.now > 1100*model.Second {
			t.Fatal("m1 still holds shards 90 s after its drain began")
		}
	}
	sim.runFor(model.Second)
	sim.wantHeld(3, 0, 3)
	if timeWithoutHolder > 400*model.Millisecond {
		t.Errorf("shards had no holder for %d us in two moves, want at most 400 ms", timeWithoutHolder)
	}
	for _, takeover := range sim.members[0].state.Events[6:] {
		if !takeover.Planned {
			t.Errorf("takeover %+v, want a planned one", takeover)
		}
	}
}

// Two processes run under one name: the later incarnation takes over, and the earlier one holds no lease.
func TestLaterIncarnationTakesOverWhenTwoProcessesShareName(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	earlierMember := sim.members[1]
	sim.members = append(sim.members, &simulatedMember{incarnations: earlierMember.incarnations})
	laterMember := sim.members[3]
	sim.start(3)
	record := MemberRecord{Zone: "partick", Channel: "127.0.0.1:7800"}
	laterMember.Member = NewMember("m1", 2, record, simulationSettings, constantLoad(10))
	sim.runFor(3 * simulationSettings.Lease.Duration)
	sim.wantHeld(2, 0, 2, 2)
	if !earlierMember.IsSuperseded() || laterMember.IsSuperseded() {
		t.Error("want the earlier incarnation to be superseded, and the later one not")
	}
}

// The other members run a newer program and commit an entry that this member does not support: it holds no lease, and
// encodes no snapshot.
func TestMemberEncodesNoSnapshotWhenSchemaVersionIsNewer(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	newerEntry := LogEntry{SchemaVersion: schemaVersion + 1, Command: unknownCommand{storedKind: 99}}
	sim.members[1].ApplyEntry(newerEntry, sim.term, sim.now)
	sim.wantHeld(2, 0, 2)
	if _, err := sim.members[1].State().Encode(); err == nil {
		t.Error("a snapshot was encoded after an entry of an unsupported version")
	}
	sim.runFor(10 * model.Second)
	sim.wantHeld(3, 0, 3)
}

// A member whose settings differ from the cluster's is registered but granted no lease: the same shard number means
// another shard.
func TestMemberHoldsNothingWhenSettingsDiffer(t *testing.T) {
	sim := newSimulation(t, 3)
	otherSettings := simulationSettings
	otherSettings.ShardsPerZone = 3
	sim.members[2].Member = NewMember("m2", 5, MemberRecord{Zone: "dalmarnock"}, otherSettings, constantLoad(1))
	sim.runFor(10 * model.Second)
	sim.wantHeld(3, 3, 0)
}

func TestSnapshotIsRestoredWhenWholeAndRejectedWhenTruncated(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	snapshot, err := sim.members[0].state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeState(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, _ := restored.Encode()
	if string(reencoded) != string(snapshot) || *restored.Shards[3] != *sim.members[0].state.Shards[3] {
		t.Error("the state restored from a snapshot differs from the original")
	}
	for size := range len(snapshot) { // truncated at any byte, it is rejected without a panic
		if _, err := DecodeState(snapshot[:size]); err == nil {
			t.Fatalf("a snapshot truncated to %d of %d bytes was accepted", size, len(snapshot))
		}
	}
}

// Entries of a replaced leader have no effect: leases are measured by the clock of the new leader.
func TestEntriesHaveNoEffectWhenLeaderIsReplaced(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.elect(1)
	sim.runFor(100 * model.Millisecond)
	member := sim.members[0]
	shardBefore := *member.state.Shards[0]
	renewal := RenewLeases{Member: "m1", Incarnation: 1, Requests: []ShardRequest{{Shard: 0, Sequence: 9}}}
	lateEntry := LogEntry{SchemaVersion: schemaVersion, At: sim.now + 3600*model.Second, Command: renewal}
	member.ApplyEntry(lateEntry, sim.term-1, sim.now)
	if *member.state.Shards[0] != shardBefore {
		t.Error("an entry of a replaced leader changed a shard")
	}
}

// Random failures in random order, with clocks that fall behind by up to the permitted drift: no shard has two holders
// at once (checked in each step), and once all members are back, each shard is held.
func TestNoShardHasTwoHoldersWhenFailuresAreRandom(t *testing.T) {
	rapid.Check(t, func(draws *rapid.T) {
		sim := newSimulation(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(draws, "members"))
		for range rapid.IntRange(1, 20).Draw(draws, "events") {
			k := rapid.IntRange(0, len(sim.members)-1).Draw(draws, "member")
			member := sim.members[k]
			switch rapid.IntRange(0, 6).Draw(draws, "kind of event") {
			case 0:
				member.up = false
			case 1:
				if !member.up {
					sim.start(k)
				}
			case 2:
				member.partitioned = !member.partitioned
			case 3:
				if !member.partitioned && member.up {
					sim.elect(k)
				}
			case 4:
				// A clock may fall behind by this much within a lease, so one lease passes before and one after it.
				sim.runFor(simulationSettings.Lease.Duration)
				maxLoss := int(simulationSettings.Lease.MaxClockDrift) / 2
				member.clockLoss += model.Microseconds(rapid.IntRange(0, maxLoss).Draw(draws, "clock loss"))
				sim.runFor(simulationSettings.Lease.Duration)
			default:
				sim.runFor(model.Microseconds(rapid.IntRange(0, 3000).Draw(draws, "ms")) * model.Millisecond)
			}
		}
		for k, member := range sim.members {
			if member.partitioned = false; !member.up {
				sim.start(k)
			}
		}
		sim.runFor(20 * model.Second)
		held := 0
		for k := range sim.members {
			held += sim.heldShards(k)
		}
		if held != 6 {
			draws.Fatalf("%d of 6 shards are held after all members are back", held)
		}
	})
}

package cluster

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

// Members that start within half a lease of each other get their own zones' shards at once, and none is moved after.
func TestMembersThatStartTogetherGetTheirZonesShards(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.members[2].cut = true
	sim.run(200 * model.Millisecond)
	sim.members[2].cut = false
	sim.run(20 * model.Second)
	sim.wantHeld(2, 2, 2)
	if n := len(sim.members[0].state.Events); n != 6 {
		t.Errorf("%d grants for 6 shards", n)
	}
}

func TestAllShardsAreHeldAtAnyClusterSize(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		sim := newSimulation(t, n)
		sim.run(2 * model.Second)
		held := 0
		for k := range n {
			held += sim.held(k)
		}
		if held != 6 {
			t.Errorf("%d members hold %d shards of 6", n, held)
		}
	}
}

// A member is lost: its shards are held by others once its leases have expired, not before; what they held goes on.
func TestLostMembersShardsAreTakenOver(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.wantHeld(2, 2, 2)
	sim.members[2].up = false
	sim.run(simulationSettings.Lease.Duration/2 + simulationSettings.Lease.MaxClockDrift)
	sim.wantHeld(2, 2)
	sim.run(2 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 3)
	if e := sim.members[0].state.Events; e[len(e)-1].Planned || e[len(e)-1].From != "m2" {
		t.Errorf("the newest takeover is %+v", e[len(e)-1])
	}
	sim.start(2)
	sim.run(simulationSettings.Placement.StabilizationPeriod - model.Second)
	sim.wantHeld(3, 3, 0)
	sim.run(5 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// The leader is lost: another one counts all leases; what the others hold goes on without a break.
func TestLossOfLeaderKeepsOtherLeases(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.members[0].up = false
	for range 100 {
		sim.step()
		if sim.held(1) < 2 || sim.held(2) < 2 {
			t.Fatal("a member lost its shards with the leader")
		}
	}
	sim.run(3 * model.Second)
	sim.wantHeld(0, 3, 3)
}

// The leader is lost, and its shards are held again hardly later than those of another member would be: the new
// leader has seen when they were renewed.
func TestLostLeadersShardsAreTakenOverInTime(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.members[0].up = false
	sim.run(simulationSettings.Lease.Duration + simulationSettings.Lease.MaxClockDrift + 400*model.Millisecond)
	sim.wantHeld(0, 3, 3)
}

// A member that lags is elected: what was renewed in entries that it has not applied yet is not as old as it
// believes.
func TestLaggingLeaderTakesOver(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	lagging := sim.members[1]
	lagging.cut = true // the other two reach each other, a quorum
	sim.run(simulationSettings.Lease.Duration / 2)
	lagging.cut = false
	sim.elect(1)              // before it has applied the entries committed meanwhile
	sim.members[2].cut = true // which goes on with the leases committed until then
	sim.run(3 * simulationSettings.Lease.Duration)
	if sim.held(0)+sim.held(1) != 6 || sim.held(2) > 0 {
		t.Fatalf("%d, %d and %d shards are held", sim.held(0), sim.held(1), sim.held(2))
	}
}

// A proxy of a shard that is placed on a dead member is not sent to it.
func TestTargetChannelOfDeadMemberIsEmpty(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	if at := sim.members[0].TargetChannel(2, sim.now); at != "127.0.0.1:7701" {
		t.Fatalf("shard 2 is at %q", at)
	}
	sim.members[1].up = false
	sim.run(simulationSettings.Lease.Duration/2 + 20*model.Millisecond)
	if at := sim.members[0].TargetChannel(2, sim.now); at != "" {
		t.Fatalf("sent to %q, which is dead", at)
	}
}

// A member is partitioned from the others: it goes on until its leases expire, before any other member is granted them.
// The two sides disagree about the lease holders all the while.
func TestPartitionedMemberStopsAtLeaseEnd(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.members[1].cut = true
	sim.run(simulationSettings.Lease.Duration / 2)
	sim.wantHeld(2, 2, 2)
	sim.run(2 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 0, 3)
	sim.members[1].cut = false
	sim.run(10 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// A member's requests reach the leader, and no entry reaches it (a full disk, a link that is open one way only): its
// renewals do not count, and others take over. They once counted, and its shards had no holder.
func TestMemberThatCannotFollowTheLogRenewsNothing(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.members[1].deaf = true
	sim.run(5 * simulationSettings.Lease.Duration)
	sim.wantHeld(3, 0, 3)
	sim.members[1].deaf = false
	sim.run(10 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// The quorum is lost: the rest holds its leases until they expire; with the quorum back it all goes on.
func TestLossOfQuorum(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.members[0].up, sim.members[1].up = false, false
	sim.run(simulationSettings.Lease.Duration / 2)
	sim.wantHeld(0, 0, 2)
	sim.run(simulationSettings.Lease.Duration)
	sim.wantHeld(0, 0, 0)
	sim.start(0)
	sim.start(1)
	sim.run(15 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// A process is suspended for longer than a lease: it finds its leases expired, by the clock that went on, before it
// acts.
func TestSuspendedProcessFindsItsLeasesExpired(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	suspended := sim.members[2]
	suspended.up = false
	sim.run(3 * simulationSettings.Lease.Duration)
	suspended.up = true
	sim.checkHolders()
	sim.wantHeld(3, 3, 0)
	sim.run(15 * model.Second)
	sim.wantHeld(2, 2, 2)
}

// A partitioned member has a clock that loses all that is allowed, whenever the partition falls between its renewals
// and others'.
func TestClockThatLosesTheWholeDrift(t *testing.T) {
	for phase := range 40 {
		sim := newSimulation(t, 3)
		sim.run(5*model.Second + model.Microseconds(phase)*20*model.Millisecond)
		sim.members[1].cut = true
		sim.run(simulationSettings.Lease.Duration / 4)
		sim.members[1].clockLoss += simulationSettings.Lease.MaxClockDrift
		sim.run(3 * model.Second)
		sim.wantHeld(3, 0, 3)
	}
}

// A member's renewals are committed, and it learns so only after its lease has expired: it loses the lease and gains
// it again, in the same epoch, as no other member was granted it.
func TestLateRenewalIsGainedAgainInTheSameEpoch(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	late := sim.members[1]
	late.changes = nil
	late.deaf = true
	for len(late.changes) < 2 && sim.now < 1010*model.Second {
		sim.step()
	}
	late.deaf = false
	sim.run(100 * model.Millisecond)
	want := []LeaseChange{{Shard: 2}, {Shard: 3}, {Shard: 2, Epoch: 1}, {Shard: 3, Epoch: 1}}
	if !slices.Equal(late.changes, want) {
		t.Errorf("its leases changed as %v, want %v", late.changes, want)
	}
	sim.wantHeld(2, 2, 2)
	if grants := len(sim.members[0].state.Events); grants != 6 {
		t.Errorf("%d grants for 6 shards", grants)
	}
}

// An operator drains a member: each shard is moved in a planned move, with no time without a holder but that of two
// log entries.
func TestDrainMovesShardsOneByOne(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(10 * model.Second)
	sim.commit(DrainMember{Member: "m1", Drain: true, ByOperator: true}, sim.now)
	without := model.Microseconds(0)
	for sim.held(1) > 0 || without == 0 {
		sim.step()
		if sim.held(0)+sim.held(1)+sim.held(2) < 6 {
			without += simulationTick
		}
		if sim.now > 1100*model.Second {
			t.Fatal("it keeps some shards")
		}
	}
	sim.run(model.Second)
	sim.wantHeld(3, 0, 3)
	if without > 400*model.Millisecond {
		t.Errorf("%d us with a shard without a holder, for two moves", without)
	}
	for _, e := range sim.members[0].state.Events[6:] {
		if !e.Planned {
			t.Errorf("%+v", e)
		}
	}
}

// Two processes run under one name: the later incarnation takes over, the other one holds nothing.
func TestTwoProcessesUnderOneName(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	old := sim.members[1]
	sim.members = append(sim.members, &simulatedMember{incarnations: old.incarnations})
	twin := sim.members[3]
	sim.start(3)
	record := MemberRecord{Zone: "partick", Channel: "127.0.0.1:7800"}
	twin.Member = NewMember("m1", 2, record, simulationSettings, constantLoad(10))
	sim.run(3 * simulationSettings.Lease.Duration)
	sim.wantHeld(2, 0, 2, 2)
	if !old.IsSuperseded() || twin.IsSuperseded() {
		t.Error("the later incarnation is to stay")
	}
}

// The others run a newer program and commit what this one does not support: it holds nothing, and takes no snapshot
// of it.
func TestNewerSchemaVersionExcludesMember(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	newer := LogEntry{SchemaVersion: schemaVersion + 1, Command: unknownCommand{storedKind: 99}}
	sim.members[1].ApplyEntry(newer, sim.term, sim.now)
	sim.wantHeld(2, 0, 2)
	if _, err := sim.members[1].State().Encode(); err == nil {
		t.Error("a snapshot of what is not supported")
	}
	sim.run(10 * model.Second)
	sim.wantHeld(3, 0, 3)
}

// A member with other settings is registered and is granted nothing: it would count other shards.
func TestMemberWithOtherSettingsHoldsNothing(t *testing.T) {
	sim := newSimulation(t, 3)
	other := simulationSettings
	other.ShardsPerZone = 3
	sim.members[2].Member = NewMember("m2", 5, MemberRecord{Zone: "dalmarnock"}, other, constantLoad(1))
	sim.run(10 * model.Second)
	sim.wantHeld(3, 3, 0)
}

func TestSnapshotRoundTrip(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	snapshot, err := sim.members[0].state.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeState(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := restored.Encode()
	if string(again) != string(snapshot) || *restored.Shards[3] != *sim.members[0].state.Shards[3] {
		t.Error("the state from a snapshot differs")
	}
	for size := range len(snapshot) { // truncated anywhere it is rejected, without a panic
		if _, err := DecodeState(snapshot[:size]); err == nil {
			t.Fatalf("%d bytes of %d are accepted", size, len(snapshot))
		}
	}
}

// Entries of a leader that was replaced have no effect: its clock is not the one that leases are counted by now.
func TestEntriesOfReplacedLeaderHaveNoEffect(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.run(5 * model.Second)
	sim.elect(1)
	sim.run(100 * model.Millisecond)
	member := sim.members[0]
	before := *member.state.Shards[0]
	renewal := RenewLeases{Member: "m1", Incarnation: 1, Requests: []ShardRequest{{Shard: 0, Sequence: 9}}}
	late := LogEntry{SchemaVersion: schemaVersion, At: sim.now + 3600*model.Second, Command: renewal}
	member.ApplyEntry(late, sim.term-1, sim.now)
	if *member.state.Shards[0] != before {
		t.Error("a stamp of a replaced leader's clock was taken")
	}
}

// Whatever fails in whatever order, with clocks that lose up to the drift: never two holders at once (checked in each
// step), and with all members back, each shard is held after some time.
func TestAnyFailuresInAnyOrder(t *testing.T) {
	rapid.Check(t, func(draws *rapid.T) {
		sim := newSimulation(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(draws, "members"))
		for range rapid.IntRange(1, 20).Draw(draws, "events") {
			k := rapid.IntRange(0, len(sim.members)-1).Draw(draws, "member")
			member := sim.members[k]
			switch rapid.IntRange(0, 6).Draw(draws, "what") {
			case 0:
				member.up = false
			case 1:
				if !member.up {
					sim.start(k)
				}
			case 2:
				member.cut = !member.cut
			case 3:
				if !member.cut && member.up {
					sim.elect(k)
				}
			case 4:
				// What a clock may lose within a lease; more time passes before the next.
				sim.run(simulationSettings.Lease.Duration)
				maxLoss := int(simulationSettings.Lease.MaxClockDrift) / 2
				member.clockLoss += model.Microseconds(rapid.IntRange(0, maxLoss).Draw(draws, "loses"))
				sim.run(simulationSettings.Lease.Duration)
			default:
				sim.run(model.Microseconds(rapid.IntRange(0, 3000).Draw(draws, "ms")) * model.Millisecond)
			}
		}
		for k, member := range sim.members {
			if member.cut = false; !member.up {
				sim.start(k)
			}
		}
		sim.run(20 * model.Second)
		held := 0
		for k := range sim.members {
			held += sim.held(k)
		}
		if held != 6 {
			draws.Fatalf("%d shards of 6 are held", held)
		}
	})
}

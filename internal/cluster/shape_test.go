package cluster

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

// otherSettings are settings that differ from those of the simulation, each in one value.
func otherSettings() map[string]Settings {
	settings := map[string]Settings{}
	add := func(name string, change func(*Settings)) {
		changed := simulationSettings
		change(&changed)
		settings[name] = changed
	}
	add("more parts", func(s *Settings) { s.ShardsPerZone = 3 })
	add("fewer parts", func(s *Settings) { s.ShardsPerZone = 1 })
	add("a zone more", func(s *Settings) { s.Zones = append([]string{"kelvin"}, s.Zones...) })
	add("a zone fewer", func(s *Settings) { s.Zones = s.Zones[1:] })
	add("longer span", func(s *Settings) { s.Lease.Duration *= 2 })
	add("shorter span", func(s *Settings) { s.Lease.Duration /= 2 })
	add("more drift", func(s *Settings) { s.Lease.MaxClockDrift *= 2 })
	add("less drift", func(s *Settings) { s.Lease.MaxClockDrift = 0 })
	return settings
}

// replaceMember starts another incarnation of a member with some settings and a snapshot; nil: without one.
func (s *simulation) replaceMember(k int, settings Settings, snapshot []byte) {
	s.t.Helper()
	member := s.members[k]
	applied := member.appliedEntries
	s.start(k)
	member.Member = NewMember(member.Name, member.incarnations, member.Record, settings, constantLoad(10))
	if snapshot == nil {
		return
	}
	state, err := DecodeState(snapshot)
	if err != nil {
		s.t.Fatal(err)
	}
	member.Restore(state)
	member.appliedEntries = applied
}

// Guards against a member that keeps a state of another shape than the cluster's (review/9): while its file differs it
// applies the log to the cluster's state, and once the file is corrected its snapshot is the cluster's, so that it
// holds the shards of its zone again.
func TestStateIsClustersWhileSettingsDiffer(t *testing.T) {
	for name, settings := range otherSettings() {
		for _, differing := range [][]int{{2}, {1, 2}} {
			t.Run(name, func(t *testing.T) {
				sim := newSimulation(t, 3)
				for _, k := range differing {
					sim.replaceMember(k, settings, nil)
				}
				sim.runFor(10 * model.Second)
				for _, k := range differing {
					if got, want := describeState(sim.members[k].state), describeState(sim.members[0].state); got != want {
						t.Fatalf("state of m%d, whose settings differ, is\n%s, want\n%s", k, got, want)
					}
					if !sim.members[k].mayWriteSnapshot() {
						t.Fatalf("m%d withholds a snapshot of the cluster's state", k)
					}
					snapshot, err := sim.members[k].state.Encode()
					if err != nil {
						t.Fatal(err)
					}
					sim.replaceMember(k, simulationSettings, snapshot)
				}
				sim.runFor(30 * model.Second)
				sim.wantHeld(2, 2, 2)
			})
		}
	}
}

// A snapshot that a former version wrote while the settings differed is detected: the member holds nothing, says why
// and is given no shards, until it gets a snapshot of the leader.
func TestMisshapenSnapshotOfFormerVersionIsDetected(t *testing.T) {
	for name, settings := range otherSettings() {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.runFor(5 * model.Second)
			misshapen := NewState(settings)
			misshapen.Digest = simulationSettings.Digest()
			snapshot, err := misshapen.Encode()
			if err != nil {
				t.Fatal(err)
			}
			sim.replaceMember(2, simulationSettings, snapshot)
			sim.runFor(10 * model.Second)
			sim.wantHeld(3, 3, 0)
			if sim.members[2].mayWriteSnapshot() {
				t.Error("the misshapen state may be written as a snapshot again")
			}
			cluster := &Cluster{member: sim.members[2].Member}
			if fault := cluster.fault(); !strings.Contains(fault, "written with other settings by a former version") {
				t.Errorf("the fault is %q", fault)
			}
			snapshot, err = sim.members[0].state.Encode()
			if err != nil {
				t.Fatal(err)
			}
			sim.replaceMember(2, simulationSettings, snapshot)
			sim.members[2].appliedEntries = sim.members[0].appliedEntries
			sim.runFor(30 * model.Second)
			sim.wantHeld(2, 2, 2)
		})
	}
}

// The log of a cluster that a former version began does not tell its shape: a member with other settings writes no
// snapshot of a state that may not be the cluster's.
func TestSnapshotIsWithheldWhenShapeIsUnknown(t *testing.T) {
	sim := newSimulation(t, 3)
	settings := otherSettings()["more parts"]
	sim.replaceMember(2, settings, nil)
	announcement := sim.log[0].entry.Command.(LeaderElected)
	announcement.Shape = nil
	sim.log[0].entry.Command = announcement
	sim.runFor(5 * model.Second)
	if sim.members[2].mayWriteSnapshot() {
		t.Error("a state of unknown shape may be written as a snapshot")
	}
	if !sim.members[0].mayWriteSnapshot() {
		t.Error("a member with the cluster's settings withholds its snapshot")
	}
}

// Guards against a check of the whole state in IsLeaseHolder, which is called for every message to a proxy.
func TestIsLeaseHolderAllocatesNothing(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	sim.wantHeld(2, 2, 2)
	member := sim.members[0]
	if allocations := testing.AllocsPerRun(100, func() { member.IsLeaseHolder(0, sim.now) }); allocations > 0 {
		t.Errorf("%v allocations a call, want none", allocations)
	}
}

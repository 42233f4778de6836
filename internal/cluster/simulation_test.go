package cluster

import (
	"fmt"
	"testing"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

var simulationSettings = Settings{
	Lease:         lease.Config{Duration: 2 * model.Second, MaxClockDrift: 100 * model.Millisecond},
	Placement:     placement.Config{StabilizationPeriod: 5 * model.Second, MoveInterval: model.Second},
	Zones:         []string{"govan", "partick", "dalmarnock"},
	ShardsPerZone: 2,
}

// simulationTick is the simulated time of a step.
const simulationTick = 20 * model.Millisecond

// simulation is a cluster on a log in memory: an entry is committed at once and delivered to each member that is up and
// not partitioned.
type simulation struct {
	t       testing.TB
	now     model.Microseconds
	log     []committedEntry
	term    uint64
	leader  int
	members []*simulatedMember
}

type committedEntry struct {
	entry LogEntry
	term  uint64
}

// simulatedMember is a member with its simulated process, network and clock.
type simulatedMember struct {
	*Member
	up, partitioned   bool
	receivesNoEntries bool // it receives no entries, but its proposals reach the leader
	losesProposals    bool // it receives entries, but its proposals reach nobody
	appliedEntries    int  // number of entries that it has applied
	clockLoss         model.Microseconds
	incarnations      uint64
	changes           []LeaseChange // that its ticks reported
}

func (m *simulatedMember) localTime(s *simulation) model.Microseconds { return s.now - m.clockLoss }

func newSimulation(t testing.TB, size int) *simulation {
	sim := &simulation{t: t, now: 1000 * model.Second}
	for k := range size {
		sim.members = append(sim.members, &simulatedMember{})
		sim.start(k)
	}
	sim.elect(0)
	return sim
}

func (s *simulation) start(k int) {
	m := s.members[k]
	m.incarnations++
	record := MemberRecord{
		Zone:    simulationSettings.Zones[k%len(simulationSettings.Zones)],
		Channel: fmt.Sprint("127.0.0.1:", 7700+k),
	}
	m.Member = NewMember(fmt.Sprint("m", k), m.incarnations, record, simulationSettings, constantLoad(10))
	m.up = true
	m.appliedEntries = 0
}

func constantLoad(load float64) func(shard int) float64 {
	return func(int) float64 { return load }
}

// commit appends a command to the log, stamped with a clock reading.
func (s *simulation) commit(command Command, at model.Microseconds) {
	entry := LogEntry{SchemaVersion: schemaVersion, At: at, Command: command}
	s.log = append(s.log, committedEntry{entry, s.term})
}

// elect makes a member the leader.
func (s *simulation) elect(k int) {
	s.term++
	s.leader = k
	electedMember := s.members[k]
	s.commit(electedMember.Announcement(electedMember.localTime(s)), electedMember.localTime(s))
}

// hasQuorum reports whether entries can be committed.
func (s *simulation) hasQuorum() bool {
	connected := 0
	for _, m := range s.members {
		if m.up && !m.partitioned {
			connected++
		}
	}
	leader := s.members[s.leader]
	return 2*connected > len(s.members) && leader.up && !leader.partitioned
}

// runTick advances the time by a tick and runs each member that is up. It checks the lease holders after each member.
func (s *simulation) runTick() {
	s.now += simulationTick
	s.electIfLeaderIsLost()
	for k, m := range s.members {
		if !m.up {
			continue
		}
		s.deliver(m)
		leads := k == s.leader && !m.partitioned
		changes, proposals := m.Tick(m.localTime(s), leads, s.seemsAlive)
		m.changes = append(m.changes, changes...)
		for _, command := range proposals {
			if !m.partitioned && !m.losesProposals && s.hasQuorum() {
				s.commit(command, s.members[s.leader].localTime(s))
			}
		}
		s.checkHolders()
	}
}

func (s *simulation) electIfLeaderIsLost() {
	if leader := s.members[s.leader]; leader.up && !leader.partitioned {
		return
	}
	for k, m := range s.members {
		if m.up && !m.partitioned {
			s.elect(k)
			return
		}
	}
}

func (s *simulation) seemsAlive(name string) bool {
	var k int
	if _, err := fmt.Sscanf(name, "m%d", &k); err != nil {
		s.t.Fatal(err)
	}
	return s.members[k].up && !s.members[k].partitioned
}

// deliver makes a member apply the entries that it has not applied yet.
func (s *simulation) deliver(m *simulatedMember) {
	for ; !m.partitioned && !m.receivesNoEntries && s.hasQuorum() && m.appliedEntries < len(s.log); m.appliedEntries++ {
		committed := s.log[m.appliedEntries]
		m.ApplyEntry(committed.entry, committed.term, m.localTime(s))
	}
}

// checkHolders fails the test if two members hold the lease of a shard.
func (s *simulation) checkHolders() {
	for shard := range s.members[0].state.Shards {
		holder, heldEpoch := -1, uint64(0)
		for k, m := range s.members {
			if !m.up {
				continue
			}
			epoch, ok := m.IsLeaseHolder(shard, m.localTime(s))
			if !ok {
				continue
			}
			if holder >= 0 {
				s.t.Fatalf("at %d us: m%d and m%d both hold shard %d, in epochs %d and %d",
					s.now, holder, k, shard, heldEpoch, epoch)
			}
			holder, heldEpoch = k, epoch
		}
	}
}

func (s *simulation) runFor(duration model.Microseconds) {
	for end := s.now + duration; s.now < end; {
		s.runTick()
	}
}

// heldShards counts the shards that a member holds.
func (s *simulation) heldShards(k int) (count int) {
	m := s.members[k]
	for shard := range m.state.Shards {
		if _, ok := m.IsLeaseHolder(shard, m.localTime(s)); ok && m.up {
			count++
		}
	}
	return count
}

// wantHeld fails the test unless each member, beginning with the first, holds its number of shards in counts.
func (s *simulation) wantHeld(counts ...int) {
	s.t.Helper()
	for k, count := range counts {
		if got := s.heldShards(k); got != count {
			s.t.Fatalf("m%d holds %d shards, want counts %v", k, got, counts)
		}
	}
}

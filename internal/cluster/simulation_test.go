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

// simulationTick is the time that passes in a step.
const simulationTick = 20 * model.Millisecond

// simulation is a cluster on a log in memory: an entry is committed at once and carried to each member unless it is
// cut off or down.
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

// simulatedMember is a member with what a log and a network would be to it.
type simulatedMember struct {
	*Member
	up, cut      bool
	deaf         bool // no entry reaches it, but its proposals reach the leader
	applied      int  // entries that it has applied
	clockLoss    model.Microseconds
	incarnations uint64
	changes      []LeaseChange // that its ticks reported
}

func (m *simulatedMember) clock(s *simulation) model.Microseconds { return s.now - m.clockLoss }

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
	m.applied = 0
}

func constantLoad(load float64) func(shard int) float64 {
	return func(int) float64 { return load }
}

// commit puts a command on the log, stamped by a clock.
func (s *simulation) commit(command Command, at model.Microseconds) {
	entry := LogEntry{SchemaVersion: schemaVersion, At: at, Command: command}
	s.log = append(s.log, committedEntry{entry, s.term})
}

// elect has a member lead from now on.
func (s *simulation) elect(k int) {
	s.term++
	s.leader = k
	elected := s.members[k]
	s.commit(elected.Announcement(elected.clock(s)), elected.clock(s))
}

// hasQuorum reports whether anything can be committed.
func (s *simulation) hasQuorum() bool {
	connected := 0
	for _, m := range s.members {
		if m.up && !m.cut {
			connected++
		}
	}
	leader := s.members[s.leader]
	return 2*connected > len(s.members) && leader.up && !leader.cut
}

// step lets time pass and every member do what it does; it checks who holds leases after each.
func (s *simulation) step() {
	s.now += simulationTick
	s.electIfLeaderIsLost()
	for k, m := range s.members {
		if !m.up {
			continue
		}
		s.deliver(m)
		leads := k == s.leader && !m.cut
		changes, proposals := m.Tick(m.clock(s), leads, s.seemsAlive)
		m.changes = append(m.changes, changes...)
		for _, command := range proposals {
			if !m.cut && s.hasQuorum() {
				s.commit(command, s.members[s.leader].clock(s))
			}
		}
		s.checkHolders()
	}
}

func (s *simulation) electIfLeaderIsLost() {
	if leader := s.members[s.leader]; leader.up && !leader.cut {
		return
	}
	for k, m := range s.members {
		if m.up && !m.cut {
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
	return s.members[k].up && !s.members[k].cut
}

// deliver has a member apply what it has not yet.
func (s *simulation) deliver(m *simulatedMember) {
	for ; !m.cut && !m.deaf && s.hasQuorum() && m.applied < len(s.log); m.applied++ {
		committed := s.log[m.applied]
		m.ApplyEntry(committed.entry, committed.term, m.clock(s))
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
			epoch, ok := m.IsLeaseHolder(shard, m.clock(s))
			if !ok {
				continue
			}
			if holder >= 0 {
				s.t.Fatalf("at %d: m%d and m%d hold shard %d, in epochs %d and %d",
					s.now, holder, k, shard, heldEpoch, epoch)
			}
			holder, heldEpoch = k, epoch
		}
	}
}

func (s *simulation) run(duration model.Microseconds) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

// held counts the shards that a member holds.
func (s *simulation) held(k int) (count int) {
	m := s.members[k]
	for shard := range m.state.Shards {
		if _, ok := m.IsLeaseHolder(shard, m.clock(s)); ok && m.up {
			count++
		}
	}
	return count
}

// wantHeld fails the test unless the members, from the first on, hold so many shards.
func (s *simulation) wantHeld(counts ...int) {
	s.t.Helper()
	for k, count := range counts {
		if got := s.held(k); got != count {
			s.t.Fatalf("m%d holds %d shards, wanted %v", k, got, counts)
		}
	}
}

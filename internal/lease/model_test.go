package lease

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// The model checker explores all possible sequences of events on the leases of two shards: members request leases, stop
// and crash, messages are lost, duplicated and delayed, the leader changes, and clocks drift apart. The production code
// executes each step. A tick is half the duration of a lease.
//
// A message stays in flight forever: one that is never delivered is lost, one that is delivered twice is a duplicate,
// and one that is delivered after newer ones is late. Fences are not part of the model: a fence is a comparison, with a
// test of its own.
const (
	memberCount = 3
	shardCount  = 2
	maxInFlight = 6
	// An old request that is delivered again after a release is granted again each time, which violates no guarantee.
	// maxEpoch bounds the number of such grants.
	maxEpoch = 3
)

// limits bounds the events that an exploration covers. With all events at once there would be more states than a test
// can visit.
type limits struct {
	requests      [shardCount][memberCount]uint32 // requests by each incarnation of a member
	crashes       uint8
	leaderChanges uint8
	observes      bool  // the next leader observes the first shard before it leads
	releases      bool  // holders release their leases
	lostTicks     uint8 // maximum ticks that a member's clock may lose
	ticks         model.Microseconds
}

// modelState is a state of the model. It contains no pointers, so that states can be compared and hashed.
type modelState struct {
	now           model.Microseconds // by the leader's clock
	shards        [shardCount]Shard
	leases        [memberCount][shardCount]Lease
	incarnations  [memberCount]uint64
	lostTicks     [memberCount]uint8 // ticks that a member's clock has lost
	requests      [maxInFlight]inFlight[Request]
	responses     [maxInFlight]inFlight[Response]
	releases      [memberCount][shardCount]Request // newest release of each member and shard
	crashes       uint8
	leaderChanges uint8
	observation   observedRenewal // by the member that leads next
}

// observedRenewal is an observation of the first shard by the member that leads next.
type observedRenewal struct {
	epoch    uint64
	sequence uint32
	at       model.Microseconds
}

// inFlight is a message about a shard.
type inFlight[T comparable] struct {
	shard   uint8
	message T
}

// visitor is called with the event of a step and the state after it.
type visitor func(event string, next modelState)

func (s *modelState) clock(member int) model.Microseconds {
	return s.now - model.Microseconds(s.lostTicks[member])
}

func (s *modelState) holder(member int) Holder {
	return Holder{Member: uint16(member + 1), Incarnation: s.incarnations[member]}
}

// send adds a message to those in flight and reports whether there was room. A message that is in flight already needs
// no second slot, as any message may be delivered several times.
func send[T comparable](slots *[maxInFlight]T, message T) bool {
	var empty T
	for i := range slots {
		if slots[i] == message {
			return true
		}
		if slots[i] == empty {
			slots[i] = message
			return true
		}
	}
	return false
}

// steps visits each possible next state.
func (s modelState) steps(config Config, bounds limits, visit visitor) {
	s.tickSteps(bounds, visit)
	for member := range memberCount {
		for shard := range shardCount {
			s.shardSteps(bounds, member, shard, visit)
		}
		s.crashSteps(bounds, member, visit)
	}
	s.leaderSteps(bounds, visit)
	for i := range maxInFlight {
		s.requestSteps(config, i, visit)
		s.responseSteps(config, i, visit)
	}
}

// tickSteps advances the time by a tick, which the clocks of any members may lose.
func (s modelState) tickSteps(bounds limits, visit visitor) {
	if s.now >= bounds.ticks {
		return
	}
	for losingClocks := range 1 << memberCount {
		next := s
		next.now++
		withinBounds := true
		for member := range memberCount {
			if losingClocks>>member&1 == 1 {
				next.lostTicks[member]++
				withinBounds = withinBounds && next.lostTicks[member] <= bounds.lostTicks
			}
		}
		if withinBounds {
			visit(fmt.Sprintf("a tick, lost by the clocks %03b", losingClocks), next)
		}
	}
}

// shardSteps visits the states after a member requests or releases a shard's lease, and after its newest release is
// committed.
func (s modelState) shardSteps(bounds limits, member, shard int, visit visitor) {
	self := s.holder(member)
	if s.leases[member][shard].sequence < bounds.requests[shard][member] {
		next := s
		request := next.leases[member][shard].Request(self, next.clock(member))
		if send(&next.requests, inFlight[Request]{uint8(shard), request}) {
			visit(fmt.Sprintf("member %d requests shard %d", member+1, shard), next)
		}
	}
	if bounds.releases && s.leases[member][shard].IsHeld(s.clock(member)) {
		next := s
		next.releases[member][shard] = next.leases[member][shard].Release(self)
		visit(fmt.Sprintf("member %d releases shard %d", member+1, shard), next)
	}
	if s.releases[member][shard] != (Request{}) {
		next := s
		next.shards[shard].Release(s.releases[member][shard])
		visit(fmt.Sprintf("the release of shard %d by member %d is committed and may be repeated", shard, member+1), next)
	}
}

func (s modelState) crashSteps(bounds limits, member int, visit visitor) {
	if s.crashes >= bounds.crashes {
		return
	}
	next := s
	next.crashes++
	next.incarnations[member]++
	next.leases[member] = [shardCount]Lease{}
	visit(fmt.Sprintf("member %d crashes and restarts", member+1), next)
}

// leaderSteps visits the states after another member becomes the leader, and after the member that leads next observes
// the first shard.
func (s modelState) leaderSteps(bounds limits, visit visitor) {
	if s.leaderChanges >= bounds.leaderChanges {
		return
	}
	next := s
	next.leaderChanges++
	for shard := range shardCount {
		next.shards[shard].LeaderChanged(next.now)
	}
	visit("another leader, which saw no renewal", next)
	if s.observation != (observedRenewal{}) {
		s.observingLeaderStep(visit)
	}
	seen := observedRenewal{s.shards[0].Epoch, s.shards[0].Sequence, s.now}
	if bounds.observes && s.shards[0].Epoch > 0 && seen != s.observation {
		next := s
		next.observation = seen
		visit("the member that leads next observes shard 0", next)
	}
}

// observingLeaderStep visits the state after the member that observed the first shard becomes the leader. It did not
// observe the second shard.
func (s modelState) observingLeaderStep(visit visitor) {
	next := s
	next.leaderChanges++
	seen := next.observation
	observation := Observation{Epoch: seen.epoch, Sequence: seen.sequence, Age: next.now - seen.at}
	next.shards[0].LeaderChangedWithObservation(observation, next.now)
	next.shards[1].LeaderChanged(next.now)
	visit(fmt.Sprintf("another leader, which observed epoch %d, request %d, tick %d", seen.epoch, seen.sequence, seen.at),
		next)
}

// requestSteps visits the state after a request in flight is committed.
func (s modelState) requestSteps(config Config, i int, visit visitor) {
	request := s.requests[i]
	if request == (inFlight[Request]{}) {
		return
	}
	next := s
	response := next.shards[request.shard].HandleRequest(config, request.message, next.now)
	if next.shards[request.shard].Epoch > maxEpoch {
		return
	}
	send(&next.responses, inFlight[Response]{request.shard, response})
	visit(fmt.Sprintf("request %d of member %d for shard %d is committed (granted: %v, epoch %d) and may be repeated",
		request.message.Sequence, request.message.From.Member, request.shard, response.Granted, response.Epoch), next)
}

// responseSteps visits the state after a response in flight is delivered. A response to a crashed incarnation is lost.
func (s modelState) responseSteps(config Config, i int, visit visitor) {
	response := s.responses[i]
	if response == (inFlight[Response]{}) {
		return
	}
	next := s
	member := int(response.message.To.Member) - 1
	if response.message.To.Incarnation != next.incarnations[member] {
		return
	}
	next.leases[member][response.shard].HandleResponse(config, response.message)
	visit(fmt.Sprintf("member %d receives the response to request %d for shard %d (granted: %v) and may receive it again",
		member+1, response.message.Sequence, response.shard, response.message.Granted), next)
}

// violation describes the guarantee that a state violates; it returns "" if there is none.
func (s *modelState) violation() string {
	for shard := range shardCount {
		for member := range memberCount {
			if !s.leases[member][shard].IsHeld(s.clock(member)) {
				continue
			}
			epoch := s.leases[member][shard].Epoch
			if epoch > s.shards[shard].Epoch {
				return fmt.Sprintf("member %d holds shard %d in epoch %d, which was never committed", member+1, shard, epoch)
			}
			for other := range member {
				if s.leases[other][shard].IsHeld(s.clock(other)) {
					return fmt.Sprintf("members %d and %d both hold shard %d, in epochs %d and %d",
						other+1, member+1, shard, s.leases[other][shard].Epoch, epoch)
				}
			}
		}
	}
	return ""
}

// visitRecord records how an exploration reached a state.
type visitRecord struct {
	previous int32 // number of the previous state; -1 for the initial state
	step     int32 // index among the steps from the previous state
}

// exploration visits states breadth-first. It keeps only a hash of each visited state. A hash collision would hide a
// state; one occurs in about one of ten thousand runs.
type exploration struct {
	config     Config
	bounds     limits
	seed       maphash.Seed
	seenHashes map[uint64]struct{} // hashes of the visited states
	visits     []visitRecord       // indexed by the number of the state
}

// numberedState is a state with its number.
type numberedState struct {
	modelState
	number int32
}

// explore visits about maxStates states at most, and returns the shortest trace to a state that violates a guarantee.
// complete reports that all states were visited without a violation.
func explore(config Config, bounds limits, maxStates int) (trace []string, visited int, complete bool) {
	search := &exploration{config: config, bounds: bounds, seed: maphash.MakeSeed(), visits: []visitRecord{{previous: -1}}}
	var initialState modelState
	search.seenHashes = map[uint64]struct{}{maphash.Comparable(search.seed, initialState): {}}
	frontier := []numberedState{{initialState, 0}}
	for len(frontier) > 0 {
		var next []numberedState
		for _, current := range frontier {
			if violation := current.violation(); violation != "" {
				return append(search.trace(current.number), violation), len(search.visits), false
			}
			if len(search.visits) > maxStates {
				return nil, len(search.visits), false
			}
			next = search.expand(current, next)
		}
		frontier = next
	}
	return nil, len(search.visits), true
}

// expand appends the unvisited next states of a state to the frontier.
func (e *exploration) expand(current numberedState, frontier []numberedState) []numberedState {
	step := int32(-1)
	current.steps(e.config, e.bounds, func(event string, next modelState) {
		step++
		key := maphash.Comparable(e.seed, next)
		if _, known := e.seenHashes[key]; known {
			return
		}
		for shard := range shardCount {
			if next.shards[shard].Epoch < current.shards[shard].Epoch {
				panic("an epoch decreased: " + event)
			}
		}
		e.seenHashes[key] = struct{}{}
		frontier = append(frontier, numberedState{next, int32(len(e.visits))})
		e.visits = append(e.visits, visitRecord{current.number, step})
	})
	return frontier
}

// trace returns the events on the path from the initial state to a visited state.
func (e *exploration) trace(number int32) (events []string) {
	var path []int32
	for ; e.visits[number].previous >= 0; number = e.visits[number].previous {
		path = append(path, e.visits[number].step)
	}
	var current modelState
	for _, wantedStep := range slices.Backward(path) {
		step := int32(0)
		from := current
		from.steps(e.config, e.bounds, func(event string, next modelState) {
			if step == wantedStep {
				events = append(events, event)
				current = next
			}
			step++
		})
	}
	return events
}

// firstShardRequests returns the limits for requests of the first shard only, one for each member. One shard suffices
// for most explorations, as shards only share the members' clocks and incarnations.
func firstShardRequests(requests ...uint32) (byShard [shardCount][memberCount]uint32) {
	copy(byShard[0][:], requests)
	return byShard
}

// maxStates bounds a test's time and memory to some seconds and some hundred megabytes.
const maxStates = 2_000_000

var (
	modelConfig       = Config{Duration: 2, MaxClockDrift: 1}
	twoMemberRequests = firstShardRequests(1, 1)
	allMemberRequests = firstShardRequests(1, 1, 1)
	bothShardRequests = [shardCount][memberCount]uint32{{1, 1}, {1}}
)

// While no clock loses more than the configured drift, no sequence of events within the limits gives a shard two
// holders at once.
func TestShardHasOneHolderWithinMaxClockDrift(t *testing.T) {
	for name, bounds := range map[string]limits{
		"renewals":                  {requests: firstShardRequests(2, 1), lostTicks: 1, ticks: 4},
		"a crash":                   {requests: twoMemberRequests, crashes: 1, lostTicks: 1, ticks: 4},
		"another leader":            {requests: twoMemberRequests, leaderChanges: 1, lostTicks: 1, ticks: 6},
		"a crash, another leader":   {requests: twoMemberRequests, crashes: 1, leaderChanges: 1, ticks: 4},
		"releases":                  {requests: firstShardRequests(1, 3), releases: true},
		"an observing leader":       {requests: firstShardRequests(2, 1), leaderChanges: 1, observes: true, ticks: 4},
		"three members":             {requests: allMemberRequests, ticks: 4},
		"two shards":                {requests: bothShardRequests, ticks: 3},
		"three members with drift":  {requests: allMemberRequests, lostTicks: 1, ticks: 3},
		"three members, new leader": {requests: allMemberRequests, leaderChanges: 1, ticks: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace, visited, complete := explore(modelConfig, bounds, maxStates)
			if trace != nil {
				t.Fatalf("a guarantee is violated after:\n  %s", strings.Join(trace, "\n  "))
			}
			if !complete {
				t.Fatalf("not all states were explored after %d states", visited)
			}
			t.Logf("explored all %d states", visited)
		})
	}
}

// If clocks lose more than the configured drift, the exploration finds two holders at once and the trace to them. This
// shows that TestShardHasOneHolderWithinMaxClockDrift can detect a violation.
func TestExplorationFindsTwoHoldersBeyondMaxClockDrift(t *testing.T) {
	bounds := limits{requests: twoMemberRequests, lostTicks: uint8(modelConfig.MaxClockDrift) + 1, ticks: 6}
	trace, visited, _ := explore(modelConfig, bounds, maxStates)
	if trace == nil {
		t.Fatalf("no violation was found in %d states", visited)
	}
	t.Logf("%d states:\n  %s", visited, strings.Join(trace, "\n  "))
}

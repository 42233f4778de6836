package lease

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// The model plays out everything that can happen to the leases of two shards: members request leases, stop and crash,
// messages are lost, duplicated and late, the leader changes, and clocks run apart. The production code takes each
// step; a tick stands for half a lease.
//
// A message stays in flight for good: one that is never taken is lost, one that is taken twice is a duplicate, one
// that is taken after younger ones is late. Fences are not in it: a fence is a comparison, with a test of its own.
const (
	memberCount = 3
	shardCount  = 2
	maxInFlight = 6
	// An old request that comes again after a release is granted anew, without any effect on a guarantee, as often
	// as it comes.
	maxEpoch = 3
)

// limits is how much of it an exploration plays out; all at once would be more states than a test can visit.
type limits struct {
	requests      [shardCount][memberCount]uint32 // of each incarnation of a member
	crashes       uint8
	leaderChanges uint8
	observes      bool  // the next leader sees the first shard before it leads
	releases      bool  // holders release what they hold
	lostTicks     uint8 // ticks that a member's clock may lose
	ticks         model.Microseconds
}

// world is a state. All of it is values, so that it is its own key.
type world struct {
	now           model.Microseconds // of the leader's clock
	shards        [shardCount]Shard
	leases        [memberCount][shardCount]Lease
	incarnations  [memberCount]uint64
	lostTicks     [memberCount]uint8 // that its clock has lost
	requests      [maxInFlight]inFlight[Request]
	responses     [maxInFlight]inFlight[Response]
	releases      [memberCount][shardCount]Request // the newest of each
	crashes       uint8
	leaderChanges uint8
	observation   sighting // of the member that leads next
}

// sighting is what a member that will lead has seen of the first shard, and when.
type sighting struct {
	epoch    uint64
	sequence uint32
	at       model.Microseconds
}

// inFlight is a message about a shard.
type inFlight[T comparable] struct {
	shard   uint8
	message T
}

// visitor takes what happened in a step, and the state after it.
type visitor func(event string, next world)

func (w *world) clock(member int) model.Microseconds {
	return w.now - model.Microseconds(w.lostTicks[member])
}

func (w *world) holder(member int) Holder {
	return Holder{Member: uint16(member + 1), Incarnation: w.incarnations[member]}
}

// send puts a message in flight; false: no more can be. One that is in flight already is as one that is duplicated.
func send[T comparable](slots *[maxInFlight]T, message T) bool {
	var none T
	for i := range slots {
		if slots[i] == message {
			return true
		}
		if slots[i] == none {
			slots[i] = message
			return true
		}
	}
	return false
}

// steps visits each state that may follow.
func (w world) steps(config Config, bounds limits, visit visitor) {
	w.tickSteps(bounds, visit)
	for member := range memberCount {
		for shard := range shardCount {
			w.shardSteps(bounds, member, shard, visit)
		}
		w.crashSteps(bounds, member, visit)
	}
	w.leaderSteps(bounds, visit)
	for i := range maxInFlight {
		w.requestSteps(config, i, visit)
		w.responseSteps(config, i, visit)
	}
}

// tickSteps lets time pass; any members' clocks may lose the tick.
func (w world) tickSteps(bounds limits, visit visitor) {
	if w.now >= bounds.ticks {
		return
	}
	for losers := range 1 << memberCount {
		next := w
		next.now++
		within := true
		for member := range memberCount {
			if losers>>member&1 == 1 {
				next.lostTicks[member]++
				within = within && next.lostTicks[member] <= bounds.lostTicks
			}
		}
		if within {
			visit(fmt.Sprintf("a tick; clocks that lose it: %03b", losers), next)
		}
	}
}

// shardSteps has a member request or release a shard's lease, and has its newest release committed.
func (w world) shardSteps(bounds limits, member, shard int, visit visitor) {
	self := w.holder(member)
	if w.leases[member][shard].sequence < bounds.requests[shard][member] {
		next := w
		request := next.leases[member][shard].Request(self, next.clock(member))
		if send(&next.requests, inFlight[Request]{uint8(shard), request}) {
			visit(fmt.Sprintf("%d requests shard %d", member+1, shard), next)
		}
	}
	if bounds.releases && w.leases[member][shard].IsHeld(w.clock(member)) {
		next := w
		next.releases[member][shard] = next.leases[member][shard].Release(self)
		visit(fmt.Sprintf("%d releases shard %d", member+1, shard), next)
	}
	if w.releases[member][shard] != (Request{}) {
		next := w
		next.shards[shard].Release(w.releases[member][shard])
		visit(fmt.Sprintf("the release of shard %d by %d is committed and may come again", shard, member+1), next)
	}
}

func (w world) crashSteps(bounds limits, member int, visit visitor) {
	if w.crashes >= bounds.crashes {
		return
	}
	next := w
	next.crashes++
	next.incarnations[member]++
	next.leases[member] = [shardCount]Lease{}
	visit(fmt.Sprintf("%d crashes and is back", member+1), next)
}

// leaderSteps has another member lead, or has the member that leads next see the first shard.
func (w world) leaderSteps(bounds limits, visit visitor) {
	if w.leaderChanges >= bounds.leaderChanges {
		return
	}
	next := w
	next.leaderChanges++
	for shard := range shardCount {
		next.shards[shard].LeaderChanged(next.now)
	}
	visit("another leader, which has seen nothing", next)
	if w.observation != (sighting{}) {
		w.observingLeaderStep(visit)
	}
	seen := sighting{w.shards[0].Epoch, w.shards[0].Sequence, w.now}
	if bounds.observes && w.shards[0].Epoch > 0 && seen != w.observation {
		next := w
		next.observation = seen
		visit("the member that leads next sees shard 0 as it is", next)
	}
}

// observingLeaderStep has a member lead that saw the first shard; of the other one it has seen nothing.
func (w world) observingLeaderStep(visit visitor) {
	next := w
	next.leaderChanges++
	seen := next.observation
	observation := Observation{Epoch: seen.epoch, Sequence: seen.sequence, Age: next.now - seen.at}
	next.shards[0].LeaderChangedWithObservation(observation, next.now)
	next.shards[1].LeaderChanged(next.now)
	visit(fmt.Sprintf("another leader, which saw epoch %d and request %d at tick %d", seen.epoch, seen.sequence, seen.at),
		next)
}

// requestSteps has a request in flight committed.
func (w world) requestSteps(config Config, i int, visit visitor) {
	request := w.requests[i]
	if request == (inFlight[Request]{}) {
		return
	}
	next := w
	response := next.shards[request.shard].HandleRequest(config, request.message, next.now)
	if next.shards[request.shard].Epoch > maxEpoch {
		return
	}
	send(&next.responses, inFlight[Response]{request.shard, response})
	visit(fmt.Sprintf("request %d of %d for shard %d is committed (granted: %v, epoch %d) and may come again",
		request.message.Sequence, request.message.From.Member, request.shard, response.Granted, response.Epoch), next)
}

// responseSteps has a response in flight arrive; one to an incarnation that crashed is lost.
func (w world) responseSteps(config Config, i int, visit visitor) {
	response := w.responses[i]
	if response == (inFlight[Response]{}) {
		return
	}
	next := w
	member := int(response.message.To.Member) - 1
	if response.message.To.Incarnation != next.incarnations[member] {
		return
	}
	next.leases[member][response.shard].HandleResponse(config, response.message)
	visit(fmt.Sprintf("%d receives the response to %d for shard %d (granted: %v) and may receive it again",
		member+1, response.message.Sequence, response.shard, response.message.Granted), next)
}

// violation describes the guarantee that a state breaks; "" for none.
func (w *world) violation() string {
	for shard := range shardCount {
		for member := range memberCount {
			if !w.leases[member][shard].IsHeld(w.clock(member)) {
				continue
			}
			epoch := w.leases[member][shard].Epoch
			if epoch > w.shards[shard].Epoch {
				return fmt.Sprintf("%d holds shard %d in epoch %d, which was never committed", member+1, shard, epoch)
			}
			for other := range member {
				if w.leases[other][shard].IsHeld(w.clock(other)) {
					return fmt.Sprintf("%d and %d may both hold shard %d, in epochs %d and %d",
						other+1, member+1, shard, w.leases[other][shard].Epoch, epoch)
				}
			}
		}
	}
	return ""
}

// visit is how an exploration reached a state.
type visit struct {
	from int32 // the number of the state before; -1 for the first
	step int32 // of those that lead on from there
}

// exploration visits states in the order of the number of steps to them. Of a state that was left only its hash is
// kept; two states of one hash, one in some ten thousand runs, would hide one.
type exploration struct {
	config Config
	bounds limits
	seed   maphash.Seed
	seen   map[uint64]struct{} // hashes of the states visited
	visits []visit             // by the number of a state
}

// numberedWorld is a state and its number.
type numberedWorld struct {
	world
	number int32
}

// explore visits maxStates states at most, and gives the shortest trace to one that breaks a guarantee. complete: all
// states were visited, and none does.
func explore(config Config, bounds limits, maxStates int) (trace []string, visited int, complete bool) {
	search := &exploration{config: config, bounds: bounds, seed: maphash.MakeSeed(), visits: []visit{{from: -1}}}
	var first world
	search.seen = map[uint64]struct{}{maphash.Comparable(search.seed, first): {}}
	frontier := []numberedWorld{{first, 0}}
	for len(frontier) > 0 {
		var next []numberedWorld
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

// expand adds the states that follow a state and were not visited yet.
func (e *exploration) expand(current numberedWorld, frontier []numberedWorld) []numberedWorld {
	step := int32(-1)
	current.steps(e.config, e.bounds, func(event string, next world) {
		step++
		key := maphash.Comparable(e.seed, next)
		if _, known := e.seen[key]; known {
			return
		}
		for shard := range shardCount {
			if next.shards[shard].Epoch < current.shards[shard].Epoch {
				panic("an epoch went back: " + event)
			}
		}
		e.seen[key] = struct{}{}
		frontier = append(frontier, numberedWorld{next, int32(len(e.visits))})
		e.visits = append(e.visits, visit{current.number, step})
	})
	return frontier
}

// trace returns the steps from the first state to one that was visited.
func (e *exploration) trace(number int32) (events []string) {
	var path []int32
	for ; e.visits[number].from >= 0; number = e.visits[number].from {
		path = append(path, e.visits[number].step)
	}
	var current world
	for _, wanted := range slices.Backward(path) {
		step := int32(0)
		from := current
		from.steps(e.config, e.bounds, func(event string, next world) {
			if step == wanted {
				events = append(events, event)
				current = next
			}
			step++
		})
	}
	return events
}

// ofFirstShard has members request the first shard only, as often as given: shards share nothing but the members'
// clocks and incarnations.
func ofFirstShard(requests ...uint32) (all [shardCount][memberCount]uint32) {
	copy(all[0][:], requests)
	return all
}

// maxStates bounds a test's time and memory: some seconds and some hundred megabytes.
const maxStates = 2_000_000

var (
	modelConfig = Config{Duration: 2, MaxClockDrift: 1}
	twoMembers  = ofFirstShard(1, 1)
	allMembers  = ofFirstShard(1, 1, 1)
	bothShards  = [shardCount][memberCount]uint32{{1, 1}, {1}}
)

// Within the drift that the configuration allows, nothing that can happen within the limits gives a shard two
// holders.
func TestNoTwoHoldersAtOnce(t *testing.T) {
	for name, bounds := range map[string]limits{
		"renewals":                 {requests: ofFirstShard(2, 1), lostTicks: 1, ticks: 4},
		"a crash":                  {requests: twoMembers, crashes: 1, lostTicks: 1, ticks: 4},
		"another leader":           {requests: twoMembers, leaderChanges: 1, lostTicks: 1, ticks: 6},
		"a crash and a leader":     {requests: twoMembers, crashes: 1, leaderChanges: 1, ticks: 4},
		"releases":                 {requests: ofFirstShard(1, 3), releases: true},
		"a leader that saw":        {requests: ofFirstShard(2, 1), leaderChanges: 1, observes: true, ticks: 4},
		"three members":            {requests: allMembers, ticks: 4},
		"two shards":               {requests: bothShards, ticks: 3},
		"three members with drift": {requests: allMembers, lostTicks: 1, ticks: 3},
		"three and another leader": {requests: allMembers, leaderChanges: 1, ticks: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace, visited, complete := explore(modelConfig, bounds, maxStates)
			if trace != nil {
				t.Fatalf("after:\n  %s", strings.Join(trace, "\n  "))
			}
			if !complete {
				t.Fatalf("%d states, and more are left", visited)
			}
			t.Logf("all %d states", visited)
		})
	}
}

// With clocks that lose more than the configured drift the model finds two holders at once, with the trace to them:
// so it would have found them above.
func TestExceededDriftIsFound(t *testing.T) {
	bounds := limits{requests: twoMembers, lostTicks: uint8(modelConfig.MaxClockDrift) + 1, ticks: 6}
	trace, visited, _ := explore(modelConfig, bounds, maxStates)
	if trace == nil {
		t.Fatalf("nothing is found in %d states", visited)
	}
	t.Logf("%d states:\n  %s", visited, strings.Join(trace, "\n  "))
}

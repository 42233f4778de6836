package lease

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// The model plays out everything that can happen to two parts: members ask, stop and crash, messages are lost, doubled and late, the
// register's leader changes, and clocks run apart. The production code takes each step; a tick stands for half a lease.
//
// A message stays under way for good: one that is never taken is lost, one that is taken twice was doubled, one that is taken after
// younger ones is late. Orders and fences are not in it: a fence has two lines, and a test of its own.
const (
	members = 3
	parts   = 2
	flying  = 6
	// An old ask that comes again after a release is granted anew, to nobody's use and nobody's harm, as often as it comes.
	epochsMost = 3
)

// limits is how much of it a model plays out; all of it in one would be more states than a test can visit.
type limits struct {
	askings [parts][members]uint32 // of each life of a member
	crashes uint8
	leaders uint8
	glances bool  // the next leader sees the part before it leads
	stops   bool  // holders give up what they hold
	slow    uint8 // ticks that a member's clock may lose
	ticks   model.Microseconds
}

// world is a state. All of it is values, so that it is its own key.
type world struct {
	now     model.Microseconds // of the register's clock
	parts   [parts]Shard
	claims  [members][parts]Lease
	lives   [members]uint64
	lost    [members]uint8 // ticks that its clock has lost
	asks    [flying]flight[Request]
	answers [flying]flight[Response]
	frees   [members][parts]Request // the newest release of each
	crashed uint8
	led     uint8
	look    glance // of who leads next
}

// glance is what a member that will lead has seen of the part, and when.
type glance struct {
	epoch  uint64
	number uint32
	at     model.Microseconds
}

// flight is a message about a part.
type flight[T comparable] struct {
	part uint8
	says T
}

func (w *world) clock(m int) model.Microseconds { return w.now - model.Microseconds(w.lost[m]) }

func put[T comparable](slots *[flying]T, v T) bool {
	var none T
	for i := range slots {
		if slots[i] == v {
			return true // as one that is doubled
		}
		if slots[i] == none {
			slots[i] = v
			return true
		}
	}
	return false
}

// steps calls with each state that may follow, and says what happened.
func (w world) steps(t Config, l limits, next func(string, world)) {
	if w.now < l.ticks {
		for slows := range 1 << members { // whose clock loses this tick
			n := w
			n.now++
			within := true
			for m := range members {
				if slows>>m&1 == 1 {
					n.lost[m]++
					within = within && n.lost[m] <= l.slow
				}
			}
			if within {
				next(fmt.Sprintf("a tick; clocks that lose it: %03b", slows), n)
			}
		}
	}
	for m := range members {
		me := Holder{uint16(m + 1), w.lives[m]}
		for part := range parts {
			if w.claims[m][part].number < l.askings[part][m] {
				n := w
				if put(&n.asks, flight[Request]{uint8(part), n.claims[m][part].Request(me, n.clock(m))}) {
					next(fmt.Sprintf("%d asks for part %d", m+1, part), n)
				}
			}
			if l.stops && w.claims[m][part].IsHeld(w.clock(m)) {
				n := w
				n.frees[m][part] = n.claims[m][part].Release(me)
				next(fmt.Sprintf("%d stops for part %d", m+1, part), n)
			}
			if w.frees[m][part] != (Request{}) {
				n := w
				n.parts[part].Release(w.frees[m][part])
				next(fmt.Sprintf("the release of part %d by %d is agreed on and may come again", part, m+1), n)
			}
		}
		if w.crashed < l.crashes {
			n := w
			n.crashed++
			n.lives[m]++
			n.claims[m] = [parts]Lease{}
			next(fmt.Sprintf("%d crashes and is back", m+1), n)
		}
	}
	if w.led < l.leaders {
		n := w
		n.led++
		for part := range parts {
			n.parts[part].Lead(n.now)
		}
		next("another leader, which has seen nothing", n)
		if w.look != (glance{}) { // of the first part; of the other one it has seen nothing
			n := w
			n.led++
			n.parts[0].LeadSeen(n.now, n.now-n.look.at, n.look.epoch, n.look.number)
			n.parts[1].Lead(n.now)
			next(fmt.Sprintf("another leader, which saw epoch %d and ask %d at tick %d", n.look.epoch, n.look.number, n.look.at), n)
		}
		if seen := (glance{w.parts[0].Epoch, w.parts[0].Sequence, w.now}); l.glances && w.parts[0].Epoch > 0 && seen != w.look {
			n := w
			n.look = seen
			next("who leads next sees part 0 as it is", n)
		}
	}
	for i := range flying {
		if a := w.asks[i]; a != (flight[Request]{}) {
			n := w
			answer := n.parts[a.part].Apply(t, a.says, n.now)
			if n.parts[a.part].Epoch > epochsMost {
				continue
			}
			put(&n.answers, flight[Response]{a.part, answer})
			next(fmt.Sprintf("the ask %d of %d for part %d is agreed on (granted: %v, epoch %d) and may come again", a.says.Sequence, a.says.From.Member, a.part,
				answer.Granted, answer.Epoch), n)
		}
		if a := w.answers[i]; a != (flight[Response]{}) {
			n, m := w, int(a.says.To.Member)-1
			if a.says.To.Incarnation == n.lives[m] { // an answer to a life that ended finds nobody
				n.claims[m][a.part].HandleResponse(t, a.says)
				next(fmt.Sprintf("%d hears the answer to %d for part %d (granted: %v) and may hear it again", m+1, a.says.Sequence, a.part, a.says.Granted), n)
			}
		}
	}
}

// wrong tells which promise a state breaks.
func (w *world) wrong() string {
	for part := range parts {
		for a := range members {
			if !w.claims[a][part].IsHeld(w.clock(a)) {
				continue
			}
			if w.claims[a][part].Epoch > w.parts[part].Epoch {
				return fmt.Sprintf("%d orders for part %d in epoch %d, which nobody agreed on", a+1, part, w.claims[a][part].Epoch)
			}
			for b := range a {
				if w.claims[b][part].IsHeld(w.clock(b)) {
					return fmt.Sprintf("%d and %d may both order for part %d, in epochs %d and %d", b+1, a+1, part, w.claims[b][part].Epoch, w.claims[a][part].Epoch)
				}
			}
		}
	}
	return ""
}

// explore visits states in the order of the steps to them, most at most, and gives the shortest story to one that is wrong. Of a
// state that was left only its hash is kept; two states of one hash, one in some ten thousand runs, would hide one.
func explore(t Config, l limits, most int) (story []string, visited int, whole bool) {
	type visit struct {
		from int32
		step int32 // of those that lead on from there
	}
	seed := maphash.MakeSeed()
	var first world
	seen := map[uint64]struct{}{maphash.Comparable(seed, first): {}}
	frontier, numbers := []world{first}, []int32{0}
	how := []visit{{-1, 0}}
	tell := func(i int32) (story []string) {
		var path []int32
		for ; how[i].from >= 0; i = how[i].from {
			path = append(path, how[i].step)
		}
		w := first
		for _, step := range slices.Backward(path) {
			k, from := int32(0), w
			from.steps(t, l, func(what string, n world) {
				if k == step {
					story, w = append(story, what), n
				}
				k++
			})
		}
		return story
	}
	for len(frontier) > 0 {
		var nextWorlds []world
		var nextNumbers []int32
		for i, w := range frontier {
			if why := w.wrong(); why != "" {
				return append(tell(numbers[i]), why), len(how), false
			}
			if len(how) > most {
				return nil, len(how), false
			}
			k := int32(0)
			w.steps(t, l, func(what string, n world) {
				step := k
				k++
				key := maphash.Comparable(seed, n)
				if _, known := seen[key]; known {
					return
				}
				if n.parts[0].Epoch < w.parts[0].Epoch || n.parts[1].Epoch < w.parts[1].Epoch {
					panic("an epoch went back: " + what)
				}
				seen[key] = struct{}{}
				how = append(how, visit{numbers[i], step})
				nextWorlds, nextNumbers = append(nextWorlds, n), append(nextNumbers, int32(len(how)-1))
			})
		}
		frontier, numbers = nextWorlds, nextNumbers
	}
	return nil, len(how), true
}

// first has members ask for the first part only, as often as told: parts share nothing but the members' clocks and lives.
func first(askings ...uint32) (all [parts][members]uint32) {
	copy(all[0][:], askings)
	return all
}

// statesMost bounds a test's time and memory: some seconds and some hundred megabytes.
const statesMost = 2_000_000

var (
	terms = Config{Duration: 2, MaxClockDrift: 1}
	once  = first(1, 1)
	each  = first(1, 1, 1)
	both  = [parts][members]uint32{{1, 1}, {1}}
)

// Within the drift that the terms allow, nothing that can happen within the limits lets two order at once.
func TestNobodyOrdersBesideAnother(t *testing.T) {
	for name, l := range map[string]limits{
		"renewals":             {askings: first(2, 1), slow: 1, ticks: 4},
		"a crash":              {askings: once, crashes: 1, slow: 1, ticks: 4},
		"another leader":       {askings: once, leaders: 1, slow: 1, ticks: 6},
		"a crash and a leader": {askings: once, crashes: 1, leaders: 1, ticks: 4},
		"releases":             {askings: first(1, 3), stops: true},
		"a leader that saw":    {askings: first(2, 1), leaders: 1, glances: true, ticks: 4},
		"three":                {askings: each, ticks: 4},
		"two parts":            {askings: both, ticks: 3},
		"three, slow":          {askings: each, slow: 1, ticks: 3},
		"three and a leader":   {askings: each, leaders: 1, ticks: 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			story, visited, whole := explore(terms, l, statesMost)
			if story != nil {
				t.Fatalf("after:\n  %s", strings.Join(story, "\n  "))
			}
			if !whole {
				t.Fatalf("%d states, and more are left", visited)
			}
			t.Logf("all %d states", visited)
		})
	}
}

// With clocks that lose more than was told the model finds two that order at once, and tells how: so it would have found it above.
func TestABrokenBoundIsFound(t *testing.T) {
	story, visited, _ := explore(terms, limits{askings: once, slow: uint8(terms.MaxClockDrift) + 1, ticks: 6}, statesMost)
	if story == nil {
		t.Fatalf("nothing is found in %d states", visited)
	}
	t.Logf("%d states:\n  %s", visited, strings.Join(story, "\n  "))
}

// A forwarder takes nothing of an older epoch than it has seen, and says when the holder changed.
func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		epoch         uint64
		obey, changed bool
	}{{3, true, true}, {3, true, false}, {2, false, false}, {5, true, true}, {3, false, false}} {
		if obey, changed := f.Accept(c.epoch); obey != c.obey || changed != c.changed {
			t.Errorf("epoch %d: %v, %v", c.epoch, obey, changed)
		}
	}
}

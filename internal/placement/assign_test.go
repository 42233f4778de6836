package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

var terms = Config{StabilizationPeriod: 10 * model.Second, MoveInterval: 2 * model.Second}

// hall is a group of one member a zone, each holding the parts of its zone.
type hall struct {
	members []Member
	parts   []Shard
	mover   Planner
	now     model.Microseconds
}

func newHall(zones, each int, load float64) *hall {
	h := &hall{now: 100 * model.Second}
	for z := range zones {
		name := fmt.Sprint("zone", z)
		h.members = append(h.members, Member{Name: "member-" + name, Zone: name, Alive: true})
		for range each {
			h.parts = append(h.parts, Shard{Number: len(h.parts), Zone: name, Load: load})
		}
	}
	return h
}

// step decides and carries the moves out.
func (h *hall) step(span model.Microseconds) []Migration {
	h.now += span
	return h.mover.Plan(terms, h.now, h.members, h.parts)
}

func (h *hall) held(member string) (n int) {
	for _, p := range h.parts {
		if p.Target == member {
			n++
		}
	}
	return n
}

func TestEachZoneIsHeldNear(t *testing.T) {
	h := newHall(3, 4, 10)
	if moves := h.step(0); len(moves) != 12 {
		t.Fatalf("%d moves at first", len(moves))
	}
	for _, p := range h.parts {
		if p.Target != "member-"+p.Zone {
			t.Errorf("part %d of %s is with %s", p.Number, p.Zone, p.Target)
		}
	}
	if moves := h.step(terms.StabilizationPeriod); len(moves) != 0 {
		t.Errorf("moved without need: %v", moves)
	}
}

// A member is lost: its parts move at once, evenly, and no other does. It is back: nothing for a while, then one part at a time.
func TestALossAndASlowReturn(t *testing.T) {
	h := newHall(3, 4, 10)
	h.step(0)
	h.members[0].Alive = false
	if moves := h.step(model.Second); len(moves) != 4 {
		t.Fatalf("%d moves for 4 parts", len(moves))
	}
	if a, b := h.held("member-zone1"), h.held("member-zone2"); a != 6 || b != 6 {
		t.Fatalf("%d and %d parts", a, b)
	}
	h.members[0].Alive, h.members[0].AliveSince = true, h.now
	for h.now-h.members[0].AliveSince < terms.StabilizationPeriod-model.Second {
		if moves := h.step(model.Second); len(moves) != 0 {
			t.Fatalf("after %v: %v", h.now-h.members[0].AliveSince, moves)
		}
	}
	last := model.Microseconds(0)
	for h.held("member-zone0") < 4 {
		moves := h.step(100 * model.Millisecond)
		if len(moves) > 1 || len(moves) == 1 && last > 0 && h.now-last < terms.MoveInterval {
			t.Fatalf("%v, %d us after the one before", moves, h.now-last)
		}
		if len(moves) == 1 {
			last = h.now
		}
		if h.now > 1000*model.Second {
			t.Fatalf("only %d are back", h.held("member-zone0"))
		}
	}
}

// With no room anywhere a part stays with nobody; with room again it is given.
func TestNobodyBeyondItsLimit(t *testing.T) {
	h := newHall(2, 2, 10)
	h.members[0].Capacity, h.members[1].Capacity = 20, 30
	h.step(0)
	h.members[0].Alive = false
	if moves := h.step(model.Second); len(moves) != 1 {
		t.Fatalf("%v: there is room for one", moves)
	}
	h.members[1].Capacity = 40
	if moves := h.step(model.Second); len(moves) != 1 || h.held("member-zone1") != 4 {
		t.Fatalf("%v with room for the last", moves)
	}
}

// A leaving member gives one part at a time; a part moved by hand stays, unless its member goes.
func TestLeavingAndByHand(t *testing.T) {
	h := newHall(2, 3, 10)
	h.step(0)
	h.parts[5].Target, h.parts[5].Pinned = "member-zone0", true
	if moves := h.step(model.Second); len(moves) != 0 {
		t.Fatalf("a part moved by hand: %v", moves)
	}
	h.members[0].Draining = true
	for k := range 4 {
		if moves := h.step(terms.MoveInterval); len(moves) != 1 {
			t.Fatalf("move %d of a leaving member: %v", k, moves)
		}
	}
	if n := h.held("member-zone0"); n != 0 {
		t.Fatalf("%d parts are left", n)
	}
}

// A part's forwarders reach another member and not their own: the other gets it, and it isn't sent back into the cut for a while.
func TestNobodyReachesItsMember(t *testing.T) {
	h := newHall(2, 2, 10)
	h.step(0)
	h.parts[0].Asked = "member-zone1"
	if moves := h.step(model.Second); len(moves) != 1 || moves[0].Shard != 0 || moves[0].To != "member-zone1" {
		t.Fatalf("%v", moves)
	}
	for span := model.Microseconds(0); span < AwayFor-terms.MoveInterval; span += terms.MoveInterval {
		for _, m := range h.step(terms.MoveInterval) {
			if m.Shard == 0 {
				t.Fatalf("after %d us: %+v", span, m)
			}
		}
	}
	h.step(2 * terms.MoveInterval)
	h.step(2 * terms.MoveInterval)
	if h.parts[0].Target != "member-zone0" {
		t.Errorf("it stays with %s", h.parts[0].Target)
	}
}

// A member that ends gives all away at once.
func TestEnding(t *testing.T) {
	h := newHall(3, 4, 10)
	h.step(0)
	h.members[0].Stopping = true
	if moves := h.step(model.Second); len(moves) != 4 || h.held("member-zone0") != 0 {
		t.Fatalf("%v", moves)
	}
}

// Whatever comes: nobody is given a part who is gone, leaving or full; a step without change in the group moves nothing at once; and what
// is unforced comes to an end.
func TestWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHall(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "parts"), 0)
		for i := range h.parts {
			h.parts[i].Load = float64(rapid.IntRange(0, 30).Draw(t, "load"))
		}
		for range rapid.IntRange(0, 3).Draw(t, "more") {
			h.members = append(h.members, Member{Name: fmt.Sprint("more", len(h.members)), Zone: "zone0", Alive: true})
		}
		for range rapid.IntRange(1, 15).Draw(t, "events") {
			m := &h.members[rapid.IntRange(0, len(h.members)-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if m.Alive = !m.Alive; m.Alive {
					m.AliveSince = h.now
				}
			case 1:
				m.Draining = !m.Draining
			case 2:
				m.Capacity = float64(rapid.IntRange(0, 100).Draw(t, "limit"))
			}
			gone := 0
			for _, p := range h.parts {
				if i := find(h, p.Target); i < 0 || !h.members[i].Alive {
					gone++
				}
			}
			moves := h.step(model.Microseconds(rapid.IntRange(0, 3).Draw(t, "seconds")) * model.Second)
			forced := 0
			for _, mv := range moves {
				to := h.members[find(h, mv.To)]
				if !to.Alive || to.Draining || to.Capacity > 0 && load(h, mv.To) > to.Capacity {
					t.Fatalf("%+v to %+v with %v", mv, to, load(h, mv.To))
				}
				if mv.Reason == "its member is gone" {
					forced++
				}
			}
			if forced > gone {
				t.Fatalf("%d moves for %d parts whose members are gone", forced, gone)
			}
		}
		for k := 0; ; k++ {
			if moves := h.step(terms.StabilizationPeriod); len(moves) == 0 {
				break
			} else if k > 10*len(h.parts)+10 {
				t.Fatalf("it goes on moving: %v", moves)
			}
		}
	})
}

func find(h *hall, name string) int {
	for i := range h.members {
		if h.members[i].Name == name {
			return i
		}
	}
	return -1
}

func load(h *hall, name string) (sum float64) {
	for _, p := range h.parts {
		if p.Target == name {
			sum += p.Load
		}
	}
	return sum
}

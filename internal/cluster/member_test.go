package cluster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

var town = Settings{Lease: lease.Config{Duration: 2 * model.Second, MaxClockDrift: 100 * model.Millisecond},
	Placement: placement.Config{StabilizationPeriod: 5 * model.Second, MoveInterval: model.Second}, Zones: []string{"govan", "partick", "dalmarnock"}, ShardsPerZone: 2}

// circle is a group on a log in memory: agreed on at once, carried to each member unless it is cut off or down.
type circle struct {
	t       testing.TB
	now     model.Microseconds
	log     []entry
	term    uint64
	leader  int
	members []*one
}

type entry struct {
	c    Command
	term uint64
}

// one is a member with what a log and a network would be to it.
type one struct {
	*Member
	up, cut bool
	deaf    bool // it hears nothing of the log, but is heard
	at      int  // entries that it has taken
	lost    model.Microseconds
	lives   uint64
}

func (o *one) clock(c *circle) model.Microseconds { return c.now - o.lost }

func newCircle(t testing.TB, n int) *circle {
	c := &circle{t: t, now: 1000 * model.Second}
	for k := range n {
		c.members = append(c.members, &one{})
		c.start(k)
	}
	c.lead(0)
	return c
}

func (c *circle) start(k int) {
	o := c.members[k]
	o.lives++
	zone := town.Zones[k%len(town.Zones)]
	o.Member = NewMember(fmt.Sprint("m", k), o.lives, MemberRecord{Zone: zone, Channel: fmt.Sprint("127.0.0.1:", 7700+k)}, town, func(int) float64 { return 10 })
	o.up, o.at = true, 0
}

func (c *circle) lead(k int) {
	c.term++
	c.leader = k
	word := c.members[k].Lead(c.members[k].clock(c))
	word.At = c.members[k].clock(c)
	c.log = append(c.log, entry{*word, c.term})
}

// majority tells whether anything can be agreed on.
func (c *circle) majority() bool {
	n := 0
	for _, o := range c.members {
		if o.up && !o.cut {
			n++
		}
	}
	l := c.members[c.leader]
	return 2*n > len(c.members) && l.up && !l.cut
}

// step lets time pass, and every member do what it does; it judges who may order after each.
func (c *circle) step(span model.Microseconds) {
	c.now += span
	if l := c.members[c.leader]; !l.up || l.cut {
		for k, o := range c.members {
			if o.up && !o.cut {
				c.lead(k)
				break
			}
		}
	}
	for k, o := range c.members {
		if !o.up {
			continue
		}
		c.carry(o)
		_, proposals := o.Tick(o.clock(c), k == c.leader && !o.cut, func(name string) bool {
			var i int
			fmt.Sscanf(name, "m%d", &i)
			return c.members[i].up && !c.members[i].cut
		})
		for _, p := range proposals {
			if !o.cut && c.majority() {
				p.At = c.members[c.leader].clock(c)
				c.log = append(c.log, entry{*p, c.term})
			}
		}
		c.judge()
	}
}

func (c *circle) carry(o *one) {
	for ; !o.cut && !o.deaf && c.majority() && o.at < len(c.log); o.at++ {
		e := c.log[o.at]
		o.Applied(&e.c, e.term, o.clock(c))
	}
}

func (c *circle) judge() {
	for part := range c.members[0].reg.Shards {
		holder, in := -1, uint64(0)
		for k, o := range c.members {
			if !o.up {
				continue
			}
			if epoch, ok := o.IsLeaseHolder(part, o.clock(c)); ok {
				if holder >= 0 {
					c.t.Fatalf("at %d: m%d and m%d order for part %d, in epochs %d and %d", c.now, holder, k, part, in, epoch)
				}
				holder, in = k, epoch
			}
		}
	}
}

func (c *circle) run(span model.Microseconds) {
	for end := c.now + span; c.now < end; {
		c.step(20 * model.Millisecond)
	}
}

// held counts the parts that a member holds.
func (c *circle) held(k int) (n int) {
	o := c.members[k]
	for part := range o.reg.Shards {
		if _, ok := o.IsLeaseHolder(part, o.clock(c)); ok && o.up {
			n++
		}
	}
	return n
}

func (c *circle) want(counts ...int) {
	c.t.Helper()
	for k, n := range counts {
		if got := c.held(k); got != n {
			c.t.Fatalf("m%d holds %d parts, wanted %v", k, got, counts)
		}
	}
}

// Members that start within half a lease of each other get their own zones' parts at once, and none is moved after.
func TestMembersStartOneAfterTheOther(t *testing.T) {
	c := newCircle(t, 3)
	c.members[2].cut = true
	c.run(200 * model.Millisecond)
	c.members[2].cut = false
	c.run(20 * model.Second)
	c.want(2, 2, 2)
	if n := len(c.members[0].reg.Events); n != 6 {
		t.Errorf("%d grants for 6 parts", n)
	}
}

func TestEachHoldsItsZone(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		c := newCircle(t, n)
		c.run(2 * model.Second)
		sum := 0
		for k := range n {
			sum += c.held(k)
		}
		if sum != 6 {
			t.Errorf("%d members hold %d parts of 6", n, sum)
		}
	}
}

// A member dies: its parts are held by others once its leases are over, not before; what they held goes on.
func TestAMemberIsLost(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.want(2, 2, 2)
	c.members[2].up = false
	c.run(town.Lease.Duration/2 + town.Lease.MaxClockDrift)
	c.want(2, 2)
	c.run(2 * town.Lease.Duration)
	c.want(3, 3)
	if e := c.members[0].reg.Events; e[len(e)-1].Planned || e[len(e)-1].From != "m2" {
		t.Errorf("the time line ends with %+v", e[len(e)-1])
	}
	c.start(2)
	c.run(town.Placement.StabilizationPeriod - model.Second)
	c.want(3, 3, 0)
	c.run(5 * model.Second)
	c.want(2, 2, 2)
}

// The leader dies: another counts all leases anew; what the others hold goes on without a break.
func TestTheLeaderIsLost(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[0].up = false
	for range 100 {
		c.step(20 * model.Millisecond)
		if c.held(1) < 2 || c.held(2) < 2 {
			t.Fatal("a member lost its parts with the leader")
		}
	}
	c.run(3 * model.Second)
	c.want(0, 3, 3)
}

// The leader dies, and its parts are held again hardly later than those of another member would be: the new one has seen when they
// were renewed.
func TestTheLeadersParts(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[0].up = false
	c.run(town.Lease.Duration + town.Lease.MaxClockDrift + 400*model.Millisecond)
	c.want(0, 3, 3)
}

// A leader that lags takes over: what was renewed in entries that it has not seen yet is not as old as it believes.
func TestALeaderThatLags(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	lag := c.members[1]
	lag.cut = true // two hear each other, and agree
	c.run(town.Lease.Duration / 2)
	lag.cut = false
	c.lead(1)               // before it has taken what came meanwhile
	c.members[2].cut = true // which holds on what was agreed on then
	c.run(3 * town.Lease.Duration)
	if c.held(0)+c.held(1) != 6 || c.held(2) > 0 {
		t.Fatalf("%d, %d and %d parts are held", c.held(0), c.held(1), c.held(2))
	}
}

// Who asks for a part of a member that died is not sent to it.
func TestNobodyIsSentToTheDead(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	if at := c.members[0].Elsewhere(2, c.now); at != "127.0.0.1:7701" {
		t.Fatalf("part 2 is at %q", at)
	}
	c.members[1].up = false
	c.run(town.Lease.Duration/2 + 20*model.Millisecond)
	if at := c.members[0].Elsewhere(2, c.now); at != "" {
		t.Fatalf("sent to %q, which is dead", at)
	}
}

// A member is cut off from the others: it goes on to the end of its leases and then stops, before anybody else is granted. The two
// sides believe different things of who holds what all the while.
func TestCutOff(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[1].cut = true
	c.run(town.Lease.Duration / 2)
	c.want(2, 2, 2)
	c.run(2 * town.Lease.Duration)
	c.want(3, 0, 3)
	c.members[1].cut = false
	c.run(10 * model.Second)
	c.want(2, 2, 2)
}

// A member's requests come through, and nothing that is agreed on comes to it (a full disk, a link that is open one way only): its renewals
// do not count, and others take over. They once counted, and its parts were with nobody.
func TestAMemberThatCannotFollow(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[1].deaf = true
	c.run(5 * town.Lease.Duration)
	c.want(3, 0, 3)
	c.members[1].deaf = false
	c.run(10 * model.Second)
	c.want(2, 2, 2)
}

// A majority is lost: the rest orders to the end of its leases and then nothing; with the majority back it all goes on.
func TestAMajorityIsLost(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[0].up, c.members[1].up = false, false
	c.run(town.Lease.Duration / 2)
	c.want(0, 0, 2)
	c.run(town.Lease.Duration)
	c.want(0, 0, 0)
	c.start(0)
	c.start(1)
	c.run(15 * model.Second)
	c.want(2, 2, 2)
}

// A process stands still for longer than a lease and goes on: it finds its leases over by the clock that went on, before it orders.
func TestAProcessThatStood(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	stood := c.members[2]
	stood.up = false
	c.run(3 * town.Lease.Duration)
	stood.up = true
	c.judge()
	c.want(3, 3, 0)
	c.run(15 * model.Second)
	c.want(2, 2, 2)
}

// A member that is cut off has a clock that loses all that is allowed, whenever the cut falls between its renewals and those of others.
func TestAClockThatLosesTheDrift(t *testing.T) {
	for phase := range 40 {
		c := newCircle(t, 3)
		c.run(5*model.Second + model.Microseconds(phase)*20*model.Millisecond)
		c.members[1].cut = true
		c.run(town.Lease.Duration / 4)
		c.members[1].lost += town.Lease.MaxClockDrift
		c.run(3 * model.Second)
		c.want(3, 0, 3)
	}
}

// An operator has a member give everything away: each part changes hands in a planned move, with no time without a holder but that
// of two entries in the log.
func TestALeavingMember(t *testing.T) {
	c := newCircle(t, 3)
	c.run(10 * model.Second)
	c.log = append(c.log, entry{Command{SchemaVersion: form, Kind: DrainMember, Member: "m1", On: true, ByOperator: true, At: c.now}, c.term})
	without := model.Microseconds(0)
	for c.held(1) > 0 || without == 0 {
		c.step(20 * model.Millisecond)
		if c.held(0)+c.held(1)+c.held(2) < 6 {
			without += 20 * model.Millisecond
		}
		if c.now > 1100*model.Second {
			t.Fatal("it keeps some")
		}
	}
	c.run(model.Second)
	c.want(3, 0, 3)
	if without > 400*model.Millisecond {
		t.Errorf("%d us with a part that nobody holds, for two moves", without)
	}
	for _, e := range c.members[0].reg.Events[6:] {
		if !e.Planned {
			t.Errorf("%+v", e)
		}
	}
}

// Two processes run under one name: the later life takes over, the other one gives up and holds nothing.
func TestTwiceTheSameMember(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	old := c.members[1]
	c.members = append(c.members, &one{lives: old.lives})
	twin := c.members[3]
	c.start(3)
	twin.Member = NewMember("m1", 2, MemberRecord{Zone: "partick", Channel: "127.0.0.1:7800"}, town, func(int) float64 { return 10 })
	c.run(3 * town.Lease.Duration)
	c.want(2, 0, 2, 2)
	if !old.Outranked() || twin.Outranked() {
		t.Error("the later life is to stay")
	}
}

// The others run a newer program, which agrees on what this one does not know: it stops, and takes no snapshot of it.
func TestAnOldProgram(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.members[1].Applied(&Command{SchemaVersion: form + 1, Kind: 99}, c.term, c.now)
	c.want(2, 0, 2)
	if _, err := c.members[1].Register().Bytes(); err == nil {
		t.Error("a snapshot of what is not known")
	}
	c.run(10 * model.Second)
	c.want(3, 0, 3)
}

// A member with other settings is on the register and is given nothing: it would count other parts.
func TestOtherSettings(t *testing.T) {
	c := newCircle(t, 3)
	other := town
	other.ShardsPerZone = 3
	c.members[2].Member = NewMember("m2", 5, MemberRecord{Zone: "dalmarnock"}, other, func(int) float64 { return 1 })
	c.run(10 * model.Second)
	c.want(3, 3, 0)
}

func TestTheRegisterComesBack(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	b, err := c.members[0].reg.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	r, err := ReadState(b)
	if err != nil {
		t.Fatal(err)
	}
	again, _ := r.Bytes()
	if string(again) != string(b) || *r.Shards[3] != *c.members[0].reg.Shards[3] {
		t.Error("a register from a snapshot is another one")
	}
	for n := range len(b) { // cut anywhere it is refused, and nothing falls over
		if _, err := ReadState(b[:n]); err == nil {
			t.Fatalf("%d bytes of %d are taken", n, len(b))
		}
	}
}

// Commands of a leader that was replaced come to nothing: its clock is not the one that the leases now count by.
func TestAnOldLeadersStamp(t *testing.T) {
	c := newCircle(t, 3)
	c.run(5 * model.Second)
	c.lead(1)
	c.run(100 * model.Millisecond)
	m := c.members[0]
	before := *m.reg.Shards[0]
	m.Applied(&Command{SchemaVersion: form, Kind: RenewLeases, Member: "m1", Incarnation: 1, Requests: []ShardRequest{{Shard: 0, Sequence: 9}}, At: c.now + 3600*model.Second}, c.term-1, c.now)
	if *m.reg.Shards[0] != before {
		t.Error("a stamp of another clock was taken for one of this leader's")
	}
}

// Whatever fails in whatever order, with clocks that lose up to the drift: never two at once (judged in each step), and with all
// back and some time, each part is held.
func TestWhateverFails(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCircle(t, rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(rt, "members"))
		for range rapid.IntRange(1, 20).Draw(rt, "events") {
			k := rapid.IntRange(0, len(c.members)-1).Draw(rt, "member")
			o := c.members[k]
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0:
				o.up = false
			case 1:
				if !o.up {
					c.start(k)
				}
			case 2:
				o.cut = !o.cut
			case 3:
				if !o.cut && o.up {
					c.lead(k)
				}
			case 4:
				// What a clock may lose within a lease; more time passes before the next.
				c.run(town.Lease.Duration)
				o.lost += model.Microseconds(rapid.IntRange(0, int(town.Lease.MaxClockDrift)/2).Draw(rt, "loses"))
				c.run(town.Lease.Duration)
			default:
				c.run(model.Microseconds(rapid.IntRange(0, 3000).Draw(rt, "ms")) * model.Millisecond)
			}
		}
		for k, o := range c.members {
			if o.cut = false; !o.up {
				c.start(k)
			}
		}
		c.run(20 * model.Second)
		sum := 0
		for k := range c.members {
			sum += c.held(k)
		}
		if sum != 6 {
			rt.Fatalf("%d parts of 6 are held", sum)
		}
	})
}

package invariants

import (
	"fmt"
	"strings"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

const s = model.Second

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

var figures = Figures{Zones: []string{"govan"}, Operations: []Operation{{"read", Idempotent, 0}, {"log", Fingerprinted, s}, {"pay", SideEffecting, 0}},
	Bare: 2 * s, Grace: 2 * s, Cold: 10 * s, TipFactor: 4, TipSpan: 3 * s, QueueMost: 100, WriteMost: 3, WriteSpan: 10 * s}

// story is what was seen on a small day: till is joined to g from second 1, replicas 1 and 2 are listed, 1 stands in its
// table, each in a bay of its own.
type story []Seen

func begin() story {
	return story{Began{At: 0, Forwarder: "till", Standing: []Line{{id(1), 1}}}, Up{At: 0, Replica: id(1), Bay: "a", Full: 1, Share: 1},
		Up{At: 0, Replica: id(2), Bay: "b", Full: 1, Share: 1}, list(0, 1, 2), Stream{At: 1 * s, Forwarder: "till", Governor: "g", Up: true}}
}

func list(at model.Microseconds, numbers ...byte) Told {
	var all []string
	for _, n := range numbers {
		all = append(all, fmt.Sprintf(`{"Service":{"Address":"127.0.0.%d","Port":80,"Meta":{"zone":"govan"}}}`, n))
	}
	return Told{At: at, Governor: "g", Body: []byte("[" + strings.Join(all, ",") + "]")}
}

func listCold(at model.Microseconds, n byte, since model.Microseconds) Told {
	return Told{At: at, Governor: "g", Body: fmt.Appendf(nil, `[{"Service":{"Address":"127.0.0.%d","Port":80,"Meta":{"zone":"govan","started":"%d"}}}]`, n, since/model.Millisecond)}
}

func pushed(at model.Microseconds, m pubsubmsg.Message) Received {
	if m.UpdatedAt == 0 {
		m.UpdatedAt = at
	}
	m.AckSequence = -1
	return Received{At: at, Forwarder: "till", Data: pubsubmsg.Append(nil, &m)}
}

func out(at model.Microseconds, n byte) Received {
	return pushed(at, pubsubmsg.Message{Withdrawals: []pubsubmsg.Withdrawal{{Replica: id(n), Withdrawn: true}}})
}

func tried(at model.Microseconds, op int, n byte, count int) Tried {
	return Tried{At: at, Forwarder: "till", Replica: id(n), Operation: op, Invocation: 5, N: count}
}

func ended(at model.Microseconds, n int, o Outcome) Ended {
	return Ended{At: at, Invocation: 5, N: n, Outcome: o}
}

// load is work that reaches a replica evenly.
func load(replica byte, from, to model.Microseconds, work float64) (all story) {
	for at := from; at < to; at += s / 10 {
		all = append(all, Arrived{At: at, Replica: id(replica), Forwarder: "till", Work: work})
	}
	return all
}

// Each rule is broken by one story and kept by its neighbour.
func TestEachRule(t *testing.T) {
	cold := Up{At: 3 * s, Replica: id(3), Bay: "a", Full: 1, Share: 0.25, Span: 8 * s}
	for _, c := range []struct {
		name, rule string
		broken     bool
		more       story
	}{
		{"bare for three seconds", Lost, true, story{out(5*s, 1)}},
		{"bare for one", Lost, false, story{out(5*s, 1), pushed(6*s, pubsubmsg.Message{Entries: []pubsubmsg.Entry{{Replica: id(2), Weight: 1}}})}},
		{"bare and joined to nobody", Lost, false, story{out(5*s, 1), Stream{At: 6 * s, Forwarder: "till", Governor: "g"}}},
		{"bare while only a cold one is listed", Lost, false, story{listCold(4*s, 2, 3*s), out(5*s, 1)}},
		{"bare until it is warm, and beyond", Lost, true, story{listCold(1*s, 2, 0), listCold(2*s, 2, 1), out(3*s, 1)}},
		{"a list in the middle of a spell", Lost, true, story{out(5*s, 1), list(6*s, 1, 2), list(7*s, 1, 2)}},
		{"a table without lines", Lost, true, story{pushed(5*s, pubsubmsg.Message{Full: true, Bound: true})}},

		{"a payment repeated after a time-out", Double, true, story{tried(5*s, 2, 1, 1), ended(6*s, 1, TimedOut), tried(6*s, 2, 2, 2)}},
		{"a payment repeated after a refusal", Double, false, story{tried(5*s, 2, 1, 1), ended(6*s, 1, Refused), tried(6*s, 2, 2, 2)}},
		{"a payment repeated while the first is open", Double, true, story{tried(5*s, 2, 1, 1), tried(5*s, 2, 2, 2)}},
		{"a log repeated in another bay", Double, true, story{tried(5*s, 1, 1, 1), ended(5*s, 1, Broken), tried(5*s, 1, 2, 2)}},
		{"a log repeated in its bay", Double, false, story{tried(5*s, 1, 1, 1), ended(5*s, 1, Broken), tried(5*s+s/2, 1, 1, 2)}},
		{"a log repeated in its bay after the window", Double, true, story{tried(5*s, 1, 1, 1), ended(5*s, 1, Broken), tried(6*s+s/2, 1, 1, 2)}},
		{"a read repeated anywhere", Double, false, story{tried(5*s, 0, 1, 1), ended(6*s, 1, TimedOut), tried(6*s, 0, 2, 2)}},
		{"two effects of one payment", Double, true, story{Ran{At: 5 * s, Replica: id(1), Operation: 2, Invocation: 9}, Ran{At: 6 * s, Replica: id(2), Operation: 2, Invocation: 9}}},

		{"a try three seconds after a drain was told", Drain, true, story{list(4*s, 2), tried(7*s, 0, 1, 1)}},
		{"a try within the grace", Drain, false, story{list(4*s, 2), tried(5*s, 0, 1, 1)}},
		{"a try after it came back", Drain, false, story{list(4*s, 2), list(5*s, 1, 2), tried(7*s, 0, 1, 1)}},
		{"the grace of a new stream", Drain, false, story{list(4*s, 2), Stream{At: 5 * s, Forwarder: "till", Governor: "g"},
			Stream{At: 6 * s, Forwarder: "till", Governor: "g", Up: true}, tried(7*s, 0, 1, 1)}},

		// It can do 0.25 of a core and rises to 1 in 8 s.
		{"a cold one sent ten times what it can do", Failback, true, append(story{cold, listCold(3*s, 3, 3*s)}, load(3, 6*s, 9*s, 4e5)...)},
		{"a cold one sent what it can do", Failback, false, append(story{cold, listCold(3*s, 3, 3*s)}, load(3, 6*s, 9*s, 3e4)...)},
		{"the same load from those who could not know", Failback, false, append(story{cold}, load(3, 4*s, 7*s, 4e5)...)},

		{"a hundred and twenty lines under way", Backlog, true, story{pushed(6*s, pubsubmsg.Message{UpdatedAt: 5 * s, Cost: 60}), pushed(6*s, pubsubmsg.Message{UpdatedAt: 5*s + 1, Cost: 60})}},
		{"as many one after the other", Backlog, false, story{pushed(6*s, pubsubmsg.Message{UpdatedAt: 5 * s, Cost: 60}), pushed(7*s, pubsubmsg.Message{UpdatedAt: 6*s + 1, Cost: 60})}},
		{"four messages in ten seconds", Backlog, true, story{pushed(5*s, pubsubmsg.Message{}), pushed(6*s, pubsubmsg.Message{}), pushed(7*s, pubsubmsg.Message{}), pushed(8*s, pubsubmsg.Message{})}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, v := range Judge(append(begin(), c.more...), figures, 15*s) {
				if broken := len(v.Breaks) > 0; broken != (c.broken && v.Rule == c.rule) {
					t.Errorf("%s: broken %v, %.2f of the limit: %v", v.Rule, broken, v.Nearest, v.Breaks)
				}
			}
		})
	}
}

func TestABreakNamesWhoAndWhen(t *testing.T) {
	for _, v := range Judge(append(begin(), list(4*s, 2), tried(7*s, 0, 1, 1)), figures, 15*s) {
		if v.Rule == Drain && (len(v.Breaks) != 1 || v.Breaks[0] !=
			"7.000 s: till sent to 127.0.0.1:80 3.000 s after g was told that it drains or is gone, 2.000 s are allowed") {
			t.Fatal(v.Breaks)
		}
	}
}

func TestBreaksAreBounded(t *testing.T) {
	all := append(begin(), list(4*s, 2))
	for n := range 1000 {
		all = append(all, Tried{At: 8*s + model.Microseconds(n), Forwarder: "till", Replica: id(1), Invocation: uint64(n), N: 1})
	}
	if v := Judge(all, figures, 15*s)[2]; len(v.Breaks) != breaksMost+1 {
		t.Fatalf("%d lines", len(v.Breaks))
	}
}

// Two governors that order in one epoch are found; orders of an older epoch than was seen are not obeyed, and so not judged.
func TestHoldersAndEpochs(t *testing.T) {
	up := func(at model.Microseconds, governor string) Stream {
		return Stream{At: at, Forwarder: "till", Governor: governor, Up: true}
	}
	in := func(at model.Microseconds, epoch uint64, lines ...pubsubmsg.Entry) Received {
		return pushed(at, pubsubmsg.Message{Full: true, Bound: true, Entries: lines, Epoch: epoch})
	}
	full, bare := pubsubmsg.Entry{Replica: id(1), Weight: 1}, []pubsubmsg.Entry(nil)
	for name, c := range map[string]struct {
		story  story
		broken string
	}{
		"a takeover":                      {append(begin(), in(2*s, 1, full), up(3*s, "h"), in(4*s, 2, full)), ""},
		"two in one epoch":                {append(begin(), in(2*s, 1, full), up(3*s, "h"), in(4*s, 1, full)), Holder},
		"an old holder empties its table": {append(begin(), in(2*s, 2, full), in(3*s, 1, bare...)), ""},
		"the holder empties its table":    {append(begin(), in(2*s, 2, full), in(3*s, 2, bare...)), Lost},
	} {
		for _, v := range Judge(c.story, figures, 15*s) {
			if got := len(v.Breaks) > 0; got != (v.Rule == c.broken) {
				t.Errorf("%s: %s: %v", name, v.Rule, v.Breaks)
			}
		}
	}
}

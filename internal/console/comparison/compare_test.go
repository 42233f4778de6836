package comparison

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/model"
)

const s = model.Second

// gov is a governor seen now; replicas as "ADDRESS state listed" with "out" for a withdrawal, forwarders by name.
type gov struct {
	name       string
	life       uint64
	replicas   map[string]string
	forwarders []string
	age        model.Microseconds
}

var said = map[string]Replica{
	"serving":  {State: "serving", Listed: "ready", Part: 1},
	"resting":  {State: "resting", Listed: "ready", Part: 1, Withdrawn: true},
	"draining": {State: "away", Listed: "draining", Withdrawn: true},
	"gone":     {State: "away", Listed: "gone", Withdrawn: true},
	// Listed as leaving, and its withdrawal is not out yet.
	"unheard": {State: "serving", Listed: "gone", Part: 1},
}

func seen(now model.Microseconds, all ...gov) (of []Seen) {
	for i, g := range all {
		b := &Belief{Name: g.name, Life: g.life, Gate: "open", Replicas: map[string]Replica{}, Forwarders: map[string]Forwarder{}}
		for a, what := range g.replicas {
			r := said[what]
			r.Address = a
			b.Replicas[a] = r
		}
		for _, f := range g.forwarders {
			b.Forwarders[f] = Forwarder{Name: f, Table: 0}
		}
		of = append(of, Seen{Address: fmt.Sprint("http://", i), Belief: b, At: now - g.age})
	}
	return of
}

// Each pair of beliefs about one replica is one kind of disagreement, or none.
func TestWhatIsADisagreement(t *testing.T) {
	type m = map[string]string
	for _, c := range []struct {
		a, b m
		want Kind
	}{
		{m{"r": "serving"}, m{"r": "serving"}, ""},
		{m{"r": "serving"}, m{"r": "draining"}, SendsToLeaving},
		{m{"r": "gone"}, m{"r": "serving"}, SendsToLeaving},
		{m{"r": "resting"}, m{"r": "draining"}, ListDiffers},
		{m{"r": "serving"}, m{}, ListDiffers},
		{m{"r": "serving"}, m{"r": "resting"}, BeliefDiffers},
		{m{"r": "resting"}, m{"r": "resting"}, ""},
		{m{"r": "gone"}, m{"r": "draining"}, ""},
		{m{"r": "gone"}, m{}, ""},
		{m{"r": "unheard"}, m{"r": "gone"}, ""},
	} {
		found, fresh := NewLedger().Compare(0, seen(0, gov{name: "a", replicas: c.a}, gov{name: "b", replicas: c.b}))
		if fresh != 2 || (len(found) == 0) != (c.want == "") || len(found) > 0 && (found[0].Kind != c.want || len(found[0].Sides) != 2) {
			t.Errorf("%v beside %v: %+v", c.a, c.b, found)
		}
	}
}

// A list reaches one governor later than another: that passes. One that never hears of it stands, and is told first.
func TestADisagreementPassesOrStands(t *testing.T) {
	type m = map[string]string
	l := NewLedger()
	look := func(now model.Microseconds, b m) []Disagreement {
		found, _ := l.Compare(now, seen(now, gov{name: "a", replicas: m{"late": "gone", "never": "gone"}}, gov{name: "b", replicas: b}))
		return found
	}
	look(0, m{"late": "serving", "never": "serving"})
	found := look(2*s, m{"late": "gone", "never": "serving"})
	if len(found) != 1 || found[0].About != "never" || found[0].Standing(2*s) {
		t.Fatalf("%+v", found)
	}
	found = look(5*s, m{"late": "serving", "never": "serving"})
	if len(found) != 2 || found[0].About != "never" || !found[0].Standing(5*s) || found[0].Since != 0 || found[1].Standing(5*s) || found[1].Since != 5*s {
		t.Fatalf("%+v", found)
	}
	if found = look(6*s, m{"late": "gone", "never": "gone"}); len(found) != 0 {
		t.Fatalf("%+v", found)
	}
}

// A governor that is not heard of is compared with nothing, and its forwarders are missed only while everybody is heard.
func TestWhoIsNotHeard(t *testing.T) {
	type m = map[string]string
	l := NewLedger()
	l.Compare(0, seen(0, gov{name: "a", forwarders: []string{"till"}}, gov{name: "b", forwarders: []string{"bar"}}))
	quiet := gov{name: "b", forwarders: []string{"bar"}, replicas: m{"r": "gone"}, age: 6 * s}
	if found, fresh := l.Compare(6*s, seen(6*s, gov{name: "a", forwarders: []string{"till"}, replicas: m{"r": "serving"}}, quiet)); fresh != 1 || len(found) != 0 {
		t.Fatalf("%d, %+v", fresh, found)
	}
	found, _ := l.Compare(7*s, seen(7*s, gov{name: "a", forwarders: []string{"till"}}, gov{name: "b"}))
	if len(found) != 1 || found[0].Kind != JoinedNowhere || found[0].About != "bar" {
		t.Fatalf("%+v", found)
	}
	if found, _ = l.Compare(300*s, seen(300*s, gov{name: "a", forwarders: []string{"till"}}, gov{name: "b"})); len(found) != 0 {
		t.Fatalf("long gone and still missed: %+v", found)
	}
}

func TestGovernorsThemselves(t *testing.T) {
	l := NewLedger()
	l.Compare(0, seen(0, gov{name: "a", life: 7}, gov{name: "b", life: 3}))
	found, _ := l.Compare(s, seen(s, gov{name: "a", life: 6, forwarders: []string{"till"}}, gov{name: "a", life: 4, forwarders: []string{"till"}}))
	var kinds []Kind
	for _, d := range found {
		kinds = append(kinds, d.Kind)
	}
	if !slices.Equal(kinds, []Kind{LifeWentBack, NameTwice, JoinedTwice}) {
		t.Fatalf("%+v", found)
	}
}

// Whatever governors say: those that say the same disagree on no replica; the order of the governors does not matter; and the age of
// a disagreement never exceeds the time since it was first seen.
func TestComparing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		words := []string{"", "serving", "resting", "draining", "gone", "unheard"}
		l, back := NewLedger(), NewLedger()
		var now model.Microseconds
		for range rapid.IntRange(1, 12).Draw(t, "looks") {
			now += model.Microseconds(rapid.IntRange(0, 6).Draw(t, "pause")) * s
			var all []gov
			for k, n := range names {
				g := gov{name: n, life: uint64(k), replicas: map[string]string{}, age: model.Microseconds(rapid.IntRange(0, 7).Draw(t, "age")) * s}
				for _, r := range []string{"r1", "r2"} {
					if w := rapid.SampledFrom(words).Draw(t, "word"); w != "" {
						g.replicas[r] = w
					}
				}
				all = append(all, g)
			}
			same := slices.Clone(all)
			for k := range same {
				same[k].replicas = all[0].replicas
			}
			if found, _ := NewLedger().Compare(now, seen(now, same...)); len(found) != 0 {
				t.Fatalf("alike, and yet %+v", found)
			}
			of := seen(now, all...)
			one, _ := l.Compare(now, of)
			slices.Reverse(of)
			two, _ := back.Compare(now, of)
			if len(one) != len(two) {
				t.Fatalf("%+v\n%+v", one, two)
			}
			for i := range one {
				if one[i].Kind != two[i].Kind || one[i].About != two[i].About || one[i].Since != two[i].Since || one[i].Since > now {
					t.Fatalf("%+v\n%+v", one[i], two[i])
				}
			}
		}
	})
}

package comparison

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"peppervale/internal/model"
)

// Kind is what a disagreement is about.
type Kind string

// The kinds, the worst first.
const (
	SendsToLeaving Kind = "sends to what another was told is leaving" // one was told draining or gone, another serves it
	ListDiffers    Kind = "the list differs"                          // ready to one, draining, gone or unknown to another
	BeliefDiffers  Kind = "out here, in there"                        // withdrawn by one, serving at another, listed alike
	JoinedTwice    Kind = "joined at two"                             // a forwarder
	JoinedNowhere  Kind = "joined nowhere"                            // a forwarder that was joined before
	NameTwice      Kind = "one name at two addresses"                 // governors
	LifeWentBack   Kind = "its life went back"                        // a governor
)

var worst = []Kind{SendsToLeaving, LifeWentBack, NameTwice, ListDiffers, JoinedNowhere, JoinedTwice, BeliefDiffers}

// Side is one governor's part in a disagreement.
type Side struct {
	Governor string `json:"governor"`
	Says     string `json:"says"`
}

// Disagreement is one, and since when it stands without a break.
type Disagreement struct {
	Kind  Kind               `json:"kind"`
	About string             `json:"about"` // a replica's address, a forwarder's or a governor's name
	Sides []Side             `json:"sides"`
	Since model.Microseconds `json:"since_us"`
}

// Seen is what is known of one governor: the newest belief and when it came, by the clock of who asks.
type Seen struct {
	Address string
	Belief  *Belief // nil: never answered
	At      model.Microseconds
	Error   string // of the newest try; "" if it answered
	Tries   uint64
	Fails   uint64
}

// Times of the comparison. A list's change reaches governors within a blocking query and its slack, so for some seconds they
// differ with nothing wrong; a belief older than five periods says nothing of now.
const (
	freshFor   = 5 * model.Second
	settledIn  = 4 * model.Second // a disagreement that stands longer is told as standing
	missingFor = 120 * model.Second
	knownMost  = 20_000 // forwarders remembered
	rowsShown  = 500
)

// Ledger follows disagreements over time. Make it with NewLedger; it is for one goroutine.
//
//	state    found again  next      effect
//	-        yes          new       since now
//	new      yes          new       until settledIn has passed
//	new      no           -         forgotten: it passed
//	new      settled      standing  told first
//	standing no           -         forgotten
type Ledger struct {
	since map[string]model.Microseconds
	last  map[string]model.Microseconds // forwarder: when it was seen joined last
	lives map[string]uint64             // governor's address: the highest life seen
}

// NewLedger makes an empty one.
func NewLedger() *Ledger {
	return &Ledger{map[string]model.Microseconds{}, map[string]model.Microseconds{}, map[string]uint64{}}
}

// Standing tells whether a disagreement has outlasted what is usual.
func (d *Disagreement) Standing(now model.Microseconds) bool { return now-d.Since >= settledIn }

// Compare finds where governors disagree now; standing ones come first, and of them the worst kinds. fresh counts the
// governors that were compared.
func (l *Ledger) Compare(now model.Microseconds, all []Seen) (found []Disagreement, fresh int) {
	var of []Seen
	for _, s := range all {
		if s.Belief != nil && now-s.At <= freshFor {
			of = append(of, s)
		}
	}
	found = append(found, replicas(of)...)
	found = append(found, l.forwarders(now, of, len(of) == len(all))...)
	found = append(found, l.governors(of)...)
	since := make(map[string]model.Microseconds, len(found))
	for i := range found {
		d := &found[i]
		key := string(d.Kind) + " " + d.About
		if at, stood := l.since[key]; stood {
			since[key] = at
		} else {
			since[key] = now
		}
		d.Since = since[key]
	}
	l.since = since
	slices.SortFunc(found, func(a, b Disagreement) int {
		if x, y := a.Standing(now), b.Standing(now); x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(slices.Index(worst, a.Kind), slices.Index(worst, b.Kind)), cmp.Compare(a.Since, b.Since), strings.Compare(a.About, b.About))
	})
	return found, len(of)
}

// serves tells whether forwarders of a governor may send to a replica.
func (r Replica) serves() bool { return !r.Withdrawn && r.State != "away" && r.Part > 0 }

// replicas compares what each governor says of each.
func replicas(of []Seen) (found []Disagreement) {
	addresses := map[string]bool{}
	for _, s := range of {
		for a := range s.Belief.Replicas {
			addresses[a] = true
		}
	}
	for a := range addresses {
		var sides []Side
		var ready, leaving, unknown, served, out int
		servedLeaving := false
		for _, s := range of {
			r, known := s.Belief.Replicas[a]
			if !known {
				// A governor that never heard of a replica that another saw go has nothing wrong with it.
				unknown++
				sides = append(sides, Side{s.Belief.Name, "never heard of it"})
				continue
			}
			if r.Listed == "ready" {
				ready++
			} else {
				leaving++
			}
			if r.serves() {
				served++
				servedLeaving = servedLeaving || r.Listed == "ready"
			} else if r.Listed == "ready" && r.Withdrawn {
				out++
			}
			says := fmt.Sprintf("%s, listed %s", r.State, r.Listed)
			if r.Withdrawn {
				says += ", withdrawn"
			}
			sides = append(sides, Side{s.Belief.Name, says})
		}
		d := Disagreement{About: a, Sides: sides}
		switch {
		case leaving > 0 && servedLeaving:
			d.Kind = SendsToLeaving
		case ready > 0 && leaving+unknown > 0:
			d.Kind = ListDiffers
		case served > 0 && out > 0:
			d.Kind = BeliefDiffers
		default:
			continue
		}
		found = append(found, d)
	}
	return found
}

// forwarders compares where each is joined. Those that are joined nowhere can be told only while every governor is seen.
func (l *Ledger) forwarders(now model.Microseconds, of []Seen, everybody bool) (found []Disagreement) {
	at := map[string][]Side{}
	for _, s := range of {
		for name, f := range s.Belief.Forwarders {
			says := "on its own tables"
			if f.Table >= 0 {
				says = fmt.Sprintf("on table %d", f.Table)
			}
			at[name] = append(at[name], Side{s.Belief.Name, says})
			if _, known := l.last[name]; known || len(l.last) < knownMost {
				l.last[name] = now
			}
		}
	}
	for name, sides := range at {
		if len(sides) > 1 {
			found = append(found, Disagreement{Kind: JoinedTwice, About: name, Sides: sides})
		}
	}
	for name, last := range l.last {
		switch {
		case now-last > missingFor: // it was taken down, or is called something else now
			delete(l.last, name)
		case everybody && last < now:
			found = append(found, Disagreement{Kind: JoinedNowhere, About: name, Sides: []Side{}})
		}
	}
	return found
}

func (l *Ledger) governors(of []Seen) (found []Disagreement) {
	named := map[string][]Side{}
	for _, s := range of {
		b := s.Belief
		named[b.Name] = append(named[b.Name], Side{b.Name, fmt.Sprintf("life %d at %s", b.Life, s.Address)})
		if most := l.lives[s.Address]; b.Life < most {
			found = append(found, Disagreement{Kind: LifeWentBack, About: b.Name, Sides: []Side{{b.Name, fmt.Sprintf("life %d, after %d", b.Life, most)}}})
		} else {
			l.lives[s.Address] = b.Life
		}
	}
	for name, sides := range named {
		if len(sides) > 1 {
			found = append(found, Disagreement{Kind: NameTwice, About: name, Sides: sides})
		}
	}
	return found
}

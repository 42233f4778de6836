// Package admission decides which forwarders a governor takes in now, and which are told to come back, and when. It is
// free of I/O: a caller hands it the time and what asks, and carries out the answer.
//
// A join costs the governor a snapshot, a bind, and all withdrawals anew for late joiners, so joins are let in at a rate, with
// a burst for the everyday restart of a few forwarders. What comes beyond it is not dropped in silence: it is deferred, with
// a time to come back at which there will be room, spread by chance so that a storm does not come back as a storm.
//
//	state     input                  next state  effect
//	calm      join, a token is left  calm        admit
//	calm      join, none is left     storm       defer to the next free place
//	storm     join, its place is due storm       admit
//	storm     join, another          storm       defer to the next free place
//	storm     all places have passed calm        -
//	any       join, fleet full       -           shed: the fleet is as large as it may be
//
// Guarantees: no more than Burst + Rate x span joins are admitted in any span; a deferred forwarder that comes back at its time
// is admitted then, or deferred once more only if it came early; what is remembered is bounded by Most names.
package admission

import (
	"encoding/binary"
	"hash/fnv"

	"peppervale/internal/model"
)

// Limits are what a governor can take. A zero Rate lets everybody in.
type Limits struct {
	Rate       float64 // joins a second
	Burst      int     // joins at once
	MaxProxies int     // forwarders joined; 0: no bound
	Jitter     float64 // of the wait, by chance: 0.2 adds up to a fifth
	Seed       uint64
}

// Decision is the answer to a join.
type Decision uint8

// The three answers.
const (
	Admit  Decision = iota
	Defer           // come back after the time given
	Reject          // no room for one more forwarder; come back much later, or elsewhere
)

// shedFor is how long a shed forwarder stays away: as long as it takes a whole fleet to move to another governor.
const shedFor = 10 * model.Second

// placesMost bounds the places given out; beyond it a forwarder is told a time without one and waits anew then.
const placesMost = 65536

// Controller keeps the state. Make it with New.
type Controller struct {
	bounds  Limits
	tokens  float64
	filled  model.Microseconds
	places  map[string]model.Microseconds // by name: when it may come
	next    model.Microseconds            // the next free place
	count   uint64
	Stats   Stats
	storms  bool
	stormAt model.Microseconds
}

// Stats count answers.
type Stats struct{ Admitted, Deferred, Rejected, Storms uint64 }

// New makes a gate that is calm and full of tokens.
func New(b Limits, now model.Microseconds) *Controller {
	return &Controller{bounds: b, tokens: float64(max(b.Burst, 1)), filled: now, places: map[string]model.Microseconds{}}
}

// SetLimits changes the bounds while the gate is in use. Places that were given out stand; tokens beyond a smaller burst are gone.
func (g *Controller) SetLimits(b Limits, now model.Microseconds) {
	g.fill(now)
	b.Seed = g.bounds.Seed // chance goes on where it was
	g.bounds = b
	g.tokens = min(g.tokens, g.most(-1))
	if b.Rate <= 0 { // nobody is put off any more, so no place is worth keeping
		g.storms = false
		clear(g.places)
	}
}

// Storm tells whether places are given out now.
func (g *Controller) Storm() bool { return g.storms }

// Join answers a forwarder that asks now, while so many are joined. after is when a deferred or shed one may come back.
func (g *Controller) Join(now model.Microseconds, name string, joined int) (v Decision, after model.Microseconds) {
	g.fill(now)
	if g.bounds.MaxProxies > 0 && joined >= g.bounds.MaxProxies {
		g.Stats.Rejected++
		return Reject, g.spread(shedFor)
	}
	if g.bounds.Rate <= 0 {
		g.Stats.Admitted++
		return Admit, 0
	}
	at, placed := g.places[name]
	switch {
	case placed && now >= at: // its token was set aside when the place was given
		delete(g.places, name)
		g.Stats.Admitted++
		return Admit, 0
	case placed: // early: the place stays
		g.Stats.Deferred++
		return Defer, at - now
	case g.tokens >= 1 && !g.storms:
		g.tokens--
		g.Stats.Admitted++
		return Admit, 0
	}
	return Defer, g.place(now, name)
}

// place gives out the next free place: each is a token of its own, so that who comes back in time finds it.
func (g *Controller) place(now model.Microseconds, name string) model.Microseconds {
	if !g.storms {
		g.storms, g.stormAt = true, now
		g.Stats.Storms++
	}
	gap := model.Microseconds(float64(model.Second) / g.bounds.Rate)
	g.next = max(g.next, now) + gap
	g.Stats.Deferred++
	wait := g.next - now
	if len(g.places) < placesMost {
		g.places[name] = g.next
	}
	return wait + g.jitter(model.Microseconds(g.bounds.Jitter*float64(gap)))
}

// fill adds tokens for the time that passed. In a storm they go to the places; it is over once the last one is past and
// nobody may still hold one.
func (g *Controller) fill(now model.Microseconds) {
	span := now - g.filled
	g.filled = now
	if !g.storms {
		g.tokens = min(g.tokens+g.most(span), g.most(-1))
		return
	}
	if now < g.next {
		return
	}
	// Places whose holders did not come are void after as long again as the storm took: they went elsewhere.
	void := 2*g.next - g.stormAt
	for name, at := range g.places {
		if now > void || at <= g.stormAt {
			delete(g.places, name)
		}
	}
	if len(g.places) == 0 || now > void {
		g.storms, g.tokens = false, g.most(now-g.next) // what has come in since its last place
		clear(g.places)
	}
}

// most is the tokens of a span, a burst at most; of a negative one it is the burst.
func (g *Controller) most(span model.Microseconds) float64 {
	burst := float64(max(g.bounds.Burst, 1))
	if span < 0 {
		return burst
	}
	return min(burst, float64(span)/float64(model.Second)*g.bounds.Rate)
}

func (g *Controller) spread(span model.Microseconds) model.Microseconds {
	return span + g.jitter(model.Microseconds(g.bounds.Jitter*float64(span)))
}

// jitter draws from 0 up to most, by the seed and a counter.
func (g *Controller) jitter(most model.Microseconds) model.Microseconds {
	if most <= 0 {
		return 0
	}
	g.count++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], g.bounds.Seed)
	binary.LittleEndian.PutUint64(b[8:], g.count)
	h.Write(b[:])
	return model.Microseconds(h.Sum64() % uint64(most))
}

package simulation

import (
	"hash/fnv"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"peppervale/internal/model"
)

// Core is simulated time. The zero Core stands at 0 with nothing booked.
type Core struct {
	now    model.Microseconds
	booked uint64
	queue  []event
	Events uint64 // that have happened
}

// event is something that happens at a time; of one moment the one booked first goes first.
type event struct {
	at     model.Microseconds
	number uint64
	do     func()
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.number < b.number }

// Now is the simulated time, microseconds from the start.
func (c *Core) Now() model.Microseconds { return c.now }

// After books something; a span below 0 counts as 0. The queue is a heap of four children a node, which has half the levels of one with
// two: most of an event's cost is in its way up and down.
func (c *Core) After(span model.Microseconds, do func()) {
	c.booked++
	c.queue = append(c.queue, event{c.now + max(span, 0), c.booked, do})
	q := c.queue
	for i := len(q) - 1; i > 0; {
		up := (i - 1) / 4
		if !q[i].before(&q[up]) {
			break
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
}

// Run lets everything happen that is due until the time, and leaves the clock there.
func (c *Core) Run(until model.Microseconds) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := c.pop()
		c.now = e.at
		c.Events++
		e.do()
	}
	c.now = max(c.now, until)
}

func (c *Core) pop() event {
	q := c.queue
	first, last := q[0], len(q)-1
	q[0] = q[last]
	q[last] = event{}
	q = q[:last]
	c.queue = q
	for i := 0; ; {
		least := i
		for k := 4*i + 1; k <= 4*i+4 && k < last; k++ {
			if q[k].before(&q[least]) {
				least = k
			}
		}
		if least == i {
			return first
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
}

// Chance is a stream of draws of its own.
type Chance struct{ *rand.Rand }

// NewChance makes the stream of a name under a seed.
func NewChance(seed uint64, name string) Chance {
	h := fnv.New64a()
	h.Write([]byte(name))
	return Chance{rand.New(rand.NewPCG(seed, h.Sum64()))}
}

// Exponential draws a span of this mean.
func (c Chance) Exponential(mean model.Microseconds) model.Microseconds {
	return model.Microseconds(distuv.Exponential{Rate: 1 / float64(mean), Src: c}.Rand() + 0.5)
}

// LogNormal draws a span of this mean; spread is the deviation of its logarithm, 0 for none.
func (c Chance) LogNormal(mean model.Microseconds, spread float64) model.Microseconds {
	if spread <= 0 {
		return mean
	}
	return model.Microseconds(float64(mean)*distuv.LogNormal{Mu: -spread * spread / 2, Sigma: spread, Src: c}.Rand() + 0.5)
}

package admission

import "peppervale/internal/model"

// Limits are how many connections a controller admits. A Rate of 0 or less admits all up to MaxProxies.
type Limits struct {
	Rate       float64 // connections a second
	Burst      int     // connections at once; at least 1 is allowed
	MaxProxies int     // proxies connected at the same time; 0 or less: no limit
	Jitter     float64 // random part of a wait: 0.2 adds up to a fifth
	Seed       uint64  // of the random part
}

// Decision is the answer to a connection.
type Decision uint8

// The decisions.
const (
	Admit  Decision = iota
	Defer           // retry after the time given, for which a token is reserved
	Reject          // no capacity for one more proxy: retry much later, or at another controller
)

// rejectRetryAfter is the Retry-After of a rejected proxy: as long as it takes a whole fleet to move to another
// controller.
const rejectRetryAfter = 10 * model.Second

// maxReservations bounds the memory. A proxy beyond it gets a Retry-After without reservation.
const maxReservations = 65536

// Controller is the admission control of connections. Make it with New. It belongs to one goroutine at a time.
type Controller struct {
	Stats Stats // to be read only

	limits     Limits
	jitter     jitterSource
	tokens     float64
	refilledAt model.Microseconds

	inStorm          bool
	stormStartedAt   model.Microseconds
	reservations     map[string]model.Microseconds // by proxy name: when it may connect
	lastReservedTime model.Microseconds            // the latest that was reserved
}

// Stats count decisions.
type Stats struct {
	Admitted, Deferred, Rejected uint64
	Storms                       uint64 // times that the state went from normal to storm
}

// New makes a controller in the normal state with a full burst of tokens.
func New(limits Limits, now model.Microseconds) *Controller {
	controller := &Controller{
		limits:       limits,
		jitter:       jitterSource{seed: limits.Seed},
		refilledAt:   now,
		reservations: map[string]model.Microseconds{},
	}
	controller.tokens = controller.burst()
	return controller
}

// SetLimits changes the limits while the controller is in use, but not the seed, which stays that of New.
// Reservations stay; tokens beyond a smaller burst are lost.
func (c *Controller) SetLimits(limits Limits, now model.Microseconds) {
	c.refill(now)
	c.limits = limits
	c.tokens = min(c.tokens, c.burst())
	if limits.Rate <= 0 { // all proxies are admitted, so no reservation is needed
		c.inStorm = false
		clear(c.reservations)
	}
}

// InStorm reports whether connections get reservations now.
func (c *Controller) InStorm() bool { return c.inStorm }

// Decide decides on a proxy that connects now, while some number of proxies are connected. retryAfter is how long a
// deferred or rejected proxy should wait; for an admitted one it is 0.
func (c *Controller) Decide(
	now model.Microseconds, name string, connected int,
) (decision Decision, retryAfter model.Microseconds) {
	c.refill(now)
	if c.limits.MaxProxies > 0 && connected >= c.limits.MaxProxies {
		return c.reject()
	}
	if c.limits.Rate <= 0 {
		return c.admit()
	}
	if reservedTime, isReserved := c.reservations[name]; isReserved {
		return c.useReservation(now, name, reservedTime)
	}
	if c.tokens >= 1 && !c.inStorm {
		c.tokens--
		return c.admit()
	}
	return c.reserve(now, name)
}

func (c *Controller) admit() (Decision, model.Microseconds) {
	c.Stats.Admitted++
	return Admit, 0
}

func (c *Controller) reject() (Decision, model.Microseconds) {
	c.Stats.Rejected++
	spread := model.Microseconds(c.limits.Jitter * float64(rejectRetryAfter))
	return Reject, rejectRetryAfter + c.jitter.draw(spread)
}

// useReservation admits a proxy whose reserved time has come: its token was taken when the reservation was made. One
// that comes early keeps its reservation.
func (c *Controller) useReservation(
	now model.Microseconds, name string, reservedTime model.Microseconds,
) (Decision, model.Microseconds) {
	if now < reservedTime {
		c.Stats.Deferred++
		return Defer, reservedTime - now
	}
	delete(c.reservations, name)
	return c.admit()
}

// reserve defers a proxy until the next free reservation. Each is a token of its own, so that a proxy which comes back
// in time finds one.
func (c *Controller) reserve(now model.Microseconds, name string) (Decision, model.Microseconds) {
	c.Stats.Deferred++
	if !c.inStorm {
		c.inStorm = true
		c.stormStartedAt = now
		c.Stats.Storms++
	}
	interval := model.Microseconds(float64(model.Second) / c.limits.Rate)
	c.lastReservedTime = max(c.lastReservedTime, now) + interval
	if len(c.reservations) < maxReservations {
		c.reservations[name] = c.lastReservedTime
	}
	spread := model.Microseconds(c.limits.Jitter * float64(interval))
	return Defer, c.lastReservedTime - now + c.jitter.draw(spread)
}

// refill adds the tokens of the time that has passed. In a storm these tokens are the reservations; the storm ends once
// the last one is past and none is outstanding.
func (c *Controller) refill(now model.Microseconds) {
	elapsed := now - c.refilledAt
	c.refilledAt = now
	if !c.inStorm {
		c.tokens = min(c.tokens+c.tokensOf(elapsed), c.burst())
		return
	}
	if now < c.lastReservedTime {
		return
	}
	c.dropExpiredReservations(now)
	if len(c.reservations) == 0 {
		c.inStorm = false
		c.tokens = c.tokensOf(now - c.lastReservedTime)
	}
}

// dropExpiredReservations forgets reservations that were not used for as long again as the storm took: their proxies
// have probably connected to another controller. It also forgets those from before the storm.
func (c *Controller) dropExpiredReservations(now model.Microseconds) {
	expiredFrom := 2*c.lastReservedTime - c.stormStartedAt
	for name, reservedTime := range c.reservations {
		if now > expiredFrom || reservedTime <= c.stormStartedAt {
			delete(c.reservations, name)
		}
	}
}

// burst returns the most tokens that there may be.
func (c *Controller) burst() float64 { return float64(max(c.limits.Burst, 1)) }

// tokensOf returns the tokens of a duration, at most a burst. A negative duration, by a clock that was set back, counts
// as a long one.
func (c *Controller) tokensOf(duration model.Microseconds) float64 {
	if duration < 0 {
		return c.burst()
	}
	return min(c.burst(), float64(duration)/float64(model.Second)*c.limits.Rate)
}

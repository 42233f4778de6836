package admission

import "peppervale/internal/model"

// Limits bounds the connections that a controller admits. With a Rate of 0 or less all are admitted up to MaxProxies.
type Limits struct {
	Rate       float64 // connections per second
	Burst      int     // connections at once; at least 1 is allowed
	MaxProxies int     // proxies connected at the same time; 0 or less: no limit
	Jitter     float64 // random addition to a delay, as a fraction: 0.2 adds up to a fifth
	Seed       uint64  // seed of the jitter
}

// Decision is the response to a connection.
type Decision uint8

// The decisions.
const (
	Admit  Decision = iota
	Defer           // retry after the returned delay; a token is reserved for that time
	Reject          // MaxProxies are connected: retry much later, or at another controller
)

// rejectRetryAfter is the Retry-After of a rejected proxy. A whole fleet can move to another controller within this
// time.
const rejectRetryAfter = 10 * model.Second

// maxReservations bounds the memory. Further proxies get a Retry-After without a reservation.
const maxReservations = 65536

// Controller decides which connections are admitted. Create it with New. It belongs to one goroutine at a time.
type Controller struct {
	Stats Stats // read-only for callers

	limits     Limits
	jitter     jitterSource
	tokens     float64
	refilledAt model.Microseconds

	inStorm            bool
	stormStartedAt     model.Microseconds
	reservations       map[string]model.Microseconds // when a proxy may connect, by its name
	latestReservedTime model.Microseconds            // latest time that was reserved
}

// Stats counts decisions.
type Stats struct {
	Admitted, Deferred, Rejected uint64
	Storms                       uint64 // changes from the normal state to the storm state
}

// New returns a controller in the normal state with a full burst of tokens.
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

// SetLimits changes the limits while the controller is in use, except for the seed, which stays as passed to New.
// Reservations stay valid; tokens beyond a smaller burst are dropped.
func (c *Controller) SetLimits(limits Limits, now model.Microseconds) {
	c.refill(now)
	c.limits = limits
	c.tokens = min(c.tokens, c.burst())
	if limits.Rate <= 0 { // all proxies are admitted, so no reservation is needed
		c.inStorm = false
		clear(c.reservations)
	}
}

// InStorm reports whether the controller is in the storm state, in which connections need a reservation.
func (c *Controller) InStorm() bool { return c.inStorm }

// Decide returns the decision on a proxy that connects now; connected is the number of proxies that are connected
// already. retryAfter is the delay for a deferred or rejected proxy; for an admitted proxy it is 0.
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

// useReservation admits a proxy at or after its reserved time; its token was taken when the reservation was made. A
// proxy that connects too early is deferred and keeps its reservation.
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

// reserve defers a proxy until the next free reservation. Each reservation has its own token, so that a proxy which
// retries in time is admitted.
func (c *Controller) reserve(now model.Microseconds, name string) (Decision, model.Microseconds) {
	c.Stats.Deferred++
	if !c.inStorm {
		c.inStorm = true
		c.stormStartedAt = now
		c.Stats.Storms++
	}
	interval := model.Microseconds(float64(model.Second) / c.limits.Rate)
	c.latestReservedTime = max(c.latestReservedTime, now) + interval
	if len(c.reservations) < maxReservations {
		c.reservations[name] = c.latestReservedTime
	}
	spread := model.Microseconds(c.limits.Jitter * float64(interval))
	return Defer, c.latestReservedTime - now + c.jitter.draw(spread)
}

// refill adds the tokens for the time since the last call. In a storm these tokens are used for the reservations; the
// storm ends once the last reserved time has passed and no reservation is outstanding.
func (c *Controller) refill(now model.Microseconds) {
	elapsed := now - c.refilledAt
	c.refilledAt = now
	if !c.inStorm {
		c.tokens = min(c.tokens+c.tokensFor(elapsed), c.burst())
		return
	}
	if now < c.latestReservedTime {
		return
	}
	c.dropExpiredReservations(now)
	if len(c.reservations) == 0 {
		c.inStorm = false
		c.tokens = c.tokensFor(now - c.latestReservedTime)
	}
}

// dropExpiredReservations removes the unused reservations once the time since the last reserved time exceeds the
// duration of the storm: their proxies have probably connected to another controller. It also removes reservations from
// before the storm.
func (c *Controller) dropExpiredReservations(now model.Microseconds) {
	expireAt := 2*c.latestReservedTime - c.stormStartedAt
	for name, reservedTime := range c.reservations {
		if now > expireAt || reservedTime <= c.stormStartedAt {
			delete(c.reservations, name)
		}
	}
}

// burst returns the capacity of the token bucket.
func (c *Controller) burst() float64 { return float64(max(c.limits.Burst, 1)) }

// tokensFor returns the tokens for a duration, at most a burst. A negative duration, from a clock that was set back,
// gives a full burst.
func (c *Controller) tokensFor(duration model.Microseconds) float64 {
	if duration < 0 {
		return c.burst()
	}
	return min(c.burst(), float64(duration)/float64(model.Second)*c.limits.Rate)
}

package balancer

import "peppervale/internal/model"

const (
	// messageBurst is how many messages a proxy may get at once after a pause: a weight update, and a withdrawal right
	// after it.
	messageBurst = 2
	// repeatedAckRequests is how many messages within the message window the server may send on its own.
	repeatedAckRequests = 1
)

// messagePacing spreads the messages to each proxy over the message window, so that an urgent update waits for at most
// one interval. The message limit alone could be used up in a burst, after which no update could be sent until the
// window has passed. The algorithm is the generic cell rate algorithm (ITU-T I.371).
type messagePacing struct {
	interval model.Microseconds // between the messages to a proxy in the long run; 0: messages are not limited
	burst    int
	// withdrawalsWait: withdrawals of draining or unlisted replicas wait for a message to some of their recipients. Until
	// they are sent, every other update leaves one message for them.
	withdrawalsWait bool
}

// newMessagePacing returns a pacing with the shortest interval at which a burst and the messages after it stay within
// the message limit.
func newMessagePacing(config model.Config) messagePacing {
	if config.MessageLimit == 0 {
		return messagePacing{}
	}
	limit := max(config.MessageLimit-repeatedAckRequests, 1)
	burst := min(messageBurst, limit)
	intervalsInWindow := model.Microseconds(limit - (burst - 1))
	return messagePacing{
		interval: (config.MessageWindow + intervalsInWindow - 1) / intervalsInWindow,
		burst:    burst,
	}
}

// allow reports whether each of the proxies may get a message now. If keepsMessage is set or withdrawals wait, another
// message must be allowed right after it. A proxy that gets the message being written needs no other one.
func (m *messagePacing) allow(now model.Microseconds, proxies []*proxy, keepsMessage bool) bool {
	if m.interval == 0 {
		return true
	}
	for _, p := range proxies {
		if !m.allowProxy(now, p, keepsMessage) {
			return false
		}
	}
	return true
}

// allowProxy is allow for one proxy.
func (m *messagePacing) allowProxy(now model.Microseconds, p *proxy, keepsMessage bool) bool {
	if m.interval == 0 || p.reserved > 0 {
		return true
	}
	tolerance := model.Microseconds(m.burst-1) * m.interval
	if keepsMessage || m.withdrawalsWait {
		tolerance = 0
	}
	return now >= p.messageDueAt-tolerance
}

// recordSent records a message to a proxy.
func (m *messagePacing) recordSent(now model.Microseconds, p *proxy) {
	p.messageDueAt = max(now, p.messageDueAt) + m.interval
}

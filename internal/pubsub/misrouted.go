package pubsub

import (
	"fmt"
	"time"

	"peppervale/internal/model"
)

// unheldRetry is when a proxy whose shard has no lease holder may ask again: a lease changes hands in some multiples of
// it.
const unheldRetry = 100 * time.Millisecond

// maxMisroutedProxies bounds those that are remembered; the others are not counted.
const maxMisroutedProxies = 10_000

// misroutedMemory is how long a misrouted proxy is remembered after it asked: one that cannot reach its own
// controller is back within a dial's timeout and some backoff.
const misroutedMemory = 5 * model.Second

// misroutedProxies are the proxies that asked here for a shard of another controller, by name.
type misroutedProxies map[string]*misroutedProxy

type misroutedProxy struct {
	shard        int
	firstAskedAt model.Microseconds
	lastAskedAt  model.Microseconds
}

// note remembers that a proxy has asked for a shard.
func (m misroutedProxies) note(name string, shard int, now model.Microseconds) {
	known := m[name]
	switch {
	case known != nil && now-known.lastAskedAt < misroutedMemory && known.shard == shard:
		known.lastAskedAt = now
	case known != nil || len(m) < maxMisroutedProxies:
		m[name] = &misroutedProxy{shard: shard, firstAskedAt: now, lastAskedAt: now}
	}
}

// count returns how many proxies have gone on asking for at least so long, by shard, and forgets those that have
// stopped.
func (m misroutedProxies) count(now, atLeast model.Microseconds) map[int]int {
	counts := map[int]int{}
	for name, proxy := range m {
		if now-proxy.lastAskedAt >= misroutedMemory {
			delete(m, name)
		} else if proxy.lastAskedAt-proxy.firstAskedAt >= atLeast {
			counts[proxy.shard]++
		}
	}
	return counts
}

// MisroutedProxies counts the proxies that went on asking here for at least so long, though they were redirected, by
// shard.
func (s *Server) MisroutedProxies(atLeast model.Microseconds) map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misrouted.count(s.config.Now(), atLeast)
}

// LeaseLost ends the streams of a shard whose lease this controller no longer holds. When it returns, no message for
// the shard is in transit.
func (s *Server) LeaseLost(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.streams {
		if conn.stream.shard == shard {
			s.redirect(conn)
		}
	}
}

// redirect ends a proxy whose shard's lease this controller does not hold, and tells it who should; s.mu is held.
func (s *Server) redirect(conn *connection) {
	if conn.Ended() {
		return
	}
	s.stats.Redirected++
	shard := conn.stream.shard
	s.misrouted.note(conn.stream.join.Name, shard, s.config.Now())
	if holder := s.config.Leases.Holder(shard); holder != "" {
		s.endWithError(conn, fmt.Sprintf(errorMoved+" %d %s: join there; keep what you hold", shard, holder))
		return
	}
	s.endWithError(conn, fmt.Sprintf(
		errorMoved+" %d - : nobody has it yet, ask again in %d milliseconds; keep what you hold",
		shard, unheldRetry/time.Millisecond))
}

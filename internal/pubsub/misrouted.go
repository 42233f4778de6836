package pubsub

import (
	"fmt"
	"time"

	"peppervale/internal/model"
)

// noHolderRetryDelay is the retry delay for a proxy whose shard has no lease holder. The transfer of a lease takes a
// few times as long.
const noHolderRetryDelay = 100 * time.Millisecond

// maxMisroutedProxies bounds the number of tracked misrouted proxies; further ones are not counted.
const maxMisroutedProxies = 10_000

// misroutedExpiry is how long a misrouted proxy is tracked after its last join. A proxy that cannot reach its own
// controller joins here again within a dial timeout and some backoff.
const misroutedExpiry = 5 * model.Second

// misroutedProxies holds the proxies that joined here although another controller has their shard, by name.
type misroutedProxies map[string]*misroutedProxy

type misroutedProxy struct {
	shard        int
	firstAskedAt model.Microseconds
	lastAskedAt  model.Microseconds
}

// record records that a proxy of a shard has tried to join.
func (m misroutedProxies) record(name string, shard int, now model.Microseconds) {
	known := m[name]
	switch {
	case known != nil && now-known.lastAskedAt < misroutedExpiry && known.shard == shard:
		known.lastAskedAt = now
	case known != nil || len(m) < maxMisroutedProxies:
		m[name] = &misroutedProxy{shard: shard, firstAskedAt: now, lastAskedAt: now}
	}
}

// count returns, by shard, how many proxies have tried to join for a span of at least atLeast. It removes proxies that
// have stopped trying.
func (m misroutedProxies) count(now, atLeast model.Microseconds) map[int]int {
	counts := map[int]int{}
	for name, proxy := range m {
		if now-proxy.lastAskedAt >= misroutedExpiry {
			delete(m, name)
		} else if proxy.lastAskedAt-proxy.firstAskedAt >= atLeast {
			counts[proxy.shard]++
		}
	}
	return counts
}

// MisroutedProxies returns, by shard, how many proxies have tried to join here for a span of at least atLeast, although
// they were redirected.
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

// redirect ends the connection of a proxy whose shard's lease this controller does not hold. The error that it sends
// contains the address of the lease holder, if known. s.mu is held.
func (s *Server) redirect(conn *connection) {
	if conn.Ended() {
		return
	}
	s.stats.Redirected++
	shard := conn.stream.shard
	s.misrouted.record(conn.stream.join.Name, shard, s.config.Now())
	if holder := s.config.Leases.Holder(shard); holder != "" {
		s.endWithError(conn, fmt.Sprintf(errorMoved+" %d %s: join there; keep what you hold", shard, holder))
		return
	}
	s.endWithError(conn, fmt.Sprintf(
		errorMoved+" %d - : nobody has it yet, ask again in %d milliseconds; keep what you hold",
		shard, noHolderRetryDelay/time.Millisecond))
}

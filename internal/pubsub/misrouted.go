package pubsub

import (
	"fmt"
	"time"

	"peppervale/internal/model"
)

// noHolderRetryDelay is the retry delay for a proxy whose shard has no lease holder. The transfer of a lease takes
// several times this delay, so that the proxy retries a few times.
const noHolderRetryDelay = 100 * time.Millisecond

// maxMisroutedProxies bounds the number of tracked misrouted proxies; further ones are not counted.
const maxMisroutedProxies = 10_000

// misroutedExpiry is how long a misrouted proxy is tracked after its last attempt to join. A proxy that cannot reach
// its own controller tries to join here again after its dial timeout and its retry delay, which together have to be
// shorter than misroutedExpiry.
const misroutedExpiry = 5 * model.Second

// misroutedProxies holds the proxies that tried to join here although this controller does not hold their shard's
// lease, by name.
type misroutedProxies map[string]*misroutedProxy

type misroutedProxy struct {
	shard       int
	firstJoinAt model.Microseconds
	lastJoinAt  model.Microseconds
}

// record records that a proxy of a shard has tried to join.
func (m misroutedProxies) record(name string, shard int, now model.Microseconds) {
	known := m[name]
	switch {
	case known != nil && now-known.lastJoinAt < misroutedExpiry && known.shard == shard:
		known.lastJoinAt = now
	case known != nil || len(m) < maxMisroutedProxies:
		m[name] = &misroutedProxy{shard: shard, firstJoinAt: now, lastJoinAt: now}
	}
}

// count returns, by shard, how many proxies have tried to join for at least minSpan. It removes proxies that
// have stopped trying.
func (m misroutedProxies) count(now, minSpan model.Microseconds) map[int]int {
	counts := map[int]int{}
	for name, proxy := range m {
		if now-proxy.lastJoinAt >= misroutedExpiry {
			delete(m, name)
		} else if proxy.lastJoinAt-proxy.firstJoinAt >= minSpan {
			counts[proxy.shard]++
		}
	}
	return counts
}

// MisroutedProxies returns, by shard, how many proxies have tried to join here for at least minSpan, although they were
// redirected.
func (s *Server) MisroutedProxies(minSpan model.Microseconds) map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.misrouted.count(s.config.Now(), minSpan)
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

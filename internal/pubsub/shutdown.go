package pubsub

import (
	"time"

	"peppervale/internal/codec/resp"
)

// shutdownSteps is the number of steps in which a graceful shutdown asks proxies to join another controller.
const shutdownSteps = 10

// expectedRestartTime is the expected time between a controller's shutdown and its restart at the same address: a
// restart takes 20 ms (peppervale benchmark restart), and 0.15 s with a full journal.
const expectedRestartTime = 200 * time.Millisecond

// Shutdown shuts the channel down gracefully: it asks proxies to join another controller, a tenth of them at a time,
// and returns when the span has passed or all proxies have left. Once it has begun, joins are rejected with the time
// after which this address may accept them again. A proxy that has no other controller may stay connected until the
// end. Shutdown does not close the sockets.
func (s *Server) Shutdown(span time.Duration) {
	s.mu.Lock()
	s.shutdownDeadline = time.Now().Add(span)
	s.mu.Unlock()
	for step := range shutdownSteps {
		if s.requestMoves(step) == 0 {
			return
		}
		select {
		case <-time.After(span / shutdownSteps):
		case <-s.connections.Done():
			return
		}
	}
}

// requestMoves asks the proxies of one step to join another controller. It returns how many proxies are subscribed.
func (s *Server) requestMoves(step int) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subscriber := range s.publishedState.Subscribers {
		conn := s.streams[subscriber.Proxy]
		if conn == nil || int(conn.stream.id%shutdownSteps) != step {
			continue
		}
		encoded := resp.AppendHeader(nil, resp.Push, 2)
		s.connections.Write(conn, appendNumber(encoded, "elsewhere", s.restartDelayMilliseconds()))
	}
	return len(s.publishedState.Subscribers)
}

// isShuttingDown reports whether Shutdown was called; s.mu is held.
func (s *Server) isShuttingDown() bool { return !s.shutdownDeadline.IsZero() }

// restartDelayMilliseconds returns the milliseconds after which the controller is expected at this address again; s.mu
// is held.
func (s *Server) restartDelayMilliseconds() int64 {
	return int64((max(0, time.Until(s.shutdownDeadline)) + expectedRestartTime) / time.Millisecond)
}

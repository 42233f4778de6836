package pubsub

import (
	"time"

	"peppervale/internal/codec/resp"
)

// shutdownSteps is in how many steps a graceful shutdown asks proxies to join another controller.
const shutdownSteps = 10

// restartTime is when a controller that has shut down may be expected at its address again: a process is back in 20 ms
// (peppervale benchmark restart), a start with a full journal takes 0.15 s.
const restartTime = 200 * time.Millisecond

// Shutdown shuts the channel down gracefully: it asks proxies to join another controller, a tenth of them at a time,
// and waits until the span has passed or all have gone. From its beginning no proxy is admitted any more; one that
// tries is answered when this address may answer again. A proxy that has no other controller may stay to the end. It
// leaves the sockets open.
func (s *Server) Shutdown(span time.Duration) {
	s.mu.Lock()
	s.shutdownEnds = time.Now().Add(span)
	s.mu.Unlock()
	for step := range shutdownSteps {
		if s.sendElsewhere(step) == 0 {
			return
		}
		select {
		case <-time.After(span / shutdownSteps):
		case <-s.connections.Done():
			return
		}
	}
}

// sendElsewhere asks the proxies of one step to join another controller, and returns how many proxies are subscribed.
func (s *Server) sendElsewhere(step int) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subscriber := range s.published.Subscribers {
		conn := s.streams[subscriber.Proxy]
		if conn == nil || int(conn.stream.id%shutdownSteps) != step {
			continue
		}
		encoded := resp.AppendHeader(nil, resp.Push, 2)
		s.connections.Write(conn, appendNumber(encoded, "elsewhere", s.backIn()))
	}
	return len(s.published.Subscribers)
}

// isShuttingDown reports whether Shutdown was called; s.mu is held.
func (s *Server) isShuttingDown() bool { return !s.shutdownEnds.IsZero() }

// backIn is in how many milliseconds a controller that shuts down may be here again; s.mu is held.
func (s *Server) backIn() int64 {
	return int64((max(0, time.Until(s.shutdownEnds)) + restartTime) / time.Millisecond)
}

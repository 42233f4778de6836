package console

import (
	"fmt"
	"net/http"
	"time"

	"peppervale/internal/console/httpserver"
)

const (
	// maxStreams bounds the live streams that are open at the same time.
	maxStreams = 256

	// streamInterval is the time between two lines of a live stream.
	streamInterval = time.Second
)

// serveLive streams a line about the current state every second, as server-sent events. A viewer that does not read is
// disconnected when a line cannot be written before the write deadline.
func (s *Server) serveLive(w http.ResponseWriter, r *http.Request) {
	if !s.tryOpenStream() {
		w.Header().Set("Retry-After", "5")
		httpserver.WriteText(w, http.StatusServiceUnavailable, "many viewers hold live streams; reload by hand")
		return
	}
	defer s.closeStream()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	responseController := http.NewResponseController(w)
	ticker := time.NewTicker(streamInterval)
	defer ticker.Stop()
	for {
		// A connection that supports no deadlines is served without one.
		_ = responseController.SetWriteDeadline(time.Now().Add(httpserver.WriteTimeout))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", s.liveLine()); err != nil {
			return
		}
		if err := responseController.Flush(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		case <-s.http.Done():
			return
		}
	}
}

// tryOpenStream counts another open stream. It reports false if maxStreams streams are open.
func (s *Server) tryOpenStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openStreams >= maxStreams {
		return false
	}
	s.openStreams++
	return true
}

func (s *Server) closeStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openStreams--
}

// liveLine describes the current state in one line. Programs read it, so its words must not change.
func (s *Server) liveLine() string {
	stats := s.source.Stats()
	now := s.instance.Now()
	line := fmt.Sprintf("%d forwarders, version %d, %d lines wait", stats.Proxies, stats.Version, stats.QueuedEntries)
	view := s.source.View()
	if view == nil {
		return line
	}
	return line + fmt.Sprintf(", gate %s, %d of %d replicas ready, last step %s",
		safeModeValue(view.SafeModeEnded), view.ReadyReplicas, view.ListedReplicas, FormatAge(now, view.At))
}

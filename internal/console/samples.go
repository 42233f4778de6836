package console

import (
	"slices"

	"peppervale/internal/model"
)

// maxSamples bounds the time series: 15 minutes of one sample a second.
const maxSamples = 900

// sample is a point of the time series.
type sample struct {
	at            model.Microseconds
	proxies       int
	readyReplicas int
	queuedEntries int
	messages      uint64 // counters since the controller started
	entries       uint64
	mergedReports uint64
}

// collectSamples takes a sample every second until the server is closed.
func (s *Server) collectSamples() {
	defer s.sampleLoop.Done()
	s.http.RunEvery(sampleInterval, s.takeSample)
}

// takeSample appends a sample. It reads only counters and does not request a detailed view.
func (s *Server) takeSample() {
	stats := s.source.Stats()
	current := sample{
		at:            s.instance.Now(),
		proxies:       stats.Proxies,
		queuedEntries: stats.QueuedEntries,
		messages:      stats.Messages,
		entries:       stats.Entries,
	}
	if view := s.source.View(); view != nil {
		current.readyReplicas = view.ReadyReplicas
		current.mergedReports = view.MergedReports
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, current)
	if surplus := len(s.samples) - maxSamples; surplus > 0 {
		s.samples = slices.Delete(s.samples, 0, surplus)
	}
}

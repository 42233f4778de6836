package platform

// Stats holds counters since the start, and gauges where a field says "now". It is logged as JSON; the keys are those
// of earlier versions.
type Stats struct {
	ConnectionStats
	ProtocolErrorStats
	StreamStats
	PublishStats
	ReportStats
}

// ConnectionStats describes connections.
type ConnectionStats struct {
	Proxies         int    `json:"Proxies"`     // joined now
	Collectors      int    `json:"Collectors"`  // registered now
	Connections     int    `json:"Connections"` // open now
	EndedBeforeJoin uint64 `json:"Strangers"`   // ended without having joined
	Rejected        uint64 `json:"Refused"`     // of those ended without having joined: sent the reason
	Evicted         uint64 `json:"Evicted"`     // of those ended without having joined: closed at the connection limit
}

// ProtocolErrorStats describes invalid input.
type ProtocolErrorStats struct {
	InvalidMessages uint64 `json:"Spoilt"` // on joined connections: dropped, or counted as the oldest pending ack
	ProtocolErrors  uint64 `json:"Faults"` // joined connections closed because their bytes could not be decoded
}

// StreamStats describes why streams were closed, and the acknowledgements that were requested again.
type StreamStats struct {
	ClosedAsSilent uint64 `json:"Silent"`     // closed because the proxy was silent
	ClosedAsSlow   uint64 `json:"Slow"`       // closed because the proxy read or acknowledged too slowly
	Replaced       uint64 `json:"Replaced"`   // closed because the proxy joined again
	AckRetries     uint64 `json:"AskedAgain"` // acknowledgements requested again
}

// PublishStats describes the updates sent.
type PublishStats struct {
	Updates uint64 `json:"Updates"`
	Entries uint64 `json:"Lines"` // sum of the costs of the updates, in entries
	Bytes   uint64 `json:"Bytes"`
}

// ReportStats describes the reports of proxies and collectors.
type ReportStats struct {
	LoadReports   uint64 `json:"Sums"`
	Attempts      uint64 `json:"Tries"` // in load reports
	PendingAcks   int    `json:"Owed"`  // acknowledgements pending now
	UsageRequests uint64 `json:"Usage"` // requests in usage messages
}

// Stats returns the current statistics.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Proxies = len(s.streams)
	stats.Connections = s.connections.Count()
	stats.Bytes = s.connections.BytesWritten()
	for _, zoneCollectors := range s.collectors {
		stats.Collectors += len(zoneCollectors)
	}
	for _, stream := range s.streams {
		stats.PendingAcks += len(stream.acks.pending)
	}
	return stats
}

package platform

// Stats are counts since the start, and gauges of now where a field says so. They are logged as JSON; the keys are
// those of earlier versions.
type Stats struct {
	ConnectionStats
	ProtocolErrorStats
	StreamStats
	PublishStats
	ReportStats
}

// ConnectionStats describe connections.
type ConnectionStats struct {
	Proxies         int    `json:"Proxies"`     // joined now
	Collectors      int    `json:"Collectors"`  // registered now
	Connections     int    `json:"Connections"` // open now
	Unauthenticated uint64 `json:"Strangers"`   // ended without having joined
	Rejected        uint64 `json:"Refused"`     // of them, those that were sent a reason
	Evicted         uint64 `json:"Evicted"`     // of them, those that made room
}

// ProtocolErrorStats describe input that was of no use.
type ProtocolErrorStats struct {
	MalformedMessages uint64 `json:"Spoilt"` // dropped, or taken as the oldest acknowledgement
	ProtocolErrors    uint64 `json:"Faults"` // joined connections closed as their bytes could not be read
}

// StreamStats describe how streams ended, and the acknowledgements that they were asked for again.
type StreamStats struct {
	Silent     uint64 `json:"Silent"`     // closed because nothing came any more
	Slow       uint64 `json:"Slow"`       // closed because too much waited for the peer
	Replaced   uint64 `json:"Replaced"`   // closed because the proxy has joined again
	AckRetries uint64 `json:"AskedAgain"` // acknowledgements asked for again
}

// PublishStats describe what was sent.
type PublishStats struct {
	Updates uint64 `json:"Updates"`
	Entries uint64 `json:"Lines"` // by cost
	Bytes   uint64 `json:"Bytes"`
}

// ReportStats describe what proxies and collectors reported.
type ReportStats struct {
	LoadReports   uint64 `json:"Sums"`
	Attempts      uint64 `json:"Tries"` // in load reports
	PendingAcks   int    `json:"Owed"`  // acknowledgements that streams owe now
	UsageRequests uint64 `json:"Usage"` // requests in usage messages
}

// Stats returns the figures of now.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Proxies = len(s.streams)
	stats.Connections = s.connections.Count()
	stats.Bytes = s.connections.BytesWritten()
	for _, ofZone := range s.collectors {
		stats.Collectors += len(ofZone)
	}
	for _, stream := range s.streams {
		stats.PendingAcks += len(stream.acks.pending)
	}
	return stats
}

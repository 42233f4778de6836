package pubsub

// Stats holds counters since the start, and gauges where a field says "now".
type Stats struct {
	Proxies          int    `json:"forwarders"`       // proxies admitted now
	Observers        int    `json:"observers"`        // now
	Connections      int    `json:"connections"`      // open now
	Version          uint64 `json:"version"`          // version published now
	QueuedEntries    int    `json:"queue_lines"`      // entries queued now
	MaxQueuedEntries int    `json:"queue_most_lines"` // most entries queued at any time
	Messages         uint64 `json:"messages"`         // messages sent to proxies
	Entries          uint64 `json:"lines"`            // sum of the costs of these messages, in entries
	Bytes            uint64 `json:"bytes"`
	SnapshotFolds    uint64 `json:"snapshot_folds"` // slow readers whose changes were folded into a snapshot
	Resyncs          uint64 `json:"resyncs"`        // snapshots sent in answer to RESYNC
	ProtocolErrors   uint64 `json:"faults"`         // connections ended for a protocol error
	Replaced         uint64 `json:"replaced"`       // streams closed because the proxy joined again
	JoinsDeferred    uint64 `json:"joins_deferred"`
	JoinsRejected    uint64 `json:"joins_shed"`
	JoinStorms       uint64 `json:"join_storms"`
	UnsentBytes      int64  `json:"unsent_bytes"` // bytes unsent to all peers now
	RateLimited      uint64 `json:"put_off"`      // peers that exceeded the command rate
	Redirected       uint64 `json:"moved"`        // peers redirected because another controller has their shard
	Fenced           uint64 `json:"fenced"`       // messages that proxies ignored because their epoch was old
	HeldBytes        int64  `json:"held_bytes"`   // memory of commands that have not arrived completely, now
	OverMemory       uint64 `json:"held_put_off"` // peers that exceeded the limits on this memory
	UnreadReplies    uint64 `json:"unread"`       // peers ended because they did not read their replies
	NamesForgotten   uint64 `json:"forgotten"`    // names of proxies that were forgotten for new ones
	Silent           uint64 `json:"silent"`       // streams ended because their proxies were silent
	// IncarnationsRaised counts the JOINs that showed that the incarnation was used before.
	IncarnationsRaised uint64 `json:"lives_raised"`
}

// Stats returns the current statistics.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Proxies = len(s.publishedState.Subscribers)
	stats.Observers = s.observerCount
	stats.Connections = s.connections.Count()
	stats.Version = s.publishedState.Version
	stats.QueuedEntries = s.queue.waitingEntries
	stats.MaxQueuedEntries = s.queue.maxWaitingEntries
	stats.Bytes = s.connections.BytesWritten()
	stats.JoinsDeferred = s.joins.Stats.Deferred
	stats.JoinsRejected = s.joins.Stats.Rejected
	stats.JoinStorms = s.joins.Stats.Storms
	stats.UnsentBytes = s.connections.UnsentBytes()
	stats.HeldBytes = s.connections.HeldBytes()
	return stats
}

// ExpectedRates returns the sums of the request rates that joined proxies expect, by shard.
func (s *Server) ExpectedRates() map[int]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := map[int]float64{}
	for _, c := range s.streams {
		rates[c.stream.shard] += c.stream.join.ExpectedRate
	}
	return rates
}

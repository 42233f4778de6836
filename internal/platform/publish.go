package platform

import (
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/snapshot"
)

// Publish applies a batch and sends one message on each stream that the batch affects. A stream whose peer reads or
// acknowledges too slowly is closed.
func (s *Server) Publish(batch *snapshot.Batch) {
	s.mu.Lock()
	var slowConnections []*connection
	for _, delivery := range s.publishedState.Apply(batch) {
		stream := s.streams[delivery.Subscriber.Proxy]
		if stream == nil || stream.subscriber != delivery.Subscriber {
			continue
		}
		if err := s.deliver(stream, delivery); err != nil {
			s.config.Log.Error().Int("proxy", int(stream.proxy)).Err(err).Msg("update dropped: encoding failed")
			continue
		}
		if s.isSlow(stream) {
			slowConnections = append(slowConnections, stream.conn)
		}
	}
	s.stats.ClosedAsSlow += uint64(len(slowConnections))
	for _, c := range slowConnections {
		s.config.Log.Warn().Int("proxy", int(c.stream.proxy)).Int64("unsent_bytes", c.UnsentBytes()).
			Int("pending_acks", len(c.stream.acks.pending)).Msg("stream closed: proxy reads or acknowledges too slowly")
	}
	s.unregister(slowConnections...)
	s.mu.Unlock()
	s.connections.CloseOnPoller(slowConnections...)
}

// isSlow reports whether a stream has too many unsent bytes or pending acknowledgements; s.mu is held.
func (s *Server) isSlow(stream *stream) bool {
	return s.exceedsUnsentLimit(stream.conn) || len(stream.acks.pending) > maxPendingAcks
}

// deliver writes a message to a stream; s.mu is held. It returns an error if the lists do not fit into an update.
func (s *Server) deliver(stream *stream, delivery snapshot.Delivery) error {
	message := delivery.Message
	update := s.buildUpdate(stream, delivery)
	encoded, err := update.Append(nil)
	if err != nil {
		return err
	}
	if message.AckSequence >= 0 {
		stream.acks.newestSequence = uint32(message.AckSequence)
		s.addPendingAck(&stream.acks, s.config.Now())
	}
	s.stats.Updates++
	s.stats.Entries += uint64(message.Cost)
	s.connections.Write(stream.conn, encoded)
	return nil
}

// buildUpdate converts a message to a platform update and adds the readmissions that the stream needs; s.mu is held.
func (s *Server) buildUpdate(stream *stream, delivery snapshot.Delivery) platformmsg.Update {
	message := delivery.Message
	update := platformmsg.Update{
		Full:        message.Full && len(delivery.OperationTables) == 0,
		AckSequence: message.AckSequence,
		Entries:     s.namedEntries(message.Entries),
	}
	for _, table := range delivery.OperationTables {
		update.OperationTables = append(update.OperationTables, platformmsg.OperationTable{
			Operations: s.operationNames(table.Operations),
			Full:       table.Full,
			Entries:    s.namedEntries(table.Entries),
		})
	}
	for _, withdrawal := range message.Withdrawals {
		name := s.config.ReplicaNames.Name(withdrawal.Replica)
		if withdrawal.Withdrawn {
			update.Withdrawn = append(update.Withdrawn, name)
		} else {
			update.Readmitted = append(update.Readmitted, name)
		}
		stream.readmissions.markSettled(withdrawal.Replica)
	}
	for _, replica := range stream.readmissions.replicasToReadmit(delivery, s.spareReadmissionCount(stream, message)) {
		update.Readmitted = append(update.Readmitted, s.config.ReplicaNames.Name(replica))
	}
	for _, quota := range message.Quotas {
		for _, operation := range s.operationNames(quota.Operations) {
			update.Quotas = append(update.Quotas, platformmsg.Quota{
				Operation:   operation,
				Share:       quota.Share,
				RetryPolicy: quota.RetryPolicy,
			})
		}
	}
	return update
}

// spareReadmissionCount returns how many deferred readmissions fit into a message. Every message is charged for one
// quota per operation, and few messages contain quotas. The unused part is available while no acknowledgement is
// pending.
func (s *Server) spareReadmissionCount(stream *stream, message *pubsubmsg.Message) int {
	if message.Full || len(stream.acks.pending) > 0 {
		return 0
	}
	return len(s.config.Operations) - len(message.Quotas)
}

// namedEntries converts table entries to the platform's form, in which replicas have names.
func (s *Server) namedEntries(entries []pubsubmsg.Entry) (named []platformmsg.Entry) {
	for _, entry := range entries {
		named = append(named, platformmsg.Entry{Replica: s.config.ReplicaNames.Name(entry.Replica), Weight: entry.Weight})
	}
	return named
}

// operationNames returns the names of a set of operations. The bit at an operation's index in Config.Operations selects
// it; 0 means all operations.
func (s *Server) operationNames(operations uint16) (names []string) {
	for i, name := range s.config.Operations {
		if operations>>i&1 == 1 || operations == 0 {
			names = append(names, name)
		}
	}
	return names
}

package pubsub

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// AdmitProxy starts a joined proxy's stream: it sends the proxy a snapshot and subscribes it to later updates. It must
// be called once for each ProxyConnected, before the next Publish. A stream that has ended in the meantime is ignored.
func (s *Server) AdmitProxy(proxy model.ProxyID, streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.streams[proxy]
	if conn == nil || conn.stream.id != streamID {
		return
	}
	conn.stream.subscriber = s.publishedState.Subscribe(proxy, conn.stream.join.Name)
	s.sendSnapshot(conn)
}

// Publish applies a batch. It queues one message for each affected proxy, to be sent at the channel's pace, and sends
// one message to each observer at once.
func (s *Server) Publish(batch *snapshot.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, delivery := range s.publishedState.Apply(batch) {
		conn := s.streams[delivery.Subscriber.Proxy]
		if conn != nil && conn.stream.subscriber == delivery.Subscriber {
			s.queue.enqueue(batch.At, delivery, conn.stream.id)
		}
	}
	if !batch.Empty() && s.observerCount > 0 {
		s.notifyObservers(batch)
	}
	select {
	case s.wakeSender <- struct{}{}:
	default:
	}
}

// sendDueMessages sends the queued messages that are due; s.mu is held.
func (s *Server) sendDueMessages(now model.Microseconds) {
	for message := s.queue.dequeueDue(now); message != nil; message = s.queue.dequeueDue(now) {
		conn := s.streams[message.delivery.Subscriber.Proxy]
		if conn != nil && conn.stream.id == message.streamID {
			s.send(conn, message.delivery.Message)
		}
	}
}

// sendFoldedSnapshots sends a snapshot to each slow reader that has resumed reading; s.mu is held.
func (s *Server) sendFoldedSnapshots() {
	for conn := range s.slowReaders {
		if conn.UnsentBytes() >= int64(s.config.Limits.UnsentBytes)/2 {
			continue
		}
		if conn.isObserver && s.config.Now()-conn.observedAt < resyncInterval {
			continue
		}
		delete(s.slowReaders, conn)
		if conn.isObserver {
			conn.observedAt = s.config.Now()
			s.sendObserverSnapshot(conn)
		} else {
			s.sendSnapshot(conn)
		}
	}
}

// send writes a message, or folds it into a later snapshot if the proxy reads too slowly; s.mu is held.
func (s *Server) send(conn *connection, message *pubsubmsg.Message) {
	if s.slowReaders[conn] {
		return
	}
	if s.exceedsUnsentBudget(conn) {
		s.fold(conn)
		s.config.Log.Warn().Str("proxy", conn.stream.join.Name).Int64("unsent_bytes", conn.UnsentBytes()).
			Msg("proxy reads slowly: its changes are folded into a snapshot")
		return
	}
	if s.config.Leases != nil {
		epoch, isHolder := s.config.Leases.IsLeaseHolder(conn.stream.shard)
		if !isHolder {
			s.redirect(conn)
			return
		}
		message.Epoch = epoch
	}
	if message.AckSequence >= 0 {
		conn.stream.silence.recordSent(message.AckSequence, s.config.Now())
	}
	s.stats.Messages++
	s.stats.Entries += uint64(message.Cost)
	s.connections.Write(conn, pubsubmsg.Append(nil, message))
}

// sendSnapshot sends a proxy its complete state; s.mu is held.
func (s *Server) sendSnapshot(conn *connection) {
	message := s.publishedState.Snapshot(conn.stream.subscriber)
	message.UpdatedAt = s.config.Now()
	s.send(conn, message)
}

// exceedsUnsentBudget reports whether a peer's unsent bytes exceed the budget, so that it gets a later snapshot instead
// of the next message; s.mu is held.
func (s *Server) exceedsUnsentBudget(conn *connection) bool {
	budget := s.config.Limits.unsentBudget()
	return budget.MustMerge(conn.UnsentBytes(), s.connections.UnsentBytes(), s.connections.Count())
}

// fold marks a slow reader, which gets a snapshot once it resumes reading; s.mu is held.
func (s *Server) fold(conn *connection) {
	s.slowReaders[conn] = true
	s.stats.SnapshotFolds++
}

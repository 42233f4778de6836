package pubsub

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// AdmitProxy starts a joined proxy's stream: it is sent its snapshot, and what is published from now on concerns it. It
// is to be called once for each ProxyConnected, before the next Publish. A stream that has ended meanwhile is ignored.
func (s *Server) AdmitProxy(proxy model.ProxyID, streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.streams[proxy]
	if conn == nil || conn.stream.id != streamID {
		return
	}
	conn.stream.subscriber = s.published.Subscribe(proxy, conn.stream.join.Name)
	s.sendSnapshot(conn)
}

// Publish carries a batch out: one message for each proxy that it concerns, queued at the channel's pace, and one for
// each observer, at once.
func (s *Server) Publish(batch *snapshot.Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, delivery := range s.published.Apply(batch) {
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

// sendDue sends the queued messages that are due; s.mu is held.
func (s *Server) sendDue(now model.Microseconds) {
	for message := s.queue.dequeueDue(now); message != nil; message = s.queue.dequeueDue(now) {
		conn := s.streams[message.delivery.Subscriber.Proxy]
		if conn != nil && conn.stream.id == message.streamID {
			s.send(conn, message.delivery.Message)
		}
	}
}

// sendFolded sends a snapshot to those slow readers that read again; s.mu is held.
func (s *Server) sendFolded() {
	for conn := range s.folded {
		if conn.UnsentBytes() >= int64(s.config.Limits.UnsentBytes)/2 {
			continue
		}
		delete(s.folded, conn)
		if conn.observes {
			s.sendObserverSnapshot(conn)
		} else {
			s.sendSnapshot(conn)
		}
	}
}

// send writes a message, or folds it into a later snapshot if the proxy does not read; s.mu is held.
func (s *Server) send(conn *connection, message *pubsubmsg.Message) {
	if s.folded[conn] {
		return
	}
	if s.hasTooMuchUnsent(conn) {
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
	s.stats.Messages++
	s.stats.Entries += uint64(message.Cost)
	s.connections.Write(conn, pubsubmsg.Append(nil, message))
}

// sendSnapshot sends a proxy all that it should hold by now; s.mu is held.
func (s *Server) sendSnapshot(conn *connection) {
	message := s.published.Snapshot(conn.stream.subscriber)
	message.UpdatedAt = s.config.Now()
	s.send(conn, message)
}

// hasTooMuchUnsent reports whether so much waits for a peer that it gets a snapshot later instead of the next message;
// s.mu is held.
func (s *Server) hasTooMuchUnsent(conn *connection) bool {
	budget := s.config.Limits.budget()
	return budget.MustMerge(conn.UnsentBytes(), s.connections.UnsentBytes(), s.connections.Count())
}

// fold has a slow reader get a snapshot once it reads again; s.mu is held.
func (s *Server) fold(conn *connection) {
	s.folded[conn] = true
	s.stats.SnapshotFolds++
}

package pubsub

import (
	"encoding/json"
	"fmt"

	"peppervale/internal/codec/resp"
	"peppervale/internal/snapshot"
)

// topic is the name of the channel that observers subscribe to.
const topic = "tables"

// subscribe makes the peer an observer: it is sent the complete state and each later version.
func (c *connection) subscribe(args []resp.Value) error {
	if !c.receivedHello {
		return errHelloFirst
	}
	for _, arg := range args {
		if arg.ArgumentText() != topic {
			c.replyError("ERR no topic '%.40s'; there is %s", arg.ArgumentText(), topic)
			return nil
		}
	}
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.connections.Registered(c) { // ended in the meantime
		return errEnded
	}
	if !c.isObserver && server.observerCount >= server.config.Limits.Observers {
		return fmt.Errorf("%d observers are here, no more are taken", server.observerCount)
	}
	c.clearReadDeadline()
	server.writeReply(c, encodeSubscription("subscribe", 1))
	if !c.isObserver && !c.Ended() {
		c.isObserver = true
		server.observerCount++
		server.sendFirstSnapshot(c)
	}
	return nil
}

func (c *connection) unsubscribe([]resp.Value) error {
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	if c.isObserver {
		c.isObserver = false
		server.observerCount--
		delete(server.slowReaders, c)
	}
	server.writeReply(c, encodeSubscription("unsubscribe", 0))
	return nil
}

// encodeSubscription encodes a change of subscription as Redis pushes it.
func encodeSubscription(change string, topics int64) []byte {
	encoded := resp.AppendHeader(nil, resp.Push, 3)
	encoded = resp.AppendBulk(encoded, change)
	return appendNumber(encoded, topic, topics)
}

// encodeTopicMessage encodes a published message as Redis pushes it.
func encodeTopicMessage(text []byte) []byte {
	encoded := resp.AppendHeader(nil, resp.Push, 3)
	encoded = resp.AppendBulk(encoded, "message")
	encoded = resp.AppendBulk(encoded, topic)
	return resp.AppendBulk(encoded, string(text))
}

// notifyObservers sends a batch to all observers; s.mu is held.
func (s *Server) notifyObservers(batch *snapshot.Batch) {
	text, err := json.Marshal(s.changeMessage(batch))
	if err != nil {
		return // only infinite weights fail to encode; the balancer's tests exclude them
	}
	encoded := encodeTopicMessage(text)
	for conn := range s.connections.Sessions() {
		switch {
		case !conn.isObserver || s.slowReaders[conn]:
		case s.exceedsUnsentBudget(conn):
			s.fold(conn)
		default:
			s.connections.Write(conn, encoded)
		}
	}
}

// sendFirstSnapshot sends an observer that has just subscribed the complete state, at most once each resyncInterval: it
// bounds the cost of a peer that subscribes in a loop. Within the interval the observer counts as a slow reader, which
// gets its snapshot later. s.mu is held.
func (s *Server) sendFirstSnapshot(conn *connection) {
	now := s.config.Now()
	if conn.observedAt > 0 && now-conn.observedAt < resyncInterval {
		s.fold(conn)
		return
	}
	conn.observedAt = now
	s.sendObserverSnapshot(conn)
}

// sendObserverSnapshot sends an observer the complete state; s.mu is held.
func (s *Server) sendObserverSnapshot(conn *connection) {
	if text, err := json.Marshal(s.snapshotMessage()); err == nil {
		s.connections.Write(conn, encodeTopicMessage(text))
	}
}

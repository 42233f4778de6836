package platform

import (
	"container/list"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/connserver"
)

// noZone is the collector zone of a connection that does not belong to a collector.
const noZone = -1

// maxInvalidMessagesLogged is how many invalid messages are logged; further ones are only counted.
const maxInvalidMessagesLogged = 20

// errEnded stops the reader of a connection that has ended; it is not reported.
var errEnded = errors.New("connection has ended")

// connection is one connection of a proxy, a collector or an unknown client.
type connection struct {
	connserver.Conn
	server              *Server
	reader              *resp.Reader
	openedAt            model.Microseconds
	lastReceivedAt      atomic.Int64  // in model.Microseconds
	awaitingJoinElement *list.Element // element in Server.awaitingJoin; nil once the peer has joined
	collectorZone       int           // zone of the collector, or noZone
	stream              *stream       // nil unless a proxy has joined on it
}

// registerConnection registers a new connection. Above the connection limit, it closes the oldest connection that has
// not joined.
func (s *Server) registerConnection(socket *nbio.Conn) {
	conn := &connection{server: s, reader: resp.NewReader(platformmsg.MessageLimits), collectorZone: noZone}
	s.mu.Lock()
	conn.openedAt = s.config.Now()
	conn.lastReceivedAt.Store(int64(conn.openedAt))
	s.connections.Register(socket, conn)
	conn.awaitingJoinElement = s.awaitingJoin.PushBack(conn)
	var evictedConnections []*connection
	if s.connections.Count() > s.config.Limits.Connections {
		oldest := s.awaitingJoin.Front().Value.(*connection)
		s.stats.Evicted++
		s.unregister(oldest)
		evictedConnections = append(evictedConnections, oldest)
	}
	s.mu.Unlock()
	s.connections.CloseOnPoller(evictedConnections...)
}

// readMessages decodes received bytes into messages. Bytes that cannot be decoded end the connection.
func (s *Server) readMessages(conn *connection, data []byte) {
	conn.lastReceivedAt.Store(int64(s.config.Now()))
	err := conn.reader.Feed(data, conn.handleMessage)
	if err == nil || errors.Is(err, errEnded) {
		return
	}
	s.mu.Lock()
	hasJoined := conn.awaitingJoinElement == nil
	if hasJoined {
		s.stats.ProtocolErrors++
	}
	s.mu.Unlock()
	if !hasJoined {
		s.reject(conn, err.Error())
		return
	}
	event := s.config.Log.Warn().Err(err)
	if conn.stream != nil {
		event.Int("proxy", int(conn.stream.proxy))
	} else {
		event.Int("collector_zone", conn.collectorZone)
	}
	event.Msg("connection closed: protocol error")
	s.closeConnection(conn)
}

// handleClosed removes a connection whose socket was closed, unless it was removed before.
func (s *Server) handleClosed(conn *connection) {
	s.mu.Lock()
	s.unregister(conn)
	s.mu.Unlock()
}

// reject sends the peer of a connection that has not joined the reason for its rejection, and ends the connection.
func (s *Server) reject(conn *connection, reason string) {
	s.mu.Lock()
	s.stats.Rejected++
	s.connections.Write(conn, platformmsg.AppendRejection(nil, reason))
	s.mu.Unlock()
	s.closeConnection(conn)
}

// closeConnection ends a connection. Its state is removed at once, not only when the poller has closed the socket.
func (s *Server) closeConnection(conn *connection) {
	s.mu.Lock()
	s.unregister(conn)
	s.mu.Unlock()
	s.connections.CloseOnPoller(conn)
}

// unregister removes connections from the server's state and reports the end of their streams; s.mu is held. A
// connection that was removed before is skipped. The caller has to close the sockets.
func (s *Server) unregister(connections ...*connection) {
	for _, c := range connections {
		if !s.connections.Unregister(c) {
			continue
		}
		if c.awaitingJoinElement != nil {
			s.awaitingJoin.Remove(c.awaitingJoinElement)
			s.stats.EndedBeforeJoin++
		}
		if c.collectorZone != noZone {
			s.removeCollector(c)
		}
		if c.stream != nil && s.streams[c.stream.proxy] == c.stream {
			s.removeStream(c.stream)
		}
	}
}

// markJoined marks a connection as joined; s.mu is held.
func (s *Server) markJoined(conn *connection) {
	s.awaitingJoin.Remove(conn.awaitingJoinElement)
	conn.awaitingJoinElement = nil
}

func (s *Server) isAwaitingJoin(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn.awaitingJoinElement != nil
}

// exceedsUnsentLimit reports whether a peer's unsent bytes exceed Limits.UnsentBytes.
func (s *Server) exceedsUnsentLimit(conn *connection) bool {
	return conn.UnsentBytes() > int64(s.config.Limits.UnsentBytes)
}

// handleMessage handles one message. An error ends the connection.
func (c *connection) handleMessage(value resp.Value) error {
	if c.Ended() {
		return errEnded
	}
	message, err := platformmsg.Parse(value)
	if err == nil && message.Kind == platformmsg.KindPing {
		return c.server.answerPing(c)
	}
	if c.server.isAwaitingJoin(c) {
		if err != nil {
			return err
		}
		return c.server.handleGreeting(c, message)
	}
	if err := c.server.handleJoined(c, message, err); err != nil {
		c.server.dropMessage(err)
	}
	return nil
}

// handleGreeting handles the first message of a connection other than a ping. An error is the reason for the
// connection's rejection.
func (s *Server) handleGreeting(conn *connection, message platformmsg.Message) error {
	switch message.Kind {
	case platformmsg.KindProxyJoined:
		return s.join(conn, message)
	case platformmsg.KindCollector:
		return s.registerCollector(conn, message)
	default:
		return fmt.Errorf("%s: nothing has joined on this connection", message.Kind)
	}
}

// handleJoined handles a message of a connection that has joined. An error is the reason why the message is dropped.
func (s *Server) handleJoined(conn *connection, message platformmsg.Message, parseErr error) error {
	if message.Kind == platformmsg.KindAcknowledgement && conn.stream != nil {
		s.acknowledge(conn.stream, message, parseErr)
		return nil
	}
	if parseErr != nil {
		return parseErr
	}
	switch {
	case message.Kind == platformmsg.KindLoadReport && conn.collectorZone != noZone:
		return s.reportLoad(message)
	case message.Kind == platformmsg.KindUsage:
		s.countUsage(message)
		return nil
	default:
		return fmt.Errorf("%s: message not permitted on this connection", message.Kind)
	}
}

// answerPing answers a ping. It closes the connection if the peer does not read the answers: unsent answers count
// towards Limits.UnsentBytes.
func (s *Server) answerPing(conn *connection) error {
	s.mu.Lock()
	s.connections.Write(conn, platformmsg.AppendPong(nil))
	isSlowReader := s.exceedsUnsentLimit(conn)
	if isSlowReader {
		s.stats.ClosedAsSlow++
		s.unregister(conn)
	}
	s.mu.Unlock()
	if !isSlowReader {
		return nil
	}
	s.connections.CloseOnPoller(conn)
	return errEnded
}

// dropMessage counts and logs a message that is dropped because it is malformed or not permitted.
func (s *Server) dropMessage(reason error) {
	s.mu.Lock()
	event := s.countInvalidMessage()
	s.mu.Unlock()
	event.Err(reason).Msg("invalid message dropped")
}

// countInvalidMessage counts an invalid message and returns the event to log it with. After maxInvalidMessagesLogged
// messages it returns nil, which logs nothing. s.mu is held.
func (s *Server) countInvalidMessage() *zerolog.Event {
	s.stats.InvalidMessages++
	if s.stats.InvalidMessages > maxInvalidMessagesLogged {
		return nil
	}
	return s.config.Log.Warn()
}

// zoneIndex returns the index of a zone in Config.Zones; ok is false if no zone has that name.
func (s *Server) zoneIndex(name string) (index int, ok bool) {
	index = slices.Index(s.config.Zones, name)
	return index, index >= 0
}

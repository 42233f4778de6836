package pubsub

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/connserver"
	"peppervale/internal/snapshot"
)

// connection is one connection of a proxy, an observer or an unknown client.
type connection struct {
	connserver.Conn
	server        *Server
	id            uint64
	reader        *resp.Reader
	commandRate   admission.TokenBucket
	commandCount  uint64 // commands that have arrived completely
	receivedHello bool
	isObserver    bool
	unsentReplies int64              // bytes of replies that are unsent, at most
	observedAt    model.Microseconds // when it was last sent the first snapshot of a subscription; 0: never
	stream        stream

	// deadlineCommand is the number of the command by which a read deadline was set that ends the connection unless the
	// command arrives completely; 0: none is set.
	deadlineCommand uint64

	lastReceivedAt atomic.Int64 // in model.Microseconds
}

// stream is the state of a connection on which a proxy joins. The fields join and shard are set once a JOIN was read,
// all other fields once it was accepted.
type stream struct {
	id                 uint64 // 0: not joined
	join               pubsubmsg.Join
	zone               int
	shard              int
	proxy              model.ProxyID
	subscriber         *snapshot.Subscriber // nil until admitted
	lastReportSequence uint64               // number of the newest load report
	resyncedAt         model.Microseconds
	silence            silenceState
}

// An error that ends a connection and tells the peer when or where to join again begins with one of these words; any
// other error that ends a connection begins with ERR.
const (
	errorLater  = "LATER"  // retry after the given time
	errorEnding = "ENDING" // this controller shuts down
	errorMoved  = "MOVED"  // another controller holds the proxy's shard
)

// isExpectedEnd reports whether an error that ends a connection tells the peer when or where to join again. These
// errors are logged at debug level: a join storm causes thousands of them.
func isExpectedEnd(reason string) bool {
	return strings.HasPrefix(reason, errorLater) ||
		strings.HasPrefix(reason, errorEnding) ||
		strings.HasPrefix(reason, errorMoved)
}

// peerLinesPerSecond bounds the log lines about connections that were closed, as peers can cause them at will.
const peerLinesPerSecond = 20

// errEnded stops the reader of a connection that has ended. It is not reported.
var errEnded = errors.New("connection has ended")

func (s *Server) registerConnection(socket *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	conn := &connection{server: s, id: s.lastID, reader: resp.NewReader(resp.Limits{})}
	s.connections.Register(socket, conn)
	if s.connections.Count() > s.config.Limits.Connections {
		s.endWithError(conn, "ERR too many connections; come back later")
		return
	}
	_ = socket.SetReadDeadline(time.Now().Add(s.config.Limits.GreetingTimeout))
	_ = socket.SetWriteBuffer(s.config.Limits.UnsentBytes) // bounds what the kernel buffers for a slow reader
}

// readCommands decodes received bytes into commands. A protocol error ends the connection.
func (s *Server) readCommands(conn *connection, data []byte) {
	conn.lastReceivedAt.Store(int64(s.config.Now()))
	err := conn.reader.Feed(data, conn.handleCommand)
	switch {
	case err == nil:
		s.limitUnfinished(conn)
	case !errors.Is(err, errEnded):
		s.mu.Lock()
		s.stats.ProtocolErrors++
		s.endWithError(conn, "ERR "+err.Error())
		s.mu.Unlock()
	}
}

// endWithError sends a peer the reason why its connection ends, and closes the connection; s.mu is held. It does
// nothing if the connection has already ended.
func (s *Server) endWithError(conn *connection, reason string) {
	if !conn.MarkEnded() {
		return
	}
	level := zerolog.WarnLevel
	if isExpectedEnd(reason) {
		level = zerolog.DebugLevel
	}
	s.peerLog.WithLevel(level).Str("peer", conn.Socket().RemoteAddr().String()).Str("proxy", conn.stream.join.Name).
		Str("reason", reason).Msg("connection closed")
	s.connections.Write(conn, resp.AppendLine(nil, resp.SimpleError, reason))
	_ = conn.Socket().Close()
}

// handleClosed unregisters a connection and reports the end of its stream.
func (s *Server) handleClosed(conn *connection) {
	s.mu.Lock()
	if !s.connections.Unregister(conn) {
		s.mu.Unlock()
		return
	}
	delete(s.slowReaders, conn)
	if conn.isObserver {
		s.observerCount--
	}
	hasStream := conn.stream.id != 0 && s.streams[conn.stream.proxy] == conn
	if hasStream {
		s.removeStream(conn)
	}
	s.mu.Unlock()
	if hasStream {
		s.events.ProxyDisconnected(conn.stream.proxy, conn.stream.id)
	}
}

// removeStream removes a stream and drops its queued messages; s.mu is held.
func (s *Server) removeStream(conn *connection) {
	delete(s.streams, conn.stream.proxy)
	s.names.release(conn.stream.join.Name)
	if conn.stream.subscriber != nil {
		s.publishedState.Unsubscribe(conn.stream.proxy)
	}
	s.queue.dropStream(conn.stream.id)
}

// reply writes a reply.
func (c *connection) reply(encoded []byte) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.server.writeReply(c, encoded)
}

// writeReply writes a reply to a command. It ends the connection if too many bytes of replies are unsent: the peer does
// not read them. Pushes do not count, as slow readers get snapshots. s.mu is held.
func (s *Server) writeReply(conn *connection, encoded []byte) {
	size := int64(len(encoded))
	conn.unsentReplies = min(conn.unsentReplies, conn.UnsentBytes()) + size
	budget := s.config.Limits.unsentBudget()
	if budget.MustMerge(conn.unsentReplies, s.connections.UnsentBytes()+size, s.connections.Count()) {
		s.stats.UnreadReplies++
		s.endWithError(conn, fmt.Sprintf(
			errorLater+" %d milliseconds: over %d bytes of replies are not read; keep what you hold",
			overMemoryRetryDelay.Milliseconds(), s.config.Limits.UnsentBytes))
		return
	}
	s.connections.Write(conn, encoded)
}

// replyError replies with an error and leaves the connection open.
func (c *connection) replyError(format string, args ...any) {
	c.reply(resp.AppendLine(nil, resp.SimpleError, fmt.Sprintf(format, args...)))
}

func (c *connection) replyOK() { c.reply(resp.AppendLine(nil, resp.SimpleString, "OK")) }

// clearReadDeadline removes the deadline by which a peer has to join or subscribe.
func (c *connection) clearReadDeadline() { _ = c.Socket().SetReadDeadline(time.Time{}) }

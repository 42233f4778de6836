package pubsub

import (
	"fmt"
	"slices"
	"strings"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// joinProxy registers the connection as a proxy's stream and reports it, without holding Server.mu. Streams are
// reported in the order in which they are registered.
func (c *connection) joinProxy(args []resp.Value) error {
	if !c.receivedHello {
		return errHelloFirst
	}
	join, err := pubsubmsg.ParseJoin(args)
	if err != nil {
		return err
	}
	server := c.server
	zone := slices.Index(server.config.Zones, join.Zone)
	if zone < 0 {
		return fmt.Errorf("JOIN: no zone %.60q here; there are %s", join.Zone, strings.Join(server.config.Zones, ", "))
	}
	server.joinOrder.Lock()
	defer server.joinOrder.Unlock()
	joined, err := server.registerStream(c, join, zone)
	if err != nil || !joined {
		return err
	}
	server.events.ProxyConnected(c.stream.proxy, c.stream.id, join, zone)
	return nil
}

// registerStream registers a connection as a proxy's stream and answers its JOIN. It ends an older stream of the same
// name. joined is false if the proxy was deferred or redirected.
func (s *Server) registerStream(conn *connection, join pubsubmsg.Join, zone int) (joined bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connections.Registered(conn) { // ended in the meantime
		return false, errEnded
	}
	if conn.stream.id != 0 {
		return false, fmt.Errorf("JOIN: this connection has joined as %q", conn.stream.join.Name)
	}
	conn.stream.join = join
	if s.isShuttingDown() {
		s.endWithError(conn, fmt.Sprintf(
			errorEnding+" this governor ends: join another, or here again in %d milliseconds; keep what you hold",
			s.restartDelayMilliseconds()))
		return false, nil
	}
	epoch, isHolder := s.lookUpLease(conn, zone)
	if !isHolder {
		s.redirect(conn)
		return false, nil
	}
	older := s.streamOf(join.Name)
	if !s.admitJoin(conn, older) || !s.admitIncarnation(conn) {
		return false, nil
	}
	proxy, err := s.proxyID(join.Name)
	if err != nil {
		return false, err
	}
	if older != nil {
		s.removeStream(older)
		s.stats.Replaced++
		s.endWithError(older, "ERR replaced by a newer connection of the same name")
	}
	s.names.use(join.Name)
	s.lastID++
	conn.stream.zone = zone
	conn.stream.proxy = proxy
	conn.stream.id = s.lastID
	s.streams[proxy] = conn
	conn.clearReadDeadline()
	s.answerJoin(conn, epoch)
	return true, nil
}

// lookUpLease stores a proxy's shard and reports whether this controller holds its lease, in an epoch that is not older
// than the newest one the proxy has seen; s.mu is held. Without leases, the controller holds all shards in epoch 0.
func (s *Server) lookUpLease(conn *connection, zone int) (epoch uint64, isHolder bool) {
	if s.config.Leases == nil {
		return 0, true
	}
	join := conn.stream.join
	conn.stream.shard = s.config.Leases.Shard(zone, join.Name)
	epoch, isHolder = s.config.Leases.IsLeaseHolder(conn.stream.shard)
	return epoch, isHolder && epoch >= join.Epoch
}

// streamOf returns the joined connection of a proxy; nil for none. s.mu is held.
func (s *Server) streamOf(name string) *connection {
	if known := s.names.byName[name]; known != nil {
		return s.streams[known.number]
	}
	return nil
}

// admitJoin reports whether a proxy may join now; s.mu is held. An older stream of the same name, which the connection
// replaces, does not count towards the limit; nil if there is none. If the proxy may not join, it is sent a retry delay
// and its connection ends, so that the connection does not count towards the limit either.
func (s *Server) admitJoin(conn, older *connection) bool {
	joined := len(s.streams)
	if older != nil {
		joined--
	}
	decision, retryAfter := s.joins.Decide(s.config.Now(), conn.stream.join.Name, joined)
	if decision == admission.Admit {
		return true
	}
	s.endWithError(conn, fmt.Sprintf(
		errorLater+" %d milliseconds, then join again; keep what you hold", retryAfter/model.Millisecond+1))
	return false
}

// proxyID returns the number of a name, see proxyNames; s.mu is held.
func (s *Server) proxyID(name string) (model.ProxyID, error) {
	proxy, forgotten, err := s.names.number(name, s.config.Limits.ProxyNames)
	if forgotten {
		s.stats.NamesForgotten++
	}
	return proxy, err
}

// answerJoin sends a proxy the incarnation, version, report period and epoch; s.mu is held.
func (s *Server) answerJoin(conn *connection, epoch uint64) {
	encoded := resp.AppendHeader(nil, resp.Map, 4)
	encoded = appendNumber(encoded, "life", int64(s.publishedState.Incarnation))
	encoded = appendNumber(encoded, "version", int64(s.publishedState.Version))
	encoded = appendNumber(encoded, "period", int64(s.config.ReportPeriod))
	encoded = appendNumber(encoded, "epoch", int64(epoch))
	s.connections.Write(conn, encoded)
}

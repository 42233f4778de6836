package platform

import (
	"fmt"
	"strconv"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
	"peppervale/internal/snapshot"
)

// stream is one connection of one proxy that has joined.
type stream struct {
	conn         *connection
	proxy        model.ProxyID
	id           uint64
	subscriber   *snapshot.Subscriber // nil until admitted
	readmissions readmissions
	acks         ackQueue
}

// join registers a proxy's stream and ends an older stream of the same proxy.
func (s *Server) join(conn *connection, message platformmsg.Message) error {
	if s.config.ProxyCount > 0 && message.Proxy >= s.config.ProxyCount {
		return fmt.Errorf("joined: there is no proxy %d", message.Proxy)
	}
	zone, known := s.zoneIndex(message.Zone)
	if !known {
		return fmt.Errorf("joined: there is no site %.40q", message.Zone)
	}
	proxy := model.ProxyID(message.Proxy)
	s.mu.Lock()
	if !s.connections.Registered(conn) { // ended in the meantime
		s.mu.Unlock()
		return errEnded
	}
	var replacedConnections []*connection
	if older := s.streams[proxy]; older != nil {
		s.stats.Replaced++
		s.unregister(older.conn)
		replacedConnections = append(replacedConnections, older.conn)
	}
	s.markJoined(conn)
	s.lastStreamID++
	conn.stream = &stream{conn: conn, proxy: proxy, id: s.lastStreamID}
	s.streams[proxy] = conn.stream
	s.events.ProxyConnected(proxy, conn.stream.id, pubsubmsg.Join{
		Name:            strconv.Itoa(message.Proxy),
		Zone:            message.Zone,
		ExpectedRate:    message.ExpectedRate,
		OnStandingTable: message.OnStandingTable,
	}, zone)
	s.mu.Unlock()
	s.connections.CloseOnPoller(replacedConnections...)
	return nil
}

// AdmitProxy subscribes a joined proxy to the updates published from now on. It sends the proxy nothing. A stream that
// has ended in the meantime is ignored.
func (s *Server) AdmitProxy(proxy model.ProxyID, streamID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.streams[proxy]
	if stream == nil || stream.id != streamID {
		return
	}
	s.admit(stream)
}

// admit subscribes a stream to the updates published from now on; s.mu is held.
func (s *Server) admit(stream *stream) {
	stream.subscriber = s.publishedState.Subscribe(stream.proxy, strconv.Itoa(int(stream.proxy)))
	stream.readmissions.settled = map[model.ReplicaID]bool{}
}

// removeStream removes a stream and reports its end; s.mu is held.
func (s *Server) removeStream(stream *stream) {
	delete(s.streams, stream.proxy)
	if stream.subscriber != nil {
		s.publishedState.Unsubscribe(stream.proxy)
	}
	s.events.ProxyDisconnected(stream.proxy, stream.id)
}

// countUsage counts the requests that a proxy reports.
func (s *Server) countUsage(message platformmsg.Message) {
	s.mu.Lock()
	s.stats.UsageRequests += uint64(message.Attempts)
	s.mu.Unlock()
}

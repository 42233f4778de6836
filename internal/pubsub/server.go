package pubsub

import (
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/admission"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/connserver"
	"peppervale/internal/snapshot"
)

// pollers is the number of pollers that serve the address.
const pollers = 2

// Bounds of the wait between two iterations of sendQueued.
const (
	minSendWait         = 50 * time.Microsecond
	maxSendWait         = time.Hour
	foldedCheckInterval = 10 * time.Millisecond // how often slow readers are checked
)

// Server is the server of a controller's channel. Create it with Listen.
type Server struct {
	config      Config
	events      connserver.ProxyEvents
	connections *connserver.Server[*connection]
	wakeSender  chan struct{}
	peerLog     zerolog.Logger // lines that a peer can cause at will, sampled

	joinOrder sync.Mutex // held from the registration of a stream to its report; taken before mu

	mu               sync.Mutex
	joins            *admission.Controller
	publishedState   *snapshot.State
	queue            pacedQueue
	streams          map[model.ProxyID]*connection // the joined connections, by proxy
	names            proxyNames
	observerCount    int
	slowReaders      map[*connection]bool // slow readers, which get a snapshot once they resume reading
	misrouted        misroutedProxies
	lastID           uint64 // last number of a connection or a stream
	shutdownDeadline time.Time
	silenceCheckedAt model.Microseconds // when streams were last checked for silent proxies
	raisedAt         model.Microseconds // when the incarnation was last raised
	resumedAt        model.Microseconds // when the instance last ran again after it had not for a while
	stats            Stats
}

// Listen opens the address and serves it until Close. It returns an error if the address cannot be opened.
func Listen(config Config, events connserver.ProxyEvents) (*Server, error) {
	config.Limits = config.Limits.withDefaults()
	server := &Server{
		config:         config,
		events:         events,
		wakeSender:     make(chan struct{}, 1),
		peerLog:        config.Log.Sample(&zerolog.BurstSampler{Burst: peerLinesPerSecond, Period: time.Second}),
		joins:          admission.New(config.JoinLimits, config.Now()),
		publishedState: snapshot.New(config.Incarnation, config.MessageOverhead, snapshot.UntilSnapshot),
		queue:          pacedQueue{entriesPerSecond: config.EntriesPerSecond},
		streams:        map[model.ProxyID]*connection{},
		names:          newProxyNames(),
		slowReaders:    map[*connection]bool{},
		misrouted:      misroutedProxies{},
	}
	server.connections = connserver.New(&server.mu, connserver.Handlers[*connection]{
		Opened:   server.registerConnection,
		Received: server.readCommands,
		Closed:   server.handleClosed,
	})
	if err := server.connections.Listen(pollers, config.Listen); err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	server.connections.Go(server.sendQueued)
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.connections.Addr() }

// Close closes all connections and the address.
func (s *Server) Close() { s.connections.Close() }

// SetLimits changes the limits while the channel is in use; zero limits take the values of DefaultLimits. Connected
// peers stay connected, even above a lowered limit.
func (s *Server) SetLimits(limits Limits, joins admission.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Limits = limits.withDefaults()
	s.joins.SetLimits(joins, s.config.Now())
}

// sendQueued sends messages when they are due, and snapshots to slow readers once they resume reading, and ends the
// streams of silent proxies, until the server closes.
func (s *Server) sendQueued() {
	timer := time.NewTimer(maxSendWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.config.Now()
		s.sendDueMessages(now)
		s.sendFoldedSnapshots()
		s.endSilentStreams(now)
		wait := s.nextSendWait(now)
		s.mu.Unlock()
		timer.Reset(max(wait, minSendWait))
		select {
		case <-timer.C:
		case <-s.wakeSender:
		case <-s.connections.Done():
			return
		}
	}
}

// nextSendWait returns the time until the next message or check of slow readers is due; s.mu is held.
func (s *Server) nextSendWait(now model.Microseconds) time.Duration {
	wait := maxSendWait
	if departsAt, ok := s.queue.nextDeparture(); ok {
		wait = time.Duration(departsAt-now) * time.Microsecond
	}
	if len(s.streams) > 0 {
		wait = min(wait, silenceCheckInterval)
	}
	if len(s.slowReaders) > 0 {
		wait = min(wait, foldedCheckInterval)
	}
	return wait
}

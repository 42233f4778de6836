package pubsub

import (
	"fmt"
	"sync"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/model"
	"peppervale/internal/netpoll/connserver"
	"peppervale/internal/snapshot"
)

// pollers is how many pollers serve the address.
const pollers = 2

// Bounds of the wait between two rounds of the sender.
const (
	minSendWait         = 50 * time.Microsecond
	maxSendWait         = time.Hour
	foldedCheckInterval = 10 * time.Millisecond // how often slow readers are checked
)

// Server is a controller's channel. Make it with Listen.
type Server struct {
	config      Config
	events      connserver.ProxyEvents
	connections *connserver.Server[*connection]
	wakeSender  chan struct{}

	mu            sync.Mutex
	joins         *admission.Controller
	published     *snapshot.State
	queue         pacedQueue
	streams       map[model.ProxyID]*connection // that have joined
	proxyIDs      map[string]model.ProxyID      // by name, of all that have joined in this incarnation
	observerCount int
	folded        map[*connection]bool // slow readers that get a snapshot once they read again
	misrouted     misroutedProxies
	lastID        uint64 // of connections and of streams
	shutdownEnds  time.Time
	stats         Stats
}

// Listen opens the address and serves until Close. Errors are those of the address.
func Listen(config Config, events connserver.ProxyEvents) (*Server, error) {
	config.Limits = config.Limits.withDefaults()
	server := &Server{
		config:     config,
		events:     events,
		wakeSender: make(chan struct{}, 1),
		joins:      admission.New(config.JoinLimits, config.Now()),
		published:  snapshot.New(config.Incarnation, config.MessageOverhead),
		queue:      pacedQueue{entriesPerSecond: config.EntriesPerSecond},
		streams:    map[model.ProxyID]*connection{},
		proxyIDs:   map[string]model.ProxyID{},
		folded:     map[*connection]bool{},
		misrouted:  misroutedProxies{},
	}
	server.connections = connserver.New(&server.mu, connserver.Handlers[*connection]{
		Opened:   server.opened,
		Received: server.received,
		Closed:   server.closed,
	})
	if err := server.connections.Listen(pollers, config.Listen); err != nil {
		return nil, fmt.Errorf("channel: %w", err)
	}
	server.connections.Go(server.sendQueued)
	return server, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.connections.Addr() }

// Close ends every connection and the address.
func (s *Server) Close() { s.connections.Close() }

// SetLimits changes what peers may cost while the channel is in use; zero limits take the values of DefaultLimits.
// Peers that are connected stay, also beyond a smaller number.
func (s *Server) SetLimits(limits Limits, joins admission.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Limits = limits.withDefaults()
	s.joins.SetLimits(joins, s.config.Now())
}

// sendQueued sends messages when they are due, and slow readers their snapshot once they read again, until the server
// closes.
func (s *Server) sendQueued() {
	timer := time.NewTimer(maxSendWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		now := s.config.Now()
		s.sendDue(now)
		s.sendFolded()
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

// nextSendWait is the time until something may have to be sent; s.mu is held.
func (s *Server) nextSendWait(now model.Microseconds) time.Duration {
	wait := maxSendWait
	if departsAt, ok := s.queue.nextDeparture(); ok {
		wait = time.Duration(departsAt-now) * time.Microsecond
	}
	if len(s.folded) > 0 {
		wait = min(wait, foldedCheckInterval)
	}
	return wait
}

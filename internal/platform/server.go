package platform

import (
	"container/list"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"peppervale/internal/model"
	"peppervale/internal/netpoll/connserver"
	"peppervale/internal/snapshot"
)

// pollers is how many pollers serve the address. With one, all input is read on one goroutine.
const pollers = 1

// checksPerGreeting is how often connections and streams are checked within Limits.Greeting: a limit is enforced at
// most a tenth of it late.
const checksPerGreeting = 10

// Server serves the platform's address. Make it with Listen.
type Server struct {
	config      Config
	events      connserver.ProxyEvents
	connections *connserver.Server[*connection]

	livenessCheckDue atomic.Bool // one was handed to the poller and has not run yet

	mu              sync.Mutex
	published       *snapshot.State
	unauthenticated *list.List // of *connection, the oldest first
	streams         map[model.ProxyID]*stream
	collectors      map[int][]*connection // by zone, the oldest first
	lastStreamID    uint64
	progress        deliveryProgress
	stats           Stats
}

// Listen opens the address and serves until Close. Errors are those of the address.
func Listen(config Config, events connserver.ProxyEvents) (*Server, error) {
	server := &Server{
		config:          config,
		events:          events,
		published:       snapshot.New(1, config.MessageOverhead),
		unauthenticated: list.New(),
		streams:         map[model.ProxyID]*stream{},
		collectors:      map[int][]*connection{},
	}
	server.connections = connserver.New(&server.mu, connserver.Handlers[*connection]{
		Opened:   server.opened,
		Received: server.received,
		Closed:   server.closed,
	})
	if err := server.connections.Listen(pollers, config.Listen); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	server.connections.Go(server.scheduleLivenessChecks)
	return server, nil
}

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.connections.Addr() }

// Close ends every connection and the address.
func (s *Server) Close() { s.connections.Close() }

// scheduleLivenessChecks has liveness checks run until the server closes. They run on the poller's goroutine, once it
// has read what was there to be read: a process that got no processor time takes no proxy for silent whose messages
// wait in its own sockets.
func (s *Server) scheduleLivenessChecks() {
	ticker := time.NewTicker(s.config.Limits.GreetingTimeout / checksPerGreeting)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if s.livenessCheckDue.CompareAndSwap(false, true) {
				s.connections.RunOnPoller(func() {
					s.checkLiveness()
					s.livenessCheckDue.Store(false)
				})
			}
		case <-s.connections.Done():
			return
		}
	}
}

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

// pollers is the number of pollers that serve the address. With one poller, all input is read on one goroutine.
const pollers = 1

// checksPerGreetingTimeout is the number of timeout checks within Limits.GreetingTimeout: the timeout is enforced with
// a delay of at most a tenth of it.
const checksPerGreetingTimeout = 10

// Server serves the platform's address. Create it with Listen.
type Server struct {
	config      Config
	events      connserver.ProxyEvents
	connections *connserver.Server[*connection]

	timeoutCheckPending atomic.Bool // a check was passed to the poller and has not run yet

	mu             sync.Mutex
	publishedState *snapshot.State
	awaitingJoin   *list.List // connections (*connection) that have not joined, oldest first
	streams        map[model.ProxyID]*stream
	collectors     map[int][]*connection // by zone, oldest first
	lastStreamID   uint64
	progress       deliveryProgress
	stats          Stats
}

// Listen opens the address and serves it until Close. It returns an error if the address cannot be opened.
func Listen(config Config, events connserver.ProxyEvents) (*Server, error) {
	server := &Server{
		config:         config,
		events:         events,
		publishedState: snapshot.New(1, config.MessageOverhead, snapshot.UntilReadmission),
		awaitingJoin:   list.New(),
		streams:        map[model.ProxyID]*stream{},
		collectors:     map[int][]*connection{},
	}
	server.connections = connserver.New(&server.mu, connserver.Handlers[*connection]{
		Opened:   server.registerConnection,
		Received: server.readMessages,
		Closed:   server.handleClosed,
	})
	if err := server.connections.Listen(pollers, config.Listen); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	server.connections.Go(server.scheduleTimeoutChecks)
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.connections.Addr() }

// Close closes all connections and the address.
func (s *Server) Close() { s.connections.Close() }

// scheduleTimeoutChecks schedules timeout checks until the server closes. They run on the poller's goroutine after it
// has read the data that had arrived: if the process was short of processor time, a proxy whose messages are still in
// the socket buffers does not count as silent.
func (s *Server) scheduleTimeoutChecks() {
	ticker := time.NewTicker(s.config.Limits.GreetingTimeout / checksPerGreetingTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if s.timeoutCheckPending.CompareAndSwap(false, true) {
				s.connections.RunOnPoller(func() {
					s.checkTimeouts()
					s.timeoutCheckPending.Store(false)
				})
			}
		case <-s.connections.Done():
			return
		}
	}
}

// Package connserver contains the common part of the servers that proxies connect to: the lifetime of a listening
// address, the register of its open connections, and the count of unsent bytes for each connection.
//
// A protocol server (internal/platform, internal/pubsub) keeps its own state of each connection in a type that embeds
// Conn. It guards that state and the register with one lock, which it passes to New. Methods that require the lock say
// so; all other methods may be called with or without it.
//
// Each protocol server defines what a connection may do before it has joined, which connection is closed at the
// connection limit, and how a peer is notified of the reason.
package connserver

import (
	"iter"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"

	"peppervale/internal/netpoll"
)

// Session is a protocol server's state of one connection. A type becomes one by embedding Conn.
type Session interface {
	comparable
	base() *Conn
}

// Handlers are the events of a Server's connections, called without the lock. Opened and Received run on the
// connection's poller, Closed after them on another goroutine.
type Handlers[S Session] struct {
	// Opened is called for a new connection. It must call Register before any other use of the connection.
	Opened func(socket *nbio.Conn)
	// Received receives the bytes read from a connection that has not ended. They are valid during the call only.
	Received func(session S, data []byte)
	// Closed is called once the socket is closed, by the peer or by this process.
	Closed func(session S)
}

// Server is one listening address with its open connections. Create it with New, then call Listen once.
type Server[S Session] struct {
	lock     sync.Locker
	handlers Handlers[S]
	engine   *netpoll.Engine
	done     chan struct{}
	routines sync.WaitGroup

	unsentBytes atomic.Int64 // of all registered connections
	heldBytes   atomic.Int64 // of all registered connections

	// guarded by lock
	sessions     map[*nbio.Conn]S
	bytesWritten uint64
	isClosing    bool
}

// New creates a server that does not listen yet. The lock is that of the protocol server.
func New[S Session](lock sync.Locker, handlers Handlers[S]) *Server[S] {
	return &Server[S]{
		lock:     lock,
		handlers: handlers,
		done:     make(chan struct{}),
		sessions: map[*nbio.Conn]S{},
	}
}

// Listen opens the address, host:port, and serves it with the given number of pollers until Close. It holds the lock,
// so that connections accepted before it returns have to wait. It returns an error if the address cannot be opened.
func (s *Server[S]) Listen(pollers int, address string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	engine, err := netpoll.Start(pollers, netpoll.Handlers{
		Open:  s.handlers.Opened,
		Data:  s.handleData,
		Close: s.handleClose,
		Wrote: s.subtractWritten,
	}, address)
	if err != nil {
		return err
	}
	s.engine = engine
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server[S]) Addr() string { return s.engine.Addrs[0] }

// Go runs a routine of the protocol server in the background. The routine must return once Done is closed; Close waits
// for it.
func (s *Server[S]) Go(routine func()) {
	s.routines.Add(1)
	go func() {
		defer s.routines.Done()
		routine()
	}()
}

// Done returns a channel that is closed when the server begins to close.
func (s *Server[S]) Done() <-chan struct{} { return s.done }

// Close ends the background routines, closes the address and all connections, and waits for them. It takes the lock.
// Calls after the first have no effect.
func (s *Server[S]) Close() {
	s.lock.Lock()
	if s.isClosing {
		s.lock.Unlock()
		return
	}
	s.isClosing = true
	s.lock.Unlock()
	close(s.done)
	s.routines.Wait()
	s.engine.Stop()
}

// RunOnPoller runs a task on the first poller's goroutine, once the data that was readable there at the time of the
// call has been handled.
func (s *Server[S]) RunOnPoller(task func()) { s.engine.RunOnPoller(task) }

// Register adds a connection to the register; the lock is held.
func (s *Server[S]) Register(socket *nbio.Conn, session S) {
	session.base().socket = socket
	socket.SetSession(session)
	s.sessions[socket] = session
}

// Unregister removes a connection from the register and marks it as ended; the lock is held. It reports whether the
// connection was registered.
func (s *Server[S]) Unregister(session S) bool {
	conn := session.base()
	conn.ended.Store(true)
	if !s.Registered(session) {
		return false
	}
	delete(s.sessions, conn.socket)
	s.unsentBytes.Add(-conn.unsentBytes.Swap(0))
	s.heldBytes.Add(-conn.heldBytes.Swap(0))
	return true
}

// Registered reports whether a connection is in the register; the lock is held.
func (s *Server[S]) Registered(session S) bool {
	return s.sessions[session.base().socket] == session
}

// Sessions iterates over the registered connections in no particular order; the lock is held.
func (s *Server[S]) Sessions() iter.Seq[S] { return maps.Values(s.sessions) }

// Count returns the number of registered connections; the lock is held.
func (s *Server[S]) Count() int { return len(s.sessions) }

// Write passes bytes to the engine, which buffers those that the socket does not accept; the lock is held. Nothing is
// written to a connection that is not registered. A broken connection is reported by Handlers.Closed only.
func (s *Server[S]) Write(session S, data []byte) {
	if !s.Registered(session) {
		return
	}
	conn := session.base()
	conn.unsentBytes.Add(int64(len(data)))
	s.unsentBytes.Add(int64(len(data)))
	s.bytesWritten += uint64(len(data))
	_, _ = conn.socket.Write(data)
}

// BytesWritten returns the number of bytes passed to Write for registered connections; the lock is held.
func (s *Server[S]) BytesWritten() uint64 { return s.bytesWritten }

// UnsentBytes returns the number of unsent bytes of all registered connections.
func (s *Server[S]) UnsentBytes() int64 { return s.unsentBytes.Load() }

// SetHeldBytes sets the memory that a connection's unfinished message holds; the lock is held. It has no effect on a
// connection that is not registered.
func (s *Server[S]) SetHeldBytes(session S, held int64) {
	if s.Registered(session) {
		s.heldBytes.Add(held - session.base().heldBytes.Swap(held))
	}
}

// HeldBytes returns the memory that unfinished messages of all registered connections hold.
func (s *Server[S]) HeldBytes() int64 { return s.heldBytes.Load() }

// CloseOnPoller closes each connection on its poller's goroutine, between two reads.
func (s *Server[S]) CloseOnPoller(sessions ...S) {
	for _, session := range sessions {
		s.engine.CloseOnPoller(session.base().socket)
	}
}

func (s *Server[S]) handleData(socket *nbio.Conn, data []byte) {
	session, ok := socket.Session().(S)
	if !ok || session.base().Ended() {
		return
	}
	s.handlers.Received(session, data)
}

func (s *Server[S]) handleClose(socket *nbio.Conn, _ error) {
	if session, ok := socket.Session().(S); ok {
		s.handlers.Closed(session)
	}
}

// subtractWritten subtracts the bytes that the socket has accepted from the counts of unsent bytes.
func (s *Server[S]) subtractWritten(socket *nbio.Conn, count int) {
	session, ok := socket.Session().(S)
	if !ok || count <= 0 {
		return
	}
	// Subtract no more than the remaining count: Unregister has already subtracted the connection's unsent bytes.
	unsent := &session.base().unsentBytes
	for {
		unsentBytes := unsent.Load()
		subtracted := min(unsentBytes, int64(count))
		if unsent.CompareAndSwap(unsentBytes, unsentBytes-subtracted) {
			s.unsentBytes.Add(-subtracted)
			return
		}
	}
}

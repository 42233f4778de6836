// Package connserver holds what the servers that proxies connect to have in common: the lifetime of a listening
// address, the register of its open connections, and the count of the bytes that wait for each of them.
//
// A protocol server (internal/platform, internal/pubsub) keeps its own state of each connection in a type that embeds
// Conn, and guards that state and the register with one lock of its own, which it hands to New. Methods that need the
// lock say so; the others may be called with or without it.
//
// What a connection may do before it has joined, which one makes room when there are too many, and how a peer
// learns why it ends, differ between the protocols and stay with them.
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
	connection() *Conn
}

// Handlers are the events of a Server's connections, called without the lock. Opened and Received run on the
// connection's poller, Closed after them on another goroutine.
type Handlers[S Session] struct {
	// Opened takes a new connection in; it calls Register before anything else is done with the connection.
	Opened func(socket *nbio.Conn)
	// Received takes bytes of a connection that has not ended. They are valid during the call only.
	Received func(session S, data []byte)
	// Closed is called once the socket is closed, by the peer or by this process.
	Closed func(session S)
}

// Server is one listening address with its open connections. Make it with New, then call Listen once.
type Server[S Session] struct {
	lock     sync.Locker
	handlers Handlers[S]
	engine   *netpoll.Engine
	done     chan struct{}
	routines sync.WaitGroup

	unsentBytes atomic.Int64 // of all registered connections

	// guarded by lock
	sessions     map[*nbio.Conn]S
	bytesWritten uint64
	closing      bool
}

// New makes a server that listens nowhere yet. The lock is the protocol server's own.
func New[S Session](lock sync.Locker, handlers Handlers[S]) *Server[S] {
	return &Server[S]{
		lock:     lock,
		handlers: handlers,
		done:     make(chan struct{}),
		sessions: map[*nbio.Conn]S{},
	}
}

// Listen opens the address, host:port, and serves it on so many pollers until Close. It takes the lock, so that
// connections which come before it returns wait. Errors are those of the address.
func (s *Server[S]) Listen(pollers int, address string) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	engine, err := netpoll.Start(pollers, netpoll.Handlers{
		Open:  s.handlers.Opened,
		Data:  s.received,
		Close: s.closed,
		Wrote: s.wrote,
	}, address)
	if err != nil {
		return err
	}
	s.engine = engine
	return nil
}

// Addr is the address that the server listens on.
func (s *Server[S]) Addr() string { return s.engine.Addrs[0] }

// Go runs a routine of the protocol server in the background; Close waits for it. It has to return once Done is closed.
func (s *Server[S]) Go(routine func()) {
	s.routines.Add(1)
	go func() {
		defer s.routines.Done()
		routine()
	}()
}

// Done is closed when the server begins to close.
func (s *Server[S]) Done() <-chan struct{} { return s.done }

// Close ends the background routines, the address and every connection, and waits for them. It takes the lock. Only the
// first call does anything.
func (s *Server[S]) Close() {
	s.lock.Lock()
	if s.closing {
		s.lock.Unlock()
		return
	}
	s.closing = true
	s.lock.Unlock()
	close(s.done)
	s.routines.Wait()
	s.engine.Stop()
}

// RunOnPoller has a task run on the first poller's goroutine, after what could be read there when it was called.
func (s *Server[S]) RunOnPoller(task func()) { s.engine.RunOnPoller(task) }

// Register takes a connection into the register; the lock is held.
func (s *Server[S]) Register(socket *nbio.Conn, session S) {
	session.connection().socket = socket
	socket.SetSession(session)
	s.sessions[socket] = session
}

// Unregister takes a connection out of the register and marks it as ended; the lock is held. It reports whether the
// connection was registered until now.
func (s *Server[S]) Unregister(session S) bool {
	conn := session.connection()
	conn.ended.Store(true)
	if !s.Registered(session) {
		return false
	}
	delete(s.sessions, conn.socket)
	s.unsentBytes.Add(-conn.unsentBytes.Swap(0))
	return true
}

// Registered reports whether a connection is in the register; the lock is held.
func (s *Server[S]) Registered(session S) bool {
	return s.sessions[session.connection().socket] == session
}

// Sessions are the registered connections in no particular order; the lock is held.
func (s *Server[S]) Sessions() iter.Seq[S] { return maps.Values(s.sessions) }

// Count is the number of registered connections; the lock is held.
func (s *Server[S]) Count() int { return len(s.sessions) }

// Write hands bytes to the engine, which keeps what the socket does not take; the lock is held. A connection that is
// not registered gets nothing. A broken connection is reported by Handlers.Closed only.
func (s *Server[S]) Write(session S, data []byte) {
	if !s.Registered(session) {
		return
	}
	conn := session.connection()
	conn.unsentBytes.Add(int64(len(data)))
	s.unsentBytes.Add(int64(len(data)))
	s.bytesWritten += uint64(len(data))
	_, _ = conn.socket.Write(data)
}

// BytesWritten is the number of bytes handed to Write for registered connections; the lock is held.
func (s *Server[S]) BytesWritten() uint64 { return s.bytesWritten }

// UnsentBytes is the number of bytes that wait for all registered connections.
func (s *Server[S]) UnsentBytes() int64 { return s.unsentBytes.Load() }

// CloseOnPoller has the poller of each connection close it between two of its reads.
func (s *Server[S]) CloseOnPoller(sessions ...S) {
	for _, session := range sessions {
		s.engine.CloseOnPoller(session.connection().socket)
	}
}

func (s *Server[S]) received(socket *nbio.Conn, data []byte) {
	session, ok := socket.Session().(S)
	if !ok || session.connection().Ended() {
		return
	}
	s.handlers.Received(session, data)
}

func (s *Server[S]) closed(socket *nbio.Conn, _ error) {
	if session, ok := socket.Session().(S); ok {
		s.handlers.Closed(session)
	}
}

// wrote takes bytes that the socket has accepted off the counts.
func (s *Server[S]) wrote(socket *nbio.Conn, count int) {
	session, ok := socket.Session().(S)
	if !ok || count <= 0 {
		return
	}
	// Take off no more than still counts: Unregister has taken off all that waited for the connection.
	unsent := &session.connection().unsentBytes
	for {
		waiting := unsent.Load()
		taken := min(waiting, int64(count))
		if unsent.CompareAndSwap(waiting, waiting-taken) {
			s.unsentBytes.Add(-taken)
			return
		}
	}
}

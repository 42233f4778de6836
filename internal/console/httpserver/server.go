// Package httpserver serves read-only pages over HTTP. It limits the connections that are open, the pages that are
// rendered at the same time, the length of paths, and the time that a viewer may take to read a response. Each page is
// available as HTML and as JSON under the same path.
//
// There is no authentication. A server that listens beyond loopback shows its pages to every client that can reach it.
package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// WriteTimeout is how long a viewer may take to read a page, or one line of a stream. It also limits the time to send a
// request's header, and the wait of Close for pages in progress.
const WriteTimeout = 5 * time.Second

const (
	// maxConcurrentPages bounds the pages that are rendered at the same time. Further requests get status 503 with a
	// Retry-After header.
	maxConcurrentPages = 64

	maxPathLength  = 1024 // bytes
	maxHeaderBytes = 16 << 10
	idleTimeout    = time.Minute

	// streamPath is the path of streams.
	streamPath = "/live"

	contentSecurityPolicy = "default-src 'none'; style-src 'unsafe-inline'; img-src 'self'; " +
		"script-src 'unsafe-inline'; connect-src 'self'"
)

// Server serves pages. It is created by Listen.
type Server struct {
	listener  net.Listener
	limiter   *connectionLimiter
	http      *http.Server
	done      chan struct{}
	serveLoop sync.WaitGroup
}

// Listen listens on the address. The server accepts requests from the call of Serve until Close.
func Listen(address string, limits Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w; another process may be listening on it", err)
	}
	return &Server{listener: listener, limiter: newConnectionLimiter(limits), done: make(chan struct{})}, nil
}

// Serve starts to serve and returns at once. It must be called only once. The page handler responds with a page. The
// stream handler, if any, serves /live. It may run for any time, but must return when the channel of Done is closed.
func (s *Server) Serve(page, stream http.HandlerFunc) {
	s.http = &http.Server{
		Handler:           s.limiter.track(boundedHandler(page, stream)),
		ConnState:         s.limiter.stateChanged,
		ConnContext:       withConnection,
		ReadHeaderTimeout: WriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.serveLoop.Add(1)
	go func() {
		defer s.serveLoop.Done()
		_ = s.http.Serve(s.listener) // the error is not reported; after Close it is http.ErrServerClosed
	}()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// EvictedConnections returns how many connections were closed because too many were open.
func (s *Server) EvictedConnections() uint64 { return s.limiter.evictedCount() }

// Done returns a channel that is closed when Close is called.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// RunEvery calls task once per interval and returns when Close is called. The caller runs it on a goroutine of its own.
func (s *Server) RunEvery(interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			task()
		}
	}
}

// Close ends the streams, waits for pages in progress up to WriteTimeout, and closes all connections.
func (s *Server) Close() {
	close(s.done)
	ctx, cancel := context.WithTimeout(context.Background(), WriteTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // http.Server.Close closes the connections even if it returns an error
	}
	s.serveLoop.Wait()
}

// boundedHandler wraps the handlers and enforces the limits on requests.
func boundedHandler(page, stream http.HandlerFunc) http.HandlerFunc {
	slots := make(chan struct{}, maxConcurrentPages)
	return func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set("Content-Security-Policy", contentSecurityPolicy)
		header.Set("X-Content-Type-Options", "nosniff")
		// A connection that supports no deadlines is served without one.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
		switch {
		case r.Method != http.MethodGet && r.Method != http.MethodHead:
			http.Error(w, "this console is read only", http.StatusMethodNotAllowed)
			return
		case len(r.URL.Path) > maxPathLength:
			http.Error(w, "the path is too long", http.StatusRequestURITooLong)
			return
		case r.URL.Path == streamPath && stream != nil:
			stream(w, r)
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			header.Set("Retry-After", "1")
			http.Error(w, "too many pages are being made; retry in a second", http.StatusServiceUnavailable)
			return
		}
		page(w, r)
	}
}

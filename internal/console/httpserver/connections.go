package httpserver

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// DefaultConnections is the default of Limits.Connections.
const DefaultConnections = 256

// evictionLinesPerSecond bounds the log lines about closed connections.
const evictionLinesPerSecond = 20

// Limits bounds the resources that viewers may use.
type Limits struct {
	Connections int // open at once; 0: DefaultConnections
	Log         zerolog.Logger
}

// connectionLimiter bounds the open connections, and so the memory of request headers that have not arrived completely.
// Beyond the limit it closes the connection that has been without a request for longest.
type connectionLimiter struct {
	limit int
	log   zerolog.Logger // sampled

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // nil: a request of the connection is being served
	waiting *list.List                 // connections (net.Conn) without a request, the longest waiting first
	evicted uint64
}

func newConnectionLimiter(limits Limits) *connectionLimiter {
	limit := limits.Connections
	if limit <= 0 {
		limit = DefaultConnections
	}
	sampler := &zerolog.BurstSampler{Burst: evictionLinesPerSecond, Period: time.Second}
	return &connectionLimiter{
		limit:   limit,
		log:     limits.Log.Sample(sampler),
		open:    map[net.Conn]*list.Element{},
		waiting: list.New(),
	}
}

// stateChanged is the server's ConnState callback.
func (l *connectionLimiter) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if evicted := l.add(conn); evicted != nil {
			l.log.Warn().Str("peer", evicted.RemoteAddr().String()).Int("connections", l.limit).
				Msg("console connection closed: too many are open")
			_ = evicted.Close()
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// add adds a connection and returns the one to be closed for it, if any.
func (l *connectionLimiter) add(conn net.Conn) (evicted net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = l.waiting.PushBack(conn)
	if len(l.open) <= l.limit {
		return nil
	}
	oldest := l.waiting.Front()
	evicted = oldest.Value.(net.Conn)
	l.waiting.Remove(oldest)
	delete(l.open, evicted)
	l.evicted++
	return evicted
}

func (l *connectionLimiter) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.open[conn]; element != nil {
		l.waiting.Remove(element)
	}
	delete(l.open, conn)
}

// requestStarted marks a connection as one whose request is being served, which is not closed for another.
func (l *connectionLimiter) requestStarted(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.open[conn]; element != nil {
		l.waiting.Remove(element)
		l.open[conn] = nil
	}
}

func (l *connectionLimiter) requestEnded(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element, isOpen := l.open[conn]; isOpen && element == nil {
		l.open[conn] = l.waiting.PushBack(conn)
	}
}

// evictedCount returns how many connections were closed because too many were open.
func (l *connectionLimiter) evictedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evicted
}

// connectionKey is the context key of a request's net.Conn.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// track wraps a handler, so that connections count as serving while it runs.
func (l *connectionLimiter) track(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
			l.requestStarted(conn)
			defer l.requestEnded(conn)
		}
		handler(w, r)
	}
}

// Package registry is a stand-in for an endpoint registry. It serves Consul's health endpoint with blocking queries as
// Consul documents them. Faults make its responses fail or arrive late.
package registry

import (
	"fmt"
	"slices"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Entry is a replica in the registry's list.
type Entry struct {
	ID                       model.ReplicaID
	Zone, DeduplicationGroup string // the group's replicas deduplicate requests among themselves
	Kind                     string
	StartedAt                model.Microseconds // 0: not stated in the list
	Draining                 bool
}

// Faults selects the registry's faults; several can be combined. The zero value selects none.
type Faults struct {
	RespondsNoLeader bool               // responds with status 500
	Silent           bool               // accepts requests and never responds
	TruncatesBody    bool               // closes the connection in the middle of a body
	IndexGoesBack    bool               // sends an index far below the previous one
	Delay            model.Microseconds // before each response
}

// firstIndex is the index of the initial, empty list.
const firstIndex = 100

// Registry is a running registry. All its methods except Addr and Close must be called on its loop.
type Registry struct {
	Faults Faults

	loop           *standin.Loop
	service        string
	observe        func(invariants.Event)
	engine         *netpoll.Engine
	entries        []Entry
	index          uint64 // incremented by each change of the list
	blockedQueries []*query
}

// New starts a registry that listens on an address. observe is called on the loop with each endpoint list that is sent.
// New fails if it cannot listen on the address.
func New(loop *standin.Loop, listenAddress, service string, observe func(invariants.Event)) (*Registry, error) {
	r := &Registry{loop: loop, service: service, observe: observe, index: firstIndex}
	engine, err := netpoll.Start(1, r.handlers(), listenAddress)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	r.engine = engine
	return r, nil
}

// Addr returns the address that the registry listens on, host:port.
func (r *Registry) Addr() string { return r.engine.Addrs[0] }

// Close stops listening and closes all connections.
func (r *Registry) Close() { r.engine.Stop() }

// Set adds an entry, or replaces the one with the same ID.
func (r *Registry) Set(entry Entry) {
	i := slices.IndexFunc(r.entries, func(other Entry) bool { return other.ID == entry.ID })
	switch {
	case i < 0:
		r.entries = append(r.entries, entry)
	case r.entries[i] == entry:
		return
	default:
		r.entries[i] = entry
	}
	r.listChanged()
}

// Remove removes an entry if there is one with this ID.
func (r *Registry) Remove(id model.ReplicaID) {
	countBefore := len(r.entries)
	r.entries = slices.DeleteFunc(r.entries, func(entry Entry) bool { return entry.ID == id })
	if len(r.entries) < countBefore {
		r.listChanged()
	}
}

// listChanged increments the list's index and answers all blocked queries.
func (r *Registry) listChanged() {
	r.index++
	blocked := r.blockedQueries
	r.blockedQueries = nil
	for _, q := range blocked {
		q.timer.Cancel()
		r.respond(q)
	}
}

// handlers returns handlers that post the sockets' events to the loop.
func (r *Registry) handlers() netpoll.Handlers {
	return netpoll.Handlers{
		Open: func(conn *nbio.Conn) { conn.SetSession(http1.NewParser(false, http1.Limits{})) },
		Data: r.onData,
		Close: func(conn *nbio.Conn, _ error) {
			r.loop.Post(func() {
				r.blockedQueries = slices.DeleteFunc(r.blockedQueries, func(q *query) bool { return q.conn == conn })
			})
		},
	}
}

// onData is called on the connection's poller.
func (r *Registry) onData(conn *nbio.Conn, data []byte) {
	parser, ok := conn.Session().(*http1.Parser)
	if !ok {
		return
	}
	err := parser.Feed(data, func(m *http1.Message) error {
		r.loop.Post(func() { r.handleRequest(conn, m) })
		return nil
	})
	if err != nil {
		_ = conn.Close()
	}
}

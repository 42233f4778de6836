// Package registry is a stand-in for an endpoint registry: it serves Consul's health endpoint with blocking queries as
// Consul documents them, and it fails or delays its answers on demand.
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

// Entry is a replica as the registry lists it.
type Entry struct {
	ID                       model.ReplicaID
	Zone, DeduplicationGroup string // the group: replicas that drop repeats of a request among themselves
	Kind                     string
	StartedAt                model.Microseconds // 0: long ago
	Draining                 bool
}

// Faults is what the registry does wrong; several faults may hold at once. The zero value is none.
type Faults struct {
	Fails         bool               // answers 500
	Silent        bool               // accepts requests and never answers
	TruncatesBody bool               // closes the connection in the middle of a body
	IndexGoesBack bool               // gives an index far below the last one
	Delay         model.Microseconds // added to each answer
}

// firstIndex is the index of the empty list.
const firstIndex = 100

// Registry is a running registry. All its methods but Addr and Close must be called on its loop.
type Registry struct {
	Faults Faults

	loop    *standin.Loop
	service string
	observe func(invariants.Event)
	engine  *netpoll.Engine
	entries []Entry
	index   uint64 // grows with each change of the list
	waiting []*query
}

// New starts a registry that listens on an address. observe is called on the loop with each endpoint list that was
// sent. An error says that the address cannot be listened on.
func New(loop *standin.Loop, listen, service string, observe func(invariants.Event)) (*Registry, error) {
	r := &Registry{loop: loop, service: service, observe: observe, index: firstIndex}
	engine, err := netpoll.Start(1, r.handlers(), listen)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	r.engine = engine
	return r, nil
}

// Addr is the address that the registry listens on, host:port.
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
	r.changed()
}

// Remove removes an entry if there is one with this ID.
func (r *Registry) Remove(id model.ReplicaID) {
	before := len(r.entries)
	r.entries = slices.DeleteFunc(r.entries, func(entry Entry) bool { return entry.ID == id })
	if len(r.entries) < before {
		r.changed()
	}
}

// changed answers the blocking queries that wait.
func (r *Registry) changed() {
	r.index++
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		q.timer.Cancel()
		r.answer(q)
	}
}

// handlers post the events of the sockets to the loop.
func (r *Registry) handlers() netpoll.Handlers {
	return netpoll.Handlers{
		Open: func(conn *nbio.Conn) { conn.SetSession(http1.NewParser(false, http1.Limits{})) },
		Data: r.received,
		Close: func(conn *nbio.Conn, _ error) {
			r.loop.Post(func() {
				r.waiting = slices.DeleteFunc(r.waiting, func(q *query) bool { return q.conn == conn })
			})
		},
	}
}

// received runs on the connection's poller.
func (r *Registry) received(conn *nbio.Conn, data []byte) {
	parser, ok := conn.Session().(*http1.Parser)
	if !ok {
		return
	}
	err := parser.Feed(data, func(m *http1.Message) error {
		r.loop.Post(func() { r.handle(conn, m) })
		return nil
	})
	if err != nil {
		_ = conn.Close()
	}
}

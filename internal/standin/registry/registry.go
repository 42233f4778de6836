// Package registry is a stand-in for a machine list: it serves Consul's health endpoint with blocking queries as
// published, late and failing on demand. consul's own API client reads it in the tests.
package registry

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Entry is a replica as the list has it.
type Entry struct {
	ID        model.ReplicaID
	Zone, Bay string
	Kind      string
	Started   model.Microseconds // 0: long ago
	Draining  bool
}

// Trouble is what the list does wrong; several hold at once. The zero value is none.
type Trouble struct {
	Fails     bool               // answers 500 at once
	Silent    bool               // takes calls and never answers
	Half      bool               // ends the connection in the middle of a body
	IndexBack bool               // gives an index far below the last one
	Late      model.Microseconds // answers so much later
}

// Registry runs on a loop; all its methods are to be called there, but for Close.
type Registry struct {
	Trouble Trouble
	loop    *standin.Loop
	service string
	seen    func(invariants.Seen)
	engine  *netpoll.Engine
	entries []Entry
	index   uint64
	waiting []*waiter
	Calls   int // answered
}

type waiter struct {
	conn   *nbio.Conn
	caller string
	index  uint64
	timer  *standin.Timer
}

// New listens; seen is told each answer to a governor.
func New(loop *standin.Loop, listen, service string, seen func(invariants.Seen)) (*Registry, error) {
	r := &Registry{loop: loop, service: service, seen: seen, index: 100}
	var err error
	h := netpoll.Handlers{Open: func(c *nbio.Conn) { c.SetSession(http1.NewParser(false, http1.Limits{})) }, Data: func(c *nbio.Conn, data []byte) {
		parser, ok := c.Session().(*http1.Parser)
		if !ok {
			return
		}
		err := parser.Feed(data, func(m *http1.Message) error {
			loop.Post(func() { r.asked(c, m) })
			return nil
		})
		if err != nil {
			_ = c.Close()
		}
	}, Close: func(c *nbio.Conn, _ error) {
		loop.Post(func() {
			r.waiting = slices.DeleteFunc(r.waiting, func(w *waiter) bool { return w.conn == c })
		})
	}}
	if r.engine, err = netpoll.Start(1, h, listen); err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return r, nil
}

// Addr is the address that it listens on.
func (r *Registry) Addr() string { return r.engine.Addrs[0] }

// Close ends it.
func (r *Registry) Close() { r.engine.Stop() }

// Set puts an entry in, or changes it.
func (r *Registry) Set(e Entry) {
	i := slices.IndexFunc(r.entries, func(o Entry) bool { return o.ID == e.ID })
	if i < 0 {
		r.entries = append(r.entries, e)
	} else if r.entries[i] == e {
		return
	} else {
		r.entries[i] = e
	}
	r.changed()
}

// Remove takes an entry out.
func (r *Registry) Remove(id model.ReplicaID) {
	n := len(r.entries)
	if r.entries = slices.DeleteFunc(r.entries, func(o Entry) bool { return o.ID == id }); len(r.entries) < n {
		r.changed()
	}
}

func (r *Registry) changed() {
	r.index++
	waiting := r.waiting
	r.waiting = nil
	for _, w := range waiting {
		w.timer.Cancel()
		r.answer(w)
	}
}

func (r *Registry) asked(c *nbio.Conn, m *http1.Message) {
	target, err := url.Parse(m.Target)
	name, found := "", false
	if err == nil {
		name, found = strings.CutPrefix(target.Path, "/v1/health/service/")
	}
	if !found {
		_, _ = c.Write(http1.AppendAnswer(nil, 404, nil))
		return
	}
	w := &waiter{conn: c}
	w.caller, _ = strings.CutPrefix(m.Header["user-agent"], "peppervale/")
	query := target.Query()
	if name != r.service {
		_, _ = c.Write(http1.AppendAnswer(nil, 200, []byte("[]"), "X-Consul-Index", "1", "Content-Type", "application/json"))
		return
	}
	switch {
	case r.Trouble.Silent:
		return
	case r.Trouble.Fails:
		_, _ = c.Write(http1.AppendAnswer(nil, 500, []byte("No cluster leader")))
		return
	}
	if w.index, _ = strconv.ParseUint(query.Get("index"), 10, 64); w.index != r.index || w.index == 0 {
		r.answer(w)
		return
	}
	wait := 5 * time.Minute
	if d, err := time.ParseDuration(query.Get("wait")); err == nil && d > 0 {
		wait = min(d, 10*time.Minute)
	}
	w.timer = r.loop.After(model.Microseconds(wait/time.Microsecond), func() {
		r.waiting = slices.DeleteFunc(r.waiting, func(o *waiter) bool { return o == w })
		r.answer(w)
	})
	r.waiting = append(r.waiting, w)
}

// answer writes the list as it is once the answer leaves.
func (r *Registry) answer(w *waiter) {
	if r.Trouble.Late > 0 {
		r.loop.After(r.Trouble.Late, func() { r.write(w) })
		return
	}
	r.write(w)
}

func (r *Registry) write(w *waiter) {
	if r.Trouble.Silent {
		return
	}
	if r.Trouble.Fails {
		_, _ = w.conn.Write(http1.AppendAnswer(nil, 500, []byte("No cluster leader")))
		return
	}
	index := r.index
	if r.Trouble.IndexBack {
		index = 7
	}
	body := r.Body()
	whole := http1.AppendAnswer(nil, 200, body, "Content-Type", "application/json", "X-Consul-Index", strconv.FormatUint(index, 10))
	if r.Trouble.Half {
		_, _ = w.conn.Write(whole[:len(whole)-len(body)/2-1])
		_ = w.conn.Close()
		return
	}
	r.Calls++
	r.seen(invariants.Told{At: r.loop.Now(), Governor: w.caller, Body: body})
	_, _ = w.conn.Write(whole)
}

// Body is the list as JSON.
func (r *Registry) Body() []byte {
	all := []consulcatalog.Entry{}
	for _, e := range r.entries {
		address, port, _ := strings.Cut(pubsubmsg.Address(e.ID), ":")
		n, _ := strconv.Atoi(port)
		id := r.service + "-" + port
		one := consulcatalog.Entry{Node: consulcatalog.Node{Node: "node-" + port, Address: address},
			Service: consulcatalog.Service{ID: id, Service: r.service, Address: address, Port: n,
				Meta: map[string]string{"zone": e.Zone, "cell": e.Bay, "kind": e.Kind}},
			Checks: []consulcatalog.Check{{Node: "node-" + port, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}}}
		if e.Started > 0 {
			one.Service.Meta["started"] = strconv.FormatInt(int64(e.Started/model.Millisecond), 10)
		}
		if e.Draining {
			one.Checks = append(one.Checks, consulcatalog.Check{Node: "node-" + port, CheckID: "_service_maintenance:" + id,
				Name: "Service Maintenance Mode", Status: "critical"})
		}
		all = append(all, one)
	}
	body, err := json.Marshal(all)
	if err != nil {
		return []byte("[]") // plain texts always marshal
	}
	return body
}

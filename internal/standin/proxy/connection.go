package proxy

import (
	"strconv"
	"strings"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// connection is a connection to a replica; it carries one attempt at a time.
type connection struct {
	proxy     *Proxy
	run       int // of the proxy
	replica   *replicaState
	conn      *nbio.Conn
	parser    *http1.Parser
	attempt   *attempt
	isClosed  bool
	idleSince model.Microseconds
}

// connect sends an attempt over an idle connection, or dials a new one.
func (p *Proxy) connect(a *attempt) {
	if c := p.takeIdle(a.replica); c != nil {
		a.sendOver(c)
		return
	}
	c := &connection{proxy: p, replica: a.replica, run: p.run, parser: http1.NewParser(true, http1.Limits{})}
	address := pubsubmsg.FormatAddress(a.replica.id)
	netpoll.Dial(p.engine, address, p.dialTimeout().Duration(), c, func(conn *nbio.Conn, err error) {
		p.loop.Post(func() { c.dialed(a, conn, err) })
	})
}

// takeIdle returns the connection to a replica that was used last, or nil, and drops those that were idle for too long.
func (p *Proxy) takeIdle(r *replicaState) *connection {
	for len(r.idle) > 0 {
		last := len(r.idle) - 1
		c := r.idle[last]
		r.idle = r.idle[:last]
		expired := p.IdleTimeout > 0 && p.loop.Now()-c.idleSince > p.IdleTimeout
		if !c.isClosed && !expired {
			return c
		}
		c.drop()
	}
	return nil
}

// dialed handles the result of a dial for an attempt.
func (c *connection) dialed(a *attempt, conn *nbio.Conn, err error) {
	if err != nil {
		a.end(invariants.ConnectFailed, nil)
		return
	}
	c.conn = conn
	switch {
	case c.run != c.proxy.run:
		c.drop()
	case a.ended: // it timed out while dialing: a later attempt uses the connection
		c.keepIdle()
	default:
		a.sendOver(c)
	}
}

// keepIdle keeps the connection for a later attempt.
func (c *connection) keepIdle() {
	if c.isClosed {
		return
	}
	c.idleSince = c.proxy.loop.Now()
	c.replica.idle = append(c.replica.idle, c)
}

func (c *connection) drop() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// dropIdle closes the idle connections to a replica.
func (r *replicaState) dropIdle() {
	for _, c := range r.idle {
		c.drop()
	}
	r.idle = nil
}

// received is called on the poller.
func (c *connection) received(data []byte) {
	c.proxy.loop.Post(func() {
		if c.isClosed || c.run != c.proxy.run {
			return
		}
		c.proxy.whenRunning(func() { c.read(data) })
	})
}

// closed is called on the poller.
func (c *connection) closed() {
	c.proxy.loop.Post(func() {
		c.isClosed = true
		if a := c.attempt; a != nil && c.run == c.proxy.run {
			a.end(invariants.ConnectionLost, nil)
		}
	})
}

func (c *connection) read(data []byte) {
	err := c.parser.Feed(data, func(response *http1.Message) error {
		c.answered(response)
		return nil
	})
	if err != nil {
		c.drop()
	}
}

// answered ends the connection's attempt by its response.
func (c *connection) answered(response *http1.Message) {
	a := c.attempt
	if a == nil {
		return
	}
	a.end(outcomeOf(response), response)
	if response.Close {
		c.drop()
	} else {
		c.keepIdle()
	}
}

func outcomeOf(response *http1.Message) invariants.Outcome {
	switch {
	case response.Status == 200:
		return invariants.Succeeded
	case response.Status == 503 && response.Header["ran"] == "no":
		return invariants.Rejected
	}
	return invariants.ErrorResponse
}

// utilization reads cpu_utilization from an ORCA text header.
func utilization(header string) (load float64, ok bool) {
	pairs, ok := strings.CutPrefix(header, "TEXT ")
	if !ok {
		return 0, false
	}
	for _, pair := range strings.Split(pairs, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if found && name == "cpu_utilization" {
			load, err := strconv.ParseFloat(value, 64)
			return load, err == nil && load >= 0
		}
	}
	return 0, false
}

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
	proxy      *Proxy
	generation int // the proxy's generation when it dialed the connection
	replica    *replicaState
	conn       *nbio.Conn
	parser     *http1.Parser
	attempt    *attempt
	isClosed   bool
	idleSince  model.Microseconds
}

// connectAttempt sends an attempt over an idle connection, or dials a new one.
func (p *Proxy) connectAttempt(a *attempt) {
	if c := p.popIdleConnection(a.replica); c != nil {
		a.sendOver(c)
		return
	}
	c := &connection{proxy: p, replica: a.replica, generation: p.generation, parser: http1.NewParser(true, http1.Limits{})}
	address := pubsubmsg.FormatAddress(a.replica.id)
	netpoll.Dial(p.engine, address, p.dialTimeout().Duration(), c, func(conn *nbio.Conn, err error) {
		p.loop.Post(func() { c.onDialed(a, conn, err) })
	})
}

// popIdleConnection returns the most recently used idle connection to a replica, or nil. It closes connections that
// were idle for longer than IdleTimeout.
func (p *Proxy) popIdleConnection(r *replicaState) *connection {
	for len(r.idleConnections) > 0 {
		last := len(r.idleConnections) - 1
		c := r.idleConnections[last]
		r.idleConnections = r.idleConnections[:last]
		expired := p.IdleTimeout > 0 && p.loop.Now()-c.idleSince > p.IdleTimeout
		if !c.isClosed && !expired {
			return c
		}
		c.close()
	}
	return nil
}

// onDialed handles the result of a dial for an attempt.
func (c *connection) onDialed(a *attempt, conn *nbio.Conn, err error) {
	if err != nil {
		a.finish(invariants.ConnectFailed, nil)
		return
	}
	c.conn = conn
	switch {
	case c.generation != c.proxy.generation:
		c.close()
	case a.isFinished: // the attempt timed out during the dial: a later attempt uses the connection
		c.keepIdle()
	default:
		a.sendOver(c)
	}
}

// keepIdle makes the connection available to later attempts.
func (c *connection) keepIdle() {
	if c.isClosed {
		return
	}
	c.idleSince = c.proxy.loop.Now()
	c.replica.idleConnections = append(c.replica.idleConnections, c)
}

func (c *connection) close() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// closeIdle closes the idle connections to a replica.
func (r *replicaState) closeIdle() {
	for _, c := range r.idleConnections {
		c.close()
	}
	r.idleConnections = nil
}

// onData is called on the poller's goroutine.
func (c *connection) onData(data []byte) {
	c.proxy.loop.Post(func() {
		if c.isClosed || c.generation != c.proxy.generation {
			return
		}
		c.proxy.runAfterStall(func() { c.parse(data) })
	})
}

// onClose is called on the poller's goroutine.
func (c *connection) onClose() {
	c.proxy.loop.Post(func() {
		c.isClosed = true
		if a := c.attempt; a != nil && c.generation == c.proxy.generation {
			a.finish(invariants.ConnectionLost, nil)
		}
	})
}

func (c *connection) parse(data []byte) {
	err := c.parser.Feed(data, func(response *http1.Message) error {
		c.handleResponse(response)
		return nil
	})
	if err != nil {
		c.close()
	}
}

// handleResponse ends the attempt that the connection carries with the response.
func (c *connection) handleResponse(response *http1.Message) {
	a := c.attempt
	if a == nil {
		return
	}
	a.finish(outcomeOf(response), response)
	if response.Close {
		c.close()
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

// utilization parses cpu_utilization from an ORCA text header. ok is false if the header has no valid value.
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

package discovery

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/netpoll"
)

// statusOK is the only HTTP status whose answer is used.
const statusOK = 200

// errAnswerComplete stops the parser after the answer to a call.
var errAnswerComplete = errors.New("the answer is complete")

// httpClient makes calls over connections of an engine of its own.
type httpClient struct {
	engine *netpoll.Engine
}

func newHTTPClient() (*httpClient, error) {
	engine, err := netpoll.Start(1, netpoll.Handlers{
		Data: func(conn *nbio.Conn, data []byte) {
			if current, ok := conn.Session().(*call); ok {
				current.receive(data)
			}
		},
		Close: func(conn *nbio.Conn, err error) {
			if current, ok := conn.Session().(*call); ok {
				current.finish(nil, fmt.Errorf("connection ended: %w", err))
			}
		},
	})
	if err != nil {
		return nil, err
	}
	return &httpClient{engine: engine}, nil
}

// close ends all connections.
func (h *httpClient) close() { h.engine.Stop() }

// newCall prepares a call; send or dial starts it.
func (h *httpClient) newCall(request []byte, parser *http1.Parser) *call {
	return &call{
		engine:  h.engine,
		request: request,
		parser:  parser,
		began:   time.Now(),
		ended:   make(chan callResult, 1),
	}
}

// callResult is how a call ended: with an answer or with an error.
type callResult struct {
	message *http1.Message
	err     error
}

// call is one HTTP request and its answer. Make it with newCall.
type call struct {
	engine  *netpoll.Engine
	request []byte
	began   time.Time
	once    sync.Once
	ended   chan callResult // receives one result

	// mu is held while received bytes are parsed, and so also in the parser's Stream function.
	mu        sync.Mutex
	parser    *http1.Parser
	conn      *nbio.Conn
	abandoned bool      // nothing that arrives counts any more
	firstByte time.Time // when the answer began; zero before
}

// dial connects and sends the request; the timeout bounds the connecting.
func (c *call) dial(address string, timeout time.Duration) {
	netpoll.Dial(c.engine, address, timeout, c, func(conn *nbio.Conn, err error) {
		if err != nil {
			c.finish(nil, err)
			return
		}
		c.send(conn)
	})
}

// reuse sends the request over a connection that is open.
func (c *call) reuse(conn *nbio.Conn) {
	conn.SetSession(c)
	c.send(conn)
}

func (c *call) send(conn *nbio.Conn) {
	c.mu.Lock()
	c.conn = conn
	abandoned := c.abandoned
	c.mu.Unlock()
	if abandoned {
		c.engine.CloseOnPoller(conn)
		return
	}
	if _, err := conn.Write(c.request); err != nil {
		c.finish(nil, err)
	}
}

// receive parses bytes of the answer.
func (c *call) receive(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	if c.firstByte.IsZero() {
		c.firstByte = time.Now()
	}
	err := c.parser.Feed(data, func(message *http1.Message) error {
		c.finish(message, nil)
		return errAnswerComplete
	})
	if err != nil {
		c.abandoned = true
		c.finish(nil, err) // no effect after a complete answer
	}
}

// finish ends the call; only the first end counts.
func (c *call) finish(message *http1.Message, err error) {
	c.once.Do(func() { c.ended <- callResult{message: message, err: err} })
}

// connection is the call's connection, nil if there is none.
func (c *call) connection() *nbio.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// abandon gives the call up and ends its connection, also one that is still being dialed.
func (c *call) abandon() {
	c.mu.Lock()
	c.abandoned = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.engine.CloseOnPoller(conn)
	}
}

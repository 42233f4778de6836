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

// statusOK is the only HTTP status whose response is used.
const statusOK = 200

// errResponseComplete stops the parser after the response to a call.
var errResponseComplete = errors.New("the HTTP response is complete")

// httpClient makes HTTP calls. It has its own socket engine.
type httpClient struct {
	engine *netpoll.Engine
}

func newHTTPClient() (*httpClient, error) {
	engine, err := netpoll.Start(1, netpoll.Handlers{
		Data: func(conn *nbio.Conn, data []byte) {
			if httpCall, ok := conn.Session().(*call); ok {
				httpCall.receiveData(data)
			}
		},
		Close: func(conn *nbio.Conn, err error) {
			if httpCall, ok := conn.Session().(*call); ok {
				httpCall.finish(nil, fmt.Errorf("connection closed: %w", err))
			}
		},
	})
	if err != nil {
		return nil, err
	}
	return &httpClient{engine: engine}, nil
}

// close closes all connections.
func (h *httpClient) close() { h.engine.Stop() }

// newCall prepares a call; dial or reuse starts it.
func (h *httpClient) newCall(request []byte, parser *http1.Parser) *call {
	return &call{
		engine:    h.engine,
		request:   request,
		parser:    parser,
		startedAt: time.Now(),
		result:    make(chan callResult, 1),
	}
}

// callResult is the result of a call: a response or an error.
type callResult struct {
	message *http1.Message
	err     error
}

// call is one HTTP request and its response. Create it with newCall.
type call struct {
	engine    *netpoll.Engine
	request   []byte
	startedAt time.Time
	once      sync.Once
	result    chan callResult // receives one result

	// mu is held while received bytes are parsed, and therefore also while the parser's Stream function runs.
	mu          sync.Mutex
	parser      *http1.Parser
	conn        *nbio.Conn
	abandoned   bool      // received data is ignored
	firstByteAt time.Time // when the first byte of the response arrived; zero before that
}

// dial connects and sends the request; the timeout limits the time to connect.
func (c *call) dial(address string, timeout time.Duration) {
	netpoll.Dial(c.engine, address, timeout, c, func(conn *nbio.Conn, err error) {
		if err != nil {
			c.finish(nil, err)
			return
		}
		c.send(conn)
	})
}

// reuse sends the request over an open connection.
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

// receiveData parses bytes of the response.
func (c *call) receiveData(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	if c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
	err := c.parser.Feed(data, func(message *http1.Message) error {
		c.finish(message, nil)
		return errResponseComplete
	})
	if err != nil {
		c.abandoned = true
		c.finish(nil, err) // no effect after a complete response
	}
}

// finish ends the call with a result; only the first result is used.
func (c *call) finish(message *http1.Message, err error) {
	c.once.Do(func() { c.result <- callResult{message: message, err: err} })
}

// connection returns the call's connection, or nil if there is none.
func (c *call) connection() *nbio.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// abandon cancels the call and closes its connection, even if the connection is still being dialed.
func (c *call) abandon() {
	c.mu.Lock()
	c.abandoned = true
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.engine.CloseOnPoller(conn)
	}
}

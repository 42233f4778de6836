package discovery

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/http1"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// ConsulConfig says which list is followed.
type ConsulConfig struct {
	Address   string        // host:port of the agent
	Service   string        // its name in the list
	UserAgent string        // names the governor to the list's log (User-Agent)
	Zones     []string      // names that an entry's meta may give
	Wait      time.Duration // how long a blocking query may wait for news
	Timeout   time.Duration // how long beyond that an answer may take before the call has failed
	Log       zerolog.Logger
}

// answerMost bounds an answer: 10,000 entries of 2 KiB.
const answerMost = 20 << 20

// leastPause lies between two calls, so that a list that changes all the time costs 20 calls a second at most.
const leastPause = 50 * time.Millisecond

// ConsulClient follows one service. Make it with NewConsul.
type ConsulClient struct {
	query  ConsulConfig
	to     Receiver
	engine *netpoll.Engine
	asked  chan struct{}
	done   chan struct{}
	wait   sync.WaitGroup
}

// NewConsulClient starts a client that does nothing until Follow.
func NewConsulClient(q ConsulConfig, to Receiver) (*ConsulClient, error) {
	c := &ConsulClient{query: q, to: to, asked: make(chan struct{}, 1), done: make(chan struct{})}
	var err error
	c.engine, err = netpoll.Start(1, netpoll.Handlers{Data: func(conn *nbio.Conn, data []byte) {
		if k, ok := conn.Session().(*call); ok {
			k.came(data)
		}
	}, Close: func(conn *nbio.Conn, err error) {
		if k, ok := conn.Session().(*call); ok {
			k.end(nil, fmt.Errorf("connection ended: %w", err))
		}
	}})
	if err != nil {
		return nil, fmt.Errorf("machine list: %w", err)
	}
	c.wait.Add(1)
	go c.run()
	return c, nil
}

// Subscribe subscribes; while subscribed it changes nothing.
func (c *ConsulClient) Subscribe() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// Close ends the client; a call in work is dropped.
func (c *ConsulClient) Close() {
	close(c.done)
	c.wait.Wait()
	c.engine.Stop()
}

func (c *ConsulClient) run() {
	defer c.wait.Done()
	for {
		select {
		case <-c.asked:
		case <-c.done:
			return
		}
		if err := c.follow(); err != nil {
			c.query.Log.Warn().Err(err).Msg("machine list: call failed")
			c.to.EndpointsChanged(model.PollFailed, nil)
		}
	}
}

// follow asks until a call fails (its error) or the client is closed (nil). An index that goes back, or is none,
// starts anew with the whole list, as the interface's page asks.
func (c *ConsulClient) follow() error {
	var index uint64
	var body []byte // of the last answer
	var conn *nbio.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		began := time.Now()
		var m *http1.Message
		var err error
		if m, conn, err = c.ask(conn, index); err != nil || m == nil {
			return err
		}
		if m.Status != 200 {
			return fmt.Errorf("status %d: %.80q", m.Status, m.Body)
		}
		told, err := strconv.ParseUint(m.Header["x-consul-index"], 10, 64)
		if err != nil {
			return fmt.Errorf("no index in the answer: %.40q", m.Header["x-consul-index"])
		}
		entries, skipped, err := consulcatalog.Parse(m.Body, c.query.Zones)
		if err != nil {
			return err
		}
		if skipped > 0 {
			c.query.Log.Warn().Int("entries", skipped).Msg("machine list: entries left out, without IPv4 address, known zone, or twice")
		}
		// A list may change under the same index where that is wrong (set back, or stuck): the text tells it.
		if told != index || index == 0 || !bytes.Equal(m.Body, body) {
			c.to.EndpointsChanged(model.FullList, entries)
		}
		body = m.Body
		switch {
		case told < index:
			index = 0 // it went back: what follows it is not known to be whole
		case told == 0:
			index = 1 // 0 would not block
		default:
			index = told
		}
		if m.Close {
			_ = conn.Close()
			conn = nil
		}
		select {
		case <-time.After(leastPause - time.Since(began)):
		case <-c.done:
			return nil
		}
	}
}

// call is one request in work.
type call struct {
	parser *http1.Parser
	once   sync.Once
	got    chan reply
	over   chan struct{} // the call is given up: a connection that comes now is not wanted
}

type reply struct {
	m   *http1.Message
	err error
}

func (k *call) end(m *http1.Message, err error) {
	k.once.Do(func() { k.got <- reply{m, err} })
}

func (k *call) came(data []byte) {
	err := k.parser.Feed(data, func(m *http1.Message) error {
		k.end(m, nil)
		return nil
	})
	if err != nil {
		k.end(nil, err)
	}
}

// ask sends one query, on the open connection if there is one. A nil message with a nil error: the client closed.
func (c *ConsulClient) ask(conn *nbio.Conn, index uint64) (*http1.Message, *nbio.Conn, error) {
	q := url.Values{}
	limit := c.query.Timeout
	if index > 0 {
		q.Set("index", strconv.FormatUint(index, 10))
		q.Set("wait", strconv.FormatInt(c.query.Wait.Milliseconds(), 10)+"ms")
		limit += c.query.Wait + c.query.Wait/16 // the server adds up to a sixteenth by chance
	}
	target := "/v1/health/service/" + url.PathEscape(c.query.Service)
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	k := &call{parser: http1.NewParser(true, http1.Limits{Body: answerMost}), got: make(chan reply, 1),
		over: make(chan struct{})}
	defer close(k.over)
	request := http1.AppendRequest(nil, "GET", target, c.query.Address, nil, "Accept", "application/json",
		"User-Agent", c.query.UserAgent)
	dialled := make(chan *nbio.Conn, 1)
	if conn != nil {
		conn.SetSession(k)
		if _, err := conn.Write(request); err != nil {
			return nil, nil, err
		}
	} else {
		netpoll.Dial(c.engine, c.query.Address, c.query.Timeout, k, func(n *nbio.Conn, err error) {
			if err != nil {
				k.end(nil, err)
				return
			}
			dialled <- n
			select {
			case <-k.over:
				_ = n.Close()
				return
			default:
			}
			if _, err := n.Write(request); err != nil {
				k.end(nil, err)
			}
		})
	}
	after := time.NewTimer(limit)
	defer after.Stop()
	var r reply
	select {
	case r = <-k.got:
	case <-after.C:
		r = reply{err: fmt.Errorf("no answer within %s", limit)}
	case <-c.done:
		r = reply{}
	}
	if conn == nil {
		select {
		case conn = <-dialled:
		default:
		}
	}
	if r.m == nil && conn != nil {
		_ = conn.Close()
		conn = nil
	}
	return r.m, conn, r.err
}

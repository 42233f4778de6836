package discovery

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/http1"
	"peppervale/internal/model"
)

// ConsulConfig says which endpoint list is followed.
type ConsulConfig struct {
	Address   string        // host:port of the agent
	Service   string        // its name in the list
	UserAgent string        // names this instance in the agent's log
	Zones     []string      // names that an entry's metadata may give
	Wait      time.Duration // how long a blocking query may wait for a change
	Timeout   time.Duration // how long beyond that an answer may take before the poll has failed
	Log       zerolog.Logger
}

const (
	// maxConsulAnswer bounds an answer: 10,000 entries of 2 KiB.
	maxConsulAnswer = 20 << 20

	// minPollInterval lies between the starts of two polls, so that a list that changes all the time costs 20 polls a
	// second at most.
	minPollInterval = 50 * time.Millisecond

	// waitJitterDivisor: the agent adds a random delay of up to this part of the wait (a sixteenth).
	waitJitterDivisor = 16

	consulIndexHeader = "x-consul-index"
)

// ConsulClient follows the endpoint list of one service. Make it with NewConsulClient.
type ConsulClient struct {
	config   ConsulConfig
	receiver Receiver
	http     *httpClient
	poller   *poller

	// Of the subscription, used by the poller's goroutine only.
	index uint64     // to wait for a change of; 0: request the list as it is
	body  []byte     // of the last answer
	conn  *nbio.Conn // kept open for the next poll; nil if there is none
}

// NewConsulClient starts a client that does nothing until Subscribe. The error is one of the socket engine.
func NewConsulClient(config ConsulConfig, receiver Receiver) (*ConsulClient, error) {
	client, err := newHTTPClient()
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	c := &ConsulClient{config: config, receiver: receiver, http: client}
	c.poller = newPoller(c)
	go c.poller.run()
	return c, nil
}

// Subscribe follows the list until a poll fails. It does not wait. A call while subscribed takes effect after the
// failure.
func (c *ConsulClient) Subscribe() { c.poller.subscribe() }

// Close ends the client and abandons a poll in flight.
func (c *ConsulClient) Close() {
	c.poller.close()
	c.http.close()
}

func (c *ConsulClient) begin() {
	c.index = 0
	c.body = nil
}

func (c *ConsulClient) pollFailed(err error) {
	c.config.Log.Warn().Err(err).Msg("endpoint list poll failed")
	c.receiver.EndpointsChanged(model.PollFailed, nil)
}

func (c *ConsulClient) poll() (time.Duration, error) {
	began := time.Now()
	message, err := c.query()
	if err == nil {
		err = c.handle(message)
	}
	if err != nil {
		c.closeConnection()
		return 0, err
	}
	if message.Close {
		c.closeConnection()
	}
	return minPollInterval - time.Since(began), nil
}

// query sends one query, over the open connection if there is one, and gives its answer.
func (c *ConsulClient) query() (*http1.Message, error) {
	request := http1.AppendRequest(nil, "GET", c.target(), c.config.Address, nil,
		"Accept", "application/json", "User-Agent", c.config.UserAgent)
	current := c.http.newCall(request, http1.NewParser(true, http1.Limits{Body: maxConsulAnswer}))
	if c.conn != nil {
		current.reuse(c.conn)
	} else {
		current.dial(c.config.Address, c.config.Timeout)
	}
	message, err := c.poller.await(current, &fixedTimeout{began: current.began, timeout: c.timeout()})
	if err != nil {
		current.abandon()
		c.conn = nil
		return nil, err
	}
	c.conn = current.connection()
	return message, nil
}

func (c *ConsulClient) closeConnection() {
	if c.conn != nil {
		c.http.engine.CloseOnPoller(c.conn)
		c.conn = nil
	}
}

// target is the path of the next query: a blocking one unless the list as it is now is requested.
func (c *ConsulClient) target() string {
	path := "/v1/health/service/" + url.PathEscape(c.config.Service)
	if c.index == 0 {
		return path
	}
	parameters := url.Values{}
	parameters.Set("index", strconv.FormatUint(c.index, 10))
	parameters.Set("wait", strconv.FormatInt(c.config.Wait.Milliseconds(), 10)+"ms")
	return path + "?" + parameters.Encode()
}

// timeout bounds the next query.
func (c *ConsulClient) timeout() time.Duration {
	if c.index == 0 {
		return c.config.Timeout
	}
	return c.config.Timeout + c.config.Wait + c.config.Wait/waitJitterDivisor
}

// handle parses an answer and hands its list over if it may have changed.
func (c *ConsulClient) handle(message *http1.Message) error {
	if message.Status != statusOK {
		return fmt.Errorf("status %d: %.80q", message.Status, message.Body)
	}
	index, err := strconv.ParseUint(message.Header[consulIndexHeader], 10, 64)
	if err != nil {
		return fmt.Errorf("no index in the answer: %.40q", message.Header[consulIndexHeader])
	}
	endpoints, skipped, err := consulcatalog.Parse(message.Body, c.config.Zones)
	if err != nil {
		return err
	}
	if skipped > 0 {
		c.config.Log.Warn().Int("entries", skipped).
			Msg("endpoint list entries skipped: no IPv4 address, unknown zone, or duplicate")
	}
	// Where an index is wrong (set back, or stuck) the list may change under it, which only a comparison of the
	// body shows.
	if index != c.index || c.index == 0 || !bytes.Equal(message.Body, c.body) {
		c.receiver.EndpointsChanged(model.FullList, endpoints)
	}
	c.body = message.Body
	c.index = nextIndex(c.index, index)
	return nil
}

// nextIndex is the index to wait on after an answer. One that went back starts anew with the list as it is, as Consul's
// documentation asks, since changes may lie between; 0 would not block.
func nextIndex(current, answered uint64) uint64 {
	switch {
	case answered < current:
		return 0
	case answered == 0:
		return 1
	default:
		return answered
	}
}

// fixedTimeout monitors a call that has one timeout, whatever arrives.
type fixedTimeout struct {
	began   time.Time
	timeout time.Duration
}

func (f *fixedTimeout) remaining() (time.Duration, error) {
	return time.Until(f.began.Add(f.timeout)), &noAnswerError{timeout: f.timeout}
}

func (f *fixedTimeout) superseded() bool { return false }

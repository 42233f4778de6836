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

// ConsulConfig describes the endpoint list to follow and the limits of its queries.
type ConsulConfig struct {
	Address   string        // host:port of the agent
	Service   string        // name of the service in Consul
	UserAgent string        // identifies this instance in the agent's log
	Zones     []string      // zone names that are accepted in an entry's metadata
	Wait      time.Duration // how long a blocking query may wait for a change
	Timeout   time.Duration // time to connect, and time for the response beyond the query's wait
	Log       zerolog.Logger
}

const (
	// maxConsulResponseBytes is the maximum size of a response in bytes: 10,000 entries of 2 KiB.
	maxConsulResponseBytes = 20 << 20

	// minPollInterval is the minimum time between the starts of two polls, so that a list that changes all the time causes
	// at most 20 polls per second.
	minPollInterval = 50 * time.Millisecond

	// waitJitterDivisor limits the random delay that the agent adds to the wait: up to wait/waitJitterDivisor.
	waitJitterDivisor = 16

	consulIndexHeader = "x-consul-index"
)

// ConsulClient follows the endpoint list of one service. Create it with NewConsulClient.
type ConsulClient struct {
	config   ConsulConfig
	receiver Receiver
	http     *httpClient
	poller   *poller

	// State of the subscription, used only by the poller's goroutine.
	index    uint64     // index of the last response, sent with the next query; 0: request the current list
	lastBody []byte     // of the last response
	conn     *nbio.Conn // kept open for the next poll; nil if there is none
}

// NewConsulClient returns a client that makes no call before Subscribe. It fails if the socket engine cannot be
// started.
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

// Subscribe starts a subscription, which lasts until a poll fails. It does not block. If the client is already
// subscribed, the new subscription starts after the current one fails.
func (c *ConsulClient) Subscribe() { c.poller.subscribe() }

// Close stops the client and cancels a poll in flight.
func (c *ConsulClient) Close() {
	c.poller.close()
	c.http.close()
}

func (c *ConsulClient) startSubscription() {
	c.index = 0
	c.lastBody = nil
}

func (c *ConsulClient) pollFailed(err error) {
	c.config.Log.Warn().Err(err).Msg("endpoint list poll failed")
	c.receiver.EndpointsChanged(model.PollFailed, nil)
}

func (c *ConsulClient) poll() (time.Duration, error) {
	startedAt := time.Now()
	message, err := c.query()
	if err == nil {
		err = c.handleResponse(message)
	}
	if err != nil {
		c.closeConnection()
		return 0, err
	}
	if message.Close {
		c.closeConnection()
	}
	return minPollInterval - time.Since(startedAt), nil
}

// query sends one query, over the open connection if there is one, and returns the response.
func (c *ConsulClient) query() (*http1.Message, error) {
	request := http1.AppendRequest(nil, "GET", c.target(), c.config.Address, nil,
		"Accept", "application/json", "User-Agent", c.config.UserAgent)
	httpCall := c.http.newCall(request, http1.NewParser(true, http1.Limits{Body: maxConsulResponseBytes}))
	if c.conn != nil {
		httpCall.reuse(c.conn)
	} else {
		httpCall.dial(c.config.Address, c.config.Timeout)
	}
	message, err := c.poller.awaitCall(httpCall, &fixedTimeout{startedAt: httpCall.startedAt, timeout: c.timeout()})
	if err != nil {
		httpCall.abandon()
		c.conn = nil
		return nil, err
	}
	c.conn = httpCall.connection()
	return message, nil
}

func (c *ConsulClient) closeConnection() {
	if c.conn != nil {
		c.http.engine.CloseOnPoller(c.conn)
		c.conn = nil
	}
}

// target returns the request path of the next query. The query blocks unless it requests the current list.
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

// timeout returns the timeout of the next query.
func (c *ConsulClient) timeout() time.Duration {
	if c.index == 0 {
		return c.config.Timeout
	}
	return c.config.Timeout + c.config.Wait + c.config.Wait/waitJitterDivisor
}

// handleResponse parses a response and passes its list to the receiver if the list may have changed.
func (c *ConsulClient) handleResponse(message *http1.Message) error {
	if message.Status != statusOK {
		return fmt.Errorf("response has status %d: %.80q", message.Status, message.Body)
	}
	index, err := strconv.ParseUint(message.Header[consulIndexHeader], 10, 64)
	if err != nil {
		return fmt.Errorf("invalid index in the response: %.40q, expected a number", message.Header[consulIndexHeader])
	}
	endpoints, skipped, err := consulcatalog.Parse(message.Body, c.config.Zones)
	if err != nil {
		return err
	}
	if skipped > 0 {
		c.config.Log.Warn().Int("entries", skipped).
			Msg("endpoint list entries skipped: no IPv4 address, unknown zone, or duplicate")
	}
	// If the index is wrong (it went back, or does not advance), the list may change without a new index. Only a
	// comparison of the body detects this.
	if index != c.index || c.index == 0 || !bytes.Equal(message.Body, c.lastBody) {
		c.receiver.EndpointsChanged(model.FullList, endpoints)
	}
	c.lastBody = message.Body
	c.index = nextIndex(c.index, index)
	return nil
}

// nextIndex returns the index of the next query after a response. If the index went back, it returns 0 to request the
// current list, as Consul's documentation requires, because changes may have been missed. A received index of 0
// becomes 1, because a query with index 0 does not block.
func nextIndex(current, received uint64) uint64 {
	switch {
	case received < current:
		return 0
	case received == 0:
		return 1
	default:
		return received
	}
}

// fixedTimeout monitors a call whose timeout does not depend on received data.
type fixedTimeout struct {
	startedAt time.Time
	timeout   time.Duration
}

func (f *fixedTimeout) remaining() (time.Duration, error) {
	return time.Until(f.startedAt.Add(f.timeout)), &noResponseError{timeout: f.timeout}
}

func (f *fixedTimeout) superseded() bool { return false }

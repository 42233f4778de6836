package cluster

import (
	"fmt"
	"net"
	"strings"
	"time"

	"peppervale/internal/codec/resp"
)

// errorPrefix begins each error reply.
const errorPrefix = "ERR "

// client sends requests to one address over a persistent connection. It is not safe for concurrent use.
type client struct {
	dial   func(timeout time.Duration) (net.Conn, error)
	conn   net.Conn // nil: the next request dials
	reader *resp.Reader
}

// newClient returns a client of a member's cluster port. The first request dials the connection.
func (c *Config) newClient(name, address string) *client {
	return &client{dial: func(timeout time.Duration) (net.Conn, error) {
		return c.dial(name, address, connectionForRequests, timeout)
	}}
}

// request sends a request and waits for its reply. An error reply is returned as a RemoteError; the connection stays
// open.
func (c *client) request(timeout time.Duration, words ...string) (string, error) {
	if c.conn == nil {
		conn, err := c.dial(timeout)
		if err != nil {
			return "", err
		}
		c.conn = conn
		c.reader = resp.NewReader(resp.Limits{})
	}
	reply, err := c.exchange(timeout, words)
	if err != nil {
		c.close()
		return "", err
	}
	if reply.Kind == resp.SimpleError {
		if message := strings.TrimPrefix(reply.Text, errorPrefix); message != "" {
			return "", &RemoteError{message}
		}
		return "", nil
	}
	return reply.Text, nil
}

func (c *client) exchange(timeout time.Duration, words []string) (reply resp.Value, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err = c.conn.Write(resp.AppendCommand(nil, words...)); err != nil {
		return reply, err
	}
	buffer := make([]byte, readBufferBytes)
	received := false
	for !received {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return reply, err
		}
		err = c.reader.Feed(buffer[:n], func(value resp.Value) error {
			received = true
			reply = value
			return nil
		})
		if err != nil {
			return reply, err
		}
	}
	return reply, nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Request sends one request to a member's cluster port, as operators do: STATUS; MOVE shard member; LEAVE member
// on|off; STRIKE member; ADD member address. Any member accepts a request and forwards it to the leader if necessary.
// An error reply is returned as a RemoteError.
func Request(address string, timeout time.Duration, words ...string) (string, error) {
	operatorClient := (&Config{}).newClient("", address)
	defer operatorClient.close()
	text, err := operatorClient.request(timeout, words...)
	if err != nil {
		return "", fmt.Errorf("%s: %w", address, err)
	}
	return text, nil
}

// Package netpolltest provides a client for tests of RESP servers over plain sockets.
package netpolltest

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"peppervale/internal/codec/resp"
)

// Client is the client's end of one connection. It fails its test on any unexpected error.
type Client struct {
	// Conn is the socket, for operations other than sending and receiving.
	Conn net.Conn

	tb       testing.TB
	timeout  time.Duration
	reader   *resp.Reader
	received []resp.Value
}

// Dial connects to an address and closes the connection when the test ends. The test fails if Next waits longer than
// the timeout.
func Dial(tb testing.TB, address string, timeout time.Duration) *Client {
	tb.Helper()
	return dial(tb, net.Dialer{}, address, timeout)
}

// DialWithReceiveBuffer is Dial with a limit on the kernel's receive buffer of the client, in bytes. The limit is set
// before the connection is made: a limit that is set on an open connection makes the kernel drop segments beyond the
// smaller window, and with them the server's TCP acknowledgements of the client's data.
func DialWithReceiveBuffer(tb testing.TB, address string, timeout time.Duration, size int) *Client {
	tb.Helper()
	limitBuffer := func(_, _ string, socket syscall.RawConn) error {
		var optionErr error
		err := socket.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		return errors.Join(err, optionErr)
	}
	return dial(tb, net.Dialer{Control: limitBuffer}, address, timeout)
}

func dial(tb testing.TB, dialer net.Dialer, address string, timeout time.Duration) *Client {
	tb.Helper()
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return &Client{Conn: conn, tb: tb, timeout: timeout, reader: resp.NewReader(resp.Limits{})}
}

// Send writes bytes as they are.
func (c *Client) Send(data []byte) {
	c.tb.Helper()
	if _, err := c.Conn.Write(data); err != nil {
		c.tb.Fatal(err)
	}
}

// SendCommands sends messages, each given as words separated by spaces, with one write per message.
func (c *Client) SendCommands(messages ...string) {
	c.tb.Helper()
	for _, message := range messages {
		c.Send([]byte(Command(message)))
	}
}

// Close closes the connection.
func (c *Client) Close() {
	c.tb.Helper()
	if err := c.Conn.Close(); err != nil {
		c.tb.Fatal(err)
	}
}

// Next returns the next value received; ok is false once the server has closed the connection.
func (c *Client) Next() (value resp.Value, ok bool) {
	c.tb.Helper()
	buffer := make([]byte, 4096)
	for len(c.received) == 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeout))
		n, err := c.Conn.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.tb.Fatalf("no value received within %s", c.timeout)
		}
		if err != nil {
			return resp.Value{}, false
		}
		if err := c.reader.Feed(buffer[:n], c.appendReceived); err != nil {
			c.tb.Fatal(err)
		}
	}
	value = c.received[0]
	c.received = c.received[1:]
	return value, true
}

func (c *Client) appendReceived(value resp.Value) error {
	c.received = append(c.received, value)
	return nil
}

// Command encodes a message that is given as words separated by spaces.
func Command(message string) string {
	return string(resp.AppendCommand(nil, strings.Fields(message)...))
}

// Package netpolltest drives RESP servers over plain sockets, by hand, in tests.
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

// Client is the far end of one connection. It fails its test where it cannot go on.
type Client struct {
	// Conn is the socket, for what a test does to it beyond sending and receiving.
	Conn net.Conn

	tb       testing.TB
	patience time.Duration
	reader   *resp.Reader
	received []resp.Value
}

// Dial connects to an address and closes the connection when the test ends. The test fails if Next waits longer than
// the patience.
func Dial(tb testing.TB, address string, patience time.Duration) *Client {
	tb.Helper()
	return dial(tb, net.Dialer{}, address, patience)
}

// DialWithReceiveBuffer is Dial with a bound on what the kernel keeps for the client, in bytes. The bound holds from
// the first segment on: one that is set on an open connection makes the kernel drop segments beyond the smaller
// window, and with them the server's acknowledgements of what the client sends.
func DialWithReceiveBuffer(tb testing.TB, address string, patience time.Duration, size int) *Client {
	tb.Helper()
	limitBuffer := func(_, _ string, socket syscall.RawConn) error {
		var failed error
		err := socket.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		return errors.Join(err, failed)
	}
	return dial(tb, net.Dialer{Control: limitBuffer}, address, patience)
}

func dial(tb testing.TB, dialer net.Dialer, address string, patience time.Duration) *Client {
	tb.Helper()
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return &Client{Conn: conn, tb: tb, patience: patience, reader: resp.NewReader(resp.Limits{})}
}

// Send writes bytes as they are.
func (c *Client) Send(data []byte) {
	c.tb.Helper()
	if _, err := c.Conn.Write(data); err != nil {
		c.tb.Fatal(err)
	}
}

// SendCommands sends messages, each given as words separated by blanks, one write for each.
func (c *Client) SendCommands(messages ...string) {
	c.tb.Helper()
	for _, message := range messages {
		c.Send([]byte(Command(message)))
	}
}

// Close closes the connection from this side.
func (c *Client) Close() {
	c.tb.Helper()
	if err := c.Conn.Close(); err != nil {
		c.tb.Fatal(err)
	}
}

// Next is the next value that comes; ok is false once the server has ended the connection.
func (c *Client) Next() (value resp.Value, ok bool) {
	c.tb.Helper()
	buffer := make([]byte, 4096)
	for len(c.received) == 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.patience))
		n, err := c.Conn.Read(buffer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.tb.Fatalf("nothing came within %s", c.patience)
		}
		if err != nil {
			return resp.Value{}, false
		}
		if err := c.reader.Feed(buffer[:n], c.keep); err != nil {
			c.tb.Fatal(err)
		}
	}
	value = c.received[0]
	c.received = c.received[1:]
	return value, true
}

func (c *Client) keep(value resp.Value) error {
	c.received = append(c.received, value)
	return nil
}

// Command is the encoding of a message that is given as words separated by blanks.
func Command(message string) string {
	return string(resp.AppendCommand(nil, strings.Fields(message)...))
}

package cluster

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// Links says which member reaches which; tests and measurements cut them, one way or both. nil: all reach all.
type Links interface {
	Open(from, to string) bool
}

var errCut = errors.New("the link is cut")

// linked is a connection to a member over a link that may be cut. A stream needs both ways: a write over a cut one is an error, as
// after a time-out, and what comes over one is not read.
type linked struct {
	net.Conn
	links    Links
	from, to string
}

func (c *linked) Write(b []byte) (int, error) {
	if !c.links.Open(c.from, c.to) {
		c.Close()
		return 0, errCut
	}
	return c.Conn.Write(b)
}

func (c *linked) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && !c.links.Open(c.to, c.from) {
		c.Close()
		return 0, errCut
	}
	return n, err
}

func (l *Config) linked(conn net.Conn, to string) net.Conn {
	if l.Links == nil {
		return conn
	}
	return &linked{conn, l.Links, l.Name, to}
}

// dial connects to a member's port for requests and raft, and says by the first bytes what is wanted of it and who wants it.
func (l *Config) dial(to, address string, what byte, within time.Duration) (net.Conn, error) {
	if l.Links != nil && !l.Links.Open(l.Name, to) {
		return nil, errCut
	}
	conn, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, err
	}
	conn = l.linked(conn, to)
	_ = conn.SetWriteDeadline(time.Now().Add(within))
	if _, err := conn.Write(append([]byte{what, byte(len(l.Name))}, l.Name...)); err != nil {
		conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// gossipLinks is memberlist's transport over links that may be cut.
type gossipLinks struct {
	*memberlist.NetTransport
	line *Config
}

func (t *gossipLinks) open(address string) bool {
	for _, p := range t.line.Peers {
		if p.Gossip == address {
			return t.line.Links.Open(t.line.Name, p.Name)
		}
	}
	return true
}

func (t *gossipLinks) WriteTo(b []byte, address string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: address})
}

func (t *gossipLinks) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if !t.open(a.Addr) {
		return time.Now(), nil // lost, as datagrams are
	}
	return t.NetTransport.WriteToAddress(b, a)
}

func (t *gossipLinks) DialTimeout(address string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, within)
}

func (t *gossipLinks) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	if !t.open(a.Addr) {
		return nil, errCut
	}
	return t.NetTransport.DialAddressTimeout(a, within)
}

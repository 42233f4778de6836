package cluster

import (
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// Links reports which links between members are open. Tests and benchmarks cut links in one or both directions; nil:
// all are open.
type Links interface {
	Open(from, to string) bool
}

// linkedConn is a connection to a member over a link that may be cut. A stream needs both directions: a write over a
// cut link fails, as after a timeout, and data received over a cut link is discarded.
type linkedConn struct {
	net.Conn
	links    Links
	from, to string
}

// Write sends bytes, unless the link to the other member is cut.
func (c *linkedConn) Write(data []byte) (int, error) {
	if !c.links.Open(c.from, c.to) {
		_ = c.Close()
		return 0, errLinkCut
	}
	return c.Conn.Write(data)
}

// Read receives bytes, unless the link from the other member is cut.
func (c *linkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == nil && !c.links.Open(c.to, c.from) {
		_ = c.Close()
		return 0, errLinkCut
	}
	return n, err
}

// wrapConn wraps a connection to a member so that it fails while its link is cut.
func (c *Config) wrapConn(conn net.Conn, to string) net.Conn {
	if c.Links == nil {
		return conn
	}
	return &linkedConn{conn, c.Links, c.Name, to}
}

// gossipLinks is memberlist's transport over links that may be cut.
type gossipLinks struct {
	*memberlist.NetTransport
	config *Config
}

func (t *gossipLinks) isOpen(address string) bool {
	for _, peer := range t.config.Peers {
		if peer.GossipAddress == address {
			return t.config.Links.Open(t.config.Name, peer.Name)
		}
	}
	return true
}

// WriteTo sends a datagram.
func (t *gossipLinks) WriteTo(data []byte, address string) (time.Time, error) {
	return t.WriteToAddress(data, memberlist.Address{Addr: address})
}

// WriteToAddress sends a datagram; over a cut link it is lost.
func (t *gossipLinks) WriteToAddress(data []byte, address memberlist.Address) (time.Time, error) {
	if !t.isOpen(address.Addr) {
		return time.Now(), nil
	}
	return t.NetTransport.WriteToAddress(data, address)
}

// DialTimeout connects to a member's gossip port.
func (t *gossipLinks) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: address}, timeout)
}

// DialAddressTimeout connects to a member's gossip port.
func (t *gossipLinks) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if !t.isOpen(address.Addr) {
		return nil, errLinkCut
	}
	return t.NetTransport.DialAddressTimeout(address, timeout)
}

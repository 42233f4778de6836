package server

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"peppervale/internal/invariants"
)

// An instance on the platform binds its proxies after every replica was reported. It handles a withdrawal, a new
// replica, a broken stream, connections of other clients than proxies, and a new discovery address. The messages on the
// sockets violate no invariant.
func TestServePlatformViolatesNoInvariant(t *testing.T) {
	bed := newPlatformTestbed(t, 8)
	firstDiscovery, stopFirstDiscovery := bed.startDiscovery()
	bed.writeConfiguration(firstDiscovery)
	bed.startWithProxies(8)

	otherConns := []net.Conn{
		bed.dial("update", "whole", "1"),
		bed.dial("joined", "id", "99", "site", "govan", "rps", "1", "new", "1"),
		bed.dial("ping"),
	}
	bed.drainHost(1)
	bed.setHost(9, "ready", time.Now().UnixMilli())
	bed.waitForProxies("sending to the new replica, in slow start", func(p *platformProxy) bool {
		inSlowStart := p.weights[hostName(9)] > 0 && p.weights[hostName(9)] < 0.5*p.weights[hostName(3)] // same zone
		return inSlowStart && !p.withdrawn[hostName(9)]
	})

	reconnectAfterBreak(bed, bed.proxies[3])

	secondDiscovery, _ := bed.startDiscovery()
	bed.writeConfiguration("no address")
	bed.reload <- struct{}{} // an invalid file changes nothing
	bed.writeConfiguration(secondDiscovery)
	bed.reload <- struct{}{}
	stopFirstDiscovery()
	bed.drainHost(2)
	for _, conn := range otherConns {
		expectAnswerOrEnd(t, conn)
	}
	bed.end()
}

// Guards against an instance that learns of no drain any more, because a watch of discovery ended right after its list.
func TestServePlatformFollowsDiscoveryAfterShortWatches(t *testing.T) {
	bed := newPlatformTestbed(t, 4)
	bed.watchesToEnd.Store(2)
	address, _ := bed.startDiscovery()
	bed.writeConfiguration(address)
	bed.startWithProxies(2)
	bed.drainHost(1)
	bed.end()
}

// reconnectAfterBreak breaks a proxy's stream and connects the proxy again. Before the reconnection, another instance
// withdraws a replica that this instance did not withdraw. The proxy must be bound again and send to that replica
// again.
func reconnectAfterBreak(bed *platformTestbed, broken *platformProxy) {
	bed.t.Helper()
	withdrawnByOther := hostName(4)
	bed.closeConn(broken.conn)
	bed.mu.Lock()
	bed.observe(invariants.StreamChanged{At: bed.now(), Proxy: broken.name(), Instance: platformInstanceName})
	broken.withdrawn[withdrawnByOther] = true
	bed.mu.Unlock()
	bed.connect(broken, "0")
	bed.waitForProxies("bound again after its stream broke", func(p *platformProxy) bool {
		if p != broken {
			return true
		}
		return p.fullTableCount == 2 && !p.withdrawn[withdrawnByOther] && p.weights[withdrawnByOther] > 0
	})
}

// expectAnswerOrEnd fails the test if a connection is neither answered nor closed, and closes it.
func expectAnswerOrEnd(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
	}
	if got, err := io.ReadAll(conn); err != nil && len(got) == 0 && os.IsTimeout(err) {
		t.Errorf("a connection that sent no valid join was neither answered nor closed")
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

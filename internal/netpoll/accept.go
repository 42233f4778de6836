package netpoll

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// An address that cannot accept, as for want of a descriptor, waits before it tries again, for a time that doubles. The
// longest wait keeps it from using a core, and is short beside the time that a peer is given.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
)

// maxPendingAccepts is how many connections of one address may be accepted and not yet added by their poller: what Open
// allows or closes bounds the descriptors in use only as far as it has seen them. The others wait in the kernel.
const maxPendingAccepts = 8

// accept takes connections until the address is closed.
func (e *Engine) accept(listener net.Listener) {
	defer e.background.Done()
	backoff := time.Duration(0)
	pending := make(chan struct{}, maxPendingAccepts)
	for {
		select {
		case pending <- struct{}{}:
		case <-e.dialContext.Done():
			return
		}
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			<-pending
			backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
			if !e.wait(backoff) {
				return
			}
			continue
		}
		backoff = 0
		conn, err := adopt(accepted)
		if err != nil {
			<-pending
			continue
		}
		e.add(conn, func(error) { <-pending })
	}
}

// wait returns false if the engine stops before the time has passed.
func (e *Engine) wait(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-e.dialContext.Done():
		return false
	}
}

// adopt makes a connection nbio's. nbio duplicates its descriptor without close-on-exec: a child process started
// meanwhile would keep the connection open, and the poller would go on reporting its end under a number that another
// connection has by then (seen: controllers restarted by a scenario broke hundreds of streams that had nothing to do
// with them). So the flag is set before anything can be forked.
func adopt(accepted net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	conn, err := nbio.NBConn(accepted)
	if err != nil {
		_ = accepted.Close()
		return nil, err
	}
	syscall.CloseOnExec(conn.Hash()) // on unix the hash is the descriptor
	return conn, nil
}

package netpoll

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Bounds of the delay before the next attempt after accept has failed, for example without a free descriptor. The delay
// doubles with each failure. The longest delay prevents a busy loop and is short compared with the timeouts of peers.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 250 * time.Millisecond
)

// maxPendingAccepts is how many connections of one address may be accepted and not yet added by their poller. Open can
// limit the number of descriptors only for connections that were added. Further connections wait in the kernel.
const maxPendingAccepts = 8

// acceptConnections accepts connections until the listener is closed.
func (e *Engine) acceptConnections(listener net.Listener) {
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
			if !e.waitBeforeRetry(backoff) {
				return
			}
			continue
		}
		backoff = 0
		conn, err := newNBConn(accepted)
		if err != nil {
			<-pending
			continue
		}
		e.addToPoller(conn, func(error) { <-pending })
	}
}

// waitBeforeRetry waits before the next accept. It returns false if the engine stops first.
func (e *Engine) waitBeforeRetry(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-e.dialContext.Done():
		return false
	}
}

// newNBConn converts a connection to an nbio connection. nbio duplicates the descriptor without close-on-exec. A child
// process that is started before the flag is set would keep the connection open. The poller would keep reporting the
// end of that connection under a descriptor number that another connection has by then, and so end the other one: a
// restart of controllers would end hundreds of unrelated connections. The fork lock prevents a process from being
// started before the flag is set.
func newNBConn(accepted net.Conn) (*nbio.Conn, error) {
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

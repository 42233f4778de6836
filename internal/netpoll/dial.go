package netpoll

import (
	"fmt"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// maxDials is how many dials may be in progress in the process.
const maxDials = 256

// dialSlots holds one value for each dial in progress.
var dialSlots = make(chan struct{}, maxDials)

// Dial connects in the background and calls done once: with the connection, whose session is set, on its poller before
// any of its data is read, or with an error on any goroutine. The dial function of nbio
// 1.6.8 is not used: it parses IPv4 addresses other than 127.0.0.1 incorrectly, and reports a refused connection as
// established.
func Dial(engine *Engine, address string, timeout time.Duration, session any, done func(*nbio.Conn, error)) {
	if !engine.beginDial() {
		go done(nil, fmt.Errorf("dial %s: %w", address, net.ErrClosed))
		return
	}
	go func() {
		defer engine.background.Done()
		engine.dial(address, timeout, session, done)
	}()
}

// beginDial counts a dial as in progress. It returns false once the engine is stopping.
func (e *Engine) beginDial() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return false
	}
	e.background.Add(1)
	return true
}

func (e *Engine) dial(address string, timeout time.Duration, session any, done func(*nbio.Conn, error)) {
	connected, err := e.connect(address, timeout)
	if err != nil {
		done(nil, err)
		return
	}
	conn, err := newNBConn(connected)
	if err != nil {
		done(nil, err)
		return
	}
	conn.SetSession(session)
	e.addToPoller(conn, func(err error) {
		if err != nil {
			done(nil, err)
			return
		}
		done(conn, nil)
	})
}

// connect waits for a free slot, and connects.
func (e *Engine) connect(address string, timeout time.Duration) (net.Conn, error) {
	select {
	case dialSlots <- struct{}{}:
	case <-e.dialContext.Done():
		return nil, e.dialContext.Err()
	}
	defer func() { <-dialSlots }()
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(e.dialContext, "tcp", address)
}

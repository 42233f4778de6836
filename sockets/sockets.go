// Package sockets makes the program's nbio engines alike: TCP on the given addresses, quiet, few pollers.
package sockets

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Handlers take a connection's events on the engine's goroutines; nil ones are left out. Data is the engine's own and
// lasts for the call.
type Handlers struct {
	Open  func(c *nbio.Conn)
	Data  func(c *nbio.Conn, data []byte)
	Close func(c *nbio.Conn, err error)
	Wrote func(c *nbio.Conn, n int)
}

// fence orders what Open wrote before what Data reads on another goroutine: between them lies the kernel's poller, of
// which Go's memory model knows nothing.
var fence atomic.Int64

var quiet = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Start makes and starts an engine; with no address it only dials. Errors are those of the addresses.
func Start(pollers int, h Handlers, addresses ...string) (*nbio.Engine, error) {
	quiet()
	var listeners []*listener
	listen := func(network, address string) (net.Listener, error) {
		l, err := open(network, address)
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, &listener{Listener: l, begun: make(chan struct{})})
		return listeners[len(listeners)-1], nil
	}
	e := nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: addresses, NPoller: pollers, Listen: listen})
	ours := func(c *nbio.Conn) bool { _, is := c.Session().(*probe); return is }
	e.OnOpen(func(c *nbio.Conn) {
		if h.Open != nil && !ours(c) {
			h.Open(c)
			fence.Add(1)
		}
	})
	e.OnData(func(c *nbio.Conn, data []byte) {
		fence.Load()
		if p, is := c.Session().(*probe); is {
			p.once.Do(func() { close(p.begun) })
		} else if h.Data != nil {
			h.Data(c, data)
		}
	})
	e.OnClose(func(c *nbio.Conn, err error) {
		if h.Close != nil && !ours(c) {
			h.Close(c, err)
		}
	})
	if h.Wrote != nil {
		e.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) { h.Wrote(c, n) })
	}
	if err := e.Start(); err != nil {
		return nil, err
	}
	if err := awaitBegun(e, pollers, listeners); err != nil {
		return nil, err // an engine that has not begun cannot be stopped either
	}
	return e, nil
}

// own makes a connection nbio's. nbio duplicates its descriptor without close-on-exec: a child process started
// meanwhile would keep the connection open, and the poller would go on telling its end under a number that another
// connection has by then (seen: governors restarted by a day broke hundreds of streams that had nothing to do with
// them). So the flag is set before anything can be forked.
func own(conn net.Conn) (*nbio.Conn, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	c, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	syscall.CloseOnExec(c.Hash()) // on unix the hash is the descriptor
	return c, nil
}

// dialling bounds the dials in work of a process.
var dialling = make(chan struct{}, 256)

// Dial connects in the background and hands the connection, with its session set, to done. The engine's own dial of
// nbio 1.6.8 is not used: it reads IPv4 addresses other than 127.0.0.1 wrongly, and tells a refusal as a connection.
func Dial(e *nbio.Engine, address string, within time.Duration, session any, done func(*nbio.Conn, error)) {
	go func() {
		dialling <- struct{}{}
		conn, err := net.DialTimeout("tcp", address, within)
		<-dialling
		if err != nil {
			done(nil, err)
			return
		}
		c, err := own(conn)
		if err == nil {
			c.SetSession(session)
			fence.Add(1)
			c, err = e.AddConn(c)
		}
		done(c, err)
	}()
}

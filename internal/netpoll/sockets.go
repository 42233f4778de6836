// Package sockets makes the program's nbio engines alike: TCP on the given addresses, quiet, few pollers.
//
// Guarantees, which nbio 1.6.8 alone does not give: connections are added by their poller's own goroutine, in a round that began after
// they came, so that an event of a closed descriptor never ends another connection that got its number; a connection that is being
// taken in, or dialled, while the engine stops is ended by it, and Stop comes back; an address that finds no descriptor waits and
// goes on. Open, Data and a dial's done run on the connection's poller, Close after it on another goroutine.
//
// Caveats: a connection should be closed by Engine.End: the poller may be adding it, or looking at it.
package netpoll

import (
	"context"
	"errors"
	"fmt"
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

// Engine is an nbio engine with its addresses. Make it with Start.
type Engine struct {
	Addrs     []string // that it listens on
	nbio      *nbio.Engine
	loops     []*loop
	listeners []net.Listener
	ctx       context.Context // ends the dials
	cancel    context.CancelFunc
	work      sync.WaitGroup // acceptors and dials

	mu       sync.Mutex
	stopping bool
	stopped  sync.Once
}

// fence orders what Open wrote before what Data reads on another goroutine: between them lies the kernel's poller, of
// which Go's memory model knows nothing.
var fence atomic.Int64

var quiet = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Start makes and starts an engine; with no address it only dials. Errors are those of the addresses.
func Start(pollers int, h Handlers, addresses ...string) (*Engine, error) {
	quiet()
	e := &Engine{}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	for _, address := range addresses {
		l, err := open("tcp", address)
		if err != nil {
			e.closeListeners()
			return nil, err
		}
		e.listeners, e.Addrs = append(e.listeners, l), append(e.Addrs, l.Addr().String())
	}
	if err := e.start(pollers, h); err != nil {
		e.closeListeners()
		return nil, err
	}
	for _, l := range e.listeners {
		e.work.Add(1)
		go e.accept(l)
	}
	return e, nil
}

// start starts the pollers. An engine of nbio that is stopped before its goroutines have begun never stops: each of them clears the
// word to end as it begins. (Seen: a governor ended in the moment that it served hung, and turned a core.) So each poller is waited for.
func (e *Engine) start(pollers int, h Handlers) error {
	n := nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: pollers})
	ours := func(c *nbio.Conn) bool { _, is := c.Session().(*loop); return is }
	n.OnOpen(func(c *nbio.Conn) {
		if h.Open != nil && !ours(c) {
			h.Open(c)
			fence.Add(1)
		}
	})
	n.OnData(func(c *nbio.Conn, data []byte) {
		fence.Load()
		if l, is := c.Session().(*loop); is {
			l.round()
		} else if h.Data != nil {
			h.Data(c, data)
		}
	})
	n.OnClose(func(c *nbio.Conn, err error) {
		if h.Close != nil && !ours(c) {
			h.Close(c, err)
		}
	})
	if h.Wrote != nil {
		n.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) { h.Wrote(c, n) })
	}
	for poller := range pollers {
		l, err := newLoop(poller, pollers)
		if err != nil {
			e.endLoops()
			return err
		}
		e.loops = append(e.loops, l)
	}
	if err := n.Start(); err != nil {
		e.endLoops()
		return err
	}
	e.nbio = n
	for _, l := range e.loops {
		if _, err := n.AddConn(l.conn); err != nil {
			return err // an engine whose goroutines may not have begun cannot be stopped either
		}
		l.settle()
	}
	return nil
}

func (e *Engine) endLoops() {
	for _, l := range e.loops {
		_ = l.conn.Close()
		l.end()
	}
}

func (e *Engine) closeListeners() {
	for _, l := range e.listeners {
		_ = l.Close()
	}
}

// Stop ends the addresses, the dials in work and every connection, and waits for all of it. It may be called again, and not from a
// handler.
func (e *Engine) Stop() {
	e.stopped.Do(func() {
		e.mu.Lock()
		e.stopping = true
		e.mu.Unlock()
		e.cancel()
		e.closeListeners()
		e.work.Wait()
		// Nothing is added from here on but what was posted already; nbio ends what it knows of, once, and waits for all.
		for _, l := range e.loops {
			l.settle()
		}
		e.nbio.Stop()
		for _, l := range e.loops {
			l.end()
		}
	})
}

// End has a connection's poller close it, between two of its rounds: from wherever it is called, also from Open. A close on another
// goroutine may cross the poller's look at the same descriptor; the kernel (seen on 6.18) then keeps the connection up until that look
// returns, which is when something else happens.
func (e *Engine) End(c *nbio.Conn) { e.on(c).post(func() { _ = c.Close() }) }

// Between has f run on the first poller's goroutine, between two of its rounds: after what could be read there when it was called. It
// tells false once the engine has stopped.
func (e *Engine) Between(f func()) bool { return e.loops[0].post(f) }

// on is the loop of a connection's poller.
func (e *Engine) on(c *nbio.Conn) *loop { return e.loops[c.Hash()%len(e.loops)] }

// pauseMost bounds the pause of an address that cannot accept, as for want of a descriptor: long enough not to turn a core, and short
// beside the time that a caller is given.
const pauseMost = 250 * time.Millisecond

// acceptedMost is how many connections of one address may be accepted and not yet taken in by their poller: what Open allows or ends
// bounds the descriptors in use only as far as it has seen them. The rest waits in the kernel.
const acceptedMost = 8

// accept takes connections in until the address is closed.
func (e *Engine) accept(l net.Listener) {
	defer e.work.Done()
	pause := time.Duration(0)
	places := make(chan struct{}, acceptedMost)
	for {
		select {
		case places <- struct{}{}:
		case <-e.ctx.Done():
			return
		}
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			pause = min(max(2*pause, 5*time.Millisecond), pauseMost)
			select {
			case <-time.After(pause):
				<-places
				continue
			case <-e.ctx.Done():
				return
			}
		}
		pause = 0
		if c, err := own(conn); err == nil {
			e.add(c, func(error) { <-places })
		} else {
			<-places
		}
	}
}

// add has a connection's poller take it in, and tells it there.
func (e *Engine) add(c *nbio.Conn, done func(error)) {
	if !e.on(c).post(func() {
		_, err := e.nbio.AddConn(c)
		done(err)
	}) {
		_ = c.Close()
		done(net.ErrClosed)
	}
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

// Dial connects in the background and hands the connection, with its session set, to done: on the connection's poller, before any data
// of it comes; an error on a goroutine of its own. The engine's own dial of nbio 1.6.8 is not used: it reads IPv4 addresses other than
// 127.0.0.1 wrongly, and tells a refusal as a connection.
func Dial(e *Engine, address string, within time.Duration, session any, done func(*nbio.Conn, error)) {
	e.mu.Lock()
	stopping := e.stopping
	if !stopping {
		e.work.Add(1)
	}
	e.mu.Unlock()
	if stopping {
		go done(nil, fmt.Errorf("dial %s: %w", address, net.ErrClosed))
		return
	}
	go func() {
		defer e.work.Done()
		conn, err := e.connect(address, within)
		if err != nil {
			done(nil, err)
			return
		}
		c, err := own(conn)
		if err != nil {
			done(nil, err)
			return
		}
		c.SetSession(session)
		e.add(c, func(err error) {
			if err != nil {
				c = nil
			}
			done(c, err)
		})
	}()
}

func (e *Engine) connect(address string, within time.Duration) (net.Conn, error) {
	select {
	case dialling <- struct{}{}:
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
	defer func() { <-dialling }()
	dialer := net.Dialer{Timeout: within}
	return dialer.DialContext(e.ctx, "tcp", address)
}

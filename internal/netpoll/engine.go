package netpoll

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Handlers take a connection's events on the engine's goroutines; nil ones are left out.
type Handlers struct {
	// Open is called for a new connection before any data of it.
	Open func(conn *nbio.Conn)
	// Data takes what came. The bytes belong to the engine and are valid during the call only.
	Data func(conn *nbio.Conn, data []byte)
	// Close is called at the end of a connection, after all its other events.
	Close func(conn *nbio.Conn, err error)
	// Wrote is called with the number of bytes that the socket has accepted.
	Wrote func(conn *nbio.Conn, count int)
}

// Engine is an nbio engine with its addresses. Make it with Start.
type Engine struct {
	// Addrs are the addresses that the engine listens on, in the order of Start's. Read only.
	Addrs []string

	nbio        *nbio.Engine
	pollerLoops []*pollerLoop
	listeners   []net.Listener

	dialContext context.Context // ends the dials and the waits of acceptors
	cancelDials context.CancelFunc
	background  sync.WaitGroup // acceptors and dials

	mu       sync.Mutex
	stopping bool
	stopOnce sync.Once
}

// openFence orders what Open wrote before what Data reads on another goroutine: between them lies the kernel's
// poller, of which Go's memory model knows nothing.
var openFence atomic.Int64

// silenceLog turns nbio's own log off.
var silenceLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Start makes and starts an engine; without an address it only dials. Errors are those of the addresses.
func Start(pollers int, handlers Handlers, addresses ...string) (*Engine, error) {
	silenceLog()
	engine := &Engine{}
	engine.dialContext, engine.cancelDials = context.WithCancel(context.Background())
	for _, address := range addresses {
		listener, err := listen("tcp", address)
		if err != nil {
			engine.closeListeners()
			return nil, err
		}
		engine.listeners = append(engine.listeners, listener)
		engine.Addrs = append(engine.Addrs, listener.Addr().String())
	}
	if err := engine.startPollers(pollers, handlers); err != nil {
		engine.closeListeners()
		return nil, err
	}
	for _, listener := range engine.listeners {
		engine.background.Add(1)
		go engine.accept(listener)
	}
	return engine, nil
}

// startPollers starts the pollers and waits until each of them runs. An nbio engine that is stopped before its
// goroutines have begun never stops: each of them clears the flag to end as it begins. (Seen: a controller that was
// ended in the moment it began to serve hung, and kept a core busy.)
func (e *Engine) startPollers(pollers int, handlers Handlers) error {
	nbioEngine := nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: pollers})
	setHandlers(nbioEngine, handlers)
	for poller := range pollers {
		loop, err := newPollerLoop(poller, pollers)
		if err != nil {
			e.closePollerLoops()
			return err
		}
		e.pollerLoops = append(e.pollerLoops, loop)
	}
	if err := nbioEngine.Start(); err != nil {
		e.closePollerLoops()
		return err
	}
	e.nbio = nbioEngine
	for _, loop := range e.pollerLoops {
		if _, err := nbioEngine.AddConn(loop.conn); err != nil {
			return err // an engine whose goroutines may not have begun cannot be stopped either
		}
		loop.waitUntilDone()
	}
	return nil
}

// setHandlers passes the events of all connections but the poller loops' own on.
func setHandlers(engine *nbio.Engine, handlers Handlers) {
	engine.OnOpen(func(conn *nbio.Conn) {
		if handlers.Open != nil && loopOf(conn) == nil {
			handlers.Open(conn)
			openFence.Add(1)
		}
	})
	engine.OnData(func(conn *nbio.Conn, data []byte) {
		openFence.Load()
		if loop := loopOf(conn); loop != nil {
			loop.runRound()
		} else if handlers.Data != nil {
			handlers.Data(conn, data)
		}
	})
	engine.OnClose(func(conn *nbio.Conn, err error) {
		if handlers.Close != nil && loopOf(conn) == nil {
			handlers.Close(conn, err)
		}
	})
	if handlers.Wrote != nil {
		engine.OnWrittenSize(func(conn *nbio.Conn, _ []byte, count int) { handlers.Wrote(conn, count) })
	}
}

func (e *Engine) closePollerLoops() {
	for _, loop := range e.pollerLoops {
		_ = loop.conn.Close()
		loop.close()
	}
}

func (e *Engine) closeListeners() {
	for _, listener := range e.listeners {
		_ = listener.Close()
	}
}

// Stop ends the addresses, the dials in progress and every connection, and waits for all of it. It may be called again,
// and not from a handler.
func (e *Engine) Stop() { e.stopOnce.Do(e.stop) }

func (e *Engine) stop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.cancelDials()
	e.closeListeners()
	e.background.Wait()
	// Nothing is added from here on but what was posted already; nbio closes what it knows of, once, and waits for all.
	for _, loop := range e.pollerLoops {
		loop.waitUntilDone()
	}
	e.nbio.Stop()
	for _, loop := range e.pollerLoops {
		loop.close()
	}
}

// CloseOnPoller has a connection's poller close it, between two of its rounds; it may be called from anywhere, also
// from Open. A close on another goroutine may cross the poller's read of the same descriptor; the kernel (seen on
// 6.18) then keeps the connection up until that read returns, which is when something else happens.
func (e *Engine) CloseOnPoller(conn *nbio.Conn) {
	e.loopFor(conn).post(func() { _ = conn.Close() })
}

// RunOnPoller has a task run on the first poller's goroutine, between two of its rounds: after what could be read there
// when it was called. It returns false once the engine has stopped; the task then never runs.
func (e *Engine) RunOnPoller(task func()) bool { return e.pollerLoops[0].post(task) }

// loopFor is the loop of a connection's poller.
func (e *Engine) loopFor(conn *nbio.Conn) *pollerLoop {
	return e.pollerLoops[conn.Hash()%len(e.pollerLoops)]
}

// add has a connection's poller add it, and calls done there; or at once, with an error, if the engine has stopped.
func (e *Engine) add(conn *nbio.Conn, done func(error)) {
	posted := e.loopFor(conn).post(func() {
		_, err := e.nbio.AddConn(conn)
		done(err)
	})
	if !posted {
		_ = conn.Close()
		done(net.ErrClosed)
	}
}

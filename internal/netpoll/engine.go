package netpoll

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// A poller reads from each connection that has data a bounded number of bytes in one round, so that hundreds of peers
// that write without pause delay the others, and connections that have just been accepted, by little.
const (
	bytesPerRead  = 16 << 10
	readsPerRound = 1
)

// Handlers receive a connection's events on the engine's goroutines; nil handlers are not called.
type Handlers struct {
	// Open is called for a new connection before any of its data is read.
	Open func(conn *nbio.Conn)
	// Data receives the bytes that were read. They belong to the engine and are valid during the call only.
	Data func(conn *nbio.Conn, data []byte)
	// Close is called at the end of a connection, after all its other events.
	Close func(conn *nbio.Conn, err error)
	// Wrote is called with the number of bytes that the socket has accepted.
	Wrote func(conn *nbio.Conn, count int)
}

// Engine is an nbio engine with its addresses. Create it with Start.
type Engine struct {
	// Addrs lists the addresses that the engine listens on, in the order of Start's addresses. It is read-only.
	Addrs []string

	nbio        *nbio.Engine
	pollerLoops []*pollerLoop
	listeners   []net.Listener

	dialContext context.Context // cancelled by Stop: ends dials and the waits of acceptors
	cancelDials context.CancelFunc
	background  sync.WaitGroup // acceptors and dials

	mu       sync.Mutex
	stopping bool
	stopOnce sync.Once
}

// openFence orders the writes of Open before the reads of Data on another goroutine. The kernel's poller orders the two
// calls, but Go's memory model does not include this order.
var openFence atomic.Int64

// silenceLog turns off nbio's log output.
var silenceLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Start creates and starts an engine; without an address it only dials. It returns an error if an address cannot be
// opened or a poller cannot be started.
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
		go engine.acceptConnections(listener)
	}
	return engine, nil
}

// startPollers starts the pollers and waits until each of them runs. An nbio engine that is stopped before its
// goroutines have begun never stops and keeps a core busy, because each goroutine clears its stop flag when it begins.
// Each poller gets a pollerLoop, whose connection lets the poller run scheduled tasks.
func (e *Engine) startPollers(pollers int, handlers Handlers) error {
	nbioEngine := nbio.NewEngine(nbio.Config{
		Network:                      "tcp",
		NPoller:                      pollers,
		ReadBufferSize:               bytesPerRead,
		MaxConnReadTimesPerEventLoop: readsPerRound,
	})
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
			return err // do not stop the engine: its goroutines may not have begun
		}
		loop.waitForScheduledTasks()
	}
	return nil
}

// setHandlers forwards the events of all connections except those of the poller loops.
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
			loop.runReadyTasks()
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

// Stop closes the addresses and all connections, cancels the dials in progress, and waits until acceptors, dials and
// connections have ended. It may be called more than once, but not from a handler.
func (e *Engine) Stop() { e.stopOnce.Do(e.stopAll) }

func (e *Engine) stopAll() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.cancelDials()
	e.closeListeners()
	e.background.Wait()
	// From here on, only connections that were already scheduled are added. nbio's Stop closes the connections that
	// were added before it, and waits for them.
	for _, loop := range e.pollerLoops {
		loop.waitForScheduledTasks()
	}
	e.nbio.Stop()
	for _, loop := range e.pollerLoops {
		loop.close()
	}
}

// CloseOnPoller closes a connection on its poller's goroutine, between two polling rounds. It may be called from
// anywhere, including Open. If another goroutine closes a descriptor while the poller reads it, the kernel (Linux 6.18)
// keeps the connection open until that read returns, which takes until the next event.
func (e *Engine) CloseOnPoller(conn *nbio.Conn) {
	e.loopFor(conn).schedule(func() { _ = conn.Close() })
}

// RunOnPoller runs a task on the first poller's goroutine, between two polling rounds, once the data that was readable
// at the time of the call has been handled. It returns false once the engine has stopped; the task then never runs.
func (e *Engine) RunOnPoller(task func()) bool { return e.pollerLoops[0].schedule(task) }

// loopFor returns the loop of a connection's poller.
func (e *Engine) loopFor(conn *nbio.Conn) *pollerLoop {
	return e.pollerLoops[conn.Hash()%len(e.pollerLoops)]
}

// addToPoller adds a connection on its poller's goroutine and calls done there. If the engine has stopped, it closes
// the connection and calls done with an error at once.
func (e *Engine) addToPoller(conn *nbio.Conn, done func(error)) {
	isScheduled := e.loopFor(conn).schedule(func() {
		_, err := e.nbio.AddConn(conn)
		done(err)
	})
	if !isScheduled {
		_ = conn.Close()
		done(net.ErrClosed)
	}
}

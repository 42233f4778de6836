package replica

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// The values of the response header "ran": whether the request was executed.
const (
	executed    = "yes"
	notExecuted = "no"
	repeated    = "repeat" // not executed again: an earlier request had the same idempotency key
)

// handlers returns handlers that post the sockets' events to the loop. Events of another generation are ignored.
func (r *Replica) handlers(generation int) netpoll.Handlers {
	return netpoll.Handlers{
		Open: func(conn *nbio.Conn) {
			conn.SetSession(http1.NewParser(false, http1.Limits{}))
			r.loop.Post(func() { r.onOpen(conn, generation) })
		},
		Data: func(conn *nbio.Conn, data []byte) { r.onData(conn, data, generation) },
		Close: func(*nbio.Conn, error) {
			r.loop.Post(func() {
				if r.generation == generation {
					r.connections--
				}
			})
		},
	}
}

// onData is called on the connection's poller.
func (r *Replica) onData(conn *nbio.Conn, data []byte, generation int) {
	parser, ok := conn.Session().(*http1.Parser)
	if !ok {
		return
	}
	err := parser.Feed(data, func(m *http1.Message) error {
		r.loop.Post(func() {
			if r.generation == generation {
				r.handleRequest(conn, m)
			}
		})
		return nil
	})
	if err != nil {
		_ = conn.Close()
	}
}

func (r *Replica) onOpen(conn *nbio.Conn, generation int) {
	if r.generation != generation {
		_ = conn.Close()
		return
	}
	r.connections++
	if r.connections > r.MaxConnections {
		_ = conn.Close()
		return
	}
	r.load.coreTime += r.HandshakeWork
}

// request is a request that waits for a core or is being executed.
type request struct {
	conn          *nbio.Conn
	work          float64 // in microseconds
	operation     int
	number        uint64
	clientAttempt int
}

var errInvalidRequest = errors.New("request is not a POST or its operation is unknown")

func (r *Replica) parseRequest(conn *nbio.Conn, message *http1.Message) (*request, error) {
	if message.Method != "POST" {
		return nil, errInvalidRequest
	}
	work, err := strconv.ParseFloat(message.Header["work-us"], 64)
	if err != nil {
		return nil, fmt.Errorf("header work-us: %w", err)
	}
	operation, err := strconv.Atoi(message.Header["operation"])
	if err != nil {
		return nil, fmt.Errorf("header operation: %w", err)
	}
	number, err := strconv.ParseUint(message.Header["invocation"], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("header invocation: %w", err)
	}
	if operation < 0 || operation >= len(r.deduplicationWindows) {
		return nil, errInvalidRequest
	}
	clientAttempt, _ := strconv.Atoi(message.Header["caller-try"]) // 0 if the client does not number its attempts
	return &request{conn: conn, work: work, operation: operation, number: number, clientAttempt: clientAttempt}, nil
}

// handleRequest queues a request or answers it at once. A silent or overloaded replica does neither.
func (r *Replica) handleRequest(conn *nbio.Conn, m *http1.Message) {
	if r.Silent || r.Overloaded {
		return
	}
	now := r.loop.Now()
	req, err := r.parseRequest(conn, m)
	if err != nil {
		r.respond(conn, 400, notExecuted)
		return
	}
	r.observe(invariants.WorkArrived{At: now, Replica: r.ID, Proxy: m.Header["forwarder"], Work: req.work})
	if r.recordWork(now, req.work) {
		return
	}
	switch {
	case r.Draining || len(r.queue.waiting) >= r.QueueLimit:
		r.respond(conn, 503, notExecuted)
	case r.FailingOperations[req.operation]:
		r.respond(conn, 500, executed)
	case r.isRepeat(req, now):
		r.respond(conn, 200, repeated)
	default:
		r.queue.waiting = append(r.queue.waiting, req)
		r.serveWaiting()
	}
}

// isRepeat reports whether a replica of the deduplication group has accepted the request before, within the
// operation's window.
func (r *Replica) isRepeat(req *request, now model.Microseconds) bool {
	window := r.deduplicationWindows[req.operation]
	if window == 0 || r.group == nil {
		return false
	}
	return r.group.isRepeat(fmt.Sprint(req.number, "-", req.clientAttempt), now, window)
}

// workQueue holds the requests that wait for a core and the number of cores in use.
type workQueue struct {
	waiting   []*request
	busyCores int
}

// serveWaiting assigns waiting requests to free cores.
func (r *Replica) serveWaiting() {
	for r.queue.busyCores < r.Cores && len(r.queue.waiting) > 0 {
		next := r.queue.waiting[0]
		r.queue.waiting = r.queue.waiting[1:]
		r.queue.busyCores++
		generation := r.generation
		duration := next.work / r.Speed / r.availableShare(r.loop.Now()) * r.Slowdown
		r.loop.After(model.Microseconds(duration), func() {
			if r.generation == generation {
				r.finishRequest(next, duration)
			}
		})
	}
}

// finishRequest frees a request's core, answers the request and serves the next one.
func (r *Replica) finishRequest(req *request, duration float64) {
	r.queue.busyCores--
	r.load.coreTime += duration
	if !r.Silent && !r.Overloaded {
		r.Served++
		r.observe(invariants.RequestExecuted{
			At:            r.loop.Now(),
			Replica:       r.ID,
			Operation:     req.operation,
			Request:       req.number,
			ClientAttempt: req.clientAttempt,
		})
		r.respond(req.conn, 200, executed)
	}
	r.serveWaiting()
}

func (r *Replica) respond(conn *nbio.Conn, status int, ran string) {
	load := fmt.Sprintf("TEXT cpu_utilization=%.3f", r.utilization())
	_, _ = conn.Write(http1.AppendResponse(nil, status, nil, "Ran", ran, "endpoint-load-metrics", load))
}

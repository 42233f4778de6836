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
	repeated    = "repeat" // executed before, as an earlier request with the same key
)

// handlers returns handlers that post the sockets' events to the loop. Events of another run are ignored.
func (r *Replica) handlers(run int) netpoll.Handlers {
	return netpoll.Handlers{
		Open: func(conn *nbio.Conn) {
			conn.SetSession(http1.NewParser(false, http1.Limits{}))
			r.loop.Post(func() { r.opened(conn, run) })
		},
		Data: func(conn *nbio.Conn, data []byte) { r.received(conn, data, run) },
		Close: func(*nbio.Conn, error) {
			r.loop.Post(func() {
				if r.run == run {
					r.connections--
				}
			})
		},
	}
}

// received is called on the connection's poller.
func (r *Replica) received(conn *nbio.Conn, data []byte, run int) {
	parser, ok := conn.Session().(*http1.Parser)
	if !ok {
		return
	}
	err := parser.Feed(data, func(m *http1.Message) error {
		r.loop.Post(func() {
			if r.run == run {
				r.handle(conn, m)
			}
		})
		return nil
	})
	if err != nil {
		_ = conn.Close()
	}
}

func (r *Replica) opened(conn *nbio.Conn, run int) {
	if r.run != run {
		_ = conn.Close()
		return
	}
	r.connections++
	if r.connections > r.MaxConnections {
		_ = conn.Close()
		return
	}
	r.load.busy += r.HandshakeWork
}

// request is a request that waits for a core or is being executed.
type request struct {
	conn          *nbio.Conn
	work          float64
	operation     int
	number        uint64
	clientAttempt int
}

var errNotRequest = errors.New("not a request for a replica")

func (r *Replica) parse(conn *nbio.Conn, message *http1.Message) (*request, error) {
	if message.Method != "POST" {
		return nil, errNotRequest
	}
	work, err := strconv.ParseFloat(message.Header["work-us"], 64)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	operation, err := strconv.Atoi(message.Header["operation"])
	if err != nil {
		return nil, fmt.Errorf("operation: %w", err)
	}
	number, err := strconv.ParseUint(message.Header["invocation"], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	if operation < 0 || operation >= len(r.windows) {
		return nil, errNotRequest
	}
	clientAttempt, _ := strconv.Atoi(message.Header["caller-try"]) // 0 if the client does not number its attempts
	return &request{conn: conn, work: work, operation: operation, number: number, clientAttempt: clientAttempt}, nil
}

// handle queues a request or answers it at once. A silent or overloaded replica does neither.
func (r *Replica) handle(conn *nbio.Conn, m *http1.Message) {
	if r.Silent || r.Overloaded {
		return
	}
	now := r.loop.Now()
	req, err := r.parse(conn, m)
	if err != nil {
		r.respond(conn, 400, notExecuted)
		return
	}
	r.observe(invariants.WorkArrived{At: now, Replica: r.ID, Proxy: m.Header["forwarder"], Work: req.work})
	if r.overloaded(now, req.work) {
		return
	}
	switch {
	case r.Draining || len(r.queue.waiting) >= r.QueueLimit:
		r.respond(conn, 503, notExecuted)
	case r.FailingOperations[req.operation]:
		r.respond(conn, 500, executed)
	case r.repeated(req, now):
		r.respond(conn, 200, repeated)
	default:
		r.queue.waiting = append(r.queue.waiting, req)
		r.serveWaiting()
	}
}

// repeated reports whether a replica of the deduplication group has accepted the request before, within the
// operation's window.
func (r *Replica) repeated(req *request, now model.Microseconds) bool {
	window := r.windows[req.operation]
	if window == 0 || r.group == nil {
		return false
	}
	return r.group.repeated(fmt.Sprint(req.number, "-", req.clientAttempt), now, window)
}

// workQueue holds the requests that wait for a core and the number of cores in use.
type workQueue struct {
	waiting []*request
	running int
}

// serveWaiting assigns waiting requests to free cores.
func (r *Replica) serveWaiting() {
	for r.queue.running < r.Cores && len(r.queue.waiting) > 0 {
		next := r.queue.waiting[0]
		r.queue.waiting = r.queue.waiting[1:]
		r.queue.running++
		run := r.run
		takes := next.work / r.Speed / r.warmth(r.loop.Now()) * r.Slowdown
		r.loop.After(model.Microseconds(takes), func() {
			if r.run == run {
				r.finish(next, takes)
			}
		})
	}
}

// finish ends a request's work and frees its core.
func (r *Replica) finish(req *request, took float64) {
	r.queue.running--
	r.load.busy += took
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

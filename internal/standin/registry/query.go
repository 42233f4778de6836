package registry

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/standin"
)

// How long a blocking query waits for a change, as Consul documents it.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

const (
	healthPath   = "/v1/health/service/"
	noLeaderBody = "No cluster leader" // the body of an agent's error response
	earlierIndex = 7                   // the index given while IndexGoesBack holds, far below firstIndex
	agentName    = "peppervale/"       // precedes an instance's name in its User-Agent
	indexHeader  = "X-Consul-Index"    // of an answer
	contentType  = "Content-Type"      // of an answer
	jsonContent  = "application/json"  // of an answer's body
)

// query is a request for the endpoint list. A blocking one waits for a change.
type query struct {
	conn     *nbio.Conn
	instance string
	index    uint64
	timer    *standin.Timer
}

func (r *Registry) handle(conn *nbio.Conn, message *http1.Message) {
	target, err := url.Parse(message.Target)
	if err != nil {
		_, _ = conn.Write(http1.AppendResponse(nil, 404, nil))
		return
	}
	service, found := strings.CutPrefix(target.Path, healthPath)
	switch {
	case !found:
		_, _ = conn.Write(http1.AppendResponse(nil, 404, nil))
	case service != r.service:
		_, _ = conn.Write(http1.AppendResponse(nil, 200, []byte("[]"), indexHeader, "1", contentType, jsonContent))
	case r.Faults.Silent:
	case r.Faults.Fails:
		respondNoLeader(conn)
	default:
		q := &query{conn: conn}
		q.instance, _ = strings.CutPrefix(message.Header["user-agent"], agentName)
		r.answerWhenChanged(q, target.Query())
	}
}

// answerWhenChanged answers a query at once if it does not block or if its index is not the list's, else as soon as the
// list changes or the query's wait is over.
func (r *Registry) answerWhenChanged(q *query, parameters url.Values) {
	q.index, _ = strconv.ParseUint(parameters.Get("index"), 10, 64) // without one it does not block
	if q.index != r.index || q.index == 0 {
		r.answer(q)
		return
	}
	wait := waitOf(parameters)
	q.timer = r.loop.After(model.Microseconds(wait/time.Microsecond), func() {
		r.waiting = slices.DeleteFunc(r.waiting, func(other *query) bool { return other == q })
		r.answer(q)
	})
	r.waiting = append(r.waiting, q)
}

func waitOf(parameters url.Values) time.Duration {
	wait, err := time.ParseDuration(parameters.Get("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

// answer writes the response, late if the registry is. It carries the list as it is when it is written.
func (r *Registry) answer(q *query) {
	if r.Faults.Delay > 0 {
		r.loop.After(r.Faults.Delay, func() { r.write(q) })
		return
	}
	r.write(q)
}

func (r *Registry) write(waiting *query) {
	if r.Faults.Silent {
		return
	}
	if r.Faults.Fails {
		respondNoLeader(waiting.conn)
		return
	}
	index := r.index
	if r.Faults.IndexGoesBack {
		index = earlierIndex
	}
	body := r.EndpointListJSON()
	answer := http1.AppendResponse(nil, 200, body,
		contentType, jsonContent, indexHeader, strconv.FormatUint(index, 10))
	if r.Faults.TruncatesBody {
		_, _ = waiting.conn.Write(answer[:len(answer)-len(body)/2-1])
		_ = waiting.conn.Close()
		return
	}
	r.observe(invariants.EndpointsSent{At: r.loop.Now(), Instance: waiting.instance, Body: body})
	_, _ = waiting.conn.Write(answer)
}

func respondNoLeader(conn *nbio.Conn) {
	_, _ = conn.Write(http1.AppendResponse(nil, 500, []byte(noLeaderBody)))
}

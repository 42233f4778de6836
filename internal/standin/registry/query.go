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

// Consul's documented limits of a blocking query's wait.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

const (
	healthPath      = "/v1/health/service/"
	noLeaderBody    = "No cluster leader" // body of a Consul agent's error response
	regressedIndex  = 7                   // the index sent while IndexGoesBack is set, far below firstIndex
	userAgentPrefix = "peppervale/"       // prefix of an instance's name in its User-Agent
	indexHeader     = "X-Consul-Index"    // of a response
	contentType     = "Content-Type"      // of a response
	jsonContent     = "application/json"  // of a response's body
)

// query is a request for the endpoint list. A blocking query waits for a change of the list.
type query struct {
	conn     *nbio.Conn
	instance string
	index    uint64 // index of the list that the client has; 0: the query does not block
	timer    *standin.Timer
}

func (r *Registry) handleRequest(conn *nbio.Conn, message *http1.Message) {
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
	case r.Faults.Silent: // no response
	case r.Faults.RespondsNoLeader:
		respondNoLeader(conn)
	default:
		q := &query{conn: conn}
		q.instance, _ = strings.CutPrefix(message.Header["user-agent"], userAgentPrefix)
		r.respondWhenChanged(q, target.Query())
	}
}

// respondWhenChanged answers a query at once if it does not block or its index differs from the list's. Otherwise it
// answers when the list changes or the query's wait has elapsed.
func (r *Registry) respondWhenChanged(q *query, parameters url.Values) {
	q.index, _ = strconv.ParseUint(parameters.Get("index"), 10, 64) // a query without an index does not block
	if q.index != r.index || q.index == 0 {
		r.respond(q)
		return
	}
	wait := waitDuration(parameters)
	q.timer = r.loop.After(model.MicrosecondsOf(wait), func() {
		r.blockedQueries = slices.DeleteFunc(r.blockedQueries, func(other *query) bool { return other == q })
		r.respond(q)
	})
	r.blockedQueries = append(r.blockedQueries, q)
}

func waitDuration(parameters url.Values) time.Duration {
	wait, err := time.ParseDuration(parameters.Get("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

// respond writes the response after Faults.Delay. The response holds the list as of the time of writing.
func (r *Registry) respond(q *query) {
	if r.Faults.Delay > 0 {
		r.loop.After(r.Faults.Delay, func() { r.writeResponse(q) })
		return
	}
	r.writeResponse(q)
}

func (r *Registry) writeResponse(pendingQuery *query) {
	if r.Faults.Silent {
		return
	}
	if r.Faults.RespondsNoLeader {
		respondNoLeader(pendingQuery.conn)
		return
	}
	index := r.index
	if r.Faults.IndexGoesBack {
		index = regressedIndex
	}
	body := r.EndpointListJSON()
	response := http1.AppendResponse(nil, 200, body,
		contentType, jsonContent, indexHeader, strconv.FormatUint(index, 10))
	if r.Faults.TruncatesBody {
		_, _ = pendingQuery.conn.Write(response[:len(response)-len(body)/2-1])
		_ = pendingQuery.conn.Close()
		return
	}
	r.observe(invariants.EndpointsSent{At: r.loop.Now(), Instance: pendingQuery.instance, Body: body})
	_, _ = pendingQuery.conn.Write(response)
}

func respondNoLeader(conn *nbio.Conn) {
	_, _ = conn.Write(http1.AppendResponse(nil, 500, []byte(noLeaderBody)))
}

package cluster

import (
	"fmt"
	"net"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/resp"
)

// Limits of one request.
const (
	maxRequestBytes = 4 << 20
	maxRequestWords = 64
	readBufferBytes = 16 << 10
)

// PortLimits bounds the resources that peers may use at the cluster port. Zero fields take the values of
// DefaultPortLimits.
type PortLimits struct {
	Connections    int           // open at once; more are closed
	HeldBytes      int           // memory of one peer's unfinished request; more ends the connection
	TotalHeldBytes int           // the same for all peers; beyond it connections above their even share end
	RequestTimeout time.Duration // within which a request arrives completely after its first bytes
}

// DefaultPortLimits are suitable for nine members and their operators. A request has up to 4 MiB.
var DefaultPortLimits = PortLimits{
	Connections:    256,
	HeldBytes:      8 << 20,
	TotalHeldBytes: 64 << 20,
	RequestTimeout: 10 * time.Second,
}

func (l PortLimits) withDefaults() PortLimits {
	l.Connections = positiveOr(l.Connections, DefaultPortLimits.Connections)
	l.HeldBytes = positiveOr(l.HeldBytes, DefaultPortLimits.HeldBytes)
	l.TotalHeldBytes = positiveOr(l.TotalHeldBytes, DefaultPortLimits.TotalHeldBytes)
	l.RequestTimeout = positiveOr(l.RequestTimeout, DefaultPortLimits.RequestTimeout)
	return l
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// requestPeer is the peer of a connection for requests.
type requestPeer struct {
	server       *portServer
	conn         net.Conn
	reader       *resp.Reader
	held         int64     // memory of its unfinished request
	requestCount int       // requests that have arrived completely
	unfinished   int       // number of the unfinished request; 0: none
	deadline     time.Time // of the unfinished request
}

// serveRequests answers the requests of a connection, one at a time, until the connection ends.
func (s *portServer) serveRequests(conn net.Conn) {
	peer := &requestPeer{server: s, conn: conn, reader: resp.NewReader(resp.Limits{
		MessageBytes: maxRequestBytes,
		StringBytes:  maxRequestBytes,
		Items:        maxRequestWords,
	})}
	defer peer.setHeld(0)
	buffer := make([]byte, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(peer.readDeadline(time.Now()))
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if err = peer.reader.Feed(buffer[:n], peer.answer); err == nil {
			err = peer.limitUnfinished(time.Now())
		}
		if err != nil {
			_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
			_, _ = conn.Write(resp.AppendLine(nil, resp.SimpleError, errorPrefix+err.Error()))
			return
		}
	}
}

// readDeadline is when the peer must have sent something: all of a request that it has begun, or the next one.
func (p *requestPeer) readDeadline(now time.Time) time.Time {
	if p.unfinished != 0 {
		return p.deadline
	}
	return now.Add(idleTimeout)
}

// limitUnfinished sets the deadline of a request that has not arrived completely, and returns an error if the memory of
// the request exceeds a limit.
func (p *requestPeer) limitUnfinished(now time.Time) error {
	p.setHeld(p.reader.HeldBytes())
	if p.reader.Idle() {
		p.unfinished = 0
		return nil
	}
	if next := p.requestCount + 1; p.unfinished != next {
		p.unfinished = next
		p.deadline = now.Add(p.server.limits.RequestTimeout)
	}
	limits := p.server.limits
	budget := admission.Budget{PerPeer: int64(limits.HeldBytes), Total: int64(limits.TotalHeldBytes)}
	if !budget.MustMerge(p.held, p.server.heldBytes.Load(), len(p.server.slots)) {
		return nil
	}
	p.server.overMemory.Add(1)
	p.server.log.Warn().Str("peer", p.conn.RemoteAddr().String()).Int64("held_bytes", p.held).
		Msg("cluster connection closed: its unfinished request holds too much memory")
	return fmt.Errorf("unfinished requests hold over %d bytes, or over %d in all", limits.HeldBytes, limits.TotalHeldBytes)
}

func (p *requestPeer) setHeld(held int64) {
	p.server.heldBytes.Add(held - p.held)
	p.held = held
}

// answer answers one request.
func (p *requestPeer) answer(request resp.Value) error {
	p.requestCount++
	if request.Kind != resp.Array || len(request.Items) == 0 {
		return errMalformedRequest
	}
	var words []string
	for _, item := range request.Items {
		words = append(words, item.ArgumentText())
	}
	body, err := p.server.answer(words)
	reply := resp.AppendBulk(nil, string(body))
	if err != nil {
		reply = resp.AppendLine(nil, resp.SimpleError, errorPrefix+err.Error())
	}
	_ = p.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, err = p.conn.Write(reply)
	return err
}

package proxy

import (
	"fmt"
	"strings"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// stream is a connection to an instance.
type stream struct {
	proxy      *Proxy
	generation int // the proxy's generation when it dialed the stream
	instance   Instance
	conn       *nbio.Conn
	reader     *resp.Reader
	replies    int // number of replies received to the proxy's commands
	joined     bool
	isClosed   bool
	beforeJoin []byte // bytes received before the reply to the join

	reportPeriod      model.Microseconds // of the load reports
	reportSequence    uint64
	resyncRequestedAt model.Microseconds // when a snapshot was last requested; 0: never
}

const (
	minDialTimeout    = 100 * model.Millisecond
	minRedialInterval = model.Millisecond
	// maxWaitMilliseconds is the limit of the wait that an instance can request. The proxy ignores longer waits.
	maxWaitMilliseconds = 600_000
)

// dialTimeout is the timeout for establishing a connection.
func (p *Proxy) dialTimeout() model.Microseconds { return max(p.DialTimeout, minDialTimeout) }

// dialAfter dials the instance with index nextInstance after a delay, unless the proxy has a stream by then.
func (p *Proxy) dialAfter(delay model.Microseconds) {
	generation := p.generation
	p.loop.After(delay, func() {
		if p.generation != generation || p.stream != nil && !p.stream.isClosed {
			return
		}
		p.runAfterStall(p.dial)
	})
}

// redial dials the instance with index nextInstance after one to three redial intervals.
func (p *Proxy) redial() { p.dialAfter(p.redialWait(1, 3)) }

// redialWait draws a wait between two multiples of the redial interval.
func (p *Proxy) redialWait(minFactor, maxFactor float64) model.Microseconds {
	return model.Microseconds(p.random.Between(minFactor, maxFactor) * float64(max(p.RedialInterval, minRedialInterval)))
}

// redialNext advances to the next instance and dials it after one to three redial intervals.
func (p *Proxy) redialNext() {
	p.nextInstance++
	p.redial()
}

func (p *Proxy) dial() {
	instance := p.Instances[p.nextInstance%len(p.Instances)]
	s := &stream{proxy: p, instance: instance, generation: p.generation, reader: resp.NewReader(resp.Limits{})}
	p.stream = s
	if p.Unreachable[instance.Name] {
		s.close()
		p.redialNext()
		return
	}
	netpoll.Dial(p.engine, instance.Address, p.dialTimeout().Duration(), s, func(conn *nbio.Conn, err error) {
		p.loop.Post(func() { s.onDialed(conn, err) })
	})
}

// onDialed handles the result of a dial.
func (s *stream) onDialed(conn *nbio.Conn, err error) {
	isCurrent := s.generation == s.proxy.generation && !s.isClosed
	switch {
	case err != nil && isCurrent:
		s.close()
		s.proxy.redialNext()
	case err != nil: // an abandoned dial failed
	case !isCurrent:
		_ = conn.Close()
	default:
		s.conn = conn
		s.join()
	}
}

// join identifies the proxy to the instance and states the version of its table.
func (s *stream) join() {
	p := s.proxy
	applied := p.appliedVersions[s.instance.Name]
	command := resp.AppendCommand(nil, "HELLO", "3")
	command = pubsubmsg.AppendJoin(command, pubsubmsg.Join{
		Name:            p.Name,
		Zone:            p.Zone,
		ExpectedRate:    p.ExpectedRate,
		OnStandingTable: len(p.appliedVersions) == 0,
		Incarnation:     applied.incarnation,
		Version:         applied.version,
		Epoch:           p.fence.Epoch,
	})
	_, _ = s.conn.Write(command)
}

// close closes the stream. Later events of the stream are ignored.
func (s *stream) close() {
	if s.isClosed {
		return
	}
	s.isClosed = true
	if s.joined {
		s.joined = false
		p := s.proxy
		p.observe(invariants.StreamChanged{At: p.loop.Now(), Proxy: p.Name, Instance: s.instance.Name})
	}
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// onData is called on the poller's goroutine. A stalled proxy reads the bytes after the stall; they are observed then.
func (s *stream) onData(data []byte) {
	s.proxy.loop.Post(func() {
		if s.isClosed || s.generation != s.proxy.generation {
			return
		}
		s.proxy.runAfterStall(func() { s.parse(data) })
	})
}

// onClose is called on the poller's goroutine.
func (s *stream) onClose() {
	s.proxy.loop.Post(func() {
		if s.generation == s.proxy.generation && !s.isClosed {
			s.close()
			s.proxy.redial()
		}
	})
}

func (s *stream) parse(data []byte) {
	if s.isClosed {
		return
	}
	proxy := s.proxy
	proxy.Bytes += len(data)
	if s.joined {
		proxy.observe(invariants.BytesReceived{At: proxy.loop.Now(), Proxy: proxy.Name, Data: data})
	} else {
		s.beforeJoin = append(s.beforeJoin, data...)
	}
	err := s.reader.Feed(data, func(v resp.Value) error {
		s.handleValue(v)
		return nil
	})
	if s.joined && s.beforeJoin != nil {
		// The reply to the join and the first messages may arrive together, and the check of the invariants needs all
		// bytes of the stream from its start.
		proxy.observe(invariants.BytesReceived{At: proxy.loop.Now(), Proxy: proxy.Name, Data: s.beforeJoin})
		s.beforeJoin = nil
	}
	if err != nil {
		s.close()
		proxy.redial()
	}
}

func (s *stream) handleValue(value resp.Value) {
	switch {
	case value.Kind == resp.SimpleError:
		s.close()
		s.proxy.handleJoinRejection(value.Text)
	case value.Kind == resp.Map:
		s.replies++
		if s.replies == 2 { // the first reply is HELLO's
			s.handleJoinReply(value.Items)
		}
	case pubsubmsg.IsMessage(value):
		if m, err := pubsubmsg.Parse(value); err == nil { // a malformed message is ignored
			s.handleMessage(m)
		}
	case value.Kind == resp.Push && len(value.Items) == 2 && value.Items[0].Text == "elsewhere":
		// A proxy that knows no other instance keeps the stream until the instance closes it, so that it misses no update.
		if len(s.proxy.Instances) > 1 {
			s.close()
			s.proxy.redialNext()
		}
	}
}

// handleJoinReply handles the reply to an accepted join, a map of names and values.
func (s *stream) handleJoinReply(items []resp.Value) {
	proxy := s.proxy
	epoch, found := intField(items, "epoch")
	if found && epoch >= 0 && !proxy.acceptEpoch(uint64(epoch)) {
		s.close() // the instance accepted the join although it has lost the shard's lease
		proxy.redialNext()
		return
	}
	s.joined = true
	proxy.Joins++
	if period, found := intField(items, "period"); found {
		s.reportPeriod = model.Microseconds(period)
	}
	proxy.observe(invariants.StreamChanged{At: proxy.loop.Now(), Proxy: proxy.Name, Instance: s.instance.Name, Up: true})
	proxy.loop.After(model.Microseconds(proxy.random.Float()*float64(s.reportPeriod)), s.reportPeriodically)
}

// intField finds a number by its name in the items of a map.
func intField(items []resp.Value, name string) (value int64, found bool) {
	for i := 0; i+1 < len(items); i += 2 {
		if items[i].Text == name {
			return items[i+1].Int, true
		}
	}
	return 0, false
}

// handleJoinRejection handles the error of an instance that rejects the join. The proxy dials the same instance later,
// or another one.
func (p *Proxy) handleJoinRejection(text string) {
	var wait int
	if n, _ := fmt.Sscanf(text, "LATER %d ", &wait); n == 1 && isAllowedWait(wait) {
		p.Deferred++
		p.dialAfter(model.Microseconds(wait) * model.Millisecond)
		return
	}
	if n, _ := fmt.Sscanf(text, "ENDING this governor ends: join another, or here again in %d ", &wait); n == 1 {
		p.leaveInstance(wait)
		return
	}
	var shard int
	var address string
	if n, _ := fmt.Sscanf(text, "MOVED %d %s", &shard, &address); n == 2 {
		p.redirectTo(strings.TrimSuffix(address, ":"))
		return
	}
	p.redialNext()
}

func isAllowedWait(milliseconds int) bool {
	return milliseconds >= 0 && milliseconds < maxWaitMilliseconds
}

// redirectTo dials the instance with the given address, which holds the lease of the proxy's shard. If no instance has
// this address, it dials the next instance.
func (p *Proxy) redirectTo(address string) {
	p.Redirected++
	p.nextInstance++
	for i, instance := range p.Instances {
		if instance.Address == address {
			p.nextInstance = i
		}
	}
	p.redial()
}

// leaveInstance dials the next instance. If the proxy knows only one instance, it dials it again after the wait that
// the instance requested, plus up to two redial intervals at random so that not all proxies reconnect at once.
func (p *Proxy) leaveInstance(waitMilliseconds int) {
	p.nextInstance++
	if len(p.Instances) > 1 || !isAllowedWait(waitMilliseconds) {
		p.redial()
		return
	}
	p.dialAfter(model.Microseconds(waitMilliseconds)*model.Millisecond + p.redialWait(0, 2))
}

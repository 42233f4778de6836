// Package replica is a stand-in for what serves invocations: HTTP/1.1 with cores, a waiting room, a cold start, a cap
// on connections, a drain, and its load in each answer by the published ORCA text header. Work is a header of the
// invocation and is served by waiting, not by burning cores, so that one machine can hold a hall of them.
package replica

import (
	"fmt"
	"strconv"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Facts is what a replica is.
type Facts struct {
	ID          model.ReplicaID
	Zone, Bay   string
	Cores       int
	Speed       float64 // of a core; 1 does a microsecond of work in one
	Waiting     int     // invocations in the waiting room
	Connections int     // accepted at once
	ColdShare   float64
	ColdSpan    model.Microseconds
	TipFactor   float64 // sent so many times what it can do...
	TipSpan     model.Microseconds
	ReportEvery model.Microseconds // its load report is that old at most
	Handshake   float64            // work of a new connection
}

// Bay is a group of replicas that drop repeats of fingerprinted work among themselves for a while.
type Bay struct {
	ran map[string]model.Microseconds // fingerprint to when it was first taken
}

// NewBay makes an empty one.
func NewBay() *Bay { return &Bay{ran: map[string]model.Microseconds{}} }

// taken notes a fingerprint and tells whether it is a repeat within the window. What is old is forgotten in passing.
func (b *Bay) taken(fingerprint string, now, window model.Microseconds) bool {
	if len(b.ran) > 10_000 {
		for f, at := range b.ran {
			if now-at > window {
				delete(b.ran, f)
			}
		}
	}
	at, known := b.ran[fingerprint]
	if known && now-at <= window {
		return true
	}
	b.ran[fingerprint] = now
	return false
}

// Replica runs on a loop; its methods are to be called there.
type Replica struct {
	Facts
	Slow     float64 // each piece of work takes so many times longer; 1: none
	Silent   bool    // takes connections and bytes, and answers nothing
	Draining bool    // turns new work away
	Lies     bool    // reports that it is idle
	FailOps  map[int]bool

	Started  model.Microseconds // 0: before the day, warm
	Up       bool
	Tipped   bool
	loop     *standin.Loop
	bay      *Bay
	windows  []model.Microseconds // by operation; 0: not fingerprinted
	seen     func(invariants.Seen)
	engine   *netpoll.Engine
	life     int // grows with each start and stop: what is left of an earlier one does nothing
	conns    int
	running  int
	queue    []*job
	recent   []arrival
	busy     float64 // core microseconds used since reportAt
	report   float64
	reportAt model.Microseconds
	Served   int
}

type arrival struct {
	at   model.Microseconds
	work float64
}

type job struct {
	conn *nbio.Conn
	work float64
	op   int
	inv  uint64
	call int
}

// New makes a replica that is down. windows gives each operation's window in a bay, 0 where it has no fingerprint.
func New(loop *standin.Loop, f Facts, bay *Bay, windows []model.Microseconds, seen func(invariants.Seen)) *Replica {
	return &Replica{Facts: f, Slow: 1, loop: loop, bay: bay, windows: windows, seen: seen}
}

// Start opens its port, cold or warm. It keeps its address over restarts.
func (r *Replica) Start(cold bool) error {
	if r.Up {
		return nil
	}
	r.life++
	life := r.life
	var err error
	h := netpoll.Handlers{Open: func(c *nbio.Conn) {
		c.SetSession(http1.NewParser(false, http1.Limits{}))
		r.loop.Post(func() { r.opened(c, life) })
	}, Data: func(c *nbio.Conn, data []byte) {
		parser, ok := c.Session().(*http1.Parser)
		if !ok {
			return
		}
		err := parser.Feed(data, func(m *http1.Message) error {
			r.loop.Post(func() {
				if r.life == life {
					r.asked(c, m)
				}
			})
			return nil
		})
		if err != nil {
			_ = c.Close()
		}
	}, Close: func(*nbio.Conn, error) {
		r.loop.Post(func() {
			if r.life == life {
				r.conns--
			}
		})
	}}
	if r.engine, err = netpoll.Start(1, h, pubsubmsg.Address(r.ID)); err != nil {
		return fmt.Errorf("replica %s: %w", pubsubmsg.Address(r.ID), err)
	}
	now := r.loop.Now()
	r.Up, r.Tipped, r.Silent, r.Draining = true, false, false, false
	r.conns, r.running, r.queue, r.recent, r.busy, r.report, r.reportAt = 0, 0, nil, nil, 0, 0, now
	up := invariants.Up{At: now, Replica: r.ID, Bay: r.Bay, Full: r.full(), Share: 1}
	r.Started = 0
	if cold {
		r.Started, up.Share, up.Span = now, r.ColdShare, r.ColdSpan
	}
	r.seen(up)
	return nil
}

// Stop ends the process: its connections and all its work.
func (r *Replica) Stop() {
	if !r.Up {
		return
	}
	r.Up = false
	r.life++
	engine := r.engine
	go engine.Stop() // it waits for handlers that post here
}

func (r *Replica) full() float64 { return float64(r.Cores) * r.Speed }

// share is what it can do now of its full capacity.
func (r *Replica) share(now model.Microseconds) float64 {
	if r.Started == 0 || now >= r.Started+r.ColdSpan {
		return 1
	}
	return r.ColdShare + (1-r.ColdShare)*float64(now-r.Started)/float64(r.ColdSpan)
}

func (r *Replica) opened(c *nbio.Conn, life int) {
	if r.life != life {
		_ = c.Close()
		return
	}
	r.conns++
	if r.conns > r.Connections {
		_ = c.Close()
		return
	}
	r.busy += r.Handshake
}

func (r *Replica) asked(c *nbio.Conn, m *http1.Message) {
	if r.Silent || r.Tipped {
		return
	}
	now := r.loop.Now()
	j := &job{conn: c}
	var err1, err2, err3 error
	j.work, err1 = strconv.ParseFloat(m.Header["work-us"], 64)
	j.op, err2 = strconv.Atoi(m.Header["operation"])
	j.inv, err3 = strconv.ParseUint(m.Header["invocation"], 10, 64)
	j.call, _ = strconv.Atoi(m.Header["caller-try"])
	if m.Method != "POST" || err1 != nil || err2 != nil || err3 != nil || j.op < 0 || j.op >= len(r.windows) {
		r.write(c, 400, "no")
		return
	}
	r.seen(invariants.Arrived{At: now, Replica: r.ID, Forwarder: m.Header["forwarder"], Work: j.work})
	if r.tips(now, j.work) {
		return
	}
	switch {
	case r.Draining || len(r.queue) >= r.Waiting:
		r.write(c, 503, "no")
		return
	case r.FailOps[j.op]:
		r.write(c, 500, "yes")
		return
	case r.windows[j.op] > 0 && r.bay != nil && r.bay.taken(fmt.Sprint(j.inv, "-", j.call), now, r.windows[j.op]):
		r.write(c, 200, "repeat")
		return
	}
	r.queue = append(r.queue, j)
	r.next()
}

// tips counts what came within the span against what it can do, and falls over for good where that is too much.
func (r *Replica) tips(now model.Microseconds, work float64) bool {
	if r.share(now) >= 1 || r.TipFactor <= 0 {
		return false
	}
	r.recent = append(r.recent, arrival{now, work})
	for len(r.recent) > 0 && r.recent[0].at <= now-r.TipSpan {
		r.recent = r.recent[1:]
	}
	sum := 0.0
	for _, a := range r.recent {
		sum += a.work
	}
	if sum-work > r.TipFactor*r.full()*r.share(now)*float64(r.TipSpan) {
		r.Tipped = true
	}
	return r.Tipped
}

func (r *Replica) next() {
	for r.running < r.Cores && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		r.running++
		life := r.life
		takes := j.work / r.Speed / r.share(r.loop.Now()) * r.Slow
		r.loop.After(model.Microseconds(takes), func() {
			if r.life != life {
				return
			}
			r.running--
			r.busy += takes
			if !r.Silent && !r.Tipped {
				r.Served++
				r.seen(invariants.Ran{At: r.loop.Now(), Replica: r.ID, Operation: j.op, Invocation: j.inv, Caller: j.call})
				r.write(j.conn, 200, "yes")
			}
			r.next()
		})
	}
}

// utilisation is refreshed now and then, as load reports are.
func (r *Replica) utilisation() float64 {
	now := r.loop.Now()
	if span := now - r.reportAt; span >= max(r.ReportEvery, model.Millisecond) {
		r.report = min(1, r.busy/float64(span)/float64(r.Cores))
		r.busy, r.reportAt = 0, now
	}
	if r.Lies {
		return 0.02
	}
	return r.report
}

func (r *Replica) write(c *nbio.Conn, status int, ran string) {
	load := fmt.Sprintf("TEXT cpu_utilization=%.3f", r.utilisation())
	_, _ = c.Write(http1.AppendAnswer(nil, status, nil, "Ran", ran, "endpoint-load-metrics", load))
}

package proxy

import (
	"strconv"
	"strings"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
	"peppervale/internal/standin"
)

// Result is how an invocation ended for its caller.
type Result uint8

// The results of invocations.
const (
	Succeeded Result = iota
	RateLimited
	Failed // errored, or no answer within the integration timeout
)

// Invocation is what a caller asks.
type Invocation struct {
	Number    uint64
	Caller    int // the client's own repeats, from 0
	Operation int
	Work      float64 // microseconds of a core of speed 1
	Done      func(r Result, took model.Microseconds)
}

// call is an invocation in work.
type call struct {
	f       *Forwarder
	inv     *Invocation
	life    int
	began   model.Microseconds
	give    *standin.Timer
	tries   int
	more    int // tries that may follow
	way     model.RetryPolicy
	epoch   uint64 // in which it began
	pending int    // tries without an end
	ended   bool
}

// try is one try of a call.
type try struct {
	c     *call
	n     int
	at    *there
	sent  model.Microseconds
	first *standin.Timer
	over  bool
	link  *link
}

// Invoke takes an invocation; its Done is called once.
func (f *Forwarder) Invoke(inv *Invocation) { f.run(func() { f.invoke(inv) }) }

func (f *Forwarder) invoke(inv *Invocation) {
	now := f.loop.Now()
	if !f.alive {
		inv.Done(Failed, 0)
		return
	}
	share, way := f.level(inv.Operation)
	if share < 1 && f.chance.Float() >= share {
		inv.Done(RateLimited, 0)
		return
	}
	c := &call{f: f, inv: inv, life: f.life, began: now, way: way, epoch: f.fence.Epoch}
	switch way {
	case model.RetryIfNotExecuted, model.RetryOnAnyFailure:
		c.more = 1
	case model.RetryTwiceOnAnyFailure:
		c.more = 2
	}
	t := f.pick(model.ReplicaID{})
	if t == nil {
		inv.Done(RateLimited, 0)
		return
	}
	c.give = f.loop.After(f.Operations[inv.Operation].Timeout, func() { c.finish(Failed) })
	c.try(t)
}

func (c *call) finish(r Result) {
	if c.ended {
		return
	}
	c.ended = true
	c.give.Cancel()
	c.inv.Done(r, c.f.loop.Now()-c.began)
}

func (c *call) try(at *there) {
	f := c.f
	c.tries++
	c.pending++
	t := &try{c: c, n: c.tries, at: at, sent: f.loop.Now()}
	at.out++
	op := f.Operations[c.inv.Operation]
	left := op.Timeout - (t.sent - c.began)
	wait := left
	if c.more > 0 && c.way >= model.RetryOnAnyFailure {
		wait = min(left, model.Microseconds(f.FirstWait*float64(op.Objective)))
	}
	t.first = f.loop.After(max(wait, 0), func() { t.end(invariants.TimedOut, nil) })
	f.get(at, t)
}

// sent is called once the bytes are on a connection.
func (t *try) onLink(l *link) {
	f, inv := t.c.f, t.c.inv
	t.link, l.try = l, t
	f.seen(invariants.Tried{At: f.loop.Now(), Forwarder: f.Name, Replica: t.at.id, Operation: inv.Operation, Invocation: inv.Number, Caller: inv.Caller, N: t.n})
	b := http1.AppendRequest(nil, "POST", "/invoke", pubsubmsg.Address(t.at.id), nil,
		"Operation", strconv.Itoa(inv.Operation), "Invocation", strconv.FormatUint(inv.Number, 10), "Caller-Try", strconv.Itoa(inv.Caller),
		"Forwarder", f.Name, "Work-Us", strconv.FormatFloat(inv.Work, 'f', 0, 64))
	_, _ = l.conn.Write(b)
}

// end takes a try's end and decides by the way ordered what follows.
func (t *try) end(o invariants.Outcome, m *http1.Message) {
	if t.over {
		return
	}
	t.over = true
	c, f, now := t.c, t.c.f, t.c.f.loop.Now()
	t.first.Cancel()
	t.at.out--
	c.pending--
	if c.life != f.life {
		c.finish(Failed)
		return
	}
	if t.link != nil {
		f.seen(invariants.Ended{At: now, Invocation: c.inv.Number, Caller: c.inv.Caller, N: t.n, Outcome: o})
		if t.link.try = nil; o == invariants.TimedOut {
			t.link.drop() // HTTP/1.1 has no other way to give an answer up
		}
	}
	t.count(o, m, now)
	if o == invariants.Succeeded {
		c.finish(Succeeded)
		return
	}
	op := f.Operations[c.inv.Operation]
	if c.epoch != f.fence.Epoch { // its way was ordered by a holder that is none any more
		c.way = min(c.way, model.RetryIfNotExecuted)
	}
	again := c.more > 0 && !c.ended && (o.Unrun() || c.way >= model.RetryOnAnyFailure) &&
		op.Timeout-(now-c.began) > op.Objective/10
	if again {
		if next := f.pick(t.at.id); next != nil {
			c.more--
			c.try(next)
			return
		}
	}
	switch {
	case c.pending > 0:
	case o == invariants.Refused || o == invariants.ConnectFailed:
		c.finish(RateLimited)
	default:
		c.finish(Failed)
	}
}

// count puts a try into the sums of its replica.
func (t *try) count(o invariants.Outcome, m *http1.Message, now model.Microseconds) {
	at, f := t.at, t.c.f
	at.tries++
	if o == invariants.Succeeded {
		at.latency += float64(now - t.sent)
		at.failures = 0
	} else {
		at.errored++
		if at.failures++; f.Ejects > 0 && at.failures >= f.Ejects {
			at.failures, at.avoid = 0, now+f.EjectFor
		}
	}
	if m != nil {
		if load, ok := utilisation(m.Header["endpoint-load-metrics"]); ok {
			at.report = []float64{load}
		}
	}
}

// utilisation reads cpu_utilization from an ORCA text header.
func utilisation(text string) (float64, bool) {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return 0, false
	}
	for _, pair := range strings.Split(text, ",") {
		if name, value, found := strings.Cut(strings.TrimSpace(pair), "="); found && name == "cpu_utilization" {
			f, err := strconv.ParseFloat(value, 64)
			return f, err == nil && f >= 0
		}
	}
	return 0, false
}

// link is a connection to a replica; one try at a time is on it.
type link struct {
	f      *Forwarder
	at     *there
	conn   *nbio.Conn
	life   int
	parser *http1.Parser
	try    *try
	gone   bool
	idleAt model.Microseconds
}

// get finds an idle connection for a try, or dials a new one.
func (f *Forwarder) get(at *there, t *try) {
	for n := len(at.idle); n > 0; n = len(at.idle) {
		l := at.idle[n-1]
		at.idle = at.idle[:n-1]
		if l.gone || f.IdleFor > 0 && f.loop.Now()-l.idleAt > f.IdleFor {
			l.drop()
			continue
		}
		t.onLink(l)
		return
	}
	l := &link{f: f, at: at, life: f.life, parser: http1.NewParser(true, http1.Limits{})}
	failed := func() {
		f.loop.Post(func() { t.end(invariants.ConnectFailed, nil) })
	}
	netpoll.Dial(f.engine, pubsubmsg.Address(at.id), max(f.ConnectFor, 100*model.Millisecond).Duration(), l, func(c *nbio.Conn, err error) {
		if err != nil {
			failed()
			return
		}
		f.loop.Post(func() {
			l.conn = c
			switch {
			case f.life != l.life:
				l.drop()
			case t.over: // given up while it dialled; the connection serves the next
				l.rest()
			default:
				t.onLink(l)
			}
		})
	})
}

func (l *link) rest() {
	if l.gone {
		return
	}
	l.idleAt = l.f.loop.Now()
	l.at.idle = append(l.at.idle, l)
}

func (l *link) drop() {
	if !l.gone {
		l.gone = true
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}

func (l *link) came(data []byte) {
	l.f.loop.Post(func() {
		if l.gone || l.life != l.f.life {
			return
		}
		l.f.run(func() { l.read(data) })
	})
}

func (l *link) read(data []byte) {
	err := l.parser.Feed(data, func(m *http1.Message) error {
		t := l.try
		if t == nil {
			return nil
		}
		switch {
		case m.Status == 200:
			t.end(invariants.Succeeded, m)
		case m.Status == 503 && m.Header["ran"] == "no":
			t.end(invariants.Refused, m)
		default:
			t.end(invariants.Errored, m)
		}
		if m.Close {
			l.drop()
		} else {
			l.rest()
		}
		return nil
	})
	if err != nil {
		l.drop()
	}
}

func (l *link) closed() {
	l.f.loop.Post(func() {
		l.gone = true
		if t := l.try; t != nil && l.life == l.f.life {
			t.end(invariants.Broken, nil)
		}
	})
}

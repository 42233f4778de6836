package proxy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lesismal/nbio"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/invariants"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// stream is a connection to a governor.
type stream struct {
	f        *Forwarder
	governor Governor
	conn     *nbio.Conn
	reader   *resp.Reader
	life     int // of the forwarder
	replies  int // that came
	joined   bool
	ended    bool
	period   model.Microseconds
	reports  uint64
	asked    model.Microseconds // a snapshot, at
	early    []byte             // read before the join was answered
}

// dialIn dials the next governor after a while.
func (f *Forwarder) dialIn(span model.Microseconds) {
	life := f.life
	f.loop.After(span, func() {
		if f.life != life || f.stream != nil && !f.stream.ended {
			return
		}
		f.run(f.dial)
	})
}

func (f *Forwarder) redial() {
	f.dialIn(model.Microseconds(f.chance.Between(1, 3) * float64(max(f.Redial, model.Millisecond))))
}

func (f *Forwarder) dial() {
	g := f.Governors[f.next%len(f.Governors)]
	s := &stream{f: f, governor: g, life: f.life, reader: resp.NewReader(resp.Limits{})}
	f.stream = s
	if f.Cut[g.Name] {
		s.end()
		f.next++
		f.redial()
		return
	}
	failed := func() {
		f.loop.Post(func() {
			if f.life == s.life && !s.ended {
				s.end()
				f.next++
				f.redial()
			}
		})
	}
	netpoll.Dial(f.engine, g.Address, max(f.ConnectFor, 100*model.Millisecond).Duration(), s, func(c *nbio.Conn, err error) {
		if err != nil {
			failed()
			return
		}
		f.loop.Post(func() {
			if f.life != s.life || s.ended {
				_ = c.Close()
				return
			}
			s.conn = c
			s.hello()
		})
	})
}

func (s *stream) hello() {
	f := s.f
	h := f.govLife[s.governor.Name]
	b := resp.AppendCommand(nil, "HELLO", "3")
	b = pubsubmsg.AppendJoin(b, pubsubmsg.Join{Name: f.Name, Zone: f.Zone, ExpectedRate: f.Rate, OnStandingTable: len(f.govLife) == 0, Incarnation: h.life, Version: h.version, Epoch: f.fence.Epoch})
	_, _ = s.conn.Write(b)
}

// end forgets the stream; what comes of it later does nothing.
func (s *stream) end() {
	if s.ended {
		return
	}
	s.ended = true
	if s.joined {
		s.joined = false
		s.f.seen(invariants.Stream{At: s.f.loop.Now(), Forwarder: s.f.Name, Governor: s.governor.Name})
	}
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

func (s *stream) came(data []byte) {
	s.f.loop.Post(func() {
		if s.ended || s.life != s.f.life {
			return
		}
		// What is read is seen when the forwarder reads it; standing still is part of that.
		s.f.run(func() { s.read(data) })
	})
}

func (s *stream) closed() {
	s.f.loop.Post(func() {
		if s.life == s.f.life && !s.ended {
			s.end()
			s.f.redial()
		}
	})
}

func (s *stream) read(data []byte) {
	if s.ended {
		return
	}
	f := s.f
	f.Bytes += len(data)
	if !s.joined {
		s.early = append(s.early, data...)
	} else {
		f.seen(invariants.Received{At: f.loop.Now(), Forwarder: f.Name, Data: data})
	}
	err := s.reader.Feed(data, func(v resp.Value) error {
		s.take(v)
		return nil
	})
	if s.joined && s.early != nil {
		// The answer to the join may bring the first messages with it: a checker reads the stream from its start.
		f.seen(invariants.Received{At: f.loop.Now(), Forwarder: f.Name, Data: s.early})
		s.early = nil
	}
	if err != nil {
		s.end()
		s.f.redial()
	}
}

func (s *stream) take(v resp.Value) {
	f := s.f
	switch {
	case v.Kind == resp.Failure:
		s.end()
		var wait int
		if n, _ := fmt.Sscanf(v.Text, "LATER %d ", &wait); n == 1 && wait >= 0 && wait < 600_000 {
			f.Deferred++
			f.dialIn(model.Microseconds(wait) * model.Millisecond)
			return
		}
		if n, _ := fmt.Sscanf(v.Text, "ENDING this governor ends: join another, or here again in %d ", &wait); n == 1 {
			f.elsewhere(wait)
			return
		}
		var part int
		var to string
		if n, _ := fmt.Sscanf(v.Text, "MOVED %d %s", &part, &to); n == 2 {
			f.movedTo(strings.TrimSuffix(to, ":"))
			return
		}
		f.next++
		f.redial()
	case v.Kind == resp.Map:
		if s.replies++; s.replies == 2 {
			for i := 0; i+1 < len(v.Items); i += 2 {
				if v.Items[i].Text == "epoch" && v.Items[i+1].Int >= 0 && !f.epoch(uint64(v.Items[i+1].Int)) {
					s.end() // it took the join in a lease that is over
					f.next++
					f.redial()
					return
				}
			}
			s.joined = true
			f.Joins++
			for i := 0; i+1 < len(v.Items); i += 2 {
				if v.Items[i].Text == "period" {
					s.period = model.Microseconds(v.Items[i+1].Int)
				}
			}
			f.seen(invariants.Stream{At: f.loop.Now(), Forwarder: f.Name, Governor: s.governor.Name, Up: true})
			f.loop.After(model.Microseconds(f.chance.Float()*float64(s.period)), s.report)
		}
	case pubsubmsg.IsMessage(v):
		if m, err := pubsubmsg.Parse(v); err == nil {
			s.message(m)
		}
	case v.Kind == resp.Push && len(v.Items) == 2 && v.Items[0].Text == "elsewhere":
		if len(f.Governors) > 1 { // who has no other stays until the connection ends: it then misses nothing meanwhile
			s.end()
			f.next++
			f.redial()
		}
	}
}

// movedTo goes to the governor that has this forwarder's part, at its own pace; without one it asks the next.
func (f *Forwarder) movedTo(address string) {
	f.Moved++
	f.next++
	for i, g := range f.Governors {
		if g.Address == address {
			f.next = i
		}
	}
	f.redial()
}

// elsewhere goes to the next governor. If there is no other it comes back after the time told, spread by chance over twice
// its usual wait.
func (f *Forwarder) elsewhere(milliseconds int) {
	f.next++
	if len(f.Governors) > 1 || milliseconds < 0 || milliseconds >= 600_000 {
		f.redial()
		return
	}
	f.dialIn(model.Microseconds(milliseconds)*model.Millisecond + model.Microseconds(f.chance.Between(0, 2)*float64(max(f.Redial, model.Millisecond))))
}

// message takes a table message: in order it is applied, an old one only acknowledged, and after a gap a snapshot is
// asked for. Nothing is guessed.
func (s *stream) message(m *pubsubmsg.Message) {
	f := s.f
	if !f.epoch(m.Epoch) {
		f.Fenced++
		_, _ = s.conn.Write(resp.AppendCommand(nil, "FENCED", strconv.FormatUint(m.Epoch, 10), strconv.FormatUint(m.Incarnation, 10), strconv.FormatUint(m.Version, 10)))
		return
	}
	h := f.govLife[s.governor.Name]
	switch {
	case m.Full && (m.Incarnation != h.life || m.Version >= h.version || !f.bound):
	case m.Incarnation == h.life && m.Version <= h.version:
		s.ack(m)
		return
	case m.Incarnation != h.life || m.PreviousVersion != h.version:
		if now := f.loop.Now(); s.asked == 0 || now-s.asked > model.Second+50*model.Millisecond {
			s.asked = now
			f.Resyncs++
			_, _ = s.conn.Write(resp.AppendCommand(nil, "RESYNC"))
		}
		return
	}
	f.Messages++
	f.Lines += m.Cost
	f.govLife[s.governor.Name] = held{m.Incarnation, m.Version}
	f.apply(m)
	if f.Obeyed != nil {
		f.Obeyed(f, s.governor.Name, m)
	}
	if f.StallFor > 0 {
		f.Stall(f.StallFor * model.Microseconds(len(m.Entries)))
	}
	f.run(func() { s.ack(m) })
}

func (s *stream) ack(m *pubsubmsg.Message) {
	if s.f.Disobey.NeverAcks || m.AckSequence < 0 || s.ended {
		return
	}
	_, _ = s.conn.Write(pubsubmsg.AppendAck(nil, pubsubmsg.Ack{Incarnation: m.Incarnation, Version: m.Version, Sequence: m.AckSequence}))
}

// report sends the sums of a period and books the next.
func (s *stream) report() {
	f := s.f
	if s.ended || s.life != f.life {
		return
	}
	f.loop.After(max(s.period, 10*model.Millisecond), s.report)
	f.run(func() {
		if s.ended || f.StreamsOnly {
			return
		}
		s.reports++
		sums := pubsubmsg.LoadReports{Sequence: s.reports, Window: s.period}
		for _, t := range f.at {
			if t.tries == 0 {
				continue
			}
			one := model.LoadReport{Replica: t.id, Attempts: t.tries, Errors: t.errored, Readings: t.report}
			if good := t.tries - t.errored; good > 0 {
				one.MeanLatency = model.Microseconds(t.latency / float64(good))
			}
			sums.Reports = append(sums.Reports, one)
			t.tries, t.errored, t.latency, t.report = 0, 0, 0, nil
		}
		slices.SortFunc(sums.Reports, func(a, b model.LoadReport) int {
			return strings.Compare(pubsubmsg.Address(a.Replica), pubsubmsg.Address(b.Replica))
		})
		b := pubsubmsg.AppendLoadReports(nil, sums)
		if f.SumsLate > 0 {
			f.loop.After(f.SumsLate, func() { _, _ = s.conn.Write(b) })
			return
		}
		_, _ = s.conn.Write(b)
	})
}

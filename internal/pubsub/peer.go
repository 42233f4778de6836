package pubsub

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peppervale/internal/admission"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// words are the commands that a peer may send. ACK and SUMS have no reply: a fault in one comes as an
// error and ends the connection.
var words = map[string]func(*peer, []resp.Value) error{
	"HELLO": (*peer).hello, "PING": (*peer).ping, "CLIENT": (*peer).client, "QUIT": (*peer).quit,
	"SUBSCRIBE": (*peer).subscribe, "UNSUBSCRIBE": (*peer).unsubscribe,
	"JOIN": (*peer).joinWord, "ACK": (*peer).ack, "SUMS": (*peer).sumsWord, "RESYNC": (*peer).resync, "FENCED": (*peer).fenced,
}

func (p *peer) take(v resp.Value) error {
	if v.Kind != resp.Array || len(v.Items) == 0 {
		return fmt.Errorf("a command is an array that begins with its name")
	}
	name := strings.ToUpper(v.Items[0].Word())
	do := words[name]
	if do == nil {
		known := make([]string, 0, len(words))
		for w := range words {
			known = append(known, w)
		}
		slices.Sort(known)
		p.reply(resp.AppendLine(nil, resp.Failure, fmt.Sprintf("ERR unknown command '%.40s'; known are %s", name, strings.Join(known, ", "))))
		return nil
	}
	if p.putOff() {
		return nil
	}
	return do(p, v.Items[1:])
}

// putOff counts a command, and ends a peer that sends more than it may, with a time to come back: what it holds stays in force
// meanwhile.
func (p *peer) putOff() bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.line.Limits.Commands
	ok, after := p.meter.Take(s.line.Now(), rate)
	if !ok && !p.ended.Load() {
		s.stats.PutOff++
		s.refuse(p, fmt.Sprintf(later+" %d milliseconds: %g commands a second are taken from one peer, %d at once; keep what you hold", after/model.Millisecond+1,
			rate.PerSecond, rate.Burst))
	}
	return !ok
}

func (p *peer) reply(b []byte) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.write(p, b)
}

func (p *peer) ok() { p.reply([]byte("+OK\r\n")) }

func (p *peer) hello(args []resp.Value) error {
	if len(args) > 0 && args[0].Word() != "3" {
		p.reply(resp.AppendLine(nil, resp.Failure, "NOPROTO this server speaks protocol 3"))
		return nil
	}
	for _, a := range args {
		if strings.EqualFold(a.Word(), "AUTH") {
			p.reply(resp.AppendLine(nil, resp.Failure, "ERR no password is set on this server; leave AUTH out"))
			return nil
		}
	}
	p.greeted = true
	b := resp.AppendHead(nil, resp.Map, 7)
	for _, kv := range [][2]string{{"server", "peppervale"}, {"version", "1"}, {"mode", "standalone"}, {"role", "master"}} {
		b = resp.AppendBulk(resp.AppendBulk(b, kv[0]), kv[1])
	}
	b = resp.AppendInt(resp.AppendBulk(b, "proto"), 3)
	b = resp.AppendInt(resp.AppendBulk(b, "id"), int64(p.id))
	b = resp.AppendHead(resp.AppendBulk(b, "modules"), resp.Array, 0)
	p.reply(b)
	return nil
}

func (p *peer) ping(args []resp.Value) error {
	if len(args) > 0 {
		p.reply(resp.AppendBulk(nil, args[0].Word()))
	} else {
		p.reply([]byte("+PONG\r\n"))
	}
	return nil
}

// client takes what libraries say of themselves; the rest of CLIENT is not here.
func (p *peer) client(args []resp.Value) error {
	if len(args) > 0 && (strings.EqualFold(args[0].Word(), "SETINFO") || strings.EqualFold(args[0].Word(), "SETNAME")) {
		p.ok()
		return nil
	}
	p.reply(resp.AppendLine(nil, resp.Failure, "ERR of CLIENT there are SETINFO and SETNAME"))
	return nil
}

func (p *peer) quit([]resp.Value) error {
	p.ok()
	return p.conn.Close()
}

func (p *peer) subscribe(args []resp.Value) error {
	s := p.server
	if !p.greeted {
		return fmt.Errorf("say HELLO 3 first")
	}
	for _, a := range args {
		if a.Word() != topic {
			p.reply(resp.AppendLine(nil, resp.Failure, fmt.Sprintf("ERR no topic '%.40s'; there is %s", a.Word(), topic)))
			return nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.observer && s.observers >= s.line.Limits.Observers {
		return fmt.Errorf("%d observers are here, no more are taken", s.observers)
	}
	_ = p.conn.SetReadDeadline(time.Time{})
	s.write(p, subscribed("subscribe", 1))
	if !p.observer {
		p.observer = true
		s.observers++
		s.observerSnapshot(p)
	}
	return nil
}

func (p *peer) unsubscribe([]resp.Value) error {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.observer {
		p.observer = false
		s.observers--
		delete(s.folded, p)
	}
	s.write(p, subscribed("unsubscribe", 0))
	return nil
}

func subscribed(how string, n int64) []byte {
	b := resp.AppendHead(nil, resp.Push, 3)
	return resp.AppendInt(resp.AppendBulk(resp.AppendBulk(b, how), topic), n)
}

// joinWord takes a forwarder in. One of the same name that is still here is replaced: its link is the older one.
func (p *peer) joinWord(args []resp.Value) error {
	if !p.greeted {
		return fmt.Errorf("say HELLO 3 first")
	}
	j, err := pubsubmsg.ParseJoin(args)
	if err != nil {
		return err
	}
	s := p.server
	zone := slices.Index(s.line.Zones, j.Zone)
	if zone < 0 {
		return fmt.Errorf("JOIN: no zone %.60q here; there are %s", j.Zone, strings.Join(s.line.Zones, ", "))
	}
	s.mu.Lock()
	if p.stream != 0 {
		s.mu.Unlock()
		return fmt.Errorf("JOIN: this connection has joined as %q", p.join.Name)
	}
	if !s.leaving.IsZero() {
		p.join = j
		s.refuse(p, fmt.Sprintf(ending+" this governor ends: join another, or here again in %d milliseconds; keep what you hold", s.back()))
		s.mu.Unlock()
		return nil
	}
	epoch := uint64(0)
	if s.line.Leases != nil {
		p.join, p.part = j, s.line.Leases.Shard(zone, j.Name)
		held, ok := s.line.Leases.IsLeaseHolder(p.part)
		if !ok || held < j.Epoch {
			s.moved(p)
			s.mu.Unlock()
			return nil
		}
		epoch = held
	}
	if v, after := s.gate.Join(s.line.Now(), j.Name, len(s.streams)); v != admission.Admit {
		// Not a fault: the peer is told when to come, and ended so that it holds no place among the connections.
		p.join = j
		s.refuse(p, fmt.Sprintf(later+" %d milliseconds, then join again; keep what you hold", after/model.Millisecond+1))
		s.mu.Unlock()
		return nil
	}
	number, known := s.numbers[j.Name]
	if !known {
		if len(s.numbers) > 65534 {
			s.mu.Unlock()
			return fmt.Errorf("JOIN: 65535 names have joined in this life, no more are taken")
		}
		number = model.ProxyID(len(s.numbers))
		s.numbers[j.Name] = number
	}
	if old := s.streams[number]; old != nil {
		s.end(old)
		s.stats.Replaced++
		s.refuse(old, "ERR replaced by a newer connection of the same name")
	}
	s.lastID++
	p.join, p.zone, p.proxy, p.stream = j, zone, number, s.lastID
	s.streams[number] = p
	_ = p.conn.SetReadDeadline(time.Time{})
	b := resp.AppendHead(nil, resp.Map, 4)
	b = resp.AppendInt(resp.AppendBulk(b, "life"), int64(s.board.Incarnation))
	b = resp.AppendInt(resp.AppendBulk(b, "version"), int64(s.board.Version))
	b = resp.AppendInt(resp.AppendBulk(b, "period"), int64(s.line.ReportPeriod))
	b = resp.AppendInt(resp.AppendBulk(b, "epoch"), int64(epoch))
	s.write(p, b)
	s.mu.Unlock()
	s.events.ProxyConnected(number, p.stream, j, zone)
	return nil
}

func (p *peer) joined() error {
	if p.stream == 0 {
		return fmt.Errorf("say JOIN first")
	}
	return nil
}

// ack takes a receipt. One of an earlier life says nothing about the messages of this one.
func (p *peer) ack(args []resp.Value) error {
	a, err := pubsubmsg.ParseAck(args)
	if err == nil {
		err = p.joined()
	}
	if err == nil && a.Incarnation == p.server.line.Incarnation && a.Sequence >= 0 && a.Sequence < 65536 {
		p.server.events.Acknowledged(p.proxy, p.stream, uint32(a.Sequence))
	}
	return err
}

func (p *peer) sumsWord(args []resp.Value) error {
	sums, err := pubsubmsg.ParseLoadReports(args)
	if err == nil {
		err = p.joined()
	}
	if err != nil {
		return err
	}
	if sums.Sequence <= p.sums { // it came before
		return nil
	}
	p.sums = sums.Sequence
	for i := range sums.Reports {
		sums.Reports[i].Zone, sums.Reports[i].Window = p.zone, sums.Window
	}
	p.server.events.LoadReported(p.zone, sums.Reports)
	return nil
}

// fenced takes a forwarder's word that it did not obey a message, as it has seen a newer epoch.
func (p *peer) fenced([]resp.Value) error {
	if err := p.joined(); err != nil {
		return err
	}
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Fenced++
	s.line.Log.Warn().Str("forwarder", p.join.Name).Int("part", p.part).Msg("a forwarder has seen a newer epoch and did not obey")
	return nil
}

// resync sends a snapshot anew, once a second at most: a forwarder in a loop costs no more than that.
func (p *peer) resync([]resp.Value) error {
	if err := p.joined(); err != nil {
		return err
	}
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.line.Now(); p.holder != nil && now-p.resyncAt >= model.Second {
		p.resyncAt = now
		s.stats.Resyncs++
		s.sendSnapshot(p)
	}
	return nil
}

package platform

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

func words(line string) string { return string(resp.AppendCommand(nil, strings.Fields(line)...)) }

// consistent checks what was told of each proxy: a stream's join, then its answers, then its end, once, and no two streams at a time.
// It gives the streams that are open by it.
func (h *host) consistent() map[model.ProxyID]uint64 {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	open := map[model.ProxyID]uint64{}
	for i, e := range h.raw {
		switch now := open[e.proxy]; {
		case e.what == 1 && now == 0:
			open[e.proxy] = e.stream
		case e.what == 2 && now == e.stream:
			delete(open, e.proxy)
		case e.what == 3 && now == e.stream:
		default:
			h.t.Fatalf("event %d, %+v, while stream %d is open", i, e, now)
		}
	}
	return open
}

// Whoever joins as his time to join runs out is either in or ended, never both: the last byte of `joined` and the look at strangers cross.
func TestJoinsAcrossTheGreetingLimit(t *testing.T) {
	c := &clock{now: 1}
	h := start(t, func(l *Config) {
		l.Limits.Greeting, l.Limits.Silence, l.Limits.AskAgain = time.Minute, 24*time.Hour, 24*time.Hour
		l.Now, l.Proxies, l.Limits.Connections = c.read, 200, 300
	})
	in := 0
	for n := range 200 {
		peer := dial(t, h)
		said := words(fmt.Sprintf("joined id %d site govan rps 1 new 1", n))
		peer.raw(said[:len(said)-1])
		h.until("bytes", func() bool {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			return len(h.server.peers) == in+1
		})
		c.move(time.Minute)
		var both sync.WaitGroup
		both.Add(1)
		go func() { defer both.Done(); h.server.look() }()
		_, _ = peer.conn.Write([]byte(said[len(said)-1:] + words("ping")))
		both.Wait()
		got := peer.next()
		_, joined := h.consistent()[model.ProxyID(n)]
		if joined != (got == "pong") {
			t.Fatalf("round %d: the proxy hears %q, the governor has it joined: %t", n, got, joined)
		}
		if joined {
			in++
		}
	}
	t.Logf("%d of 200 were in time", in)
}

// Three streams of one proxy come in one instant, over and over, while orders go out: one of them stays, it is the one that the governor
// knows, and orders reach it.
func TestThreeStreamsOfOneProxy(t *testing.T) {
	h := start(t, nil)
	for round := range 30 {
		var all sync.WaitGroup
		peers := []*client{dial(t, h), dial(t, h), dial(t, h)}
		for _, p := range peers {
			all.Add(1)
			go func() { defer all.Done(); _, _ = p.conn.Write([]byte(words("joined id 7 site govan rps 1 new 1"))) }()
		}
		h.publish(-1, h.shut(1, round%2 == 0))
		all.Wait()
		h.until("one stream", func() bool {
			st := h.server.Stats()
			return st.Proxies == 1 && st.Connections == 1 && st.Replaced == uint64(3*round+2)
		})
		open := h.consistent()
		if len(open) != 1 {
			t.Fatalf("open: %v", open)
		}
		h.until("admission", func() bool {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			p := h.server.streams[7]
			return p.holder != nil && p.stream == open[7]
		})
		h.publish(round, h.shut(2, true))
		alive := 0
		for _, p := range peers {
			last := ""
			for got := p.next(); got != "closed"; got = p.next() {
				if last = got; strings.Contains(got, "ticket") {
					break
				}
			}
			if last == fmt.Sprintf("update out s-2 ticket %d", round) {
				alive++
			}
		}
		if alive != 1 {
			t.Fatalf("%d streams got the order", alive)
		}
	}
}

// An answer on a stream, the stream's end, a new stream of the proxy and an order cross: the answer counts for its own stream or not at
// all, and the order reaches nobody, or the newest.
func TestAnOldStreamCrossesANewOne(t *testing.T) {
	h := start(t, nil)
	for round := range 30 {
		old := dial(t, h).say("joined id 3 site govan rps 1 new 1")
		h.until("admission", func() bool {
			h.server.mu.Lock()
			defer h.server.mu.Unlock()
			p := h.server.streams[3]
			return p != nil && p.holder != nil && p.stream == h.server.lastID
		})
		h.publish(round, h.shut(1, round%2 == 0))
		old.next()
		newer := dial(t, h)
		var all sync.WaitGroup
		for _, f := range []func(){
			func() {
				_, _ = old.conn.Write([]byte(words(fmt.Sprintf("applied id 3 seq %d ms 1", round))))
				old.conn.Close()
			},
			func() { _, _ = newer.conn.Write([]byte(words("joined id 3 site govan rps 1 new 1"))) },
			func() { h.publish(-1, h.shut(2, round%2 == 0)) },
		} {
			all.Add(1)
			go func() { defer all.Done(); f() }()
		}
		all.Wait()
		h.until("the newer stream alone", func() bool {
			st := h.server.Stats()
			return st.Proxies == 1 && st.Connections == 1
		})
		if open := h.consistent(); open[3] == 0 {
			t.Fatalf("open: %v", open)
		}
		newer.conn.Close()
		h.until("end", func() bool { return h.server.Stats().Proxies == 0 })
		if open := h.consistent(); len(open) != 0 {
			t.Fatalf("open: %v", open)
		}
	}
}

// An end before the governor admitted the stream leaves nobody on the board, and the next stream is admitted as itself.
func TestAnEndBeforeTheAdmission(t *testing.T) {
	h := start(t, nil)
	hold, held := make(chan struct{}), make(chan struct{})
	h.steps <- func() { close(held); <-hold } // the governor is busy
	<-held
	first := dial(t, h).say("joined id 7 site govan rps 1 new 1", "ping")
	first.expect("pong")
	first.conn.Close()
	h.until("end", func() bool { return h.server.Stats().Connections == 0 })
	second := dial(t, h).say("joined id 7 site govan rps 2 new 1", "ping")
	second.expect("pong")
	close(hold)
	h.wait("joined 7 zone 0 rate 2 fresh true")
	h.publish(1, h.shut(1, true))
	second.expect("update out s-1 ticket 1")
	if len(h.server.board.Subscribers) != 1 {
		t.Fatalf("%d on the board", len(h.server.board.Subscribers))
	}
	h.consistent()
}

// An answer that was lost is asked for once more, with a message that orders nothing. What waits is not freed by the silence, nor by the
// first answer should it come late beside the second.
func TestALostAnswer(t *testing.T) {
	c := &clock{now: 1}
	h := start(t, func(l *Config) { l.Limits.AskAgain, l.Now = time.Minute, c.read })
	p := dial(t, h).say("joined id 7 site govan rps 1 new 1")
	h.wait("joined 7 zone 0 rate 1 fresh true")
	other := dial(t, h).say("joined id 8 site govan rps 1 new 1")
	h.wait("joined 8 zone 0 rate 1 fresh true")
	h.publish(3, h.shut(1, true))
	p.expect("update out s-1 ticket 3")
	other.expect("update out s-1 ticket 3")
	other.say("applied id 8 seq 3 ms 1") // sent after it, and answered: it has had its turn
	h.wait("applied 8 3")
	h.server.look()
	c.move(time.Minute)
	p.say("usage id 7 lane read count 1 fail 0 over 1000", "ping") // it speaks, and does not answer
	p.expect("pong")
	other.say("ping")
	other.expect("pong")
	h.server.look()
	c.move(time.Second)
	h.server.look()
	p.expect("update ticket 3")
	h.server.look() // not over and over
	if st := h.server.Stats(); st.AskedAgain != 1 || st.Owed != 1 || st.Proxies != 2 {
		t.Fatalf("%+v", st)
	}
	p.say("applied id 7 seq 3 ms 1")
	h.wait("applied 7 3")
	h.publish(4, h.shut(2, true))
	p.expect("update out s-2 ticket 4")
	p.say("applied id 7 seq 3 ms 1", "ping") // the first one, late
	p.expect("pong")
	if st := h.server.Stats(); st.Owed != 2 || st.Spoilt != 0 {
		t.Fatalf("%+v", st)
	}
	p.say("applied id 7 seq 4 ms 1")
	h.wait("applied 7 4")
}

// A machine that vanishes while it owes nothing is found too: it is asked for a sign of life, and does not answer.
func TestAQuietStreamIsAsked(t *testing.T) {
	c := &clock{now: 1}
	h := start(t, func(l *Config) { l.Limits.AskAgain, l.Now = time.Minute, c.read })
	gone, quiet := dial(t, h).say("joined id 1 site govan rps 1 new 1"), dial(t, h).say("joined id 2 site govan rps 1 new 1")
	h.wait("joined 1 zone 0 rate 1 fresh true")
	h.wait("joined 2 zone 0 rate 1 fresh true")
	c.move(time.Minute + time.Second)
	h.server.look()
	h.server.look() // one a look
	gone.expect("update ticket 0")
	quiet.expect("update ticket 0")
	quiet.say("applied id 2 seq 0 ms 1")
	h.wait("applied 2 0")
	h.publish(1, h.shut(1, true))
	quiet.expect("update out s-1 ticket 1")
	quiet.say("applied id 2 seq 1 ms 1")
	h.wait("applied 2 1")
	h.server.look() // what was sent after it has been answered
	c.move(21 * time.Second)
	quiet.say("ping")
	quiet.expect("pong")
	h.server.look()
	h.wait("left 1")
	if st := h.server.Stats(); st.Proxies != 1 || st.Silent != 1 || st.Owed != 0 {
		t.Fatalf("%+v", st)
	}
}

// Collectors vanish without a word: their successor is taken and heard, and the one that has said nothing for longest makes room.
func TestCollectorsThatVanish(t *testing.T) {
	c := &clock{now: 1}
	h := start(t, func(l *Config) { l.Now = c.read })
	join := func() *client {
		c.move(time.Second)
		peer := dial(t, h).say("collector site govan", "ping")
		peer.expect("pong")
		return peer
	}
	first, second, third := join(), join(), join()
	c.move(time.Second)
	first.say("heard site govan target s-1 count 1 fail 0 mean 1 over 1", "ping") // the oldest is the one that works
	first.expect("pong")
	fourth := join()
	second.expect("closed")
	fourth.say("heard site govan target s-2 count 1 fail 0 mean 1 over 1")
	first.say("heard site govan target s-3 count 1 fail 0 mean 1 over 1")
	h.until("sums of both", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.sums) == 3 })
	_ = third
}

// Messages come many in one read, and in a thousand reads, with `ping` between: each whole one is taken, each `ping` answered in order, also
// on streams and collectors; half a message and the end cost nothing else.
func TestPipelinedAndSplit(t *testing.T) {
	h := start(t, nil)
	chance := rand.New(rand.NewPCG(4, 2))
	for _, size := range []int{1 << 20, 1, 7} {
		for _, who := range []string{"joined id 7 site govan rps 1 new 1", "collector site govan"} {
			c := dial(t, h)
			report, kind := "usage id 7 lane read count 1 fail 0 over 1000", "stream"
			if strings.HasPrefix(who, "collector") {
				report, kind = "heard site govan target s-1 count 1 fail 0 mean 1 over 1", "collector"
			}
			before := h.server.Stats()
			text, pings, reports := words(who), 0, 0
			for range 300 {
				if chance.IntN(3) == 0 {
					text, pings = text+words("ping"), pings+1
				} else {
					text, reports = text+words(report), reports+1
				}
			}
			text += words("ping")[:9] // half a message
			for part := range slices.Chunk([]byte(text), size) {
				c.raw(string(part))
			}
			for n := range pings {
				if got := c.next(); got != "pong" {
					t.Fatalf("%s in pieces of %d: answer %d of %d is %q", kind, size, n, pings, got)
				}
			}
			h.until("reports", func() bool {
				st := h.server.Stats()
				return int(st.Usage+st.Sums-before.Usage-before.Sums) == reports
			})
			c.conn.Close()
			h.until("end", func() bool { return h.server.Stats().Connections == 0 })
			if st := h.server.Stats(); st.Spoilt != 0 || st.Faults != 0 {
				t.Fatalf("%+v", st)
			}
		}
	}
	h.consistent()
}

// A peer that asks for signs of life and reads none is ended before what waits for it grows beyond the bound.
func TestAPeerThatReadsNoPong(t *testing.T) {
	h := start(t, nil)
	c := dial(t, h).say("collector site govan")
	_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	many := []byte(strings.Repeat(words("ping"), 1000))
	for n := 0; ; n++ { // the kernel's buffers hold some hundred thousand answers first
		_ = c.conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
		if _, err := c.conn.Write(many); os.IsTimeout(err) || n > 100_000 {
			t.Fatalf("it is not ended: %v", err)
		} else if err != nil {
			break
		}
	}
	h.until("end", func() bool { st := h.server.Stats(); return st.Slow == 1 && st.Connections == 0 })
}

// Connections that are reset right after they came up, with bytes waiting or none, leave no peer, no stranger and no descriptor.
func TestResetsRightAfterAccept(t *testing.T) {
	h := start(t, nil)
	dial(t, h).say("joined id 7 site govan rps 1 new 1")
	h.wait("joined 7 zone 0 rate 1 fresh true")
	descriptors := func() int { all, _ := os.ReadDir("/proc/self/fd"); return len(all) }
	before := descriptors()
	for n := range 300 {
		conn, err := net.Dial("tcp", h.server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte([]string{"", words("joined id 3 site govan rps 1 new 1"), words("ping")[:5], words("collector site govan")}[n%4]))
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	h.until("end of all but one", func() bool {
		st := h.server.Stats()
		h.server.mu.Lock()
		defer h.server.mu.Unlock()
		return st.Connections == 1 && st.Collectors == 0 && h.server.strangers.Len() == 0 && descriptors() == before
	})
	if open := h.consistent(); len(open) != 1 {
		t.Fatalf("open: %v", open)
	}
}

// Where streams have taken every place a stranger finds none, himself being the oldest that could go; the streams notice nothing.
func TestAStrangerAtTheLimit(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Connections = 3 })
	var joined []*client
	for n := range 3 {
		joined = append(joined, dial(t, h).say(fmt.Sprintf("joined id %d site govan rps 1 new 1", n)))
		h.wait(fmt.Sprintf("joined %d zone 0 rate 1 fresh true", n))
	}
	for range 20 {
		if got := dial(t, h).next(); got != "closed" {
			t.Fatalf("a stranger beyond the limit: %q", got)
		}
	}
	h.publish(1, h.shut(1, true))
	for _, c := range joined {
		c.expect("update out s-1 ticket 1")
	}
	if st := h.server.Stats(); st.Proxies != 3 || st.Connections != 3 || st.Evicted != 20 {
		t.Fatalf("%+v", st)
	}
}

// Orders go out, a stream is closed by hand and strangers flood the address, all at once, for a while: nobody is told of a stream that has
// not joined, and the board has who is joined.
func TestAllAtOnce(t *testing.T) {
	h := start(t, func(l *Config) { l.Limits.Connections = 12 })
	stop := make(chan struct{})
	var all sync.WaitGroup
	busy := func(f func(n int)) {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					f(n)
				}
			}
		}()
	}
	for id := range 4 {
		busy(func(n int) {
			conn, err := net.Dial("tcp", h.server.Addr())
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(words(fmt.Sprintf("joined id %d site govan rps 1 new %d", id%2, n%2)) + words("applied id 0 seq 1 ms 1")))
			buf := make([]byte, 4096)
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, _ = conn.Read(buf)
			if n%3 == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		})
	}
	busy(func(n int) {
		h.publish(n%60000, h.line(n%9+1, float64(n%3)), h.shut(n%9+1, n%2 == 0), bind(model.ProxyID(n%2)))
		time.Sleep(100 * time.Microsecond)
	})
	busy(func(int) { h.server.look(); time.Sleep(time.Millisecond) })
	time.Sleep(700 * time.Millisecond) // for as long as it is to go on
	close(stop)
	all.Wait()
	h.until("end of all", func() bool { return h.server.Stats().Connections == 0 })
	if open := h.consistent(); len(open) != 0 {
		t.Fatalf("open: %v", open)
	}
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	if n := len(h.server.board.Subscribers); n != 0 {
		t.Fatalf("%d on the board, of nobody", n)
	}
}

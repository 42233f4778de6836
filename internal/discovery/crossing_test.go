package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// toldAfter is when news counts as told whether it came or not, by the platform's page.
const toldAfter = 6 * time.Second

// none tells that nothing is asked for the moment.
func (d *desk) none(span time.Duration) {
	d.t.Helper()
	_ = d.l.(*net.TCPListener).SetDeadline(time.Now().Add(span))
	if conn, err := d.l.Accept(); err == nil {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		d.t.Fatalf("a call: %q", line)
	}
}

// A watch that falls silent, wherever it is in an answer, is called anew in time for what it has to tell; a call that was answered and
// then went silent had lived or not, and only one that had not has failed.
func TestSilence(t *testing.T) {
	for name, c := range map[string]struct {
		lives bool // it lives for a sign of life first
		say   func(d *desk)
	}{
		"no head":                     {false, func(d *desk) {}},
		"half a head":                 {false, func(d *desk) { d.write("HTTP/1.1 200 OK\r\nTransfer-") }},
		"after the head":              {false, func(d *desk) { d.write(watching) }},
		"after the first object":      {false, func(d *desk) { d.write(watching); d.chunk(object(8, true, one(1, "ready")), 1000) }},
		"in a line":                   {true, func(d *desk) { d.chunk(`{"seq":9,"whole":false,"ho`, 1000) }},
		"in a chunk":                  {true, func(d *desk) { d.write("40\r\n\n\n") }},
		"after signs of life":         {true, func(d *desk) {}},
		"a trickle without its lines": {true, func(d *desk) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := openDesk(t)
			w, n := watch(t, d, &platformmsg.EndpointList{Version: 7, Full: true})
			version := 7
			if c.lives {
				d.request(7, watching)
				d.chunk(object(8, true, one(1, "ready")), 1000)
				n.next(t, "scope 0 1/1/1/1")
				for range 2 {
					time.Sleep(time.Second) // the platform's own pace
					d.chunk("\n", 1)
				}
				version = 8
				c.say(d)
			} else {
				d.request(7, "")
				if c.say(d); strings.HasSuffix(name, "object") {
					n.next(t, "scope 0 1/1/1/1")
					version = 8
				}
			}
			since := time.Now()
			stop := make(chan struct{})
			defer close(stop)
			if strings.HasPrefix(name, "a trickle") {
				conn := d.conn
				go func() {
					for {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
							_, _ = conn.Write([]byte("1\r\n \r\n"))
						}
					}
				}()
			}
			if !c.lives { // the module asks again a second later, or a little more
				n.next(t, "scope 3")
				time.AfterFunc(1250*time.Millisecond, w.Subscribe)
			}
			d.request(version, watching)
			if took := time.Since(since); took > toldAfter || took < time.Second {
				t.Errorf("called again after %s", took)
			}
			d.chunk(object(9, false, one(2, "ready")), 1000)
			want := "scope 0 1/1/1/1 2/0/1/2"
			if version == 7 {
				want = "scope 0 1/0/1/2" // the first to be listed
			}
			n.next(t, want)
		})
	}
}

// After a watch that lived, calls that vanish are made anew at once, twice in all, and then have failed: by then the limit is near, and
// whoever asks may know better. One that is turned away has failed there and then.
func TestCallsAfterALife(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refused), func(t *testing.T) {
			t.Parallel()
			d := openDesk(t)
			_, n := watch(t, d, nil)
			d.request(0, watching)
			d.chunk(object(8, true, one(1, "ready")), 1000)
			n.next(t, "scope 0 1/1/1/1")
			time.Sleep(watchSilence/2 + 100*time.Millisecond)
			d.chunk("\n", 1)
			time.Sleep(50 * time.Millisecond)
			d.conn.Close()
			calls := 1
			if d.request(8, ""); refused {
				d.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			} else {
				d.request(8, "")
				calls = 2
			}
			n.next(t, "scope 3")
			d.none(300 * time.Millisecond)
			if len(n) > 0 {
				t.Errorf("after %d calls: %q", calls, <-n)
			}
		})
	}
}

// A long list that comes slowly, but comes, is waited for.
func TestALongListComesSlowly(t *testing.T) {
	t.Parallel()
	d := openDesk(t)
	_, n := watch(t, d, nil)
	d.request(0, watching)
	var hosts []string
	for k := range 1500 {
		hosts = append(hosts, one(k, "ready"))
	}
	text := object(3, true, hosts...)
	for part := range 5 {
		time.Sleep(900 * time.Millisecond) // 3.6 s in all, and no line of it
		d.chunk(text[part*len(text)/5:(part+1)*len(text)/5], 1<<20)
	}
	select {
	case got := <-n:
		if !strings.HasPrefix(got, "scope 0 1/") || strings.Count(got, "/") != 3*1500 {
			t.Fatalf("%.80q", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is told")
	}
}

// However often it is asked to follow, there is one call at a time, and none while a watch is there.
func TestOneCallAtATime(t *testing.T) {
	t.Parallel()
	d := openDesk(t)
	w, n := watch(t, d, nil)
	for range 10 {
		w.Subscribe()
	}
	d.request(0, "")
	for range 10 {
		w.Subscribe()
	}
	d.none(200 * time.Millisecond)
	d.write(watching)
	d.chunk(object(8, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	w.Subscribe()
	d.none(200 * time.Millisecond)
	d.conn.Close()
	n.next(t, "scope 3")
	d.none(200 * time.Millisecond) // what was asked before it failed does not count after it
	w.Subscribe()
	d.request(8, watching)
}

// A move that crosses a call: the call at the old address counts no more, however it is answered, and the new one is called at once.
func TestAMoveBetweenDialAndAnswer(t *testing.T) {
	t.Parallel()
	from, to := openDesk(t), openDesk(t)
	w, n := watch(t, from, nil)
	from.request(0, "")
	w.SetAddress(to.l.Addr().String())
	to.request(0, watching)
	from.write(watching)
	from.chunk(object(9, true, one(3, "ready")), 1000)
	to.chunk(object(8, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	to.chunk(object(9, false, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 2/0/1/2")
}

// A move in the pause after a failed call is not waited for; what is held stays held through failures at both addresses.
func TestAMoveInThePause(t *testing.T) {
	t.Parallel()
	from, to := openDesk(t), openDesk(t)
	w, n := watch(t, from, nil)
	from.request(0, watching)
	from.chunk(object(8, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	from.conn.Close()
	n.next(t, "scope 3")
	w.SetAddress(to.l.Addr().String())
	to.request(8, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	n.next(t, "scope 3")
	if held := w.Endpoints(); len(held) != 1 || held[0].Status != model.EndpointReady {
		t.Fatalf("held: %v", held)
	}
	w.Subscribe()
	to.request(8, watching)
	to.chunk(object(9, false, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 2/0/1/2")
}

// There and back is no move, and a move before anybody asked to follow calls nobody.
func TestThereAndBack(t *testing.T) {
	t.Parallel()
	d, other := openDesk(t), openDesk(t)
	w, n := unasked(t, other, nil)
	w.SetAddress(d.l.Addr().String())
	d.none(100 * time.Millisecond)
	w.Subscribe()
	d.request(0, watching)
	d.chunk(object(8, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	w.mu.Lock() // both moves before the watch looks
	w.address = other.l.Addr().String()
	w.mu.Unlock()
	w.SetAddress(d.l.Addr().String())
	d.none(200 * time.Millisecond)
	other.none(time.Millisecond)
	d.chunk(object(9, false, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 2/0/1/2")
}

// A whole list that comes again, equal, says nothing new and loses nothing; one that omits a replica says that it is gone; an older whole
// one is what discovery holds now.
func TestWholeListsAgain(t *testing.T) {
	t.Parallel()
	d := openDesk(t)
	_, n := watch(t, d, nil)
	d.request(0, watching)
	for range 2 {
		d.chunk(object(8, true, one(1, "ready"), one(2, "draining")), 7)
		n.next(t, "scope 0 1/1/1/1 2/0/2/2")
	}
	d.chunk(object(9, true, one(2, "draining")), 1000)
	n.next(t, "scope 0 2/0/2/2")
	d.chunk(object(4, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	d.chunk(object(5, false, one(3, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 3/1/1/3")
}

// The end of the client crosses a call in each of its states, and is told to nobody.
func TestClosedInEachState(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"idle", "dialling", "asked", "watching"} {
		d := openDesk(t)
		n := make(news, 100)
		w, err := NewWatcher(WatchConfig{Address: d.l.Addr().String(), Zones: zones, Names: platformmsg.NewReplicaNames(), Log: zerolog.Nop()}, n)
		if err != nil {
			t.Fatal(err)
		}
		if state != "idle" {
			w.Subscribe()
		}
		if state == "asked" {
			d.request(0, "")
		}
		if state == "watching" {
			d.request(0, watching)
			d.chunk(object(8, true, one(1, "ready")), 1000)
			n.next(t, "scope 0 1/1/1/1")
		}
		closed := make(chan struct{})
		go func() { w.Close(); close(closed) }()
		select {
		case <-closed:
		case <-time.After(700 * time.Millisecond):
			t.Fatalf("%s: it does not close", state)
		}
		if len(n) > 0 {
			t.Errorf("%s: %q", state, <-n)
		}
	}
}

// Governors that are cut off together do not call in step.
func TestPausesAreDrawn(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(20) {
		w := &Watcher{seed: seed}
		for range 5 {
			p := w.pause()
			if p < 0 || p >= watchPause {
				t.Fatalf("%s", p)
			}
			seen[p.Round(time.Millisecond)] = true
		}
	}
	if len(seen) < 50 {
		t.Errorf("100 pauses fall on %d milliseconds", len(seen))
	}
}

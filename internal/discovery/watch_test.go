package discovery

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// desk is a discovery by hand: the test sees each request and writes what it likes.
type desk struct {
	t    *testing.T
	l    net.Listener
	conn net.Conn
}

func openDesk(t *testing.T) *desk {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &desk{t: t, l: l}
}

// request waits for a watch that asks from a version on, and answers its head.
func (d *desk) request(since int, answer string) {
	d.t.Helper()
	_ = d.l.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	var err error
	if d.conn, err = d.l.Accept(); err != nil {
		d.t.Fatal(err)
	}
	conn := d.conn
	d.t.Cleanup(func() { conn.Close() })
	line, _ := bufio.NewReader(d.conn).ReadString('\n')
	if want := fmt.Sprintf("GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\n", since); line != want {
		d.t.Fatalf("%q, want %q", line, want)
	}
	d.write(answer)
}

func (d *desk) write(text string) { _, _ = d.conn.Write([]byte(text)) }

// chunk writes content in chunks of so many bytes.
func (d *desk) chunk(text string, size int) {
	for part := range slices.Chunk([]byte(text), size) {
		d.write(fmt.Sprintf("%x\r\n%s\r\n", len(part), part))
	}
}

const watching = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

type news chan string

func (n news) EndpointsChanged(scope model.EndpointUpdate, entries []model.Endpoint) {
	text := fmt.Sprint("scope ", scope)
	for _, e := range entries {
		text += fmt.Sprintf(" %d/%d/%d/%d", e.ID.Addr[3], e.Zone, e.Status, e.StartedAt/model.Millisecond)
	}
	n <- text
}

func (n news) next(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-n:
		if got != want {
			t.Fatalf("%q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("nothing is told, want %q", want)
	}
}

// watch follows a desk.
func watch(t *testing.T, d *desk, known *platformmsg.EndpointList) (*Watcher, news) {
	w, n := unasked(t, d, known)
	w.Subscribe()
	return w, n
}

// unasked is a watch that nobody has asked to follow yet.
func unasked(t *testing.T, d *desk, known *platformmsg.EndpointList) (*Watcher, news) {
	n := make(news, 100)
	w, err := NewWatcher(WatchConfig{Address: d.l.Addr().String(), Zones: zones, Names: platformmsg.NewReplicaNames(), Known: known, Log: zerolog.Nop()}, n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, n
}

func object(version int, whole bool, hosts ...string) string {
	return fmt.Sprintf("{\"seq\":%d,\"whole\":%t,\"hosts\":[%s]}\n", version, whole, strings.Join(hosts, ","))
}

func one(n int, health string) string {
	return fmt.Sprintf(`{"host":"s-%d","site":"%s","health":"%s","born_ms":%d}`, n, zones[n%2], health, n)
}

// The list that was known is the base; changes fold into it however their bytes are cut, and what is gone leaves it.
func TestAWatchFoldsChanges(t *testing.T) {
	d := openDesk(t)
	w, n := watch(t, d, &platformmsg.EndpointList{Version: 41, Full: true, Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: "partick", Status: model.EndpointReady}}})
	if known := w.Endpoints(); len(known) != 1 {
		t.Fatalf("known: %v", known)
	}
	d.request(41, watching)
	d.chunk("\n"+object(42, false, one(2, "ready"))+"\n\n", 3)
	n.next(t, "scope 0 1/1/1/0 2/0/1/2")
	d.chunk(object(43, false, one(1, "draining"))+object(44, false, one(2, "gone"), one(3, "ready")), 1000)
	n.next(t, "scope 0 1/1/2/1 2/0/1/2")
	n.next(t, "scope 0 1/1/2/1 3/1/1/3")
	d.chunk(object(45, true, one(4, "ready"), `{"host":"s-5","site":"nowhere","health":"ready"}`), 1000)
	n.next(t, "scope 0 4/0/1/4")
}

// A watch that ends is told once, and the next one goes on from the version that is held.
func TestAWatchGoesOnFromItsVersion(t *testing.T) {
	d := openDesk(t)
	w, n := watch(t, d, nil)
	d.request(0, watching)
	d.chunk(object(7, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	d.conn.Close()
	n.next(t, "scope 3")
	w.Subscribe()
	d.request(7, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	n.next(t, "scope 3")
	w.Subscribe()
	d.request(7, watching)
	d.chunk(object(8, false, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 2/0/1/2")
}

// What is no list, no HTTP, or a whole answer where a watch was asked for, fails the call and changes nothing.
func TestAnswersThatAreNoWatch(t *testing.T) {
	d := openDesk(t)
	w, n := watch(t, d, &platformmsg.EndpointList{Version: 3, Full: true, Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: "govan", Status: model.EndpointReady}}})
	for k, answer := range []string{"SSH-2.0\r\n", watching + "5\r\nno, \n\r\n", watching + "3\r\n{}\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", watching + "0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"} {
		if k > 0 {
			w.Subscribe()
		}
		d.request(3, answer)
		n.next(t, "scope 3")
	}
	if held := w.Endpoints(); len(held) != 1 {
		t.Fatalf("held: %v", held)
	}
}

// A discovery that moves is followed at its new address from the same version; the old one, still open, counts no more.
func TestAWatchMoves(t *testing.T) {
	from, to := openDesk(t), openDesk(t)
	w, n := watch(t, from, nil)
	from.request(0, watching)
	from.chunk(object(7, true, one(1, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1")
	w.SetAddress(from.l.Addr().String()) // the same: nothing happens
	w.SetAddress(to.l.Addr().String())
	to.request(7, watching)
	from.chunk(object(9, true), 1000)
	to.chunk(object(8, false, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/1/1/1 2/0/1/2")
}

// A version that goes back tells nothing of what lies between: the whole list is asked for.
func TestAVersionThatGoesBack(t *testing.T) {
	d := openDesk(t)
	w, n := watch(t, d, &platformmsg.EndpointList{Version: 41, Full: true})
	d.request(41, watching)
	d.chunk(object(3, false, one(1, "ready")), 1000)
	n.next(t, "scope 3")
	w.Subscribe()
	d.request(0, watching)
	d.chunk(object(3, true, one(2, "ready")), 1000)
	n.next(t, "scope 0 1/0/1/2")
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// list is one JSON object of discovery.
type list struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery serves the list and its watches.
type discovery struct {
	w        *world
	listener net.Listener
	address  string

	mu        sync.Mutex
	seq       uint64
	hosts     map[string]host
	order     []string
	changed   map[string]uint64 // the version of each host's newest change
	watches   map[*watch]bool
	calls     int
	lastCall  time.Time
	endsAtOne bool                 // a watch ends right after its first object
	told      map[string]time.Time // newest time a host's newest change was written to a watch
	listedAt  map[string]time.Time // when a host's newest change was listed
	drained   map[string]time.Time // when a draining or removed host was told to drain
}

type watch struct {
	conn   net.Conn
	number int
	wake   chan struct{}
	sent   uint64
}

func newDiscovery(w *world, hosts []host) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("%v", err)
	}
	d := &discovery{
		w: w, listener: listener, address: listener.Addr().String(), seq: 40, hosts: map[string]host{},
		changed: map[string]uint64{}, watches: map[*watch]bool{}, told: map[string]time.Time{},
		listedAt: map[string]time.Time{}, drained: map[string]time.Time{},
	}
	for _, h := range hosts {
		d.hosts[h.Host] = h
		d.order = append(d.order, h.Host)
		d.changed[h.Host] = d.seq
	}
	go d.serve()
	return d
}

func (d *discovery) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.answer(conn)
	}
}

// known returns the whole list as it is now.
func (d *discovery) known() list {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// since returns what changed after a version; d.mu is held.
func (d *discovery) since(version uint64) list {
	result := list{Seq: d.seq, Whole: version == 0, Hosts: []host{}}
	for _, name := range d.order {
		h := d.hosts[name]
		if version == 0 && h.Health == "gone" {
			continue
		}
		if version == 0 || d.changed[name] > version {
			result.Hosts = append(result.Hosts, h)
		}
	}
	return result
}

func (d *discovery) answer(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	d.mu.Lock()
	d.calls++
	d.lastCall = time.Now()
	number := d.calls
	d.mu.Unlock()
	d.w.logf("discovery: call %d: %s", number, strings.TrimSpace(request))
	version := uint64(0)
	if _, rest, ok := strings.Cut(request, "since="); ok {
		digits := rest[:strings.IndexAny(rest+" ", " &")]
		version, _ = strconv.ParseUint(digits, 10, 64)
	}
	if !strings.Contains(request, "follow=1") {
		d.mu.Lock()
		body, _ := json.Marshal(d.since(0))
		d.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return
	}
	watched := &watch{conn: conn, number: number, wake: make(chan struct{}, 1), sent: version}
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	d.mu.Lock()
	d.watches[watched] = true
	ends := d.endsAtOne
	first := d.object(watched)
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, watched)
		d.mu.Unlock()
	}()
	if _, err := conn.Write([]byte(head + chunk(first+"\n"))); err != nil {
		return
	}
	if ends {
		d.w.logf("discovery: the connection of watch %d ends after its first object", number)
		return
	}
	gone := make(chan struct{})
	go func() {
		reader.ReadByte()
		close(gone)
	}()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		text := ""
		select {
		case <-gone:
			d.w.logf("discovery: watch %d was ended by the instance", number)
			return
		case <-ticker.C:
			text = "\n"
		case <-watched.wake:
			d.mu.Lock()
			if watched.sent < d.seq {
				text = d.object(watched) + "\n"
			}
			d.mu.Unlock()
		}
		if text == "" {
			continue
		}
		if _, err := conn.Write([]byte(chunk(text))); err != nil {
			return
		}
	}
}

// object returns the next object of a watch and counts it as told; d.mu is held.
func (d *discovery) object(watched *watch) string {
	content := d.since(watched.sent)
	for _, h := range content.Hosts {
		d.told[h.Host] = time.Now()
		switch h.Health {
		case "ready":
			delete(d.drained, h.Host)
		case "draining":
			d.drained[h.Host] = time.Now()
		}
	}
	d.w.logf("discovery: watch %d gets version %d with %d entries", watched.number, content.Seq, len(content.Hosts))
	watched.sent = d.seq
	text, _ := json.Marshal(content)
	return string(text)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// change lists changed entries.
func (d *discovery) change(changes ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range changes {
		if _, known := d.hosts[h.Host]; !known {
			d.order = append(d.order, h.Host)
		}
		d.hosts[h.Host] = h
		d.changed[h.Host] = d.seq
		d.listedAt[h.Host] = time.Now()
		delete(d.told, h.Host)
		d.w.logf("discovery: version %d lists %s as %s, born_ms %d; %d watches are open", d.seq, h.Host, h.Health, h.Born,
			len(d.watches))
	}
	for watched := range d.watches {
		select {
		case watched.wake <- struct{}{}:
		default:
		}
	}
}

// get returns an entry.
func (d *discovery) get(name string) host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts[name]
}

// setEndsAtOne makes each later watch end after its first object, or ends that.
func (d *discovery) setEndsAtOne(ends bool) {
	d.mu.Lock()
	d.endsAtOne = ends
	d.mu.Unlock()
}

// drainedAt returns when the instance was told that a host drains; zero if it was not.
func (d *discovery) drainedAt(name string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained[name]
}

// isGone reports whether a host is gone now: nothing listens there.
func (d *discovery) isGone(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts[name].Health == "gone"
}

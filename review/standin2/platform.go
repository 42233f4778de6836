//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the platform's channel and peers, within the ranges of the operators' brief and PROTOCOL.
const (
	transit        = 115 * time.Millisecond // until a message that came is in force
	reportLateness = 600 * time.Millisecond
	signOfLife     = 2 * time.Second

	linesPerSecond  = 3000
	messageOverhead = 6
)

// host is a replica in discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`

	changed int
}

// hostList is a list of discovery.
type hostList struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a sound discovery service of the platform.
type discovery struct {
	bed     *testbed
	address string

	mu      sync.Mutex
	seq     int
	hosts   map[string]host
	changed chan struct{}
	told    map[string]time.Duration // by "name health": when the change was first written to a watch
}

func startDiscovery(bed *testbed, hosts []host) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(couldNot{err.Error()})
	}
	d := &discovery{
		bed: bed, address: listener.Addr().String(), seq: 41, hosts: map[string]host{}, changed: make(chan struct{}),
		told: map[string]time.Duration{},
	}
	for _, h := range hosts {
		h.changed = 1
		d.hosts[h.Host] = h
	}
	server := &http.Server{Handler: http.HandlerFunc(d.answer), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	bed.note("discovery on %s lists %d replicas", d.address, len(hosts))
	return d
}

// change sets the health of replicas and tells all watches.
func (d *discovery) change(health string, names ...string) {
	d.mu.Lock()
	d.seq++
	for _, name := range names {
		h := d.hosts[name]
		h.Health = health
		h.changed = d.seq
		d.hosts[name] = h
	}
	close(d.changed)
	d.changed = make(chan struct{})
	seq := d.seq
	d.mu.Unlock()
	d.bed.note("discovery, seq %d: %s is %s", seq, strings.Join(names, ", "), health)
}

// since returns what changed after a version; 0: the whole list.
func (d *discovery) since(seq int) (list hostList, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = hostList{Seq: d.seq, Whole: seq == 0, Hosts: []host{}}
	for _, h := range d.hosts {
		if h.changed > seq && (seq > 0 || h.Health != "gone") {
			list.Hosts = append(list.Hosts, h)
		}
	}
	slices.SortFunc(list.Hosts, func(a, b host) int { return strings.Compare(a.Host, b.Host) })
	return list, d.changed
}

func (d *discovery) answer(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.Atoi(query.Get("since"))
	if query.Get("follow") != "1" {
		list, _ := d.since(0)
		_ = json.NewEncoder(writer).Encode(list)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	flusher := writer.(http.Flusher)
	for first := true; ; first = false {
		list, changed := d.since(since)
		if first || list.Seq > since {
			text, _ := json.Marshal(list)
			if _, err := writer.Write(append(text, '\n')); err != nil {
				return
			}
			flusher.Flush()
			d.noteTold(list, since)
			since = list.Seq
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-time.After(signOfLife):
			_, _ = writer.Write([]byte("\n"))
			flusher.Flush()
		}
	}
}

func (d *discovery) noteTold(list hostList, since int) {
	now := d.bed.now()
	var names []string
	d.mu.Lock()
	for _, h := range list.Hosts {
		names = append(names, h.Host+":"+h.Health)
		d.told[h.Host+" "+h.Health] = now
	}
	d.mu.Unlock()
	d.bed.log("discovery wrote seq %d after %d, whole %v: %s", list.Seq, since, list.Whole, strings.Join(names, " "))
}

func (d *discovery) toldAt(name, health string) (at time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.told[name+" "+health]
	return at, ok
}

// platformConfig returns the file that LB_CONFIG names, with settings of glasgow-tint as the page on the wire shows them.
func platformConfig(listen, discoveryAddress, seed string, proxies int, zones []string, known hostList) string {
	class := func(name, effect, group string, aim, deadline, worth, late, window float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": group, "on_time": aim, "give_up": deadline,
			"credit": worth, "late_value": late, "window": window}
	}
	settings := map[string]any{
		"zones": zones, "zone": 0, "me": 0, "siblings": 1, "membership_mode": "subscribe", "service_type": "control",
		"classes": []any{
			class("recipe-read", "idempotent", "all", 500, 1200, 1, 0.2, 5000),
			class("batch-log", "deduplicated", "cell", 750, 2000, 3, 0.1, 1200),
		},
		"extra": map[string]any{
			"admission": "ratio", "bare": 2600.0, "base_mode": 1, "class_own_zone": []bool{false, false}, "default_size": 6,
			"fails_to_eject": 0, "first_wait": 0.8, "ingest_rate": 150.0, "local_first": true, "overhead": 6.0,
			"pending_max": 6000.0, "period": 1000.0, "proxies": proxies, "push_delay_max": 287.5, "push_price": 0.02,
			"push_rate": 3000.0, "reload_span": 10000.0, "reloads_max": 0, "selects_by": "pair", "slices": 0,
			"smallest_conn_table": 153.0, "transit": 115.0,
		},
		"guarantees": map[string]any{"cold": 17000.0, "cold_share": 0.19, "fall": 3000.0, "must_ask_in": 10000.0,
			"stop_sending_within": 2500.0, "tip_multiple": 4.0},
		"prices": map[string]any{"cross_zone": 0.08},
		"stats":  map[string]any{"fields": []string{"cpu_share"}, "how": "piggyback"},
		"tick":   2.0,
	}
	text, _ := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "discovery": discoveryAddress, "seed": seed, "known": known, "settings": settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
	})
	return string(text)
}

// platformFleet is the proxies and collectors of one governor's address.
type platformFleet struct {
	bed     *testbed
	address string
	zones   []string
	proxies []*platformProxy

	mu          sync.Mutex
	met         map[string]map[string]tally // attempts since the last report, by site and replica
	lost        map[string]bool             // replicas at which attempts fail
	channelFree time.Time                   // when the governor's channel has written the messages that came so far
}

// tally is a number of requests or attempts, and how many of them failed.
type tally struct{ count, failed int }

// lose makes all attempts at replicas fail from now on.
func (f *platformFleet) lose(names ...string) {
	f.mu.Lock()
	for _, name := range names {
		f.lost[name] = true
	}
	f.mu.Unlock()
	f.bed.note("%s are lost: attempts there fail", strings.Join(names, ", "))
}

// attempt counts an attempt at a replica and reports whether it fails.
func (f *platformFleet) attempt(site, replica string) (failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	met := f.met[site][replica]
	met.count++
	if f.lost[replica] {
		met.failed++
	}
	f.met[site][replica] = met
	return f.lost[replica]
}

// delay returns when a message that comes now is in force: the governor's channel writes one after another, at the pace of
// the settings, and each then takes the transit.
func (f *platformFleet) delay(parts [][]string) time.Time {
	lines := messageOverhead
	for _, part := range parts {
		lines += len(split(field(part, "lines"))) + len(split(field(part, "out"))) + len(split(field(part, "back")))
		for _, name := range []string{"whole", "level", "ticket"} {
			if field(part, name) != "" {
				lines++
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); f.channelFree.Before(now) {
		f.channelFree = now
	}
	f.channelFree = f.channelFree.Add(time.Duration(lines) * time.Second / linesPerSecond)
	return f.channelFree.Add(transit)
}

// platformProxy is a sound proxy of PROTOCOL. It keeps its table and what it shuts out across streams.
type platformProxy struct {
	fleet *platformFleet
	id    int
	site  string
	rate  float64

	mu        sync.Mutex
	lines     map[string]float64
	out       map[string]bool
	ordered   bool
	joined    bool
	joinedAt  time.Duration
	messages  int
	usedUntil map[string]time.Duration
	sent      []sending
	requests  tally // since the last report of usage
	refused   int   // requests that found no replica to pick while the proxy was joined
	isBare    bool
	bareFrom  time.Duration
	bare      []span // joined, without a replica to pick
}

func newPlatformFleet(bed *testbed, address string, zones []string) *platformFleet {
	f := &platformFleet{bed: bed, address: address, zones: zones, met: map[string]map[string]tally{}, lost: map[string]bool{}}
	for _, zone := range zones {
		f.met[zone] = map[string]tally{}
		go f.collect(zone)
	}
	return f
}

func (f *platformFleet) add(site string, rate float64, standing []string) *platformProxy {
	p := &platformProxy{
		fleet: f, id: len(f.proxies), site: site, rate: rate, lines: map[string]float64{}, out: map[string]bool{},
		usedUntil: map[string]time.Duration{},
	}
	for _, replica := range standing {
		p.lines[replica] = 1
		p.usedUntil[replica] = stillUsed
	}
	f.proxies = append(f.proxies, p)
	go p.follow()
	go p.send()
	return p
}

// all returns a condition that holds once it holds for each proxy.
func (f *platformFleet) all(holds func(*platformProxy) bool) func() bool {
	return func() bool {
		for _, p := range f.proxies {
			p.mu.Lock()
			ok := holds(p)
			p.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	}
}

func words(texts ...string) []byte {
	var encoded strings.Builder
	fmt.Fprintf(&encoded, "*%d\r\n", len(texts))
	for _, text := range texts {
		fmt.Fprintf(&encoded, "$%d\r\n%s\r\n", len(text), text)
	}
	return []byte(encoded.String())
}

func readWords(reader *bufio.Reader) (texts []string, err error) {
	count, err := readHeader(reader, '*')
	if err != nil {
		return nil, err
	}
	for range count {
		length, err := readHeader(reader, '$')
		if err != nil {
			return nil, err
		}
		buffer := make([]byte, length+2)
		if _, err := io.ReadFull(reader, buffer); err != nil {
			return nil, err
		}
		texts = append(texts, string(buffer[:length]))
	}
	return texts, nil
}

func readHeader(reader *bufio.Reader, marker byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != marker {
		return 0, fmt.Errorf("unexpected %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// follow keeps the proxy joined: it dials again after each break.
func (p *platformProxy) follow() {
	for {
		if conn, err := net.DialTimeout("tcp", p.fleet.address, 250*time.Millisecond); err == nil {
			p.stream(conn)
		}
		time.Sleep(140*time.Millisecond + rand.N(240*time.Millisecond))
	}
}

func (p *platformProxy) stream(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	fresh := "1"
	if p.ordered {
		fresh = "0"
	}
	p.joined = true
	p.joinedAt = p.fleet.bed.now()
	p.updateBare()
	p.mu.Unlock()
	_, _ = conn.Write(words("joined", "id", strconv.Itoa(p.id), "site", p.site, "rps", fmt.Sprintf("%.1f", p.rate),
		"new", fresh))
	p.log("joined, new %s", fresh)
	stop := make(chan struct{})
	go p.reportUsage(conn, stop)
	reader := bufio.NewReader(conn)
	var parts [][]string
	for {
		message, err := readWords(reader)
		if err != nil {
			break
		}
		if len(message) == 0 || message[0] != "update" {
			continue
		}
		parts = append(parts, message[1:])
		if field(message[1:], "more") == "1" {
			continue
		}
		cameAt := time.Now()
		time.Sleep(time.Until(p.fleet.delay(parts)))
		if ticket := p.apply(parts); ticket != "" {
			_, _ = conn.Write(words("applied", "id", strconv.Itoa(p.id), "seq", ticket, "ms",
				fmt.Sprintf("%.1f", float64(time.Since(cameAt).Microseconds())/1000)))
		}
		parts = nil
	}
	close(stop)
	p.mu.Lock()
	p.joined = false
	p.updateBare()
	p.mu.Unlock()
	p.log("its stream ended")
}

func (p *platformProxy) log(format string, values ...any) {
	if p.id < 4 {
		p.fleet.bed.log("proxy %d of %s: "+format, append([]any{p.id, p.site}, values...)...)
	}
}

func field(fields []string, name string) string {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == name {
			return fields[i+1]
		}
	}
	return ""
}

// apply puts a message in force and returns its ticket.
func (p *platformProxy) apply(parts [][]string) (ticket string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range parts {
		if field(part, "whole") == "1" {
			p.lines = map[string]float64{}
			p.ordered = true
		}
		for _, line := range split(field(part, "lines")) {
			name, text, _ := strings.Cut(line, ":")
			weight, _ := strconv.ParseFloat(text, 64)
			if weight > 0 {
				p.lines[name] = weight
			} else {
				delete(p.lines, name)
			}
		}
		for _, name := range split(field(part, "out")) {
			p.out[name] = true
		}
		for _, name := range split(field(part, "back")) {
			delete(p.out, name)
		}
		if t := field(part, "ticket"); t != "" {
			ticket = t
		}
		p.log("in force: %s", strings.Join(part, " "))
	}
	p.messages++
	now := p.fleet.bed.now()
	usable := map[string]bool{}
	for _, name := range p.usable() {
		usable[name] = true
		p.usedUntil[name] = stillUsed
	}
	for name, until := range p.usedUntil {
		if until == stillUsed && !usable[name] {
			p.usedUntil[name] = now
		}
	}
	p.updateBare()
	return ticket
}

// updateBare begins or ends a span in which the proxy is joined and has nothing to pick; p.mu is held.
func (p *platformProxy) updateBare() {
	bare := p.joined && len(p.usable()) == 0
	now := p.fleet.bed.now()
	switch {
	case bare && !p.isBare:
		p.bareFrom = now
		p.log("nothing to pick")
	case !bare && p.isBare:
		p.bare = append(p.bare, span{p.bareFrom, now})
		p.log("a replica to pick again, or left, after %.3f s", (now - p.bareFrom).Seconds())
	}
	p.isBare = bare
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// usable returns the replicas that the proxy may pick, in order; p.mu is held.
func (p *platformProxy) usable() (names []string) {
	for name := range p.lines {
		if !p.out[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// send draws the requests of each tenth of a second.
func (p *platformProxy) send() {
	const step = 100 * time.Millisecond
	due := rand.Float64()
	for range time.Tick(step) {
		due += p.rate * step.Seconds()
		for ; due >= 1; due-- {
			p.mu.Lock()
			replica := p.pick()
			failed := replica == ""
			switch {
			case replica != "":
				p.sent = append(p.sent, sending{p.fleet.bed.now(), replica, 1})
				failed = p.fleet.attempt(p.site, replica)
			case p.joined:
				p.refused++
			}
			p.requests.count++
			if failed {
				p.requests.failed++
			}
			p.mu.Unlock()
		}
	}
}

// pick draws a replica by weight; p.mu is held.
func (p *platformProxy) pick() string {
	names := p.usable()
	total := 0.0
	for _, name := range names {
		total += p.lines[name]
	}
	left := rand.Float64() * total
	for _, name := range names {
		left -= p.lines[name]
		if left <= 0 {
			return name
		}
	}
	return ""
}

func (p *platformProxy) reportUsage(conn net.Conn, stop <-chan struct{}) {
	time.Sleep(rand.N(time.Second))
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			p.mu.Lock()
			requests := p.requests
			p.requests = tally{}
			p.mu.Unlock()
			_, _ = conn.Write(words("usage", "id", strconv.Itoa(p.id), "lane", "recipe-read", "count",
				strconv.Itoa(requests.count), "fail", strconv.Itoa(requests.failed), "over", "1000.0"))
		}
	}
}

// collect passes the reports of a site on, each second and some time late.
func (f *platformFleet) collect(site string) {
	for {
		conn, err := net.DialTimeout("tcp", f.address, 250*time.Millisecond)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, err = conn.Write(words("collector", "site", site))
		for err == nil {
			time.Sleep(time.Second - reportLateness)
			f.mu.Lock()
			met := f.met[site]
			f.met[site] = map[string]tally{}
			f.mu.Unlock()
			time.Sleep(reportLateness)
			for replica, attempts := range met {
				if _, err = conn.Write(heard(site, replica, attempts)); err != nil {
					break
				}
			}
			if err == nil {
				err = isOpen(conn)
			}
		}
		_ = conn.Close()
	}
}

// heard returns the report of the attempts at a replica; one at which all failed has no time and no load report.
func heard(site, replica string, attempts tally) []byte {
	texts := []string{
		"heard", "site", site, "target", replica, "count", strconv.Itoa(attempts.count), "fail", strconv.Itoa(attempts.failed),
	}
	if attempts.failed < attempts.count {
		texts = append(texts, "mean", fmt.Sprintf("%.1f", 90+20*rand.Float64()), "over", "1000.0", "util", "cpu_share:0.35")
	} else {
		texts = append(texts, "mean", "0.0", "over", "1000.0")
	}
	return words(texts...)
}

// isOpen reports whether a connection that the other side never writes to is still open.
func isOpen(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is all proxies of a case and what they met.
type fleet struct {
	w       *world
	classes []string
	transit time.Duration // from a message's arrival until it is in force
	period  time.Duration
	proxies []*proxy
	done    chan struct{}
	wait    sync.WaitGroup

	mu         sync.Mutex
	met        map[string]map[string]int // attempts since the last report, by site and replica
	late       time.Duration             // of load reports and usage
	reading    string                    // the load report that the replicas give
	refuses    func(replica string) bool
	avoidAfter int // a proxy avoids a replica after that many of its own tries in a row failed; 0: never
	avoidFor   time.Duration
	failed     map[string]map[string]int // of the attempts met, those that were refused
	second     map[string]int            // attempts since the last line of the record, by replica
	onSend     func(p *proxy, class, replica string, at time.Time)
	onTick     func(p *proxy, at time.Time)
}

// proxy is one proxy with its tables, which it keeps across streams.
type proxy struct {
	f    *fleet
	id   int
	site string
	rps  float64

	mu       sync.Mutex
	tables   map[string]map[string]float64 // by class
	out      map[string]bool
	ordered  bool // it holds a table that was ordered
	conn     net.Conn
	stream   int // grows with each stream
	joinedAt time.Time
	away     bool
	bareFrom map[string]time.Time
	requests map[string]int
	failing  map[string]int       // tries in a row that failed, by replica
	avoided  map[string]time.Time // until when a replica is avoided
	messages []time.Time          // messages of this stream
	most     int                  // messages within 10 s, at most
}

func newFleet(w *world, classes []string, transit, period time.Duration) *fleet {
	return &fleet{
		w: w, classes: classes, transit: transit, period: period, done: make(chan struct{}),
		met: map[string]map[string]int{}, second: map[string]int{}, failed: map[string]map[string]int{},
		late: 600 * time.Millisecond, reading: "cpu_share:0.40", refuses: func(string) bool { return false },
	}
}

// add adds a proxy with a standing table.
func (f *fleet) add(id int, site string, rps float64, standing []string) *proxy {
	p := &proxy{
		f: f, id: id, site: site, rps: rps, tables: map[string]map[string]float64{}, out: map[string]bool{},
		bareFrom: map[string]time.Time{}, requests: map[string]int{}, away: true,
		failing: map[string]int{}, avoided: map[string]time.Time{},
	}
	for _, class := range f.classes {
		p.tables[class] = map[string]float64{}
		for _, replica := range standing {
			p.tables[class][replica] = 1
		}
	}
	f.proxies = append(f.proxies, p)
	return p
}

// join opens a stream.
func (p *proxy) join(address string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		p.f.w.logf("proxy %d could not join: %v", p.id, err)
		return
	}
	p.mu.Lock()
	p.conn = conn
	p.stream++
	stream := p.stream
	fresh := "1"
	if p.ordered {
		fresh = "0"
	}
	p.joinedAt = time.Now()
	p.away = false
	p.messages = nil
	shut := keys(p.out)
	p.mu.Unlock()
	p.f.w.logf("proxy %d joins, new %s, shut out: %v", p.id, fresh, shut)
	conn.Write(encode("joined", "id", strconv.Itoa(p.id), "site", p.site, "rps", fmt.Sprintf("%.1f", p.rps), "new", fresh))
	p.f.wait.Add(1)
	go p.read(conn, stream)
}

// breakStream resets the proxy's stream.
func (p *proxy) breakStream() {
	p.mu.Lock()
	conn := p.conn
	p.away = true
	p.stream++
	p.mu.Unlock()
	p.f.w.logf("proxy %d: its stream breaks", p.id)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

func (p *proxy) read(conn net.Conn, stream int) {
	defer p.f.wait.Done()
	type arrived struct {
		parts [][]string
		at    time.Time
	}
	queue := make(chan arrived, 4096)
	p.f.wait.Add(1)
	go func() {
		defer p.f.wait.Done()
		for message := range queue {
			time.Sleep(time.Until(message.at.Add(p.f.transit)))
			p.mu.Lock()
			if p.stream != stream {
				p.mu.Unlock()
				continue
			}
			ticket := ""
			for _, part := range message.parts {
				if t := p.apply(part); t != "" {
					ticket = t
				}
			}
			p.mu.Unlock()
			if ticket != "" {
				conn.Write(encode("applied", "id", strconv.Itoa(p.id), "seq", ticket, "ms",
					fmt.Sprintf("%.1f", float64(time.Since(message.at).Microseconds())/1000)))
			}
		}
	}()
	defer close(queue)
	reader := bufio.NewReader(conn)
	var parts [][]string
	for {
		words, err := decode(reader)
		if err != nil {
			p.mu.Lock()
			current := p.stream == stream
			if current {
				p.away = true
			}
			p.mu.Unlock()
			if current {
				p.f.w.logf("proxy %d: the instance ended its stream: %v", p.id, err)
			}
			return
		}
		if len(words) == 0 || words[0] != "update" {
			continue
		}
		parts = append(parts, words[1:])
		more := false
		for i := 1; i+1 < len(words); i += 2 {
			more = more || words[i] == "more" && words[i+1] == "1"
		}
		if more {
			continue
		}
		var texts []string
		for _, part := range parts {
			texts = append(texts, strings.Join(part, " "))
		}
		p.f.w.logf("proxy %d gets: %s", p.id, strings.Join(texts, " | "))
		p.countMessage()
		queue <- arrived{parts, time.Now()}
		parts = nil
	}
}

// countMessage counts the messages of this stream within 10 s.
func (p *proxy) countMessage() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages = append(p.messages, now)
	within := 0
	for _, at := range p.messages {
		if now.Sub(at) < 10*time.Second {
			within++
		}
	}
	p.most = max(p.most, within)
}

// apply puts one part of an update in force and returns its ticket; p.mu is held.
func (p *proxy) apply(part []string) (ticket string) {
	fields := map[string]string{}
	for i := 0; i+1 < len(part); i += 2 {
		fields[part[i]] = part[i+1]
	}
	classes := p.f.classes
	if named, given := fields["classes"]; given {
		classes = strings.Split(named, "+")
	}
	for _, class := range classes {
		if fields["whole"] == "1" {
			p.tables[class] = map[string]float64{}
			p.ordered = true
		}
		if lines := fields["lines"]; lines != "" {
			for _, line := range strings.Split(lines, ",") {
				name, text, _ := strings.Cut(line, ":")
				weight, _ := strconv.ParseFloat(text, 64)
				if weight > 0 {
					p.tables[class][name] = weight
				} else {
					delete(p.tables[class], name)
				}
			}
		}
	}
	if names := fields["out"]; names != "" {
		for _, name := range strings.Split(names, ",") {
			p.out[name] = true
		}
	}
	if names := fields["back"]; names != "" {
		for _, name := range strings.Split(names, ",") {
			delete(p.out, name)
		}
	}
	return fields["ticket"]
}

// lines returns the replicas that the proxy may pick; p.mu is held.
func (p *proxy) lines(class string) []string {
	var names []string
	for name := range p.tables[class] {
		if !p.out[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// pick draws a replica by weight; p.mu is held.
func (p *proxy) pick(class string) string {
	var names []string
	for _, name := range p.lines(class) {
		if time.Now().After(p.avoided[name]) {
			names = append(names, name)
		}
	}
	total := 0.0
	for _, name := range names {
		total += p.tables[class][name]
	}
	drawn := rand.Float64() * total
	for _, name := range names {
		drawn -= p.tables[class][name]
		if drawn <= 0 {
			return name
		}
	}
	return ""
}

// run starts the proxies' requests and usage messages and the collectors of the sites.
func (f *fleet) run(address string, sites []string) {
	for _, p := range f.proxies {
		f.wait.Add(1)
		go p.send()
	}
	for _, site := range sites {
		f.wait.Add(1)
		go f.collect(address, site)
	}
	f.wait.Add(1)
	go f.recordAttempts()
}

// recordAttempts writes each second's attempts to the record. The replicas of this stand-in run and answer
// each attempt, and refuse it once they are gone.
func (f *fleet) recordAttempts() {
	defer f.wait.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		second := f.second
		f.second = map[string]int{}
		f.mu.Unlock()
		var texts []string
		for _, replica := range keys(second) {
			texts = append(texts, fmt.Sprintf("%s %d", replica, second[replica]))
		}
		f.w.logf("attempts sent, run and answered (unless refused) in this second: %s", strings.Join(texts, ", "))
	}
}

// send sends the proxy's requests, and its usage messages each period.
func (p *proxy) send() {
	defer p.f.wait.Done()
	const step = 10 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	usageAt := time.Now().Add(p.f.period + p.f.late)
	due := 0.0
	next := 0
	for {
		select {
		case <-p.f.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		due += p.rps * step.Seconds()
		for ; due >= 1; due-- {
			class := p.f.classes[next%len(p.f.classes)]
			next++
			p.mu.Lock()
			replica := p.pick(class)
			p.requests[class]++
			p.mu.Unlock()
			if p.f.onSend != nil {
				p.f.onSend(p, class, replica, now)
			}
			p.f.mu.Lock()
			if replica == "" {
				p.f.second["(nothing to pick)"]++
				p.f.mu.Unlock()
				continue
			}
			if p.f.met[p.site] == nil {
				p.f.met[p.site] = map[string]int{}
			}
			refused := p.f.refuses(replica)
			p.f.met[p.site][replica]++
			if refused {
				if p.f.failed[p.site] == nil {
					p.f.failed[p.site] = map[string]int{}
				}
				p.f.failed[p.site][replica]++
				p.f.second[replica+" (refused)"]++
			} else {
				p.f.second[replica]++
			}
			p.f.mu.Unlock()
			p.noteResult(replica, refused, now)
		}
		if p.f.onTick != nil {
			p.f.onTick(p, now)
		}
		if now.After(usageAt) {
			usageAt = usageAt.Add(p.f.period)
			p.mu.Lock()
			conn, away := p.conn, p.away
			for class, count := range p.requests {
				if count > 0 && !away {
					conn.Write(encode("usage", "id", strconv.Itoa(p.id), "lane", class, "count", strconv.Itoa(count), "fail", "0",
						"over", fmt.Sprintf("%d.0", p.f.period.Milliseconds())))
				}
			}
			p.requests = map[string]int{}
			p.mu.Unlock()
		}
	}
}

// noteResult notes the result of an attempt; a proxy that avoids failing replicas judges by its own tries in a row.
func (p *proxy) noteResult(replica string, refused bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !refused {
		p.failing[replica] = 0
		return
	}
	p.failing[replica]++
	if p.f.avoidAfter > 0 && p.failing[replica] >= p.f.avoidAfter {
		p.failing[replica] = 0
		p.avoided[replica] = now.Add(p.f.avoidFor)
	}
}

// collect passes a site's reports on.
func (f *fleet) collect(address, site string) {
	defer f.wait.Done()
	var conn net.Conn
	ticker := time.NewTicker(f.period)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			if conn != nil {
				conn.Close()
			}
			return
		case <-ticker.C:
		}
		if conn == nil {
			opened, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				continue
			}
			conn = opened
			conn.Write(encode("collector", "site", site))
		}
		f.mu.Lock()
		met := f.met[site]
		failed := f.failed[site]
		f.met[site], f.failed[site] = map[string]int{}, map[string]int{}
		f.mu.Unlock()
		time.Sleep(f.late)
		for _, replica := range keys(met) {
			if _, err := conn.Write(encode("heard", "site", site, "target", replica, "count", strconv.Itoa(met[replica]), "fail",
				strconv.Itoa(failed[replica]), "mean", "120.0", "over", fmt.Sprintf("%d.0", f.period.Milliseconds()), "util",
				f.reading)); err != nil {
				conn.Close()
				conn = nil
				break
			}
		}
	}
}

// stop ends all streams.
func (f *fleet) stop() {
	close(f.done)
	for _, p := range f.proxies {
		p.mu.Lock()
		p.stream++
		if p.conn != nil {
			p.conn.Close()
		}
		p.mu.Unlock()
	}
	f.wait.Wait()
}

func keys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

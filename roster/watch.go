package roster

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/fleet"
	"peppervale/httpwire"
	"peppervale/platformwire"
	"peppervale/sockets"
)

// Discovery says which list of the operators' platform is watched.
type Discovery struct {
	Address string // host:port
	Zones   []string
	Names   *platformwire.Names // learns each replica that is listed
	Known   *platformwire.List  // what the list was when this governor last held it; nil: never
	Log     zerolog.Logger
}

// The platform writes an empty line every 2 s to a watch: two missed and a slow one, and the link is dead, whatever TCP says. A call
// that waits longer than a second there is ended by the other side.
const (
	watchSilence = 5 * time.Second
	watchDial    = 1500 * time.Millisecond
	watchHead    = 3 * time.Second
	watchTick    = 250 * time.Millisecond
	objectMost   = 2 << 20 // bytes of one line of a watch
)

// Watch follows discovery over one open answer. Make it with NewWatch.
type Watch struct {
	to     Receiver
	zones  []string
	names  *platformwire.Names
	log    zerolog.Logger
	engine *sockets.Engine
	asked  chan struct{}
	moved  chan struct{}
	done   chan struct{}
	wait   sync.WaitGroup

	mu      sync.Mutex
	address string
	held    map[string]platformwire.Entry
	version uint64
}

// NewWatch starts a client that does nothing until Follow.
func NewWatch(d Discovery, to Receiver) (*Watch, error) {
	w := &Watch{to: to, zones: d.Zones, names: d.Names, log: d.Log, address: d.Address, asked: make(chan struct{}, 1),
		moved: make(chan struct{}, 1), done: make(chan struct{}), held: map[string]platformwire.Entry{}}
	if d.Known != nil {
		w.take(d.Known)
	}
	var err error
	w.engine, err = sockets.Start(1, sockets.Handlers{Data: func(conn *nbio.Conn, data []byte) {
		if l, ok := conn.Session().(*look); ok {
			l.came(data)
		}
	}, Close: func(conn *nbio.Conn, err error) {
		if l, ok := conn.Session().(*look); ok {
			l.end(fmt.Errorf("connection ended: %w", err))
		}
	}})
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	w.wait.Add(1)
	go w.run()
	return w, nil
}

// Follow subscribes; while subscribed it changes nothing.
func (w *Watch) Follow() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// Move goes on at another address, from the version that is held.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	same := w.address == address
	w.address = address
	w.mu.Unlock()
	if !same {
		select {
		case w.moved <- struct{}{}:
		default:
		}
	}
}

// Close ends the client.
func (w *Watch) Close() {
	close(w.done)
	w.wait.Wait()
	w.engine.Stop()
}

// Entries is the list as it is held.
func (w *Watch) Entries() []fleet.Listing {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listings()
}

func (w *Watch) run() {
	defer w.wait.Done()
	for {
		select {
		case <-w.asked:
		case <-w.done:
			return
		}
		for again := true; again; {
			var err error
			if again, err = w.follow(); err != nil {
				w.log.Warn().Err(err).Msg("discovery: watch ended")
				w.to.Listed(fleet.Failed, nil)
			}
		}
	}
}

// take folds one object of the watch in.
func (w *Watch) take(l *platformwire.List) {
	if l.Whole {
		clear(w.held)
	}
	unknown := 0
	for _, e := range l.Entries {
		if !slices.Contains(w.zones, e.Site) {
			unknown++
			continue
		}
		if _, ok := w.names.Listed(e.Host); !ok {
			unknown++
			continue
		}
		if e.Life == fleet.Gone {
			delete(w.held, e.Host)
		} else {
			w.held[e.Host] = e
		}
	}
	if w.version = l.Version; unknown+l.Skipped > 0 {
		w.log.Warn().Int("entries", unknown+l.Skipped).Msg("discovery: entries left out, without a usable name, zone or health")
	}
}

// listings is what is held, always in the same order.
func (w *Watch) listings() (all []fleet.Listing) {
	for _, host := range slices.Sorted(maps.Keys(w.held)) {
		e := w.held[host]
		id, _ := w.names.ID(host)
		all = append(all, fleet.Listing{ID: id, Zone: slices.Index(w.zones, e.Site), Life: e.Life, Since: e.Since})
	}
	return all
}

// look is one watch in work.
type look struct {
	watch  *Watch
	parser *httpwire.Parser
	line   []byte
	once   sync.Once
	ended  chan error

	mu   sync.Mutex
	conn *nbio.Conn
	over bool // given up: nothing that comes counts
	last time.Time
	told bool // it was answered
}

func (l *look) end(err error) { l.once.Do(func() { l.ended <- err }) }

// giveUp ends the connection, also one that comes later.
func (l *look) giveUp() {
	l.mu.Lock()
	l.over = true
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *look) came(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	l.last = time.Now()
	if err := l.parser.Feed(data, func(m *httpwire.Message) error {
		return fmt.Errorf("status %d, and the answer ended: %.80q", m.Status, m.Body)
	}); err != nil {
		l.over = true
		l.end(err)
	}
}

// part takes content of the answer.
func (l *look) part(m *httpwire.Message, part []byte) error {
	if m.Status != 200 {
		return fmt.Errorf("status %d", m.Status)
	}
	l.told = true
	for len(part) > 0 {
		i := bytes.IndexByte(part, '\n')
		if i < 0 {
			i = len(part)
		}
		if len(l.line)+i > objectMost {
			return fmt.Errorf("an object of over %d bytes", objectMost)
		}
		l.line = append(l.line, part[:i]...)
		if i == len(part) {
			return nil
		}
		part = part[i+1:]
		text := bytes.TrimSpace(l.line)
		l.line = l.line[:0]
		if len(text) == 0 {
			continue
		}
		list, err := platformwire.ParseList(text)
		if err != nil {
			return err
		}
		w := l.watch
		w.mu.Lock()
		if !list.Whole && list.Version < w.version { // set back: what lies between is not known
			w.version = 0
			w.mu.Unlock()
			return fmt.Errorf("the version went back to %d", list.Version)
		}
		w.take(list)
		all := w.listings()
		w.mu.Unlock()
		w.to.Listed(fleet.Whole, all)
	}
	return nil
}

// follow keeps one watch until it ends (its error), the address changes (again) or the client is closed.
func (w *Watch) follow() (again bool, err error) {
	w.mu.Lock()
	address, version := w.address, w.version
	w.mu.Unlock()
	l := &look{watch: w, ended: make(chan error, 1), last: time.Now()}
	l.parser = httpwire.NewParser(true, httpwire.Bounds{})
	l.parser.Stream = l.part
	began := l.last
	request := httpwire.AppendRequest(nil, "GET", "/v1/endpoints?follow=1&since="+strconv.FormatUint(version, 10), address, nil,
		"Accept", "application/json")
	sockets.Dial(w.engine, address, watchDial, l, func(c *nbio.Conn, err error) {
		if err != nil {
			l.end(err)
			return
		}
		l.mu.Lock()
		over := l.over
		l.conn = c
		l.mu.Unlock()
		if over {
			_ = c.Close()
		} else if _, err := c.Write(request); err != nil {
			l.end(err)
		}
	})
	defer l.giveUp()
	tick := time.NewTicker(watchTick)
	defer tick.Stop()
	for {
		select {
		case err := <-l.ended:
			return false, err
		case <-w.moved:
			w.log.Info().Msg("discovery: going on at the new address")
			return true, nil
		case <-w.done:
			return false, nil
		case <-tick.C:
			l.mu.Lock()
			told, last := l.told, l.last
			l.mu.Unlock()
			if !told && time.Since(began) > watchHead {
				return false, fmt.Errorf("no answer within %s", watchHead)
			}
			if time.Since(last) > watchSilence {
				return false, fmt.Errorf("nothing came for %s", watchSilence)
			}
		}
	}
}

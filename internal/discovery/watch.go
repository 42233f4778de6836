package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rs/zerolog"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
	"peppervale/internal/netpoll"
)

// WatchConfig says which list of the operators' platform is watched.
type WatchConfig struct {
	Address string // host:port
	Zones   []string
	Names   *platformmsg.ReplicaNames // learns each replica that is listed
	Known   *platformmsg.EndpointList // what the list was when this governor last held it; nil: never
	Seed    uint64                    // of the pauses
	Log     zerolog.Logger
}

// What discovery has to tell counts as told 6 s after it was due, whether it came or not, and the platform writes an empty line every 2 s to
// a watch. A call that waits longer than a second there is ended by the other side. So a watch is dead after 3 s without a whole line: a
// second more than its sign of life, for the way. With the pause (0.25 s at most) and a call (a second, and the way) the list is there
// 4.3 to 4.8 s after the last sign; with a call that vanishes between (1.5 s, 0.25 s) at about 6.
const (
	watchSilence = 3 * time.Second
	watchHead    = 1500 * time.Millisecond // the dial included
	watchPause   = 250 * time.Millisecond  // at most; drawn, so that governors cut off together do not call in step
	watchCalls   = 2                       // made at once after a watch that lived, while nobody answers; then the call has failed
	lineSlice    = 16 << 10                // bytes of an unfinished line that are a sign of life too: a list may be long
	objectMost   = 2 << 20                 // bytes of one line of a watch
)

// Watcher follows discovery over one open answer. Make it with NewWatch.
type Watcher struct {
	to     Receiver
	zones  []string
	names  *platformmsg.ReplicaNames
	log    zerolog.Logger
	engine *netpoll.Engine
	asked  chan struct{}
	moved  chan struct{}
	done   chan struct{}
	wait   sync.WaitGroup
	seed   uint64
	draws  int

	mu      sync.Mutex
	address string
	held    map[string]platformmsg.Endpoint
	version uint64
}

// NewWatcher starts a client that does nothing until Follow.
func NewWatcher(d WatchConfig, to Receiver) (*Watcher, error) {
	w := &Watcher{to: to, zones: d.Zones, names: d.Names, log: d.Log, seed: d.Seed, address: d.Address, asked: make(chan struct{}, 1),
		moved: make(chan struct{}, 1), done: make(chan struct{}), held: map[string]platformmsg.Endpoint{}}
	if d.Known != nil {
		w.take(d.Known)
	}
	var err error
	w.engine, err = netpoll.Start(1, netpoll.Handlers{Data: func(conn *nbio.Conn, data []byte) {
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

// Subscribe subscribes; while subscribed it changes nothing.
func (w *Watcher) Subscribe() {
	select {
	case w.asked <- struct{}{}:
	default:
	}
}

// SetAddress goes on at another address, from the version that is held; a call that failed at the one before is not waited for.
func (w *Watcher) SetAddress(address string) {
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
func (w *Watcher) Close() {
	close(w.done)
	w.wait.Wait()
	w.engine.Stop()
}

// Endpoints is the list as it is held.
func (w *Watcher) Endpoints() []model.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listings()
}

func (w *Watcher) run() {
	defer w.wait.Done()
	for subscribed := false; ; {
		select {
		case <-w.asked:
		case <-w.moved:
			if !subscribed {
				continue
			}
		case <-w.done:
			return
		}
		subscribed = true
		w.subscribe()
	}
}

// subscribe keeps watches until a call fails, and tells that, or the client is closed. A watch that lived and ended is no failed call:
// it is made anew.
func (w *Watcher) subscribe() {
	for calls := 0; ; {
		l := w.follow()
		switch {
		case l.err == nil && l.closed:
			return
		case l.err == nil: // moved
			calls = 0
			w.log.Info().Msg("discovery: going on at the new address")
			continue
		case l.lived():
			calls = watchCalls
		case !l.mute:
			calls = 0
		}
		w.log.Warn().Err(l.err).Msg("discovery: watch ended")
		if calls--; calls < 0 {
			select {
			case <-w.asked: // asked for before this
			default:
			}
			w.to.EndpointsChanged(model.PollFailed, nil)
			return
		}
		pause := time.NewTimer(w.pause())
		select {
		case <-pause.C:
		case <-w.moved:
		case <-w.done:
		}
		pause.Stop()
	}
}

// pause draws one.
func (w *Watcher) pause() time.Duration {
	h := fnv.New64a()
	w.draws++
	fmt.Fprint(h, w.seed, " ", w.draws)
	return time.Duration(h.Sum64() % uint64(watchPause))
}

// take folds one object of the watch in.
func (w *Watcher) take(l *platformmsg.EndpointList) {
	if l.Full {
		clear(w.held)
	}
	unknown := 0
	for _, e := range l.Endpoints {
		if !slices.Contains(w.zones, e.Zone) {
			unknown++
			continue
		}
		if _, ok := w.names.Listed(e.Name); !ok {
			unknown++
			continue
		}
		if e.Status == model.EndpointGone {
			delete(w.held, e.Name)
		} else {
			w.held[e.Name] = e
		}
	}
	if w.version = l.Version; unknown+l.Skipped > 0 {
		w.log.Warn().Int("entries", unknown+l.Skipped).Msg("discovery: entries left out, without a usable name, zone or health")
	}
}

// listings is what is held, always in the same order.
func (w *Watcher) listings() (all []model.Endpoint) {
	for _, host := range slices.Sorted(maps.Keys(w.held)) {
		e := w.held[host]
		id, _ := w.names.ID(host)
		all = append(all, model.Endpoint{ID: id, Zone: slices.Index(w.zones, e.Zone), Status: e.Status, StartedAt: e.StartedAt})
	}
	return all
}

// look is one call, and the watch that it leads to.
type look struct {
	watch  *Watcher
	parser *http1.Parser
	line   []byte
	once   sync.Once
	ended  chan error
	began  time.Time
	err    error // why it ended; nil: moved, or closed
	closed bool
	mute   bool // it ended for want of any answer, or of a connection

	mu     sync.Mutex
	conn   *nbio.Conn
	over   bool // given up: nothing that comes counts
	heard  bool // the answer has begun
	last   time.Time
	slices int // of an unfinished line
}

// lived tells a watch that was one: it went on for as long as its signs of life are apart.
func (l *look) lived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard && l.last.Sub(l.began) >= watchSilence/2
}

// due is how long until it is dead, by what came; and what it died of.
func (l *look) due() (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heard {
		l.mute = true
		return time.Until(l.began.Add(watchHead)), fmt.Errorf("no answer within %s", watchHead)
	}
	l.mute = false
	return time.Until(l.last.Add(watchSilence)), fmt.Errorf("nothing came for %s", watchSilence)
}

func (l *look) end(err error) { l.once.Do(func() { l.ended <- err }) }

// giveUp ends the connection, also one that comes later.
func (l *look) giveUp() {
	l.mu.Lock()
	l.over = true
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		l.watch.engine.End(conn)
	}
}

func (l *look) came(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return
	}
	if !l.heard {
		l.heard, l.last = true, time.Now()
	}
	if err := l.parser.Feed(data, func(m *http1.Message) error {
		return fmt.Errorf("status %d, and the answer ended: %.80q", m.Status, m.Body)
	}); err != nil {
		l.over = true
		l.end(err)
	}
}

// part takes content of the answer.
func (l *look) part(m *http1.Message, part []byte) error {
	if m.Status != 200 {
		return fmt.Errorf("status %d", m.Status)
	}
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
			if n := len(l.line) / lineSlice; n > l.slices {
				l.slices, l.last = n, time.Now()
			}
			return nil
		}
		part = part[i+1:]
		l.slices, l.last = 0, time.Now()
		text := bytes.TrimSpace(l.line)
		l.line = l.line[:0]
		if len(text) == 0 {
			continue
		}
		list, err := platformmsg.ParseEndpointList(text)
		if err != nil {
			return err
		}
		w := l.watch
		w.mu.Lock()
		if !list.Full && list.Version < w.version { // set back: what lies between is not known
			w.version = 0
			w.mu.Unlock()
			return fmt.Errorf("the version went back to %d", list.Version)
		}
		w.take(list)
		all := w.listings()
		w.mu.Unlock()
		w.to.EndpointsChanged(model.FullList, all)
	}
	return nil
}

// follow makes one call and keeps its watch until it ends, the address changes or the client is closed.
func (w *Watcher) follow() *look {
	w.mu.Lock()
	address, version := w.address, w.version
	w.mu.Unlock()
	now := time.Now()
	l := &look{watch: w, ended: make(chan error, 1), began: now, last: now}
	l.parser = http1.NewParser(true, http1.Limits{})
	l.parser.Stream = l.part
	request := http1.AppendRequest(nil, "GET", "/v1/endpoints?follow=1&since="+strconv.FormatUint(version, 10), address, nil,
		"Accept", "application/json")
	netpoll.Dial(w.engine, address, watchHead, l, func(c *nbio.Conn, err error) {
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
	alarm := time.NewTimer(watchHead)
	defer alarm.Stop()
	for {
		select {
		case l.err = <-l.ended:
			var n net.Error
			l.mute = errors.As(l.err, &n) && n.Timeout()
			return l
		case <-w.moved:
			w.mu.Lock()
			there := w.address == address
			w.mu.Unlock()
			if !there { // else it moved before this call, or there and back
				return l
			}
		case <-w.done:
			l.closed = true
			return l
		case <-alarm.C:
			left, dead := l.due()
			if left <= 0 {
				l.err = dead
				return l
			}
			alarm.Reset(left)
		}
	}
}

package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/codec/resp"
	"peppervale/internal/placement"
)

// What the first byte of a connection asks for; the name of who dials follows, its length first. Operators have none.
const (
	forRaft     = 'R'
	forRequests = 'Q'
)

// Bounds of the port.
const (
	connectionsMost = 256
	greetIn         = 2 * time.Second
	idleFor         = time.Minute
)

// port takes connections and hands raft its own.
type port struct {
	line   *Config
	net    net.Listener
	layer  *layer
	answer func(words []string) ([]byte, error)
	places chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	open   map[net.Conn]bool
	ended  bool
}

func openPort(l *Config, answer func([]string) ([]byte, error)) (*port, error) {
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return nil, fmt.Errorf("group: %w; another process may have the address", err)
	}
	p := &port{line: l, net: listener, answer: answer, places: make(chan struct{}, connectionsMost), open: map[net.Conn]bool{},
		layer: &layer{line: l, addr: listener.Addr(), came: make(chan net.Conn), done: make(chan struct{})}}
	p.wait.Add(1)
	go p.run()
	return p, nil
}

func (p *port) run() {
	defer p.wait.Done()
	for {
		conn, err := p.net.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no descriptor is free: the next may be
			continue
		}
		select {
		case p.places <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		p.mu.Lock()
		if p.ended {
			p.mu.Unlock()
			conn.Close()
			return
		}
		p.open[conn] = true
		p.wait.Add(1)
		p.mu.Unlock()
		go func() {
			defer p.wait.Done()
			counted := &counted{Conn: conn, gone: func() {
				p.mu.Lock()
				delete(p.open, conn)
				p.mu.Unlock()
				<-p.places
			}}
			if !p.serve(counted) {
				counted.Close()
			}
		}()
	}
}

// counted is a connection that holds its place until it is closed, by whoever has it then: raft does not end those that it was handed.
type counted struct {
	net.Conn
	once sync.Once
	gone func()
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.gone)
	return err
}

// serve reads what a connection wants; true: raft has it now.
func (p *port) serve(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(greetIn))
	head := make([]byte, 2)
	if _, err := io.ReadFull(conn, head); err != nil {
		return false
	}
	name := make([]byte, head[1])
	if _, err := io.ReadFull(conn, name); err != nil {
		return false
	}
	_ = conn.SetDeadline(time.Time{})
	from := net.Conn(conn)
	if len(name) > 0 { // operators' are no links between members
		from = p.line.linked(conn, string(name))
	}
	switch head[0] {
	case forRaft:
		select {
		case p.layer.came <- from:
			return true
		case <-p.layer.done:
		}
	case forRequests:
		p.requests(from)
	}
	return false
}

// requests answers commands, one after the other.
func (p *port) requests(conn net.Conn) {
	reader := resp.NewReader(resp.Limits{Message: 4 << 20, Bulk: 4 << 20, Items: 64})
	buffer := make([]byte, 16<<10)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleFor))
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		err = reader.Feed(buffer[:n], func(v resp.Value) error {
			if v.Kind != resp.Array || len(v.Items) == 0 {
				return errors.New("a request is an array that begins with its name")
			}
			var words []string
			for _, item := range v.Items {
				words = append(words, item.Word())
			}
			body, err := p.answer(words)
			reply := resp.AppendBulk(nil, string(body))
			if err != nil {
				reply = resp.AppendLine(nil, resp.Failure, "ERR "+err.Error())
			}
			_ = conn.SetWriteDeadline(time.Now().Add(greetIn))
			_, err = conn.Write(reply)
			return err
		})
		if err != nil {
			_, _ = conn.Write(resp.AppendLine(nil, resp.Failure, "ERR "+err.Error()))
			return
		}
	}
}

func (p *port) close() {
	p.mu.Lock()
	p.ended = true
	for conn := range p.open {
		conn.Close() // whoever reads it then closes it too, and gives its place back
	}
	p.mu.Unlock()
	_ = p.layer.Close()
	p.net.Close()
	p.wait.Wait()
}

// client asks one address, over a connection that it keeps.
type client struct {
	dial   func(within time.Duration) (net.Conn, error)
	conn   net.Conn
	reader *resp.Reader
}

// client asks a member's port.
func (l *Config) client(name, address string) *client {
	return &client{dial: func(within time.Duration) (net.Conn, error) { return l.dial(name, address, forRequests, within) }}
}

// ask sends a request and waits for its answer. An error of the other side is one here.
func (c *client) ask(within time.Duration, words ...string) (string, error) {
	if c.conn == nil {
		conn, err := c.dial(within)
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, resp.NewReader(resp.Limits{})
	}
	text, failure, err := c.exchange(within, words)
	if err != nil {
		c.close()
		return "", err
	}
	if failure != "" {
		return "", errors.New(failure)
	}
	return text, nil
}

func (c *client) exchange(within time.Duration, words []string) (text, failure string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if _, err = c.conn.Write(resp.AppendCommand(nil, words...)); err != nil {
		return "", "", err
	}
	buffer := make([]byte, 16<<10)
	for got := false; !got; {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return "", "", err
		}
		err = c.reader.Feed(buffer[:n], func(v resp.Value) error {
			got = true
			if text = v.Text; v.Kind == resp.Failure {
				text, failure = "", strings.TrimPrefix(v.Text, "ERR ")
			}
			return nil
		})
		if err != nil {
			return "", "", err
		}
	}
	return text, failure, nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Request sends one request to a member's group port, as operators do: STATUS; MOVE part member; LEAVE member on|off; STRIKE member; ADD
// member address. Any member takes it and hands it to the leader if need be.
func Request(address string, within time.Duration, words ...string) (string, error) {
	c := (&Config{}).client("", address)
	defer c.close()
	text, err := c.ask(within, words...)
	if err != nil {
		return "", fmt.Errorf("%s: %w", address, err)
	}
	return text, nil
}

// handed marks a request that a member handed to the leader, so that two that each take the other for it do not pass it on for ever.
const handed = "HANDED"

// answerRequest is the other side of Ask.
func (g *Cluster) answerRequest(words []string) ([]byte, error) {
	passed := words[0] == handed && len(words) > 1
	if passed {
		words = words[1:]
	}
	name := strings.ToUpper(words[0])
	switch {
	case name == "STATUS":
		return json.Marshal(g.Status())
	case name == "HAND" && len(words) == 2:
		return nil, g.handed(words[1])
	}
	row, known := requests[name]
	if !known {
		return nil, fmt.Errorf("unknown request %.40q; known are STATUS, MOVE, LEAVE, STRIKE, ADD", words[0])
	}
	if len(words)-1 != row.words {
		return nil, fmt.Errorf("%s takes %d words", name, row.words)
	}
	if !g.engine.isLeader() {
		if passed || name == "PROPOSE" {
			return nil, errNotLeader
		}
		return g.pass(words)
	}
	return nil, row.do(g, words[1:])
}

// requests are what the leader carries out.
var requests = map[string]struct {
	words int
	do    func(g *Cluster, words []string) error
}{
	"PROPOSE": {1, func(g *Cluster, words []string) error {
		c := &Command{}
		if err := cbor.Unmarshal([]byte(words[0]), c); err != nil {
			return err
		}
		if c.Kind != RegisterMember && c.Kind != RenewLeases && c.Kind != ReleaseLeases {
			return fmt.Errorf("a command of kind %d is not proposed from afar", c.Kind)
		}
		return g.engine.propose(c)
	}},
	"MOVE": {2, func(g *Cluster, words []string) error {
		part, err := strconv.Atoi(words[0])
		if err != nil || part < 0 || part >= len(g.line.Settings.Zones)*g.line.Settings.ShardsPerZone {
			return fmt.Errorf("MOVE: %.40q is no part; there are 0 to %d", words[0], len(g.line.Settings.Zones)*g.line.Settings.ShardsPerZone-1)
		}
		if err := g.mustBeHere(words[1]); err != nil {
			return err
		}
		return g.engine.propose(&Command{SchemaVersion: form, Kind: SetPlacement, Member: g.line.Name, ByOperator: true,
			Migrations: []placement.Migration{{Shard: part, To: words[1], Reason: "moved by hand"}}})
	}},
	"LEAVE": {2, func(g *Cluster, words []string) error {
		if err := g.mustBeKnown(words[0]); err != nil {
			return err
		}
		if words[1] != "on" && words[1] != "off" && words[1] != "ending" {
			return fmt.Errorf("LEAVE: on or off, not %.40q", words[1])
		}
		return g.engine.propose(&Command{SchemaVersion: form, Kind: DrainMember, Member: words[0], On: words[1] != "off", ByOperator: words[1] != "ending"})
	}},
	"STRIKE": {1, func(g *Cluster, words []string) error {
		if err := g.mustBeKnown(words[0]); err != nil {
			return err
		}
		if words[0] == g.line.Name {
			return fmt.Errorf("STRIKE: %s leads the group; stop it first", words[0])
		}
		if err := g.engine.remove(words[0]); err != nil {
			return err
		}
		return g.engine.propose(&Command{SchemaVersion: form, Kind: RemoveMember, Member: words[0]})
	}},
	"ADD": {2, func(g *Cluster, words []string) error {
		if _, _, err := net.SplitHostPort(words[1]); err != nil {
			return fmt.Errorf("ADD: %w", err)
		}
		if at, votes := g.engine.voters()[words[0]]; votes && at == words[1] {
			return nil
		}
		return g.engine.add(words[0], words[1])
	}},
}

// pass hands a request to the leader.
func (g *Cluster) pass(words []string) ([]byte, error) {
	name, address := g.engine.leader()
	if address == "" {
		return nil, errors.New("nobody leads the group: a majority of its members is not there, or they are choosing; try again in some seconds")
	}
	c := g.line.client(name, address)
	defer c.close()
	text, err := c.ask(5*time.Second, append([]string{handed}, words...)...)
	return []byte(text), err
}

func (g *Cluster) mustBeKnown(name string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.member.reg.Member(name) == nil {
		var names []string
		for _, m := range g.member.reg.Members {
			names = append(names, m.Name)
		}
		return fmt.Errorf("no member %.60q; there are %s", name, strings.Join(names, ", "))
	}
	return nil
}

func (g *Cluster) mustBeHere(name string) error {
	if err := g.mustBeKnown(name); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.member.reg.Member(name); !g.member.isHere(m, g.line.Now(), nil) {
		return fmt.Errorf("%s is not here", name)
	}
	return nil
}

package cluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"peppervale/internal/codec/resp"
)

// The first byte of a connection says what it is for. The dialling member's name follows, its length first; operators
// have none.
const (
	connectionForRaft     = 'R'
	connectionForRequests = 'Q'
)

// Bounds of the port.
const (
	maxConnections  = 256
	handshakeWithin = 2 * time.Second
	replyWithin     = 2 * time.Second
	maxIdle         = time.Minute
	acceptRetry     = 10 * time.Millisecond // after a failed accept: a descriptor may be free then
	maxRequestBytes = 4 << 20
	maxRequestWords = 64
	readBufferBytes = 16 << 10
)

// answerFunc answers one request, which has at least one word.
type answerFunc func(words []string) ([]byte, error)

// portServer accepts connections to the cluster port: it answers requests, and hands raft its own connections.
type portServer struct {
	config   *Config
	listener net.Listener
	streams  *raftStreams
	answer   answerFunc
	slots    chan struct{} // one for each open connection
	wait     sync.WaitGroup

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func openPortServer(config *Config, answer answerFunc) (*portServer, error) {
	listener, err := net.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w; another process may have the address", err)
	}
	server := &portServer{
		config:   config,
		listener: listener,
		answer:   answer,
		slots:    make(chan struct{}, maxConnections),
		open:     map[net.Conn]bool{},
		streams: &raftStreams{
			config:   config,
			address:  listener.Addr(),
			accepted: make(chan net.Conn),
			done:     make(chan struct{}),
		},
	}
	server.wait.Add(1)
	go server.acceptAll()
	return server, nil
}

func (s *portServer) acceptAll() {
	defer s.wait.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetry)
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		if !s.register(conn) {
			_ = conn.Close()
			return
		}
		go s.handle(conn)
	}
}

// register counts a connection as open; false: the server is closed.
func (s *portServer) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = true
	s.wait.Add(1)
	return true
}

func (s *portServer) handle(conn net.Conn) {
	defer s.wait.Done()
	counted := &countedConn{Conn: conn, closed: func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		<-s.slots
	}}
	if !s.serve(counted) {
		_ = counted.Close()
	}
}

// countedConn is a connection that occupies its slot until its owner closes it: raft does not return those that it was
// handed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection and frees its slot, once.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}

// serve reads what a connection is for and does it; true: raft owns the connection now.
func (s *portServer) serve(conn net.Conn) (handedToRaft bool) {
	purpose, name, err := readHandshake(conn)
	if err != nil {
		return false
	}
	linked := conn
	if name != "" { // operators' connections are no links between members
		linked = s.config.linked(conn, name)
	}
	switch purpose {
	case connectionForRaft:
		return s.streams.hand(linked)
	case connectionForRequests:
		s.serveRequests(linked)
	}
	return false
}

func readHandshake(conn net.Conn) (purpose byte, name string, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeWithin))
	head := make([]byte, 2)
	if _, err := io.ReadFull(conn, head); err != nil {
		return 0, "", err
	}
	nameBytes := make([]byte, head[1])
	if _, err := io.ReadFull(conn, nameBytes); err != nil {
		return 0, "", err
	}
	_ = conn.SetDeadline(time.Time{})
	return head[0], string(nameBytes), nil
}

// dial connects to a member's port and sends what the connection is for and the name of this member.
func (c *Config) dial(to, address string, purpose byte, timeout time.Duration) (net.Conn, error) {
	if c.Links != nil && !c.Links.Open(c.Name, to) {
		return nil, errLinkCut
	}
	plain, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	conn := c.linked(plain, to)
	handshake := append([]byte{purpose, byte(len(c.Name))}, c.Name...)
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(handshake); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

// serveRequests answers the requests of a connection, one after the other, until it ends.
func (s *portServer) serveRequests(conn net.Conn) {
	reader := resp.NewReader(resp.Limits{
		MessageBytes: maxRequestBytes,
		StringBytes:  maxRequestBytes,
		Items:        maxRequestWords,
	})
	buffer := make([]byte, readBufferBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(maxIdle))
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		err = reader.Feed(buffer[:n], func(request resp.Value) error { return s.reply(conn, request) })
		if err != nil {
			_, _ = conn.Write(resp.AppendLine(nil, resp.SimpleError, errorPrefix+err.Error()))
			return
		}
	}
}

func (s *portServer) reply(conn net.Conn, request resp.Value) error {
	if request.Kind != resp.Array || len(request.Items) == 0 {
		return errMalformedRequest
	}
	var words []string
	for _, item := range request.Items {
		words = append(words, item.ArgumentText())
	}
	body, err := s.answer(words)
	reply := resp.AppendBulk(nil, string(body))
	if err != nil {
		reply = resp.AppendLine(nil, resp.SimpleError, errorPrefix+err.Error())
	}
	_ = conn.SetWriteDeadline(time.Now().Add(replyWithin))
	_, err = conn.Write(reply)
	return err
}

func (s *portServer) close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close() // its reader then closes it too, and frees its slot
	}
	s.mu.Unlock()
	_ = s.streams.Close()
	_ = s.listener.Close()
	s.wait.Wait()
}

// raftStreams is raft's side of the port: the connections whose first byte is connectionForRaft.
type raftStreams struct {
	config   *Config
	address  net.Addr
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

var _ raft.StreamLayer = (*raftStreams)(nil)

// hand passes a connection to raft; false: raft takes no more.
func (s *raftStreams) hand(conn net.Conn) bool {
	select {
	case s.accepted <- conn:
		return true
	case <-s.done:
		return false
	}
}

// Accept waits for a connection that another member's raft opens.
func (s *raftStreams) Accept() (net.Conn, error) {
	select {
	case conn := <-s.accepted:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (s *raftStreams) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr is the address of the port.
func (s *raftStreams) Addr() net.Addr { return s.address }

// Dial connects to another member's raft.
func (s *raftStreams) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	return s.config.dial(s.config.nameAt(to), to, connectionForRaft, timeout)
}

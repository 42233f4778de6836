package cluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// The first byte of a connection states its purpose. The length and the name of the dialling member follow; operators
// send an empty name.
const (
	connectionForRaft     = 'R'
	connectionForRequests = 'Q'
)

// Limits of the port.
const (
	handshakeTimeout = 2 * time.Second
	replyTimeout     = 2 * time.Second
	idleTimeout      = time.Minute
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept: a file descriptor may be free then

	peerLinesPerSecond = 20 // log lines that peers cause, at most
)

// answerFunc answers one request, which has at least one word.
type answerFunc func(words []string) ([]byte, error)

// portServer accepts connections to the cluster port: it answers requests, and passes raft's connections to raft.
type portServer struct {
	config   *Config
	listener net.Listener
	streams  *raftStreams
	answer   answerFunc
	limits   PortLimits
	log      zerolog.Logger // lines that a peer can cause at will, sampled
	slots    chan struct{}  // one for each open connection
	wait     sync.WaitGroup

	heldBytes  atomic.Int64  // memory of all unfinished requests
	overMemory atomic.Uint64 // connections ended because of this memory

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

func openPortServer(config *Config, answer answerFunc) (*portServer, error) {
	listener, err := net.Listen("tcp", config.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w; another process may be listening on it", err)
	}
	server := &portServer{
		config:   config,
		listener: listener,
		answer:   answer,
		limits:   config.PortLimits.withDefaults(),
		log:      config.Log.Sample(&zerolog.BurstSampler{Burst: peerLinesPerSecond, Period: time.Second}),
		open:     map[net.Conn]bool{},
		streams: &raftStreams{
			config:   config,
			address:  listener.Addr(),
			accepted: make(chan net.Conn),
			done:     make(chan struct{}),
		},
	}
	server.slots = make(chan struct{}, server.limits.Connections)
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		if !s.trackConnection(conn) {
			_ = conn.Close()
			return
		}
		go s.handleConnection(conn)
	}
}

// trackConnection adds an open connection; it returns false if the server is closed.
func (s *portServer) trackConnection(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = true
	s.wait.Add(1)
	return true
}

func (s *portServer) handleConnection(conn net.Conn) {
	defer s.wait.Done()
	counted := &countedConn{Conn: conn, onClose: func() {
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
		<-s.slots
	}}
	if !s.serveConnection(counted) {
		_ = counted.Close()
	}
}

// countedConn is a connection that occupies its slot until its owner closes it: raft does not return the connections
// that it accepted.
type countedConn struct {
	net.Conn
	closeOnce sync.Once
	onClose   func()
}

// Close closes the connection and frees its slot, once.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.onClose)
	return err
}

// serveConnection reads the purpose of a connection and serves it. It returns true if raft owns the connection now.
func (s *portServer) serveConnection(conn net.Conn) (handedToRaft bool) {
	purpose, name, err := readHandshake(conn)
	if err != nil {
		return false
	}
	wrapped := conn
	if name != "" { // operators' connections are not links between members
		wrapped = s.config.wrapConn(conn, name)
	}
	switch purpose {
	case connectionForRaft:
		return s.streams.passToRaft(wrapped)
	case connectionForRequests:
		s.serveRequests(wrapped)
	}
	return false
}

func readHandshake(conn net.Conn) (purpose byte, name string, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
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

// dial connects to a member's port and sends the purpose of the connection and the name of this member.
func (c *Config) dial(to, address string, purpose byte, timeout time.Duration) (net.Conn, error) {
	if c.Links != nil && !c.Links.Open(c.Name, to) {
		return nil, errLinkCut
	}
	plain, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	conn := c.wrapConn(plain, to)
	handshake := append([]byte{purpose, byte(len(c.Name))}, c.Name...)
	_ = conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(handshake); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Time{})
	return conn, nil
}

func (s *portServer) close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close() // its reader then closes it too, which frees its slot
	}
	s.mu.Unlock()
	_ = s.streams.Close()
	_ = s.listener.Close()
	s.wait.Wait()
}

// raftStreams is raft's side of the port: the connections whose first byte is connectionForRaft.
type raftStreams struct {
	config    *Config
	address   net.Addr
	accepted  chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

var _ raft.StreamLayer = (*raftStreams)(nil)

// passToRaft passes a connection to raft; it returns false if raft is closed.
func (s *raftStreams) passToRaft(conn net.Conn) bool {
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
	s.closeOnce.Do(func() { close(s.done) })
	return nil
}

// Addr is the address of the port.
func (s *raftStreams) Addr() net.Addr { return s.address }

// Dial connects to another member's raft.
func (s *raftStreams) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	return s.config.dial(s.config.nameAt(to), to, connectionForRaft, timeout)
}

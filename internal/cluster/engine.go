package cluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltraft "github.com/hashicorp/raft-boltdb/v2"
)

// engine is raft: it carries commands to every member's register in one order.
type engine struct {
	line  *Config
	raft  *raft.Raft
	store *boltraft.BoltStore
	trans *raft.NetworkTransport
	leads chan bool
	lead  func() *Command // the word to begin with
	done  chan struct{}
	over  chan struct{}

	mu        sync.Mutex
	announced bool // this member leads, and its Lead is in the log before whatever it proposes now
}

// A log and its snapshots stay small: a command has some hundred bytes and a member makes one each Span/3, so a thousand of them are
// some minutes of three members.
const (
	snapshotAfter = 1024
	snapshotEvery = 30 * time.Second
	trailing      = 256
	snapshotsKept = 2
)

// machine is the state machine that raft drives.
type machine interface {
	applied(c *Command, term uint64)
	lead() *Command
	snapshot() ([]byte, error)
	restored(r *State) error
}

func openEngine(l *Config, stream raft.StreamLayer, m machine, logger hclog.Logger, told func(error)) (_ *engine, err error) {
	e := &engine{line: l, lead: m.lead, leads: make(chan bool, 16), done: make(chan struct{}), over: make(chan struct{})}
	defer func() {
		if err != nil {
			e.shut()
		}
	}()
	if e.store, err = openLog(l.Directory); err != nil {
		return nil, err
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(filepath.Join(l.Directory, "snapshots"), snapshotsKept, logger)
	if err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	span := l.Settings.Lease.Duration.Duration()
	e.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: stream, MaxPool: 2, Timeout: span / 4, Logger: logger,
		ServerAddressProvider: addresses{l}})
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(l.Name)
	// A leader that is gone is to be replaced while the others' leases run, with time for two votes: a third of a second each at the
	// usual span of 2 s.
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = span/6, span/6, span/8
	conf.CommitTimeout = 10 * time.Millisecond
	conf.SnapshotThreshold, conf.SnapshotInterval, conf.TrailingLogs = snapshotAfter, snapshotEvery, trailing
	conf.Logger = logger
	conf.NotifyCh = e.leads
	var logs raft.LogStore = e.store
	var votes raft.StableStore = e.store
	if l.full != nil {
		f := &fillable{e.store, l.full}
		logs, votes = f, f
	}
	stable := &patient{StableStore: votes, every: span / 2, told: told, ended: e.done}
	if !l.Join {
		known, err := raft.HasExistingState(logs, stable, snapshots)
		if err != nil {
			return nil, fmt.Errorf("group: %w", err)
		}
		if !known {
			var founders raft.Configuration
			for _, p := range l.Peers {
				founders.Servers = append(founders.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Address)})
			}
			if err := raft.BootstrapCluster(conf, logs, stable, snapshots, e.trans, founders); err != nil {
				return nil, fmt.Errorf("group: founding: %w", err)
			}
		}
	}
	if e.raft, err = raft.NewRaft(conf, fsm{m}, logs, stable, snapshots, e.trans); err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	go e.watch()
	return e, nil
}

// watch announces this member in the log each time that it leads.
func (e *engine) watch() {
	defer close(e.over)
	for {
		select {
		case <-e.done:
			return
		case leads := <-e.leads:
			e.mu.Lock()
			e.announced = leads
			if leads {
				e.apply(e.lead())
			}
			e.mu.Unlock()
		}
	}
}

// apply stamps a command and puts it on the log, in the order of the stamps. It needs the lock.
func (e *engine) apply(c *Command) raft.ApplyFuture {
	c.At = e.line.Now()
	b, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // plain values
	}
	return e.raft.Apply(b, e.line.Settings.Lease.Duration.Duration()/4)
}

var errNotLeader = errors.New("this member does not lead")

// propose has a command agreed on, if this member leads, and waits for it.
func (e *engine) propose(c *Command) error {
	e.mu.Lock()
	if !e.announced {
		e.mu.Unlock()
		return errNotLeader
	}
	f := e.apply(c)
	e.mu.Unlock()
	return f.Error()
}

func (e *engine) isLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announced
}

// leader gives the member that leads, as far as this one knows; "" for none.
func (e *engine) leader() (name, address string) {
	a, id := e.raft.LeaderWithID()
	if id == "" {
		return "", ""
	}
	return string(id), e.line.address(string(id), string(a))
}

// voters gives the members that vote, by name, with their addresses.
func (e *engine) voters() map[string]string {
	f := e.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	all := map[string]string{}
	for _, s := range f.Configuration().Servers {
		all[string(s.ID)] = string(s.Address)
	}
	return all
}

func (e *engine) add(name, address string) error {
	return e.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, 5*time.Second).Error()
}

func (e *engine) remove(name string) error {
	return e.raft.RemoveServer(raft.ServerID(name), 0, 5*time.Second).Error()
}

func (e *engine) close() {
	close(e.done)
	_ = e.raft.Shutdown().Error()
	<-e.over
	e.shut()
}

func (e *engine) shut() {
	if e.trans != nil {
		_ = e.trans.Close()
	}
	if e.store != nil {
		_ = e.store.Close()
	}
}

// addresses lets each member's own file say how it reaches the others.
type addresses struct{ line *Config }

func (a addresses) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if to := a.line.address(string(id), ""); to != "" {
		return raft.ServerAddress(to), nil
	}
	return "", fmt.Errorf("no address of %s in this member's file", id)
}

// fsm hands raft's log to the machine.
type fsm struct{ machine }

func (f fsm) Apply(l *raft.Log) any {
	c := &Command{}
	if err := cbor.Unmarshal(l.Data, c); err != nil {
		c = &Command{SchemaVersion: 255} // of a program that is not this one
	}
	f.applied(c, l.Term)
	return nil
}

func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	b, err := f.snapshot()
	return picture(b), err
}

func (f fsm) Restore(from io.ReadCloser) error {
	defer from.Close()
	b, err := io.ReadAll(io.LimitReader(from, 64<<20))
	if err != nil {
		return err
	}
	r, err := ReadState(b)
	if err != nil {
		return err
	}
	return f.restored(r)
}

type picture []byte

func (p picture) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(p); err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

func (p picture) Release() {}

// layer is raft's share of the port: connections whose first byte asked for it.
type layer struct {
	line *Config
	addr net.Addr
	came chan net.Conn
	done chan struct{}
	once sync.Once
}

func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.came:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *layer) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *layer) Addr() net.Addr { return l.addr }

func (l *layer) Dial(address raft.ServerAddress, within time.Duration) (net.Conn, error) {
	return l.line.dial(l.line.nameAt(string(address)), string(address), forRaft, within)
}

var _ raft.StreamLayer = (*layer)(nil)

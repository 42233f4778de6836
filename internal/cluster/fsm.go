package cluster

import (
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// maxSnapshotBytes bounds a snapshot that another member sends.
const maxSnapshotBytes = 64 << 20

// fsm hands raft's log to the state machine.
type fsm struct{ machine stateMachine }

// Apply takes a committed entry.
func (f fsm) Apply(committed *raft.Log) any {
	entry, err := DecodeLogEntry(committed.Data)
	if err != nil { // another program wrote it
		entry = LogEntry{SchemaVersion: undecodableVersion, Command: unknownCommand{}}
	}
	f.machine.applied(entry, committed.Term)
	return nil
}

// Snapshot returns the state as it is now.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	snapshot, err := f.machine.snapshot()
	return encodedSnapshot(snapshot), err
}

// Restore replaces the state by a snapshot.
func (f fsm) Restore(source io.ReadCloser) error {
	defer func() { _ = source.Close() }()
	snapshot, err := io.ReadAll(io.LimitReader(source, maxSnapshotBytes))
	if err != nil {
		return err
	}
	state, err := DecodeState(snapshot)
	if err != nil {
		return err
	}
	f.machine.restore(state)
	return nil
}

// encodedSnapshot is a state that raft writes when it likes to.
type encodedSnapshot []byte

// Persist writes the snapshot.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing: the snapshot holds no resources.
func (s encodedSnapshot) Release() {}

// raft's log is bounded to some lines an interval, as raft repeats itself while a member is away.
const (
	raftLinesPerInterval = 10
	raftLogInterval      = 10 * time.Second
)

// raftLog takes raft's log lines.
type raftLog struct {
	log       zerolog.Logger
	mu        sync.Mutex
	remaining int
	since     time.Time
}

// Write logs a line, unless too many were logged in this interval.
func (l *raftLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.since) > raftLogInterval {
		l.since = time.Now()
		l.remaining = raftLinesPerInterval
	}
	if l.remaining > 0 {
		l.remaining--
		withoutNewline := line[:max(0, len(line)-1)]
		l.log.Debug().Str("from", "raft").Msg(string(withoutNewline))
	}
	return len(line), nil
}

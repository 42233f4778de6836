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

// fsm passes raft's committed entries and snapshots to the state machine.
type fsm struct{ machine stateMachine }

// Apply applies a committed entry.
func (f fsm) Apply(committed *raft.Log) any {
	entry, err := DecodeLogEntry(committed.Data)
	if err != nil { // another program wrote it
		entry = LogEntry{SchemaVersion: undecodableVersion, Command: unknownCommand{}}
	}
	f.machine.applyEntry(entry, committed.Term)
	return nil
}

// Snapshot returns the current state.
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

// encodedSnapshot is an encoded state that raft writes to disk later.
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

// Raft's log lines are limited per interval, as raft repeats the same lines while a member is unreachable.
const (
	raftLinesPerInterval = 10
	raftLogInterval      = 10 * time.Second
)

// raftLog is the output of raft's logger.
type raftLog struct {
	log            zerolog.Logger
	mu             sync.Mutex
	remainingLines int
	intervalStart  time.Time
}

// Write logs a line unless the limit of the interval is reached.
func (l *raftLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.intervalStart) > raftLogInterval {
		l.intervalStart = time.Now()
		l.remainingLines = raftLinesPerInterval
	}
	if l.remainingLines > 0 {
		l.remainingLines--
		withoutNewline := line[:max(0, len(line)-1)]
		l.log.Debug().Str("from", "raft").Msg(string(withoutNewline))
	}
	return len(line), nil
}

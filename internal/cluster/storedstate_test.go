package cluster

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltraft "github.com/hashicorp/raft-boltdb/v2"
)

// describe renders a stored value with every exported field, zero or not, each under its CBOR name.
func describe(v any) string { return describeValue(reflect.ValueOf(v)) }

func describeValue(value reflect.Value) string {
	switch value.Kind() {
	case reflect.Pointer:
		if value.IsNil() {
			return "nil"
		}
		return describeValue(value.Elem())
	case reflect.Struct:
		var fields []string
		for i := range value.NumField() {
			field := value.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			fields = append(fields, storedName(field)+":"+describeValue(value.Field(i)))
		}
		return "{" + strings.Join(fields, " ") + "}"
	case reflect.Slice, reflect.Array:
		var items []string
		for i := range value.Len() {
			items = append(items, describeValue(value.Index(i)))
		}
		return "[" + strings.Join(items, " ") + "]"
	case reflect.Map:
		var entries []string
		for _, key := range value.MapKeys() {
			entries = append(entries, fmt.Sprint(key)+":"+describeValue(value.MapIndex(key)))
		}
		slices.Sort(entries)
		return "map[" + strings.Join(entries, " ") + "]"
	case reflect.String:
		return fmt.Sprintf("%q", value.String())
	}
	return fmt.Sprint(value.Interface())
}

// storedName returns the CBOR name of a field.
func storedName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// describeState renders a state with a line for each member, shard and takeover.
func describeState(state *State) string {
	top := *state
	top.Members, top.Shards, top.Events = nil, nil, nil
	lines := []string{describe(top)}
	for _, member := range state.Members {
		lines = append(lines, "member "+describe(member))
	}
	for _, shard := range state.Shards {
		lines = append(lines, "part "+describe(shard))
	}
	for _, event := range state.Events {
		lines = append(lines, "event "+describe(event))
	}
	return strings.Join(lines, "\n")
}

// firstDifference describes the first line that differs from the wanted one; "" for none.
func firstDifference(got, want string) string {
	if got == want {
		return ""
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			return fmt.Sprintf("line %d\n got %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
	return fmt.Sprintf("%d lines, want %d\n got:\n%s", len(gotLines), len(wantLines), got)
}

func checkText(t *testing.T, subject, got, want string) {
	t.Helper()
	if d := firstDifference(got, want); d != "" {
		t.Errorf("%s: %s", subject, d)
	}
}

// sameCBOR reports whether two encodings have the same names and values, in any order of map entries.
func sameCBOR(t *testing.T, a, b []byte) bool {
	t.Helper()
	var first, second any
	if err := cbor.Unmarshal(a, &first); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(b, &second); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(first, second)
}

// writeDirectories runs a cluster and writes its directories to testdata, with leases of several epochs, a snapshot,
// and entries after the snapshot.
func writeDirectories(t *testing.T) {
	cluster := newTestCluster(t, fixtureMembers)
	cluster.awaitHeld(2, 2, 2)
	move := func(shard int, to string) {
		cluster.mustRequest(0, "MOVE", fmt.Sprint(shard), to)
		cluster.await("the shard is moved", func() bool {
			for k, member := range cluster.members {
				if _, held := member.IsLeaseHolder(shard); held {
					return cluster.configs[k].Name == to
				}
			}
			return false
		})
	}
	move(0, "m1")
	move(0, "m2")
	cluster.await("all members have applied both moves", func() bool {
		for _, member := range cluster.members {
			if member.Status().Shards[0].Epoch != 3 {
				return false
			}
		}
		return true
	})
	for _, member := range cluster.members {
		if err := member.node.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	move(0, "m0")
	move(3, "m2")
	cluster.mustRequest(0, "LEAVE", "m1", "on")
	for k := range cluster.members {
		cluster.stop(k)
		packDirectory(t, cluster.configs[k].Directory, filepath.Join("testdata", "folders", cluster.configs[k].Name))
	}
}

// packDirectory copies a member's directory. It compresses the log, as bbolt allocates more space than it uses.
func packDirectory(t *testing.T, from, to string) {
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	copyTree(t, from, to, func(name string, content []byte) (string, []byte) {
		if name != logFile {
			return name, content
		}
		var packed bytes.Buffer
		writer, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := writer.Write(content); err != nil {
			t.Fatal(err)
		}
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
		return name + ".gz", packed.Bytes()
	})
}

// unpackDirectory copies a member's directory from testdata.
func unpackDirectory(t *testing.T, name, to string) {
	t.Helper()
	copyTree(t, filepath.Join("testdata", "folders", name), to, func(name string, content []byte) (string, []byte) {
		plain, packed := strings.CutSuffix(name, ".gz")
		if !packed {
			return name, content
		}
		reader, err := gzip.NewReader(bytes.NewReader(content))
		if err != nil {
			t.Fatal(err)
		}
		content, err = io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		return plain, content
	})
}

func copyTree(t *testing.T, source, target string, convert func(name string, content []byte) (string, []byte)) {
	t.Helper()
	err := filepath.WalkDir(source, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relativePath, err := filepath.Rel(source, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(filepath.Join(target, relativePath), 0o755)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, content := convert(entry.Name(), content)
		return os.WriteFile(filepath.Join(target, filepath.Dir(relativePath), name), content, 0o644)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// storedDirectory is the content of a member's directory.
type storedDirectory struct {
	votes    string
	entries  []raft.Log
	meta     *raft.SnapshotMeta
	snapshot []byte
}

func readDirectory(t *testing.T, directory string) (content storedDirectory) {
	t.Helper()
	store, err := openLogStore(directory)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	content.votes = readVotes(t, store)
	content.entries = readEntries(t, store)
	content.meta, content.snapshot = readSnapshot(t, filepath.Join(directory, "snapshots"))
	return content
}

func readVotes(t *testing.T, store *boltraft.BoltStore) string {
	t.Helper()
	term, err := store.GetUint64([]byte("CurrentTerm"))
	if err != nil {
		t.Fatal(err)
	}
	voteTerm, err := store.GetUint64([]byte("LastVoteTerm"))
	if err != nil {
		t.Fatal(err)
	}
	candidate, err := store.Get([]byte("LastVoteCand"))
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("term %d, voted in %d for %s", term, voteTerm, candidate)
}

func readEntries(t *testing.T, store *boltraft.BoltStore) (entries []raft.Log) {
	t.Helper()
	first, err := store.FirstIndex()
	if err != nil {
		t.Fatal(err)
	}
	last, err := store.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for index := first; index <= last; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, entry)
	}
	return entries
}

func readSnapshot(t *testing.T, directory string) (*raft.SnapshotMeta, []byte) {
	t.Helper()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(directory, retainedSnapshots, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	all, err := snapshots.List()
	if err != nil || len(all) != 1 {
		t.Fatalf("%d snapshots listed, error %v; want 1", len(all), err)
	}
	meta, source, err := snapshots.Open(all[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = source.Close() }()
	if meta == nil {
		t.Fatal("the snapshot has no metadata")
	}
	snapshot, err := io.ReadAll(source)
	if err != nil {
		t.Fatal(err)
	}
	return meta, snapshot
}

func describeServers(configuration raft.Configuration) (text string) {
	for _, server := range configuration.Servers {
		text += fmt.Sprintf(" %s=%s(%s)", server.ID, server.Address, server.Suffrage)
	}
	return text
}

// describeLog renders each entry as a line, with its command decoded.
func describeLog(t *testing.T, entries []raft.Log) string {
	t.Helper()
	var lines []string
	for _, entry := range entries {
		line := fmt.Sprintf("%d term %d %s", entry.Index, entry.Term, entry.Type)
		switch entry.Type {
		case raft.LogConfiguration:
			line += describeServers(raft.DecodeConfiguration(entry.Data))
		case raft.LogCommand:
			record := &commandRecord{}
			if err := cbor.Unmarshal(entry.Data, record); err != nil {
				t.Fatal(err)
			}
			reencoded, err := cbor.Marshal(record)
			if err != nil {
				t.Fatal(err)
			}
			if !sameCBOR(t, reencoded, entry.Data) {
				t.Errorf("entry %d is encoded differently from the stored one", entry.Index)
			}
			checkTypedEntry(t, entry)
			line += " " + describe(record)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// checkTypedEntry checks that a stored entry, decoded into its command type, is encoded again without change.
func checkTypedEntry(t *testing.T, entry raft.Log) {
	t.Helper()
	typedEntry, err := DecodeLogEntry(entry.Data)
	if err != nil {
		t.Fatal(err)
	}
	reencoded, err := typedEntry.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !sameCBOR(t, reencoded, entry.Data) {
		t.Errorf("entry %d is encoded differently from its command type %T", entry.Index, typedEntry.Command)
	}
}

// replay returns the state after the snapshot of a directory and the entries that follow it.
func replay(t *testing.T, directory storedDirectory) *State {
	t.Helper()
	state, err := DecodeState(directory.snapshot)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range directory.entries {
		if entry.Index <= directory.meta.Index || entry.Type != raft.LogCommand {
			continue
		}
		record := &commandRecord{}
		if err := cbor.Unmarshal(entry.Data, record); err != nil {
			t.Fatal(err)
		}
		if record.Kind == kindLeaderElected {
			state.Term = entry.Term // as Member.ApplyEntry does
		}
		state.Apply(record.entry(), entry.Term)
	}
	return state
}

// logWant prints the literals for state_want_test.go.
func logWant(t *testing.T, name string, directory storedDirectory, meta string, snapshot *State) {
	for _, want := range [][2]string{
		{"wantVotes", directory.votes},
		{"wantLog", describeLog(t, directory.entries)},
		{"wantMeta", meta},
		{"wantSnapshot", describeState(snapshot)},
		{"wantReplayed", describeState(replay(t, directory))},
	} {
		fmt.Printf("WANT %s %s\n%s\nEND\n", want[0], name, want[1])
	}
}

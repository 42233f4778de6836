package cluster

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// update rewrites testdata. The files there were written before any stored field was renamed: they are to be rewritten only together
// with a new form of commands, and the literals of state_want_test.go with them.
var update = flag.Bool("update", false, "rewrite the stored state in testdata")

const (
	fixtureMembers = 3
	fixtureLives   = 3 // the lives that the members of the fixture had
)

// describe renders a stored value with every exported field, zero or not, each under the name that its bytes have.
func describe(v any) string { return describeValue(reflect.ValueOf(v)) }

func describeValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "nil"
		}
		return describeValue(v.Elem())
	case reflect.Struct:
		var fields []string
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() {
				continue
			}
			fields = append(fields, storedName(field)+":"+describeValue(v.Field(i)))
		}
		return "{" + strings.Join(fields, " ") + "}"
	case reflect.Slice, reflect.Array:
		var items []string
		for i := range v.Len() {
			items = append(items, describeValue(v.Index(i)))
		}
		return "[" + strings.Join(items, " ") + "]"
	case reflect.Map:
		var entries []string
		for _, key := range v.MapKeys() {
			entries = append(entries, fmt.Sprint(key)+":"+describeValue(v.MapIndex(key)))
		}
		slices.Sort(entries)
		return "map[" + strings.Join(entries, " ") + "]"
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprint(v.Interface())
}

// storedName is the name of a field in CBOR.
func storedName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// describeRegister has a line for each member, part and event.
func describeRegister(r *State) string {
	top := *r
	top.Members, top.Shards, top.Events = nil, nil, nil
	lines := []string{describe(top)}
	for _, m := range r.Members {
		lines = append(lines, "member "+describe(m))
	}
	for _, p := range r.Shards {
		lines = append(lines, "part "+describe(p))
	}
	for _, e := range r.Events {
		lines = append(lines, "event "+describe(e))
	}
	return strings.Join(lines, "\n")
}

// differs names the first line that is not as wanted; "" for none.
func differs(got, want string) string {
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

func check(t *testing.T, what, got, want string) {
	t.Helper()
	if d := differs(got, want); d != "" {
		t.Errorf("%s: %s", what, d)
	}
}

// sameCBOR tells whether two encodings carry the same names and values; the order within maps is free.
func sameCBOR(t *testing.T, a, b []byte) bool {
	t.Helper()
	var one, other any
	if err := cbor.Unmarshal(a, &one); err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(b, &other); err != nil {
		t.Fatal(err)
	}
	return reflect.DeepEqual(one, other)
}

// goldens are the values of testdata/golden: a command of each kind, a hand-over and a register. Maps have one entry, as their order is
// free.
func goldens() map[string]any {
	record := &MemberRecord{Zone: "govan", Channel: "127.0.0.1:7700", RequestAddress: "127.0.0.1:7800", Capacity: 1500.5, Digest: 0xfeedfacecafebeef}
	head := Command{SchemaVersion: 1, At: 1_234_567, FollowedAt: 1_200_000, Member: "m0", Incarnation: 17}
	command := func(kind Kind, fill func(c *Command)) Command {
		c := head
		c.Kind = kind
		fill(&c)
		return c
	}
	return map[string]any{
		"lead": command(LeaderElected, func(c *Command) {
			c.Record = record
			c.Observations = []ShardObservation{{Epoch: 3, Sequence: 40, Age: 250_000}, {Epoch: 1, Sequence: 7, Age: -1}}
			c.RenewalAges = map[string]model.Microseconds{"m1": 333_000}
		}),
		"enrol": command(RegisterMember, func(c *Command) { c.Record = record }),
		"renew": command(RenewLeases, func(c *Command) {
			c.Requests = []ShardRequest{{Shard: 0, Sequence: 41, Load: 12.5}, {Shard: 3, Sequence: 2, Load: -1}}
			c.MisroutedProxies = []MisroutedProxies{{Shard: 5, Proxies: 4}}
		}),
		"release": command(ReleaseLeases, func(c *Command) { c.Requests = []ShardRequest{{Shard: 2, Sequence: 9}} }),
		"plan": command(SetPlacement, func(c *Command) {
			c.ByOperator = true
			c.Migrations = []placement.Migration{{Shard: 2, From: "m0", To: "m1", Reason: "moved by hand"}}
		}),
		"leave":  command(DrainMember, func(c *Command) { c.ByOperator, c.On = true, true }),
		"strike": command(RemoveMember, func(c *Command) { c.Member = "m2" }),
		"handover": Handover{From: "m0", Shards: []int{2, 5},
			LoadReports: []model.LoadReport{{Zone: 1, Replica: model.ReplicaID{Addr: [4]byte{10, 0, 3, 200}, Port: 8080}, Attempts: 900, Errors: 8,
				MeanLatency: 23_456, Window: 5_000_000, Readings: []float64{0.25, 118}}},
			Withdrawn: []string{"10.0.3.201:8080"}, UnackedEntries: 6},
		"register": State{SchemaVersion: 1, Digest: 77, LeaseDuration: 2_000_000, MaxClockDrift: 100_000, Leader: "m1", Term: 6,
			Members: []*MemberState{{Name: "m0", Incarnation: 17, Record: *record, RenewedAt: 1_111_111, Draining: true, Stopping: true,
				MisroutedProxies: []MisroutedProxies{{Shard: 5, Proxies: 4}}, Removed: true}},
			Shards: []*ShardState{{Number: 4, Zone: "partick", Lease: lease.Shard{Epoch: 3, Holder: lease.Holder{Member: 1, Incarnation: 17}, Sequence: 41,
				RenewedAt: 1_222_222}, Target: "m1", Pinned: true, Load: 12.5, LastHolder: "m0", NoProxies: true}},
			Events:      []Event{{At: 1_000_001, Leader: "m1", Shard: 4, Epoch: 3, From: "m2", To: "m0", Planned: true, Reason: "evener"}},
			WaitReasons: map[int]string{4: "back to its zone"}, NewerSchemaVersion: 2},
	}
}

// Every stored value is written as the bytes that were written before, and read from them whole.
func TestGoldenBytes(t *testing.T) {
	for name, value := range goldens() {
		written, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", "golden", name+".hex")
		if *update {
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(hex.EncodeToString(written)+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		before, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(written, before) {
			t.Errorf("%s is written as\n%x, stored is\n%x", name, written, before)
		}
		read := reflect.New(reflect.TypeOf(value))
		if err := cbor.Unmarshal(before, read.Interface()); err != nil {
			t.Fatal(err)
		}
		if got := read.Elem().Interface(); !reflect.DeepEqual(got, value) {
			t.Errorf("%s is read as\n%s, want\n%s", name, describe(got), describe(value))
		}
	}
}

// Each exported field of a stored struct has its name in CBOR by a tag.
func TestStoredNamesArePinned(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(of reflect.Type)
	walk = func(of reflect.Type) {
		switch of.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(of.Elem())
		case reflect.Struct:
			if seen[of] {
				return
			}
			seen[of] = true
			for i := range of.NumField() {
				field := of.Field(i)
				name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
				if field.IsExported() && name == "" {
					t.Errorf("%s.%s has no name in its cbor tag", of, field.Name)
				}
				if field.IsExported() {
					walk(field.Type)
				}
			}
		}
	}
	for _, stored := range []any{Command{}, State{}, Handover{}} {
		walk(reflect.TypeOf(stored))
	}
	if len(seen) != 15 {
		t.Errorf("%d stored structs, want 15: %v", len(seen), seen)
	}
}

// The status request and the console give takeovers as JSON.
func TestTakeoversInJSON(t *testing.T) {
	text, err := json.Marshal(Event{At: 1, Leader: "m1", Shard: 4, Epoch: 3, From: "m2", To: "m0", Planned: true, Reason: "evener"})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"At":1,"Leader":"m1","Part":4,"Epoch":3,"From":"m2","To":"m0","Planned":true,"Why":"evener"}`
	if string(text) != want {
		t.Errorf("written as %s, want %s", text, want)
	}
}

// A member with other settings holds nothing: what tells them apart must give the same number for the same settings.
func TestDigestIsPinned(t *testing.T) {
	if got := quick.Digest(); got != 5410384689389861377 {
		t.Errorf("digest %d", got)
	}
}

// writeFolders runs a group and leaves its folders in testdata: leases of several epochs, a snapshot, and commands after it.
func writeFolders(t *testing.T) {
	p := newParish(t, fixtureMembers)
	p.awaitHeld(2, 2, 2)
	move := func(part int, to string) {
		if _, err := Request(p.lines[0].Listen, 5*time.Second, "MOVE", fmt.Sprint(part), to); err != nil {
			t.Fatal(err)
		}
		p.await("the part is moved", func() bool {
			for k, g := range p.up {
				if _, held := g.IsLeaseHolder(part); held {
					return p.lines[k].Name == to
				}
			}
			return false
		})
	}
	move(0, "m1")
	move(0, "m2")
	p.await("all have carried that out", func() bool {
		for _, g := range p.up {
			if g.Status().Shards[0].Epoch != 3 {
				return false
			}
		}
		return true
	})
	for _, g := range p.up {
		if err := g.engine.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
	move(0, "m0")
	move(3, "m2")
	if _, err := Request(p.lines[0].Listen, 5*time.Second, "LEAVE", "m1", "on"); err != nil {
		t.Fatal(err)
	}
	for k := range p.up {
		p.stop(k)
		packFolder(t, p.lines[k].Directory, filepath.Join("testdata", "folders", p.lines[k].Name))
	}
}

// packFolder copies a member's folder; its log is compressed, as bbolt allots more than it fills.
func packFolder(t *testing.T, from, to string) {
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

// unpackFolder copies a member's folder out of testdata.
func unpackFolder(t *testing.T, name, to string) {
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

func copyTree(t *testing.T, from, to string, convert func(name string, content []byte) (string, []byte)) {
	t.Helper()
	err := filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		below, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(filepath.Join(to, below), 0o755)
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, content := convert(entry.Name(), content)
		return os.WriteFile(filepath.Join(to, filepath.Dir(below), name), content, 0o644)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// stored is what a member's folder holds.
type stored struct {
	votes    string
	entries  []raft.Log
	meta     *raft.SnapshotMeta
	snapshot []byte
}

func readFolder(t *testing.T, folder string) (s stored) {
	t.Helper()
	store, err := openLog(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
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
	s.votes = fmt.Sprintf("term %d, voted in %d for %s", term, voteTerm, candidate)
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
		s.entries = append(s.entries, entry)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(filepath.Join(folder, "snapshots"), snapshotsKept, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	all, err := snapshots.List()
	if err != nil || len(all) != 1 {
		t.Fatalf("%d snapshots, %v", len(all), err)
	}
	meta, from, err := snapshots.Open(all[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	if s.meta = meta; meta == nil {
		t.Fatal("a snapshot without its description")
	}
	if s.snapshot, err = io.ReadAll(from); err != nil {
		t.Fatal(err)
	}
	return s
}

func describeServers(c raft.Configuration) (text string) {
	for _, s := range c.Servers {
		text += fmt.Sprintf(" %s=%s(%s)", s.ID, s.Address, s.Suffrage)
	}
	return text
}

// describeLog has a line for each entry, with its command decoded.
func describeLog(t *testing.T, entries []raft.Log) string {
	t.Helper()
	var lines []string
	for _, entry := range entries {
		line := fmt.Sprintf("%d term %d %s", entry.Index, entry.Term, entry.Type)
		switch entry.Type {
		case raft.LogConfiguration:
			line += describeServers(raft.DecodeConfiguration(entry.Data))
		case raft.LogCommand:
			c := &Command{}
			if err := cbor.Unmarshal(entry.Data, c); err != nil {
				t.Fatal(err)
			}
			again, err := cbor.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			if !sameCBOR(t, again, entry.Data) {
				t.Errorf("entry %d is not written as it was stored", entry.Index)
			}
			line += " " + describe(c)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// replay gives the register after the entries behind a snapshot.
func replay(t *testing.T, s stored) *State {
	t.Helper()
	r, err := ReadState(s.snapshot)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range s.entries {
		if entry.Index <= s.meta.Index || entry.Type != raft.LogCommand {
			continue
		}
		c := &Command{}
		if err := cbor.Unmarshal(entry.Data, c); err != nil {
			t.Fatal(err)
		}
		if c.Kind == LeaderElected {
			r.Term = entry.Term // as Member.Applied has it
		}
		r.Apply(c, entry.Term)
	}
	return r
}

// logWant prints the literals for state_want_test.go.
func logWant(t *testing.T, name string, s stored, meta string, r *State) {
	for _, want := range [][2]string{{"wantVotes", s.votes}, {"wantLog", describeLog(t, s.entries)}, {"wantMeta", meta},
		{"wantSnapshot", describeRegister(r)}, {"wantReplayed", describeRegister(replay(t, s))}} {
		fmt.Printf("WANT %s %s\n%s\nEND\n", want[0], name, want[1])
	}
}

// The folders of a group that an earlier program wrote are read with every value.
func TestStoredFolders(t *testing.T) {
	if *update {
		writeFolders(t)
	}
	for k := range fixtureMembers {
		name := fmt.Sprint("m", k)
		folder := filepath.Join(t.TempDir(), name)
		unpackFolder(t, name, folder)
		s := readFolder(t, folder)
		r, err := ReadState(s.snapshot)
		if err != nil {
			t.Fatal(err)
		}
		again, err := r.Bytes()
		if err != nil {
			t.Fatal(err)
		}
		if !sameCBOR(t, again, s.snapshot) {
			t.Errorf("%s: the snapshot is not written as it was stored", name)
		}
		meta := fmt.Sprintf("index %d term %d%s", s.meta.Index, s.meta.Term, describeServers(s.meta.Configuration))
		if *update {
			logWant(t, name, s, meta, r)
			continue
		}
		check(t, name+" votes", s.votes, wantVotes)
		check(t, name+" log", describeLog(t, s.entries), wantLog)
		check(t, name+" snapshot's place", meta, wantMeta)
		check(t, name+" snapshot", describeRegister(r), wantSnapshot)
		check(t, name+" snapshot and log", describeRegister(replay(t, s)), wantReplayed)
	}
}

// A member that starts alone has exactly what its snapshot says, as nobody can agree on more.
func TestAMemberFromItsStoredFolder(t *testing.T) {
	for k := range fixtureMembers {
		p := layParish(t, fixtureMembers)
		p.lives = fixtureLives
		unpackFolder(t, p.lines[k].Name, p.lines[k].Directory)
		p.start(k)
		g := p.up[k]
		g.mu.Lock()
		got := describeRegister(g.member.reg)
		g.mu.Unlock()
		check(t, p.lines[k].Name, got, wantSnapshot)
		p.stop(k)
	}
}

// A group that starts from its folders goes on from all that was agreed on: the takeovers so far, the member that leaves, and epochs.
func TestAGroupFromItsStoredFolders(t *testing.T) {
	p := layParish(t, fixtureMembers)
	p.lives = fixtureLives
	var last *State
	for k := range fixtureMembers {
		unpackFolder(t, p.lines[k].Name, p.lines[k].Directory)
		if r := replay(t, readFolder(t, p.lines[k].Directory)); last == nil || len(r.Events) > len(last.Events) {
			last = r
		}
	}
	for k := range fixtureMembers {
		p.start(k)
	}
	p.await("all parts are held by new lives, none by the member that leaves, and all know it", func() bool {
		held := p.held()
		if held[1] != 0 || held[0]+held[2] != 6 {
			return false
		}
		for _, g := range p.up {
			s := g.Status()
			if len(s.Members) != fixtureMembers || slices.ContainsFunc(s.Members, func(m MemberStatus) bool { return m.Incarnation <= fixtureLives }) {
				return false
			}
			for i, part := range s.Shards {
				if part.Epoch <= last.Shards[i].Lease.Epoch {
					return false
				}
			}
		}
		return true
	})
	for k, g := range p.up {
		s := g.Status()
		if len(s.Takeovers) < len(last.Events) || len(last.Events) != wantEvents {
			t.Fatalf("m%d: %d takeovers, %d were stored, want %d", k, len(s.Takeovers), len(last.Events), wantEvents)
		}
		for i, e := range last.Events {
			check(t, fmt.Sprintf("m%d takeover %d", k, i), describe(s.Takeovers[i]), describe(e))
		}
		for i, part := range s.Shards {
			if before := last.Shards[i].Lease.Epoch; before != wantEpochs[i] || part.Epoch <= before {
				t.Errorf("m%d: part %d is in epoch %d, before it was in %d, want %d then", k, i, part.Epoch, before, wantEpochs[i])
			}
		}
		for i, m := range s.Members {
			if m.Name != last.Members[i].Name || m.Draining != (m.Name == "m1") || m.Incarnation <= fixtureLives || !m.Voter {
				t.Errorf("m%d: %+v", k, m)
			}
		}
	}
}

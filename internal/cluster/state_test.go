package cluster

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// update rewrites testdata. The files there were written before any Go field of a stored struct was renamed. Rewrite
// them only together with a new schema version of commands, and update the literals of state_want_test.go with them.
var update = flag.Bool("update", false, "rewrite the stored state in testdata")

const (
	fixtureMembers      = 3
	fixtureIncarnations = 3 // number of incarnations of all members in the fixture
)

// goldens returns the values of testdata/golden: a command of each kind, a handover and a state. Maps have one entry,
// as the order of their entries is not defined.
func goldens() map[string]any {
	record := &MemberRecord{
		Zone: "govan", Channel: "127.0.0.1:7700", RequestAddress: "127.0.0.1:7800",
		Capacity: 1500.5, Digest: 0xfeedfacecafebeef,
	}
	common := commandRecord{SchemaVersion: 1, At: 1_234_567, FollowedAt: 1_200_000, Member: "m0", Incarnation: 17}
	command := func(kind commandKind, fill func(c *commandRecord)) commandRecord {
		c := common
		c.Kind = kind
		fill(&c)
		return c
	}
	return map[string]any{
		"lead": command(kindLeaderElected, func(c *commandRecord) {
			c.Record = record
			c.Observations = []ShardObservation{{Epoch: 3, Sequence: 40, Age: 250_000}, {Epoch: 1, Sequence: 7, Age: -1}}
			c.RenewalAges = map[string]model.Microseconds{"m1": 333_000}
		}),
		"enrol": command(kindRegisterMember, func(c *commandRecord) { c.Record = record }),
		"renew": command(kindRenewLeases, func(c *commandRecord) {
			c.Requests = []ShardRequest{{Shard: 0, Sequence: 41, Load: 12.5}, {Shard: 3, Sequence: 2, Load: -1}}
			c.MisroutedProxies = []MisroutedProxies{{Shard: 5, Proxies: 4}}
		}),
		"release": command(kindReleaseLeases, func(c *commandRecord) {
			c.Requests = []ShardRequest{{Shard: 2, Sequence: 9}}
		}),
		"plan": command(kindSetPlacement, func(c *commandRecord) {
			c.ByOperator = true
			c.Migrations = []placement.Migration{{Shard: 2, From: "m0", To: "m1", Reason: "moved by hand"}}
		}),
		"leave":  command(kindDrainMember, func(c *commandRecord) { c.ByOperator, c.On = true, true }),
		"strike": command(kindRemoveMember, func(c *commandRecord) { c.Member = "m2" }),
		"handover": Handover{
			From: "m0", Shards: []int{2, 5},
			LoadReports: []model.LoadReport{{
				Zone: 1, Replica: model.ReplicaID{Addr: [4]byte{10, 0, 3, 200}, Port: 8080}, Attempts: 900, Errors: 8,
				MeanLatency: 23_456, Window: 5_000_000, Readings: []float64{0.25, 118},
			}},
			Withdrawn: []string{"10.0.3.201:8080"}, UnackedEntries: 6,
		},
		"register": State{
			SchemaVersion: 1, Digest: 77, LeaseDuration: 2_000_000, MaxClockDrift: 100_000, Leader: "m1", Term: 6,
			Members: []*MemberState{{
				Name: "m0", Incarnation: 17, Record: *record, RenewedAt: 1_111_111, Draining: true, Stopping: true,
				MisroutedProxies: []MisroutedProxies{{Shard: 5, Proxies: 4}}, Removed: true,
			}},
			Shards: []*ShardState{{Number: 4, Zone: "partick", Lease: lease.Shard{
				Epoch: 3, Holder: lease.Holder{Member: 1, Incarnation: 17}, Sequence: 41,
				RenewedAt: 1_222_222,
			}, Target: "m1", Pinned: true, Load: 12.5, LastHolder: "m0", NoProxies: true}},
			Events: []Takeover{{
				At: 1_000_001, Leader: "m1", Shard: 4, Epoch: 3, From: "m2", To: "m0", Planned: true, Reason: "evener",
			}},
			WaitReasons: map[int]string{4: "back to its zone"}, NewerSchemaVersion: 2,
		},
	}
}

// Every value is encoded as the bytes of its golden file, and decoded from them completely.
func TestEncodedBytesAreUnchangedWhenValuesAreStored(t *testing.T) {
	for name, value := range goldens() {
		encoded, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", "golden", name+".hex")
		if *update {
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		storedBytes, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encoded, storedBytes) {
			t.Errorf("%s is encoded as\n%x, want\n%x", name, encoded, storedBytes)
		}
		decoded := reflect.New(reflect.TypeOf(value))
		if err := cbor.Unmarshal(storedBytes, decoded.Interface()); err != nil {
			t.Fatal(err)
		}
		if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, value) {
			t.Errorf("%s is decoded as\n%s, want\n%s", name, describe(got), describe(value))
		}
	}
}

// Each exported field of a stored struct has a tag with its CBOR name.
func TestStoredFieldsHavePinnedNames(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(stored reflect.Type)
	walk = func(stored reflect.Type) {
		switch stored.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			walk(stored.Elem())
		case reflect.Struct:
			if seen[stored] {
				return
			}
			seen[stored] = true
			for i := range stored.NumField() {
				field := stored.Field(i)
				name, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
				if field.IsExported() && name == "" {
					t.Errorf("%s.%s has no name in its cbor tag", stored, field.Name)
				}
				if field.IsExported() {
					walk(field.Type)
				}
			}
		}
	}
	for _, stored := range []any{commandRecord{}, State{}, Handover{}} {
		walk(reflect.TypeOf(stored))
	}
	if len(seen) != 16 {
		t.Errorf("%d stored structs, want 16: %v", len(seen), seen)
	}
}

// The status request and the console return takeovers as JSON; the keys must not change.
func TestTakeoverJSONHasPinnedKeys(t *testing.T) {
	event := Takeover{At: 1, Leader: "m1", Shard: 4, Epoch: 3, From: "m2", To: "m0", Planned: true, Reason: "evener"}
	text, err := json.Marshal(event)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"At":1,"Leader":"m1","Part":4,"Epoch":3,"From":"m2","To":"m0","Planned":true,"Why":"evener"}`
	if string(text) != want {
		t.Errorf("takeover is encoded as %s, want %s", text, want)
	}
}

// A member with another digest holds no lease, so the same settings must have the same digest in every version.
func TestSettingsDigestIsSameInEveryVersion(t *testing.T) {
	if got := testSettings.Digest(); got != 5410384689389861377 {
		t.Errorf("settings digest is %d, want 5410384689389861377", got)
	}
}

// Votes, log entries and snapshots are read from the directories that an earlier version wrote.
func TestStoredDirectoriesAreRead(t *testing.T) {
	if *update {
		writeDirectories(t)
	}
	for k := range fixtureMembers {
		name := fmt.Sprint("m", k)
		directory := filepath.Join(t.TempDir(), name)
		unpackDirectory(t, name, directory)
		content := readDirectory(t, directory)
		state, err := DecodeState(content.snapshot)
		if err != nil {
			t.Fatal(err)
		}
		reencoded, err := state.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if !sameCBOR(t, reencoded, content.snapshot) {
			t.Errorf("%s: the snapshot is encoded differently from the stored one", name)
		}
		meta := fmt.Sprintf("index %d term %d%s",
			content.meta.Index, content.meta.Term, describeServers(content.meta.Configuration))
		if *update {
			logWant(t, name, content, meta, state)
			continue
		}
		checkText(t, name+" votes", content.votes, wantVotes)
		checkText(t, name+" log", describeLog(t, content.entries), wantLog)
		checkText(t, name+" snapshot metadata", meta, wantMeta)
		checkText(t, name+" snapshot", describeState(state), wantSnapshot)
		checkText(t, name+" state after snapshot and log", describeState(replay(t, content)), wantReplayed)
	}
}

// A member that starts while all other members are stopped has exactly the state of its snapshot, as no entry can be
// committed.
func TestMemberStartsFromStoredDirectory(t *testing.T) {
	for k := range fixtureMembers {
		cluster := prepareTestCluster(t, fixtureMembers)
		cluster.incarnations = fixtureIncarnations
		unpackDirectory(t, cluster.configs[k].Name, cluster.configs[k].Directory)
		cluster.start(k)
		member := cluster.members[k]
		member.mu.Lock()
		got := describeState(member.member.state)
		member.mu.Unlock()
		checkText(t, cluster.configs[k].Name, got, wantSnapshot)
		cluster.stop(k)
	}
}

// A cluster that starts from stored directories keeps all committed state: takeovers, the drained member, and epochs.
func TestClusterStartsFromStoredDirectories(t *testing.T) {
	cluster := prepareTestCluster(t, fixtureMembers)
	cluster.incarnations = fixtureIncarnations
	stored := unpackNewestState(t, cluster)
	for k := range fixtureMembers {
		cluster.start(k)
	}
	cluster.await("all members have applied that new incarnations hold all shards, and the drained one none", func() bool {
		held := cluster.held()
		if held[1] != 0 || held[0]+held[2] != 6 {
			return false
		}
		return !slices.ContainsFunc(cluster.members, func(member *Cluster) bool {
			return !hasTakenOver(member.Status(), stored)
		})
	})
	if len(stored.Events) != wantEvents {
		t.Fatalf("%d takeovers were stored, want %d", len(stored.Events), wantEvents)
	}
	for k, member := range cluster.members {
		checkContinuesFrom(t, fmt.Sprint("m", k), member.Status(), stored)
	}
}

// unpackNewestState unpacks the stored directories of all members, and returns the newest state in them.
func unpackNewestState(t *testing.T, cluster *testCluster) (newest *State) {
	t.Helper()
	for _, config := range cluster.configs {
		unpackDirectory(t, config.Name, config.Directory)
		state := replay(t, readDirectory(t, config.Directory))
		if newest == nil || len(state.Events) > len(newest.Events) {
			newest = state
		}
	}
	return newest
}

// hasTakenOver reports whether, in a member's status, all members have new incarnations and all shards have newer
// epochs than the stored ones.
func hasTakenOver(status Status, stored *State) bool {
	isOld := func(member MemberStatus) bool { return member.Incarnation <= fixtureIncarnations }
	if len(status.Members) != fixtureMembers || slices.ContainsFunc(status.Members, isOld) {
		return false
	}
	for i, shard := range status.Shards {
		if shard.Epoch <= stored.Shards[i].Lease.Epoch {
			return false
		}
	}
	return true
}

// checkContinuesFrom checks that a member's status has all stored takeovers, newer epochs and newer incarnations.
func checkContinuesFrom(t *testing.T, name string, status Status, stored *State) {
	t.Helper()
	if len(status.Takeovers) < len(stored.Events) {
		t.Fatalf("%s: %d takeovers in the status, want the %d stored ones", name, len(status.Takeovers), len(stored.Events))
	}
	for i, event := range stored.Events {
		checkText(t, fmt.Sprintf("%s takeover %d", name, i), describe(status.Takeovers[i]), describe(event))
	}
	for i, shard := range status.Shards {
		if storedEpoch := stored.Shards[i].Lease.Epoch; storedEpoch != wantEpochs[i] || shard.Epoch <= storedEpoch {
			t.Errorf("%s: shard %d is in epoch %d, stored epoch is %d; want a newer one than %d",
				name, i, shard.Epoch, storedEpoch, wantEpochs[i])
		}
	}
	for i, member := range status.Members {
		isDrained := member.Name == "m1"
		sameMember := member.Name == stored.Members[i].Name && member.Draining == isDrained
		if !sameMember || member.Incarnation <= fixtureIncarnations || !member.Voter {
			t.Errorf("%s: member %+v, want a new incarnation of a voter, and only m1 drained", name, member)
		}
	}
}

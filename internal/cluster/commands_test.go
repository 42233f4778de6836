package cluster

import (
	"errors"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// Every command, with all its fields set, is decoded from its stored form without change.
func TestCommandsAreUnchangedWhenEncodedAndDecoded(t *testing.T) {
	record := &MemberRecord{Zone: "govan", Channel: "c:1", RequestAddress: "r:1", Capacity: 2.5, Digest: 7}
	requests := []ShardRequest{{Shard: 3, Sequence: 4, Load: -1}}
	commands := map[commandKind]Command{
		kindLeaderElected: LeaderElected{
			Leader:         "m1",
			SettingsDigest: 77,
			Shape:          &Shape{Zones: []string{"govan"}, ShardsPerZone: 3, LeaseDuration: 4, MaxClockDrift: 5},
			Observations:   []ShardObservation{{Epoch: 3, Sequence: 40, Age: -1}},
			RenewalAges:    map[string]model.Microseconds{"m2": 5},
		},
		kindRegisterMember: RegisterMember{Member: "m1", Incarnation: 2, Record: record, FollowedAt: 9},
		kindRenewLeases: RenewLeases{
			Member: "m1", Incarnation: 2, FollowedAt: 9, Requests: requests,
			MisroutedProxies: []MisroutedProxies{{Shard: 5, Proxies: 4}},
		},
		kindReleaseLeases: ReleaseLeases{Member: "m1", Incarnation: 2, Requests: requests},
		kindSetPlacement: SetPlacement{
			Leader:     "m1",
			Migrations: []placement.Migration{{Shard: 1, From: "m0", To: "m2", Reason: "moved by hand"}},
			ByOperator: true,
		},
		kindDrainMember:  DrainMember{Member: "m1", Incarnation: 2, Drain: true, ByOperator: true},
		kindRemoveMember: RemoveMember{Member: "m1"},
		99:               unknownCommand{storedKind: 99},
	}
	for kind, command := range commands {
		if value := reflect.ValueOf(command); kind != 99 {
			for i := range value.NumField() {
				if value.Field(i).IsZero() {
					t.Errorf("%T: field %s is zero in the test data", command, value.Type().Field(i).Name)
				}
			}
		}
		entry := LogEntry{SchemaVersion: 3, At: 8, Command: command}
		data, err := entry.Encode()
		if err != nil {
			t.Fatal(err)
		}
		var stored commandRecord
		if err := cbor.Unmarshal(data, &stored); err != nil {
			t.Fatal(err)
		}
		if stored.Kind != kind {
			t.Errorf("%T is stored as kind %d, want %d", command, stored.Kind, kind)
		}
		got, err := DecodeLogEntry(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, entry) {
			t.Errorf("%T is decoded as\n%+v, want\n%+v", command, got, entry)
		}
	}
}

// An entry that cannot be decoded counts as one of a newer program: the member holds no lease from then on.
func TestMemberHoldsNothingWhenEntryIsUndecodable(t *testing.T) {
	if _, err := DecodeLogEntry([]byte("no entry")); err == nil {
		t.Error("bytes that are not an encoded entry were decoded without error")
	}
	sim := newSimulation(t, 3)
	sim.runFor(5 * model.Second)
	undecodableEntry := LogEntry{SchemaVersion: undecodableVersion, Command: unknownCommand{}}
	sim.members[1].ApplyEntry(undecodableEntry, sim.term, sim.now)
	sim.wantHeld(2, 0, 2)
	var newer *NewerSchemaError
	if _, err := sim.members[1].State().Encode(); !errors.As(err, &newer) || newer.Version != undecodableVersion {
		t.Errorf("snapshot after an undecodable entry: error %v, want a NewerSchemaError of undecodableVersion", err)
	}
}

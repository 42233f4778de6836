package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// commandKind is the number of a command type in stored data; numbers are never reused.
type commandKind uint8

const (
	kindLeaderElected commandKind = iota + 1
	kindRegisterMember
	kindRenewLeases
	kindReleaseLeases
	kindSetPlacement
	kindDrainMember
	kindRemoveMember
)

// undecodableVersion is the schema version given to an entry that is not an encoded commandRecord: another program
// wrote it.
const undecodableVersion = 255

// commandRecord is the stored form of every command, in the raft log and between members. Its CBOR names must not
// change: logs, snapshots and members of other versions use them.
type commandRecord struct {
	SchemaVersion    uint8                         `cbor:"Form"`
	Kind             commandKind                   `cbor:"Kind"`
	At               model.Microseconds            `cbor:"At"`
	FollowedAt       model.Microseconds            `cbor:"Fresh"`
	Member           string                        `cbor:"Member"`
	Incarnation      uint64                        `cbor:"Life"`
	Record           *MemberRecord                 `cbor:"Record,omitempty"`
	Requests         []ShardRequest                `cbor:"Asks,omitempty"`
	MisroutedProxies []MisroutedProxies            `cbor:"Strays,omitempty"`
	Migrations       []placement.Migration         `cbor:"Moves,omitempty"`
	Observations     []ShardObservation            `cbor:"Seen,omitempty"`
	RenewalAges      map[string]model.Microseconds `cbor:"Heard,omitempty"`
	ByOperator       bool                          `cbor:"ByHand"`
	On               bool                          `cbor:"On"`
	Shape            *Shape                        `cbor:"Shape,omitempty"`
}

// Encode returns the stored form of an entry.
func (e LogEntry) Encode() ([]byte, error) {
	data, err := cbor.Marshal(e.record())
	if err != nil {
		return nil, fmt.Errorf("cluster: encoding a log entry: %w", err)
	}
	return data, nil
}

// DecodeLogEntry reads the stored form of an entry. An unknown command kind is not an error.
func DecodeLogEntry(data []byte) (LogEntry, error) {
	var record commandRecord
	if err := cbor.Unmarshal(data, &record); err != nil {
		return LogEntry{}, fmt.Errorf("cluster: a log entry that cannot be read: %w", err)
	}
	return record.entry(), nil
}

func (e LogEntry) record() commandRecord {
	record := commandRecord{SchemaVersion: e.SchemaVersion, Kind: e.Command.kind(), At: e.At}
	e.Command.store(&record)
	return record
}

func (r commandRecord) entry() LogEntry {
	return LogEntry{SchemaVersion: r.SchemaVersion, At: r.At, Command: r.command()}
}

func (r commandRecord) command() Command {
	switch r.Kind {
	case kindLeaderElected:
		command := LeaderElected{
			Leader: r.Member, Observations: r.Observations, RenewalAges: r.RenewalAges, Shape: r.Shape,
		}
		if r.Record != nil {
			command.SettingsDigest = r.Record.Digest
		}
		return command
	case kindRegisterMember:
		return RegisterMember{Member: r.Member, Incarnation: r.Incarnation, Record: r.Record, FollowedAt: r.FollowedAt}
	case kindRenewLeases:
		return RenewLeases{
			Member: r.Member, Incarnation: r.Incarnation, FollowedAt: r.FollowedAt,
			Requests: r.Requests, MisroutedProxies: r.MisroutedProxies,
		}
	case kindReleaseLeases:
		return ReleaseLeases{Member: r.Member, Incarnation: r.Incarnation, Requests: r.Requests}
	case kindSetPlacement:
		return SetPlacement{Leader: r.Member, Migrations: r.Migrations, ByOperator: r.ByOperator}
	case kindDrainMember:
		return DrainMember{Member: r.Member, Incarnation: r.Incarnation, Drain: r.On, ByOperator: r.ByOperator}
	case kindRemoveMember:
		return RemoveMember{Member: r.Member}
	}
	return unknownCommand{storedKind: r.Kind}
}

func (LeaderElected) kind() commandKind    { return kindLeaderElected }
func (RegisterMember) kind() commandKind   { return kindRegisterMember }
func (RenewLeases) kind() commandKind      { return kindRenewLeases }
func (ReleaseLeases) kind() commandKind    { return kindReleaseLeases }
func (SetPlacement) kind() commandKind     { return kindSetPlacement }
func (DrainMember) kind() commandKind      { return kindDrainMember }
func (RemoveMember) kind() commandKind     { return kindRemoveMember }
func (c unknownCommand) kind() commandKind { return c.storedKind }

func (c LeaderElected) store(record *commandRecord) {
	record.Member = c.Leader
	record.Record = &MemberRecord{Digest: c.SettingsDigest}
	record.Observations = c.Observations
	record.RenewalAges = c.RenewalAges
	record.Shape = c.Shape
}

func (c RegisterMember) store(record *commandRecord) {
	record.Member = c.Member
	record.Incarnation = c.Incarnation
	record.Record = c.Record
	record.FollowedAt = c.FollowedAt
}

func (c RenewLeases) store(record *commandRecord) {
	record.Member = c.Member
	record.Incarnation = c.Incarnation
	record.FollowedAt = c.FollowedAt
	record.Requests = c.Requests
	record.MisroutedProxies = c.MisroutedProxies
}

func (c ReleaseLeases) store(record *commandRecord) {
	record.Member = c.Member
	record.Incarnation = c.Incarnation
	record.Requests = c.Requests
}

func (c SetPlacement) store(record *commandRecord) {
	record.Member = c.Leader
	record.Migrations = c.Migrations
	record.ByOperator = c.ByOperator
}

func (c DrainMember) store(record *commandRecord) {
	record.Member = c.Member
	record.Incarnation = c.Incarnation
	record.On = c.Drain
	record.ByOperator = c.ByOperator
}

func (c RemoveMember) store(record *commandRecord) { record.Member = c.Member }

func (unknownCommand) store(*commandRecord) {}

package cluster

import (
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// schemaVersion is the version of the format of log entries and snapshots. A member that reads a higher version stops
// holding leases: it cannot know what the other members have committed.
const schemaVersion = 1

// Command is one change of the replicated state. Its types are LeaderElected, RegisterMember, RenewLeases,
// ReleaseLeases, SetPlacement, DrainMember and RemoveMember.
type Command interface {
	kind() commandKind
	// apply changes the state. stamp is the entry's time by the leader's clock; only RenewLeases returns responses.
	apply(state *State, stamp model.Microseconds) []ShardResponse
	// store sets the fields of the stored form that the command uses.
	store(record *commandRecord)
}

// LogEntry is an entry of the raft log.
type LogEntry struct {
	SchemaVersion uint8
	At            model.Microseconds // the leader's clock when it appended the entry
	Command       Command
}

// LeaderElected announces a new leader: from now on leases are measured by its clock.
type LeaderElected struct {
	Leader         string
	SettingsDigest uint64
	Shape          *Shape                        // of the settings with this digest; nil: of a former version
	Observations   []ShardObservation            // indexed by shard number
	RenewalAges    map[string]model.Microseconds // by member name: time since its newest RegisterMember or RenewLeases
}

// RegisterMember registers an incarnation of a member with its description.
type RegisterMember struct {
	Member      string
	Incarnation uint64
	Record      *MemberRecord      // nil: malformed, without effect
	FollowedAt  model.Microseconds // stamp of the newest entry of this term that the member has applied
}

// RenewLeases is a member's heartbeat. It requests the leases of shards and renews those that it holds; Requests may be
// empty.
type RenewLeases struct {
	Member           string
	Incarnation      uint64
	FollowedAt       model.Microseconds // stamp of the newest entry of this term that the member has applied
	Requests         []ShardRequest
	MisroutedProxies []MisroutedProxies
}

// ReleaseLeases releases the leases of shards that a member has stopped acting for.
type ReleaseLeases struct {
	Member      string
	Incarnation uint64
	Requests    []ShardRequest
}

// SetPlacement places shards on members, as planned by the leader or requested by an operator.
type SetPlacement struct {
	Leader     string
	Migrations []placement.Migration
	ByOperator bool
}

// DrainMember starts or ends a drain: a drained member's shards are moved to other members. It is sent by an operator,
// or by a member whose process is about to stop.
type DrainMember struct {
	Member      string
	Incarnation uint64 // that is about to stop; 0: of a former version, whichever is registered
	Drain       bool
	ByOperator  bool
}

// RemoveMember is an operator's removal of a member that will not return.
type RemoveMember struct {
	Member string
}

// unknownCommand is a command of a kind that this program does not support.
type unknownCommand struct {
	storedKind commandKind
}

// ShardRequest is the request for one shard in a RenewLeases or ReleaseLeases.
type ShardRequest struct {
	Shard    int     `cbor:"Part"`
	Sequence uint32  `cbor:"Number"`
	Load     float64 `cbor:"Load"` // RenewLeases: requests a second of its connected proxies; below 0: none is connected
}

// MisroutedProxies counts the proxies of a shard that keep connecting to a member which does not hold it.
type MisroutedProxies struct {
	Shard   int `cbor:"Part"`
	Proxies int `cbor:"Forwarders"`
}

// ShardObservation is the newest renewal of a shard that a new leader applied before its election.
type ShardObservation struct {
	Epoch    uint64             `cbor:"Epoch"`
	Sequence uint32             `cbor:"Number"`
	Age      model.Microseconds `cbor:"Age"` // by the leader's own clock; below 0: it applied none in this incarnation
}

// MemberRecord is a member's description of itself.
type MemberRecord struct {
	Zone           string  `cbor:"Zone"`
	Channel        string  `cbor:"Channel"` // where proxies connect
	RequestAddress string  `cbor:"Request"` // where members and operators send requests
	Capacity       float64 `cbor:"Limit"`   // requests a second; 0: unlimited
	Digest         uint64  `cbor:"Digest"`  // hash of the settings that all members share
}

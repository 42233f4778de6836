package cluster

import (
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// schemaVersion is that of log entries and snapshots. A program stops acting on data of a higher version: it cannot
// know what the other members have agreed on.
const schemaVersion = 1

// Command is one change of the replicated state. Its types are LeaderElected, RegisterMember, RenewLeases,
// ReleaseLeases, SetPlacement, DrainMember and RemoveMember.
type Command interface {
	kind() commandKind
	// apply carries the command out. stamp is the leader's time; only RenewLeases gives responses.
	apply(state *State, stamp model.Microseconds) []ShardResponse
	// store fills in the fields of the stored form that the command uses.
	store(record *commandRecord)
}

// LogEntry is a command as the raft log holds it.
type LogEntry struct {
	SchemaVersion uint8
	At            model.Microseconds // the leader's clock as it put the entry on the log
	Command       Command
}

// LeaderElected announces a new leader: from now on leases are counted by its clock.
type LeaderElected struct {
	Leader         string
	SettingsDigest uint64
	Observations   []ShardObservation            // of each shard, by its number
	RenewalAges    map[string]model.Microseconds // by member: how long ago it renewed
}

// RegisterMember describes a member, once in each of its incarnations.
type RegisterMember struct {
	Member      string
	Incarnation uint64
	Record      *MemberRecord      // nil: malformed, without effect
	FollowedAt  model.Microseconds // stamp of the newest entry of this term that the member has applied
}

// RenewLeases is a member's heartbeat. It requests the leases of shards and renews those that it holds; it may name
// none.
type RenewLeases struct {
	Member           string
	Incarnation      uint64
	FollowedAt       model.Microseconds // stamp of the newest entry of this term that the member has applied
	Requests         []ShardRequest
	MisroutedProxies []MisroutedProxies
}

// ReleaseLeases says that a member has stopped acting for shards.
type ReleaseLeases struct {
	Member      string
	Incarnation uint64
	Requests    []ShardRequest
}

// SetPlacement says which member shards are placed on, by the leader's planning or an operator's request.
type SetPlacement struct {
	Leader     string
	Migrations []placement.Migration
	ByOperator bool
}

// DrainMember has a member give all its shards away, or accept shards again. It comes from an operator, or from a
// member whose process is about to stop.
type DrainMember struct {
	Member     string
	Drain      bool
	ByOperator bool
}

// RemoveMember is an operator's removal of a member that does not come back.
type RemoveMember struct {
	Member string
}

// unknownCommand is a command of a kind that this program does not know.
type unknownCommand struct {
	storedKind commandKind
}

// ShardRequest is one shard of a RenewLeases or ReleaseLeases.
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

// ShardObservation is the newest renewal of a shard that a new leader saw before it was elected.
type ShardObservation struct {
	Epoch    uint64             `cbor:"Epoch"`
	Sequence uint32             `cbor:"Number"`
	Age      model.Microseconds `cbor:"Age"` // by the leader's own clock; below 0: it saw none in this incarnation
}

// MemberRecord is a member's description of itself.
type MemberRecord struct {
	Zone           string  `cbor:"Zone"`
	Channel        string  `cbor:"Channel"` // where proxies connect
	RequestAddress string  `cbor:"Request"` // where members and operators send requests
	Capacity       float64 `cbor:"Limit"`   // requests a second; 0: unlimited
	Digest         uint64  `cbor:"Digest"`  // of the settings that all members share
}

package cluster

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/lease"
	"peppervale/internal/model"
)

// MemberState is a member in the replicated state.
type MemberState struct {
	Name             string             `cbor:"Name"`
	Incarnation      uint64             `cbor:"Life"`
	Record           MemberRecord       `cbor:"Record"`
	RenewedAt        model.Microseconds `cbor:"Heard"`   // its newest RegisterMember or RenewLeases, by the leader's clock
	Draining         bool               `cbor:"Leaving"` // an operator moves all its shards to other members
	Stopping         bool               `cbor:"Ending"`  // its process is about to stop; its next incarnation resets this
	MisroutedProxies []MisroutedProxies `cbor:"Strays"`
	Removed          bool               `cbor:"Struck"` // its index, which identifies it in leases, is never reused
}

// ShardState is a shard in the replicated state.
type ShardState struct {
	Number     int         `cbor:"Number"`
	Zone       string      `cbor:"Zone"`
	Lease      lease.Shard `cbor:"Lease"`
	Target     string      `cbor:"Wanted"` // the member that it is placed on
	Pinned     bool        `cbor:"ByHand"` // an operator placed it
	Load       float64     `cbor:"Load"`   // requests a second
	LastHolder string      `cbor:"Last"`   // the newest member that held its lease
	NoProxies  bool        `cbor:"Empty"`  // it is held, and none of its proxies is connected to the holder
}

// Takeover is one takeover: a grant to a new holder, or to a new incarnation of the previous one. Status returns it as
// JSON; other programs read the tags' names, which must not change.
type Takeover struct {
	At      model.Microseconds `cbor:"At" json:"At"` // the leader's clock
	Leader  string             `cbor:"Leader" json:"Leader"`
	Shard   int                `cbor:"Part" json:"Part"`
	Epoch   uint64             `cbor:"Epoch" json:"Epoch"`
	From    string             `cbor:"From" json:"From"`
	To      string             `cbor:"To" json:"To"`
	Planned bool               `cbor:"Planned" json:"Planned"` // the previous holder had released it
	Reason  string             `cbor:"Why" json:"Why"`
}

// maxTakeovers bounds the takeovers in the state; they take some ten kilobytes of a snapshot.
const maxTakeovers = 200

// State is the replicated state of a cluster. It does no I/O: the same entries in the same order give the same state.
type State struct {
	SchemaVersion uint8              `cbor:"Form"`
	Digest        uint64             `cbor:"Digest"` // of the first leader's settings; members with others hold no lease
	LeaseDuration model.Microseconds `cbor:"Span"`
	MaxClockDrift model.Microseconds `cbor:"Drift"`
	Leader        string             `cbor:"Leader"`
	Term          uint64             `cbor:"Term"` // the raft term in which the leader announced itself
	Members       []*MemberState     `cbor:"Members"`
	Shards        []*ShardState      `cbor:"Parts"`
	Events        []Takeover         `cbor:"Events"`
	// WaitReasons are the reasons of the newest placements that have not led to a grant yet, by shard.
	WaitReasons map[int]string `cbor:"Whys"`
	// NewerSchemaVersion is the schema version of an entry that this program does not support; no later entry is applied.
	NewerSchemaVersion uint8 `cbor:"Newer"`

	// ShapeAgreed: the log has given the state its shape, not the settings of the member that wrote it.
	ShapeAgreed bool `cbor:"Agreed,omitempty"`

	supportedVersion uint8 // the newest schema version that this program supports
}

// NewState returns the state of a cluster that has committed no entry. It has the shape of the given settings until the
// first leader's are known.
func NewState(settings Settings) *State {
	state := &State{
		SchemaVersion:    schemaVersion,
		WaitReasons:      map[int]string{},
		supportedVersion: schemaVersion,
	}
	state.setShape(settings.shape())
	return state
}

// DecodeState reads a snapshot. It fails with a NewerSchemaError for a newer schema version.
func DecodeState(snapshot []byte) (*State, error) {
	state := &State{supportedVersion: schemaVersion}
	if err := cbor.Unmarshal(snapshot, state); err != nil {
		return nil, fmt.Errorf("cluster: a snapshot that cannot be read: %w", err)
	}
	if state.SchemaVersion > schemaVersion {
		return nil, &NewerSchemaError{Found: "a snapshot", Version: state.SchemaVersion, Supported: schemaVersion}
	}
	if state.WaitReasons == nil {
		state.WaitReasons = map[int]string{}
	}
	return state, nil
}

// Encode returns the state as a snapshot. It fails with a NewerSchemaError after an entry that this program does not
// support.
func (s *State) Encode() ([]byte, error) {
	if s.NewerSchemaVersion > 0 {
		return nil, &NewerSchemaError{
			Found:     "the log has an entry",
			Version:   s.NewerSchemaVersion,
			Supported: s.supportedVersion,
		}
	}
	snapshot, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("cluster: encoding a snapshot: %w", err)
	}
	return snapshot, nil
}

// Member returns a member by its name; nil for none.
func (s *State) Member(name string) *MemberState {
	for _, member := range s.Members {
		if member.Name == name {
			return member
		}
	}
	return nil
}

// Holder returns the holder of a shard's lease in the replicated state; "" for none. The lease may have expired.
func (s *State) Holder(shard *ShardState) string {
	number := int(shard.Lease.Holder.Member)
	if number > 0 && number <= len(s.Members) {
		return s.Members[number-1].Name
	}
	return ""
}

// shard returns a shard by its number; nil for none.
func (s *State) shard(number int) *ShardState {
	if number < 0 || number >= len(s.Shards) {
		return nil
	}
	return s.Shards[number]
}

// activeMember returns a member and its identity in leases, if the incarnation is its newest and it is not removed; nil
// otherwise.
func (s *State) activeMember(name string, incarnation uint64) (*MemberState, lease.Holder) {
	for i, member := range s.Members {
		if member.Name == name && member.Incarnation == incarnation && !member.Removed {
			return member, lease.Holder{Member: uint16(i + 1), Incarnation: incarnation}
		}
	}
	return nil, lease.Holder{}
}

func (s *State) leaseConfig() lease.Config {
	return lease.Config{Duration: s.LeaseDuration, MaxClockDrift: s.MaxClockDrift}
}

package cluster

import (
	"fmt"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/lease"
	"peppervale/internal/model"
	"peppervale/internal/placement"
)

// form is that of commands and snapshots. One of a higher form stops this program: it cannot know what the others agreed on.
const form = 1

// Kind says what a command does.
type Kind uint8

// The commands, and who proposes them.
const (
	LeaderElected  Kind = iota + 1 // a new leader: leases count anew, by its clock
	RegisterMember                 // a member tells who it is, in each of its lives
	RenewLeases                    // a member asks for parts and goes on with those that it has; without any, it says that it is here
	ReleaseLeases                  // a member has stopped ordering for parts
	SetPlacement                   // the leader says who should hold parts
	DrainMember                    // an operator has a member give everything away, or take again; or (not ByHand) its process ends
	RemoveMember                   // an operator takes a member that is gone off the register
)

// Command is an entry of the agreed log.
type Command struct {
	SchemaVersion    uint8                         `cbor:"Form"`
	Kind             Kind                          `cbor:"Kind"`
	At               model.Microseconds            `cbor:"At"`    // the leader's clock; it stamps each
	FollowedAt       model.Microseconds            `cbor:"Fresh"` // Enrol, Renew: the stamp of this term that the member has carried out last
	Member           string                        `cbor:"Member"`
	Incarnation      uint64                        `cbor:"Life"`
	Record           *MemberRecord                 `cbor:"Record,omitempty"`
	Requests         []ShardRequest                `cbor:"Asks,omitempty"`
	MisroutedProxies []MisroutedProxies            `cbor:"Strays,omitempty"` // Renew: forwarders that ask this member over and over for parts of others
	Migrations       []placement.Migration         `cbor:"Moves,omitempty"`
	Observations     []ShardObservation            `cbor:"Seen,omitempty"`  // Lead: of each part, by its number
	RenewalAges      map[string]model.Microseconds `cbor:"Heard,omitempty"` // Lead: how long ago members renewed
	ByOperator       bool                          `cbor:"ByHand"`
	On               bool                          `cbor:"On"`
}

// ShardRequest is one part of a Renew or Release.
type ShardRequest struct {
	Shard    int     `cbor:"Part"`
	Sequence uint32  `cbor:"Number"`
	Load     float64 `cbor:"Load"` // Renew: what its joined forwarders told, invocations a second; below 0: none is joined
}

// MisroutedProxies is how many forwarders of a part go on asking a member that does not hold it.
type MisroutedProxies struct {
	Shard   int `cbor:"Part"`
	Proxies int `cbor:"Forwarders"`
}

// ShardObservation is what a new leader has seen of a part before it led: the newest renewal, and how long ago by its own clock.
type ShardObservation struct {
	Epoch    uint64             `cbor:"Epoch"`
	Sequence uint32             `cbor:"Number"`
	Age      model.Microseconds `cbor:"Age"` // below 0: none was seen in this life
}

// MemberRecord is what a member tells of itself.
type MemberRecord struct {
	Zone           string  `cbor:"Zone"`
	Channel        string  `cbor:"Channel"` // where forwarders join
	RequestAddress string  `cbor:"Request"` // where members and operators ask
	Capacity       float64 `cbor:"Limit"`
	Digest         uint64  `cbor:"Digest"` // of the settings that all have alike
}

// MemberState is a member on the register.
type MemberState struct {
	Name             string             `cbor:"Name"`
	Incarnation      uint64             `cbor:"Life"`
	Record           MemberRecord       `cbor:"Record"`
	RenewedAt        model.Microseconds `cbor:"Heard"`   // its newest Renew, by the leader's clock
	Draining         bool               `cbor:"Leaving"` // an operator had it give everything away
	Stopping         bool               `cbor:"Ending"`  // its process is about to end; its next life is not
	MisroutedProxies []MisroutedProxies `cbor:"Strays"`
	Removed          bool               `cbor:"Struck"` // its place, and so its number in leases, is never given again
}

// ShardState is a part on the register.
type ShardState struct {
	Number     int         `cbor:"Number"`
	Zone       string      `cbor:"Zone"`
	Lease      lease.Shard `cbor:"Lease"`
	Target     string      `cbor:"Wanted"`
	Pinned     bool        `cbor:"ByHand"`
	Load       float64     `cbor:"Load"`
	LastHolder string      `cbor:"Last"`  // the member that held it last
	NoProxies  bool        `cbor:"Empty"` // held, and none of its forwarders is joined
}

// Event is an entry of the time line: a grant to another holder than before, or to another life of it. Status tells it as
// JSON; its tags are names that others read and must not change.
type Event struct {
	At      model.Microseconds `cbor:"At" json:"At"` // the leader's clock
	Leader  string             `cbor:"Leader" json:"Leader"`
	Shard   int                `cbor:"Part" json:"Part"`
	Epoch   uint64             `cbor:"Epoch" json:"Epoch"`
	From    string             `cbor:"From" json:"From"`
	To      string             `cbor:"To" json:"To"`
	Planned bool               `cbor:"Planned" json:"Planned"` // the one before had released it
	Reason  string             `cbor:"Why" json:"Why"`
}

// eventsMost bounds the time line: some screens of it, and a snapshot of some ten kilobytes.
const eventsMost = 200

// State is what a group has agreed on. It is free of I/O: the same commands in the same order give the same register.
type State struct {
	SchemaVersion      uint8              `cbor:"Form"`
	Digest             uint64             `cbor:"Digest"` // of the settings of the first leader; a member with others holds nothing
	LeaseDuration      model.Microseconds `cbor:"Span"`
	MaxClockDrift      model.Microseconds `cbor:"Drift"`
	Leader             string             `cbor:"Leader"`
	Term               uint64             `cbor:"Term"` // in which it announced itself
	Members            []*MemberState     `cbor:"Members"`
	Shards             []*ShardState      `cbor:"Parts"`
	Events             []Event            `cbor:"Events"`
	WaitReasons        map[int]string     `cbor:"Whys"` // of the newest plan of a part that is not held as wanted yet
	knows              uint8              // the newest form that this program understands
	NewerSchemaVersion uint8              `cbor:"Newer"` // the form of a command that this program does not know; nothing counts after it
}

// NewState is the register of a group that has agreed on nothing.
func NewState(t Settings) *State {
	r := &State{SchemaVersion: form, knows: form, LeaseDuration: t.Lease.Duration, MaxClockDrift: t.Lease.MaxClockDrift, WaitReasons: map[int]string{}}
	for _, zone := range t.Zones {
		for range t.ShardsPerZone {
			r.Shards = append(r.Shards, &ShardState{Number: len(r.Shards), Zone: zone})
		}
	}
	return r
}

// Settings are the settings that all members have alike.
type Settings struct {
	Lease         lease.Config
	Placement     placement.Config
	Zones         []string
	ShardsPerZone int // of each zone
}

// Digest tells settings apart: a member with others is not enrolled.
func (t Settings) Digest() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %v %v %q %d", form, t.Lease, t.Placement, t.Zones, t.ShardsPerZone)
	return h.Sum64()
}

// ShardOf gives a forwarder's part: of its zone, then by its name.
func (t Settings) ShardOf(zone int, name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	x := h.Sum32()
	x ^= x >> 16 // names that differ in their last digit only fall on few of the low bits
	x *= 0x45d9f3b
	x ^= x >> 16
	return zone*t.ShardsPerZone + int(x%uint32(t.ShardsPerZone))
}

// Answered is what a Renew brought for one part.
type Answered struct {
	Shard int
	lease.Response
}

// Apply takes a command that was agreed on in a raft term, and gives the answers to a Renew.
func (r *State) Apply(c *Command, term uint64) []Answered {
	if r.NewerSchemaVersion == 0 && c.SchemaVersion > r.knows {
		r.NewerSchemaVersion = c.SchemaVersion
	}
	if r.NewerSchemaVersion > 0 || c.Kind != LeaderElected && term != r.Term {
		return nil // stamped by a clock that this term has not announced
	}
	if row := table[c.Kind]; row != nil {
		return row(r, c)
	}
	return nil
}

// table is what each command does to the register.
var table = map[Kind]func(*State, *Command) []Answered{
	LeaderElected: func(r *State, c *Command) []Answered {
		r.Leader = c.Member
		if r.Digest == 0 && c.Record != nil {
			r.Digest = c.Record.Digest
		}
		for i, p := range r.Shards {
			if i < len(c.Observations) {
				p.Lease.LeadSeen(c.At, c.Observations[i].Age, c.Observations[i].Epoch, c.Observations[i].Sequence)
			} else {
				p.Lease.Lead(c.At)
			}
		}
		for _, m := range r.Members {
			m.RenewedAt = c.At - max(0, c.RenewalAges[m.Name])
		}
		return nil
	},
	RegisterMember: func(r *State, c *Command) []Answered {
		if c.Record == nil || r.lags(c) {
			return nil
		}
		m := r.Member(c.Member)
		if m == nil {
			m = &MemberState{Name: c.Member}
			r.Members = append(r.Members, m)
		}
		if c.Incarnation >= m.Incarnation { // else it is late, or of a second process under the same name
			if c.Incarnation > m.Incarnation {
				m.Stopping = false
			}
			m.Incarnation, m.Record, m.RenewedAt, m.Removed = c.Incarnation, *c.Record, c.At, false
		}
		return nil
	},
	RenewLeases: func(r *State, c *Command) (answers []Answered) {
		m, number := r.number(c)
		if m == nil || r.lags(c) {
			return nil
		}
		m.RenewedAt, m.MisroutedProxies = c.At, c.MisroutedProxies
		for _, a := range c.Requests {
			p := r.part(a.Shard)
			if p == nil {
				continue
			}
			from, epoch := p.Lease.Holder, p.Lease.Epoch
			answer := p.Lease.Apply(r.terms(), lease.Request{From: lease.Holder{Member: number, Incarnation: c.Incarnation}, Sequence: a.Sequence}, c.At)
			if answer.Granted {
				if p.NoProxies = a.Load < 0; !p.NoProxies {
					p.Load = a.Load
				}
			}
			if answer.Epoch > epoch {
				r.granted(c, p, from)
			}
			answers = append(answers, Answered{a.Shard, answer})
		}
		return answers
	},
	ReleaseLeases: func(r *State, c *Command) []Answered {
		if _, number := r.number(c); number > 0 {
			for _, a := range c.Requests {
				if p := r.part(a.Shard); p != nil {
					p.Lease.Release(lease.Request{From: lease.Holder{Member: number, Incarnation: c.Incarnation}, Sequence: a.Sequence})
				}
			}
		}
		return nil
	},
	SetPlacement: func(r *State, c *Command) []Answered {
		for _, m := range c.Migrations {
			if p := r.part(m.Shard); p != nil && r.Member(m.To) != nil {
				p.Target, p.Pinned = m.To, c.ByOperator
				r.WaitReasons[m.Shard] = m.Reason
			}
		}
		return nil
	},
	DrainMember: func(r *State, c *Command) []Answered {
		if m := r.Member(c.Member); m != nil {
			if c.ByOperator {
				m.Draining = c.On
			} else {
				m.Stopping = c.On
			}
		}
		return nil
	},
	RemoveMember: func(r *State, c *Command) []Answered {
		if m := r.Member(c.Member); m != nil {
			m.Removed = true
		}
		return nil
	},
}

// lags tells that a member asks without following what is agreed on: its disk is full, or only one way of a link is open. It would not
// learn that a part was granted to it, and hold it up for the others.
func (r *State) lags(c *Command) bool { return c.At-c.FollowedAt > r.LeaseDuration }

func (r *State) terms() lease.Config {
	return lease.Config{Duration: r.LeaseDuration, MaxClockDrift: r.MaxClockDrift}
}

// Member gives a member by its name; nil for none.
func (r *State) Member(name string) *MemberState {
	for _, m := range r.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (r *State) part(number int) *ShardState {
	if number < 0 || number >= len(r.Shards) {
		return nil
	}
	return r.Shards[number]
}

// number gives a command's member and its number in leases, if the command is of the newest life of one that is not struck.
func (r *State) number(c *Command) (*MemberState, uint16) {
	for i, m := range r.Members {
		if m.Name == c.Member && m.Incarnation == c.Incarnation && !m.Removed {
			return m, uint16(i + 1)
		}
	}
	return nil, 0
}

// Holder is who a lease names; "" for nobody.
func (r *State) Holder(p *ShardState) string {
	if n := int(p.Lease.Holder.Member); n > 0 && n <= len(r.Members) {
		return r.Members[n-1].Name
	}
	return ""
}

func (r *State) granted(c *Command, p *ShardState, from lease.Holder) {
	e := Event{At: c.At, Leader: r.Leader, Shard: p.Number, Epoch: p.Lease.Epoch, To: c.Member, Planned: from == lease.Holder{}, Reason: r.WaitReasons[p.Number]}
	e.From, p.LastHolder = p.LastHolder, c.Member
	if e.From == e.To {
		e.Reason = "a new life of the same member"
	}
	delete(r.WaitReasons, p.Number)
	if len(r.Events) >= eventsMost {
		r.Events = append(r.Events[:0], r.Events[1:]...)
	}
	r.Events = append(r.Events, e)
}

// Bytes is the register as a snapshot has it.
func (r *State) Bytes() ([]byte, error) {
	if r.NewerSchemaVersion > 0 {
		return nil, fmt.Errorf("group: a command of form %d is agreed on, this program knows %d: no snapshot of what it does not know", r.NewerSchemaVersion, r.knows)
	}
	return cbor.Marshal(r)
}

// ReadState reads a snapshot.
func ReadState(b []byte) (*State, error) {
	r := &State{knows: form}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("group: a snapshot that cannot be read: %w", err)
	}
	if r.SchemaVersion > form {
		return nil, fmt.Errorf("group: a snapshot of form %d, this program knows %d: update it", r.SchemaVersion, form)
	}
	if r.WaitReasons == nil {
		r.WaitReasons = map[int]string{}
	}
	return r, nil
}

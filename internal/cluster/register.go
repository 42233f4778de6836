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
	Lead    Kind = iota + 1 // a new leader: leases count anew, by its clock
	Enrol                   // a member tells who it is, in each of its lives
	Renew                   // a member asks for parts and goes on with those that it has; without any, it says that it is here
	Release                 // a member has stopped ordering for parts
	Plan                    // the leader says who should hold parts
	Leave                   // an operator has a member give everything away, or take again; or (not ByHand) its process ends
	Strike                  // an operator takes a member that is gone off the register
)

// Command is an entry of the agreed log.
type Command struct {
	Form   uint8                         `cbor:"Form"`
	Kind   Kind                          `cbor:"Kind"`
	At     model.Microseconds            `cbor:"At"`    // the leader's clock; it stamps each
	Fresh  model.Microseconds            `cbor:"Fresh"` // Enrol, Renew: the stamp of this term that the member has carried out last
	Member string                        `cbor:"Member"`
	Life   uint64                        `cbor:"Life"`
	Record *Record                       `cbor:"Record,omitempty"`
	Asks   []PartAsk                     `cbor:"Asks,omitempty"`
	Strays []Stray                       `cbor:"Strays,omitempty"` // Renew: forwarders that ask this member over and over for parts of others
	Moves  []placement.Move              `cbor:"Moves,omitempty"`
	Seen   []PartSeen                    `cbor:"Seen,omitempty"`  // Lead: of each part, by its number
	Heard  map[string]model.Microseconds `cbor:"Heard,omitempty"` // Lead: how long ago members renewed
	ByHand bool                          `cbor:"ByHand"`
	On     bool                          `cbor:"On"`
}

// PartAsk is one part of a Renew or Release.
type PartAsk struct {
	Part   int     `cbor:"Part"`
	Number uint32  `cbor:"Number"`
	Load   float64 `cbor:"Load"` // Renew: what its joined forwarders told, invocations a second; below 0: none is joined
}

// Stray is how many forwarders of a part go on asking a member that does not hold it.
type Stray struct {
	Part       int `cbor:"Part"`
	Forwarders int `cbor:"Forwarders"`
}

// PartSeen is what a new leader has seen of a part before it led: the newest renewal, and how long ago by its own clock.
type PartSeen struct {
	Epoch  uint64             `cbor:"Epoch"`
	Number uint32             `cbor:"Number"`
	Age    model.Microseconds `cbor:"Age"` // below 0: none was seen in this life
}

// Record is what a member tells of itself.
type Record struct {
	Zone    string  `cbor:"Zone"`
	Channel string  `cbor:"Channel"` // where forwarders join
	Request string  `cbor:"Request"` // where members and operators ask
	Limit   float64 `cbor:"Limit"`
	Digest  uint64  `cbor:"Digest"` // of the settings that all have alike
}

// MemberState is a member on the register.
type MemberState struct {
	Name    string             `cbor:"Name"`
	Life    uint64             `cbor:"Life"`
	Record  Record             `cbor:"Record"`
	Heard   model.Microseconds `cbor:"Heard"`   // its newest Renew, by the leader's clock
	Leaving bool               `cbor:"Leaving"` // an operator had it give everything away
	Ending  bool               `cbor:"Ending"`  // its process is about to end; its next life is not
	Strays  []Stray            `cbor:"Strays"`
	Struck  bool               `cbor:"Struck"` // its place, and so its number in leases, is never given again
}

// PartState is a part on the register.
type PartState struct {
	Number int        `cbor:"Number"`
	Zone   string     `cbor:"Zone"`
	Lease  lease.Part `cbor:"Lease"`
	Wanted string     `cbor:"Wanted"`
	ByHand bool       `cbor:"ByHand"`
	Load   float64    `cbor:"Load"`
	Last   string     `cbor:"Last"`  // the member that held it last
	Empty  bool       `cbor:"Empty"` // held, and none of its forwarders is joined
}

// Event is an entry of the time line: a grant to another holder than before, or to another life of it. Status tells it as
// JSON; its tags are names that others read and must not change.
type Event struct {
	At      model.Microseconds `cbor:"At" json:"At"` // the leader's clock
	Leader  string             `cbor:"Leader" json:"Leader"`
	Part    int                `cbor:"Part" json:"Part"`
	Epoch   uint64             `cbor:"Epoch" json:"Epoch"`
	From    string             `cbor:"From" json:"From"`
	To      string             `cbor:"To" json:"To"`
	Planned bool               `cbor:"Planned" json:"Planned"` // the one before had released it
	Why     string             `cbor:"Why" json:"Why"`
}

// eventsMost bounds the time line: some screens of it, and a snapshot of some ten kilobytes.
const eventsMost = 200

// Register is what a group has agreed on. It is free of I/O: the same commands in the same order give the same register.
type Register struct {
	Form    uint8              `cbor:"Form"`
	Digest  uint64             `cbor:"Digest"` // of the settings of the first leader; a member with others holds nothing
	Span    model.Microseconds `cbor:"Span"`
	Drift   model.Microseconds `cbor:"Drift"`
	Leader  string             `cbor:"Leader"`
	Term    uint64             `cbor:"Term"` // in which it announced itself
	Members []*MemberState     `cbor:"Members"`
	Parts   []*PartState       `cbor:"Parts"`
	Events  []Event            `cbor:"Events"`
	Whys    map[int]string     `cbor:"Whys"` // of the newest plan of a part that is not held as wanted yet
	knows   uint8              // the newest form that this program understands
	Newer   uint8              `cbor:"Newer"` // the form of a command that this program does not know; nothing counts after it
}

// NewRegister is the register of a group that has agreed on nothing.
func NewRegister(t Terms) *Register {
	r := &Register{Form: form, knows: form, Span: t.Lease.Span, Drift: t.Lease.Drift, Whys: map[int]string{}}
	for _, zone := range t.Zones {
		for range t.PartsEach {
			r.Parts = append(r.Parts, &PartState{Number: len(r.Parts), Zone: zone})
		}
	}
	return r
}

// Terms are the settings that all members have alike.
type Terms struct {
	Lease     lease.Terms
	Assign    placement.Terms
	Zones     []string
	PartsEach int // of each zone
}

// Digest tells settings apart: a member with others is not enrolled.
func (t Terms) Digest() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %v %v %q %d", form, t.Lease, t.Assign, t.Zones, t.PartsEach)
	return h.Sum64()
}

// PartOf gives a forwarder's part: of its zone, then by its name.
func (t Terms) PartOf(zone int, name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	x := h.Sum32()
	x ^= x >> 16 // names that differ in their last digit only fall on few of the low bits
	x *= 0x45d9f3b
	x ^= x >> 16
	return zone*t.PartsEach + int(x%uint32(t.PartsEach))
}

// Answered is what a Renew brought for one part.
type Answered struct {
	Part int
	lease.Answer
}

// Apply takes a command that was agreed on in a raft term, and gives the answers to a Renew.
func (r *Register) Apply(c *Command, term uint64) []Answered {
	if r.Newer == 0 && c.Form > r.knows {
		r.Newer = c.Form
	}
	if r.Newer > 0 || c.Kind != Lead && term != r.Term {
		return nil // stamped by a clock that this term has not announced
	}
	if row := table[c.Kind]; row != nil {
		return row(r, c)
	}
	return nil
}

// table is what each command does to the register.
var table = map[Kind]func(*Register, *Command) []Answered{
	Lead: func(r *Register, c *Command) []Answered {
		r.Leader = c.Member
		if r.Digest == 0 && c.Record != nil {
			r.Digest = c.Record.Digest
		}
		for i, p := range r.Parts {
			if i < len(c.Seen) {
				p.Lease.LeadSeen(c.At, c.Seen[i].Age, c.Seen[i].Epoch, c.Seen[i].Number)
			} else {
				p.Lease.Lead(c.At)
			}
		}
		for _, m := range r.Members {
			m.Heard = c.At - max(0, c.Heard[m.Name])
		}
		return nil
	},
	Enrol: func(r *Register, c *Command) []Answered {
		if c.Record == nil || r.lags(c) {
			return nil
		}
		m := r.Member(c.Member)
		if m == nil {
			m = &MemberState{Name: c.Member}
			r.Members = append(r.Members, m)
		}
		if c.Life >= m.Life { // else it is late, or of a second process under the same name
			if c.Life > m.Life {
				m.Ending = false
			}
			m.Life, m.Record, m.Heard, m.Struck = c.Life, *c.Record, c.At, false
		}
		return nil
	},
	Renew: func(r *Register, c *Command) (answers []Answered) {
		m, number := r.number(c)
		if m == nil || r.lags(c) {
			return nil
		}
		m.Heard, m.Strays = c.At, c.Strays
		for _, a := range c.Asks {
			p := r.part(a.Part)
			if p == nil {
				continue
			}
			from, epoch := p.Lease.Holder, p.Lease.Epoch
			answer := p.Lease.Apply(r.terms(), lease.Ask{From: lease.Holder{Member: number, Life: c.Life}, Number: a.Number}, c.At)
			if answer.Granted {
				if p.Empty = a.Load < 0; !p.Empty {
					p.Load = a.Load
				}
			}
			if answer.Epoch > epoch {
				r.granted(c, p, from)
			}
			answers = append(answers, Answered{a.Part, answer})
		}
		return answers
	},
	Release: func(r *Register, c *Command) []Answered {
		if _, number := r.number(c); number > 0 {
			for _, a := range c.Asks {
				if p := r.part(a.Part); p != nil {
					p.Lease.Release(lease.Ask{From: lease.Holder{Member: number, Life: c.Life}, Number: a.Number})
				}
			}
		}
		return nil
	},
	Plan: func(r *Register, c *Command) []Answered {
		for _, m := range c.Moves {
			if p := r.part(m.Part); p != nil && r.Member(m.To) != nil {
				p.Wanted, p.ByHand = m.To, c.ByHand
				r.Whys[m.Part] = m.Why
			}
		}
		return nil
	},
	Leave: func(r *Register, c *Command) []Answered {
		if m := r.Member(c.Member); m != nil {
			if c.ByHand {
				m.Leaving = c.On
			} else {
				m.Ending = c.On
			}
		}
		return nil
	},
	Strike: func(r *Register, c *Command) []Answered {
		if m := r.Member(c.Member); m != nil {
			m.Struck = true
		}
		return nil
	},
}

// lags tells that a member asks without following what is agreed on: its disk is full, or only one way of a link is open. It would not
// learn that a part was granted to it, and hold it up for the others.
func (r *Register) lags(c *Command) bool { return c.At-c.Fresh > r.Span }

func (r *Register) terms() lease.Terms { return lease.Terms{Span: r.Span, Drift: r.Drift} }

// Member gives a member by its name; nil for none.
func (r *Register) Member(name string) *MemberState {
	for _, m := range r.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func (r *Register) part(number int) *PartState {
	if number < 0 || number >= len(r.Parts) {
		return nil
	}
	return r.Parts[number]
}

// number gives a command's member and its number in leases, if the command is of the newest life of one that is not struck.
func (r *Register) number(c *Command) (*MemberState, uint16) {
	for i, m := range r.Members {
		if m.Name == c.Member && m.Life == c.Life && !m.Struck {
			return m, uint16(i + 1)
		}
	}
	return nil, 0
}

// Holder is who a lease names; "" for nobody.
func (r *Register) Holder(p *PartState) string {
	if n := int(p.Lease.Holder.Member); n > 0 && n <= len(r.Members) {
		return r.Members[n-1].Name
	}
	return ""
}

func (r *Register) granted(c *Command, p *PartState, from lease.Holder) {
	e := Event{At: c.At, Leader: r.Leader, Part: p.Number, Epoch: p.Lease.Epoch, To: c.Member, Planned: from == lease.Holder{}, Why: r.Whys[p.Number]}
	e.From, p.Last = p.Last, c.Member
	if e.From == e.To {
		e.Why = "a new life of the same member"
	}
	delete(r.Whys, p.Number)
	if len(r.Events) >= eventsMost {
		r.Events = append(r.Events[:0], r.Events[1:]...)
	}
	r.Events = append(r.Events, e)
}

// Bytes is the register as a snapshot has it.
func (r *Register) Bytes() ([]byte, error) {
	if r.Newer > 0 {
		return nil, fmt.Errorf("group: a command of form %d is agreed on, this program knows %d: no snapshot of what it does not know", r.Newer, r.knows)
	}
	return cbor.Marshal(r)
}

// ReadRegister reads a snapshot.
func ReadRegister(b []byte) (*Register, error) {
	r := &Register{knows: form}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("group: a snapshot that cannot be read: %w", err)
	}
	if r.Form > form {
		return nil, fmt.Errorf("group: a snapshot of form %d, this program knows %d: update it", r.Form, form)
	}
	if r.Whys == nil {
		r.Whys = map[int]string{}
	}
	return r, nil
}

// Package board is what a governor has ordered and what each joined forwarder was sent of it: orders go in, one message for each
// forwarder concerned comes out. It is free of I/O; package channel puts the messages on RESP3, package platform on the operators'
// protocol. One goroutine at a time may use a Board.
package snapshot

import (
	"slices"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// Update is one order of a governor; which fields count follows from What.
type Update struct {
	Kind      UpdateKind
	Table     model.TableID
	Proxy     model.ProxyID
	Replica   model.ReplicaID
	Weight    float64
	Withdrawn bool
	Quota     pubsubmsg.Quota
	// With a bind: the operations that the table is for, by 1 << their place (0: all), and what others may have shut out.
	Operations uint16
	Readmitted []model.ReplicaID
}

// UpdateKind an order does.
type UpdateKind uint8

const (
	SetWeight    UpdateKind = iota // set a table's line
	BindProxy                      // put a proxy on a table
	SetWithdrawn                   // shut a replica out everywhere, or let it back
	SetQuota                       // for all proxies
)

// Batch is what a governor ordered between two calls of Settle. Receipt is -1 where none is asked for; with All
// every joined proxy gets a message and answers.
type Batch struct {
	Updates     []Update
	AckSequence int
	AckFromAll  bool
	At          model.Microseconds
}

// NoAckSequence stands where no acknowledgement is asked for.
const NoAckSequence = -1

// Empty tells a batch that reaches nobody.
func (b *Batch) Empty() bool { return len(b.Updates) == 0 && !b.AckFromAll }

// State is the published state of one governor. Make it with New; what it exports is to be read only.
type State struct {
	Incarnation, Version uint64
	overhead             int
	Tables               map[model.TableID]*Table
	out                  map[model.ReplicaID]bool
	Withdrawn            []model.ReplicaID // withdrawn, in that order
	Quotas               []pubsubmsg.Quota
	Subscribers          []*Subscriber // in the order joined
	ByProxy              map[model.ProxyID]*Subscriber
}

// Table is a shared table as it stands.
type Table struct {
	ID      model.TableID
	Entries []pubsubmsg.Entry
	at      map[model.ReplicaID]int
	users   []*Subscriber
}

// Subscriber is a joined forwarder.
type Subscriber struct {
	Proxy               model.ProxyID
	Name                string
	Table               *Table // nil: on tables of its own
	Operations          uint16 // operations that it is for; 0: all
	ZoneLocalTable      *Table // of the other operations, where those that stay in a zone have their own; else nil
	ZoneLocalOperations uint16
	version             uint64                   // of the newest message made for it
	receipt             int                      // the newest number asked of it
	shut                map[model.ReplicaID]bool // told out, and not back since
	draft               *draft
}

// draft is the message being made for a holder: what changed, by its place in the batch.
type draft struct {
	bind   bool
	back   []model.ReplicaID
	home   []model.ReplicaID // lines of its table for operations that stay in a zone
	lines  []model.ReplicaID
	shuts  []model.ReplicaID
	levels bool
}

// Delivery is a message made.
type Delivery struct {
	To              *Subscriber
	Message         *pubsubmsg.Message
	Readmitted      []model.ReplicaID // of its table, what others may have shut out: of a bind
	OperationTables []OperationTable  // where operations have tables of their own: these, in place of the message's lines
}

// OperationTable is what changes in a table for some operations.
type OperationTable struct {
	Operations uint16
	Full       bool
	Entries    []pubsubmsg.Entry
}

// New makes a board for one life of a governor; overhead is the lines that a message costs beyond its own.
func New(life uint64, overhead int) *State {
	return &State{Incarnation: life, overhead: overhead, Tables: map[model.TableID]*Table{},
		out: map[model.ReplicaID]bool{}, ByProxy: map[model.ProxyID]*Subscriber{}}
}

// Subscribe takes a forwarder in, on tables of its own; one that is here is replaced.
func (b *State) Subscribe(p model.ProxyID, name string) *Subscriber {
	b.Unsubscribe(p)
	h := &Subscriber{Proxy: p, Name: name, version: b.Version, receipt: -1, shut: map[model.ReplicaID]bool{}}
	b.ByProxy[p], b.Subscribers = h, append(b.Subscribers, h)
	return h
}

// Unsubscribe drops a forwarder.
func (b *State) Unsubscribe(p model.ProxyID) {
	h := b.ByProxy[p]
	if h == nil {
		return
	}
	delete(b.ByProxy, p)
	b.Subscribers = slices.DeleteFunc(b.Subscribers, func(x *Subscriber) bool { return x == h })
	b.unbind(h)
}

func (b *State) unbind(h *Subscriber) {
	for _, t := range []*Table{h.Table, h.ZoneLocalTable} {
		if t != nil {
			t.users = slices.DeleteFunc(t.users, func(x *Subscriber) bool { return x == h })
		}
	}
	h.Table, h.Operations, h.ZoneLocalTable, h.ZoneLocalOperations = nil, 0, nil, 0
}

func (b *State) table(id model.TableID) *Table {
	t := b.Tables[id]
	if t == nil {
		t = &Table{ID: id, at: map[model.ReplicaID]int{}}
		b.Tables[id] = t
	}
	return t
}

// set changes a line, or takes it out.
func (t *Table) set(r model.ReplicaID, weight float64) {
	i, there := t.at[r]
	switch {
	case there && weight > 0:
		t.Entries[i].Weight = weight
	case there:
		t.Entries = slices.Delete(t.Entries, i, i+1)
		delete(t.at, r)
		for k := i; k < len(t.Entries); k++ {
			t.at[t.Entries[k].Replica] = k
		}
	case weight > 0:
		t.at[r] = len(t.Entries)
		t.Entries = append(t.Entries, pubsubmsg.Entry{Replica: r, Weight: weight})
	}
}

// IsWithdrawn tells whether it was told that a replica is out, and not back since.
func (h *Subscriber) IsWithdrawn(r model.ReplicaID) bool { return h.shut[r] }

func (h *Subscriber) drafted() *draft {
	if h.draft == nil {
		h.draft = &draft{}
	}
	return h.draft
}

// holds tells whether a withdrawal of r concerns a holder: it has the line, or tables that nobody here knows.
func (h *Subscriber) holds(r model.ReplicaID) bool {
	if h.Table == nil {
		return true
	}
	if h.ZoneLocalTable != nil && h.ZoneLocalTable.has(r) {
		return true
	}
	return h.Table.has(r)
}

// Apply carries a batch out on the board and makes one message for each forwarder concerned.
func (b *State) Apply(batch *Batch) (made []Delivery) {
	if batch.Empty() {
		return nil
	}
	b.Version++
	for _, o := range batch.Updates {
		b.carryOut(o)
	}
	for _, h := range b.Subscribers {
		if h.draft == nil && !batch.AckFromAll {
			continue
		}
		d := h.drafted()
		h.draft = nil
		m := b.message(h, d)
		m.UpdatedAt, m.AckSequence = batch.At, batch.AckSequence
		if m.AckSequence >= 0 {
			h.receipt = m.AckSequence
			m.Cost++
		}
		made = append(made, Delivery{h, m, d.back, h.parts(d, m)})
	}
	return made
}

func (b *State) carryOut(o Update) {
	switch o.Kind {
	case SetWeight:
		t := b.table(o.Table)
		_, had := t.at[o.Replica]
		t.set(o.Replica, o.Weight)
		for _, h := range t.users {
			d := h.drafted()
			if h.ZoneLocalTable == t {
				d.home = append(d.home, o.Replica)
			} else {
				d.lines = append(d.lines, o.Replica)
			}
			// A line laid anew brings along what passed it by while there was none: a withdrawal, or its end.
			if !had && b.out[o.Replica] != h.shut[o.Replica] {
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case BindProxy:
		if h := b.ByProxy[o.Proxy]; h != nil {
			t, d := b.table(o.Table), h.drafted()
			if o.Operations != 0 && h.Table != nil && h.Operations != 0 && h.Operations&o.Operations == 0 && h.ZoneLocalTable == nil {
				h.ZoneLocalTable, h.ZoneLocalOperations = t, o.Operations
			} else {
				b.unbind(h)
				h.Table, h.Operations, d.back = t, o.Operations, nil
			}
			t.users = append(t.users, h)
			d.bind, d.back = true, append(d.back, o.Readmitted...)
		}
	case SetWithdrawn:
		if o.Withdrawn != b.out[o.Replica] {
			if delete(b.out, o.Replica); o.Withdrawn {
				b.out[o.Replica], b.Withdrawn = true, append(b.Withdrawn, o.Replica)
			} else {
				b.Withdrawn = slices.DeleteFunc(b.Withdrawn, func(r model.ReplicaID) bool { return r == o.Replica })
			}
		}
		for _, h := range b.Subscribers {
			if h.holds(o.Replica) {
				d := h.drafted()
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case SetQuota:
		i := slices.IndexFunc(b.Quotas, func(l pubsubmsg.Quota) bool { return l.Operations == o.Quota.Operations })
		if i >= 0 {
			b.Quotas[i] = o.Quota
		} else {
			b.Quotas = append(b.Quotas, o.Quota)
		}
		for _, h := range b.Subscribers {
			h.drafted().levels = true
		}
	}
}

// message makes what a draft asks for, from the board as it now stands.
func (b *State) message(h *Subscriber, d *draft) *pubsubmsg.Message {
	if d.bind {
		m := b.Snapshot(h)
		m.PreviousVersion, h.version, m.Version = h.version, b.Version, b.Version
		return m
	}
	m := &pubsubmsg.Message{Incarnation: b.Incarnation, PreviousVersion: h.version, Version: b.Version}
	h.version = b.Version
	if d.levels {
		m.Quotas = slices.Clone(b.Quotas)
	}
	m.Entries = h.Table.changed(d.lines)
	seen := map[model.ReplicaID]bool{}
	for _, r := range d.shuts {
		if !seen[r] {
			seen[r] = true
			m.Withdrawals = append(m.Withdrawals, pubsubmsg.Withdrawal{Replica: r, Withdrawn: b.out[r]})
			if delete(h.shut, r); b.out[r] {
				h.shut[r] = true
			}
		}
	}
	m.Cost = b.overhead + len(m.Entries) + len(m.Withdrawals) + len(m.Quotas)
	return m
}

// parts takes the lines of a message whose tables are for some operations each out of it.
func (h *Subscriber) parts(d *draft, m *pubsubmsg.Message) (all []OperationTable) {
	if h.Operations == 0 {
		return nil
	}
	if m.Full || len(m.Entries) > 0 {
		all = append(all, OperationTable{h.Operations, m.Full, m.Entries})
	}
	m.Entries = nil
	if h.ZoneLocalTable == nil {
		return all
	}
	home := OperationTable{Operations: h.ZoneLocalOperations, Full: d.bind}
	if d.bind {
		home.Entries = slices.Clone(h.ZoneLocalTable.Entries)
		m.Cost++
	} else {
		home.Entries = h.ZoneLocalTable.changed(d.home)
	}
	if m.Cost += len(home.Entries); home.Full || len(home.Entries) > 0 {
		all = append(all, home)
	}
	return all
}

// changed gives lines as they stand, each once, in the order of their first change.
func (t *Table) changed(replicas []model.ReplicaID) (lines []pubsubmsg.Entry) {
	seen := map[model.ReplicaID]bool{}
	for _, r := range replicas {
		if !seen[r] {
			seen[r] = true
			lines = append(lines, pubsubmsg.Entry{Replica: r, Weight: t.weight(r)})
		}
	}
	return lines
}

func (t *Table) has(r model.ReplicaID) bool { _, there := t.at[r]; return there }

func (t *Table) weight(r model.ReplicaID) float64 {
	if i, there := t.at[r]; there {
		return t.Entries[i].Weight
	}
	return 0
}

// Snapshot is all that a holder should hold by now; it covers every message made for it before.
func (b *State) Snapshot(h *Subscriber) *pubsubmsg.Message {
	m := &pubsubmsg.Message{Full: true, Incarnation: b.Incarnation, PreviousVersion: h.version, Version: h.version, AckSequence: h.receipt,
		Quotas: slices.Clone(b.Quotas)}
	// Bound, it forgets every withdrawal but these; else it keeps those of others, and is told the end of ours.
	for r := range h.shut {
		if h.Table == nil && !b.out[r] {
			m.Withdrawals = append(m.Withdrawals, pubsubmsg.Withdrawal{Replica: r})
		}
	}
	slices.SortFunc(m.Withdrawals, func(x, y pubsubmsg.Withdrawal) int { // the same bytes from the same orders
		return strings.Compare(pubsubmsg.Address(x.Replica), pubsubmsg.Address(y.Replica))
	})
	clear(h.shut)
	for _, r := range b.Withdrawn {
		if h.holds(r) {
			m.Withdrawals = append(m.Withdrawals, pubsubmsg.Withdrawal{Replica: r, Withdrawn: true})
			h.shut[r] = true
		}
	}
	if h.Table != nil {
		m.Bound, m.Table, m.Entries = true, h.Table.ID, slices.Clone(h.Table.Entries)
	}
	m.Cost = b.overhead + 1 + len(m.Entries) + len(m.Withdrawals) + len(m.Quotas)
	return m
}

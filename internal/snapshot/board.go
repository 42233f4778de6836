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

// Order is one order of a governor; which fields count follows from What.
type Order struct {
	What    What
	Table   model.TableID
	Proxy   model.ProxyID
	Replica model.ReplicaID
	Weight  float64
	Out     bool
	Level   pubsubmsg.Level
	// With a bind: the operations that the table is for, by 1 << their place (0: all), and what others may have shut out.
	Operations uint16
	Back       []model.ReplicaID
}

// What an order does.
type What uint8

const (
	Assign   What = iota // set a table's line
	Bind                 // put a proxy on a table
	Withdraw             // shut a replica out everywhere, or let it back
	SetLevel             // for all proxies
)

// Batch is what a governor ordered between two calls of Settle. Receipt is -1 where none is asked for; with All
// every joined proxy gets a message and answers.
type Batch struct {
	Orders  []Order
	Receipt int
	All     bool
	At      model.Microseconds
}

// Empty tells a batch that reaches nobody.
func (b *Batch) Empty() bool { return len(b.Orders) == 0 && !b.All }

// Board is the published state of one governor. Make it with New; what it exports is to be read only.
type Board struct {
	Life, Version uint64
	overhead      int
	Tables        map[model.TableID]*Table
	out           map[model.ReplicaID]bool
	Outs          []model.ReplicaID // withdrawn, in that order
	Levels        []pubsubmsg.Level
	Holders       []*Holder // in the order joined
	ByProxy       map[model.ProxyID]*Holder
}

// Table is a shared table as it stands.
type Table struct {
	ID    model.TableID
	Lines []pubsubmsg.Line
	at    map[model.ReplicaID]int
	users []*Holder
}

// Holder is a joined forwarder.
type Holder struct {
	Proxy   model.ProxyID
	Name    string
	Table   *Table // nil: on tables of its own
	For     uint16 // operations that it is for; 0: all
	Home    *Table // of the other operations, where those that stay in a zone have their own; else nil
	HomeFor uint16
	version uint64                   // of the newest message made for it
	receipt int                      // the newest number asked of it
	shut    map[model.ReplicaID]bool // told out, and not back since
	draft   *draft
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

// Outgoing is a message made.
type Outgoing struct {
	To      *Holder
	Message *pubsubmsg.Message
	Back    []model.ReplicaID // of its table, what others may have shut out: of a bind
	Parts   []Part            // where operations have tables of their own: these, in place of the message's lines
}

// Part is what changes in a table for some operations.
type Part struct {
	Operations uint16
	Whole      bool
	Lines      []pubsubmsg.Line
}

// New makes a board for one life of a governor; overhead is the lines that a message costs beyond its own.
func New(life uint64, overhead int) *Board {
	return &Board{Life: life, overhead: overhead, Tables: map[model.TableID]*Table{},
		out: map[model.ReplicaID]bool{}, ByProxy: map[model.ProxyID]*Holder{}}
}

// Join takes a forwarder in, on tables of its own; one that is here is replaced.
func (b *Board) Join(p model.ProxyID, name string) *Holder {
	b.Leave(p)
	h := &Holder{Proxy: p, Name: name, version: b.Version, receipt: -1, shut: map[model.ReplicaID]bool{}}
	b.ByProxy[p], b.Holders = h, append(b.Holders, h)
	return h
}

// Leave drops a forwarder.
func (b *Board) Leave(p model.ProxyID) {
	h := b.ByProxy[p]
	if h == nil {
		return
	}
	delete(b.ByProxy, p)
	b.Holders = slices.DeleteFunc(b.Holders, func(x *Holder) bool { return x == h })
	b.unbind(h)
}

func (b *Board) unbind(h *Holder) {
	for _, t := range []*Table{h.Table, h.Home} {
		if t != nil {
			t.users = slices.DeleteFunc(t.users, func(x *Holder) bool { return x == h })
		}
	}
	h.Table, h.For, h.Home, h.HomeFor = nil, 0, nil, 0
}

func (b *Board) table(id model.TableID) *Table {
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
		t.Lines[i].Weight = weight
	case there:
		t.Lines = slices.Delete(t.Lines, i, i+1)
		delete(t.at, r)
		for k := i; k < len(t.Lines); k++ {
			t.at[t.Lines[k].Replica] = k
		}
	case weight > 0:
		t.at[r] = len(t.Lines)
		t.Lines = append(t.Lines, pubsubmsg.Line{Replica: r, Weight: weight})
	}
}

// Shut tells whether it was told that a replica is out, and not back since.
func (h *Holder) Shut(r model.ReplicaID) bool { return h.shut[r] }

func (h *Holder) drafted() *draft {
	if h.draft == nil {
		h.draft = &draft{}
	}
	return h.draft
}

// holds tells whether a withdrawal of r concerns a holder: it has the line, or tables that nobody here knows.
func (h *Holder) holds(r model.ReplicaID) bool {
	if h.Table == nil {
		return true
	}
	if h.Home != nil && h.Home.has(r) {
		return true
	}
	return h.Table.has(r)
}

// Apply carries a batch out on the board and makes one message for each forwarder concerned.
func (b *Board) Apply(batch *Batch) (made []Outgoing) {
	if batch.Empty() {
		return nil
	}
	b.Version++
	for _, o := range batch.Orders {
		b.carryOut(o)
	}
	for _, h := range b.Holders {
		if h.draft == nil && !batch.All {
			continue
		}
		d := h.drafted()
		h.draft = nil
		m := b.message(h, d)
		m.Ordered, m.Receipt = batch.At, batch.Receipt
		if m.Receipt >= 0 {
			h.receipt = m.Receipt
			m.Cost++
		}
		made = append(made, Outgoing{h, m, d.back, h.parts(d, m)})
	}
	return made
}

func (b *Board) carryOut(o Order) {
	switch o.What {
	case Assign:
		t := b.table(o.Table)
		_, had := t.at[o.Replica]
		t.set(o.Replica, o.Weight)
		for _, h := range t.users {
			d := h.drafted()
			if h.Home == t {
				d.home = append(d.home, o.Replica)
			} else {
				d.lines = append(d.lines, o.Replica)
			}
			// A line laid anew brings along what passed it by while there was none: a withdrawal, or its end.
			if !had && b.out[o.Replica] != h.shut[o.Replica] {
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case Bind:
		if h := b.ByProxy[o.Proxy]; h != nil {
			t, d := b.table(o.Table), h.drafted()
			if o.Operations != 0 && h.Table != nil && h.For != 0 && h.For&o.Operations == 0 && h.Home == nil {
				h.Home, h.HomeFor = t, o.Operations
			} else {
				b.unbind(h)
				h.Table, h.For, d.back = t, o.Operations, nil
			}
			t.users = append(t.users, h)
			d.bind, d.back = true, append(d.back, o.Back...)
		}
	case Withdraw:
		if o.Out != b.out[o.Replica] {
			if delete(b.out, o.Replica); o.Out {
				b.out[o.Replica], b.Outs = true, append(b.Outs, o.Replica)
			} else {
				b.Outs = slices.DeleteFunc(b.Outs, func(r model.ReplicaID) bool { return r == o.Replica })
			}
		}
		for _, h := range b.Holders {
			if h.holds(o.Replica) {
				d := h.drafted()
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case SetLevel:
		i := slices.IndexFunc(b.Levels, func(l pubsubmsg.Level) bool { return l.Operations == o.Level.Operations })
		if i >= 0 {
			b.Levels[i] = o.Level
		} else {
			b.Levels = append(b.Levels, o.Level)
		}
		for _, h := range b.Holders {
			h.drafted().levels = true
		}
	}
}

// message makes what a draft asks for, from the board as it now stands.
func (b *Board) message(h *Holder, d *draft) *pubsubmsg.Message {
	if d.bind {
		m := b.Snapshot(h)
		m.Prev, h.version, m.Version = h.version, b.Version, b.Version
		return m
	}
	m := &pubsubmsg.Message{Life: b.Life, Prev: h.version, Version: b.Version}
	h.version = b.Version
	if d.levels {
		m.Levels = slices.Clone(b.Levels)
	}
	m.Lines = h.Table.changed(d.lines)
	seen := map[model.ReplicaID]bool{}
	for _, r := range d.shuts {
		if !seen[r] {
			seen[r] = true
			m.Shuts = append(m.Shuts, pubsubmsg.Shut{Replica: r, Out: b.out[r]})
			if delete(h.shut, r); b.out[r] {
				h.shut[r] = true
			}
		}
	}
	m.Cost = b.overhead + len(m.Lines) + len(m.Shuts) + len(m.Levels)
	return m
}

// parts takes the lines of a message whose tables are for some operations each out of it.
func (h *Holder) parts(d *draft, m *pubsubmsg.Message) (all []Part) {
	if h.For == 0 {
		return nil
	}
	if m.Whole || len(m.Lines) > 0 {
		all = append(all, Part{h.For, m.Whole, m.Lines})
	}
	m.Lines = nil
	if h.Home == nil {
		return all
	}
	home := Part{Operations: h.HomeFor, Whole: d.bind}
	if d.bind {
		home.Lines = slices.Clone(h.Home.Lines)
		m.Cost++
	} else {
		home.Lines = h.Home.changed(d.home)
	}
	if m.Cost += len(home.Lines); home.Whole || len(home.Lines) > 0 {
		all = append(all, home)
	}
	return all
}

// changed gives lines as they stand, each once, in the order of their first change.
func (t *Table) changed(replicas []model.ReplicaID) (lines []pubsubmsg.Line) {
	seen := map[model.ReplicaID]bool{}
	for _, r := range replicas {
		if !seen[r] {
			seen[r] = true
			lines = append(lines, pubsubmsg.Line{Replica: r, Weight: t.weight(r)})
		}
	}
	return lines
}

func (t *Table) has(r model.ReplicaID) bool { _, there := t.at[r]; return there }

func (t *Table) weight(r model.ReplicaID) float64 {
	if i, there := t.at[r]; there {
		return t.Lines[i].Weight
	}
	return 0
}

// Snapshot is all that a holder should hold by now; it covers every message made for it before.
func (b *Board) Snapshot(h *Holder) *pubsubmsg.Message {
	m := &pubsubmsg.Message{Whole: true, Life: b.Life, Prev: h.version, Version: h.version, Receipt: h.receipt,
		Levels: slices.Clone(b.Levels)}
	// Bound, it forgets every withdrawal but these; else it keeps those of others, and is told the end of ours.
	for r := range h.shut {
		if h.Table == nil && !b.out[r] {
			m.Shuts = append(m.Shuts, pubsubmsg.Shut{Replica: r})
		}
	}
	slices.SortFunc(m.Shuts, func(x, y pubsubmsg.Shut) int { // the same bytes from the same orders
		return strings.Compare(pubsubmsg.Address(x.Replica), pubsubmsg.Address(y.Replica))
	})
	clear(h.shut)
	for _, r := range b.Outs {
		if h.holds(r) {
			m.Shuts = append(m.Shuts, pubsubmsg.Shut{Replica: r, Out: true})
			h.shut[r] = true
		}
	}
	if h.Table != nil {
		m.Bound, m.Table, m.Lines = true, h.Table.ID, slices.Clone(h.Table.Lines)
	}
	m.Cost = b.overhead + 1 + len(m.Lines) + len(m.Shuts) + len(m.Levels)
	return m
}

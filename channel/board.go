package channel

import (
	"slices"
	"strings"

	"peppervale/fleet"
	"peppervale/tablewire"
)

// Order is one order of a governor; which fields count follows from What.
type Order struct {
	What    What
	Table   fleet.TableID
	Proxy   fleet.ProxyID
	Replica fleet.ReplicaID
	Weight  float64
	Out     bool
	Level   tablewire.Level
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
	At      fleet.Micros
}

// Empty tells a batch that reaches nobody.
func (b *Batch) Empty() bool { return len(b.Orders) == 0 && !b.All }

// board is what the governor has ordered and what each joined forwarder was sent of it. It is free of I/O.
type board struct {
	life, version uint64
	overhead      int
	tables        map[fleet.TableID]*table
	out           map[fleet.ReplicaID]bool
	outs          []fleet.ReplicaID // the same in the order withdrawn
	levels        []tablewire.Level
	holders       []*holder // in the order joined
	byProxy       map[fleet.ProxyID]*holder
}

type table struct {
	id    fleet.TableID
	lines []tablewire.Line
	at    map[fleet.ReplicaID]int
	users []*holder
}

// holder is a joined forwarder.
type holder struct {
	proxy   fleet.ProxyID
	name    string
	table   *table                   // nil: on tables of its own
	version uint64                   // of the newest message made for it
	receipt int                      // the newest number asked of it
	shut    map[fleet.ReplicaID]bool // told out, and not back since
	draft   *draft
}

// draft is the message being made for a holder: what changed, by its place in the batch.
type draft struct {
	bind   bool
	lines  []fleet.ReplicaID
	shuts  []fleet.ReplicaID
	levels bool
}

// outgoing is a message made.
type outgoing struct {
	to *holder
	m  *tablewire.Message
}

func newBoard(life uint64, overhead int) *board {
	return &board{life: life, overhead: overhead, tables: map[fleet.TableID]*table{},
		out: map[fleet.ReplicaID]bool{}, byProxy: map[fleet.ProxyID]*holder{}}
}

func (b *board) join(p fleet.ProxyID, name string) *holder {
	b.leave(p)
	h := &holder{proxy: p, name: name, version: b.version, receipt: -1, shut: map[fleet.ReplicaID]bool{}}
	b.byProxy[p], b.holders = h, append(b.holders, h)
	return h
}

func (b *board) leave(p fleet.ProxyID) {
	h := b.byProxy[p]
	if h == nil {
		return
	}
	delete(b.byProxy, p)
	b.holders = slices.DeleteFunc(b.holders, func(x *holder) bool { return x == h })
	b.unbind(h)
}

func (b *board) unbind(h *holder) {
	if h.table != nil {
		h.table.users = slices.DeleteFunc(h.table.users, func(x *holder) bool { return x == h })
		h.table = nil
	}
}

func (b *board) table(id fleet.TableID) *table {
	t := b.tables[id]
	if t == nil {
		t = &table{id: id, at: map[fleet.ReplicaID]int{}}
		b.tables[id] = t
	}
	return t
}

// set changes a line, or takes it out.
func (t *table) set(r fleet.ReplicaID, weight float64) {
	i, there := t.at[r]
	switch {
	case there && weight > 0:
		t.lines[i].Weight = weight
	case there:
		t.lines = slices.Delete(t.lines, i, i+1)
		delete(t.at, r)
		for k := i; k < len(t.lines); k++ {
			t.at[t.lines[k].Replica] = k
		}
	case weight > 0:
		t.at[r] = len(t.lines)
		t.lines = append(t.lines, tablewire.Line{Replica: r, Weight: weight})
	}
}

func (h *holder) drafted() *draft {
	if h.draft == nil {
		h.draft = &draft{}
	}
	return h.draft
}

// holds tells whether a withdrawal of r concerns a holder: it has the line, or tables that nobody here knows.
func (h *holder) holds(r fleet.ReplicaID) bool {
	if h.table == nil {
		return true
	}
	_, there := h.table.at[r]
	return there
}

// apply carries a batch out on the board and makes one message for each forwarder concerned.
func (b *board) apply(batch *Batch) (made []outgoing) {
	if batch.Empty() {
		return nil
	}
	b.version++
	for _, o := range batch.Orders {
		b.carryOut(o)
	}
	for _, h := range b.holders {
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
		made = append(made, outgoing{h, m})
	}
	return made
}

func (b *board) carryOut(o Order) {
	switch o.What {
	case Assign:
		t := b.table(o.Table)
		_, had := t.at[o.Replica]
		t.set(o.Replica, o.Weight)
		for _, h := range t.users {
			d := h.drafted()
			d.lines = append(d.lines, o.Replica)
			// A line laid anew brings along what passed it by while there was none: a withdrawal, or its end.
			if !had && b.out[o.Replica] != h.shut[o.Replica] {
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case Bind:
		if h := b.byProxy[o.Proxy]; h != nil {
			b.unbind(h)
			h.table = b.table(o.Table)
			h.table.users = append(h.table.users, h)
			h.drafted().bind = true
		}
	case Withdraw:
		if o.Out != b.out[o.Replica] {
			if delete(b.out, o.Replica); o.Out {
				b.out[o.Replica], b.outs = true, append(b.outs, o.Replica)
			} else {
				b.outs = slices.DeleteFunc(b.outs, func(r fleet.ReplicaID) bool { return r == o.Replica })
			}
		}
		for _, h := range b.holders {
			if h.holds(o.Replica) {
				d := h.drafted()
				d.shuts = append(d.shuts, o.Replica)
			}
		}
	case SetLevel:
		i := slices.IndexFunc(b.levels, func(l tablewire.Level) bool { return l.Operations == o.Level.Operations })
		if i >= 0 {
			b.levels[i] = o.Level
		} else {
			b.levels = append(b.levels, o.Level)
		}
		for _, h := range b.holders {
			h.drafted().levels = true
		}
	}
}

// message makes what a draft asks for, from the board as it now stands.
func (b *board) message(h *holder, d *draft) *tablewire.Message {
	if d.bind {
		m := b.snapshot(h)
		m.Prev, h.version, m.Version = h.version, b.version, b.version
		return m
	}
	m := &tablewire.Message{Life: b.life, Prev: h.version, Version: b.version}
	h.version = b.version
	if d.levels {
		m.Levels = slices.Clone(b.levels)
	}
	seen := map[fleet.ReplicaID]bool{}
	for _, r := range d.lines {
		if !seen[r] {
			seen[r] = true
			m.Lines = append(m.Lines, tablewire.Line{Replica: r, Weight: h.table.weight(r)})
		}
	}
	clear(seen)
	for _, r := range d.shuts {
		if !seen[r] {
			seen[r] = true
			m.Shuts = append(m.Shuts, tablewire.Shut{Replica: r, Out: b.out[r]})
			if delete(h.shut, r); b.out[r] {
				h.shut[r] = true
			}
		}
	}
	m.Cost = b.overhead + len(m.Lines) + len(m.Shuts) + len(m.Levels)
	return m
}

func (t *table) weight(r fleet.ReplicaID) float64 {
	if i, there := t.at[r]; there {
		return t.lines[i].Weight
	}
	return 0
}

// snapshot is all that a holder should hold by now; it covers every message made for it before.
func (b *board) snapshot(h *holder) *tablewire.Message {
	m := &tablewire.Message{Whole: true, Life: b.life, Prev: h.version, Version: h.version, Receipt: h.receipt,
		Levels: slices.Clone(b.levels)}
	// Bound, it forgets every withdrawal but these; else it keeps those of others, and is told the end of ours.
	for r := range h.shut {
		if h.table == nil && !b.out[r] {
			m.Shuts = append(m.Shuts, tablewire.Shut{Replica: r})
		}
	}
	slices.SortFunc(m.Shuts, func(x, y tablewire.Shut) int { // the same bytes from the same orders
		return strings.Compare(tablewire.Address(x.Replica), tablewire.Address(y.Replica))
	})
	clear(h.shut)
	for _, r := range b.outs {
		if h.holds(r) {
			m.Shuts = append(m.Shuts, tablewire.Shut{Replica: r, Out: true})
			h.shut[r] = true
		}
	}
	if h.table != nil {
		m.Bound, m.Table, m.Lines = true, h.table.id, slices.Clone(h.table.lines)
	}
	m.Cost = b.overhead + 1 + len(m.Lines) + len(m.Shuts) + len(m.Levels)
	return m
}

// Package platformwire is the vocabulary of the operators' platform: the words of a message at a governor's address, the orders on a
// proxy's stream, and the list of discovery, read into plain values and written back. Nothing here does I/O.
//
// A message is a RESP2 array of bulk strings: its kind, then names and values by turns. What is read is checked: a field that is
// absent, of another type or out of range is one error that names it, and the message is then worth nothing. Unknown names are
// skipped, so that the platform can add some.
//
// Caveats: whether a zone, a replica or a proxy of that name exists is for the caller to say; see Names.
package platformmsg

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Kind is the first word of a message.
type Kind string

// The kinds that a governor reads, and the two that it answers with.
const (
	Ping      Kind = "ping"
	Collector Kind = "collector" // says the zone whose reports it brings
	Joined    Kind = "joined"
	Applied   Kind = "applied"
	Heard     Kind = "heard"
	Usage     Kind = "usage"
	Pong      Kind = "pong"
	Refused   Kind = "refused"
)

// Limits are what one message from outside may hold: the longest honest one is a report of some hundred bytes.
var Limits = resp.Limits{Depth: 1, Items: 64, Bulk: 2 << 10, Message: 8 << 10}

// Message is one that came, checked. Which fields count follows from Kind.
type Message struct {
	Kind            Kind
	Proxy           int     // joined, applied, usage
	Zone            string  // collector, joined, heard
	ExpectedRate    float64 // joined: invocations a second, roughly
	OnStandingTable bool    // joined: it holds no table that was ordered
	AckSequence     uint32  // applied
	Replica         string  // heard: a replica
	Operation       string  // usage: an operation
	Attempts        int     // heard: that ended; usage: invocations that came
	Errors          int     // of them; usage: let in and not served, of this span or an earlier one
	MeanLatency     model.Microseconds
	Window          model.Microseconds
	Readings        []Reading // heard: the newest load report
}

// Reading is one figure of a load report.
type Reading struct {
	Name  string
	Value float64
}

// Bounds of figures: beyond them they are slips or lies, whatever the fleet.
const (
	triesMost = 100_000_000
	rateMost  = 1e9
	spanMost  = 3600 * model.Second
	loadMost  = 16 // readings
)

// words reads a message's fields, and keeps the first fault.
type words struct {
	kind   Kind
	fields map[string]string
	err    error
}

func (w *words) fault(name, why string) {
	if w.err == nil {
		w.err = fmt.Errorf("%s: %s: %s", w.kind, name, why)
	}
}

func (w *words) text(name string) string {
	text := w.fields[name]
	if text == "" {
		w.fault(name, "is not given")
	}
	return text
}

func (w *words) number(name string, most float64) float64 {
	text := w.text(name)
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0) || f > most {
		w.fault(name, fmt.Sprintf("%.40q is no number from 0 to %g", text, most))
		return 0
	}
	return f
}

func (w *words) whole(name string, most int) int {
	text := w.text(name)
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		w.fault(name, fmt.Sprintf("%.40q is no whole number from 0 to %d", text, most))
		return 0
	}
	return n
}

func (w *words) yes(name string) bool { return w.whole(name, 1) == 1 }

func (w *words) span(name string) model.Microseconds {
	return model.Microseconds(math.Round(w.number(name, float64(spanMost/model.Millisecond)) * float64(model.Millisecond)))
}

func (w *words) counts() (tries, errors int) {
	return w.whole("count", triesMost), w.whole("fail", triesMost)
}

func (w *words) load() (all []Reading) {
	text := w.fields["util"]
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > loadMost {
		w.fault("util", fmt.Sprintf("%d readings, %d are taken", len(parts), loadMost))
		return nil
	}
	for _, part := range parts {
		name, value, _ := strings.Cut(part, ":")
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || name == "" || !(f >= 0) || math.IsInf(f, 0) {
			w.fault("util", fmt.Sprintf("%.40q is no reading", part))
			return nil
		}
		all = append(all, Reading{name, f})
	}
	return all
}

// Parse reads a message. The error names the field; Kind and, where they could be read, the other fields are set all the same.
func Parse(v resp.Value) (Message, error) {
	if v.Kind != resp.Array || len(v.Items) == 0 {
		return Message{}, fmt.Errorf("a message is an array that begins with its kind")
	}
	for _, item := range v.Items {
		if item.Kind != resp.Bulk {
			return Message{}, fmt.Errorf("a message is an array of bulk strings")
		}
	}
	w := &words{kind: Kind(v.Items[0].Text), fields: make(map[string]string, len(v.Items)/2)}
	rest := v.Items[1:]
	for i := 0; i+1 < len(rest); i += 2 {
		if _, twice := w.fields[rest[i].Text]; twice {
			w.fault(clip(rest[i].Text), "is given twice")
		}
		w.fields[rest[i].Text] = rest[i+1].Text
	}
	m := Message{Kind: w.kind}
	if len(rest)%2 > 0 && w.kind != Collector && w.kind != Ping {
		w.fault(clip(rest[len(rest)-1].Text), "has no value")
	}
	switch w.kind {
	case Ping:
	case Collector:
		m.Zone = w.text("site")
	case Joined:
		m.Proxy, m.Zone, m.ExpectedRate, m.OnStandingTable = w.whole("id", math.MaxUint16), w.text("site"), w.number("rps", rateMost), w.yes("new")
	case Applied:
		m.Proxy, m.AckSequence = w.whole("id", math.MaxUint16), uint32(w.whole("seq", math.MaxUint16))
		w.span("ms")
	case Heard:
		m.Zone, m.Replica, m.MeanLatency, m.Window, m.Readings = w.text("site"), w.text("target"), w.span("mean"), w.span("over"), w.load()
		if m.Attempts, m.Errors = w.counts(); m.Errors > m.Attempts {
			w.fault("fail", fmt.Sprintf("%d of %d", m.Errors, m.Attempts))
		}
		if m.Window == 0 {
			w.fault("over", "is 0")
		}
	case Usage:
		m.Proxy, m.Operation, m.Window = w.whole("id", math.MaxUint16), w.text("lane"), w.span("over")
		m.Attempts, m.Errors = w.counts()
	default:
		return Message{}, fmt.Errorf("%.40q is no kind of message that a governor reads", string(w.kind))
	}
	return m, w.err
}

func clip(text string) string { return text[:min(len(text), 40)] }

// AppendPong writes the answer to a ping.
func AppendPong(b []byte) []byte { return resp.AppendCommand(b, string(Pong)) }

// AppendRefused writes what a client is told that is not served.
func AppendRefused(b []byte, why string) []byte {
	return resp.AppendCommand(b, string(Refused), "why", clip(why))
}

// Entry is a replica's weight in a table; 0 takes it out.
type Entry struct {
	Replica string
	Weight  float64
}

// Quota is the share of an operation that is let in, and the way of trying again.
type Quota struct {
	Operation   string // empty: of all
	Share       float64
	RetryPolicy model.RetryPolicy
}

// Update is one message to a proxy: all of it counts as one in the channel.
type Update struct {
	Full                  bool // Lines are the whole table, and levels are forgotten
	Entries               []Entry
	OperationTables       []OperationTable // tables for some operations each
	Quotas                []Quota
	Withdrawn, Readmitted []string
	AckSequence           int // to be answered; -1: none
}

// OperationTable is a table, or a change of it, for some operations.
type OperationTable struct {
	Operations []string
	Full       bool
	Entries    []Entry
}

// lineMost bounds a part's lists: a part of a message is far below the 1 MiB that fits.
const lineMost = 2000

// Append writes an update in as many parts as its tables and levels need: a level is meant for the part's operations, and so is its table.
// Errors are lists that do not fit.
func (u *Update) Append(b []byte) ([]byte, error) {
	if slices.ContainsFunc(u.OperationTables, func(p OperationTable) bool { return len(p.Entries) > lineMost }) || len(u.OperationTables) > 2 || len(u.Entries) > lineMost || len(u.Withdrawn) > lineMost || len(u.Readmitted) > lineMost || len(u.Quotas) > 32 {
		return b, fmt.Errorf("update: %d lines, %d out, %d back and %d levels do not fit a message", len(u.Entries), len(u.Withdrawn), len(u.Readmitted), len(u.Quotas))
	}
	var parts [][]string
	var first []string
	if u.Full {
		first = append(first, "whole", "1")
	}
	if len(u.Entries) > 0 {
		first = append(first, "lines", pairs(u.Entries))
	}
	if len(u.Withdrawn) > 0 {
		first = append(first, "out", strings.Join(u.Withdrawn, ","))
	}
	if len(u.Readmitted) > 0 {
		first = append(first, "back", strings.Join(u.Readmitted, ","))
	}
	if len(first) > 0 {
		parts = append(parts, first)
	}
	for _, p := range u.OperationTables {
		part := []string{"classes", strings.Join(p.Operations, "+")}
		if p.Full {
			part = append(part, "whole", "1")
		}
		if len(p.Entries) > 0 {
			part = append(part, "lines", pairs(p.Entries))
		}
		parts = append(parts, part)
	}
	for _, l := range u.Quotas {
		part := []string{"level", number(l.Share), "retry", strconv.Itoa(int(l.RetryPolicy))}
		if l.Operation != "" {
			part = append([]string{"classes", l.Operation}, part...)
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	if last := len(parts) - 1; u.AckSequence >= 0 {
		parts[last] = append(parts[last], "ticket", strconv.Itoa(u.AckSequence))
	}
	for i, part := range parts {
		if i < len(parts)-1 {
			part = append(part, "more", "1")
		}
		b = resp.AppendCommand(b, append([]string{"update"}, part...)...)
	}
	return b, nil
}

func pairs(lines []Entry) string {
	var s strings.Builder
	for i, l := range lines {
		if i > 0 {
			s.WriteByte(',')
		}
		s.WriteString(l.Replica)
		s.WriteByte(':')
		s.WriteString(number(l.Weight))
	}
	return s.String()
}

// number writes a figure shortly, without an exponent: weights and shares need no more than five places.
func number(f float64) string {
	text := strconv.FormatFloat(f, 'f', 5, 64)
	text = strings.TrimRight(text, "0")
	if text = strings.TrimSuffix(text, "."); f > 0 && text == "0" {
		return "0.00001" // above 0 is a line, 0 takes it out
	}
	return text
}

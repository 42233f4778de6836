// Package tablewire is the channel's vocabulary on RESP3: what a governor pushes to a forwarder, and what a
// forwarder says. It turns values of package resp into plain ones and back, and checks them.
//
// A governor pushes one kind of thing, a Message. Its version is the governor's, its Prev the version of the
// message sent to this forwarder before: where Prev is not what the forwarder holds, something is missing and
// it asks for a snapshot (RESYNC). Life grows with each start of the governor; nothing of an earlier life is
// taken for the present one. docs/channel.md is the page for writers of forwarders.
package pubsubmsg

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Entry is a replica in a table with its weight, 0 to remove it.
type Entry struct {
	Replica model.ReplicaID
	Weight  float64
}

// Withdrawal says that a replica is out of every table, or back.
type Withdrawal struct {
	Replica   model.ReplicaID
	Withdrawn bool
}

// Quota is the share of some operations (a bit each) that is let in, and when to try another replica.
type Quota struct {
	Operations  uint16
	Share       float64
	RetryPolicy model.RetryPolicy
}

// Message is one push: a change of what the forwarder holds, or (Whole) all of it anew.
type Message struct {
	Full                     bool
	Incarnation              uint64
	PreviousVersion, Version uint64
	UpdatedAt                model.Microseconds // the governor's clock when it was ordered, microseconds since 1970
	Cost                     int                // lines that it counts in the channel's queue
	AckSequence              int                // number to acknowledge; -1: none is asked for
	Bound                    bool               // Whole only: the forwarder is on a table of the governor's; else it keeps its own
	Table                    model.TableID
	Entries                  []Entry
	Withdrawals              []Withdrawal
	Quotas                   []Quota
	Epoch                    uint64 // of the forwarder's part, where governors share the fleet out; 0: they don't
}

// Address is a replica's id in text.
func Address(r model.ReplicaID) string {
	return netip.AddrPortFrom(netip.AddrFrom4(r.Addr), r.Port).String()
}

// ParseAddress reads an IPv4 address and port.
func ParseAddress(text string) (model.ReplicaID, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return model.ReplicaID{}, fmt.Errorf("%.60q is no IPv4 address with a port", text)
	}
	return model.ReplicaID{Addr: a.Addr().As4(), Port: a.Port()}, nil
}

// Append writes a message as a push.
func Append(b []byte, m *Message) []byte {
	b = resp.AppendHead(b, resp.Push, 13)
	if m.Full {
		b = resp.AppendBulk(b, "snapshot")
	} else {
		b = resp.AppendBulk(b, "change")
	}
	for _, n := range [...]int64{int64(m.Incarnation), int64(m.PreviousVersion), int64(m.Version), int64(m.UpdatedAt), int64(m.Cost),
		int64(m.AckSequence)} {
		b = resp.AppendInt(b, n)
	}
	b = resp.AppendBool(b, m.Bound)
	b = resp.AppendInt(b, int64(m.Table))
	b = resp.AppendHead(b, resp.Array, 2*len(m.Entries))
	for _, l := range m.Entries {
		b = resp.AppendDouble(resp.AppendBulk(b, Address(l.Replica)), l.Weight)
	}
	b = resp.AppendHead(b, resp.Array, 2*len(m.Withdrawals))
	for _, s := range m.Withdrawals {
		b = resp.AppendBool(resp.AppendBulk(b, Address(s.Replica)), s.Withdrawn)
	}
	b = resp.AppendHead(b, resp.Array, 3*len(m.Quotas))
	for _, l := range m.Quotas {
		b = resp.AppendDouble(resp.AppendInt(b, int64(l.Operations)), l.Share)
		b = resp.AppendInt(b, int64(l.RetryPolicy))
	}
	return resp.AppendInt(b, int64(m.Epoch))
}

// IsMessage tells a table message from other pushes.
func IsMessage(v resp.Value) bool {
	return v.Kind == resp.Push && len(v.Items) > 0 && (v.Items[0].Text == "snapshot" || v.Items[0].Text == "change")
}

// Parse reads a push that IsMessage.
func Parse(v resp.Value) (*Message, error) {
	if !IsMessage(v) || len(v.Items) != 13 || v.Items[12].Int < 0 {
		return nil, fmt.Errorf("a table message has 13 values, this push %d", len(v.Items))
	}
	var n [7]int64
	for i := range n[1:] {
		if v.Items[i+1].Kind != resp.Number || v.Items[i+1].Int < -1 {
			return nil, fmt.Errorf("value %d of a table message is no number from 0", i+1)
		}
		n[i+1] = v.Items[i+1].Int
	}
	m := &Message{Full: v.Items[0].Text == "snapshot", Incarnation: uint64(n[1]), PreviousVersion: uint64(n[2]), Version: uint64(n[3]),
		UpdatedAt: model.Microseconds(n[4]), Cost: int(n[5]), AckSequence: int(n[6]), Bound: v.Items[7].Bool,
		Table: model.TableID(v.Items[8].Int), Epoch: uint64(v.Items[12].Int)}
	lines, shuts, levels := v.Items[9].Items, v.Items[10].Items, v.Items[11].Items
	if len(lines)%2+len(shuts)%2+len(levels)%3 > 0 {
		return nil, fmt.Errorf("lines, shuts or levels of a table message do not come in twos and threes")
	}
	for i := 0; i < len(lines); i += 2 {
		r, err := ParseAddress(lines[i].Text)
		if w := lines[i+1].Float; err != nil || !(w >= 0) || math.IsInf(w, 0) {
			return nil, fmt.Errorf("line %d of a table: %v, weight %v", i/2, err, w)
		}
		m.Entries = append(m.Entries, Entry{r, lines[i+1].Float})
	}
	for i := 0; i < len(shuts); i += 2 {
		r, err := ParseAddress(shuts[i].Text)
		if err != nil {
			return nil, err
		}
		m.Withdrawals = append(m.Withdrawals, Withdrawal{r, shuts[i+1].Bool})
	}
	for i := 0; i < len(levels); i += 3 {
		l := Quota{uint16(levels[i].Int), levels[i+1].Float, model.RetryPolicy(levels[i+2].Int)}
		if !(l.Share >= 0) || l.RetryPolicy > model.RetryTwiceOnAnyFailure {
			return nil, fmt.Errorf("level %d: share %v, way %d", i/3, l.Share, l.RetryPolicy)
		}
		m.Quotas = append(m.Quotas, l)
	}
	return m, nil
}

// Join is a forwarder's first word: JOIN name zone rate fresh life version epoch. The epoch may be left out.
type Join struct {
	Name                 string
	Zone                 string
	ExpectedRate         float64 // invocations a second that it usually receives
	OnStandingTable      bool    // it holds its standing table only
	Incarnation, Version uint64  // what it holds, of this governor; 0: nothing
	Epoch                uint64  // the newest that it has seen; 0: none
}

// MaxNameLength bounds names, in bytes.
const MaxNameLength = 128

// AppendJoin writes the command.
func AppendJoin(b []byte, j Join) []byte {
	fresh := "0"
	if j.OnStandingTable {
		fresh = "1"
	}
	return resp.AppendCommand(b, "JOIN", j.Name, j.Zone, strconv.FormatFloat(j.ExpectedRate, 'g', -1, 64), fresh,
		strconv.FormatUint(j.Incarnation, 10), strconv.FormatUint(j.Version, 10), strconv.FormatUint(j.Epoch, 10))
}

// ParseJoin reads the command's words after its name.
func ParseJoin(words []resp.Value) (j Join, err error) {
	if len(words) != 6 && len(words) != 7 {
		return j, fmt.Errorf("JOIN takes name, zone, rate, fresh, life, version and epoch; %d words came", len(words))
	}
	j.Name, j.Zone, j.OnStandingTable = words[0].Word(), words[1].Word(), words[3].Word() == "1"
	if j.Name == "" || len(j.Name) > MaxNameLength {
		return j, fmt.Errorf("JOIN: a name has 1 to %d bytes", MaxNameLength)
	}
	if j.ExpectedRate, err = strconv.ParseFloat(words[2].Word(), 64); err != nil || !(j.ExpectedRate >= 0) || j.ExpectedRate > 1e9 {
		return j, fmt.Errorf("JOIN: %.40q is no rate", words[2].Word())
	}
	if j.Incarnation, err = strconv.ParseUint(words[4].Word(), 10, 63); err != nil {
		return j, fmt.Errorf("JOIN: %.40q is no life's number", words[4].Word())
	}
	if j.Version, err = strconv.ParseUint(words[5].Word(), 10, 63); err != nil {
		return j, fmt.Errorf("JOIN: %.40q is no version", words[5].Word())
	}
	if len(words) == 7 {
		if j.Epoch, err = strconv.ParseUint(words[6].Word(), 10, 63); err != nil {
			return j, fmt.Errorf("JOIN: %.40q is no epoch", words[6].Word())
		}
	}
	return j, nil
}

// Ack acknowledges a message and all before it: ACK life version receipt.
type Ack struct {
	Incarnation, Version uint64
	Sequence             int // -1: the message asked for none
}

// AppendAck writes the command.
func AppendAck(b []byte, a Ack) []byte {
	return resp.AppendCommand(b, "ACK", strconv.FormatUint(a.Incarnation, 10), strconv.FormatUint(a.Version, 10),
		strconv.Itoa(a.Sequence))
}

// ParseAck reads the command's words after its name.
func ParseAck(words []resp.Value) (a Ack, err error) {
	if len(words) != 3 {
		return a, fmt.Errorf("ACK takes life, version and receipt; %d words came", len(words))
	}
	var err1, err2, err3 error
	a.Incarnation, err1 = strconv.ParseUint(words[0].Word(), 10, 63)
	a.Version, err2 = strconv.ParseUint(words[1].Word(), 10, 63)
	a.Sequence, err3 = strconv.Atoi(words[2].Word())
	if err1 != nil || err2 != nil || err3 != nil {
		return a, fmt.Errorf("ACK takes three numbers")
	}
	return a, nil
}

// LoadReports is what a forwarder met since its last report: SUMS number span replica tries errored latency reports ...
// Number counts a forwarder's reports within its stream from 1: one that came before is dropped.
type LoadReports struct {
	Sequence uint64
	Window   model.Microseconds
	Reports  []model.LoadReport // Zone and Span are left to the receiver
}

// reportMost bounds the figures of one load report.
const reportMost = 4

// AppendLoadReports writes the command; latency is in microseconds, a report a comma-separated list.
func AppendLoadReports(b []byte, s LoadReports) []byte {
	b = resp.AppendHead(b, resp.Array, 3+5*len(s.Reports))
	b = resp.AppendBulk(b, "SUMS")
	b = resp.AppendInt(resp.AppendInt(b, int64(s.Sequence)), int64(s.Window))
	for _, one := range s.Reports {
		b = resp.AppendBulk(b, Address(one.Replica))
		b = resp.AppendInt(resp.AppendInt(b, int64(one.Attempts)), int64(one.Errors))
		b = resp.AppendInt(b, int64(one.MeanLatency))
		b = resp.AppendHead(b, resp.Array, len(one.Readings))
		for _, f := range one.Readings {
			b = resp.AppendDouble(b, f)
		}
	}
	return b
}

// ParseLoadReports reads the command's words after its name; numbers may come as numbers or as text.
func ParseLoadReports(words []resp.Value) (s LoadReports, err error) {
	if len(words) < 2 || (len(words)-2)%5 != 0 {
		return s, fmt.Errorf("SUMS takes number, span and five values a replica; %d words came", len(words))
	}
	number := func(v resp.Value) (n int64) {
		if v.Kind == resp.Number {
			return v.Int
		}
		n, e := strconv.ParseInt(v.Word(), 10, 64)
		if e != nil {
			err = fmt.Errorf("SUMS: %.40q is no number", v.Word())
		}
		return n
	}
	s.Sequence, s.Window = uint64(number(words[0])), model.Microseconds(number(words[1]))
	for k := 2; k < len(words); k += 5 {
		one := model.LoadReport{Attempts: int(number(words[k+1])), Errors: int(number(words[k+2])), MeanLatency: model.Microseconds(number(words[k+3]))}
		r, e := ParseAddress(words[k].Word())
		if e != nil {
			return s, fmt.Errorf("SUMS: %w", e)
		}
		one.Replica = r
		if len(words[k+4].Items) > reportMost {
			return s, fmt.Errorf("SUMS: a load report of %d figures, %d are taken", len(words[k+4].Items), reportMost)
		}
		for _, f := range words[k+4].Items {
			one.Readings = append(one.Readings, f.Float)
		}
		if err == nil && (one.Attempts < 0 || one.Errors < 0 || one.Errors > one.Attempts || one.MeanLatency < 0) {
			err = fmt.Errorf("SUMS: %s has %d tries, %d errored, %d us", words[k].Word(), one.Attempts, one.Errors, one.MeanLatency)
		}
		s.Reports = append(s.Reports, one)
	}
	if err == nil && (s.Window <= 0 || s.Window > model.Microseconds(3600)*model.Second) {
		err = fmt.Errorf("SUMS: a span of %d us", s.Window)
	}
	return s, err
}

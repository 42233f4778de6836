package pubsubmsg

import (
	"math"
	"reflect"
	"testing"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// parsed reads one value back from bytes.
func parsed(t *testing.T, b []byte) (got resp.Value) {
	t.Helper()
	n := 0
	err := resp.NewReader(resp.Limits{}).Feed(b, func(v resp.Value) error { got, n = v, n+1; return nil })
	if err != nil || n != 1 {
		t.Fatalf("%d values: %v", n, err)
	}
	return got
}

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 5000} }

func TestEachComesBackAsItWas(t *testing.T) {
	m := &Message{Full: true, Incarnation: 3, PreviousVersion: 7, Version: 9, UpdatedAt: 1_790_000_000_000_000, Cost: 14, AckSequence: 65535,
		Bound: true, Table: 65534, Entries: []Entry{{id(1), 0.1 + 0.2}, {id(2), 0}}, Withdrawals: []Withdrawal{{id(3), true}},
		Quotas: []Quota{{1, 0.25, model.RetryIfNotExecuted}, {2, math.MaxFloat32, model.RetryNever}}, Epoch: 1 << 40}
	if got, err := Parse(parsed(t, Append(nil, m))); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("%+v, %v", got, err)
	}
	j := Join{Name: "till 7", Zone: "govan", ExpectedRate: 3.25, OnStandingTable: true, Incarnation: 4, Version: 5, Epoch: 6}
	if got, err := ParseJoin(parsed(t, AppendJoin(nil, j)).Items[1:]); err != nil || got != j {
		t.Fatalf("%+v, %v", got, err)
	}
	a := Ack{Incarnation: 4, Version: 5, Sequence: -1}
	if got, err := ParseAck(parsed(t, AppendAck(nil, a)).Items[1:]); err != nil || got != a {
		t.Fatalf("%+v, %v", got, err)
	}
	s := LoadReports{Sequence: 2, Window: model.Second, Reports: []model.LoadReport{
		{Replica: id(1), Attempts: 4, Errors: 1, MeanLatency: 1500, Readings: []float64{0.5}}, {Replica: id(2), Attempts: 1}}}
	if got, err := ParseLoadReports(parsed(t, AppendLoadReports(nil, s)).Items[1:]); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestWhatIsNotTaken(t *testing.T) {
	word := func(text string) resp.Value { return resp.Value{Kind: resp.Bulk, Text: text} }
	words := func(texts ...string) (all []resp.Value) {
		for _, text := range texts {
			all = append(all, word(text))
		}
		return all
	}
	for name, err := range map[string]error{
		"a join without a name":        second(ParseJoin(words("", "govan", "1", "1", "0", "0"))),
		"a rate that is no number":     second(ParseJoin(words("a", "govan", "NaN", "1", "0", "0"))),
		"a join cut short":             second(ParseJoin(words("a", "govan"))),
		"a life below nothing":         second(ParseAck(words("-1", "0", "0"))),
		"sums with a replica cut":      second(ParseLoadReports(words("1", "1000", "127.0.0.1:1", "1"))),
		"more errors than tries":       second(ParseLoadReports(append(words("1", "1000", "127.0.0.1:1", "1", "2", "0"), resp.Value{}))),
		"a replica without a port":     second(ParseLoadReports(append(words("1", "1000", "127.0.0.1", "1", "0", "0"), resp.Value{}))),
		"a span of nothing":            second(ParseLoadReports(words("1", "0"))),
		"a push of another kind":       second(Parse(resp.Value{Kind: resp.Push, Items: words("message", "tables", "{}")})),
		"a table message cut short":    second(Parse(resp.Value{Kind: resp.Push, Items: words("change", "1")})),
		"a weight below nothing":       second(Parse(parsed(t, Append(nil, &Message{Entries: []Entry{{id(1), -1}}})))),
		"a way that is none of four":   second(Parse(parsed(t, Append(nil, &Message{Quotas: []Quota{{1, 1, 9}}})))),
		"a share that is not a number": second(Parse(parsed(t, Append(nil, &Message{Quotas: []Quota{{1, math.NaN(), 1}}})))),
	} {
		if err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}

func second[T any](_ T, err error) error { return err }

func FuzzCommands(f *testing.F) {
	f.Add(AppendLoadReports(nil, LoadReports{Sequence: 1, Window: 1, Reports: []model.LoadReport{{Replica: id(1), Attempts: 1, Readings: []float64{1}}}}))
	f.Add(AppendJoin(nil, Join{Name: "a", Zone: "b"}))
	f.Add(Append(nil, &Message{Entries: []Entry{{id(1), 1}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_ = resp.NewReader(resp.Limits{}).Feed(b, func(v resp.Value) error {
			if m, err := Parse(v); err == nil {
				if again, err := Parse(parsed(t, Append(nil, m))); err != nil || again.Version != m.Version || len(again.Entries) != len(m.Entries) {
					t.Fatalf("%+v came back as %+v, %v", m, again, err)
				}
			}
			if len(v.Items) > 0 {
				_, _ = ParseJoin(v.Items[1:])
				_, _ = ParseAck(v.Items[1:])
				if s, err := ParseLoadReports(v.Items[1:]); err == nil && s.Window <= 0 {
					t.Fatal("sums over no time are taken")
				}
			}
			return nil
		})
	})
}

package pubsubmsg

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// decodeOne decodes bytes that contain exactly one RESP value.
func decodeOne(t *testing.T, encoded []byte) resp.Value {
	t.Helper()
	var values []resp.Value
	collect := func(value resp.Value) error {
		values = append(values, value)
		return nil
	}
	err := resp.NewReader(resp.Limits{}).Feed(encoded, collect)
	if err != nil || len(values) != 1 {
		t.Fatalf("decoded %d values, error %v; want one value", len(values), err)
	}
	return values[0]
}

// arguments returns texts as the arguments of a command.
func arguments(texts ...string) []resp.Value {
	var values []resp.Value
	for _, text := range texts {
		values = append(values, resp.Value{Kind: resp.BulkString, Text: text})
	}
	return values
}

// replicaID returns the id of 127.0.0.n:5000.
func replicaID(n byte) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 5000}
}

// errorOf returns the error of a parse function and discards the result.
func errorOf[T any](_ T, err error) error {
	return err
}

func TestMessageIsUnchangedAfterEncodingAndParsing(t *testing.T) {
	want := &Message{
		Full: true, Incarnation: 3, PreviousVersion: 7, Version: 9, UpdatedAt: 1_790_000_000_000_000, Cost: 14,
		AckSequence: 65535, Bound: true, Table: 65534, Epoch: 1 << 40,
		Entries:     []Entry{{replicaID(1), 0.1 + 0.2}, {replicaID(2), 0}},
		Withdrawals: []Withdrawal{{replicaID(3), true}},
		Quotas:      []Quota{{1, 0.25, model.RetryIfNotExecuted}, {2, math.MaxFloat32, model.RetryNever}},
	}
	if got, err := Parse(decodeOne(t, Append(nil, want))); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("parsed as %+v, error %v", got, err)
	}
}

func TestJoinIsUnchangedAfterEncodingAndParsing(t *testing.T) {
	want := Join{
		Name: "till 7", Zone: "govan", ExpectedRate: 3.25, OnStandingTable: true,
		Incarnation: 4, Version: 5, Epoch: 6,
	}
	if got, err := ParseJoin(decodeOne(t, AppendJoin(nil, want)).Items[1:]); err != nil || got != want {
		t.Fatalf("parsed as %+v, error %v", got, err)
	}
}

func TestAckIsUnchangedAfterEncodingAndParsing(t *testing.T) {
	want := Ack{Incarnation: 4, Version: 5, Sequence: -1}
	if got, err := ParseAck(decodeOne(t, AppendAck(nil, want)).Items[1:]); err != nil || got != want {
		t.Fatalf("parsed as %+v, error %v", got, err)
	}
}

func TestLoadReportsAreUnchangedAfterEncodingAndParsing(t *testing.T) {
	want := LoadReports{Sequence: 2, Window: model.Second, Reports: []model.LoadReport{
		{Replica: replicaID(1), Attempts: 4, Errors: 1, MeanLatency: 1500, Readings: []float64{0.5}},
		{Replica: replicaID(2), Attempts: 1},
	}}
	got, err := ParseLoadReports(decodeOne(t, AppendLoadReports(nil, want)).Items[1:])
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("parsed as %+v, error %v", got, err)
	}
}

// parseEncoded encodes a message that may be invalid and parses it.
func parseEncoded(t *testing.T, message *Message) error {
	t.Helper()
	return errorOf(Parse(decodeOne(t, Append(nil, message))))
}

func TestMalformedInputIsRejected(t *testing.T) {
	report := func(texts ...string) error {
		return errorOf(ParseLoadReports(append(arguments(texts...), resp.Value{})))
	}
	push := func(texts ...string) error {
		return errorOf(Parse(resp.Value{Kind: resp.Push, Items: arguments(texts...)}))
	}
	tests := map[string]struct {
		err   error
		field string
	}{
		"JOIN without a name":          {errorOf(ParseJoin(arguments("", "govan", "1", "1", "0", "0"))), "name"},
		"a rate that is no number":     {errorOf(ParseJoin(arguments("a", "govan", "NaN", "1", "0", "0"))), "rate"},
		"JOIN with missing arguments":  {errorOf(ParseJoin(arguments("a", "govan"))), ""},
		"a negative incarnation":       {errorOf(ParseAck(arguments("-1", "0", "0"))), "incarnation"},
		"SUMS with missing arguments":  {errorOf(ParseLoadReports(arguments("1", "1000", "127.0.0.1:1", "1"))), ""},
		"more errors than attempts":    {report("1", "1000", "127.0.0.1:1", "1", "2", "0"), "report"},
		"a replica without a port":     {report("1", "1000", "127.0.0.1", "1", "0", "0"), "replica"},
		"an empty window":              {errorOf(ParseLoadReports(arguments("1", "0"))), "window"},
		"a push of another kind":       {push("message", "tables", "{}"), ""},
		"a message with one value":     {push("change", "1"), ""},
		"a negative weight":            {parseEncoded(t, &Message{Entries: []Entry{{replicaID(1), -1}}}), "entry"},
		"an unknown retry policy":      {parseEncoded(t, &Message{Quotas: []Quota{{1, 1, 9}}}), "quota"},
		"a share that is not a number": {parseEncoded(t, &Message{Quotas: []Quota{{1, math.NaN(), 1}}}), "quota"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.err == nil {
				t.Fatal("got no error, want one")
			}
			var parseError *ParseError
			if !errors.As(test.err, &parseError) || parseError.Field != test.field {
				t.Errorf("error %#v, want a ParseError of field %q", test.err, test.field)
			}
		})
	}
}

// TestParseLoadReportsReturnsErrorOfHighestPrecedence checks which of several errors is sent to a proxy.
func TestParseLoadReportsReturnsErrorOfHighestPrecedence(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		field     string
	}{
		"the last malformed number":            {[]string{"x", "y"}, "window"},
		"a malformed address before a number":  {[]string{"x", "1", "localhost", "1", "0", "0", ""}, "replica"},
		"a malformed number before the window": {[]string{"x", "0"}, "sequence"},
		"a malformed number after a bad report": {
			[]string{"1", "1", "127.0.0.1:1", "1", "2", "0", "", "127.0.0.1:2", "1", "0", "x", ""}, "latency",
		},
		"a malformed number before a bad report": {[]string{"1", "x", "127.0.0.1:1", "1", "2", "0", ""}, "window"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseLoadReports(arguments(test.arguments...))
			var parseError *ParseError
			if !errors.As(err, &parseError) || parseError.Field != test.field {
				t.Errorf("error %v, want a ParseError of field %q", err, test.field)
			}
		})
	}
}

// FuzzParse checks that a parsed message keeps its version and its number of entries when it is encoded and parsed
// again, and that parsing a command never panics.
func FuzzParse(f *testing.F) {
	f.Add(AppendLoadReports(nil, LoadReports{Sequence: 1, Window: 1, Reports: []model.LoadReport{
		{Replica: replicaID(1), Attempts: 1, Readings: []float64{1}},
	}}))
	f.Add(AppendJoin(nil, Join{Name: "a", Zone: "b"}))
	f.Add(Append(nil, &Message{Entries: []Entry{{replicaID(1), 1}}}))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		_ = resp.NewReader(resp.Limits{}).Feed(encoded, func(value resp.Value) error {
			checkRoundTrip(t, value)
			if len(value.Items) == 0 {
				return nil
			}
			_, _ = ParseJoin(value.Items[1:])
			_, _ = ParseAck(value.Items[1:])
			if reports, err := ParseLoadReports(value.Items[1:]); err == nil && reports.Window <= 0 {
				t.Fatal("load reports with a window of 0 or less are accepted")
			}
			return nil
		})
	})
}

// checkRoundTrip parses a value. If the value is a message, it checks that the message keeps its version and its
// number of entries when it is encoded and parsed again.
func checkRoundTrip(t *testing.T, value resp.Value) {
	t.Helper()
	message, err := Parse(value)
	if err != nil {
		return
	}
	decodedAgain, err := Parse(decodeOne(t, Append(nil, message)))
	if err != nil || decodedAgain.Version != message.Version || len(decodedAgain.Entries) != len(message.Entries) {
		t.Fatalf("%+v after encoding and parsing: %+v, error %v", message, decodedAgain, err)
	}
}

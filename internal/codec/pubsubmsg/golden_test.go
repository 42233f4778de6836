package pubsubmsg

import (
	"math"
	"reflect"
	"testing"

	"peppervale/internal/codec/goldentest"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

var goldenSnapshot = Message{
	Full: true, Incarnation: 3, PreviousVersion: 7, Version: math.MaxInt64, UpdatedAt: 1_790_000_000_000_001, Cost: 14,
	AckSequence: 65535, Bound: true, Table: 65534, Epoch: 1 << 40,
	Entries: []Entry{
		{replicaID(1), 0.30000000000000004},
		{replicaID(2), 0},
		{replicaID(3), math.MaxFloat64},
		{replicaID(4), math.SmallestNonzeroFloat64},
	},
	Withdrawals: []Withdrawal{{replicaID(5), true}, {replicaID(6), false}},
	Quotas: []Quota{
		{1, 0.25, model.RetryNever},
		{2, 1, model.RetryIfNotExecuted},
		{4, 2, model.RetryOnAnyFailure},
		{65535, math.MaxFloat32, model.RetryTwiceOnAnyFailure},
	},
}

var goldenChange = Message{
	Incarnation: 4, PreviousVersion: 8, Version: 9, UpdatedAt: 1, Cost: 1, AckSequence: -1, Table: 2, Epoch: 5,
	Entries:     []Entry{{replicaID(7), 1.5}},
	Withdrawals: []Withdrawal{{replicaID(8), true}},
	Quotas:      []Quota{{3, 0.5, model.RetryOnAnyFailure}},
}

var goldenJoin = Join{
	Name: "till 7", Zone: "govan", ExpectedRate: 3.25, OnStandingTable: true,
	Incarnation: 4, Version: math.MaxInt64, Epoch: 6,
}

var goldenAck = Ack{Incarnation: 4, Version: 5, Sequence: 65535}

var goldenLoadReports = LoadReports{Sequence: 2, Window: 3600 * model.Second, Reports: []model.LoadReport{
	{
		Replica: replicaID(1), Attempts: 4, Errors: 3, MeanLatency: 1500,
		Readings: []float64{0.5, 0.30000000000000004, 1e300, 1},
	},
	{Replica: replicaID(2), Attempts: 1, Errors: 1, MeanLatency: 2, Readings: []float64{7}},
}}

func TestMessagesMatchGoldenFiles(t *testing.T) {
	for file, message := range map[string]Message{"snapshot.resp": goldenSnapshot, "change.resp": goldenChange} {
		goldentest.Check(t, file, Append(nil, &message))
		got, err := Parse(decodeOne(t, goldentest.Read(t, file)))
		if err != nil || !reflect.DeepEqual(*got, message) {
			t.Errorf("%s: parsed as %+v, error %v", file, got, err)
		}
	}
}

func TestJoinMatchesGoldenFile(t *testing.T) {
	goldentest.Check(t, "join.resp", AppendJoin(nil, goldenJoin))
	words := decodeOne(t, goldentest.Read(t, "join.resp")).Items[1:]
	if got, err := ParseJoin(words); err != nil || got != goldenJoin {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
	want := goldenJoin
	want.Epoch = 0
	if got, err := ParseJoin(words[:6]); err != nil || got != want {
		t.Errorf("without an epoch: parsed as %+v, error %v", got, err)
	}
}

func TestAckMatchesGoldenFile(t *testing.T) {
	goldentest.Check(t, "ack.resp", AppendAck(nil, goldenAck))
	if got, err := ParseAck(decodeOne(t, goldentest.Read(t, "ack.resp")).Items[1:]); err != nil || got != goldenAck {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
}

func TestLoadReportsMatchGoldenFile(t *testing.T) {
	goldentest.Check(t, "sums.resp", AppendLoadReports(nil, goldenLoadReports))
	got, err := ParseLoadReports(decodeOne(t, goldentest.Read(t, "sums.resp")).Items[1:])
	if err != nil || !reflect.DeepEqual(got, goldenLoadReports) {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
}

// parseEdited applies an edit to the golden change and parses the result.
func parseEdited(t *testing.T, edit func(items []resp.Value)) error {
	t.Helper()
	value := decodeOne(t, Append(nil, &goldenChange))
	edit(value.Items)
	return errorOf(Parse(value))
}

func TestMessageErrorsMatchGoldenFile(t *testing.T) {
	short := resp.Value{Kind: resp.Push, Items: arguments("change", "1")}
	goldentest.CheckErrors(t, "table-errors.txt", map[string]error{
		"missing values":           errorOf(Parse(short)),
		"string instead of number": parseEdited(t, func(items []resp.Value) { items[3].Kind = resp.BulkString }),
		"incomplete list":          parseEdited(t, func(items []resp.Value) { items[9].Items = items[9].Items[:1] }),
		"address of an entry":      parseEdited(t, func(items []resp.Value) { items[9].Items[0].Text = "localhost:1" }),
		"weight of an entry":       parseEdited(t, func(items []resp.Value) { items[9].Items[1].Float = -0.5 }),
		"address of a withdrawal":  parseEdited(t, func(items []resp.Value) { items[10].Items[0].Text = "127.0.0.1:0" }),
		"share of a quota":         parseEdited(t, func(items []resp.Value) { items[11].Items[1].Float = math.NaN() }),
		"retry policy of a quota":  parseEdited(t, func(items []resp.Value) { items[11].Items[2].Int = 4 }),
	})
}

func TestCommandErrorsMatchGoldenFile(t *testing.T) {
	sums := func(readings int, texts ...string) error {
		values := append(arguments(texts...), resp.Value{Items: make([]resp.Value, readings)})
		return errorOf(ParseLoadReports(values))
	}
	goldentest.CheckErrors(t, "command-errors.txt", map[string]error{
		"join, cut short":     errorOf(ParseJoin(arguments("a", "govan"))),
		"join, name":          errorOf(ParseJoin(arguments("", "govan", "1", "1", "0", "0"))),
		"join, rate":          errorOf(ParseJoin(arguments("a", "govan", "NaN", "1", "0", "0"))),
		"join, life":          errorOf(ParseJoin(arguments("a", "govan", "1", "1", "-1", "0"))),
		"join, version":       errorOf(ParseJoin(arguments("a", "govan", "1", "1", "0", "x"))),
		"join, epoch":         errorOf(ParseJoin(arguments("a", "govan", "1", "1", "0", "0", "x"))),
		"ack, cut short":      errorOf(ParseAck(arguments("1"))),
		"ack, no number":      errorOf(ParseAck(arguments("-1", "0", "0"))),
		"sums, cut short":     errorOf(ParseLoadReports(arguments("1", "1000", "127.0.0.1:1", "1"))),
		"sums, no number":     sums(0, "x", "1000", "127.0.0.1:1", "1", "0", "0"),
		"sums, address":       sums(0, "1", "1000", "127.0.0.1", "1", "0", "0"),
		"sums, report":        sums(5, "1", "1000", "127.0.0.1:1", "1", "0", "0"),
		"sums, errors":        sums(0, "1", "1000", "127.0.0.1:1", "1", "2", "30"),
		"sums, span":          errorOf(ParseLoadReports(arguments("1", "0"))),
		"sums, span too long": errorOf(ParseLoadReports(arguments("1", "3600000001"))),
	})
}

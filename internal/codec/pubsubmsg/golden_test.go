package pubsubmsg

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// pinned gives the bytes of a golden file.
func pinned(t *testing.T, name string) []byte {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// samePinned fails unless the bytes are those of the golden file.
func samePinned(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := pinned(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s:\n%q\nwant\n%q", name, got, want)
	}
}

// samePinnedErrors compares error texts, a line each in the order of their names, with the golden file.
func samePinnedErrors(t *testing.T, name string, errs map[string]error) {
	t.Helper()
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(errs)) {
		if errs[key] == nil {
			t.Errorf("%s is taken", key)
		}
		fmt.Fprintf(&text, "%s: %v\n", key, errs[key])
	}
	samePinned(t, name, []byte(text.String()))
}

var goldenSnapshot = Message{
	Full: true, Incarnation: 3, PreviousVersion: 7, Version: math.MaxInt64, UpdatedAt: 1_790_000_000_000_001, Cost: 14, AckSequence: 65535,
	Bound: true, Table: 65534, Epoch: 1 << 40,
	Entries: []Entry{{id(1), 0.30000000000000004}, {id(2), 0}, {id(3), math.MaxFloat64},
		{id(4), math.SmallestNonzeroFloat64}},
	Withdrawals: []Withdrawal{{id(5), true}, {id(6), false}},
	Quotas: []Quota{{1, 0.25, model.RetryNever}, {2, 1, model.RetryIfNotExecuted}, {4, 2, model.RetryOnAnyFailure},
		{65535, math.MaxFloat32, model.RetryTwiceOnAnyFailure}},
}

var goldenChange = Message{
	Incarnation: 4, PreviousVersion: 8, Version: 9, UpdatedAt: 1, Cost: 1, AckSequence: -1, Table: 2, Epoch: 5,
	Entries: []Entry{{id(7), 1.5}}, Withdrawals: []Withdrawal{{id(8), true}}, Quotas: []Quota{{3, 0.5, model.RetryOnAnyFailure}},
}

var goldenJoin = Join{Name: "till 7", Zone: "govan", ExpectedRate: 3.25, OnStandingTable: true, Incarnation: 4, Version: math.MaxInt64, Epoch: 6}

var goldenAck = Ack{Incarnation: 4, Version: 5, Sequence: 65535}

var goldenSums = LoadReports{Sequence: 2, Window: 3600 * model.Second, Reports: []model.LoadReport{
	{Replica: id(1), Attempts: 4, Errors: 3, MeanLatency: 1500, Readings: []float64{0.5, 0.30000000000000004, 1e300, 1}},
	{Replica: id(2), Attempts: 1, Errors: 1, MeanLatency: 2, Readings: []float64{7}},
}}

func TestGoldenTableMessages(t *testing.T) {
	for file, message := range map[string]Message{"snapshot.resp": goldenSnapshot, "change.resp": goldenChange} {
		samePinned(t, file, Append(nil, &message))
		got, err := Parse(parsed(t, pinned(t, file)))
		if err != nil || !reflect.DeepEqual(*got, message) {
			t.Errorf("%s: read as %+v, %v", file, got, err)
		}
	}
}

func TestGoldenJoin(t *testing.T) {
	samePinned(t, "join.resp", AppendJoin(nil, goldenJoin))
	words := parsed(t, pinned(t, "join.resp")).Items[1:]
	if got, err := ParseJoin(words); err != nil || got != goldenJoin {
		t.Errorf("read as %+v, %v", got, err)
	}
	want := goldenJoin
	want.Epoch = 0
	if got, err := ParseJoin(words[:6]); err != nil || got != want {
		t.Errorf("without an epoch: read as %+v, %v", got, err)
	}
}

func TestGoldenAck(t *testing.T) {
	samePinned(t, "ack.resp", AppendAck(nil, goldenAck))
	if got, err := ParseAck(parsed(t, pinned(t, "ack.resp")).Items[1:]); err != nil || got != goldenAck {
		t.Errorf("read as %+v, %v", got, err)
	}
}

func TestGoldenSums(t *testing.T) {
	samePinned(t, "sums.resp", AppendLoadReports(nil, goldenSums))
	got, err := ParseLoadReports(parsed(t, pinned(t, "sums.resp")).Items[1:])
	if err != nil || !reflect.DeepEqual(got, goldenSums) {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// command gives the words of a command after its name.
func command(texts ...string) (words []resp.Value) {
	for _, text := range texts {
		words = append(words, resp.Value{Kind: resp.Bulk, Text: text})
	}
	return words
}

// spoilt parses the golden change after an edit.
func spoilt(t *testing.T, edit func(items []resp.Value)) error {
	t.Helper()
	value := parsed(t, Append(nil, &goldenChange))
	edit(value.Items)
	return second(Parse(value))
}

func TestGoldenErrorsOfTableMessages(t *testing.T) {
	short := resp.Value{Kind: resp.Push, Items: command("change", "1")}
	samePinnedErrors(t, "table-errors.txt", map[string]error{
		"cut short":          second(Parse(short)),
		"no number":          spoilt(t, func(items []resp.Value) { items[3].Kind = resp.Bulk }),
		"uneven lists":       spoilt(t, func(items []resp.Value) { items[9].Items = items[9].Items[:1] }),
		"a line's address":   spoilt(t, func(items []resp.Value) { items[9].Items[0].Text = "localhost:1" }),
		"a line's weight":    spoilt(t, func(items []resp.Value) { items[9].Items[1].Float = -0.5 }),
		"a replica shut out": spoilt(t, func(items []resp.Value) { items[10].Items[0].Text = "127.0.0.1:0" }),
		"a level's share":    spoilt(t, func(items []resp.Value) { items[11].Items[1].Float = math.NaN() }),
		"a level's way":      spoilt(t, func(items []resp.Value) { items[11].Items[2].Int = 4 }),
	})
}

func TestGoldenErrorsOfCommands(t *testing.T) {
	sums := func(report int, texts ...string) error {
		return second(ParseLoadReports(append(command(texts...), resp.Value{Items: make([]resp.Value, report)})))
	}
	samePinnedErrors(t, "command-errors.txt", map[string]error{
		"join, cut short":     second(ParseJoin(command("a", "govan"))),
		"join, name":          second(ParseJoin(command("", "govan", "1", "1", "0", "0"))),
		"join, rate":          second(ParseJoin(command("a", "govan", "NaN", "1", "0", "0"))),
		"join, life":          second(ParseJoin(command("a", "govan", "1", "1", "-1", "0"))),
		"join, version":       second(ParseJoin(command("a", "govan", "1", "1", "0", "x"))),
		"join, epoch":         second(ParseJoin(command("a", "govan", "1", "1", "0", "0", "x"))),
		"ack, cut short":      second(ParseAck(command("1"))),
		"ack, no number":      second(ParseAck(command("-1", "0", "0"))),
		"sums, cut short":     second(ParseLoadReports(command("1", "1000", "127.0.0.1:1", "1"))),
		"sums, no number":     sums(0, "x", "1000", "127.0.0.1:1", "1", "0", "0"),
		"sums, address":       sums(0, "1", "1000", "127.0.0.1", "1", "0", "0"),
		"sums, report":        sums(5, "1", "1000", "127.0.0.1:1", "1", "0", "0"),
		"sums, errors":        sums(0, "1", "1000", "127.0.0.1:1", "1", "2", "30"),
		"sums, span":          second(ParseLoadReports(command("1", "0"))),
		"sums, span too long": second(ParseLoadReports(command("1", "3600000001"))),
	})
}

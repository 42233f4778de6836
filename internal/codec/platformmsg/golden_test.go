package platformmsg

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/goldentest"
	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// goldenMessages holds a message of each kind that a controller receives, by the name of its golden file.
var goldenMessages = map[string]Message{
	"ping.resp":      {Kind: KindPing},
	"collector.resp": {Kind: KindCollector, Zone: "govan"},
	"joined.resp": {
		Kind: KindProxyJoined, Proxy: math.MaxUint16, Zone: "govan", ExpectedRate: 21.5, OnStandingTable: true,
	},
	"applied.resp": {Kind: KindAcknowledgement, Proxy: 17, AckSequence: math.MaxUint16},
	"heard.resp": {
		Kind: KindLoadReport, Zone: "govan", Replica: "s-5be2a07c", Attempts: maxAttempts, Errors: 3, MeanLatency: 41_700,
		Window: maxDuration, Readings: []Reading{{"inflight", 7}, {"util", 0.61}},
	},
	"usage.resp": {Kind: KindUsage, Proxy: 17, Operation: "lookup", Attempts: 19, Errors: 2, Window: 1_000_500},
}

func TestParsedMessagesMatchGoldenFiles(t *testing.T) {
	for file, want := range goldenMessages {
		values, err := decode(t, goldentest.Read(t, file), MessageLimits)
		if err != nil || len(values) != 1 {
			t.Fatalf("%s: decoded %d values, error %v", file, len(values), err)
		}
		if got, err := Parse(values[0]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: parsed as %+v, error %v", file, got, err)
		}
	}
}

func TestResponsesMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, "pong.resp", AppendPong(nil))
	goldentest.Check(t, "refused.resp", AppendRejection(nil, "a reason longer than the forty bytes that are told"))
}

// goldenUpdate has every field set.
var goldenUpdate = Update{
	Full: true, Entries: []Entry{{"s-1", 0.123456789}, {"s-2", 1e-9}, {"s-3", 0}, {"s-4", 1e9}},
	OperationTables: []OperationTable{
		{Operations: []string{"read", "log"}, Full: true, Entries: []Entry{{"s-5", 1.5}}},
		{Operations: []string{"read"}, Entries: []Entry{{"s-6", 2}}},
	},
	Quotas: []Quota{
		{"read", 0.25, model.RetryIfNotExecuted},
		{"log", 1, model.RetryOnAnyFailure},
		{"", 2, model.RetryTwiceOnAnyFailure},
	},
	Withdrawn:   []string{"s-7", "s-8"},
	Readmitted:  []string{"s-9"},
	AckSequence: 905,
}

func TestUpdatesMatchGoldenFiles(t *testing.T) {
	for file, update := range map[string]Update{"update.resp": goldenUpdate, "empty-update.resp": {AckSequence: -1}} {
		got, err := update.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Check(t, file, got)
	}
}

func TestParsedEndpointListMatchesGoldenFile(t *testing.T) {
	want := &EndpointList{Version: math.MaxUint64, Full: true, SkippedCount: 1, Endpoints: []Endpoint{
		{Name: "s-1", Zone: "govan", Status: model.EndpointDraining, StartedAt: 1_796_152_905_047_500},
		{Name: "s-2", Zone: "partick", Status: model.EndpointReady, StartedAt: 1000},
		{Name: "s-3", Zone: "govan", Status: model.EndpointGone},
	}}
	if got, err := ParseEndpointList(goldentest.Read(t, "list.json")); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
}

func TestMessageErrorsMatchGoldenFile(t *testing.T) {
	errs := map[string]error{}
	for _, line := range []string{
		"collector",
		"joined id 17 site a rps 21.5",
		"joined id 70000 site a rps 1 new 1",
		"joined id 1 site a rps inf new 1",
		"joined id 1 site a rps 1 new 2",
		"joined id 1 id 2 site a rps 1 new 1",
		"joined id 1 site a rps 1 new 1 x",
		"applied id 17 seq 65536 ms 1",
		"applied id 17 seq 5 ms x",
		"heard site a target s count 2 fail 3 mean 1 over 1",
		"heard site a target s count 2 fail 0 mean 1 over 0",
		"heard site a target s count 2 fail 0 mean 1 over 1 util x:-1",
		"heard site a target s count 2 fail 0 mean 1e300 over 1",
		"heard site a target s count 2 fail 0 mean 1 over 1 util " + strings.Repeat("x:1,", 16) + "x:1",
		"usage id 17 lane a count x fail 0 over 1",
		"update whole 1",
	} {
		_, errs[line] = parseLine(t, line)
	}
	_, errs["(no array)"] = Parse(resp.Value{Kind: resp.Number})
	_, errs["(no bulk string)"] = Parse(resp.Value{Kind: resp.Array, Items: []resp.Value{{Kind: resp.Number}}})
	_, errs["(an update too large)"] = (&Update{Entries: make([]Entry, maxEntries+1)}).Append(nil)
	goldentest.CheckJSONErrors(t, "message-errors.txt", errs)
}

func TestEndpointListErrorsMatchGoldenFile(t *testing.T) {
	errs := map[string]error{}
	for _, text := range []string{
		"",
		"[]",
		"{}",
		`{"seq":-1}`,
		`{"seq":1,"hosts":3}`,
		`{"seq":1,"whole":1}`,
		`{"seq":1,"hosts":[{"host":1}]}`,
		`{"seq":1,"hosts":[{"site":1}]}`,
		`{"seq":1,"hosts":[{"health":1}]}`,
		`{"seq":1,"hosts":[{"born_ms":"x"}]}`,
	} {
		_, errs[text] = ParseEndpointList([]byte(text))
	}
	_, errs["(too many)"] = ParseEndpointList([]byte(listTooLong))
	goldentest.CheckJSONErrors(t, "list-errors.txt", errs)
}

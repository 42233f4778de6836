package simulator

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"peppervale/internal/codec/goldentest"
	"peppervale/internal/model"
)

// hexText formats bytes as lines of hexadecimal digits with a record of 24 bytes each.
func hexText(b []byte) []byte {
	var text strings.Builder
	for record := range slices.Chunk(b, actionSize) {
		fmt.Fprintf(&text, "%x\n", record)
	}
	return []byte(text.String())
}

// readGoldenHex returns the bytes of a golden file in hexadecimal digits.
func readGoldenHex(t *testing.T, name string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(string(goldentest.Read(t, name)), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func replicaID(n byte) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{10, 1, 2, n}, Port: 5000 + uint16(n)}
}

// goldenBatch reads the golden frame. It has a record of each code; its tail has settings and two endpoints.
func goldenBatch(t *testing.T) []Event {
	t.Helper()
	batch, err := read(readGoldenHex(t, "batch.hex"))
	if err != nil {
		t.Fatal(err)
	}
	if batch.Clock != 1_234_567 || batch.Number != 0xfedcba98 {
		t.Errorf("wrong header: clock %d, number %d", batch.Clock, batch.Number)
	}
	events := batch.Events()
	codes := make([]byte, 0, len(events))
	for _, event := range events {
		codes = append(codes, event.Code())
	}
	if want := []byte{3, 7, 8, 13, 6, 14, 12, 9, 2}; !bytes.Equal(codes, want) {
		t.Fatalf("codes %v, want %v", codes, want)
	}
	return events
}

func TestEventsMatchGoldenFile(t *testing.T) {
	events := goldenBatch(t)
	seed, text, err := events[0].InstanceStarted()
	if seed != 0xfe429af2f6dae94c || string(text) != `{"zones":["a"]}` || err != nil {
		t.Errorf("instance started: seed %x, settings %q, error %v", seed, text, err)
	}
	update, endpoints, err := events[1].EndpointsChanged()
	want := []model.Endpoint{
		{ID: replicaID(1), Zone: 258, Status: model.EndpointReady, StartedAt: 1_500_250},
		{ID: replicaID(2), Zone: 3, Status: model.EndpointDraining, StartedAt: 7_000},
	}
	if update != model.ChangedEntries || !reflect.DeepEqual(endpoints, want) || err != nil {
		t.Errorf("endpoints changed: update %v, endpoints %+v, error %v", update, endpoints, err)
	}
	if proxy, sequence := events[2].Acknowledged(); proxy != 65534 || sequence != 0x01020304 {
		t.Errorf("acknowledged: proxy %d, sequence %d", proxy, sequence)
	}
	if proxy, zone, rate := events[3].ProxyConnected(); proxy != 513 || zone != 4 || rate != 21.5 {
		t.Errorf("proxy connected: proxy %d, zone %d, rate %v", proxy, zone, rate)
	}
	report := model.LoadReport{
		Zone: 2, Replica: replicaID(3), Attempts: 1 << 31, Errors: 70_000, MeanLatency: 12_500, Window: model.Second,
		Readings: []float64{0.5, 0.25, 7, 1},
	}
	if got := events[4].LoadReport(); !reflect.DeepEqual(got, report) {
		t.Errorf("load report: %+v", got)
	}
	if proxy, target := events[5].ProxyDisconnected(), events[8].TargetInstance(); proxy != 772 || target != 9 {
		t.Errorf("disconnected proxy %d, target instance %d", proxy, target)
	}
}

// goldenEvent encodes a record and pads it to its full size.
func goldenEvent(code byte, fields ...any) []byte {
	record := []byte{code}
	for _, field := range fields {
		record, _ = binary.Append(record, binary.LittleEndian, field)
	}
	return append(record, make([]byte, eventSize-len(record))...)
}

// goldenEndpoint encodes an endpoint.
func goldenEndpoint(id model.ReplicaID, zone uint16, status byte, startedAt float64) []byte {
	entry, _ := binary.Append(id.Addr[:], binary.LittleEndian, []uint16{id.Port, zone})
	entry = append(entry, 0, 0, 0, status, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint64(entry, math.Float64bits(startedAt))
}

// TestEncodedFrameMatchesGoldenFile encodes the golden frame from its values, so that the source documents the content
// of the file.
func TestEncodedFrameMatchesGoldenFile(t *testing.T) {
	hello := `{"zones":["a"]}`
	tail := append([]byte(hello), goldenEndpoint(replicaID(1), 258, 1, 1500.25)...)
	tail = append(tail, goldenEndpoint(replicaID(2), 3, 2, 7)...)
	address := []byte{10, 1, 2, 3, 0x8b, 0x13}
	records := slices.Concat(
		goldenEvent(3, uint64(0xfe429af2f6dae94c), uint32(0), uint32(len(hello))),
		goldenEvent(7, byte(1), uint32(0), uint32(len(hello)), uint32(2)),
		goldenEvent(8, uint16(65534), uint32(0x01020304)),
		goldenEvent(13, uint16(4), byte(0), float32(21.5), uint16(513)),
		goldenEvent(6, uint16(2), address, uint32(1<<31), uint32(70_000), 12.5, 1000.0, byte(4),
			[]float32{0.5, 0.25, 7, 1}),
		goldenEvent(14, uint16(772)), goldenEvent(12), goldenEvent(9), goldenEvent(2, uint16(9)))
	head, _ := binary.Append(nil, binary.LittleEndian, []uint32{9, uint32(12 + len(records) + len(tail))})
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(1234.567))
	head = binary.LittleEndian.AppendUint32(head, 0xfedcba98)
	goldentest.Check(t, "batch.hex", hexText(slices.Concat(head, records, tail)))
}

// TestReplyMatchesGoldenFile encodes each action, some of them appended from another reply.
func TestReplyMatchesGoldenFile(t *testing.T) {
	firstReply, secondReply := &Reply{}, &Reply{}
	firstReply.Log("first")
	firstReply.SetWeight(65534, replicaID(1), 0.1+0.2)
	firstReply.BindProxy(258, 3, 6, []model.ReplicaID{replicaID(9)})
	firstReply.SetWithdrawn(replicaID(2), true)
	firstReply.SetWithdrawn(replicaID(3), false)
	firstReply.SetQuota(5, math.MaxFloat32, model.RetryTwiceOnAnyFailure)
	secondReply.RequestAck(0x01020304, true, nil)
	secondReply.RequestAck(7, false, nil)
	secondReply.SetTimer(1_234_567)
	secondReply.Subscribe()
	secondReply.SetSourceInstance(772)
	secondReply.Exception("a cause")
	firstReply.Append(secondReply)
	goldentest.Check(t, "reply.hex", hexText(firstReply.Frame(0xfedcba98)))
}

func TestFrameErrorsMatchGoldenFile(t *testing.T) {
	complete := testFrame(nil, []byte{CodeTimer})
	readError := func(b []byte) error {
		_, err := read(b)
		return err
	}
	listError := func(record []byte) error {
		batch, err := read(testFrame(nil, record))
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = batch.Events()[0].EndpointsChanged()
		return err
	}
	goldentest.CheckErrors(t, "frame-errors.txt", map[string]error{
		"end":              readError(nil),
		"header cut":       readError(complete[:7]),
		"body cut":         readError(complete[:len(complete)-1]),
		"too many records": readError(append([]byte{9, 0, 0, 0}, complete[4:]...)),
		"scope":            listError([]byte{CodeEndpointsChanged, 4}),
		"offset":           listError([]byte{CodeEndpointsChanged, 0, 0, 0, 0, 0, 5, 0, 0, 0, 1}),
	})
}

// goldenConfig is the configuration of the golden settings.
var goldenConfig = model.Config{
	Seed: 0xfe429af2f6dae94c, Zones: 2, SubscriptionRequired: true, AdmissionControl: true, FullQuota: 1,
	ProxiesAvoidFailing: true, StandingTableSize: 7,
	Operations: []model.Operation{
		{LatencyObjective: 500_500, PriorityWeight: 2.5}, {LatencyObjective: 750_000, PriorityWeight: 3},
	},
	ReportPeriod:    1_000_250,
	MessageOverhead: 7, QueueLimit: 6400, MessageLimit: 12, MessageWindow: 10_000_000,
	CrossZoneCost: 0.08, PublishCost: 0.02,
	UtilizationField: 1, WarmUpPeriod: 17_000_000, ProxyCount: 60, MinReplicaConnections: 160, ZoneLocalOperations: 2,
}

func TestParseSettingsReturnsGoldenConfig(t *testing.T) {
	got, err := ParseSettings(0xfe429af2f6dae94c, goldentest.Read(t, "settings.json"))
	if err != nil || !reflect.DeepEqual(got, goldenConfig) {
		t.Errorf("parsed as %+v, error %v", got, err)
	}
}

// invalidSettings holds edits of the golden settings. Each edit makes one setting invalid.
var invalidSettings = map[string][2]string{
	"no object":           {"{", "["},
	"another type":        {`"period": 1000.25`, `"period": "x"`},
	"no classes":          {`"classes"`, `"lasses"`},
	"no zones":            {`["a", "b"]`, "[]"},
	"slices":              {`"slices": 0`, `"slices": 4`},
	"own zones":           {"[false, true]", "[false, true, true]"},
	"period":              {`"period": 1000.25`, `"period": 0`},
	"no span":             {`"reload_span": 10000`, `"reload_span": 0`},
	"cold":                {`"cold": 17000`, `"cold": -1`},
	"pending_max":         {`"pending_max": 6400`, `"pending_max": 1e10`},
	"extra.period":        {`"period": 1000.25`, `"period": 1e10`},
	"reload_span":         {`"reload_span": 10000`, `"reload_span": 1e10`},
	"overhead":            {`"overhead": 6.5`, `"overhead": 1e10`},
	"push_price":          {`"push_price": 0.02`, `"push_price": -1`},
	"smallest_conn_table": {`"smallest_conn_table": 160`, `"smallest_conn_table": -1`},
	"guarantees.cold":     {`"cold": 17000`, `"cold": 1e10`},
	"cross_zone":          {`"cross_zone": 0.08`, `"cross_zone": 1e10`},
	"proxies":             {`"proxies": 60`, `"proxies": -1`},
	"default_size":        {`"default_size": 7`, `"default_size": -1`},
	"reloads_max":         {`"reloads_max": 12`, `"reloads_max": -1`},
	"on_time":             {`"on_time": 500.5`, `"on_time": 0`},
	"credit":              {`"credit": 3`, `"credit": -1`},
}

func TestSettingsErrorsMatchGoldenFile(t *testing.T) {
	settings, errs := string(goldentest.Read(t, "settings.json")), map[string]error{}
	for name, edit := range invalidSettings {
		text := strings.Replace(settings, edit[0], edit[1], 1)
		if text == settings {
			t.Fatalf("%s: the text to edit is not in the settings", name)
		}
		_, errs[name] = ParseSettings(1, []byte(text))
	}
	goldentest.CheckErrors(t, "terms-errors.txt", errs)
}

package simulator

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/model"
)

// frame writes a batch of records, each padded, at 250 ms with number 9.
func frame(tail []byte, records ...[]byte) []byte {
	var b []byte
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, uint32(12+eventSize*len(records)+len(tail)))
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(250))
	b = binary.LittleEndian.AppendUint32(b, 9)
	for _, r := range records {
		b = append(b, append(r, make([]byte, eventSize-len(r))...)...)
	}
	return append(b, tail...)
}

func read(b []byte) (*Batch, error) { return Read(bufio.NewReader(bytes.NewReader(b))) }

func TestReadFrames(t *testing.T) {
	t.Run("a sum", func(t *testing.T) {
		rec := []byte{CodeRoundup, 2, 0, 10, 1, 2, 3, 0x88, 0x13, 7, 0, 0, 0, 3, 0, 0, 0}
		rec = binary.LittleEndian.AppendUint64(rec, math.Float64bits(12.5))
		rec = binary.LittleEndian.AppendUint64(rec, math.Float64bits(1000))
		rec = append(rec, 1)
		rec = binary.LittleEndian.AppendUint32(rec, math.Float32bits(0.5))
		b, err := read(frame(nil, rec))
		if err != nil {
			t.Fatal(err)
		}
		s := b.Events()[0].Roundup()
		want := model.LoadReport{Zone: 2, Replica: model.ReplicaID{Addr: [4]byte{10, 1, 2, 3}, Port: 5000}, Attempts: 7,
			Errors: 3, MeanLatency: 12500, Window: model.Second, Readings: []float64{0.5}}
		if !reflect.DeepEqual(s, want) || b.Clock != 250*model.Millisecond || b.Number != 9 {
			t.Fatalf("%+v at %v", s, b.Clock)
		}
	})
	t.Run("a list entry with a time that is no number", func(t *testing.T) {
		entry := make([]byte, listingSize)
		copy(entry, []byte{10, 0, 0, 1, 1, 0, 3, 0, 0, 4, 0, 1})
		binary.LittleEndian.PutUint64(entry[16:], math.Float64bits(math.NaN()))
		b, _ := read(frame(entry, []byte{CodeRosterChange, 2, 0, 0, 0, 0, 0, 0, 0, 0, 1}))
		scope, entries, err := b.Events()[0].RosterChange()
		if err != nil || scope != model.CachedList || len(entries) != 1 || entries[0].Zone != 3 ||
			entries[0].Status != model.EndpointReady || entries[0].StartedAt != 0 {
			t.Fatalf("%v %+v %v", scope, entries, err)
		}
	})
	whole := frame(nil, []byte{CodeBell})
	for name, b := range map[string][]byte{
		"header cut":        whole[:7],
		"body cut":          whole[:len(whole)-1],
		"too many records":  append([]byte{9, 0, 0, 0}, whole[4:]...),
		"length under head": append([]byte{0, 0, 0, 0, 3, 0, 0, 0}, whole[8:]...),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := read(b); err == nil || err == io.EOF {
				t.Fatalf("got %v", err)
			}
		})
	}
	t.Run("a tail offset that does not fit", func(t *testing.T) {
		b, _ := read(frame(nil, []byte{CodeRosterChange, 0, 0, 0, 0, 0, 5, 0, 0, 0, 1}))
		if _, _, err := b.Events()[0].RosterChange(); err == nil {
			t.Fatal("taken")
		}
	})
	t.Run("end between frames", func(t *testing.T) {
		if _, err := read(nil); err != io.EOF {
			t.Fatalf("got %v", err)
		}
	})
}

func TestReply(t *testing.T) {
	one, all := &Reply{}, &Reply{}
	one.SetWeight(7, model.ReplicaID{Addr: [4]byte{1, 2, 3, 4}, Port: 5}, 0.5)
	one.Log("hi")
	two := &Reply{}
	two.BindProxy(258, 3, 6, nil)
	if rec := two.Frame(1)[12:]; !bytes.Equal(rec[:7], []byte{14, 2, 1, 3, 0, 6, 0}) {
		t.Fatalf("a bind for some operations: % x", rec[:7])
	}
	all.Log("first")
	all.OnBehalf(3)
	all.Append(one)
	got := all.Frame(12)
	if binary.LittleEndian.Uint32(got) != uint32(len(got)-4) || got[4] != 4 || got[8] != 12 {
		t.Fatalf("head % x", got[:12])
	}
	rec := got[12+2*orderSize:]
	if want := []byte{1, 7, 0, 0, 0, 0, 0x3f, 1, 2, 3, 4, 5, 0}; !bytes.Equal(rec[:13], want) {
		t.Fatalf("assign % x", rec[:13])
	}
	if text := got[12+3*orderSize:]; text[1] != 5 || text[5] != 2 || !strings.HasSuffix(string(got), "firsthi") {
		t.Fatal("the second text is not moved behind the first")
	}
}

func TestTerms(t *testing.T) {
	good := `{"zones":["a","b"],"membership_mode":"subscribe","classes":[{"on_time":500,"credit":2,"effect":"x"}],
		"extra":{"admission":"ratio","period":1000,"pending_max":6000,"overhead":6,"unknown":[1]},
		"stats":{"how":"piggyback","fields":["busy_reqs","cpu_share"]},"guarantees":{"cold":17000},
		"prices":{"cross_zone":0.08},"new":{}}`
	terms, err := Terms(1, []byte(good))
	if err != nil || terms.Zones != 2 || !terms.AdmissionControl || !terms.SubscriptionRequired || terms.UtilizationField != 1 ||
		terms.Operations[0].LatencyObjective != 500000 || terms.WarmUpPeriod != 17*model.Second || terms.QueueLimit != 6000 {
		t.Fatalf("%+v %v", terms, err)
	}
	if rate, _ := Terms(1, []byte(strings.Replace(good, "ratio", "rps", 1))); rate.AdmissionControl || rate.FullQuota < 1e9 {
		t.Fatal("where quotas are rates, 1 would let in one invocation a second")
	}
	own := strings.Replace(good, `"unknown":[1]`, `"class_own_zone":[true]`, 1)
	if terms, err := Terms(1, []byte(own)); err != nil || terms.ZoneLocalOperations != 1 {
		t.Fatalf("an operation that stays in its zone: %+v, %v", terms, err)
	}
	for name, change := range map[string][2]string{
		"more own zones than classes": {`"unknown":[1]`, `"class_own_zone":[false,true]`}, "a period of years": {`"period":1000`, `"period":1e300`},
		"no text": {good, ""}, "no classes": {`"classes"`, `"lasses"`}, "no objective": {"500", "0"},
		"a period below 0": {`"period":1000`, `"period":-1`}, "no queue": {"6000", "0"},
		"no zones": {`["a","b"]`, "[]"}, "slices": {`"unknown":[1]`, `"slices":4`},
		"a limit without a span": {`"unknown":[1]`, `"reloads_max":12`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Terms(1, []byte(strings.Replace(good, change[0], change[1], 1))); err == nil {
				t.Fatal("taken")
			}
		})
	}
}

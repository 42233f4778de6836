package simulator

import (
	"encoding/binary"
	"math"
	"reflect"
	"testing"

	"peppervale/internal/model"
)

func TestLoadReport(t *testing.T) {
	record := []byte{CodeLoadReport, 2, 0, 10, 1, 2, 3, 0x88, 0x13, 7, 0, 0, 0, 3, 0, 0, 0}
	record = binary.LittleEndian.AppendUint64(record, math.Float64bits(12.5))
	record = binary.LittleEndian.AppendUint64(record, math.Float64bits(1000))
	record = append(record, 1)
	record = binary.LittleEndian.AppendUint32(record, math.Float32bits(0.5))
	got := readEvent(t, testFrame(nil, record)).LoadReport()
	want := model.LoadReport{
		Zone: 2, Replica: model.ReplicaID{Addr: [4]byte{10, 1, 2, 3}, Port: 5000}, Attempts: 7, Errors: 3,
		MeanLatency: 12500, Window: model.Second, Readings: []float64{0.5},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v", got)
	}
}

func TestEndpointStartTimeThatIsNoNumber(t *testing.T) {
	entry := make([]byte, endpointSize)
	copy(entry, []byte{10, 0, 0, 1, 1, 0, 3, 0, 0, 4, 0, 1})
	binary.LittleEndian.PutUint64(entry[16:], math.Float64bits(math.NaN()))
	event := readEvent(t, testFrame(entry, []byte{CodeEndpointsChanged, 2, 0, 0, 0, 0, 0, 0, 0, 0, 1}))
	update, endpoints, err := event.EndpointsChanged()
	if err != nil || update != model.CachedList || len(endpoints) != 1 || endpoints[0].Zone != 3 ||
		endpoints[0].Status != model.EndpointReady || endpoints[0].StartedAt != 0 {
		t.Fatalf("%v %+v %v", update, endpoints, err)
	}
}

func TestTailOffsetThatDoesNotFit(t *testing.T) {
	event := readEvent(t, testFrame(nil, []byte{CodeEndpointsChanged, 0, 0, 0, 0, 0, 5, 0, 0, 0, 1}))
	if _, _, err := event.EndpointsChanged(); err == nil {
		t.Fatal("no error")
	}
}

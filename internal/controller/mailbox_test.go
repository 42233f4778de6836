package controller

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

func id(n byte) model.ReplicaID { return model.ReplicaID{Addr: [4]byte{127, 0, 0, n}, Port: 80} }

// In any order of events a proxy takes one slot with its newest state, and the end of a stream is delivered once.
func TestMailboxKeepsNewestStateOfProxy(t *testing.T) {
	box := newMailbox()
	box.proxyConnected(1, 10, pubsubmsg.Join{Name: "a", ExpectedRate: 1}, 0)
	box.acknowledged(1, 10, 3) // its connection was not drained yet, so no message was sent
	box.proxyDisconnected(1, 10)
	box.proxyConnected(1, 11, pubsubmsg.Join{Name: "a", ExpectedRate: 2}, 1)
	box.proxyDisconnected(1, 10) // the end of the old stream arrives late
	got := box.drain(10).proxies
	if len(got) != 1 || !got[0].connected || got[0].stream != 11 || got[0].join.ExpectedRate != 2 ||
		got[0].acknowledgedSequence != noAcknowledgement {
		t.Fatalf("after two connections: got %+v, want the newest connection only", got)
	}
	box.acknowledged(1, 11, 4)
	box.acknowledged(1, 11, 5)
	box.acknowledged(1, 10, 9) // sent over the old stream
	if got = box.drain(10).proxies; len(got) != 1 || got[0].acknowledgedSequence != 5 || got[0].connected {
		t.Fatalf("after acknowledgements: got %+v, want sequence 5 only", got)
	}
	box.proxyDisconnected(1, 11)
	if got = box.drain(10).proxies; len(got) != 1 || !got[0].disconnected {
		t.Fatalf("after the stream ended: got %+v, want one disconnection", got)
	}
	if len(box.proxies) != 0 || len(box.drain(10).proxies) != 0 {
		t.Fatal("the slot of a disconnected proxy was not deleted")
	}
}

// A hundred thousand connections, endpoint lists and load reports of one fleet are queued in memory that is bounded by
// the size of the fleet.
func TestMailboxSizeIsBoundedByFleetSize(t *testing.T) {
	box := newMailbox()
	var list []model.Endpoint
	for n := range byte(30) {
		list = append(list, model.Endpoint{ID: id(n)})
	}
	for n := range 100_000 {
		box.proxyConnected(model.ProxyID(n%50), uint64(n+1), pubsubmsg.Join{}, 0)
		box.loadReported(n%2, []model.LoadReport{
			{Replica: id(byte(n % 30)), Attempts: 2, Errors: 1, MeanLatency: 100, Window: model.Second},
		})
		box.endpointsChanged(model.FullList, list)
	}
	if len(box.waitingSlots) != 50 || len(box.reports.byKey) != 30 || len(box.reports.order) != 30 {
		t.Fatalf("%d proxies and %d reports wait, want 50 and 30", len(box.waitingSlots), len(box.reports.byKey))
	}
	got := box.drain(4)
	if len(got.proxies) != 50 || len(got.reports) != 4 || len(got.endpoints) != 1 {
		t.Fatalf("drained %d proxies and %d reports, want 50 and 4", len(got.proxies), len(got.reports))
	}
	attempts, errors := 0, 0
	for _, report := range append(got.reports, box.drain(100).reports...) {
		attempts += report.Attempts
		errors += report.Errors
		if report.MeanLatency != 100 {
			t.Fatalf("merged report %+v, want a mean latency of 100 us", report)
		}
	}
	if attempts != 200_000 || errors != 100_000 {
		t.Fatalf("got %d attempts and %d errors after merging, want 200000 and 100000", attempts, errors)
	}
}

// Load reports that wait longer than a step are merged, and the merges are counted. The mean latency is weighted by
// successful attempts.
func TestReportsAreMergedAndCountedWhenStepLeavesThemWaiting(t *testing.T) {
	box := newMailbox()
	report := func(attempts int, latency model.Microseconds) {
		box.loadReported(0, []model.LoadReport{{
			Replica: id(1), Attempts: attempts, MeanLatency: latency, Window: model.Second,
			Readings: []float64{float64(attempts)},
		}})
	}
	report(1, 100)
	box.drain(0)
	report(3, 200)
	got := box.drain(1).reports
	want := []model.LoadReport{
		{Replica: id(1), Attempts: 4, MeanLatency: 175, Window: model.Second, Readings: []float64{3}},
	}
	if box.reports.mergedCount != 1 || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %d merges and reports %+v, want 1 merge and a mean latency of 175 us", box.reports.mergedCount, got)
	}
}

// Guards against a failed poll or a list that is lost when both wait for one step: discovery would then stop for good.
func TestFailedPollAndListDoNotReplaceEachOther(t *testing.T) {
	oldList := endpointEvent{model.FullList, readyEndpoints(1)}
	newList := endpointEvent{model.FullList, readyEndpoints(1, 2)}
	change := endpointEvent{model.ChangedEntries, readyEndpoints(3)}
	failure := endpointEvent{update: model.PollFailed}
	for name, tt := range map[string]struct{ received, want []endpointEvent }{
		"a failure alone":                 {[]endpointEvent{failure}, []endpointEvent{failure}},
		"a failure after a list":          {[]endpointEvent{oldList, failure}, []endpointEvent{oldList, failure}},
		"a failure after a change":        {[]endpointEvent{change, failure}, []endpointEvent{change, failure}},
		"a list after a failure":          {[]endpointEvent{failure, oldList}, []endpointEvent{oldList, failure}},
		"a failure between two lists":     {[]endpointEvent{oldList, failure, newList}, []endpointEvent{newList, failure}},
		"two failures around a list":      {[]endpointEvent{failure, oldList, failure}, []endpointEvent{oldList, failure}},
		"two lists, the newer one counts": {[]endpointEvent{oldList, newList}, []endpointEvent{newList}},
	} {
		t.Run(name, func(t *testing.T) {
			box := newMailbox()
			for _, event := range tt.received {
				box.endpointsChanged(event.update, event.entries)
			}
			if got := box.drain(0).endpoints; !reflect.DeepEqual(got, tt.want) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if got := box.drain(0).endpoints; len(got) != 0 {
				t.Errorf("a second drain returned %+v, want nothing", got)
			}
		})
	}
}
